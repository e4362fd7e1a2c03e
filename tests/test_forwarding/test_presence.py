"""Tests of the number of instances."""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding.presence import (
    ASSUMED_INSTANCES,
    COUNT_HOLD_S,
    InstanceCount,
)


class CountTest(testtools.TestCase):
    """Counts of the instances' keys."""

    def test_default_count_is_assumed_before_the_first_count(self) -> None:
        self.assertEqual(ASSUMED_INSTANCES, InstanceCount().instances)

    def test_count_rises_at_once_and_falls_late(self) -> None:
        presence = InstanceCount(key_written=True)
        self.assertEqual(8, presence.count(8, 0.0))
        self.assertEqual(11, presence.count(11, 1.0))
        self.assertEqual(11, presence.count(3, 2.0))
        self.assertEqual(11, presence.count(3, 1.0 + COUNT_HOLD_S - 0.1))
        self.assertEqual(3, presence.count(3, 1.0 + COUNT_HOLD_S + 0.1))

    def test_own_key_counts_before_it_is_written(self) -> None:
        self.assertEqual(4, InstanceCount().count(3, 0.0))
        self.assertEqual(1, InstanceCount().count(0, 0.0))

    def test_ended_lease_is_cleared(self) -> None:
        presence = InstanceCount(lease=7, key_written=True)
        presence.clear_lease()
        self.assertEqual((0, False), (presence.lease, presence.key_written))
