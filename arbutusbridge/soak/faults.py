"""Faults of one soak run, drawn from its seed; they may overlap."""

from __future__ import annotations

import dataclasses
import json
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from arbutusbridge.platform.documents import EVACUATIONS_PREFIX
from arbutusbridge.platform.standins import StoreFault, UpstreamFault
from arbutusbridge.soak.record import Evacuation, NamedLimit, Pause

if TYPE_CHECKING:
    from arbutusbridge.platform.standins import UpstreamStandIn
    from arbutusbridge.soak.environment import SoakEnvironment
    from arbutusbridge.standins.observations import UpstreamRun

FIRST_FAULT_DELAY_S = 1.0
"""Minimum time between the start of the callers and the first fault."""

MAX_FAULT_DURATION_S = 3.0
"""Maximum duration of a fault."""

ENTRY_DELETE_DELAY_S = 1.5
"""Time after which the store entry of a stopped upstream is deleted."""

ADDRESS_REUSE_DELAY_S = 2.0
"""Time after which another upstream may reuse the address of a stopped one, as
in the users' deployments."""

DRAIN_PERIOD_S = 4.5
"""Time for which a draining upstream continues to serve requests."""

CRASHING_CALLER_DURATION_S = 9.0
"""Time for which a crashing request is repeated, longer than the time in which
all instances must know it."""

CRASHING_ROUTES = (("search", "GET"), ("desk", "GET"), ("once", "POST"))
"""Routes and methods of crashing requests."""

SERVICE_OUTAGE_FRACTION = 0.3
"""Fraction of the runs in which all upstreams of searches crash at once."""

MAX_CRASHED_AT_ONCE = 12
"""Maximum number of upstreams that crash at once for no request."""

NAMED_RATES = (None, 0.0, 0.7, 3.0, 8.0)
"""Rate limits that upstreams name, in requests per second."""

LIMIT_DURATION_S = 9.0
"""Minimum time for which an upstream names its first limit, longer than the
time after which it must hold and a window in which it is checked."""

EVACUATION_DURATION_S = 8.0
"""Duration of an evacuation, longer than the time after which it must hold."""

LATEST_EVACUATION = 1 / 3
"""Part of a run's faults after which no evacuation begins, so that it ends
before the recovery is checked."""

LINK_CUT_DURATION_S = 7.0
"""Minimum duration of a cut of links, longer than the time after which the
requests of callers must be served nevertheless."""

STORE_AWAY_RANGE_S = (0.3, 1.5)
"""Minimum and maximum time for which the store is away before a restore."""

WRITE_AGAIN_RANGE_S = (0.1, 1.5)
"""Time after a restore in which operator and upstreams write again."""

SECOND_RESTORE_FRACTION = 0.4
"""Fraction of the restores after which another one from the same copy comes."""

MAX_CRASH_FAULTS = 2
"""Maximum number of faults from CRASH_FAULTS in a run."""

Fault = Callable[["SoakEnvironment", float], None]
"""Starts a fault and schedules its end after a duration in seconds."""


def kill_one(environment: SoakEnvironment, seconds: float) -> None:
    """Kills an instance and restarts it."""
    environment.kill(draw_instance(environment), seconds)


def kill_all(environment: SoakEnvironment, seconds: float) -> None:
    """Kills all instances at once and restarts them."""
    for name in environment.instances:
        environment.kill(name, seconds)


def stop_one(environment: SoakEnvironment, _seconds: float) -> None:
    """Stops an instance gracefully and restarts it."""
    environment.kill(draw_instance(environment), 0.0, signal.SIGTERM)


def pause_one(environment: SoakEnvironment, seconds: float) -> None:
    """Pauses an instance with SIGSTOP and resumes it."""
    name = draw_instance(environment)
    instance = environment.instances[name]
    environment.record_disturbance("pause", name, seconds)
    instance.signal(signal.SIGSTOP)
    environment.schedule(seconds, lambda: instance.signal(signal.SIGCONT))


def reload_one(environment: SoakEnvironment, _seconds: float) -> None:
    """Changes an instance's settings file and makes the instance reload it."""
    name = draw_instance(environment)
    instance = environment.instances[name]
    settings = json.loads(instance.settings.read_text())
    settings["extras"] = {"slack": environment.rng.choice([40.0, 50.0])}
    instance.settings.write_text(json.dumps(settings))
    instance.signal(signal.SIGHUP)


def fail_store(fault: StoreFault) -> Fault:
    """Returns a fault that affects the whole store."""

    def begin(environment: SoakEnvironment, seconds: float) -> None:
        if environment.store.fault is not StoreFault.NONE:
            return
        environment.record_disturbance("store", "store", seconds)
        environment.store.set_fault(fault)
        environment.schedule(
            seconds, lambda: environment.store.set_fault(StoreFault.NONE)
        )

    begin.__name__ = f"store_{fault.value}"
    return begin


def forget_history(environment: SoakEnvironment, _seconds: float) -> None:
    """Makes the store discard its history of changes."""
    environment.store.discard_history()


def cut_from_store(*directions: str) -> Fault:
    """Returns a fault that stalls one instance's connections to the store."""

    def begin(environment: SoakEnvironment, seconds: float) -> None:
        name = draw_instance(environment)
        environment.record_disturbance("store path", name, seconds)
        stall_proxy(environment, "store", name, directions, seconds)

    begin.__name__ = "store_path_" + "_".join(directions)
    return begin


def stall_upstream(*directions: str) -> Fault:
    """Returns a fault that stalls the connections to one upstream."""

    def begin(environment: SoakEnvironment, seconds: float) -> None:
        slot = draw_slot(environment)
        environment.record_disturbance("upstream path", slot, seconds)
        stall_proxy(environment, "upstream", slot, directions, seconds)

    begin.__name__ = "upstream_path_" + "_".join(directions)
    return begin


def delay_upstream(environment: SoakEnvironment, seconds: float) -> None:
    """Delays the bytes to and from one upstream."""
    proxy = environment.proxies["upstream", draw_slot(environment)]
    proxy.delay_s = environment.rng.uniform(0.02, 0.2)

    def end() -> None:
        proxy.delay_s = 0.0

    environment.schedule(seconds, end)


def reset_upstream(environment: SoakEnvironment, seconds: float) -> None:
    """Resets all connections to one upstream, including new ones."""
    proxy = environment.proxies["upstream", draw_slot(environment)]
    proxy.refusing = True
    proxy.reset_all()

    def end() -> None:
        proxy.refusing = False

    environment.schedule(seconds, end)


def reset_callers(environment: SoakEnvironment, _seconds: float) -> None:
    """Resets all connections from callers to one instance."""
    name = draw_instance(environment)
    environment.record_disturbance("caller path", name, 0.0)
    environment.proxies["caller", name].reset_all()


def fail_upstream(fault: UpstreamFault) -> Fault:
    """Returns a fault that makes one upstream misbehave."""

    def begin(environment: SoakEnvironment, seconds: float) -> None:
        upstream = environment.upstreams[draw_slot(environment)]
        upstream.fault = fault

        def end() -> None:
            upstream.fault = UpstreamFault.NONE

        environment.schedule(seconds, end)

    begin.__name__ = f"upstream_{fault.value}"
    return begin


def swap_addresses(environment: SoakEnvironment, _seconds: float) -> None:
    """Stops two upstreams and swaps their addresses between their services."""
    slots = environment.rng.sample(sorted(environment.upstreams), 2)
    replaced = [environment.upstreams.pop(slot) for slot in slots]
    ports = [one.server.port for one in replaced]
    for upstream in replaced:
        upstream.server.close()

    def delete_entries() -> None:
        for upstream in replaced:
            environment.store.delete(
                f"servers/{upstream.announcement.upstream}"
            )

    def start_replacements() -> None:
        for slot, port, other in zip(slots, ports, replaced[::-1], strict=True):
            announcement = other.announcement
            environment.add_upstream(
                slot, announcement.service, announcement.data_centre, port
            )

    environment.schedule(ENTRY_DELETE_DELAY_S, delete_entries)
    environment.schedule(ADDRESS_REUSE_DELAY_S, start_replacements)


def drain_one(environment: SoakEnvironment, _seconds: float) -> None:
    """Drains an upstream, stops it and replaces it."""
    slot = draw_slot(environment)
    upstream = environment.upstreams.pop(slot)
    announcement = upstream.announcement
    environment.announce(dataclasses.replace(announcement, leaving=True))
    environment.record.leaving[announcement.upstream] = environment.clock()
    environment.schedule(
        DRAIN_PERIOD_S, lambda: replace_upstream(environment, slot, upstream)
    )


def replace_upstream(
    environment: SoakEnvironment, slot: str, upstream: UpstreamStandIn
) -> None:
    """Stops an upstream and starts another one in its slot."""
    announcement = upstream.announcement
    upstream.server.close()
    environment.store.delete(f"servers/{announcement.upstream}")
    environment.add_upstream(
        slot,
        announcement.service,
        announcement.data_centre,
        upstream.server.port,
    )


def move_route(environment: SoakEnvironment, _seconds: float) -> None:
    """Switches a route to another service."""
    environment.desk_service_index = 1 - environment.desk_service_index
    environment.publish()


def repartition(environment: SoakEnvironment, _seconds: float) -> None:
    """Switches searches to the other set of shards."""
    environment.search_shard_set_index = 1 - environment.search_shard_set_index
    environment.publish()


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


def send_crashing_requests(
    environment: SoakEnvironment, _seconds: float
) -> None:
    """Sends a request that crashes upstreams, again and again, anywhere."""
    route, method = environment.crash_rng.choice(CRASHING_ROUTES)
    caller = environment.start_crashing_caller(route, method)

    def end() -> None:
        caller.stopped = True

    environment.schedule(CRASHING_CALLER_DURATION_S, end)


def crash_many(environment: SoakEnvironment, seconds: float) -> None:
    """Crashes many upstreams at once, for no request."""
    slots = sorted(environment.upstreams)
    number = min(MAX_CRASHED_AT_ONCE, len(slots) // 2)
    for slot in environment.crash_rng.sample(slots, number):
        environment.crash_slot(slot, seconds)


CRASH_FAULTS: tuple[Fault, ...] = (
    send_crashing_requests,
    send_crashing_requests,
    crash_many,
)
"""Faults of which a run has some in addition to the others."""


def crash_services(environment: SoakEnvironment, seconds: float) -> None:
    """Crashes all upstreams that searches use; they start anew together."""
    services = set(environment.search_shards)
    for slot, upstream in sorted(environment.upstreams.items()):
        if upstream.announcement.service in services:
            environment.crash_slot(slot, seconds)


def name_limit(environment: SoakEnvironment, seconds: float) -> None:
    """Makes an upstream name a rate limit, then another one or none."""
    rng = environment.contract_rng
    slot = rng.choice(sorted(environment.upstreams))
    upstream = environment.upstreams[slot]
    name = upstream.announcement.upstream
    limits = environment.record.limits

    def change(max_rate: float | None) -> None:
        now = environment.clock()
        if upstream.max_rate is not None:
            limits[-1].until = now
        upstream.max_rate = max_rate
        if max_rate is not None:
            limits.append(NamedLimit(name, max_rate, now))

    first, second = rng.sample(NAMED_RATES, 2)
    change(first)
    delay_s = LIMIT_DURATION_S + seconds
    environment.schedule(delay_s, lambda: change(second))


def cut_links(environment: SoakEnvironment, seconds: float) -> None:
    """Cuts one, most or a data centre's instances off from all upstreams."""
    rng = environment.contract_rng
    names = sorted(environment.instances)
    place = rng.choice(names).rpartition("-")[0]
    chosen = rng.choice(
        (
            [rng.choice(names)],
            rng.sample(names, max(1, int(0.7 * len(names)))),
            [name for name in names if name.rpartition("-")[0] == place],
        )
    )
    how = rng.choice(("stall", "reset", "keep"))
    environment.cut_links(chosen, how, LINK_CUT_DURATION_S + seconds)


CONTRACT_FAULTS: tuple[tuple[Fault, ...], ...] = (
    (name_limit,),
    (cut_links,),
    (cut_links, cut_links),
    (name_limit, cut_links),
)
"""Faults of which a run has one group in addition to the others."""


def evacuate(environment: SoakEnvironment, seconds: float) -> None:
    """Evacuates a data centre for a time."""
    places = sorted(environment.shape.instances)
    place = environment.evacuation_rng.choice(places)
    evacuation = Evacuation(place, environment.clock())
    environment.record.evacuations.append(evacuation)
    environment.store.put(EVACUATIONS_PREFIX + place, b"")

    def end() -> None:
        evacuation.until = environment.clock()
        environment.store.delete(EVACUATIONS_PREFIX + place)

    environment.schedule(seconds, end)


def restore_store(environment: SoakEnvironment, seconds: float) -> None:
    """Takes the store away and brings it back from an older copy, twice."""
    copy = environment.store.copy()
    rng = environment.platform_rng

    def take_away() -> None:
        if environment.store.fault is not StoreFault.NONE:
            return
        away_s = rng.uniform(*STORE_AWAY_RANGE_S)
        environment.record_disturbance("store", "store", away_s)
        environment.store.set_fault(StoreFault.REFUSING)
        environment.schedule(away_s, come_back)

    def come_back() -> None:
        environment.store.restore(copy)
        environment.store.set_fault(StoreFault.NONE)
        delay_s = rng.uniform(*WRITE_AGAIN_RANGE_S)
        environment.record_disturbance("store", "store", delay_s)
        environment.schedule(delay_s, environment.write_again)

    environment.schedule(seconds, take_away)
    if rng.random() < SECOND_RESTORE_FRACTION:
        environment.schedule(seconds + STORE_AWAY_RANGE_S[1] + 0.5, take_away)


def leave_unannounced(environment: SoakEnvironment, seconds: float) -> None:
    """Lets an upstream leave that says so in its responses only.

    The store is down at first, so that it cannot announce it.
    """
    slot = environment.platform_rng.choice(sorted(environment.upstreams))
    upstream = environment.upstreams[slot]
    upstream.leaving = True
    fail_store(StoreFault.REFUSING)(environment, seconds)

    def end() -> None:
        # It may have crashed meanwhile.
        if environment.upstreams.get(slot) is upstream:
            replace_upstream(environment, slot, upstream)

    environment.schedule(DRAIN_PERIOD_S, end)


def ask_for_pause(environment: SoakEnvironment, seconds: float) -> None:
    """Makes an upstream reject requests and ask for none for some time."""
    rng = environment.platform_rng
    upstream = environment.upstreams[rng.choice(sorted(environment.upstreams))]
    pause_s = round(rng.uniform(1.0, 4.0), 2)

    def record_pause(run: UpstreamRun) -> None:
        environment.record.pauses.append(
            Pause(run.upstream, run.request_id, run.at, run.at + pause_s)
        )

    upstream.paused = record_pause
    upstream.retry_after_s = pause_s
    upstream.fault = UpstreamFault.SHEDDING

    def end() -> None:
        upstream.fault = UpstreamFault.NONE

    environment.schedule(seconds, end)


def send_extra_bytes(environment: SoakEnvironment, seconds: float) -> None:
    """Makes upstreams send the first part of a copy after each response."""
    rng = environment.platform_rng
    slots = sorted(environment.upstreams)
    chosen = [
        environment.upstreams[slot]
        for slot in rng.sample(slots, max(1, len(slots) // 4))
    ]
    for upstream in chosen:
        upstream.sends_extra_bytes = True

    def end() -> None:
        for upstream in chosen:
            upstream.sends_extra_bytes = False

    environment.schedule(seconds, end)


PLATFORM_FAULTS: tuple[Fault, ...] = (
    restore_store,
    restore_store,
    leave_unannounced,
    ask_for_pause,
    send_extra_bytes,
)
"""Faults of which a run has one or two in addition to the others."""


def update_one(environment: SoakEnvironment, _seconds: float) -> None:
    """Replaces an instance by one of the other build."""
    name = environment.update_rng.choice(sorted(environment.instances))
    environment.update(name)


def stall_proxy(
    environment: SoakEnvironment,
    kind: str,
    target: str,
    directions: tuple[str, ...],
    seconds: float,
) -> None:
    """Stalls a proxy for a duration.

    Args:
      environment: Environment that holds the proxy.
      kind: ``caller``, ``store`` or ``upstream``.
      target: Instance or upstream slot that the proxy belongs to.
      directions: Directions to stall, ``out`` and ``back``.
      seconds: Duration.
    """
    proxy = environment.proxies[kind, target]
    proxy.set_stalled(*directions)
    environment.schedule(seconds, proxy.set_stalled)


def draw_instance(environment: SoakEnvironment) -> str:
    """Returns the name of a random instance."""
    return environment.rng.choice(sorted(environment.instances))


def draw_slot(environment: SoakEnvironment) -> str:
    """Returns the slot of a random running upstream."""
    return environment.rng.choice(sorted(environment.upstreams))


def plan(
    environment: SoakEnvironment,
    count: int,
    seconds: float,
    evacuates: bool = False,
) -> list[str]:
    """Schedules random faults.

    Args:
      environment: Environment that the faults affect.
      count: Number of faults.
      seconds: Time within which the faults begin.
      evacuates: Whether a data centre is evacuated besides.

    Returns:
      One line for each fault, with its start, name and duration.
    """
    lines = []
    for _ in range(count):
        at = environment.rng.uniform(0.0, seconds)
        duration_s = environment.rng.uniform(0.3, MAX_FAULT_DURATION_S)
        fault = environment.rng.choice(FAULTS)
        lines.append(schedule(environment, at, fault, duration_s))
    lines += plan_crashes(environment, seconds)
    lines += plan_updates(environment, seconds)
    lines += plan_platform(environment, seconds)
    if evacuates:
        latest = LATEST_EVACUATION * seconds
        at = environment.evacuation_rng.uniform(0.0, latest)
        lines.append(schedule(environment, at, evacuate, EVACUATION_DURATION_S))
    return sorted(lines + plan_contracts(environment, seconds))


def plan_crashes(environment: SoakEnvironment, seconds: float) -> list[str]:
    """Schedules crashes of upstreams and returns a line for each."""
    rng = environment.crash_rng
    lines = []
    for _ in range(rng.randint(1, MAX_CRASH_FAULTS)):
        at = rng.uniform(0.0, seconds)
        duration_s = rng.uniform(0.3, MAX_FAULT_DURATION_S)
        fault = rng.choice(CRASH_FAULTS)
        lines.append(schedule(environment, at, fault, duration_s))
    outage_rng = environment.crash_time_rng
    if outage_rng.random() < SERVICE_OUTAGE_FRACTION:
        at = outage_rng.uniform(0.0, seconds)
        duration_s = outage_rng.uniform(0.3, MAX_FAULT_DURATION_S)
        lines.append(schedule(environment, at, crash_services, duration_s))
    return lines


def plan_updates(environment: SoakEnvironment, seconds: float) -> list[str]:
    """Schedules updates and roll-backs of instances; a line for each.

    They come in turn, as operators replace one instance after the other.
    """
    if environment.other_build is None:
        return []
    count = max(2, len(environment.instances) // 2)
    return [
        schedule(environment, seconds * number / count, update_one, 0.0)
        for number in range(count)
    ]


def plan_contracts(environment: SoakEnvironment, seconds: float) -> list[str]:
    """Schedules limits and cut links, and returns a line for each."""
    rng = environment.contract_rng
    lines = []
    for fault in rng.choice(CONTRACT_FAULTS):
        at = rng.uniform(0.0, seconds)
        duration_s = rng.uniform(0.3, MAX_FAULT_DURATION_S)
        lines.append(schedule(environment, at, fault, duration_s))
    return lines


def plan_platform(environment: SoakEnvironment, seconds: float) -> list[str]:
    """Schedules restores of the store and what upstreams say or send.

    Not beside another build, which may not know of them.
    """
    if environment.other_build is not None:
        return []
    rng = environment.platform_rng
    lines = []
    for _ in range(rng.randint(1, 2)):
        at = rng.uniform(0.0, seconds)
        duration_s = rng.uniform(0.3, MAX_FAULT_DURATION_S)
        fault = rng.choice(PLATFORM_FAULTS)
        lines.append(schedule(environment, at, fault, duration_s))
    return lines


def schedule(
    environment: SoakEnvironment, at: float, fault: Fault, duration_s: float
) -> str:
    """Schedules a fault and returns the line that describes it."""
    environment.schedule(at, lambda: fault(environment, duration_s))
    return f"{at:6.1f} s {fault.__name__} for {duration_s:.1f} s"
