"""Scatter over many shards on virtual time, shared by measurements."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import SearchRequest
from arbutusbridge.core.model import (
    KEY_SPACE_SIZE,
    Configuration,
    Layout,
    Policy,
    Rules,
    Shard,
    Upstream,
)
from arbutusbridge.core.requests.admission import Admission
from arbutusbridge.core.requests.intake import Intake
from arbutusbridge.core.requests.quarantine import Quarantine, canary_never
from arbutusbridge.replay import World

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from arbutusbridge.core.requests.routing import Picker
    from arbutusbridge.replay import FinishedRequest

SERVICE = "reports"
CALLER = "crew"
DATA_CENTRE = "dc"
FIRST_PORT = 1024


@dataclass(slots=True)
class ScatterPlan:
    """Sizes and rates of one run.

    Attributes:
      shards: Number of shards that each query is sent to.
      replicas: Number of replicas of each shard.
      slots: Number of attempts that one replica serves concurrently.
      instances: Number of instances that queries arrive at.
      queries_per_s: Arrival rate over all instances.
      seconds: Time over which queries arrive.
      policy: Policy of every query.
      picker: Builds the replica picker of one instance, None for the default
        picker.
      is_baseline: Whether every query is admitted immediately and sent to
        all shards at once, as a baseline.
    """

    shards: int
    replicas: int
    slots: int
    instances: int
    queries_per_s: float
    seconds: float
    policy: Policy = field(default_factory=Policy)
    picker: Callable[[], Picker] | None = None
    is_baseline: bool = False


def make_layout(epoch: int, shards: int, replicas: int) -> Layout:
    """Returns a layout of shards with unequal weights."""
    return Layout.of(
        SERVICE,
        epoch,
        tuple(
            Shard(
                f"s{i}",
                i * KEY_SPACE_SIZE // shards,
                (i + 1) * KEY_SPACE_SIZE // shards,
                1000 + 37 * (i % 11),
                tuple(f"u{i}-{j}" for j in range(replicas)),
            )
            for i in range(shards)
        ),
    )


def make_configuration(
    layouts: tuple[Layout, ...], slots: int, policy: Policy
) -> Configuration:
    """Returns a configuration with one service and one policy."""
    names = sorted(
        {
            name
            for layout in layouts
            for shard in layout.shards
            for name in shard.replicas
        }
    )
    upstreams = {
        name: Upstream(
            name, "127.0.0.1", FIRST_PORT + i, DATA_CENTRE, slots, 110, 1.0
        )
        for i, name in enumerate(names)
    }
    return Configuration(
        1, "bench", {SERVICE: layouts}, upstreams, Rules(policy)
    )


def make_world(
    plan: ScatterPlan,
    seed: int,
    service_time: Callable[[str, random.Random], float],
) -> World:
    """Returns a world with one layout and its scheduled queries.

    Args:
      plan: Sizes and rates of the run.
      seed: Seed of all random choices.
      service_time: Returns the service time of one attempt in seconds, by
        upstream name and random source.
    """
    layout = make_layout(1, plan.shards, plan.replicas)
    configuration = make_configuration((layout,), plan.slots, plan.policy)
    world = World(configuration, seed)
    world.add_upstreams(service_time)
    add_instances(world, plan)
    add_arrivals(world, plan, seed)
    return world


def add_instances(world: World, plan: ScatterPlan) -> None:
    """Starts the instances of a plan."""
    for number in range(plan.instances):
        instance = world.add_instance(f"i{number}", DATA_CENTRE)
        if plan.picker is not None:
            instance.tier.pick_replica = plan.picker()
        if plan.is_baseline:
            instance.tier.intake = Intake(
                Admission.unlimited(), quarantine=Quarantine(canary_never)
            )


def add_arrivals(world: World, plan: ScatterPlan, seed: int) -> None:
    """Schedules distinct queries at random times and random instances."""
    rng = random.Random(seed * 7919 + 1)
    instances = list(world.instances.values())
    when = 0.0
    number = 0
    while True:
        when += rng.expovariate(plan.queries_per_s)
        if when >= plan.seconds:
            return
        number += 1
        request = SearchRequest(f"q{number}", CALLER, SERVICE, f"text {number}")
        world.schedule.at(when, rng.choice(instances).search, request)


def quantile(values: Sequence[float], share: float) -> float:
    """Returns a quantile of the values, 0.0 when there are none.

    Args:
      values: Values in any order.
      share: Quantile as a fraction of 1.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def latency_quantile_ms(
    finished: Sequence[FinishedRequest], share: float
) -> float:
    """Returns a quantile of the answer latencies, in milliseconds."""
    return round(quantile([e.seconds for e in finished], share) * 1000, 1)


def mean_coverage(finished: Sequence[FinishedRequest]) -> float:
    """Returns the mean coverage that the answers state."""
    return sum(e.answer.coverage for e in finished) / max(1, len(finished))


def arrivals(world: World) -> int:
    """Returns the number of attempts that reached any upstream."""
    return sum(len(upstream.arrivals) for upstream in world.upstreams.values())


def compute_slot_utilisation(
    world: World, mean_service_s: float, seconds: float
) -> float:
    """Returns the fraction of all slot time that attempts used.

    Args:
      world: World that has run.
      mean_service_s: Service time counted for each attempt, in seconds.
      seconds: Time over which the slots are counted.
    """
    ran = sum(len(upstream.runs) for upstream in world.upstreams.values())
    slots = sum(upstream.slots for upstream in world.upstreams.values())
    return ran * mean_service_s / (slots * seconds)
