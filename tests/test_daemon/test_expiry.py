"""Tests of the deletion of expired claims over the key-value protocol."""

from __future__ import annotations

import testtools

from arbutusbridge.core.claims.expiry import expired_groups, group_prefix
from arbutusbridge.core.keys import CLAIM_RETENTION_MS, GROUP_MS
from arbutusbridge.daemon.expiry import ClaimExpiry
from arbutusbridge.daemon.platform import PlatformClient
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports
from arbutusbridge.standins.platform import PlatformStandIn
from tests.test_daemon.fixtures import ComponentBench

KEEP_GROUPS = CLAIM_RETENTION_MS // GROUP_MS


class ClaimExpiryTest(testtools.TestCase):
    """A sweep deletes expired groups only.

    Guards against claims that are deleted too early, for example because an
    instance's clock is far ahead. A resent record would then run twice.
    """

    def test_wrong_clock_alone_expires_nothing(self) -> None:
        far_ms = 10**15
        self.assertEqual([], expired_groups([5, 5 + KEEP_GROUPS], far_ms))
        self.assertEqual([5], expired_groups([5, 6 + KEEP_GROUPS], far_ms))
        now_ms = (5 + KEEP_GROUPS) * GROUP_MS
        self.assertEqual([], expired_groups([5, 10**9], now_ms))

    def test_sweep_deletes_old_groups_whole(self) -> None:
        bench = ComponentBench()
        (port,) = find_free_ports(1)
        stand_in = PlatformStandIn(bench.hub, bench.timers, (LOOPBACK, port))
        client = PlatformClient(
            bench.hub, bench.timers, [(LOOPBACK, port)], "ns"
        )
        expiry = ClaimExpiry(client, bench.timers, lambda: True)
        for part in (stand_in, client, expiry):
            part.register(bench)
        newest = 1000 + KEEP_GROUPS
        bench.timers.wall_ms = lambda: newest * GROUP_MS
        names = [
            f"{group_prefix(group)}{page}"
            for group in (998, 1000, newest)
            for page in ("1-0", "2-1")
        ]
        for name in names:
            stand_in.store.cas(f"ns/{name}", b"", 0)
        bench.turn()
        expiry.on_due([])
        bench.turn_until(lambda: stand_in.calls.get("DELETE"))
        left = {key.removeprefix("ns/") for key in stand_in.store.entries}
        self.assertEqual(set(names[2:]), left)
        self.assertEqual([], bench.failures)
