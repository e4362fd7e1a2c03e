"""Tests of request coalescing: identical searches share a scatter."""

from __future__ import annotations

import testtools

from arbutusbridge.core.messages import Outcome
from arbutusbridge.core.model import Policy, Rules
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


def make_coalescing_tier() -> Tier:
    """Returns a core with a caller, ``half``, that accepts partial coverage.

    Its deadline is shorter and it takes one hit only.
    """
    configuration = make_configuration(make_layout(2, 2))
    half = Policy(least_coverage=0.3, deadline_ms=100, max_hits=1)
    rules = Rules(Policy(), {("half", ""): half})
    return make_tier(
        type(configuration)(
            1, "p", configuration.layouts, configuration.upstreams, rules
        )
    )


class CoalescingTest(testtools.TestCase):
    """Two callers that share one scatter."""

    def test_each_member_gets_its_own_answer(self) -> None:
        tier = make_coalescing_tier()
        sent = attempts_of(tier.search(make_search("a"), 0.0))
        other = make_search("b")
        other.caller = "half"
        self.assertEqual([], attempts_of(tier.search(other, 0.001)))
        replies = [result_of(attempt) for attempt in sent]
        answers = answers_of(tier.replies(replies, 0.01))
        self.assertEqual(["a", "b"], [a.request_id for a in answers])
        self.assertEqual([2, 1], [len(a.hits) for a in answers])
        self.assertEqual({}, tier.intake.coalescer.joinable)

    def test_earlier_deadline_answers_one_member(self) -> None:
        tier = make_coalescing_tier()
        sent = attempts_of(tier.search(make_search("a"), 0.0))
        other = make_search("b")
        other.caller = "half"
        tier.search(other, 0.0)
        tier.replies([result_of(sent[1])], 0.05)
        (partial,) = answers_of(tier.on_timer(("deadline", "b"), 0.1))
        self.assertEqual(Outcome.PARTIAL, partial.outcome)
        (whole,) = answers_of(tier.replies([result_of(sent[0])], 0.2))
        self.assertEqual("a", whole.request_id)
        self.assertEqual(Outcome.COMPLETE, whole.outcome)

    def test_running_scatter_is_never_answered_as_not_run(self) -> None:
        tier = make_coalescing_tier()
        tier.set_instance_count(8)
        for view in tier.views.values():
            view.in_flight = 1
        first = make_search("a")
        first.caller = "half"
        tier.search(first, 0.0)
        tier.search(make_search("b"), 0.01)
        (answer,) = answers_of(tier.on_timer(("deadline", "a"), 0.1))
        self.assertEqual(Outcome.UNKNOWN, answer.outcome)

    def test_first_caller_may_disconnect(self) -> None:
        tier = make_coalescing_tier()
        sent = attempts_of(tier.search(make_search("a"), 0.0))
        tier.search(make_search("b"), 0.0)
        self.assertEqual([], tier.abandon("a", 0.001))
        replies = [result_of(attempt) for attempt in sent]
        (answer,) = answers_of(tier.replies(replies, 0.01))
        self.assertEqual("b", answer.request_id)

    def test_never_joins_an_older_snapshot(self) -> None:
        tier = make_coalescing_tier()
        tier.search(make_search("a"), 0.0)
        for name in tier.views:
            tier.report(name, {SERVICE: ((1, 1), (1, 2))}, 0.0, False)
        sent = attempts_of(tier.search(make_search("b"), 0.001))
        self.assertEqual({(1, 2)}, {attempt.version for attempt in sent})

    def test_never_joins_another_configuration(self) -> None:
        tier = make_coalescing_tier()
        tier.search(make_search("a"), 0.0)
        tier.configure(make_configuration(make_layout(2, 2), version=2))
        sent = attempts_of(tier.search(make_search("b"), 0.001))
        self.assertEqual(2, len(sent))
