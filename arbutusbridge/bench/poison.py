"""A request that crashes upstreams and is resent to every instance."""

from __future__ import annotations

import dataclasses
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from arbutusbridge.bench import _scatter, tail
from arbutusbridge.bench.report import Report
from arbutusbridge.core.messages import Outcome, SearchRequest
from arbutusbridge.core.requests import quarantine
from arbutusbridge.core.requests.intake import Intake

if TYPE_CHECKING:
    from arbutusbridge.core.requests.quarantine import CanaryRule
    from arbutusbridge.replay import FinishedRequest, World

POISON = "poison"
POISON_CALLER = "crew"

FIRST_SEND_AT_S = 1.5
"""Time at which the request is first sent."""

FIRST_RESEND_DELAY_S = 0.25
"""Time between the first send and the first resend."""

LATE_RESEND_DELAY_S = 2.0
"""Time after the first send from which resends must crash no upstream."""

RESEND_INTERVAL_S = 0.2
LATE_RESEND_INTERVAL_S = 0.05

RESTART_TIME_S = 5.0
"""Time that a crashed upstream takes to restart."""

OUTAGE_RUN_DURATION_S = 2.0
"""Time over which queries arrive in the run with an outage."""

OUTAGE_AT_S = 1.0
OUTAGE_SPREAD_S = 0.02
OUTAGE_UPSTREAM_STEP = 3
"""One upstream in this many crashes, all within OUTAGE_SPREAD_S."""

FAMILIAR_FRACTION = 0.5
"""Fraction of the other callers' searches that repeat an earlier query."""

FAMILIAR_TEXTS = 40
"""Number of distinct queries that the other callers repeat."""

P99_BOUND_MS = 65.0

CANARY_RULES: dict[str, CanaryRule] = {
    "none": quarantine.canary_never,
    "suspects": quarantine.canary_for_suspects,
    "unfamiliar_caller": quarantine.canary_for_unfamiliar_callers,
    "unfamiliar": quarantine.canary_for_unfamiliar,
    "always": quarantine.canary_always,
}
"""Rules compared for when a query is first run as a canary, by name."""


@dataclass(frozen=True, slots=True)
class PoisonLoad:
    """Sizes of one run.

    Attributes:
      shards: Number of shards that each query is sent to.
      replicas: Number of replicas of each shard.
      slots: Number of attempts that one replica serves concurrently.
      instances: Number of instances that queries arrive at.
      queries_per_s: Rate of the other callers' queries.
      seconds: Time over which queries arrive.
    """

    shards: int = 230
    replicas: int = 3
    slots: int = 2
    instances: int = 8
    queries_per_s: float = 120.0
    seconds: float = 5.0


def measure(seed: int, load: PoisonLoad | None = None) -> Report:
    """Runs the default canary rule and each other rule on the same arrivals."""
    load = load or PoisonLoad()
    report = Report("poison", seed)
    figures = report.figures
    chosen = quarantine.Quarantine().canary
    names = {rule: name for name, rule in CANARY_RULES.items()}
    figures["way"] = names[chosen]
    add_run(figures, "", load, seed, chosen)
    for name, rule in CANARY_RULES.items():
        if rule is not chosen:
            add_run(figures, f"{name}_", load, seed, rule)
    figures["outage_others_quarantined"] = count_quarantined_in_outage(
        load, seed
    )
    report.at_most("shards_lost", 0)
    report.at_most("lost_on_late_resends", 0)
    report.at_most("others_p99_ms", P99_BOUND_MS)
    report.at_most("others_quarantined", 0)
    report.at_most("outage_others_quarantined", 0)
    report.at_most("false_not_run", 0)
    return report


def add_run(
    figures: dict[str, Any],
    prefix: str,
    load: PoisonLoad,
    seed: int,
    canary: CanaryRule,
) -> None:
    """Runs the load once and adds its figures under a name prefix."""
    world = make_world(load, seed, canary)
    add_others(world, load, seed)
    add_poison(world)
    world.run_until(load.seconds + 2.0)
    crashes = sorted(
        at
        for upstream in world.upstreams.values()
        for at in upstream.crash_times
    )
    resends_at = FIRST_SEND_AT_S + FIRST_RESEND_DELAY_S
    late_at = FIRST_SEND_AT_S + LATE_RESEND_DELAY_S
    others = [e for e in world.finished_requests if not is_poison(e)]
    after = [e for e in others if e.arrived >= FIRST_SEND_AT_S]
    before = [e for e in others if 0.5 <= e.arrived < FIRST_SEND_AT_S]
    complete = [e for e in after if e.answer.outcome is Outcome.COMPLETE]
    values = {
        "lost_at_first_sighting": sum(at < resends_at for at in crashes),
        "lost_on_resends": sum(at >= resends_at for at in crashes),
        "lost_on_late_resends": sum(at >= late_at for at in crashes),
        "shards_lost": count_lost_shards(world),
        "others_p50_ms": _scatter.latency_quantile_ms(after, 0.5),
        "others_p99_ms": _scatter.latency_quantile_ms(after, 0.99),
        "others_p99_before_ms": _scatter.latency_quantile_ms(before, 0.99),
        "others_complete": round(len(complete) / max(1, len(after)), 4),
        "others_quarantined": sum(map(quarantined, others)),
        "false_not_run": count_false_refusals(world),
    }
    for name, value in values.items():
        figures[f"{prefix}{name}"] = value


def count_quarantined_in_outage(load: PoisonLoad, seed: int) -> int:
    """Returns how many requests are quarantined in an unrelated outage.

    A third of the upstreams crash at nearly the same time, without a request
    that causes it.
    """
    short_load = dataclasses.replace(
        load, seconds=min(load.seconds, OUTAGE_RUN_DURATION_S)
    )
    world = make_world(short_load, seed, quarantine.Quarantine().canary)
    add_others(world, short_load, seed)
    for number, upstream in enumerate(world.upstreams.values()):
        if number % OUTAGE_UPSTREAM_STEP == 0:
            at = OUTAGE_AT_S + OUTAGE_SPREAD_S * world.rng.random()
            world.schedule.at(at, upstream.crash)
    world.run_until(short_load.seconds + 2.0)
    return sum(map(quarantined, world.finished_requests))


def make_world(load: PoisonLoad, seed: int, canary: CanaryRule) -> World:
    """Returns the world of ``bench tail`` with upstreams that can crash.

    The query POISON crashes every upstream that runs it.
    """
    plan = _scatter.ScatterPlan(
        load.shards,
        load.replicas,
        load.slots,
        load.instances,
        load.queries_per_s,
        0.0,
        tail.HEDGED_POLICY,
    )
    service_time = tail.make_service_time_sampler(tail.pick_slow_replicas(plan))
    world = _scatter.make_world(plan, seed, service_time)
    for upstream in world.upstreams.values():
        upstream.poison = POISON
        upstream.restart_delay_s = RESTART_TIME_S
    for instance in world.instances.values():
        instance.tier.intake = Intake(quarantine=quarantine.Quarantine(canary))
        instance.tier.set_instance_count(load.instances)
    return world


def add_others(world: World, load: PoisonLoad, seed: int) -> None:
    """Schedules the other callers' searches, some with repeated queries."""
    rng = random.Random(seed * 7919 + 2)
    instances = list(world.instances.values())
    when = rng.expovariate(load.queries_per_s)
    number = 0
    while when < load.seconds:
        number += 1
        text = f"account {number}"
        if rng.random() < FAMILIAR_FRACTION:
            text = f"backup {rng.randrange(FAMILIAR_TEXTS)}"
        request = SearchRequest(
            f"q{number}", _scatter.CALLER, _scatter.SERVICE, text
        )
        world.schedule.at(when, rng.choice(instances).search, request)
        when += rng.expovariate(load.queries_per_s)


def add_poison(world: World) -> None:
    """Schedules the crashing request at every instance, then a late resend."""
    instances = list(world.instances.values())
    when = FIRST_SEND_AT_S
    late = FIRST_SEND_AT_S + LATE_RESEND_DELAY_S
    for number, instance in enumerate(instances):
        request = make_poison_request(f"poison-{number}")
        world.schedule.at(when, instance.search, request)
        interval_s = RESEND_INTERVAL_S if number else FIRST_RESEND_DELAY_S
        when = min(when + interval_s, late)
    for number, instance in enumerate(instances):
        request = make_poison_request(f"late-{number}")
        at = late + number * LATE_RESEND_INTERVAL_S
        world.schedule.at(at, instance.search, request)


def make_poison_request(request_id: str) -> SearchRequest:
    """Returns the request that crashes upstreams, from a familiar caller."""
    return SearchRequest(request_id, POISON_CALLER, _scatter.SERVICE, POISON)


def count_lost_shards(world: World) -> int:
    """Returns the number of shards whose replicas were all down at once."""
    lost = 0
    for layouts in world.configuration.layouts.values():
        for shard in layouts[0].shards:
            crashes = [world.upstreams[n].crash_times for n in shard.replicas]
            lost += were_all_down_at_once(crashes)
    return lost


def were_all_down_at_once(crashes: list[list[float]]) -> bool:
    """Returns whether all replicas were down at the moment of some crash.

    Args:
      crashes: Crash times of each replica, in seconds.
    """
    all_crash_times = [at for replica in crashes for at in replica]
    return any(
        all(
            any(at <= moment < at + RESTART_TIME_S for at in replica)
            for replica in crashes
        )
        for moment in all_crash_times
    )


def is_poison(finished: FinishedRequest) -> bool:
    """Returns whether a request is the one that crashes upstreams."""
    request = finished.request
    return isinstance(request, SearchRequest) and request.query == POISON


def quarantined(finished: FinishedRequest) -> bool:
    """Returns whether a request was answered as quarantined."""
    return finished.answer.outcome is Outcome.QUARANTINED


def count_false_refusals(world: World) -> int:
    """Returns how many requests were reported as not run but did run."""
    ran = {
        attempt.request_id
        for upstream in world.upstreams.values()
        for _, attempt in upstream.runs
    }
    return sum(
        finished.answer.ran == "no" and finished.request.request_id in ran
        for finished in world.finished_requests
    )
