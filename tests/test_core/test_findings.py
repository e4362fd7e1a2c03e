"""Tests of the distribution of probes within a data centre."""

from __future__ import annotations

import random
from unittest import mock

import testtools

from arbutusbridge.core.membership.members import Identity, ListedInstance
from arbutusbridge.core.membership.membership import Membership
from arbutusbridge.core.peers.findings import (
    RING_REFRESH_INTERVAL_S,
    ProbeFindings,
)

UPSTREAMS = [f"u{number}" for number in range(200)]


def make_findings(count: int) -> dict[str, ProbeFindings]:
    """Returns the findings, by name, of instances that know each other."""
    identities = [
        Identity(f"a-{n}", "a", "10.0.0.1", 7000 + n, n + 1)
        for n in range(count)
    ]
    made = {}
    for me in identities:
        membership = Membership(me)
        membership.apply_list([ListedInstance(one) for one in identities], 0.0)
        made[me.name] = ProbeFindings(membership, random.Random(1))
    return made


class ProbesTest(testtools.TestCase):
    """Checks which instances probe which upstreams."""

    def test_each_upstream_has_two_probers(self) -> None:
        everyone = make_findings(7)
        for upstream in UPSTREAMS:
            probing = [f for f in everyone.values() if f.probes(upstream, 1.0)]
            self.assertEqual(2, len(probing), upstream)

    def test_live_instances_are_listed_once_for_all_upstreams(self) -> None:
        findings = make_findings(7)["a-0"]
        membership = findings.membership
        with mock.patch.object(
            membership, "live", wraps=membership.live
        ) as live:
            for upstream in UPSTREAMS:
                findings.probes(upstream, 1.0)
        self.assertEqual(1, live.call_count)

    def test_probes_move_when_an_instance_falls_silent(self) -> None:
        findings = make_findings(2)["a-0"]
        self.assertTrue(all(findings.probes(u, 1.0) for u in UPSTREAMS))
        everyone = make_findings(9)["a-0"]
        before = sum(everyone.probes(u, 1.0) for u in UPSTREAMS)
        later = 1000.0 + RING_REFRESH_INTERVAL_S
        after = sum(everyone.probes(u, later) for u in UPSTREAMS)
        self.assertLess(before, len(UPSTREAMS))
        self.assertEqual(len(UPSTREAMS), after)
