"""Goodput, urgent requests and truthful refusals at twice the capacity."""

from __future__ import annotations

import dataclasses
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from arbutusbridge.bench import _scatter
from arbutusbridge.bench.report import Report
from arbutusbridge.core.messages import Outcome, SearchRequest
from arbutusbridge.core.model import (
    Configuration,
    Policy,
    Rules,
    Upstream,
    Urgency,
)
from arbutusbridge.core.requests.admission import Admission
from arbutusbridge.core.requests.coalescing import Coalescer
from arbutusbridge.core.requests.intake import Intake
from arbutusbridge.replay import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.replay import FinishedRequest

MIN_SERVICE_TIME_S = 0.002
MAX_SERVICE_TIME_S = 0.006
MEAN_SERVICE_TIME_S = (MIN_SERVICE_TIME_S + MAX_SERVICE_TIME_S) / 2

CONNECTIONS = 25
"""Maximum number of connections that one replica accepts."""

OFFERED_LOAD_FACTOR = 2.0
"""Arrival rate over the rate that all slots serve without coalescing."""

URGENT_FRACTION = 0.2
IDENTICAL_FRACTION = 0.5

URGENT_CALLER = "crew"
ROUTINE_CALLER = "billing"
URGENT_POLICY = Policy(deadline_ms=65.0, urgency=Urgency.URGENT)
ROUTINE_POLICY = Policy(deadline_ms=250.0)

MIN_URGENT_IN_TIME_FRACTION = 0.99
MIN_GOODPUT_FRACTION = 0.9

BASELINE_DURATION_S = 2.0
"""Time over which queries arrive in the runs for comparison."""

WARM_UP_S = 1.0
"""Time at the start that is excluded from the rates and quantiles.

The check for false refusals covers the whole run.
"""


@dataclass(frozen=True, slots=True)
class OverloadPlan:
    """Sizes of one run.

    Attributes:
      shards: Number of shards that each query is sent to.
      replicas: Number of replicas of each shard.
      slots: Number of attempts that one replica serves concurrently.
      instances: Number of instances that queries arrive at.
      seconds: Time over which queries arrive.
      intake: Builds the intake of one instance.
      divides_capacity: Whether each instance limits itself to its share of
        the upstreams' capacity.
    """

    shards: int = 24
    replicas: int = 3
    slots: int = 2
    instances: int = 8
    seconds: float = 4.0
    intake: Callable[[], Intake] = Intake
    divides_capacity: bool = True

    @property
    def capacity_per_s(self) -> float:
        """Queries per second that all slots serve without coalescing."""
        return self.replicas * self.slots / MEAN_SERVICE_TIME_S


def make_unprotected_intake() -> Intake:
    """Builds an intake without admission limits and without coalescing."""
    return Intake(Admission.unlimited(), Coalescer(enabled=False))


def make_uncoalesced_intake() -> Intake:
    """Builds an intake that admits by urgency, without coalescing."""
    return Intake(coalescer=Coalescer(enabled=False))


def measure(seed: int, plan: OverloadPlan | None = None) -> Report:
    """Runs the same arrivals with all protections, with some and with none."""
    plan = plan or OverloadPlan()
    report = Report("overload", seed)
    figures = report.figures
    figures["capacity_per_s"] = plan.capacity_per_s
    figures["arrivals_per_s"] = OFFERED_LOAD_FACTOR * plan.capacity_per_s
    add_run(figures, "", plan, seed)
    short_plan = dataclasses.replace(
        plan, seconds=min(plan.seconds, BASELINE_DURATION_S)
    )
    uncoalesced = dataclasses.replace(
        short_plan, intake=make_uncoalesced_intake
    )
    add_run(figures, "unshared_", uncoalesced, seed)
    none = dataclasses.replace(
        short_plan, intake=make_unprotected_intake, divides_capacity=False
    )
    add_run(figures, "baseline_", none, seed)
    report.at_least("urgent_in_time", MIN_URGENT_IN_TIME_FRACTION)
    report.at_least("goodput", MIN_GOODPUT_FRACTION)
    report.at_most("false_not_run", 0)
    report.at_most("unanswered", 0)
    return report


def add_run(
    figures: dict[str, Any], prefix: str, plan: OverloadPlan, seed: int
) -> None:
    """Runs the plan once and adds its figures under a name prefix."""
    world = make_world(plan, seed)
    asked = add_arrivals(world, plan, seed)
    world.run_until(plan.seconds + 2.0)
    counted = [
        e
        for e in world.finished_requests
        if WARM_UP_S <= e.arrived < plan.seconds
    ]
    urgent = [e for e in counted if e.request.caller == URGENT_CALLER]
    routine = [e for e in counted if e.request.caller == ROUTINE_CALLER]
    in_time_count = sum(map(is_answered_in_time, counted))
    span = plan.seconds - WARM_UP_S
    values = {
        "urgent_in_time": share(map(is_answered_in_time, urgent), len(urgent)),
        "routine_in_time": share(
            map(is_answered_in_time, routine), len(routine)
        ),
        "goodput": round(in_time_count / span / plan.capacity_per_s, 3),
        "urgent_p99_ms": _scatter.latency_quantile_ms(urgent, 0.99),
        "not_run": share(map(refused, counted), len(counted)),
        "refused_p99_ms": _scatter.latency_quantile_ms(
            [e for e in counted if refused(e)], 0.99
        ),
        "false_not_run": count_false_refusals(world),
        "unanswered": asked - len(world.finished_requests),
        "shared": sum(
            i.tier.intake.coalescer.joined for i in world.instances.values()
        ),
        "utilisation": round(
            _scatter.compute_slot_utilisation(
                world, MEAN_SERVICE_TIME_S, plan.seconds
            ),
            3,
        ),
    }
    for name, value in values.items():
        figures[f"{prefix}{name}"] = value


def share(holds: Any, count: int) -> float:
    """Returns the fraction of a count for which a condition holds.

    Args:
      holds: One boolean for each item.
      count: Number of items.
    """
    return round(sum(holds) / max(1, count), 4)


def is_answered_in_time(finished: FinishedRequest) -> bool:
    """Returns whether a request got a complete answer by its deadline."""
    policy = get_policy(finished.request.caller)
    whole = finished.answer.outcome is Outcome.COMPLETE
    return whole and finished.seconds * 1000 <= policy.deadline_ms


def refused(finished: FinishedRequest) -> bool:
    """Returns whether a request was answered with the outcome not_run."""
    return finished.answer.outcome is Outcome.NOT_RUN


def get_policy(caller: str) -> Policy:
    """Returns the policy that applies to a caller."""
    return URGENT_POLICY if caller == URGENT_CALLER else ROUTINE_POLICY


def make_world(plan: OverloadPlan, seed: int) -> World:
    """Returns a world of instances and of upstreams with one snapshot."""
    layout = _scatter.make_layout(1, plan.shards, plan.replicas)
    names = [name for shard in layout.shards for name in shard.replicas]
    upstreams = {
        name: Upstream(
            name,
            "127.0.0.1",
            _scatter.FIRST_PORT + i,
            _scatter.DATA_CENTRE,
            plan.slots,
            CONNECTIONS,
            1.0,
        )
        for i, name in enumerate(names)
    }
    rules = Rules(ROUTINE_POLICY, {(URGENT_CALLER, ""): URGENT_POLICY})
    configuration = Configuration(
        1, "bench", {_scatter.SERVICE: (layout,)}, upstreams, rules
    )
    world = World(configuration, seed)
    world.add_upstreams(draw_service_time)
    for number in range(plan.instances):
        instance = world.add_instance(f"i{number}", _scatter.DATA_CENTRE)
        instance.tier.intake = plan.intake()
        if plan.divides_capacity:
            instance.tier.set_instance_count(plan.instances)
    return world


def draw_service_time(_name: str, rng: random.Random) -> float:
    """Returns a random service time of one attempt, in seconds."""
    return rng.uniform(MIN_SERVICE_TIME_S, MAX_SERVICE_TIME_S)


def add_arrivals(world: World, plan: OverloadPlan, seed: int) -> int:
    """Schedules requests at twice the capacity and returns their number."""
    rng = random.Random(seed * 7919 + 1)
    instances = list(world.instances.values())
    rate = OFFERED_LOAD_FACTOR * plan.capacity_per_s
    when = rng.expovariate(rate)
    number = 0
    while when < plan.seconds:
        number += 1
        urgent = rng.random() < URGENT_FRACTION
        is_identical = rng.random() < IDENTICAL_FRACTION
        request = SearchRequest(
            f"q{number}",
            URGENT_CALLER if urgent else ROUTINE_CALLER,
            _scatter.SERVICE,
            "backup status" if is_identical else f"account {number}",
        )
        world.schedule.at(when, rng.choice(instances).search, request)
        when += rng.expovariate(rate)
    return number


def count_false_refusals(world: World) -> int:
    """Returns how many requests were answered with not_run but did run.

    The upstreams record the attempts they ran, and the decision log names the
    scatter that a coalesced request shared. A request that left a scatter
    while it was still queued did not run, although the scatter may have run
    for other requests afterwards.
    """
    first_run_at: dict[str, float] = {}
    shared_with = {
        decision.request_id: decision.detail["with"]
        for instance in world.instances.values()
        for decision in instance.decisions
        if decision.what == "share"
    }
    ids_with_runs = set()
    for upstream in world.upstreams.values():
        for when, attempt in upstream.runs:
            ids_with_runs.add(attempt.request_id)
            scatter = find_scatter_owner(attempt.request_id, shared_with)
            first_run_at[scatter] = min(when, first_run_at.get(scatter, when))
    false_refusals = 0
    for finished in filter(refused, world.finished_requests):
        request_id = finished.request.request_id
        ran_at = first_run_at.get(find_scatter_owner(request_id, shared_with))
        ran_before = ran_at is not None and ran_at <= finished.answered
        false_refusals += request_id in ids_with_runs or ran_before
    return false_refusals


def find_scatter_owner(request_id: str, shared_with: dict[str, str]) -> str:
    """Returns the id of the request whose scatter a request shared.

    A request that shared no scatter is its own owner.
    """
    while request_id in shared_with:
        request_id = shared_with[request_id]
    return request_id
