"""Tests of when a hedge of a shard is sent.

A hedge goes to another region, since a region holds one upstream of each shard.
For a target of 90 ms it used to be sent so late that its reply arrived after
the answer.
"""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding.hedgetiming import EARLY_HEDGE_FACTOR
from tests.test_forwarding.fixtures import (
    make_forwarder,
    plain,
    request,
    shard_upstreams,
    sharded,
    upstream,
)

NOW = 100.0
NEAR_S = 0.01
FAR_S = 0.05


class EarlyHedgeTest(testtools.TestCase):
    """One attempt, whose hedge would go to another region."""

    def send(self, route, upstreams, now: float = NOW):
        """Sends a request to this region; returns its exchange and attempt."""
        forwarder = make_forwarder([route], upstreams)
        for _ in range(20):
            forwarder.reply_times.add(route, "north", NEAR_S)
            forwarder.reply_times.add(route, "central", FAR_S)
        target = route.prefix + "x"
        forwarder.handle_request(request(target=target), now)
        (exchange,) = forwarder.exchanges.values()
        part = exchange.parts[0]
        (attempt,) = part.open_attempts
        self.assertEqual("north", attempt.upstream.announcement.data_centre)
        return exchange, part, attempt

    # Guards against hedges that cannot be answered in time.
    def test_hedge_leaves_time_for_a_reply_from_another_region(self) -> None:
        route = sharded(1, target_s=0.09)
        exchange, part, attempt = self.send(route, shard_upstreams(1))
        self.assertLess(part.check_at, attempt.overdue_at)
        self.assertLess(part.check_at + FAR_S, exchange.partial_answer_at)

    # Guards against duplicate work for replies that are about to arrive.
    def test_no_hedge_before_most_replies(self) -> None:
        route = sharded(1, target_s=0.06)
        _, part, attempt = self.send(route, shard_upstreams(1))
        wait_s = EARLY_HEDGE_FACTOR * attempt.typical_s
        self.assertAlmostEqual(NOW + wait_s, part.check_at)

    # Guards against more hedges than before where there is time for them.
    def test_long_target_waits_until_the_reply_is_overdue(self) -> None:
        route = sharded(1, target_s=0.3)
        _, part, attempt = self.send(route, shard_upstreams(1))
        self.assertEqual(attempt.overdue_at, part.check_at)

    # Guards against early hedges of requests that have no partial answer.
    def test_request_without_shards_waits_until_it_is_overdue(self) -> None:
        upstreams = [
            upstream("u1", "records"),
            upstream("u2", "records", "central"),
        ]
        _, part, attempt = self.send(plain(target_s=0.06), upstreams)
        self.assertEqual(attempt.overdue_at, part.check_at)

    # Guards against a hedge of a shard that only one data centre holds.
    def test_shard_without_a_backup_is_checked(self) -> None:
        upstreams = shard_upstreams(1, ("north",))
        _, part, attempt = self.send(sharded(1, target_s=0.3), upstreams)
        self.assertEqual(attempt.overdue_at, part.check_at)
