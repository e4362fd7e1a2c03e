"""Faults of one run, drawn by its seed; they come in series and overlap."""

from __future__ import annotations

import dataclasses
import json
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from arbutusbridge.platform.standins import StoreFault, UpstreamFault

if TYPE_CHECKING:
    from arbutusbridge.soak.world import World

FIRST_S = 1.0
"""Time from the first requests to the first fault."""

LONGEST_S = 3.0
"""Longest time that a fault lasts."""

GONE_S = 1.5
"""Time after which the entry of an upstream that ended is gone."""

REUSE_S = 2.0
"""Time after which another upstream may have its address, as the users set
it."""

LEAVE_S = 4.5
"""Time for which a leaving upstream goes on serving."""

Fault = Callable[["World", float], None]
"""Begins one fault that lasts so many seconds, and sees to its end."""


def kill_one(world: World, seconds: float) -> None:
    """Kills an instance and starts it again."""
    world.kill(draw_instance(world), seconds)


def kill_all(world: World, seconds: float) -> None:
    """Kills every instance at the same moment."""
    for name in world.instances:
        world.kill(name, seconds)


def stop_one(world: World, _seconds: float) -> None:
    """Lets an instance stop as planned and starts it again."""
    world.kill(draw_instance(world), 0.0, signal.SIGTERM)


def pause_one(world: World, seconds: float) -> None:
    """Pauses an instance and wakes it."""
    name = draw_instance(world)
    instance = world.instances[name]
    world.disturb("pause", name, seconds)
    instance.signal(signal.SIGSTOP)
    world.later(seconds, lambda: instance.signal(signal.SIGCONT))


def reload_one(world: World, _seconds: float) -> None:
    """Changes a settings file and tells the instance."""
    name = draw_instance(world)
    instance = world.instances[name]
    settings = json.loads(instance.settings.read_text())
    settings["extras"] = {"slack": world.rng.choice([40.0, 50.0])}
    instance.settings.write_text(json.dumps(settings))
    instance.signal(signal.SIGHUP)


def fail_store(fault: StoreFault) -> Fault:
    """Returns a fault of the whole store."""

    def begin(world: World, seconds: float) -> None:
        if world.store.fault is not StoreFault.NONE:
            return
        world.disturb("store", "store", seconds)
        world.store.set_fault(fault)
        world.later(seconds, lambda: world.store.set_fault(StoreFault.NONE))

    begin.__name__ = f"store_{fault.value}"
    return begin


def forget_history(world: World, _seconds: float) -> None:
    """Lets the store forget its history."""
    world.store.discard_history()


def cut_from_store(*directions: str) -> Fault:
    """Returns a fault that stalls one instance's way to the store."""

    def begin(world: World, seconds: float) -> None:
        name = draw_instance(world)
        world.disturb("store path", name, seconds)
        stall(world, "store", name, directions, seconds)

    begin.__name__ = "store_path_" + "_".join(directions)
    return begin


def stall_upstream(*directions: str) -> Fault:
    """Returns a fault that stalls the way to one upstream."""

    def begin(world: World, seconds: float) -> None:
        slot = draw_slot(world)
        world.disturb("upstream path", slot, seconds)
        stall(world, "upstream", slot, directions, seconds)

    begin.__name__ = "upstream_path_" + "_".join(directions)
    return begin


def delay_upstream(world: World, seconds: float) -> None:
    """Makes the bytes to and from one upstream late."""
    path = world.paths["upstream", draw_slot(world)]
    path.delay_s = world.rng.uniform(0.02, 0.2)

    def end() -> None:
        path.delay_s = 0.0

    world.later(seconds, end)


def reset_upstream(world: World, seconds: float) -> None:
    """Resets every connection to one upstream, new ones too."""
    path = world.paths["upstream", draw_slot(world)]
    path.refusing = True
    path.reset_all()

    def end() -> None:
        path.refusing = False

    world.later(seconds, end)


def reset_callers(world: World, _seconds: float) -> None:
    """Resets every connection of callers to one instance."""
    name = draw_instance(world)
    world.disturb("caller path", name, 0.0)
    world.paths["caller", name].reset_all()


def fail_upstream(fault: UpstreamFault) -> Fault:
    """Returns a fault of one upstream."""

    def begin(world: World, seconds: float) -> None:
        upstream = world.upstreams[draw_slot(world)]
        upstream.fault = fault

        def end() -> None:
            upstream.fault = UpstreamFault.NONE

        world.later(seconds, end)

    begin.__name__ = f"upstream_{fault.value}"
    return begin


def swap_addresses(world: World, _seconds: float) -> None:
    """Ends two upstreams; each address goes to one of the other's service."""
    slots = world.rng.sample(sorted(world.upstreams), 2)
    old = [world.upstreams.pop(slot) for slot in slots]
    ports = [one.server.port for one in old]
    for upstream in old:
        upstream.server.close()

    def forget() -> None:
        for upstream in old:
            world.store.delete(f"servers/{upstream.announcement.upstream}")

    def come_back() -> None:
        for slot, port, other in zip(slots, ports, old[::-1], strict=True):
            announcement = other.announcement
            world.add_upstream(
                slot, announcement.service, announcement.data_centre, port
            )

    world.later(GONE_S, forget)
    world.later(REUSE_S, come_back)


def drain_one(world: World, _seconds: float) -> None:
    """Lets an upstream leave as planned; another follows it."""
    slot = draw_slot(world)
    upstream = world.upstreams.pop(slot)
    announcement = upstream.announcement
    world.announce(dataclasses.replace(announcement, leaving=True))
    world.record.leaving[announcement.upstream] = world.clock()

    def leave() -> None:
        upstream.server.close()
        world.store.delete(f"servers/{announcement.upstream}")
        world.add_upstream(
            slot,
            announcement.service,
            announcement.data_centre,
            upstream.server.port,
        )

    world.later(LEAVE_S, leave)


def move_route(world: World, _seconds: float) -> None:
    """Lets a route go to another service."""
    world.desk_set = 1 - world.desk_set
    world.publish()


def repartition(world: World, _seconds: float) -> None:
    """Lets searches go over the other set of shards."""
    world.search_set = 1 - world.search_set
    world.publish()


FAULTS: tuple[Fault, ...] = (
    kill_one,
    kill_all,
    stop_one,
    stop_one,
    pause_one,
    reload_one,
    *(fail_store(one) for one in StoreFault if one is not StoreFault.NONE),
    forget_history,
    cut_from_store("out"),
    cut_from_store("back"),
    cut_from_store("out", "back"),
    stall_upstream("out"),
    stall_upstream("back"),
    stall_upstream("out", "back"),
    delay_upstream,
    reset_upstream,
    reset_callers,
    *(
        fail_upstream(one)
        for one in UpstreamFault
        if one is not UpstreamFault.NONE
    ),
    swap_addresses,
    drain_one,
    move_route,
    repartition,
)


def stall(
    world: World,
    kind: str,
    target: str,
    directions: tuple[str, ...],
    seconds: float,
) -> None:
    """Stalls a proxy for a time."""
    path = world.paths[kind, target]
    path.set_stalled(*directions)
    world.later(seconds, path.set_stalled)


def draw_instance(world: World) -> str:
    """Returns one instance."""
    return world.rng.choice(sorted(world.instances))


def draw_slot(world: World) -> str:
    """Returns the place of one upstream that is there."""
    return world.rng.choice(sorted(world.upstreams))


def plan(world: World, count: int, seconds: float) -> list[str]:
    """Plans so many faults within a time; returns what comes when."""
    lines = []
    for _ in range(count):
        at = world.rng.uniform(0.0, seconds)
        lasts = world.rng.uniform(0.3, LONGEST_S)
        fault = world.rng.choice(FAULTS)

        def begin(fault: Fault = fault, lasts: float = lasts) -> None:
            fault(world, lasts)

        world.later(at, begin)
        lines.append(f"{at:6.1f} s {fault.__name__} for {lasts:.1f} s")
    return sorted(lines)
