"""Tests of the count of instances."""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding.presence import (
    ASSUMED_INSTANCES,
    COUNT_HOLD_S,
    InstanceCount,
)


class CountTest(testtools.TestCase):
    """Readings of the instances' keys."""

    def test_no_reading_yet_assumes_a_usual_size(self) -> None:
        self.assertEqual(ASSUMED_INSTANCES, InstanceCount().instances)

    def test_more_are_believed_at_once_and_fewer_late(self) -> None:
        presence = InstanceCount(written=True)
        self.assertEqual(8, presence.count(8, 0.0))
        self.assertEqual(11, presence.count(11, 1.0))
        self.assertEqual(11, presence.count(3, 2.0))
        self.assertEqual(11, presence.count(3, 1.0 + COUNT_HOLD_S - 0.1))
        self.assertEqual(3, presence.count(3, 1.0 + COUNT_HOLD_S + 0.1))

    def test_own_key_counts_before_it_stands(self) -> None:
        self.assertEqual(4, InstanceCount().count(3, 0.0))
        self.assertEqual(1, InstanceCount().count(0, 0.0))

    def test_ended_lease_is_asked_for_anew(self) -> None:
        presence = InstanceCount(lease=7, written=True)
        presence.forget()
        self.assertEqual((0, False), (presence.lease, presence.written))
