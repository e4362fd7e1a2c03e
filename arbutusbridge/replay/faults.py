"""Faults and changes of a trace, applied to a world."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from arbutusbridge.core.configuration import (
    HEAD_KEY,
    Head,
    HeadRecord,
    PublishSteps,
    StoreDelete,
    StoreListKeys,
    decode_head,
    encode_head_record,
    pack,
    publish_steps,
)
from arbutusbridge.core.messages import StoreResult, StoreStatus
from arbutusbridge.core.stop import StopPlan, StopStep
from arbutusbridge.errors import ArbutusbridgeError
from arbutusbridge.replay.upstream import UpstreamMode
from arbutusbridge.settings.versions import compile_version

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.model import Configuration
    from arbutusbridge.replay.trace import TraceEvent
    from arbutusbridge.replay.upstream import FakeUpstream
    from arbutusbridge.replay.world import VirtualInstance, World
    from arbutusbridge.settings.register import Register
    from arbutusbridge.settings.rules import RulesFile

HEAD_POLL_INTERVAL_S = 1.0
"""Time between two looks of an instance at the head."""

BALANCER_LAG_S = 5.0
"""Time that the balancer goes on sending to an instance that stops."""

STOP_TICK_INTERVAL_S = 0.05
"""Time between two looks at a plan of a stop."""

RESTART_DELAY_S = 2.0
"""Time that an instance is away in a restart."""


class FaultInjector:
    """Applies trace events and remembers what the observer must know.

    Attributes:
      slowdowns: Factor on the service time, by upstream.
      leaving_since: When each leaving upstream began to leave, in seconds.
      configurations: Every configuration that was accepted.
      cut_off: Requests that a planned stop left without an answer.
    """

    def __init__(
        self,
        world: World,
        register: Register,
        modify: Callable[[VirtualInstance], None],
    ) -> None:
        self.world = world
        self.modify = modify
        self.register = register
        self.slowdowns: dict[str, float] = {}
        self.leaving_since: dict[str, float] = {}
        self.configurations: list[Configuration] = [world.configuration]
        self.cut_off: list[str] = []
        self.data_centres: dict[str, str] = {}
        self.out_of_rotation: set[str] = set()
        self.handlers: dict[str, Callable[[TraceEvent], None]] = {
            "slow": self.slow,
            "crash": self.crash,
            "restart": self.restart,
            "drain": self.drain,
            "shed": self.shed,
            "flip_snapshot": self.flip_snapshot,
            "repartition": self.repartition,
            "misreport_load": self.misreport_load,
            "poison": self.poison,
            "store_down": self.store_down,
            "store_slow": self.store_slow,
            "store_lose_replies": self.store_lose_replies,
            "partition": self.partition,
            "pause_instance": self.pause_instance,
            "restart_instance": self.restart_instance,
            "publish": self.publish,
        }

    def apply(self, event: TraceEvent) -> None:
        """Applies one event."""
        self.handlers[event.event](event)

    def add_instance(self, name: str, data_centre: str) -> None:
        """Starts an instance that looks at the head from time to time."""
        self.data_centres[name] = data_centre
        instance = self.world.add_instance(name, data_centre)
        self.modify(instance)
        self.poll_head(instance)

    def pick_instance(self, name: str) -> VirtualInstance:
        """Returns the instance that the balancer sends a request to."""
        chosen = self.world.instances[name]
        if name not in self.out_of_rotation:
            return chosen
        for other, instance in self.world.instances.items():
            if other not in self.out_of_rotation:
                return instance
        return chosen

    def store_initial_version(self, rules: RulesFile) -> None:
        """Puts the version of the start into the store."""
        start = self.world.configuration
        head = Head(start.version, start.publish_id)
        packed = pack_files(self.register, rules)
        self.world.store.cas(head.key, packed, 0)
        self.world.store.cas(HEAD_KEY, encode_head_record(HeadRecord(head)), 0)

    def start_at_oldest_epochs(self) -> None:
        """Lets upstreams serve only the oldest layout of each service."""
        for service, layouts in self.world.configuration.layouts.items():
            oldest = min(layout.epoch for layout in layouts)
            for upstream in self.world.upstreams.values():
                held = upstream.held.get(service)
                if held is not None:
                    upstream.held[service] = tuple(
                        v for v in held if v[0] == oldest
                    )

    def get_upstream(self, event: TraceEvent) -> FakeUpstream:
        """Returns the upstream that an event names."""
        return self.world.upstreams[event.target]

    def schedule_end(
        self, event: TraceEvent, function: Callable[[], object]
    ) -> None:
        """Calls a function when the event's time is over, if it ends."""
        if event.for_ms is not None:
            self.world.schedule.after(event.seconds, function)

    def slow(self, event: TraceEvent) -> None:
        """Makes an upstream slower for a while."""
        self.slowdowns[event.target] = event.factor
        self.schedule_end(event, lambda: self.slowdowns.pop(event.target, None))

    def crash(self, event: TraceEvent) -> None:
        """Crashes an upstream; without a time it stays away."""
        upstream = self.get_upstream(event)
        upstream.restart_delay_s = event.seconds or None
        upstream.crash()

    def restart(self, event: TraceEvent) -> None:
        """Brings an upstream back."""
        self.get_upstream(event).restart()
        self.leaving_since.pop(event.target, None)

    def drain(self, event: TraceEvent) -> None:
        """Lets an upstream finish what it has and refuse the rest."""
        self.get_upstream(event).mode = UpstreamMode.LEAVING
        self.leaving_since[event.target] = self.world.now

    def shed(self, event: TraceEvent) -> None:
        """Makes an upstream refuse work for a while."""
        upstream = self.get_upstream(event)
        upstream.mode = UpstreamMode.SHED
        self.schedule_end(event, upstream.restart)

    def flip_snapshot(self, event: TraceEvent) -> None:
        """Moves an upstream, or a service's upstreams in turn, on."""
        if event.target in self.world.upstreams:
            for service in self.get_upstream(event).held:
                self.advance_snapshot(event.target, service, event)
            return
        names = self.find_replicas(event.target)
        for number, name in enumerate(names):
            delay = event.seconds * number / len(names)
            self.world.schedule.after(
                delay, self.advance_snapshot, name, event.target, event
            )

    def find_replicas(self, service: str) -> list[str]:
        """Returns the upstreams that hold shards of a service."""
        layouts = self.world.configuration.layouts[service]
        return sorted(
            {n for lay in layouts for s in lay.shards for n in s.replicas}
        )

    def advance_snapshot(
        self, name: str, service: str, event: TraceEvent
    ) -> None:
        """Lets an upstream serve a newer snapshot, and drop the older."""
        held = self.world.upstreams[name].held[service]
        for epoch in {version[0] for version in held}:
            self.world.add_version(name, service, (epoch, event.snapshot))
        self.world.schedule.after(
            event.keep_ms / 1000, self.drop_versions, name, service, held
        )

    def drop_versions(
        self, name: str, service: str, versions: tuple[tuple[int, int], ...]
    ) -> None:
        """Lets an upstream serve some versions no more."""
        upstream = self.world.upstreams[name]
        upstream.held[service] = tuple(
            v for v in upstream.held[service] if v not in versions
        )

    def repartition(self, event: TraceEvent) -> None:
        """Moves a service's upstreams to another layout, in turn."""
        layouts = {
            layout.epoch: layout
            for layout in self.world.configuration.layouts[event.target]
        }
        epoch = event.epoch or max(layouts)
        names = sorted({n for s in layouts[epoch].shards for n in s.replicas})
        for number, name in enumerate(names):
            delay = event.seconds * number / len(names)
            self.world.schedule.after(
                delay, self.add_epoch, name, event.target, epoch
            )
        over = event.seconds + event.keep_ms / 1000
        self.world.schedule.after(
            over, self.drop_older_epochs, event.target, epoch
        )

    def add_epoch(self, name: str, service: str, epoch: int) -> None:
        """Lets an upstream serve its newest snapshot in another layout."""
        held = self.world.upstreams[name].held.get(service, ())
        snapshot = max((v[1] for v in held), default=1)
        self.world.add_version(name, service, (epoch, snapshot))

    def drop_older_epochs(self, service: str, epoch: int) -> None:
        """Lets every upstream serve older layouts no more."""
        for name in self.find_replicas(service):
            held = self.world.upstreams[name].held.get(service, ())
            old = tuple(v for v in held if v[0] < epoch)
            if old:
                self.drop_versions(name, service, old)

    def misreport_load(self, event: TraceEvent) -> None:
        """Makes an upstream report a false load for a while."""
        upstream = self.get_upstream(event)
        upstream.false_load = event.load
        self.schedule_end(event, lambda: setattr(upstream, "false_load", None))

    def poison(self, event: TraceEvent) -> None:
        """Makes a query crash each upstream that runs it."""
        for upstream in self.world.upstreams.values():
            upstream.poison = event.query

    def store_down(self, event: TraceEvent) -> None:
        """Takes the store away for a while."""
        self.world.store_down = True
        self.schedule_end(
            event, lambda: setattr(self.world, "store_down", False)
        )

    def store_slow(self, event: TraceEvent) -> None:
        """Makes the store slower for a while."""
        world = self.world
        world.store_extra_delay_s = 0.002 * event.factor
        self.schedule_end(
            event, lambda: setattr(world, "store_extra_delay_s", 0.0)
        )

    def store_lose_replies(self, event: TraceEvent) -> None:
        """Loses the replies of writes that take effect, for a while."""
        world = self.world
        world.store_loses_replies = True
        self.schedule_end(
            event, lambda: setattr(world, "store_loses_replies", False)
        )

    def partition(self, event: TraceEvent) -> None:
        """Parts a data centre's instances from the store and peers."""
        self.set_cut_off(event.target, True)
        self.schedule_end(event, lambda: self.set_cut_off(event.target, False))

    def set_cut_off(self, data_centre: str, cut_off: bool) -> None:
        """Parts or joins the instances of a data centre."""
        for name, place in self.data_centres.items():
            if place == data_centre:
                self.world.instances[name].cut_off = cut_off

    def pause_instance(self, event: TraceEvent) -> None:
        """Lets an instance take in nothing for a while."""
        instance = self.world.instances[event.target]
        instance.paused_until = self.world.now + event.seconds

    def restart_instance(self, event: TraceEvent) -> None:
        """Replaces an instance, after a planned stop unless it is killed."""
        old = self.world.instances[event.target]
        if event.kill:
            self.out_of_rotation.add(event.target)
            self.stop_instance(old, event)
            return
        plan = StopPlan(BALANCER_LAG_S)
        plan.begin(self.world.now)
        # The balancer notices just before the plan counts on it.
        self.world.schedule.after(
            BALANCER_LAG_S - STOP_TICK_INTERVAL_S / 2,
            self.out_of_rotation.add,
            event.target,
        )
        self.advance_stop(old, plan, event)

    def advance_stop(
        self, old: VirtualInstance, plan: StopPlan, event: TraceEvent
    ) -> None:
        """Follows the core's plan until it says that the process ends."""
        last_deadline = old.last_deadline()
        steps = plan.tick(self.world.now, len(old.open_requests), last_deadline)
        if StopStep.EXIT in steps:
            self.cut_off += list(old.open_requests)
            self.stop_instance(old, event)
            return
        self.world.schedule.after(
            STOP_TICK_INTERVAL_S, self.advance_stop, old, plan, event
        )

    def stop_instance(self, old: VirtualInstance, event: TraceEvent) -> None:
        """Takes an instance away and lets it come back later."""
        old.stopped = True
        seconds = event.seconds or RESTART_DELAY_S
        self.world.schedule.after(seconds, self.start_replacement, event.target)

    def start_replacement(self, name: str) -> None:
        """Starts an instance again, with nothing kept."""
        self.out_of_rotation.discard(name)
        self.add_instance(name, self.data_centres[name])

    def publish(self, event: TraceEvent) -> None:
        """Publishes rules with the register of the start."""
        assert event.rules is not None
        packed = pack_files(self.register, event.rules)
        base = self.configurations[-1].version
        publish_id = uuid.UUID(int=self.world.rng.getrandbits(128)).hex
        steps = publish_steps(packed, base, publish_id)
        self.advance_publish(steps, None)

    def advance_publish(
        self,
        steps: PublishSteps,
        result: StoreResult | None,
    ) -> None:
        """Carries a publish on by one store call."""
        try:
            call = next(steps) if result is None else steps.send(result)
        except StopIteration as stop:
            self.add_accepted(stop.value)
            return
        except ArbutusbridgeError:
            return
        if self.world.store_down or isinstance(
            call, StoreListKeys | StoreDelete
        ):
            # Removal of old versions fails; it is left to the next publish.
            answer = StoreResult(call.token, StoreStatus.UNAVAILABLE)
        else:
            answer = self.world.apply_store_call(call)
        self.world.schedule.after(0.004, self.advance_publish, steps, answer)

    def add_accepted(self, head: Head) -> None:
        """Remembers an accepted version."""
        entry = self.world.store.entries[head.key]
        self.configurations.append(compile_version(head, entry.value))

    def poll_head(self, instance: VirtualInstance) -> None:
        """Lets an instance adopt the head's version if it is greater."""
        if instance.stopped:
            return
        if not self.world.store_down and not instance.cut_off:
            self.adopt_head(instance)
        self.world.schedule.after(
            HEAD_POLL_INTERVAL_S, self.poll_head, instance
        )

    def adopt_head(self, instance: VirtualInstance) -> None:
        """Puts the head's version in force at an instance."""
        entry = self.world.store.entries.get(HEAD_KEY)
        head = decode_head(entry.value if entry is not None else None)
        current = instance.tier.configuration
        if current is not None and head.version > current.version:
            value = self.world.store.entries[head.key].value
            instance.tier.configure(compile_version(head, value))


def pack_files(register: Register, rules: RulesFile) -> bytes:
    """Packs validated files as the value of a version."""
    return pack(
        register.model_dump_json().encode(), rules.model_dump_json().encode()
    )
