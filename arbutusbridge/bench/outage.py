"""Attempts and latency while many replicas refuse or hang."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, Any

from arbutusbridge.bench import _scatter
from arbutusbridge.bench.report import Report
from arbutusbridge.core.model import Policy, Preference
from arbutusbridge.replay import UpstreamMode, World

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from arbutusbridge.replay import FinishedRequest

SERVICE_TIME_RANGE_S = (0.002, 0.006)
OUTAGE_START_S = 3.0
OUTAGE_DURATION_S = 10.0
RECOVERY_OBSERVATION_S = 8.0
WINDOW_LENGTH_S = 1.0
"""Length of the windows for which attempts and latency are computed."""

RECOVERY_WINDOW_S = 3.0
"""Time over which p99 has to stay at the normal level to count as recovered."""

RECOVERY_STEP_S = 0.5

RECOVERED_P99_FACTOR = 1.1
"""Largest p99 that counts as recovered, over p99 before the outage."""

MAX_ATTEMPTS_PER_SHARD = 1.1
MAX_RECOVERY_S = 5.0

PLAN = _scatter.ScatterPlan(
    shards=230,
    replicas=3,
    slots=2,
    instances=2,
    queries_per_s=80.0,
    seconds=OUTAGE_START_S + OUTAGE_DURATION_S + RECOVERY_OBSERVATION_S,
    policy=Policy(
        deadline_ms=500.0, least_coverage=0.9, prefer=Preference.LATENCY
    ),
)


def measure(seed: int, plan: _scatter.ScatterPlan = PLAN) -> Report:
    """Runs outages of a third of the replicas of half the shards.

    The lost replicas are either one of each such shard, or are drawn from all
    replicas of these shards, so that some shards lose every replica. In each
    case they refuse in one run and hang in another.
    """
    report = Report("outage", seed)
    for draw in (one_of_each, scattered):
        lost = draw(plan, random.Random(seed))
        for name, mode in (
            ("refuse", UpstreamMode.DEAD),
            ("hang", UpstreamMode.HANG),
        ):
            prefix = f"{draw.__name__}_{name}_"
            world = run(plan, seed, lost, mode)
            report.figures.update(compute_figures(world, plan, prefix))
            report.at_most(f"{prefix}attempts_a_shard", MAX_ATTEMPTS_PER_SHARD)
            report.at_most(
                f"{prefix}most_attempts_a_shard", MAX_ATTEMPTS_PER_SHARD
            )
            report.at_most(f"{prefix}recovery_s", MAX_RECOVERY_S)
    return report


def run(
    plan: _scatter.ScatterPlan, seed: int, lost: list[str], mode: UpstreamMode
) -> World:
    """Runs one outage in which lost upstreams switch to a mode."""
    world = _scatter.make_world(plan, seed, draw_service_time)
    for name in lost:
        upstream = world.upstreams[name]
        world.schedule.at(OUTAGE_START_S, setattr, upstream, "mode", mode)
        world.schedule.at(
            OUTAGE_START_S + OUTAGE_DURATION_S,
            setattr,
            upstream,
            "mode",
            UpstreamMode.SERVE,
        )
    world.run_until(plan.seconds + 2.0)
    return world


def draw_service_time(_name: str, rng: random.Random) -> float:
    """Returns a random service time of one attempt, in seconds."""
    return rng.uniform(*SERVICE_TIME_RANGE_S)


def one_of_each(plan: _scatter.ScatterPlan, rng: random.Random) -> list[str]:
    """Draws a third of the replicas of each of half the shards."""
    count = plan.replicas // 3
    return [
        f"u{i}-{j}"
        for i in rng.sample(range(plan.shards), plan.shards // 2)
        for j in rng.sample(range(plan.replicas), count)
    ]


def scattered(plan: _scatter.ScatterPlan, rng: random.Random) -> list[str]:
    """Draws a third of all replicas of half the shards.

    Some shards lose all their replicas.
    """
    affected_shards = rng.sample(range(plan.shards), plan.shards // 2)
    names = [f"u{i}-{j}" for i in affected_shards for j in range(plan.replicas)]
    return rng.sample(names, len(names) // 3)


def compute_figures(
    world: World, plan: _scatter.ScatterPlan, prefix: str
) -> dict[str, Any]:
    """Returns the figures of one outage under a name prefix."""
    windows = group_by_window(world, plan)
    attempt_counts = Counter(attempt.request_id for attempt in world.attempts)
    window_rates = [
        attempts_a_shard(window, attempt_counts, plan) for window in windows
    ]
    all_finished = world.finished_requests
    during = [e for e in all_finished if is_in_outage(e.arrived)]
    before = [e for e in all_finished if 1.0 <= e.arrived < OUTAGE_START_S]
    normal_p99_ms = _scatter.latency_quantile_ms(before, 0.99)
    figures = {
        "queries": len(all_finished),
        "attempts_a_shard": attempts_a_shard(
            all_finished, attempt_counts, plan
        ),
        "most_attempts_a_shard": max(window_rates),
        "before_p99_ms": normal_p99_ms,
        "during_p50_ms": _scatter.latency_quantile_ms(during, 0.5),
        "during_p99_ms": _scatter.latency_quantile_ms(during, 0.99),
        "during_mean_coverage": round(_scatter.mean_coverage(during), 5),
        "recovery_s": recovery_s(all_finished, normal_p99_ms),
        "p99_ms_by_second": [
            _scatter.latency_quantile_ms(w, 0.99) for w in windows
        ],
    }
    return {prefix + name: value for name, value in figures.items()}


def is_in_outage(when: float) -> bool:
    """Returns whether a time lies within the outage."""
    return OUTAGE_START_S <= when < OUTAGE_START_S + OUTAGE_DURATION_S


def group_by_window(
    world: World, plan: _scatter.ScatterPlan
) -> list[list[FinishedRequest]]:
    """Returns the finished requests grouped by the window of their arrival."""
    windows: list[list[FinishedRequest]] = [
        [] for _ in range(int(plan.seconds / WINDOW_LENGTH_S))
    ]
    for finished in world.finished_requests:
        windows[int(finished.arrived / WINDOW_LENGTH_S)].append(finished)
    return windows


def attempts_a_shard(
    finished: Sequence[FinishedRequest],
    attempt_counts: Mapping[str, int],
    plan: _scatter.ScatterPlan,
) -> float:
    """Returns the attempts per queried shard of some requests.

    Args:
      finished: Requests to count.
      attempt_counts: Number of attempts by request id.
      plan: Sizes of the run.
    """
    attempts = sum(attempt_counts.get(e.answer.request_id, 0) for e in finished)
    return round(attempts / (max(1, len(finished)) * plan.shards), 4)


def recovery_s(finished: Sequence[FinishedRequest], normal_ms: float) -> float:
    """Returns the seconds from the end of the outage until p99 recovers.

    p99 has recovered at the first time from which its value over the next
    RECOVERY_WINDOW_S is back to that before the outage. The window is long
    enough to hold the queries that a p99 needs.

    Args:
      finished: All finished requests.
      normal_ms: p99 before the outage.
    """
    outage_end_s = OUTAGE_START_S + OUTAGE_DURATION_S
    delay_s = 0.0
    while delay_s <= RECOVERY_OBSERVATION_S - RECOVERY_WINDOW_S:
        start = outage_end_s + delay_s
        after = [
            e
            for e in finished
            if start <= e.arrived < start + RECOVERY_WINDOW_S
        ]
        if (
            _scatter.latency_quantile_ms(after, 0.99)
            <= normal_ms * RECOVERED_P99_FACTOR
        ):
            return delay_s
        delay_s += RECOVERY_STEP_S
    return RECOVERY_OBSERVATION_S
