"""Tests of the time at which the removal of a key comes into force.

Guards against requests to an upstream that has ended, as its removal was held
back for longer than it went on serving (review/14), and against upstreams that
are given up although they are back soon after an outage.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable

import testtools
from hypothesis import given
from hypothesis import strategies as st

from arbutusbridge.core.messages import StoreItem, StorePage
from arbutusbridge.daemon.storefeed import (
    BRIEF_WATCH_WAIT_S,
    CALL_TIMEOUT_S,
    WATCH_SLACK_S,
    WATCH_WAIT_S,
)
from arbutusbridge.forwarding.feed import KeyFeed, StoreCall, StoreCallKind
from arbutusbridge.forwarding.removals import (
    DRAIN_MARGIN_S,
    MIN_OUTAGE_S,
    RemovalTiming,
)

DRAIN_S = 3.0
"""Time for which an upstream serves after its key is removed."""

LATENCY_S = 0.02
RENEW_INTERVAL_S = 3.0
OUTAGE_BACK_S = 2.0
"""Time after an outage by which the keys of living writers are back."""


class SimulatedStore:
    """A store on virtual time, and the feed of one instance that watches it.

    Attributes:
      now: The time.
      changes: All changes so far, oldest first.
      removed_at: When a key was removed.
      applied_at: When that came into force here.
      failing: Number of next calls that are answered with an error.
      is_down: Whether the store answers no call at present.
      hangs: Whether calls then hang until they time out.
    """

    def __init__(self, keys: int, timing: RemovalTiming) -> None:
        self.now = 100.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.revision = keys
        self.keys = {f"k{n}": n for n in range(keys)}
        self.changes: list[StoreItem] = []
        self.removed_at: dict[str, float] = {}
        self.applied_at: dict[str, float] = {}
        self.failing = 0
        self.is_down = False
        self.hangs = False
        self.call: StoreCall | None = None
        self.call_number = 0
        self.sent_at = 0.0
        self.wait_s = 0.0
        self.has_failed = False
        self.last_reply_at = self.now
        self.outage_ended_at = -math.inf
        self.feed = KeyFeed(timing=timing)
        self.send(self.feed.next_call())
        self.after(RENEW_INTERVAL_S, self.renew)

    def after(self, seconds: float, function: Callable[[], None]) -> None:
        """Calls a function later."""
        self.count += 1
        heapq.heappush(self.events, (self.now + seconds, self.count, function))

    def run_until(self, end: float) -> None:
        """Runs what is due until a time; held removals are due exactly."""
        while True:
            at = self.events[0][0]
            held_at = min(self.feed.held.values(), default=math.inf)
            if min(at, held_at) > end:
                break
            self.now = max(self.now, min(at, held_at))
            if held_at <= at:
                self.apply(self.feed.release_held(self.now))
            else:
                heapq.heappop(self.events)[2]()
        self.now = end

    def apply(self, changes: list[StoreItem]) -> None:
        """Notes which removals come into force."""
        for item in changes:
            if item.value is None:
                self.applied_at[item.key] = self.now
            else:
                self.applied_at.pop(item.key, None)

    # What happens in the store.

    def put(self, key: str) -> None:
        self.revision += 1
        self.keys[key] = self.revision
        self.removed_at.pop(key, None)
        self.changes.append(StoreItem(key, b"v", self.revision))
        self.answer_watch()

    def remove(self, key: str) -> None:
        if self.keys.pop(key, None) is None:
            return
        self.revision += 1
        self.removed_at[key] = self.now
        self.changes.append(StoreItem(key, None, self.revision))
        self.answer_watch()

    def cut_watch(self) -> None:
        """Closes the watch that is waiting, if there is one."""
        if self.call is not None and self.call.kind is StoreCallKind.WATCH:
            self.finish(self.call_number, None)

    def begin_outage(self, hangs: bool, cuts: bool) -> None:
        self.is_down, self.hangs = True, hangs
        if cuts:
            self.cut_watch()

    def end_outage(self, resets: bool) -> None:
        self.is_down = False
        if resets:
            self.cut_watch()
        self.answer_watch()

    # Calls of the instance.

    def send(self, call: StoreCall) -> None:
        """Sends a call after its delay."""
        self.after(call.delay_s, lambda: self.begin_call(call))

    def begin_call(self, call: StoreCall) -> None:
        self.call, self.sent_at = call, self.now
        self.call_number += 1
        number = self.call_number
        is_page = call.kind is StoreCallKind.PAGE
        wait_s = BRIEF_WATCH_WAIT_S if call.is_brief else WATCH_WAIT_S
        self.wait_s = 0.0 if is_page else wait_s
        timeout_s = CALL_TIMEOUT_S if is_page else wait_s + WATCH_SLACK_S
        self.after(timeout_s, lambda: self.finish(number, None))
        if self.failing or (self.is_down and not self.hangs):
            self.failing = max(0, self.failing - 1)
            self.after(LATENCY_S, lambda: self.finish(number, None))
        elif is_page:
            self.after(LATENCY_S, lambda: self.answer(number))
        else:
            self.after(LATENCY_S, self.answer_watch)
            self.after(wait_s, lambda: self.answer(number))

    def answer_watch(self) -> None:
        """Answers the open watch if there are changes for it."""
        call, number = self.call, self.call_number
        if call is None or call.kind is not StoreCallKind.WATCH:
            return
        if self.revision > call.revision and self.sent_at < self.now:
            self.answer(number)

    def answer(self, number: int) -> None:
        """Sends the reply to a call, unless the store is down."""
        call = self.call
        if self.is_down or call is None or number != self.call_number:
            return
        rows = (
            [StoreItem(*one) for one in self.rows()]
            if call.kind is StoreCallKind.PAGE
            else [one for one in self.changes if one.revision > call.revision]
        )
        page = StorePage(tuple(rows), False, self.revision)
        self.after(LATENCY_S / 2, lambda: self.finish(number, page))

    def rows(self):
        return [(key, b"v", revision) for key, revision in self.keys.items()]

    def finish(self, number: int, page: StorePage | None) -> None:
        """Passes the result of a call to the feed."""
        call = self.call
        if call is None or number != self.call_number:
            return
        self.call = None
        is_watch = call.kind is StoreCallKind.WATCH
        open_s, wait_s = self.now - self.sent_at, self.wait_s
        if page is None:
            self.has_failed = True
            self.send(self.feed.on_failure(self.now, open_s, wait_s))
            return
        self.record_reply()
        self.feed.timing.on_wait(self.now, open_s, wait_s)
        self.feed.timing.on_outage_end(self.outage_ended_at)
        if is_watch:
            changes, following = self.feed.on_changes(page, self.now)
        else:
            changes, following = self.feed.on_page(page, self.now)
        self.apply(changes)
        self.send(following)

    def record_reply(self) -> None:
        """Records a usable reply as the client of the store does."""
        if self.has_failed and self.now - self.last_reply_at >= MIN_OUTAGE_S:
            self.outage_ended_at = self.now
        self.has_failed = False
        self.last_reply_at = self.now

    def renew(self) -> None:
        """Renews a lease, which is another call than those of the feed."""
        if self.is_down:
            self.has_failed = True
        else:
            self.record_reply()
        self.after(RENEW_INTERVAL_S, self.renew)


def make_store(keys: int = 8, drain_s: float = DRAIN_S) -> SimulatedStore:
    """Returns a store whose keys are loaded."""
    store = SimulatedStore(keys, RemovalTiming.from_drain_period(drain_s))
    store.run_until(store.now + 1.0)
    return store


class SoundStoreTest(testtools.TestCase):
    """Removals in a store that is never away, but may cut a watch."""

    def check(self, store: SimulatedStore, drain_s: float = DRAIN_S) -> None:
        """Checks that each removal was in force well within the drain."""
        store.run_until(store.now + drain_s)
        for key, at in store.removed_at.items():
            took_s = store.applied_at.get(key, math.inf) - at
            self.assertTrue(took_s <= drain_s - DRAIN_MARGIN_S + 0.1, took_s)

    # Guards against a removal that is held back because of one cut watch.
    def test_watch_that_is_cut(self) -> None:
        for tenths in range(-40, 12):
            store = make_store()
            store.run_until(store.now + 5.0 + 0.01 * tenths)
            store.cut_watch()
            for step in range(1, 40):
                store.run_until(store.now + 0.1)
                if step == 12:
                    store.put("new")
                if step == 13:
                    store.remove("k3")
            self.check(store)

    # Guards against one that is held back because one call had an error.
    def test_calls_that_fail_in_a_row(self) -> None:
        for failing in (1, 2, 3):
            for hundredths in range(0, 120, 3):
                store = make_store()
                store.put("new")
                store.failing = failing
                store.run_until(store.now + 0.01 * hundredths)
                store.remove("k3")
                self.check(store)

    # Guards against one that is read late and then held back in full, since
    # many keys were removed just after another change had been read.
    def test_many_removals_after_another_change(self) -> None:
        for hundredths in range(0, 120, 3):
            store = make_store()
            store.put("new")
            store.run_until(store.now + 0.01 * hundredths)
            for number in range(4):
                store.remove(f"k{number}")
                store.run_until(store.now + 0.05)
            self.check(store)

    def test_watches_that_are_cut_all_the_time(self) -> None:
        store = make_store()
        for number in range(6):
            for _ in range(3):
                store.run_until(store.now + 0.6)
                store.cut_watch()
            store.remove(f"k{number}")
        self.check(store)

    # Guards against any other order of such events.
    @given(st.integers(0, 2**32 - 1))
    def test_any_order_of_events(self, seed: int) -> None:
        rng = random.Random(seed)
        drain_s = rng.choice((3.0, 5.0, 6.0))
        store = make_store(rng.choice((3, 8, 40)), drain_s)
        names = list(store.keys)
        for number in range(30):
            store.run_until(store.now + rng.choice((0.01, 0.1, 0.5, 1.0, 3.0)))
            step = rng.randrange(5)
            if step <= 1:
                # At most two calls in a row fail at a sound store.
                if not store.failing and not store.feed.failures:
                    store.failing = rng.choice((0, 1, 2 * step))
                    if store.failing < 2:
                        store.cut_watch()
            elif step == 2:
                store.put(f"new{number}")
                names.append(f"new{number}")
            else:
                for name in rng.sample(names, min(len(names), step)):
                    store.remove(name)
        self.check(store, drain_s)

    # Guards against more calls to a sound store, each of which is charged.
    def test_calm_store_gets_no_more_calls(self) -> None:
        store = make_store()
        before = store.call_number
        for number in range(5):
            store.run_until(store.now + 6.0)
            store.put("new")
            store.remove(f"k{number}")
        store.run_until(store.now + 6.0)
        # One watch each 3 s, and two more after each change.
        self.assertLessEqual(store.call_number - before, 12 + 2 * 5)


class OutageTest(testtools.TestCase):
    """Keys that lapse in an outage and are back within 2 s of its end."""

    def play(
        self, outage_s: float, hangs: bool, cuts: bool, resets: bool, at: float
    ) -> SimulatedStore:
        """Plays an outage in which half of the keys lapse."""
        store = make_store()
        store.run_until(store.now + 5.0 + at)
        store.begin_outage(hangs, cuts)
        store.run_until(store.now + outage_s)
        for number in range(3):
            store.remove(f"k{number}")
        store.end_outage(resets)
        store.run_until(store.now + OUTAGE_BACK_S)
        return store

    # Guards against upstreams that are given up although they live.
    def test_keys_that_come_back_are_kept(self) -> None:
        for hangs, cuts, resets in (
            (False, True, True),
            (True, True, True),
            (True, False, True),
        ):
            for outage_s in (2.5, 3.5, 6.0):
                for tenths in range(0, 30, 3):
                    store = self.play(
                        outage_s, hangs, cuts, resets, 0.1 * tenths
                    )
                    self.assertEqual({}, store.applied_at)
                    for number in range(3):
                        store.put(f"k{number}")
                    store.run_until(store.now + 5.0)
                    self.assertEqual({}, store.applied_at)

    def test_keys_that_stay_away_are_given_up(self) -> None:
        store = self.play(3.5, False, True, True, 0.0)
        store.run_until(store.now + 1.6)
        self.assertEqual({"k0", "k1", "k2"}, set(store.applied_at))

    # Guards against a removal some seconds after an outage that is held back as
    # long as one in it.
    def test_removal_after_the_outage_is_applied_in_time(self) -> None:
        for tenths in range(20):
            store = make_store()
            store.begin_outage(True, True)
            store.run_until(store.now + 3.0)
            store.end_outage(True)
            store.run_until(store.now + 4.0 + 0.1 * tenths)
            store.remove("k3")
            at = store.now
            store.run_until(store.now + DRAIN_S)
            self.assertLess(store.applied_at["k3"], at + DRAIN_S - 0.5)
