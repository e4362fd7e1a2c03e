"""Tests of the replication of the store's contents between instances.

Guards against many instances that start at once and all read the store, wait
for each other, or keep following an outdated source.
"""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from arbutusbridge.core.messages import StoreItem, StorePage
from arbutusbridge.errors import ProtocolError
from arbutusbridge.forwarding.feed import KeyFeed, StoreCallKind
from arbutusbridge.forwarding.following import (
    FOLLOW_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    MAX_FOLLOWERS,
    MAX_SOURCE_AGE_S,
    MAX_SOURCES,
    MIN_CHANGE_DELAY_LIMIT_S,
    SOURCE_SILENCE_TIMEOUT_S,
    FollowerState,
    FollowerTable,
    StoreUpdate,
    candidate_sources,
    pack_items,
    unpack_items,
)
from arbutusbridge.forwarding.gather import Peer

ADDRESS = ("10.0.0.1", 7380)
ITEMS = [
    StoreItem(f"servers/{number}", b"value", number) for number in range(9)
]


def peer(name: str, place: str = "north", capacity: float = 1.0) -> Peer:
    """Returns an instance."""
    return Peer(name, place, ADDRESS, capacity)


class SourceTest(testtools.TestCase):
    """Sources that a starting instance chooses."""

    def test_strongest_peers_of_the_own_data_centre_come_first(self) -> None:
        peers = [peer("a"), peer("b", "south", 9.0), peer("c", capacity=2.0)]
        found = candidate_sources(peers, peer("z"))
        self.assertEqual(["c", "a"], [one.name for one in found])

    def test_no_two_instances_follow_each_other(self) -> None:
        fleet = [peer(f"i-{n}", capacity=1.0 + n % 3) for n in range(12)]
        asks = {
            own.name: [
                one.name
                for one in candidate_sources(
                    [p for p in fleet if p is not own], own
                )
            ]
            for own in fleet
        }
        for name, asked in asks.items():
            self.assertLessEqual(len(asked), MAX_SOURCES)
            for one in asked:
                self.assertNotIn(name, asks[one])
        readers = [name for name, asked in asks.items() if not asked]
        self.assertEqual(1, len(readers))


class PackTest(testtools.TestCase):
    """Serialization of items."""

    def test_items_round_trip(self) -> None:
        self.assertEqual(ITEMS, list(unpack_items(pack_items(ITEMS))))

    @given(data=st.binary(max_size=200))
    def test_damage_is_a_typed_error_fuzz(self, data: bytes) -> None:
        try:
            unpack_items(data)
        except ProtocolError as err:
            self.assertTrue(err.remedy)


class PeerLoadTest(testtools.TestCase):
    """Watch state that is loaded from a peer."""

    def test_watch_starts_after_the_revision_of_the_peer(self) -> None:
        feed = KeyFeed()
        self.assertEqual(ITEMS, feed.load_from_peer(ITEMS, 40, 99.0, 100.0))
        call = feed.next_call()
        self.assertEqual((StoreCallKind.WATCH, 40), (call.kind, call.revision))
        self.assertEqual(99.0, feed.confirmed_at)

    def test_page_in_flight_removes_nothing(self) -> None:
        # Otherwise only the last page would be applied, and all other keys
        # removed.
        feed = KeyFeed()
        feed.on_page(StorePage((ITEMS[0],), True, 30), 100.0)
        feed.load_from_peer(ITEMS, 40, 99.0, 100.0)
        changes, call = feed.on_page(StorePage((ITEMS[8],), False, 30), 100.1)
        self.assertEqual([], changes)
        self.assertEqual(len(ITEMS), len(feed.items))
        self.assertEqual(StoreCallKind.WATCH, call.kind)

    def test_key_with_a_held_removal_is_not_sent_to_followers(self) -> None:
        feed = KeyFeed()
        feed.load_from_peer(ITEMS, 40, 98.0, 98.0)
        feed.on_failure(98.5)
        feed.timing.on_outage_end(100.5)
        gone = StoreItem(ITEMS[0].key, None, 41)
        feed.on_changes(StorePage((gone,), False, 41), 100.5)
        self.assertIn(ITEMS[0].key, feed.items)
        self.assertEqual(ITEMS[1:], feed.confirmed_items())

    def test_second_load_from_a_peer_finds_removed_and_restored_keys(
        self,
    ) -> None:
        feed = KeyFeed()
        feed.load_from_peer(ITEMS, 40, 98.0, 98.0)
        feed.on_failure(98.5)
        feed.timing.on_outage_end(101.0)
        feed.on_changes(
            StorePage((StoreItem(ITEMS[0].key, None, 41),), False, 41), 101.0
        )
        changes = feed.load_from_peer(ITEMS[:-1], 42, 110.0, 110.0)
        self.assertEqual([StoreItem(ITEMS[-1].key, None, 42)], changes)
        self.assertEqual([], feed.release_held(120.0))

    def test_removal_applied_by_the_source_is_not_held(self) -> None:
        feed = KeyFeed()
        feed.load_from_peer(ITEMS, 40, 100.0, 100.0)
        ends = [StoreItem(item.key, None, 41) for item in ITEMS[:6]]
        self.assertEqual(ends, feed.apply_from_peer(ends, 41, 101.0))
        self.assertEqual(3, len(feed.items))


class FollowingTest(testtools.TestCase):
    """Conditions under which a follower keeps its source."""

    def make_update(self, number: int, packed: bytes = b"") -> StoreUpdate:
        """Returns a message of the source."""
        return StoreUpdate(ADDRESS, number, False, 40, 0.1, False, packed)

    def following(self) -> FollowerState:
        """Returns a follower that started to follow at time 100."""
        following = FollowerState()
        following.begin(self.make_update(7), 100.0)
        return following

    def test_lost_change_is_detected_by_the_next_message(self) -> None:
        following = self.following()
        self.assertFalse(following.has_gap(self.make_update(7)))
        self.assertFalse(following.has_gap(self.make_update(8, b"x")))
        self.assertTrue(following.has_gap(self.make_update(8)))
        self.assertTrue(following.has_gap(self.make_update(9, b"x")))

    def test_restart_of_the_source_is_detected(self) -> None:
        self.assertTrue(self.following().has_gap(self.make_update(0)))

    def test_silence_is_detected_after_two_heartbeats(self) -> None:
        following = self.following()
        self.assertFalse(following.is_silent(100.0 + 2 * HEARTBEAT_INTERVAL_S))
        self.assertTrue(following.is_silent(100.0 + 3 * HEARTBEAT_INTERVAL_S))

    def test_follower_without_keepalive_is_removed(self) -> None:
        followers = FollowerTable()
        followers.register(ADDRESS, 100.0)
        self.assertEqual([ADDRESS], followers.active(100.0 + FOLLOW_INTERVAL_S))
        self.assertEqual([], followers.active(120.0))

    def test_number_of_followers_is_limited(self) -> None:
        followers = FollowerTable()
        for port in range(MAX_FOLLOWERS):
            self.assertTrue(followers.register(("10.0.0.1", port), 100.0))
        self.assertFalse(followers.register(("10.0.0.2", 1), 100.0))
        self.assertTrue(followers.register(("10.0.0.1", 1), 101.0))

    def test_disconnected_source_is_left_in_time(self) -> None:
        self.assertLess(
            MAX_SOURCE_AGE_S + HEARTBEAT_INTERVAL_S, MIN_CHANGE_DELAY_LIMIT_S
        )
        self.assertLess(SOURCE_SILENCE_TIMEOUT_S, MIN_CHANGE_DELAY_LIMIT_S)
