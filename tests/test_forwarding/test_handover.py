"""Load pattern: many instances that start at once and need the same load."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from arbutusbridge.errors import ProtocolError
from arbutusbridge.forwarding.feed import CallKind, Feed, Item, Page
from arbutusbridge.forwarding.gather import Peer
from arbutusbridge.forwarding.handover import (
    MOST_SOURCES,
    pack,
    sources,
    unpack,
)

ADDRESS = ("10.0.0.1", 7380)
ITEMS = [Item(f"servers/{number}", b"value", number) for number in range(9)]


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
            self.assertLessEqual(len(asked), MOST_SOURCES)
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
        feed = Feed()
        changes, call = feed.adopt(ITEMS, 40, 99.0)
        self.assertEqual(ITEMS, changes)
        self.assertEqual((CallKind.WATCH, 40), (call.kind, call.revision))
        self.assertEqual(99.0, feed.confirmed_at)

    def test_page_that_was_on_its_way_ends_nothing(self) -> None:
        # Only its last page would be seen, and the rest taken for ended.
        feed = Feed()
        feed.on_page(Page((ITEMS[0],), True, 30), 100.0)
        feed.adopt(ITEMS, 40, 99.0)
        changes, call = feed.on_page(Page((ITEMS[8],), False, 30), 100.1)
        self.assertEqual([], changes)
        self.assertEqual(len(ITEMS), len(feed.items))
        self.assertEqual(CallKind.WATCH, call.kind)

    def test_entry_whose_end_is_in_doubt_is_not_handed_over(self) -> None:
        feed = Feed()
        feed.adopt(ITEMS, 40, 100.0)
        feed.on_failure()
        gone = Item(ITEMS[0].key, None, 41)
        feed.on_changes(Page((gone,), False, 41), 100.5)
        self.assertIn(ITEMS[0].key, feed.items)
        self.assertEqual(ITEMS[1:], feed.known())
