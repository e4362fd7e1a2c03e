"""Tests of the store follower on loopback sockets."""

from __future__ import annotations

import base64
import json

import testtools

from arbutusbridge.core.messages import StoreItem, StorePage
from arbutusbridge.daemon.events import upstreams_changed
from arbutusbridge.daemon.following import StoreFollower
from arbutusbridge.daemon.forwardmetrics import ForwardMetrics
from arbutusbridge.daemon.peermessenger import PeerMessenger
from arbutusbridge.daemon.platform import PlatformClient
from arbutusbridge.daemon.storefeed import StoreFeed
from arbutusbridge.forwarding.following import (
    FOLLOW_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    MIN_MEMBERS_TO_FOLLOW,
    SOURCE_TIMEOUT_S,
    FollowRequest,
    StoreUpdate,
)
from arbutusbridge.forwarding.gather import Peer, PeerTable
from arbutusbridge.forwarding.gatherwire import (
    CURRENT_PROTOCOL,
    InstanceRecord,
    encode_instance_record,
)
from arbutusbridge.platform import DIALECT, WIRE
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports
from tests.test_daemon.fixtures import ComponentBench, RawUpstream

ITEMS = [
    StoreItem(f"servers/{number}", b"value", number) for number in range(3)
]
CHANNELS = {
    FollowRequest: StoreFollower.channel,
    StoreUpdate: StoreFollower.channel,
}


class StartingInstance:
    """The components of an instance that perform its first load."""

    def __init__(
        self,
        name: str,
        capacity: float,
        seeds: list[tuple[str, int]],
        max_change_delay_s: float = 3.0,
    ) -> None:
        self.bench = ComponentBench()
        self.raw = RawUpstream()
        address = (LOOPBACK, find_free_ports(1)[0])
        self.peer = Peer(name, "north", address, capacity)
        store = PlatformClient(
            self.bench.hub,
            self.bench.timers,
            [(LOOPBACK, self.raw.port)],
            read_era=DIALECT.read_era,
        ).register(self.bench)
        self.store = store
        self.feed = StoreFeed(
            [("servers/", upstreams_changed)],
            store,
            DIALECT,
            self.bench.timers,
            WIRE.key_rules,
        ).register(self.bench)
        self.messenger = PeerMessenger(
            address,
            self.bench.hub,
            ForwardMetrics(),
            CHANNELS,
            lambda _address: CURRENT_PROTOCOL,
        ).register(self.bench)
        self.peer_table = PeerTable()
        self.store_follower = StoreFollower(
            self.peer,
            self.peer_table,
            seeds,
            max_change_delay_s,
            self.feed,
            self.messenger,
            store,
            DIALECT,
            self.bench.timers,
        ).register(self.bench)
        self.bench.turn()

    def answer(self, *items: tuple[str, str], era: int = 1) -> bytes:
        """Answers a store call with items; returns the request."""
        sock = self.raw.accept()
        self.bench.turn()
        asked = sock.recv(4096)
        rows = [
            {"key": key, "value": value, "revision": 5} for key, value in items
        ]
        body = {"items": rows, "has_more": False, "current_rev": 7}
        data = json.dumps(body).encode()
        head = (
            f"HTTP/1.1 200 OK\r\nStore-Era: {era}\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        sock.sendall(head.encode() + data)
        self.bench.turn()
        self.sock = sock
        return asked


class StartTest(testtools.TestCase):
    """An instance loads the store from a running peer at its start."""

    def setUp(self) -> None:
        super().setUp()
        self.running = StartingInstance("n-1", 2.0, [])
        self.running.feed.apply_snapshot(ITEMS, 40, 0.0)
        self.running.bench.turn()
        self.addCleanup(self.running.messenger.links.close)

    def start(self, *seeds: tuple[str, int]) -> StartingInstance:
        """Starts a second instance."""
        new = StartingInstance("n-2", 1.0, list(seeds))
        self.addCleanup(new.messenger.links.close)
        return new

    def record(self) -> tuple[str, str]:
        """Returns the store key and value of the running instance."""
        peer = self.running.peer
        record = InstanceRecord("north", *peer.address, peer.capacity)
        value = base64.b64encode(encode_instance_record(record)).decode()
        return f"arbutusbridge/instances/north/{peer.name}", value

    def turn_until_loaded(self, new: StartingInstance) -> None:
        """Runs both event loops until the new instance has loaded."""

        def loaded() -> bool:
            self.running.bench.tick(0.002)
            return new.feed.loaded

        new.bench.turn_until(loaded)

    def test_peer_listed_in_the_store_sends_a_snapshot(self) -> None:
        new = self.start()
        asked = new.answer(self.record())
        self.assertIn(b"prefix=arbutusbridge%2Finstances%2Fnorth%2F", asked)
        self.turn_until_loaded(new)
        self.assertEqual(ITEMS, list(new.feed.key_feed.items.values()))
        new.bench.turn()
        self.assertIn(b"after=40", new.sock.recv(4096))

    def test_without_peers_the_store_is_read(self) -> None:
        new = self.start()
        new.answer()
        self.assertIn(b"/kv-range?prefix= ", new.sock.recv(4096))

    def test_source_that_does_not_answer_times_out(self) -> None:
        new = self.start()
        new.answer(self.record())
        self.assertFalse(new.feed.reading)
        new.bench.now += SOURCE_TIMEOUT_S + 0.01
        new.bench.turn()
        self.assertIn(b"/kv-range?prefix= ", new.sock.recv(4096))

    def test_start_while_the_store_is_down_serves_from_a_seed(self) -> None:
        new = self.start(self.running.peer.address)
        new.raw.accept().close()
        self.turn_until_loaded(new)
        self.assertEqual(40, new.feed.key_feed.revision)

    # Guards against an instance that starts with a configuration older than the
    # one in force, as the store has lost that and the keys of the instances.
    def test_list_that_a_restored_store_has_lost_is_replaced_by_seeds(
        self,
    ) -> None:
        new = self.start(self.running.peer.address)
        new.answer(era=2)
        self.turn_until_loaded(new)
        items = new.feed.key_feed.items.values()
        self.assertEqual(
            [(item.key, item.value) for item in ITEMS],
            [(item.key, item.value) for item in items],
        )
        # They may be of an earlier era, and are loaded again.
        self.assertEqual(2, new.feed.key_feed.era)
        self.assertIsNone(new.feed.key_feed.revision)

    # Guards against items that are voided because the source did not name the
    # era before it knew this instance.
    def test_era_that_is_named_later_voids_nothing(self) -> None:
        key_feed = self.running.feed.key_feed
        self.running.feed.apply_changes([], 41, 0.0, 1)
        self.assertEqual((1, 41), (key_feed.era, key_feed.revision))
        self.assertEqual(ITEMS, list(key_feed.items.values()))

    def test_slow_first_load_is_sent_when_complete(self) -> None:
        slow = self.start()
        new = StartingInstance("n-3", 0.5, [slow.peer.address])
        self.addCleanup(new.messenger.links.close)
        new.raw.accept().close()
        for _ in range(50):
            new.bench.tick(0.002)
            slow.bench.tick(0.002)
        self.assertFalse(new.feed.loaded)
        slow.feed.apply_snapshot(ITEMS, 41, 0.0)

        def loaded() -> bool:
            slow.bench.tick(0.002)
            return new.feed.loaded

        new.bench.turn_until(loaded)
        self.assertEqual(41, new.feed.key_feed.revision)


class FollowTest(testtools.TestCase):
    """In a large data centre one instance watches the store for the others."""

    def setUp(self) -> None:
        super().setUp()
        self.source = StartingInstance("n-1", 2.0, [], max_change_delay_s=5.0)
        self.source.answer()
        self.source.feed.apply_snapshot(ITEMS, 40, 0.0)
        self.source.feed.begin()
        self.follower = StartingInstance(
            "n-2", 1.0, [self.source.peer.address], 5.0
        )
        self.follower.raw.accept().close()
        for instance in (self.source, self.follower):
            self.addCleanup(instance.messenger.links.close)
            others = [
                Peer(f"n-{n}", "north", (LOOPBACK, 1))
                for n in range(3, MIN_MEMBERS_TO_FOLLOW + 1)
            ]
            pair = [self.source.peer, self.follower.peer]
            others += [peer for peer in pair if peer is not instance.peer]
            instance.peer_table.update(others)
        self.turn_until(lambda: self.follower.feed.loaded)

    def turn_until(self, done) -> None:
        """Runs both event loops until a condition holds."""

        def both():
            self.source.bench.tick(0.002)
            return done()

        self.follower.bench.turn_until(both)

    def receive_change(self, item: StoreItem) -> None:
        """Makes the watch of the source return a change."""
        page = StorePage((item,), False, item.revision)
        changes, _ = self.source.feed.key_feed.on_changes(page, 200.0)
        self.source.feed.report(changes)

    def advance(self, seconds: float) -> None:
        """Advances the clocks of both instances."""
        self.source.bench.now += seconds
        self.follower.bench.now += seconds

    def test_follower_gets_changes_without_reading_the_store(self) -> None:
        self.assertFalse(self.follower.feed.reading)
        new = StoreItem("servers/9", b"value", 41)
        self.receive_change(new)
        self.turn_until(lambda: new.key in self.follower.feed.key_feed.items)
        ended = StoreItem(ITEMS[0].key, None, 42)
        self.receive_change(ended)
        self.turn_until(
            lambda: ended.key not in self.follower.feed.key_feed.items
        )

    def test_follower_of_a_stopped_source_watches_the_store(self) -> None:
        self.source.messenger.links.close()
        for _ in range(4):
            self.follower.bench.now += HEARTBEAT_INTERVAL_S
            self.follower.bench.turn()
        self.assertTrue(self.follower.feed.reading)
        # The connection of the read before the snapshot is accepted first.
        self.assertIn(b"/kv-range", self.asked())
        self.assertIn(b"after=40", self.asked())

    def asked(self) -> bytes:
        """Returns the next call to the follower's store."""
        sock = self.follower.raw.accept()
        self.follower.bench.turn()
        return sock.recv(4096)

    def test_follower_of_a_source_without_the_store_watches_it(self):
        for _ in range(5):
            self.advance(HEARTBEAT_INTERVAL_S)
            self.source.bench.turn()
            self.follower.bench.turn()
        self.turn_until(lambda: self.follower.feed.reading)

    # Guards against followers that skip what the store says after it came back
    # from an older copy, because the revisions are lower.
    def test_follower_gets_the_changes_of_a_new_era(self) -> None:
        key_feed = self.follower.feed.key_feed
        self.source.feed.apply_changes([], 40, 0.0, 1)
        self.source.feed.reading = True
        self.source.store.era = 2
        self.source.feed.note_era()
        items = [StoreItem("servers/0", b"new", 31), *ITEMS[1:]]
        page = StorePage(tuple(items), False, 31)
        changes, _ = self.source.feed.key_feed.on_page(page, 200.0)
        self.source.feed.report(changes)
        self.turn_until(lambda: key_feed.items[items[0].key] == items[0])
        self.assertEqual((2, 31), (key_feed.era, key_feed.revision))
        self.receive_change(StoreItem("servers/1", b"newer", 32))
        self.turn_until(lambda: key_feed.items["servers/1"].value == b"newer")

    # Guards against a source that does not notice the new era.
    def test_follower_leaves_a_source_of_an_older_era(self) -> None:
        self.follower.feed.key_feed.era = 1
        self.follower.store.era = 2
        for _ in range(4):
            self.advance(HEARTBEAT_INTERVAL_S)
            self.source.feed.key_feed.confirmed_at = self.source.bench.now
            self.source.bench.turn()
            self.follower.bench.turn()
        self.turn_until(lambda: self.follower.feed.reading)
        self.assertIsNone(self.follower.feed.key_feed.revision)
        self.assertEqual(2, self.follower.feed.key_feed.era)

    def test_follower_is_kept_by_renewing_its_subscription(self) -> None:
        address = self.follower.peer.address
        followers = self.source.store_follower.followers
        before = followers.seen[address]
        for _ in range(int(FOLLOW_INTERVAL_S / HEARTBEAT_INTERVAL_S) + 1):
            self.advance(HEARTBEAT_INTERVAL_S)
            self.source.feed.key_feed.confirmed_at = self.source.bench.now
            self.source.bench.turn()
            self.follower.bench.turn()
        self.turn_until(lambda: followers.seen[address] > before)
        self.assertFalse(self.follower.feed.reading)

    def test_lost_update_makes_the_follower_read_the_store(self) -> None:
        self.source.store_follower.followers.number += 1
        self.advance(HEARTBEAT_INTERVAL_S)
        self.turn_until(lambda: self.follower.feed.reading)
