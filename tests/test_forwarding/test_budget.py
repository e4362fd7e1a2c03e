"""Tests of the retry budget.

Guards against extra arrivals that exceed the bound of the deployment in a
sliding window because many instances each spend a share of it.
"""

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
"""Requests that one instance gets per step: 45 a second over all instances."""


class FleetTest(testtools.TestCase):
    """Instances that spend their whole budget, observed from outside."""

    def simulate(self, seconds: float, restarts: dict[float, int]):
        """Returns the times of all requests and of all extra arrivals."""
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
                    budget.record_request(now)
                    requests.append(now)
                while budget.remaining(1 / INSTANCES, now) >= 1.0:
                    budget.record_extra(now)
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
            limit = BOUNDS.ratio * asked + BOUNDS.slack
            self.assertLessEqual(spent, limit)

    def test_extra_arrivals_of_all_instances_stay_within_the_bound(
        self,
    ) -> None:
        self.assert_within(*self.simulate(40.0, {}))

    def test_bound_holds_after_half_the_instances_restart(self) -> None:
        self.assert_within(*self.simulate(40.0, {20.0: INSTANCES // 2}))

    def test_single_instance_gets_the_whole_allowance(self) -> None:
        budget = ServiceBudget(BOUNDS, -100.0)
        self.assertGreater(budget.remaining(1, 0.0), BOUNDS.slack / 2)

    def test_one_of_many_instances_may_hedge(self) -> None:
        # 81 instances that each get a request every two seconds.
        budget = ServiceBudget(RetryBudgetLimits(0.2, 202.0, 10.0), -100.0)
        for number in range(5):
            budget.record_request(2.0 * number)
        self.assertTrue(budget.allows_hedge(1 / 81, 10.0))
        budget.record_extra(10.0)
        budget.record_extra(10.0)
        self.assertFalse(budget.allows_hedge(1 / 81, 10.0))

    def test_allowance_shares_add_up_to_one(self) -> None:
        instances, primary_senders, places = 81, 4, 3
        asking = allowance_share(instances, primary_senders, places)
        other = allowance_share(instances, 0, places)
        others = instances - primary_senders * places
        total = asking * primary_senders * places + other * others
        self.assertAlmostEqual(1.0, total)

    def test_restarted_helper_has_budget_for_a_retry(self):
        # An equal share for each of 81 instances, all restarted at once, would
        # not allow a single retry.
        bounds = RetryBudgetLimits(0.2, 202.0, 10.0)
        budget = ServiceBudget(bounds, 0.0)
        share = allowance_share(81, 4, 3)
        self.assertGreaterEqual(budget.remaining(share, 0.1), 1.0)
        self.assertLess(budget.remaining(1 / 81, 0.1), 1.0)

    def test_budget_is_restored_when_extras_leave_the_window(self) -> None:
        budget = ServiceBudget(BOUNDS, -100.0)
        before = budget.remaining(1 / INSTANCES, 0.0)
        budget.record_extra(0.0, 5)
        self.assertAlmostEqual(before - 5, budget.remaining(1 / INSTANCES, 1.0))
        self.assertAlmostEqual(before, budget.remaining(1 / INSTANCES, 11.0))
