"""Tests of the first load from a peer, on loopback sockets."""

from __future__ import annotations

import base64
import json
import socket

import testtools

from arbutusbridge.daemon.events import announced
from arbutusbridge.daemon.forwardmetrics import ForwardMetrics
from arbutusbridge.daemon.gatherpeers import GatherPeers
from arbutusbridge.daemon.handover import Handover
from arbutusbridge.daemon.platform import PlatformClient
from arbutusbridge.daemon.storefeed import StoreFeed
from arbutusbridge.forwarding.feed import Item
from arbutusbridge.forwarding.gather import Peer
from arbutusbridge.forwarding.gatherwire import PeerCard, encode_card
from arbutusbridge.forwarding.handover import (
    SOURCE_WAIT_S,
    Snapshot,
    SnapshotAsk,
)
from arbutusbridge.platform import DIALECT
from arbutusbridge.standins.deployment import LOOPBACK
from tests.test_daemon.fixtures import Bench, RawUpstream

ITEMS = [Item(f"servers/{number}", b"value", number) for number in range(3)]
CHANNELS = {SnapshotAsk: Handover.channel, Snapshot: Handover.channel}


def free_port() -> int:
    """A port that nothing listens at."""
    with socket.create_server((LOOPBACK, 0)) as listener:
        return listener.getsockname()[1]


class Starter:
    """An instance that starts, as far as its first load goes."""

    def __init__(
        self, name: str, capacity: float, seeds: list[tuple[str, int]]
    ) -> None:
        self.bench = Bench()
        self.raw = RawUpstream()
        address = (LOOPBACK, free_port())
        self.peer = Peer(name, "north", address, capacity)
        store = PlatformClient(
            self.bench.hub, self.bench.timers, [(LOOPBACK, self.raw.port)]
        ).register(self.bench)
        self.feed = StoreFeed(
            [("servers/", announced)], store, DIALECT, self.bench.timers
        ).register(self.bench)
        self.links = GatherPeers(
            address,
            self.bench.hub,
            ForwardMetrics(),
            CHANNELS,
        ).register(self.bench)
        self.handover = Handover(
            self.peer,
            seeds,
            self.feed,
            self.links,
            store,
            DIALECT,
            self.bench.timers,
        ).register(self.bench)
        self.bench.turn()

    def answer(self, *items: tuple[str, str]) -> bytes:
        """Answers a call to the store; returns the request."""
        sock = self.raw.accept()
        self.bench.turn()
        asked = sock.recv(4096)
        rows = [
            {"key": key, "value": value, "revision": 5} for key, value in items
        ]
        body = {"items": rows, "has_more": False, "current_rev": 7}
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
        sock.sendall(head.encode() + data)
        self.bench.turn()
        self.sock = sock
        return asked


class HandoverTest(testtools.TestCase):
    """An instance that starts beside one that runs."""

    def setUp(self) -> None:
        super().setUp()
        self.old = Starter("n-1", 2.0, [])
        self.old.feed.adopt(ITEMS, 40, 0.0)
        self.old.bench.turn()
        self.addCleanup(self.old.links.links.close)

    def start(self, *seeds: tuple[str, int]) -> Starter:
        """Starts another instance."""
        new = Starter("n-2", 1.0, list(seeds))
        self.addCleanup(new.links.links.close)
        return new

    def card(self) -> tuple[str, str]:
        """The key of the instance that runs, as the store holds it."""
        peer = self.old.peer
        card = PeerCard("north", *peer.address, peer.capacity)
        value = base64.b64encode(encode_card(card)).decode()
        return f"arbutusbridge/instances/north/{peer.name}", value

    def turn_until_loaded(self, new: Starter) -> None:
        """Turns both instances until the new one knows the store."""

        def loaded() -> bool:
            self.old.bench.tick(0.002)
            return new.feed.loaded

        new.bench.turn_until(loaded)

    def test_peer_named_by_the_store_hands_over(self) -> None:
        new = self.start()
        asked = new.answer(self.card())
        self.assertIn(b"prefix=arbutusbridge%2Finstances%2Fnorth%2F", asked)
        self.turn_until_loaded(new)
        self.assertEqual(ITEMS, list(new.feed.feed.items.values()))
        new.bench.turn()
        self.assertIn(b"after=40", new.sock.recv(4096))

    def test_without_peers_the_store_is_read(self) -> None:
        new = self.start()
        new.answer()
        self.assertIn(b"/kv-range?prefix= ", new.sock.recv(4096))

    def test_silent_peer_is_waited_for_a_short_time(self) -> None:
        new = self.start()
        new.answer(self.card())
        self.assertFalse(new.feed.begun)
        new.bench.now += SOURCE_WAIT_S + 0.01
        new.bench.turn()
        self.assertIn(b"/kv-range?prefix= ", new.sock.recv(4096))

    def test_start_while_the_store_is_down_serves_from_a_seed(self) -> None:
        new = self.start(self.old.peer.address)
        new.raw.accept().close()
        self.turn_until_loaded(new)
        self.assertEqual(40, new.feed.feed.revision)

    def test_first_load_that_lasts_is_handed_over_when_done(self) -> None:
        slow = self.start()
        new = Starter("n-3", 0.5, [slow.peer.address])
        self.addCleanup(new.links.links.close)
        new.raw.accept().close()
        for _ in range(50):
            new.bench.tick(0.002)
            slow.bench.tick(0.002)
        self.assertFalse(new.feed.loaded)
        slow.feed.adopt(ITEMS, 41, 0.0)

        def loaded() -> bool:
            slow.bench.tick(0.002)
            return new.feed.loaded

        new.bench.turn_until(loaded)
        self.assertEqual(41, new.feed.feed.revision)
