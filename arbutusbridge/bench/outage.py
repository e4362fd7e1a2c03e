"""Attempts and latency while many replicas refuse or hang for a while."""

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

SERVICE_S = (0.002, 0.006)
OUTAGE_START_S = 3.0
OUTAGE_S = 10.0
AFTER_S = 8.0
WINDOW_S = 1.0
"""Length of the windows in which attempts and latency are looked at."""

RECOVERED_OVER_S = 3.0
"""Time over which p99 has to be back to normal, in seconds."""

RECOVERY_STEP_S = 0.5

BACK_TO_NORMAL = 1.1
"""p99 over that before the outage that counts as recovered."""

ATTEMPTS_BOUND = 1.1
RECOVERY_BOUND_S = 5.0

PLAN = _scatter.Plan(
    shards=230,
    replicas=3,
    slots=2,
    instances=2,
    queries_per_s=80.0,
    seconds=OUTAGE_START_S + OUTAGE_S + AFTER_S,
    policy=Policy(
        deadline_ms=500.0, least_coverage=0.9, prefer=Preference.LATENCY
    ),
)


def measure(seed: int, plan: _scatter.Plan = PLAN) -> Report:
    """Takes a third of the replicas of half the shards away.

    Once one replica of each such shard, once drawn from all of them, so that
    some shards lose every replica; refusing and hanging.
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
            report.figures.update(figures_of(world, plan, prefix))
            report.at_most(f"{prefix}attempts_a_shard", ATTEMPTS_BOUND)
            report.at_most(f"{prefix}most_attempts_a_shard", ATTEMPTS_BOUND)
            report.at_most(f"{prefix}recovery_s", RECOVERY_BOUND_S)
    return report


def run(
    plan: _scatter.Plan, seed: int, lost: list[str], mode: UpstreamMode
) -> World:
    """Runs one outage; lost upstreams refuse or hang."""
    world = _scatter.make_world(plan, seed, service_time)
    for name in lost:
        upstream = world.upstreams[name]
        world.schedule.at(OUTAGE_START_S, setattr, upstream, "mode", mode)
        world.schedule.at(
            OUTAGE_START_S + OUTAGE_S,
            setattr,
            upstream,
            "mode",
            UpstreamMode.SERVE,
        )
    world.run_until(plan.seconds + 2.0)
    return world


def service_time(_name: str, rng: random.Random) -> float:
    """Draws the time that one attempt takes."""
    return rng.uniform(*SERVICE_S)


def one_of_each(plan: _scatter.Plan, rng: random.Random) -> list[str]:
    """Draws a third of the replicas of each of half the shards."""
    count = plan.replicas // 3
    return [
        f"u{i}-{j}"
        for i in rng.sample(range(plan.shards), plan.shards // 2)
        for j in rng.sample(range(plan.replicas), count)
    ]


def scattered(plan: _scatter.Plan, rng: random.Random) -> list[str]:
    """Draws a third of all replicas of half the shards, some shards whole."""
    hit = rng.sample(range(plan.shards), plan.shards // 2)
    names = [f"u{i}-{j}" for i in hit for j in range(plan.replicas)]
    return rng.sample(names, len(names) // 3)


def figures_of(
    world: World, plan: _scatter.Plan, prefix: str
) -> dict[str, Any]:
    """Returns the figures of one outage."""
    windows = by_window(world, plan)
    made = Counter(attempt.request_id for attempt in world.attempts)
    rates = [attempts_a_shard(window, made, plan) for window in windows]
    every = world.finished_requests
    during = [e for e in every if in_outage(e.arrived)]
    before = [e for e in every if 1.0 <= e.arrived < OUTAGE_START_S]
    normal = _scatter.milliseconds(before, 0.99)
    figures = {
        "queries": len(every),
        "attempts_a_shard": attempts_a_shard(every, made, plan),
        "most_attempts_a_shard": max(rates),
        "before_p99_ms": normal,
        "during_p50_ms": _scatter.milliseconds(during, 0.5),
        "during_p99_ms": _scatter.milliseconds(during, 0.99),
        "during_mean_coverage": round(_scatter.mean_coverage(during), 5),
        "recovery_s": recovery_s(every, normal),
        "p99_ms_by_second": [_scatter.milliseconds(w, 0.99) for w in windows],
    }
    return {prefix + name: value for name, value in figures.items()}


def in_outage(when: float) -> bool:
    """Tells whether a time lies in the outage."""
    return OUTAGE_START_S <= when < OUTAGE_START_S + OUTAGE_S


def by_window(world: World, plan: _scatter.Plan) -> list[list[FinishedRequest]]:
    """Returns the answers by the window in which their queries arrived."""
    windows: list[list[FinishedRequest]] = [
        [] for _ in range(int(plan.seconds / WINDOW_S))
    ]
    for ended in world.finished_requests:
        windows[int(ended.arrived / WINDOW_S)].append(ended)
    return windows


def attempts_a_shard(
    ended: Sequence[FinishedRequest],
    made: Mapping[str, int],
    plan: _scatter.Plan,
) -> float:
    """Returns the attempts made for some queries over the shards asked."""
    attempts = sum(made.get(e.answer.request_id, 0) for e in ended)
    return round(attempts / (max(1, len(ended)) * plan.shards), 4)


def recovery_s(ended: Sequence[FinishedRequest], normal_ms: float) -> float:
    """Returns how long after the return p99 is back to normal.

    It is the first time from which p99 over the next seconds, which hold
    enough queries for a p99, is back to that before the outage.
    """
    returned = OUTAGE_START_S + OUTAGE_S
    late = 0.0
    while late <= AFTER_S - RECOVERED_OVER_S:
        start = returned + late
        after = [
            e for e in ended if start <= e.arrived < start + RECOVERED_OVER_S
        ]
        if _scatter.milliseconds(after, 0.99) <= normal_ms * BACK_TO_NORMAL:
            return late
        late += RECOVERY_STEP_S
    return AFTER_S
