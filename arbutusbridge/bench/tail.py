"""Tail latency with stragglers, with and without hedging, by replica picker."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from arbutusbridge.bench import _scatter
from arbutusbridge.bench.report import Report
from arbutusbridge.core.model import Policy, Preference
from arbutusbridge.core.requests import routing

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from arbutusbridge.core.requests.routing import Picker
    from arbutusbridge.replay import World

MEDIAN_SERVICE_TIME_S = 0.0035
SERVICE_SIGMA = 0.2
"""Standard deviation of the logarithm of the normal service time."""

SLOW_REPLY_FRACTION = 0.01
SLOW_REPLY_FACTOR_RANGE = (10.0, 20.0)
"""Range of the factor on the service time of a slow reply."""

SLOW_REPLICA_STEP = 50
"""One replica in this many is always slow."""

SLOW_REPLICA_FACTOR = 15.0

P99_BOUND_MS = 65.0
"""Upper bound of p99 with hedging, and lower bound without."""

MAX_EXTRA_LOAD_FRACTION = 0.05

WARM_UP_S = 0.5
"""Time at the start that quantiles exclude; load figures include it."""

HEDGED_POLICY = Policy(
    deadline_ms=1000.0, least_coverage=1.0, prefer=Preference.LATENCY
)
UNHEDGED_POLICY = dataclasses.replace(HEDGED_POLICY, extra_load=0.0)

PLAN = _scatter.ScatterPlan(
    shards=230,
    replicas=3,
    slots=2,
    instances=4,
    queries_per_s=400.0,
    seconds=4.0,
    policy=HEDGED_POLICY,
)

BASELINE_PICKERS: dict[str, Callable[[], Picker]] = {
    "random": lambda: routing.pick_random,
    "round_robin": routing.round_robin,
    "least_reported": lambda: routing.pick_least_reported_load,
}
BASELINE_DURATION_S = 1.5


def measure(seed: int, plan: _scatter.ScatterPlan = PLAN) -> Report:
    """Runs the same arrivals hedged, unhedged and with baseline pickers."""
    report = Report("tail", seed)
    figures = report.figures
    figures["arrivals_per_s"] = plan.queries_per_s
    add_run(figures, "", plan, seed)
    unhedged = dataclasses.replace(
        plan, policy=UNHEDGED_POLICY, is_baseline=True
    )
    add_run(figures, "unhedged_", unhedged, seed)
    baseline_duration_s = min(plan.seconds, BASELINE_DURATION_S)
    for name, picker in BASELINE_PICKERS.items():
        other = dataclasses.replace(
            plan, picker=picker, seconds=baseline_duration_s, is_baseline=True
        )
        add_run(figures, f"{name}_", other, seed)
    report.at_most("p99_ms", P99_BOUND_MS)
    report.at_most("extra_load", MAX_EXTRA_LOAD_FRACTION)
    report.at_least("mean_coverage", 1.0)
    report.at_least("unhedged_p99_ms", P99_BOUND_MS)
    return report


def add_run(
    figures: dict[str, Any], prefix: str, plan: _scatter.ScatterPlan, seed: int
) -> None:
    """Runs a plan once and adds its figures under a name prefix."""
    slow = pick_slow_replicas(plan)
    world = _scatter.make_world(plan, seed, make_service_time_sampler(slow))
    world.run_until(plan.seconds + plan.policy.deadline_ms / 1000 + 1.0)
    after_warm_up = [
        e for e in world.finished_requests if e.arrived >= WARM_UP_S
    ]
    asked = len(world.finished_requests) * plan.shards
    figures[f"{prefix}queries"] = len(world.finished_requests)
    figures[f"{prefix}p50_ms"] = _scatter.latency_quantile_ms(
        after_warm_up, 0.5
    )
    figures[f"{prefix}p99_ms"] = _scatter.latency_quantile_ms(
        after_warm_up, 0.99
    )
    figures[f"{prefix}p99_with_start_ms"] = _scatter.latency_quantile_ms(
        world.finished_requests, 0.99
    )
    extra = _scatter.arrivals(world) / asked - 1
    figures[f"{prefix}extra_load"] = round(extra, 4)
    figures[f"{prefix}mean_coverage"] = _scatter.mean_coverage(
        world.finished_requests
    )
    figures[f"{prefix}utilisation"] = utilisation(world, plan)


def utilisation(world: World, plan: _scatter.ScatterPlan) -> float:
    """Returns the slot utilisation as if every attempt took the median time."""
    share = _scatter.compute_slot_utilisation(
        world, MEDIAN_SERVICE_TIME_S, plan.seconds
    )
    return round(share, 3)


def pick_slow_replicas(plan: _scatter.ScatterPlan) -> frozenset[str]:
    """Returns the names of the replicas that are always slow."""
    names = [
        f"u{i}-{j}" for i in range(plan.shards) for j in range(plan.replicas)
    ]
    return frozenset(names[::SLOW_REPLICA_STEP])


def make_service_time_sampler(
    slow: frozenset[str],
) -> Callable[[str, random.Random], float]:
    """Returns a function that samples the service time of one attempt.

    Args:
      slow: Names of the replicas that are always slow.

    Returns:
      A function of replica name and random source that returns seconds.
    """

    def sample(name: str, rng: random.Random) -> float:
        seconds = MEDIAN_SERVICE_TIME_S * rng.lognormvariate(0.0, SERVICE_SIGMA)
        if name in slow:
            seconds *= SLOW_REPLICA_FACTOR
        if rng.random() < SLOW_REPLY_FRACTION:
            seconds *= rng.uniform(*SLOW_REPLY_FACTOR_RANGE)
        return seconds

    return sample
