"""Tests of quarantines in the store, on loopback with its stand-in."""

from __future__ import annotations

import random

import testtools

from arbutusbridge.core.requests.quarantine import CrashReport
from arbutusbridge.daemon.events import quarantine_changed
from arbutusbridge.daemon.platform import PlatformClient
from arbutusbridge.daemon.quarantinestore import (
    ADOPTED_WRITE_DELAY_S,
    QuarantineStore,
)
from arbutusbridge.daemon.storefeed import StoreFeed
from arbutusbridge.forwarding import Forwarder, Locality
from arbutusbridge.forwarding.quarantinerecord import (
    QUARANTINE_PREFIX,
    decode_record,
)
from arbutusbridge.forwarding.shared import SETTLE_S
from arbutusbridge.platform import DIALECT
from arbutusbridge.platform.standins import StoreFault, StoreStandIn
from arbutusbridge.standins.deployment import LOOPBACK
from tests.test_daemon.fixtures import ComponentBench
from tests.test_forwarding.fixtures import BOUNDS, REGIONS

KEY = f"{QUARANTINE_PREFIX}f"
WALL_OFFSET_S = 1_000_000.0


class Driver:
    """Forwarder whose actions are collected."""

    def __init__(self) -> None:
        place = Locality("north", REGIONS)
        self.forwarder = Forwarder(place, BOUNDS, random.Random(1))
        self.actions = []

    def carry_out(self, actions) -> None:
        self.actions += actions


class Instance:
    """Parts of an instance that keep quarantines in the store."""

    def __init__(self, bench: ComponentBench, port: int, name: str) -> None:
        self.driver = Driver()
        self.client = PlatformClient(
            bench.hub, bench.timers, [(LOOPBACK, port)]
        ).register(bench)
        self.feed = StoreFeed(
            [(QUARANTINE_PREFIX, quarantine_changed)],
            self.client,
            DIALECT,
            bench.timers,
        ).register(bench)
        self.feed.begin()
        self.keeper = QuarantineStore(
            name,
            self.driver,
            self.client,
            DIALECT,
            bench.timers,
            lambda: bench.now + WALL_OFFSET_S,
        ).register(bench)

    @property
    def quarantine(self):
        return self.driver.forwarder.quarantine


class QuarantineStoreTest(testtools.TestCase):
    """One instance at a time, with a store that outlasts it."""

    def setUp(self) -> None:
        super().setUp()
        self.instance = self.start("north-0", {})

    def start(self, name: str, items) -> Instance:
        """Starts an instance on a store that holds some items."""
        self.bench = ComponentBench()
        self.store = StoreStandIn(
            self.bench.hub,
            (LOOPBACK, 0),
            lambda: self.bench.now,
            lambda _seconds, _function: None,
        )
        self.store.items = dict(items)
        instance = Instance(self.bench, self.store.server.port, name)
        self.bench.turn()
        return instance

    def convict(self, reporter: str = "a") -> None:
        """Quarantines the request ``f`` by two reported crashes."""
        for upstream, age_s in (("u1@1", 1.0), ("u2@1", 0.0)):
            report = CrashReport(
                "f", upstream, 1.0, age_s, reporter, age_s + 0.1
            )
            self.instance.quarantine.on_crash_report(report, self.bench.now)
        driver = self.instance.driver
        self.bench.now += SETTLE_S
        driver.carry_out(driver.forwarder.exchange_notices(self.bench.now))

    def pass_time(self, seconds: float) -> None:
        """Passes time in steps in which the store answers."""
        for _ in range(round(seconds * 2)):
            self.bench.now += 0.5
            self.bench.turn(8)

    # Guards against a quarantine that ends with the instances that know it.
    def test_started_instance_finds_the_quarantine_in_the_store(self) -> None:
        self.convict()
        self.pass_time(2.0)
        self.assertIn(KEY, self.store.items)
        now = self.bench.now
        self.instance = self.start("north-1", self.store.items)
        self.bench.now = now
        self.pass_time(1.0)
        self.assertTrue(
            self.instance.quarantine.quarantined("f", self.bench.now)
        )
        self.assertEqual([], self.bench.failures)

    # Guards against a call to the store for each loss.
    def test_suspects_are_not_written(self) -> None:
        before = self.instance.client.calls_made
        for number in range(50):
            report = CrashReport(f"s{number}", "u1@1", 1.0, 0.0, "a", 0.1)
            self.instance.quarantine.on_crash_report(report, self.bench.now)
        self.pass_time(2.0)
        self.assertEqual(before, self.instance.client.calls_made)

    # Guards against a store that is down when a request is quarantined.
    def test_quarantine_is_written_once_the_store_is_back(self) -> None:
        self.store.set_fault(StoreFault.REFUSING)
        self.convict()
        self.pass_time(4.0)
        self.assertNotIn(KEY, self.store.items)
        self.store.set_fault(StoreFault.NONE)
        self.pass_time(8.0)
        self.assertIn(KEY, self.store.items)

    # Guards against a store that comes back from an older copy without the
    # keys of quarantines.
    def test_quarantine_that_the_store_lost_is_written_again(self) -> None:
        self.convict()
        self.pass_time(2.0)
        self.store.delete(KEY)
        self.pass_time(4.0)
        self.assertIn(KEY, self.store.items)

    # Guards against a quarantine that starts anew with each instance that
    # writes it.
    def test_record_keeps_the_age_of_the_quarantine(self) -> None:
        self.convict()
        started = self.bench.now
        self.pass_time(2.0)
        item, _ = self.store.items[KEY]
        record = decode_record(item.value)
        self.assertEqual(
            round((started + WALL_OFFSET_S) * 1000), record.quarantined_ms
        )
        age_s = record.age_s(self.bench.now + WALL_OFFSET_S)
        self.assertEqual(2.0, age_s)

    # Guards against all instances writing a quarantine at the same moment.
    def test_adopted_quarantine_is_written_later_than_the_own(self) -> None:
        self.instance.quarantine.on_peer_quarantine(
            "f", 0.0, self.bench.now, reporter="south-0"
        )
        self.pass_time(ADOPTED_WRITE_DELAY_S[0])
        self.assertNotIn(KEY, self.store.items)
        self.pass_time(ADOPTED_WRITE_DELAY_S[1] + 2.0)
        self.assertIn(KEY, self.store.items)

    # Guards against a key that another program wrote.
    def test_invalid_record_is_ignored(self) -> None:
        self.store.put(KEY, b'{"duration_s": 1e99}')
        self.pass_time(2.0)
        self.assertFalse(
            self.instance.quarantine.quarantined("f", self.bench.now)
        )
        self.assertEqual([], self.bench.failures)
