"""Tests of the concurrency limits towards upstreams."""

from __future__ import annotations

import testtools

from arbutusbridge.core.membership.shares import Allocation, ShareStage
from arbutusbridge.core.messages import Reply, ReplyKind
from arbutusbridge.core.model import Upstream
from arbutusbridge.core.requests import limits
from tests.test_core.fixtures import (
    answers_of,
    attempts_of,
    make_configuration,
    make_layout,
    make_search,
    make_tier,
    result_of,
)


class LimitsTest(testtools.TestCase):
    """Shares of upstreams, and attempts over the limit of an upstream."""

    def test_share_leaves_connections_for_a_replaced_instance(self) -> None:
        upstream = Upstream("u", "127.0.0.1", 1, "dc", 2, 25, 6.0)
        self.assertEqual(limits.Share(3, 0.25), limits.share(upstream, 8))
        for instances in range(1, 24):
            part = limits.share(upstream, instances)
            used = part.connections * instances
            self.assertLess(used, upstream.connections)

    def test_attempt_over_the_limit_is_queued_then_sent(self) -> None:
        tier = make_tier(make_configuration(make_layout(1, 1)))
        tier.set_instance_count(8)
        (first,) = attempts_of(tier.search(make_search("a", 1), 0.0))
        self.assertEqual([], attempts_of(tier.search(make_search("b", 2), 0.0)))
        out = tier.replies([result_of(first)], 0.01)
        (second,) = attempts_of(out)
        self.assertEqual("b", second.request_id)
        out = tier.replies([result_of(second)], 0.02)
        self.assertEqual(["b"], [a.request_id for a in answers_of(out)])
        self.assertEqual(0, tier.intake.admission.in_flight)

    def test_attempt_prefers_a_replica_below_its_limit(self) -> None:
        tier = make_tier(make_configuration(make_layout(1, 3)))
        tier.set_instance_count(8)
        used = {
            attempt.upstream
            for number in range(3)
            for attempt in attempts_of(
                tier.search(make_search(f"q{number}", number), 0.0)
            )
        }
        self.assertEqual(3, len(used))

    def test_queued_shard_outlives_its_lost_replica(self) -> None:
        tier = make_tier(make_configuration(make_layout(1, 2)))
        tier.set_instance_count(8)
        for number in range(2):
            tier.search(make_search(f"q{number}", number), 0.0)
        tier.search(make_search("waits", "w"), 0.0)
        pending_attempt = next(iter(tier.pending_attempts.values()))
        lost = Reply(
            pending_attempt.attempt_id,
            pending_attempt.view.name,
            ReplyKind.NOT_SENT,
        )
        out = tier.replies([lost], 0.01)
        sent = attempts_of(out)
        self.assertNotIn(pending_attempt.view.name, {a.upstream for a in sent})
        other = next(iter(tier.pending_attempts.values()))
        answered = Reply(
            other.attempt_id, other.view.name, ReplyKind.RESULT, (1, 1), "s0"
        )
        (next_sent,) = attempts_of(tier.replies([answered], 0.02))
        self.assertEqual(other.view.name, next_sent.upstream)

    def test_refusals_shrink_and_results_restore_a_limit(self) -> None:
        tier = make_tier(make_configuration(make_layout(1, 1)))
        tier.set_instance_count(1)
        (view,) = tier.views.values()
        high = view.limit = view.max_limit
        limits.on_refusal(view)
        self.assertLess(view.limit, high)
        for _ in range(1000):
            limits.on_result(view)
        self.assertEqual(view.max_limit, view.limit)

    def test_no_connections_no_attempts_until_shares_are_agreed(self) -> None:
        tier = make_tier(make_configuration(make_layout(1, 1)))
        tier.set_instance_count(8)
        tier.set_allocation(Allocation("a", ShareStage.WAITING, ("b",)), 0.0)
        self.assertEqual([], attempts_of(tier.search(make_search(), 0.0)))
        out = tier.set_allocation(
            Allocation("a", ShareStage.HOLDER, ("b",)), 0.1
        )
        (sent,) = attempts_of(out)
        (answer,) = answers_of(tier.replies([result_of(sent)], 0.2))
        self.assertEqual(1.0, answer.coverage)
