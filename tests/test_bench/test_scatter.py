"""Tests of the measurements of scatter, at a small size."""

from __future__ import annotations

import dataclasses

import testtools

from arbutusbridge.bench import coverage, outage, tail
from arbutusbridge.core.messages import Reply
from arbutusbridge.core.requests.query import Query


class ScatterBenchTest(testtools.TestCase):
    """Bounds that hold at any size, and checks that have to fail."""

    def test_coverage_bounds_hold(self) -> None:
        report = coverage.measure(3, rounds=1)
        self.assertEqual([], report.failures)

    def test_observer_detects_mixed_versions(self) -> None:
        def accept_all(_query: Query, reply: Reply, _task: object) -> bool:
            return bool(reply.hits)

        self.patch(Query, "accepts", accept_all)
        report = coverage.measure(3, rounds=1)
        self.assertIn("mixed", report.failures)

    def test_hung_replicas_do_not_multiply_attempts(self) -> None:
        plan = dataclasses.replace(
            outage.PLAN, shards=30, queries_per_s=40.0, instances=1
        )
        report = outage.measure(3, plan)
        attempts = [name for name in report.failures if "attempts" in name]
        self.assertEqual([], attempts)

    def test_hedging_reduces_the_tail_latency(self) -> None:
        plan = dataclasses.replace(
            tail.PLAN, shards=30, seconds=1.0, queries_per_s=50.0
        )
        figures = tail.measure(3, plan).figures
        self.assertLess(figures["p99_ms"], figures["unhedged_p99_ms"])
