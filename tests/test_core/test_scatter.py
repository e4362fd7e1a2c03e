"""Tests of restarts, straggler checks and answers by preference."""

from __future__ import annotations

import testtools

from arbutusbridge.core.budget import MAX_BORROWED_RESTARTS, ExtraAttemptBudget
from arbutusbridge.core.messages import (
    Action,
    Attempt,
    Cancel,
    ExecutionStatus,
    Outcome,
    Reply,
    ReplyKind,
)
from arbutusbridge.core.model import Configuration, Policy, Preference
from arbutusbridge.core.requests.tier import Tier
from tests.test_core.fixtures import (
    SERVICE,
    answers_of,
    attempts_of,
    make_configuration,
    make_layout,
    make_search,
    make_tier,
    result_of,
)

LATENCY = Policy(least_coverage=0.5, prefer=Preference.LATENCY, extra_load=0.5)
COVERAGE = Policy(least_coverage=0.5, extra_load=0.5)


def configuration_of(
    policy: Policy, shards: int = 4, replicas: int = 3
) -> Configuration:
    """Returns a configuration with one layout and one policy."""
    return make_configuration(make_layout(shards, replicas), policy=policy)


def not_held(attempt: Attempt, *held: tuple[int, int]) -> Reply:
    """Returns the refusal of an upstream that serves other versions."""
    return Reply(
        attempt.attempt_id, attempt.upstream, ReplyKind.NOT_HELD, held=held
    )


def check_stragglers(tier: Tier, when: float) -> list[Action]:
    """Runs the straggler check of the query."""
    return tier.on_timer(("straggler_check", "q1"), when)


class RestartTest(testtools.TestCase):
    """Restarts of a whole scatter on another index version."""

    def tier_after_version_switch(
        self, policy: Policy
    ) -> tuple[Tier, list[Action]]:
        """Returns a core and its actions after a replica switched versions.

        The only replica of a shard refuses its attempt, as it no longer holds
        the version that the scatter began with.
        """
        tier = make_tier(configuration_of(policy, 3, 1))
        sent = attempts_of(tier.search(make_search(), 0.0))
        tier.replies([result_of(sent[0])], 0.01)
        for attempt in sent[:2]:
            name = attempt.upstream
            tier.report(name, {SERVICE: ((1, 1), (1, 2))}, 0.0, False, 0.011)
        return tier, tier.replies([not_held(sent[2], (1, 2))], 0.012)

    def test_restart_resends_all_shards_and_mixes_no_versions(self) -> None:
        tier, out = self.tier_after_version_switch(COVERAGE)
        sent = attempts_of(out)
        self.assertEqual({(1, 2)}, {attempt.version for attempt in sent})
        self.assertEqual(["s0", "s1", "s2"], [a.shard for a in sent])
        self.assertEqual(1, sum(isinstance(a, Cancel) for a in out))
        replies = [result_of(attempt) for attempt in sent]
        (answer,) = answers_of(tier.replies(replies, 0.02))
        self.assertEqual(2, answer.snapshot)
        self.assertEqual(
            {"s0@2", "s1@2", "s2@2"}, {hit["id"] for hit in answer.hits}
        )

    def test_failed_restart_falls_back_to_the_earlier_replies(self) -> None:
        policy = Policy(least_coverage=0.1, extra_load=0.5)
        tier, _ = self.tier_after_version_switch(policy)
        (answer,) = answers_of(tier.on_timer(("deadline", "q1"), 1.0))
        self.assertEqual((1, 1 / 6), (answer.snapshot, answer.coverage))
        self.assertEqual(["s0@1"], [hit["id"] for hit in answer.hits])

    def test_restarts_borrow_from_the_budget(self) -> None:
        budget = ExtraAttemptBudget.for_shard_count(10)
        taken = [budget.borrow(10) for _ in range(MAX_BORROWED_RESTARTS + 1)]
        self.assertEqual([True] * MAX_BORROWED_RESTARTS + [False], taken)
        budget.earn(2.0)
        self.assertEqual(10 * MAX_BORROWED_RESTARTS - 1.0, budget.debt)

    def test_no_extra_load_means_no_restart(self) -> None:
        _, out = self.tier_after_version_switch(
            Policy(least_coverage=0.5, extra_load=0.0)
        )
        self.assertEqual([], attempts_of(out))

    def test_unreported_version_is_found_by_asking(self) -> None:
        tier = make_tier(configuration_of(Policy(), 2, 1))
        tier.report("u1-0", {SERVICE: ()}, 0.0, False, 0.0)
        sent = attempts_of(tier.search(make_search(), 1.0))
        self.assertEqual(["u0-0", "u1-0"], [a.upstream for a in sent])
        replies = [result_of(attempt) for attempt in sent]
        (answer,) = answers_of(tier.replies(replies, 1.01))
        self.assertEqual(Outcome.COMPLETE, answer.outcome)


class StragglerTest(testtools.TestCase):
    """Stragglers, cancellation and answers before the deadline."""

    def start_query(
        self, policy: Policy, answered: int
    ) -> tuple[Tier, list[Attempt]]:
        """Returns a core that has some replies to a query, and the attempts."""
        tier = make_tier(configuration_of(policy))
        sent = attempts_of(tier.search(make_search(), 0.0))
        replies = [result_of(attempt) for attempt in sent[4 - answered :]]
        tier.replies(replies, 0.004)
        return tier, sent

    def test_straggler_is_hedged_once_more_at_each_check(self) -> None:
        tier, sent = self.start_query(COVERAGE, 3)
        (second,) = attempts_of(check_stragglers(tier, 0.06))
        (third,) = attempts_of(check_stragglers(tier, 0.13))
        names = {sent[0].upstream, second.upstream, third.upstream}
        self.assertEqual(3, len(names))
        out = tier.replies([result_of(third)], 0.14)
        cancelled = {a.attempt_id for a in out if isinstance(a, Cancel)}
        self.assertEqual({sent[0].attempt_id, second.attempt_id}, cancelled)
        self.assertEqual(Outcome.COMPLETE, answers_of(out)[0].outcome)
        self.assertEqual([], tier.replies([result_of(second)], 0.15))
        self.assertEqual({}, tier.pending_attempts)

    def test_hedges_stop_with_the_budget(self) -> None:
        tier, _ = self.start_query(COVERAGE, 1)
        tier.hedging_states[SERVICE].budget.tokens = 1.0
        hedged = attempts_of(check_stragglers(tier, 0.06))
        self.assertEqual(["s2"], [attempt.shard for attempt in hedged])

    def test_latency_policy_answers_when_no_reply_is_likely(self) -> None:
        tier, _ = self.start_query(LATENCY, 3)
        tier.hedging_states[SERVICE].budget.tokens = 0.0
        (answer,) = answers_of(check_stragglers(tier, 0.06))
        self.assertEqual(Outcome.PARTIAL, answer.outcome)
        self.assertEqual((0.9, ("s0",)), (answer.coverage, answer.missing))

    def test_coverage_policy_waits_until_its_deadline(self) -> None:
        tier, _ = self.start_query(COVERAGE, 3)
        tier.hedging_states[SERVICE].budget.tokens = 0.0
        for when in (0.06, 0.12, 0.25, 0.5):
            self.assertEqual([], answers_of(check_stragglers(tier, when)))
        (answer,) = answers_of(tier.on_timer(("deadline", "q1"), 1.0))
        self.assertEqual(Outcome.PARTIAL, answer.outcome)

    def test_unreachable_coverage_is_answered_early_as_not_run(self) -> None:
        policy = Policy(least_coverage=1.0, prefer=Preference.LATENCY)
        tier = make_tier(configuration_of(policy, 1, 1))
        (sent,) = attempts_of(tier.search(make_search(), 0.0))
        shed = Reply(sent.attempt_id, sent.upstream, ReplyKind.SHED)
        out = tier.replies([shed], 0.01)
        for when in (0.06, 0.12, 0.25):
            tier.hedging_states[SERVICE].budget.tokens = 0.0
            out = out + check_stragglers(tier, when)
        (answer,) = answers_of(out)
        self.assertEqual(
            (Outcome.NOT_RUN, ExecutionStatus.NO), (answer.outcome, answer.ran)
        )
        self.assertIsNotNone(answer.retry_after_ms)

    def test_wrong_shard_or_sender_is_never_merged(self) -> None:
        tier, sent = self.start_query(COVERAGE, 3)
        wrong_sender = result_of(sent[0])
        wrong_sender.upstream = "u3-0"
        self.assertEqual([], tier.replies([wrong_sender], 0.01))
        wrong_shard = result_of(sent[0])
        wrong_shard.shard = "s3"
        self.assertEqual([], answers_of(tier.replies([wrong_shard], 0.02)))
        (answer,) = answers_of(tier.on_timer(("deadline", "q1"), 1.0))
        self.assertEqual(("s0",), answer.missing)
