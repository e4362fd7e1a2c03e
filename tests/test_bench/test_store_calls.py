"""Tests of the measurement of platform calls, at a small size."""

from __future__ import annotations

import testtools

from arbutusbridge.bench.store_calls import ProbingFleet
from arbutusbridge.core.membership.membership import WATCHERS_PER_DATA_CENTRE


class StoreCallsTest(testtools.TestCase):
    """A fleet of twelve instances in three data centres."""

    def test_watches_do_not_depend_on_the_number_of_instances(self) -> None:
        cost = ProbingFleet(1, 12, 3).measure()
        self.assertEqual(WATCHERS_PER_DATA_CENTRE, cost.watches)
        self.assertTrue(cost.in_force_after_s < 17.0)

    def test_instances_without_peers_each_watch(self) -> None:
        probing_fleet = ProbingFleet(1, 12, 3)
        probing_fleet.fleet.peer_network_down = True
        probing_fleet.fleet.run_until(20.0)
        self.assertTrue(
            probing_fleet.measure().watches > WATCHERS_PER_DATA_CENTRE
        )
