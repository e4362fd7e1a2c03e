"""Tests of the graceful shutdown under load, on virtual time."""

from __future__ import annotations

import random

import testtools

from arbutusbridge.core.stop import (
    FINISH_GRACE_PERIOD_S,
    StopPhase,
    StopPlan,
    StopStep,
)

BALANCER_LAG_S = 5.0
STEP_S = 0.01
DEADLINE_S = 1.0


def stop_under_load(seed: int, plan: StopPlan) -> tuple[int, int, float]:
    """Stops an instance while a lagging load balancer keeps sending to it.

    Returns:
      Number of requests refused, number cut off and the time of the exit.
    """
    rng = random.Random(seed)
    now = 0.0
    listening = True
    ends: list[float] = []
    refused = 0
    plan.begin(now)
    while True:
        if now < BALANCER_LAG_S and rng.random() < 0.5:
            refused += not listening
            if listening:
                ends.append(now + rng.random() * DEADLINE_S)
        ends = [end for end in ends if end > now]
        last_deadline = max(ends, default=0.0)
        steps = plan.tick(now, len(ends), last_deadline)
        listening = listening and StopStep.STOP_LISTENING not in steps
        if StopStep.EXIT in steps:
            return refused, len(ends), now
        now += STEP_S


class StopPlanTest(testtools.TestCase):
    """Stops behind a load balancer that lags by five seconds."""

    def test_nothing_is_refused_or_cut_off(self) -> None:
        for seed in range(20):
            plan = StopPlan(BALANCER_LAG_S)
            refused, cut_off, end = stop_under_load(seed, plan)
            self.assertEqual((0, 0), (refused, cut_off))
            self.assertLess(end, BALANCER_LAG_S + DEADLINE_S + 2 * STEP_S)
            self.assertIs(StopPhase.STOPPED, plan.phase)

    def test_too_short_balancer_lag_refuses_requests(self) -> None:
        self.assertGreater(stop_under_load(1, StopPlan(1.0))[0], 0)

    def test_unfinished_work_does_not_prevent_the_exit(self) -> None:
        plan = StopPlan(0.0)
        plan.begin(0.0)
        plan.tick(0.0, 1, 2.0)
        late = 2.0 + FINISH_GRACE_PERIOD_S
        self.assertNotIn(StopStep.EXIT, plan.tick(late - 0.1, 1, 2.0))
        self.assertIn(StopStep.EXIT, plan.tick(late, 1, 2.0))
