"""Load pattern: extra arrivals of many instances in any sliding window."""

from __future__ import annotations

import random

import testtools

from arbutusbridge.forwarding.budget import (
    RetryBudgetLimits,
    ServiceBudget,
    allowance_share,
)

BOUNDS = RetryBudgetLimits(0.2, 56.0, 10.0)
INSTANCES = 8
STEP_S = 0.05
REQUESTS_PER_STEP = 0.28
"""Requests that one instance gets in a step: 45 a second in all."""


class FleetTest(testtools.TestCase):
    """Instances that spend all they may, watched from outside."""

    def play(self, seconds: float, restarts: dict[float, int]):
        """Returns the times of requests and of extras over all instances."""
        rng = random.Random(7)
        budgets = [ServiceBudget(BOUNDS, -100.0) for _ in range(INSTANCES)]
        requests: list[float] = []
        extras: list[float] = []
        now = 0.0
        while now < seconds:
            for at in [at for at in restarts if at <= now]:
                for number in range(restarts.pop(at)):
                    budgets[number] = ServiceBudget(BOUNDS, now)
            for budget in budgets:
                if rng.random() < REQUESTS_PER_STEP:
                    budget.note_request(now)
                    requests.append(now)
                while budget.left(1 / INSTANCES, now) >= 1.0:
                    budget.note_extra(now)
                    extras.append(now)
            now += STEP_S
        return requests, extras

    def assert_within(self, requests: list[float], extras: list[float]):
        window = BOUNDS.window_s
        for end in extras:
            spent = sum(end - window < at <= end for at in extras)
            asked = max(
                sum(end - window - back < at <= end - back for at in requests)
                for back in (0.0, window / 2, window)
            )
            most = BOUNDS.ratio * asked + BOUNDS.slack
            self.assertLessEqual(spent, most)

    def test_sum_over_all_instances_is_within_the_bound(self) -> None:
        self.assert_within(*self.play(40.0, {}))

    def test_restart_of_half_of_them_keeps_the_bound(self) -> None:
        self.assert_within(*self.play(40.0, {20.0: INSTANCES // 2}))

    def test_instance_alone_may_use_the_whole_allowance(self) -> None:
        budget = ServiceBudget(BOUNDS, -100.0)
        self.assertGreater(budget.left(1, 0.0), BOUNDS.slack / 2)

    def test_one_of_many_instances_may_hedge(self) -> None:
        # 81 instances with a request every two seconds each.
        budget = ServiceBudget(RetryBudgetLimits(0.2, 202.0, 10.0), -100.0)
        for number in range(5):
            budget.note_request(2.0 * number)
        self.assertTrue(budget.allows_hedge(1 / 81, 10.0))
        budget.note_extra(10.0)
        budget.note_extra(10.0)
        self.assertFalse(budget.allows_hedge(1 / 81, 10.0))

    def test_shares_of_the_allowance_make_up_the_whole(self) -> None:
        instances, askers, places = 81, 4, 3
        asking = allowance_share(instances, askers, places)
        other = allowance_share(instances, 0, places)
        others = instances - askers * places
        total = asking * askers * places + other * others
        self.assertAlmostEqual(1.0, total)

    def test_instance_that_asks_for_others_may_retry_once_it_starts(self):
        # After all 81 were ended at once, a share each was no retry at all.
        bounds = RetryBudgetLimits(0.2, 202.0, 10.0)
        budget = ServiceBudget(bounds, 0.0)
        share = allowance_share(81, 4, 3)
        self.assertGreaterEqual(budget.left(share, 0.1), 1.0)
        self.assertLess(budget.left(1 / 81, 0.1), 1.0)

    def test_what_leaves_the_window_is_free_again(self) -> None:
        budget = ServiceBudget(BOUNDS, -100.0)
        before = budget.left(1 / INSTANCES, 0.0)
        budget.note_extra(0.0, 5)
        self.assertAlmostEqual(before - 5, budget.left(1 / INSTANCES, 1.0))
        self.assertAlmostEqual(before, budget.left(1 / INSTANCES, 11.0))
