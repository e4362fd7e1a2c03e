"""Load pattern: many instances that start at once and need the same load."""

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
    MIN_CHANGE_BOUND_S,
    SOURCE_SILENCE_TIMEOUT_S,
    FollowerState,
    FollowerTable,
    StoreUpdate,
    pack,
    sources,
    unpack,
)
from arbutusbridge.forwarding.gather import Peer

ADDRESS = ("10.0.0.1", 7380)
ITEMS = [
    StoreItem(f"servers/{number}", b"value", number) for number in range(9)
]


def peer(name: str, place: str = "north", capacity: float = 1.0) -> Peer:
    """An instance."""
    return Peer(name, place, ADDRESS, capacity)


class SourceTest(testtools.TestCase):
    """Whom an instance asks that starts."""

    def test_strongest_of_the_own_data_centre_comes_first(self) -> None:
        peers = [peer("a"), peer("b", "south", 9.0), peer("c", capacity=2.0)]
        found = sources(peers, peer("z"))
        self.assertEqual(["c", "a"], [one.name for one in found])

    def test_no_two_instances_wait_for_each_other(self) -> None:
        fleet = [peer(f"i-{n}", capacity=1.0 + n % 3) for n in range(12)]
        asks = {
            own.name: [
                one.name
                for one in sources([p for p in fleet if p is not own], own)
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
    """What goes over the wire."""

    def test_items_come_back_as_they_were(self) -> None:
        self.assertEqual(ITEMS, list(unpack(pack(ITEMS))))

    @given(data=st.binary(max_size=200))
    def test_damage_is_a_typed_error_fuzz(self, data: bytes) -> None:
        try:
            unpack(data)
        except ProtocolError as err:
            self.assertTrue(err.remedy)


class AdoptTest(testtools.TestCase):
    """A feed that goes on from what a peer knows."""

    def test_watch_begins_behind_the_peer_s_revision(self) -> None:
        feed = KeyFeed()
        self.assertEqual(ITEMS, feed.adopt(ITEMS, 40, 99.0, 100.0))
        call = feed.next_call()
        self.assertEqual((StoreCallKind.WATCH, 40), (call.kind, call.revision))
        self.assertEqual(99.0, feed.confirmed_at)

    def test_page_that_was_on_its_way_ends_nothing(self) -> None:
        # Only its last page would be seen, and the rest taken for ended.
        feed = KeyFeed()
        feed.on_page(StorePage((ITEMS[0],), True, 30), 100.0)
        feed.adopt(ITEMS, 40, 99.0, 100.0)
        changes, call = feed.on_page(StorePage((ITEMS[8],), False, 30), 100.1)
        self.assertEqual([], changes)
        self.assertEqual(len(ITEMS), len(feed.items))
        self.assertEqual(StoreCallKind.WATCH, call.kind)

    def test_entry_whose_end_is_in_doubt_is_not_handed_over(self) -> None:
        feed = KeyFeed()
        feed.adopt(ITEMS, 40, 100.0, 100.0)
        feed.on_failure()
        gone = StoreItem(ITEMS[0].key, None, 41)
        feed.on_changes(StorePage((gone,), False, 41), 100.5)
        self.assertIn(ITEMS[0].key, feed.items)
        self.assertEqual(ITEMS[1:], feed.known())

    def test_adopting_again_finds_what_ended_and_what_came_back(self) -> None:
        feed = KeyFeed()
        feed.adopt(ITEMS, 40, 100.0, 100.0)
        feed.on_failure()
        feed.on_changes(
            StorePage((StoreItem(ITEMS[0].key, None, 41),), False, 41), 101.0
        )
        changes = feed.adopt(ITEMS[:-1], 42, 110.0, 110.0)
        self.assertEqual([StoreItem(ITEMS[-1].key, None, 42)], changes)
        self.assertEqual([], feed.release(120.0))

    def test_end_that_the_source_believed_is_not_doubted_again(self) -> None:
        feed = KeyFeed()
        feed.adopt(ITEMS, 40, 100.0, 100.0)
        ends = [StoreItem(item.key, None, 41) for item in ITEMS[:6]]
        self.assertEqual(ends, feed.relay(ends, 41, 101.0))
        self.assertEqual(3, len(feed.items))


class FollowingTest(testtools.TestCase):
    """When a follower may trust its source."""

    def news(self, number: int, packed: bytes = b"") -> StoreUpdate:
        """A message of the source."""
        return StoreUpdate(ADDRESS, number, False, 40, 0.1, False, packed)

    def following(self) -> FollowerState:
        """A follower since time 100."""
        following = FollowerState()
        following.begin(self.news(7), 100.0)
        return following

    def test_lost_change_shows_in_the_next_message(self) -> None:
        following = self.following()
        self.assertFalse(following.misses(self.news(7)))
        self.assertFalse(following.misses(self.news(8, b"x")))
        self.assertTrue(following.misses(self.news(8)))
        self.assertTrue(following.misses(self.news(9, b"x")))

    def test_restarted_source_is_no_source(self) -> None:
        self.assertTrue(self.following().misses(self.news(0)))

    def test_silence_is_noticed_after_two_heartbeats(self) -> None:
        following = self.following()
        self.assertFalse(following.is_silent(100.0 + 2 * HEARTBEAT_INTERVAL_S))
        self.assertTrue(following.is_silent(100.0 + 3 * HEARTBEAT_INTERVAL_S))

    def test_follower_without_a_sign_of_life_is_forgotten(self) -> None:
        followers = FollowerTable()
        followers.take(ADDRESS, 100.0)
        self.assertEqual(
            [ADDRESS], followers.current(100.0 + FOLLOW_INTERVAL_S)
        )
        self.assertEqual([], followers.current(120.0))

    def test_followers_are_bounded(self) -> None:
        followers = FollowerTable()
        for port in range(MAX_FOLLOWERS):
            self.assertTrue(followers.take(("10.0.0.1", port), 100.0))
        self.assertFalse(followers.take(("10.0.0.2", 1), 100.0))
        self.assertTrue(followers.take(("10.0.0.1", 1), 101.0))

    def test_source_without_the_store_is_left_within_the_bound(self) -> None:
        self.assertLess(
            MAX_SOURCE_AGE_S + HEARTBEAT_INTERVAL_S, MIN_CHANGE_BOUND_S
        )
        self.assertLess(SOURCE_SILENCE_TIMEOUT_S, MIN_CHANGE_BOUND_S)
