"""Tests of a store that comes back from an older copy, on loopback."""

from __future__ import annotations

import json
from collections import Counter

import orjson
import testtools
from circuits import BaseComponent, handler

from arbutusbridge.core.messages import StoreItem, StoreStatus
from arbutusbridge.daemon.events import (
    instances_changed,
    routing_changed,
    upstreams_changed,
)
from arbutusbridge.daemon.platform import PlatformClient
from arbutusbridge.daemon.presence import InstancePresence
from arbutusbridge.daemon.queries import QueryDriver
from arbutusbridge.daemon.storefeed import StoreFeed
from arbutusbridge.forwarding.gatherwire import InstanceRecord
from arbutusbridge.forwarding.presence import INSTANCES_PREFIX
from arbutusbridge.forwarding.removals import REMOVAL_GRACE_S
from arbutusbridge.platform import DIALECT, WIRE
from arbutusbridge.platform.standins import StoreFault, StoreStandIn
from arbutusbridge.platform.store import page_request
from arbutusbridge.standins.deployment import LOOPBACK
from arbutusbridge.standins.platform import PlatformStandIn
from tests.test_daemon.fixtures import ComponentBench, RawUpstream

CONFIGURATION = WIRE.configuration_key


def version(number: int) -> bytes:
    """Returns a version of the configuration, as far as its number matters."""
    return orjson.dumps({"version": number})


def announcement(seq: int, state: str = "ready", born: int = 1) -> bytes:
    """Returns an announcement of an upstream."""
    return orjson.dumps({"state": state, "seq": seq, "born": born})


class Changes(BaseComponent):
    """Collects the changes that come into force, by key.

    Attributes:
      values: Values by key, None for removed ones.
      count: Number of changes.
    """

    channel = "changes"

    def __init__(self) -> None:
        super().__init__()
        self.values: dict[str, bytes | None] = {}
        self.count = 0

    @handler("routing_changed", "upstreams_changed", channel="*")
    def on_changed(self, items: list[StoreItem]) -> None:
        self.count += len(items)
        self.values.update({item.key: item.value for item in items})


class RestoreCase(testtools.TestCase):
    """One instance's feed and presence at a stand-in for the store."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.store = StoreStandIn(
            self.bench.hub,
            (LOOPBACK, 0),
            lambda: self.bench.now,
            lambda seconds, function: self.scheduled.append(
                (self.bench.now + seconds, function)
            ),
        )
        self.scheduled = []
        self.client = PlatformClient(
            self.bench.hub,
            self.bench.timers,
            [(LOOPBACK, self.store.server.port)],
            read_era=DIALECT.read_era,
        ).register(self.bench)
        self.feed = StoreFeed(
            [
                (CONFIGURATION, routing_changed),
                (WIRE.upstreams_prefix, upstreams_changed),
                (INSTANCES_PREFIX, instances_changed),
            ],
            self.client,
            DIALECT,
            self.bench.timers,
            WIRE.key_rules,
        ).register(self.bench)
        self.changes = Changes().register(self.bench)
        self.store.put(CONFIGURATION, version(3))
        for number in range(6):
            self.put(f"u{number}", announcement(1))

    def put(self, name: str, value: bytes) -> None:
        self.store.put(WIRE.upstreams_prefix + name, value)

    def value(self, name: str) -> bytes | None:
        return self.changes.values.get(WIRE.upstreams_prefix + name)

    def pass_time(self, seconds: float) -> None:
        """Lets time pass in steps, with the timers of the store."""
        end = self.bench.now + seconds
        while self.bench.now < end:
            self.bench.now += 0.05
            due = [one for one in self.scheduled if one[0] <= self.bench.now]
            self.scheduled = [one for one in self.scheduled if one not in due]
            for _, function in due:
                function()
            self.bench.turn(8)

    def start(self) -> None:
        self.feed.begin()
        self.pass_time(1.0)

    def restore_after_writes(self) -> None:
        """Writes ten times; then the store comes back from before."""
        copy = self.store.copy()
        for number in range(9):
            self.put("u0", announcement(2 + number))
        self.store.put(CONFIGURATION, version(4))
        self.pass_time(2.0)
        self.store.restore(copy)


class FeedRestoreTest(RestoreCase):
    """What is known of the keys."""

    # Guards against a version that never takes effect, because its revision is
    # before that of the version before (review/3).
    def test_version_with_a_lower_revision_takes_effect(self) -> None:
        self.start()
        self.restore_after_writes()
        self.pass_time(0.3)
        self.store.put(CONFIGURATION, version(4))
        self.pass_time(1.0)
        self.store.put(CONFIGURATION, version(5))
        self.pass_time(2.0)
        self.assertEqual(version(5), self.changes.values[CONFIGURATION])
        self.assertEqual(2, self.feed.key_feed.era)
        self.assertEqual(1, self.client.restores)

    # Guards against a configuration that goes back, also for the instances that
    # take it from this one.
    def test_newer_version_stays_until_it_is_written_again(self) -> None:
        self.start()
        copy = self.store.copy()
        self.store.put(CONFIGURATION, version(4))
        self.pass_time(2.0)
        self.store.restore(copy)
        self.pass_time(5.0)
        self.assertEqual(version(4), self.changes.values[CONFIGURATION])
        snapshot = {
            item.key: item.value
            for item in self.feed.key_feed.confirmed_items()
        }
        self.assertEqual(version(4), snapshot[CONFIGURATION])

    def test_configuration_that_the_copy_lacks_stays(self) -> None:
        self.store.delete(CONFIGURATION)
        copy = self.store.copy()
        self.store.put(CONFIGURATION, version(3))
        self.start()
        self.store.restore(copy)
        self.pass_time(5.0)
        self.assertEqual(version(3), self.changes.values[CONFIGURATION])
        self.assertIn(CONFIGURATION, self.feed.key_feed.items)

    # Guards against requests to an upstream that had announced that it leaves,
    # or had left, before the store came back from an older copy.
    def test_older_announcements_are_not_used(self) -> None:
        self.start()
        copy = self.store.copy()
        self.put("u0", announcement(2, "draining"))
        self.put("u1", announcement(2, "draining"))
        self.pass_time(2.0)
        self.store.delete(WIRE.upstreams_prefix + "u1")
        self.pass_time(2.0)
        self.store.restore(copy)
        self.pass_time(4.0)
        self.assertEqual(announcement(2, "draining"), self.value("u0"))
        self.assertIsNone(self.value("u1"))
        self.put("u0", announcement(3, "draining"))
        self.put("u1", announcement(1, born=2))
        self.pass_time(2.0)
        self.assertEqual(announcement(3, "draining"), self.value("u0"))
        self.assertEqual(announcement(1, born=2), self.value("u1"))

    # Guards against upstreams that are given up because the copy lacks them,
    # and against those that stay although nobody writes them again.
    def test_missing_upstreams_are_held_as_after_an_outage(self) -> None:
        self.start()
        copy = self.store.copy()
        self.put("new", announcement(1))
        self.put("gone", announcement(1))
        self.pass_time(2.0)
        self.store.restore(copy)
        self.pass_time(REMOVAL_GRACE_S - 0.5)
        self.assertEqual(announcement(1), self.value("gone"))
        self.put("new", announcement(2))
        self.pass_time(1.5)
        self.assertEqual(announcement(2), self.value("new"))
        self.assertIsNone(self.value("gone"))

    def test_several_restores_in_a_row(self) -> None:
        self.start()
        copy = self.store.copy()
        for number in range(4, 8):
            self.store.put(CONFIGURATION, version(number))
            self.pass_time(0.4)
            self.store.restore(copy)
            self.pass_time(0.1)
        self.store.put(CONFIGURATION, version(8))
        self.pass_time(3.0)
        self.assertEqual(version(8), self.changes.values[CONFIGURATION])
        self.assertEqual(5, self.feed.key_feed.era)

    def test_restore_during_a_load_after_lost_history(self) -> None:
        self.start()
        copy = self.store.copy()
        self.store.put(CONFIGURATION, version(4))
        self.pass_time(2.0)
        self.store.discard_history()
        self.put("u0", announcement(2))
        self.bench.turn(4)
        self.store.restore(copy)
        self.pass_time(2.0)
        self.store.put(CONFIGURATION, version(5))
        self.pass_time(2.0)
        self.assertEqual(version(5), self.changes.values[CONFIGURATION])

    # Guards against changes that are missed because their revisions are not
    # after that of the watch, at an instance that was cut off meanwhile.
    def test_instance_that_is_cut_off_during_the_restore(self) -> None:
        self.start()
        copy = self.store.copy()
        self.store.put(CONFIGURATION, version(4))
        self.pass_time(2.0)
        self.store.set_fault(StoreFault.SILENT)
        self.pass_time(1.0)
        self.store.restore(copy)
        for number in range(5, 12):
            self.store.put(CONFIGURATION, version(number))
        self.pass_time(3.0)
        self.store.set_fault(StoreFault.NONE)
        self.pass_time(6.0)
        self.assertEqual(version(11), self.changes.values[CONFIGURATION])

    # Guards against a feed that goes back because a peer has told it of an era
    # that this instance's own calls have not shown yet.
    def test_later_era_from_a_peer_is_kept(self) -> None:
        self.start()
        self.feed.apply_changes([], 40, 0.0, 2)
        self.feed.begin()
        self.assertEqual(40, self.feed.key_feed.revision)
        self.assertFalse(self.feed.note_era())
        self.assertEqual(2, self.feed.key_feed.era)

    # Guards against a new decision for each of thousands of unchanged keys.
    def test_unchanged_items_change_nothing(self) -> None:
        self.start()
        copy = self.store.copy()
        before = self.changes.count
        self.store.restore(copy)
        self.pass_time(3.0)
        self.assertEqual(before, self.changes.count)


class EraTest(RestoreCase):
    """Eras of the replies to single calls."""

    def setUp(self) -> None:
        super().setUp()
        self.raw = RawUpstream()
        self.client.addresses = [(LOOPBACK, self.raw.port)]
        self.results = []

    def send(self):
        """Sends a call and returns the store's end of its connection."""
        self.client.send_call(
            page_request("", ""), ("t", "page"), self.results.append
        )
        self.bench.turn()
        sock = self.raw.accept()
        self.bench.turn()
        sock.recv(4096)
        return sock

    def answer(self, sock, era: int | None, revision: int = 7) -> StoreStatus:
        """Answers a call; returns the status of its result."""
        body = json.dumps(
            {"items": [], "has_more": False, "current_rev": revision}
        ).encode()
        named = "" if era is None else f"Store-Era: {era}\r\n"
        head = f"HTTP/1.1 200 OK\r\n{named}Content-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)
        self.bench.turn_until(lambda: self.results)
        return self.results.pop().status

    # Guards against a late answer that brings back what is no longer true.
    def test_late_answer_of_an_older_era_is_not_used(self) -> None:
        socks = [self.send() for _ in range(4)]
        self.assertIs(StoreStatus.DONE, self.answer(socks[0], 4))
        self.assertIs(StoreStatus.DONE, self.answer(socks[1], 5))
        self.assertIs(StoreStatus.RESTORED, self.answer(socks[2], 4))
        self.assertEqual((5, 1), (self.client.era, self.client.restores))
        self.assertIs(StoreStatus.DONE, self.answer(socks[3], 5))

    def test_call_sent_before_the_restore_is_not_used(self) -> None:
        self.assertIs(StoreStatus.DONE, self.answer(self.send(), 4))
        self.client.idle_connections.clear()
        socks = [self.send() for _ in range(2)]
        self.assertIs(StoreStatus.RESTORED, self.answer(socks[0], 5))
        self.assertIs(StoreStatus.RESTORED, self.answer(socks[1], 5))

    def test_answer_without_an_era_is_used(self) -> None:
        self.assertIs(StoreStatus.DONE, self.answer(self.send(), None))
        self.assertIsNone(self.client.era)


class PresenceRestoreTest(RestoreCase):
    """The key of an instance and its lease."""

    def setUp(self) -> None:
        super().setUp()
        self.counts = []
        self.presence = InstancePresence(
            "n-1",
            InstanceRecord("north", LOOPBACK, 7380),
            self.client,
            DIALECT,
            self.bench.timers,
            lambda count, _peers: self.counts.append(count),
        ).register(self.bench)

    # Guards against an instance that is counted as gone, and against one that
    # renews or ends the lease of another instance, which has the same number.
    def test_key_is_written_again_under_a_new_lease(self) -> None:
        copy = self.store.copy()
        self.start()
        lease = self.presence.instance_count.lease
        self.assertIn(self.presence.key, self.store.items)
        self.store.restore(copy)
        self.store.leases[lease] = (12.0, self.bench.now + 12.0)
        self.store.put("other", b"", lease)
        self.pass_time(2.0)
        _, own_lease = self.store.items[self.presence.key]
        self.assertNotEqual(lease, own_lease)
        self.assertEqual(own_lease, self.presence.instance_count.lease)
        self.pass_time(30.0)
        self.assertIn(self.presence.key, self.store.items)
        self.assertNotIn("other", self.store.items)

    # Guards against all instances that write at the same moment, more than the
    # smallest store takes in a second.
    def test_new_leases_of_the_planned_size_are_spread(self) -> None:
        delays: list[float] = []
        self.presence.instance_count.counts = [(self.bench.now, 570)]
        self.patch(
            self.bench.timers,
            "after",
            lambda seconds, _channel, _token: delays.append(seconds),
        )
        for _ in range(570):
            self.presence.on_store_restored(2)
        per_second = Counter(int(delay) for delay in delays)
        # Two writes each: the lease and the key.
        self.assertTrue(2 * max(per_second.values()) < 400, per_second)

    def test_lease_that_the_store_does_not_know_is_taken_anew(self) -> None:
        copy = self.store.copy()
        self.start()
        self.store.restore(copy)
        # A store that names no era: the lease is the first sign.
        self.client.read_era = lambda _headers: None
        self.pass_time(8.0)
        self.assertIn(self.presence.key, self.store.items)


class NoEraTest(RestoreCase):
    """A store that names no era."""

    def setUp(self) -> None:
        super().setUp()
        self.client.read_era = lambda _headers: None

    # Guards against the same faults where the revision is the only sign.
    def test_lower_revision_is_the_first_sign(self) -> None:
        self.start()
        self.restore_after_writes()
        self.pass_time(2.0)
        self.store.put(CONFIGURATION, version(5))
        self.pass_time(2.0)
        self.assertEqual(version(5), self.changes.values[CONFIGURATION])


class ClaimsRestoreTest(testtools.TestCase):
    """The project's own interface, with the stand-in of its platform."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.platform = PlatformStandIn(
            self.bench.hub, self.bench.timers, (LOOPBACK, 0)
        ).register(self.bench)
        self.results = []

    def connect(self) -> PlatformClient:
        address = (LOOPBACK, self.platform.server.port)
        return PlatformClient(
            self.bench.hub, self.bench.timers, [address]
        ).register(self.bench)

    def get(self, client: PlatformClient) -> StoreStatus:
        """Reads a key and returns the status of the result."""
        client.get(("t", "get"), "k", self.results.append)
        self.bench.turn_until(lambda: self.results)
        return self.results.pop().status

    def drive(self, client: PlatformClient) -> QueryDriver:
        """Returns the component that judges the claims of an instance."""
        driver = QueryDriver("north", self.bench.timers, client, None, None)
        driver.channel = "other"
        return driver.register(self.bench)

    def test_restore_makes_claims_doubtful(self) -> None:
        client = self.connect()
        driver = self.drive(client)
        self.assertIs(StoreStatus.DONE, self.get(client))
        driver.note_era()
        self.assertEqual(0, driver.tier.claims_lost_before_ms)
        self.platform.restore({}, 0)
        self.assertIs(StoreStatus.RESTORED, self.get(client))
        self.bench.turn()
        self.assertTrue(driver.tier.claims_lost_before_ms)
        self.assertIs(StoreStatus.DONE, self.get(client))

    # Guards against an instance that starts just after a restore and takes a
    # claim that is missing for one that was never made.
    def test_start_at_a_restored_store_makes_claims_doubtful(self) -> None:
        self.platform.restore({}, 0)
        client = self.connect()
        driver = self.drive(client)
        self.assertIs(StoreStatus.DONE, self.get(client))
        driver.note_era()
        self.assertTrue(driver.tier.claims_lost_before_ms)
