"""Tests of connection shares with and without the sharing protocol."""

from __future__ import annotations

import testtools
from testtools.matchers import GreaterThan, Not

from arbutusbridge.bench import shares
from arbutusbridge.core.membership.shares import Allocation, ShareStage

SEED = 2


class SharesTest(testtools.TestCase):
    """Connections during replacements, and the arithmetic of shares."""

    def max_connection_ratio(self, allocate) -> float:
        return max(shares.run(SEED, 6, allocate).max_connection_ratios.values())

    def test_protocol_keeps_connections_within_limits(self) -> None:
        self.assertThat(
            self.max_connection_ratio(shares.allocate_by_protocol),
            Not(GreaterThan(1.0)),
        )

    def test_division_by_count_exceeds_limits(self) -> None:
        self.assertThat(
            self.max_connection_ratio(shares.allocate_by_count),
            GreaterThan(1.0),
        )

    def test_holders_and_a_starter_fit_at_every_size(self) -> None:
        for limit in (1, 6, 25, 110):
            for holders in (1, 7, 8, 40):
                held = sum(
                    self.holder_connections(n, holders, limit)
                    for n in range(holders)
                )
                names = tuple(f"i{n}" for n in range(holders))
                starter = Allocation("new", ShareStage.STUCK, names)
                total = held + starter.connections("u", limit)
                self.assertThat(total, Not(GreaterThan(limit)))

    def holder_connections(self, number: int, holders: int, limit: int) -> int:
        names = tuple(f"i{n}" for n in range(holders) if n != number)
        mine = Allocation(f"i{number}", ShareStage.HOLDER, names)
        return mine.connections("u", limit)
