"""Random faults of the store, the instances and the upstreams."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from arbutusbridge.replay import UpstreamMode

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from arbutusbridge.replay import World

FAULT_NAMES = (
    "store_down",
    "store_slow",
    "store_lose_replies",
    "pause_instance",
    "restart_instance",
    "cut_off_instance",
    "lose_upstream",
    "hang_upstream",
    "refuse_at_upstream",
)
"""Names of the faults, as the report prints them."""


def schedule_faults(
    world: World, rng: random.Random, seconds: float, mean_interval_s: float
) -> dict[str, int]:
    """Schedules random faults.

    Args:
      world: World that the faults occur in.
      rng: Source of random choices.
      seconds: Virtual time before which faults start.
      mean_interval_s: Mean time between two faults.

    Returns:
      The number of faults by name.
    """
    counts = dict.fromkeys(FAULT_NAMES, 0)
    at = mean_interval_s
    while at < seconds:
        name = rng.choice(FAULT_NAMES)
        counts[name] += 1
        world.schedule.at(at, FAULT_ACTIONS[name], world, rng)
        at += rng.expovariate(1 / mean_interval_s)
    return counts


def set_temporarily(
    world: World, seconds: float, owner: object, name: str, value: object
) -> None:
    """Sets an attribute for a number of seconds.

    Does nothing if the attribute is set already, as by a fault in progress.
    """
    original = getattr(owner, name)
    if original:
        return
    setattr(owner, name, value)
    world.schedule.after(seconds, setattr, owner, name, original)


def set_store_fault(
    name: str,
    max_duration_s: float,
    value: object,
    world: World,
    rng: random.Random,
) -> None:
    """Sets a store fault on the world for a random time."""
    set_temporarily(
        world, rng.uniform(0.05, max_duration_s), world, name, value
    )


def slow_store(world: World, rng: random.Random) -> None:
    """Slows the store down, in some cases beyond the timeout of its calls."""
    extra_delay_s = rng.choice((0.02, 0.2, 0.9, 3.0))
    set_store_fault("store_extra_delay_s", 2.0, extra_delay_s, world, rng)


def pick_instance_name(world: World, rng: random.Random) -> str:
    """Returns the name of a random instance."""
    return rng.choice(sorted(world.instances))


def pause_instance(world: World, rng: random.Random) -> None:
    """Pauses an instance for a random time."""
    instance = world.instances[pick_instance_name(world, rng)]
    instance.paused_until = world.now + rng.uniform(0.05, 4.0)


def restart_instance(world: World, rng: random.Random) -> None:
    """Replaces an instance by one without any state."""
    world.restart(pick_instance_name(world, rng))


def cut_off_instance(world: World, rng: random.Random) -> None:
    """Cuts an instance off from the store and its peers for a random time."""
    instance = world.instances[pick_instance_name(world, rng)]
    set_temporarily(world, rng.uniform(0.1, 3.0), instance, "cut_off", True)


def lose_upstream(world: World, rng: random.Random) -> None:
    """Crashes an upstream, which loses the attempts it runs."""
    upstream = world.upstreams[rng.choice(sorted(world.upstreams))]
    if upstream.mode is not UpstreamMode.DEAD:
        upstream.crash()


def set_upstream_mode(
    mode: UpstreamMode, world: World, rng: random.Random
) -> None:
    """Switches a serving upstream to another mode for a random time."""
    upstream = world.upstreams[rng.choice(sorted(world.upstreams))]
    if upstream.mode is not UpstreamMode.SERVE:
        return
    upstream.mode = mode

    def recover() -> None:
        if upstream.mode is mode:
            upstream.mode = UpstreamMode.SERVE

    world.schedule.after(rng.uniform(0.1, 3.0), recover)


FAULT_ACTIONS: dict[str, Callable[[World, random.Random], None]] = {
    "store_down": functools.partial(set_store_fault, "store_down", 3.0, True),
    "store_slow": slow_store,
    "store_lose_replies": functools.partial(
        set_store_fault, "store_loses_replies", 2.0, True
    ),
    "pause_instance": pause_instance,
    "restart_instance": restart_instance,
    "cut_off_instance": cut_off_instance,
    "lose_upstream": lose_upstream,
    "hang_upstream": functools.partial(set_upstream_mode, UpstreamMode.HANG),
    "refuse_at_upstream": functools.partial(
        set_upstream_mode, UpstreamMode.SHED
    ),
}
