"""Watches the keys of the store and reports changes by prefix."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, Event, handler

from arbutusbridge.core.messages import StoreItem, StoreStatus
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.forwarding.feed import (
    KeyFeed,
    KeyRules,
    StoreCall,
    StoreCallKind,
)
from arbutusbridge.forwarding.removals import RemovalTiming

if TYPE_CHECKING:
    from arbutusbridge.core.messages import StoreResult
    from arbutusbridge.daemon.dialect import Dialect
    from arbutusbridge.daemon.platform import PlatformClient
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)

ALL_KEYS = ""
"""Prefix of every key."""

WATCH_WAIT_S = 3.0
"""Time that the store may hold one watch open. A watch that the store never
answers times out after this plus WATCH_SLACK_S, within the 4 s in which a
version must be in force again."""

BRIEF_WATCH_WAIT_S = 0.05
"""The same for the first watch after a failure. The store may have come back
from an older copy, which its reply shows."""

WATCH_SLACK_S = 1.0
"""Time after WATCH_WAIT_S in which a watch must return. The slowest store
observed answers in 0.3 s."""

CALL_TIMEOUT_S = 1.5
"""Timeout of a read. The slowest store observed answers in 0.3 s."""

RELEASE = "release"
"""Token of the timer at which held removals are due."""

Topic = tuple[str, Callable[[list[StoreItem]], Event]]
"""A key prefix and the event that carries changes of its keys."""


class StoreFeed(BaseComponent):
    """Keeps the known keys up to date and fires an event for each change batch.

    One watch serves all topics, because the store charges for each watch that
    returns.

    Attributes:
      key_feed: Keys and revision known so far.
      loaded: Whether all keys have been loaded.
      watch_call: Call number of the open watch, 0 if there is none.
      sent_at: When the last call was sent.
      wait_s: Time that it may wait for changes, in seconds; 0 if it is no
        watch.
      release_at: When the next timer for held removals is due, infinite if none
        is set.
      reading: Whether this instance reads or watches the store itself.
      generation: Number of pauses so far; results of calls sent before the last
        pause are ignored.
      told: Called with each batch of changes that comes into force.
    """

    channel = "storefeed"

    def __init__(
        self,
        topics: list[Topic],
        store: PlatformClient,
        dialect: Dialect,
        timers: TimerService,
        rules: KeyRules | None = None,
        timing: RemovalTiming | None = None,
    ) -> None:
        super().__init__()
        self.topics = topics
        self.store = store
        self.dialect = dialect
        self.timers = timers
        self.key_feed = KeyFeed(
            rules or KeyRules(), timing=timing or RemovalTiming()
        )
        self.loaded = False
        self.watch_call = 0
        self.sent_at = 0.0
        self.wait_s = 0.0
        self.release_at = math.inf
        self.reading = False
        self.generation = 0
        self.told: Callable[[list[StoreItem]], None] = lambda _changes: None

    def begin(self) -> None:
        """Starts to read and watch the store from the known revision."""
        if self.reading:
            return
        self.reading = True
        self.note_era()
        call = (self.generation, self.key_feed.next_call())
        self.timers.after(0.0, self.channel, call)

    def invalidate(self) -> None:
        """Discards the known revision, because deletions may have been missed.

        The next call loads all keys again.
        """
        self.key_feed.on_history_lost()

    def pause(self) -> None:
        """Stops reading the store, because a peer sends its changes."""
        self.reading = False
        self.generation += 1
        if self.watch_call:
            self.store.cancel_call(self.watch_call)
            self.watch_call = 0

    def apply_snapshot(
        self,
        items: Sequence[StoreItem],
        revision: int,
        age_s: float,
        era: int | None = None,
    ) -> None:
        """Applies a snapshot from a peer and stops reading the store.

        Args:
          items: All keys of the snapshot.
          revision: Store revision of the snapshot.
          age_s: Time since the store confirmed it, in seconds.
          era: Era of that revision, None if it is not known.
        """
        now = self.timers.clock()
        self.pause()
        self.report(
            self.key_feed.load_from_peer(items, revision, now - age_s, now, era)
        )

    def apply_changes(
        self,
        items: Sequence[StoreItem],
        revision: int,
        age_s: float,
        era: int | None = None,
        is_complete: bool = True,
    ) -> None:
        """Applies changes from a peer.

        Args:
          items: The changed keys.
          revision: Store revision after the changes.
          age_s: Time since the store confirmed it, in seconds.
          era: Era of that revision, None if it is not known.
          is_complete: Whether the peer holds back no removals.
        """
        confirmed_at = self.timers.clock() - age_s
        self.report(
            self.key_feed.apply_from_peer(
                items, revision, confirmed_at, era, is_complete
            )
        )

    def note_era(self) -> bool:
        """Records the era of the store; returns whether the keys are outdated.

        All keys are to be loaded again then.
        """
        key_feed, era = self.key_feed, self.store.era
        if key_feed.era is None:
            key_feed.era = era
        if era is None or key_feed.era is None or era <= key_feed.era:
            return False
        logger.notice(
            "store restored, loading all keys again",
            extra={
                "era": era,
                "before": key_feed.era,
                "revision": key_feed.revision,
            },
        )
        key_feed.on_restored(era, self.timers.clock())
        return True

    @property
    def last_confirmed_at(self) -> float:
        """Time at which the store last confirmed the known keys."""
        if self.reading:
            return max(self.store.last_reply_at, self.key_feed.confirmed_at)
        return self.key_feed.confirmed_at

    @handler("due")
    def on_due(self, tokens: list[Any]) -> None:
        """Sends due calls and reports deletions held back until now."""
        for token in tokens:
            if token == RELEASE:
                self.release_held()
            elif token[0] == self.generation:
                self.make_call(token[1])

    def release_held(self) -> None:
        """Applies the removals that have been held back until now."""
        now = self.timers.clock()
        if now >= self.release_at:
            self.release_at = math.inf
        removals = self.key_feed.release_held(now)
        if removals:
            logger.notice(
                "held removals applied",
                extra={
                    "keys": len(removals),
                    "first": removals[0].key,
                    "still_held": len(self.key_feed.held),
                },
            )
        self.report(removals)

    def make_call(self, call: StoreCall) -> None:
        """Sends one call of the feed to the store."""
        token = (self.channel, call.kind.value)
        on_done = functools.partial(self.on_result, self.generation)
        self.sent_at, self.wait_s = self.timers.clock(), 0.0
        if call.kind is StoreCallKind.PAGE:
            request = self.dialect.page(ALL_KEYS, call.after_key)
            self.store.send_call(request, token, on_done, CALL_TIMEOUT_S)
            return
        wait_s = BRIEF_WATCH_WAIT_S if call.is_brief else WATCH_WAIT_S
        request = self.dialect.watch(ALL_KEYS, call.revision, wait_s)
        seconds = wait_s + WATCH_SLACK_S
        self.wait_s = wait_s
        self.watch_call = self.store.send_call(request, token, on_done, seconds)

    @handler("store_restored", channel="*")
    def on_store_restored(self, _era: int) -> None:
        """Loads all keys again unless another call has shown the era first.

        The open watch is cancelled: its revision is of an earlier era.
        """
        if self.reading and self.note_era():
            self.pause()
            self.begin()

    @handler("store_recovered", channel="*")
    def on_store_recovered(self) -> None:
        """Sends the open watch again, as the outage may have lost it."""
        if self.reading and self.watch_call:
            self.store.cancel_call(self.watch_call)
            self.watch_call = 0
            call = replace(self.key_feed.next_call(), is_brief=True)
            self.make_call(call)

    def on_result(self, call_generation: int, result: StoreResult) -> None:
        """Handles the result of a call and schedules the next call.

        Args:
          call_generation: Generation in which the call was sent.
          result: The result.
        """
        if call_generation != self.generation:
            return
        now = self.timers.clock()
        key_feed = self.key_feed
        is_watch = result.token[1] == StoreCallKind.WATCH.value
        open_s = now - self.sent_at
        self.watch_call = 0
        changes: list[StoreItem] = []
        held_before = set(key_feed.held)
        if self.note_era() or result.status is StoreStatus.RESTORED:
            call = key_feed.next_call()
        elif result.status is StoreStatus.HISTORY_LOST or (
            # All changes of the time since the last watch, in one reply. Pages
            # are limited and hold each key once.
            result.status is StoreStatus.TOO_LARGE and is_watch
        ):
            logger.notice(
                "store history lost, loading all keys again",
                extra={
                    "revision": key_feed.revision,
                    "status": result.status.value,
                },
            )
            call = key_feed.on_history_lost()
        elif result.status is not StoreStatus.DONE or result.page is None:
            call = self.on_failure(open_s)
        else:
            key_feed.timing.on_wait(now, open_s, self.wait_s)
            key_feed.timing.on_outage_end(self.store.outage_ended_at)
            if key_feed.failures:
                logger.notice(
                    "store connection restored",
                    extra={
                        "failures": key_feed.failures,
                        "revision": key_feed.revision,
                    },
                )
            if is_watch:
                changes, call = key_feed.on_changes(result.page, now)
            else:
                changes, call = key_feed.on_page(result.page, now)
        self.log_held(key_feed.held.keys() - held_before, now)
        self.report(changes)
        self.timers.after(call.delay_s, self.channel, (self.generation, call))

    def set_release_timer(self) -> None:
        """Sets the timer for the next held removal, unless one is set."""
        due_at = min(self.key_feed.held.values(), default=math.inf)
        if due_at < self.release_at:
            self.release_at = due_at
            self.timers.at(due_at, self.channel, RELEASE)

    def log_held(self, keys: set[str], now: float) -> None:
        """Logs removals that are held back from now on."""
        if not keys:
            return
        latest = max(self.key_feed.held[key] for key in keys)
        since_outage_s = now - self.key_feed.timing.recovered_at
        logger.notice(
            "removals held back",
            extra={
                "keys": len(keys),
                "first": min(keys),
                "for_ms": round((latest - now) * 1000),
                "since_outage_ms": None
                if math.isinf(since_outage_s)
                else round(since_outage_s * 1000),
            },
        )

    def on_failure(self, open_s: float) -> StoreCall:
        """Counts a failed call and logs the first one of an outage.

        Args:
          open_s: Time for which it was open.

        Returns:
          The call that retries it, with its delay.
        """
        if not self.key_feed.failures:
            logger.warning(
                "store connection lost",
                extra={
                    "revision": self.key_feed.revision,
                    "remedy": "Check the store. "
                    "Serving goes on with what is known.",
                },
            )
        now = self.timers.clock()
        return self.key_feed.on_failure(now, open_s, self.wait_s)

    def report(self, changes: list[StoreItem]) -> None:
        """Fires an event for each topic with changes.

        After the first load it fires one for every topic, even without changes.
        """
        first = not self.loaded and self.key_feed.revision is not None
        self.loaded = self.loaded or first
        if first:
            logger.info(
                "keys loaded for the first time",
                extra={
                    "source": "store" if self.reading else "peer",
                    "revision": self.key_feed.revision,
                    "era": self.key_feed.era,
                    "keys": len(self.key_feed.items),
                },
            )
        self.set_release_timer()
        if changes or first:
            self.told(changes)
        for prefix, event in self.topics:
            found = [item for item in changes if item.key.startswith(prefix)]
            if found or first:
                self.fire(event(found), "*")
