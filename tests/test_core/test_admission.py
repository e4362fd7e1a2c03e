"""Tests of admission control by urgency and deadline."""

from __future__ import annotations

import testtools

from arbutusbridge.core.messages import (
    ExecutionStatus,
    Outcome,
    Reply,
    ReplyKind,
    SearchRequest,
)
from arbutusbridge.core.model import Policy, Rules, Urgency
from arbutusbridge.core.requests.admission import (
    MAX_QUEUED_REQUESTS,
    Admission,
    FixedLimiter,
)
from arbutusbridge.core.requests.intake import Intake
from arbutusbridge.core.requests.tier import Tier
from tests.test_core.fixtures import (
    SERVICE,
    answers_of,
    attempts_of,
    make_configuration,
    make_layout,
    make_tier,
)

SLOW_LATENCY_S = 0.1


class SlowLimiter(FixedLimiter):
    """Keeps a constant limit and expects every request to be slow."""

    def expected_latency(self, _service: str, _urgency: int) -> float:
        return SLOW_LATENCY_S


def make_full_tier() -> Tier:
    """Returns the core of an instance at its limit of one running request."""
    configuration = make_configuration(make_layout(1, 2))
    urgent = Policy(urgency=Urgency.URGENT)
    rules = Rules(Policy(), {("urgent", ""): urgent})
    configuration = type(configuration)(
        1, "p", configuration.layouts, configuration.upstreams, rules
    )
    tier = make_tier(configuration)
    tier.intake = Intake(Admission(SlowLimiter(1)))
    tier.search(search("first"), 0.0)
    return tier


def search(
    request_id: str, caller: str = "routine", deadline_ms: float = 1000
) -> SearchRequest:
    """Returns a search whose content is its id, so that none are coalesced."""
    return SearchRequest(request_id, caller, SERVICE, request_id, deadline_ms)


def finish_running_search(tier: Tier, now: float) -> list[str]:
    """Answers the running search and returns the ids of those started then."""
    (pending_attempt,) = tier.pending_attempts.values()
    reply = Reply(
        pending_attempt.attempt_id,
        pending_attempt.view.name,
        ReplyKind.RESULT,
        (1, 1),
        "s0",
    )
    return [a.request_id for a in attempts_of(tier.replies([reply], now))]


class AdmissionTest(testtools.TestCase):
    """Requests over the concurrency limit."""

    def test_urgent_goes_first_then_the_oldest(self) -> None:
        tier = make_full_tier()
        for request_id in ("old", "new"):
            self.assertEqual(
                [], attempts_of(tier.search(search(request_id), 0.0))
            )
        tier.search(search("urgent", "urgent"), 0.0)
        order = [finish_running_search(tier, 0.01 * i) for i in range(1, 4)]
        self.assertEqual([["urgent"], ["old"], ["new"]], order)

    def test_refused_at_once_when_the_deadline_is_too_near(self) -> None:
        tier = make_full_tier()
        (answer,) = answers_of(tier.search(search("q", deadline_ms=50), 0.0))
        self.assertEqual(Outcome.NOT_RUN, answer.outcome)
        self.assertEqual(ExecutionStatus.NO, answer.ran)
        self.assertIsNotNone(answer.retry_after_ms)

    def test_refused_before_the_deadline_and_never_started(self) -> None:
        tier = make_full_tier()
        tier.search(search("late", deadline_ms=250), 0.0)
        tier.search(search("next"), 0.0)
        (answer,) = answers_of(tier.on_timer(("give_up", "late"), 0.16))
        self.assertEqual(Outcome.NOT_RUN, answer.outcome)
        self.assertEqual(["next"], finish_running_search(tier, 0.2))

    def test_too_late_when_dequeued_is_refused_and_not_started(self) -> None:
        tier = make_full_tier()
        tier.search(search("late", deadline_ms=250), 0.0)
        self.assertEqual([], finish_running_search(tier, 0.2))
        self.assertEqual(0, tier.intake.admission.in_flight)
        self.assertEqual({}, tier.intake.owners)

    def test_urgent_request_displaces_one_of_a_full_queue(self) -> None:
        tier = make_full_tier()
        tier.intake.admission.limiter = FixedLimiter(1)
        answers = []
        for number in range(MAX_QUEUED_REQUESTS + 5):
            answers += answers_of(tier.search(search(f"q{number}"), 0.0))
        self.assertEqual(["queue_full"] * 5, [a.reason for a in answers])
        (displaced,) = answers_of(tier.search(search("u", "urgent"), 0.0))
        self.assertEqual("displaced", displaced.reason)
        self.assertEqual(ExecutionStatus.NO, displaced.ran)
        self.assertEqual(MAX_QUEUED_REQUESTS, tier.intake.admission.waiting)

    def test_disconnected_caller_leaves_the_queue(self) -> None:
        tier = make_full_tier()
        tier.search(search("gone"), 0.0)
        self.assertEqual([], answers_of(tier.abandon("gone", 0.0)))
        self.assertEqual([], finish_running_search(tier, 0.01))

    def test_adaptive_limit_shrinks_when_latency_grows(self) -> None:
        admission = Admission.adaptive()
        for _ in range(200):
            admission.limiter.observe(SERVICE, 0, 0.01, 20)
        high = admission.limiter.limit
        for _ in range(200):
            admission.limiter.observe(SERVICE, 0, 0.2, 1000)
        self.assertLess(admission.limiter.limit, high / 2)

    def test_high_estimate_without_samples_decays(self) -> None:
        limiter = Admission.adaptive().limiter
        limiter.observe(SERVICE, 0, 0.01, 0)
        for _ in range(50):
            limiter.observe(SERVICE, 0, 1.0, 0)
        before = limiter.expected_latency(SERVICE, 0)
        for _ in range(200):
            limiter.on_early_refusal(SERVICE, 0)
        self.assertLess(limiter.expected_latency(SERVICE, 0), before / 10)
