"""Tests of the watch on the store's keys.

Guards against lost or wrongly applied changes when the store is down, discards
its history, or loses keys for a while.
"""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from arbutusbridge.core.messages import StoreItem, StorePage
from arbutusbridge.forwarding.feed import (
    MAX_RETRY_DELAY_S,
    SETTLING_S,
    SETTLING_WATCH_DELAY_S,
    WATCH_DELAY_S,
    KeyFeed,
    KeyRules,
    StoreCallKind,
)
from arbutusbridge.forwarding.removals import REMOVAL_GRACE_S

NOW = 100.0


def item(number: int, revision: int, value: bytes | None = b"v") -> StoreItem:
    """Returns an item, or its removal."""
    return StoreItem(f"k{number}", value, revision)


def page(revision: int, *items: StoreItem, more: bool = False) -> StorePage:
    """Returns a page of items or changes."""
    return StorePage(items, more, revision)


class FeedTest(testtools.TestCase):
    """Watch state that the tests drive call by call."""

    def loaded(self, count: int = 10) -> KeyFeed:
        feed = KeyFeed()
        feed.on_page(page(count, *(item(n, n) for n in range(count))), NOW)
        return feed

    def end_outage(self, feed: KeyFeed) -> float:
        """Plays an outage of some seconds; returns the time of its end."""
        feed.on_failure(NOW)
        feed.on_failure(NOW + 0.1)
        end = NOW + 5.0
        feed.timing.on_outage_end(end)
        return end

    def test_watch_starts_at_the_revision_of_the_first_page(self) -> None:
        feed = KeyFeed()
        changes, call = feed.on_page(page(5, item(1, 1), more=True), NOW)
        self.assertEqual(([], "k1"), (changes, call.after_key))
        changes, call = feed.on_page(page(9, item(2, 8)), NOW)
        self.assertEqual(2, len(changes))
        self.assertEqual((StoreCallKind.WATCH, 5), (call.kind, call.revision))

    def test_watch_is_delayed_after_changes(self) -> None:
        feed = self.loaded()
        changes, call = feed.on_changes(page(12, item(1, 12)), NOW)
        self.assertEqual([item(1, 12)], changes)
        self.assertEqual((12, WATCH_DELAY_S), (call.revision, call.delay_s))
        _, call = feed.on_changes(page(12), NOW)
        self.assertEqual(0.0, call.delay_s)

    # Guards against announcements that an instance reads 0.8 s late while it
    # cannot serve without them, after instances and the store were down.
    def test_watch_is_delayed_less_after_a_start_in_an_outage(self) -> None:
        feed = KeyFeed()
        feed.on_failure(NOW)
        feed.on_page(page(10, item(1, 10)), NOW)
        _, call = feed.on_changes(page(12, item(2, 12)), NOW + 1.0)
        self.assertEqual(SETTLING_WATCH_DELAY_S, call.delay_s)
        _, call = feed.on_changes(page(14, item(3, 14)), NOW + SETTLING_S)
        self.assertEqual(WATCH_DELAY_S, call.delay_s)

    def test_outdated_change_is_ignored(self) -> None:
        feed = self.loaded()
        feed.on_changes(page(20, item(1, 20)), NOW)
        changes, _ = feed.on_changes(page(21, item(1, 15)), NOW)
        self.assertEqual([], changes)

    def test_single_removal_is_applied_at_once(self) -> None:
        feed = self.loaded()
        changes, _ = feed.on_changes(page(12, item(1, 12, None)), NOW)
        self.assertEqual([None], [one.value for one in changes])
        self.assertNotIn("k1", feed.items)

    def test_removal_after_an_outage_is_held(self) -> None:
        feed = self.loaded()
        now = self.end_outage(feed)
        ends = [item(1, 12, None), item(2, 13, None)]
        changes, _ = feed.on_changes(page(13, *ends), now)
        self.assertEqual([], changes)
        feed.on_changes(page(14, item(1, 14)), now + 1.0)
        self.assertEqual([], feed.release_held(now + REMOVAL_GRACE_S - 0.1))
        (ended,) = feed.release_held(now + REMOVAL_GRACE_S + 0.1)
        self.assertEqual("k2", ended.key)
        self.assertIn("k1", feed.items)

    def test_lasting_key_is_passed_on_until_its_removal(self) -> None:
        """Guards against an evacuation that ends early for a follower."""
        feed = self.loaded()
        feed.rules = KeyRules(lasting_prefixes=("k3",))
        now = self.end_outage(feed)
        feed.on_changes(page(11, item(3, 11, None), item(4, 11, None)), now)
        passed_on = {one.key for one in feed.confirmed_items()}
        self.assertIn("k3", passed_on)
        self.assertNotIn("k4", passed_on)
        feed.release_held(now + REMOVAL_GRACE_S + 0.1)
        passed_on = {one.key for one in feed.confirmed_items()}
        self.assertNotIn("k3", passed_on)

    def test_mass_removal_is_held(self) -> None:
        feed = self.loaded()
        ends = [item(number, 20 + number, None) for number in range(6)]
        changes, _ = feed.on_changes(page(30, *ends), NOW)
        self.assertEqual([], changes)
        self.assertEqual(6, len(feed.release_held(NOW + REMOVAL_GRACE_S + 0.1)))

    def test_reload_after_lost_history_finds_removed_keys(self) -> None:
        feed = self.loaded(3)
        call = feed.on_history_lost()
        self.assertEqual((StoreCallKind.PAGE, ""), (call.kind, call.after_key))
        changes, call = feed.on_page(page(9, item(0, 0), item(2, 7)), NOW)
        told = {one.key: one.value for one in changes}
        self.assertEqual({"k1": None, "k2": b"v"}, told)
        self.assertEqual(9, call.revision)

    # Guards against changes that are skipped for their revisions, which a store
    # that is back from an older copy gives out again.
    def test_lower_revision_after_lost_history_is_used(self) -> None:
        feed = self.loaded()
        feed.on_changes(page(40, item(1, 40, b"new")), NOW)
        feed.on_history_lost()
        old = [item(n, n) for n in range(10)]
        feed.on_page(page(10, *old), NOW)
        self.assertEqual(b"v", feed.items["k1"].value)
        changes, call = feed.on_changes(page(12, item(1, 12, b"newer")), NOW)
        self.assertEqual([b"newer"], [one.value for one in changes])
        self.assertEqual(12, call.revision)

    # Guards against an instance that goes back to an earlier era.
    def test_changes_of_an_earlier_era_are_ignored(self) -> None:
        feed = self.loaded()
        feed.void_revisions(2, NOW)
        feed.on_page(page(5, *(item(n, n) for n in range(10))), NOW)
        late = [item(1, 90, b"late")]
        self.assertEqual([], feed.apply_from_peer(late, 90, NOW, 1))
        self.assertEqual((2, 5), (feed.era, feed.revision))
        changes = feed.apply_from_peer([item(1, 6, b"new")], 6, NOW, 2)
        self.assertEqual(1, len(changes))

    def test_lower_revision_of_a_watch_starts_a_new_load(self) -> None:
        feed = self.loaded()
        changes, call = feed.on_changes(page(4, item(1, 4)), NOW)
        self.assertEqual(([], StoreCallKind.PAGE), (changes, call.kind))

    def test_retry_delay_grows_up_to_a_maximum(self) -> None:
        feed = self.loaded()
        delays = [feed.on_failure(NOW).delay_s for _ in range(12)]
        self.assertEqual(sorted(delays), delays)
        self.assertEqual(MAX_RETRY_DELAY_S, delays[-1])

    @given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=40))
    def test_any_history_converges_to_the_keys_of_the_store(
        self, history
    ) -> None:
        feed = KeyFeed()
        feed.on_page(page(0), NOW)
        truth: dict[str, StoreItem] = {}
        now = NOW
        for revision, (number, written) in enumerate(history, 1):
            change = item(number, revision, b"v" if written else None)
            if not written and change.key not in truth:
                continue
            truth.pop(change.key, None)
            if written:
                truth[change.key] = change
            now += 0.1
            feed.on_changes(page(revision, change), now)
        feed.release_held(now + 2 * REMOVAL_GRACE_S)
        self.assertEqual(truth, feed.items)
