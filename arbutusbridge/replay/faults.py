"""Fault injection: applies the events of a trace to a simulated world."""

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
"""Interval at which an instance polls the configuration head."""

BALANCER_LAG_S = 5.0
"""Time for which the load balancer still sends to a stopping instance."""

STOP_TICK_INTERVAL_S = 0.05
"""Interval between two ticks of the plan of a graceful stop."""

RESTART_DELAY_S = 2.0
"""Default time from the stop of an instance to its restart."""


class FaultInjector:
    """Applies trace events and records what the checks of guarantees need.

    Attributes:
      world: World that the events are applied to.
      modify: Function called with each instance that starts.
      register: Register published with the rules of every publish event.
      slowdowns: Factor on the service time, by upstream.
      leaving_since: Virtual time at which each upstream began to leave.
      configurations: Every configuration that was accepted, oldest first.
      cut_off: Requests that a graceful stop left without an answer.
      data_centres: Data centre of each instance, by instance name.
      out_of_rotation: Instances that the load balancer does not send to.
      handlers: Method that applies an event, by event name.
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
        """Applies an event to the world."""
        self.handlers[event.event](event)

    def add_instance(self, name: str, data_centre: str) -> None:
        """Starts an instance that polls the configuration head."""
        self.data_centres[name] = data_centre
        instance = self.world.add_instance(name, data_centre)
        self.modify(instance)
        self.poll_head(instance)

    def pick_instance(self, name: str) -> VirtualInstance:
        """Returns the instance that the load balancer sends a request to.

        This is the named one, or another one while that is out of rotation.
        """
        chosen = self.world.instances[name]
        if name not in self.out_of_rotation:
            return chosen
        for other, instance in self.world.instances.items():
            if other not in self.out_of_rotation:
                return instance
        return chosen

    def store_initial_version(self, rules: RulesFile) -> None:
        """Writes the initial configuration version to the store."""
        start = self.world.configuration
        head = Head(start.version, start.publish_id)
        packed = pack_files(self.register, rules)
        self.world.store.cas(head.key, packed, 0)
        self.world.store.cas(HEAD_KEY, encode_head_record(HeadRecord(head)), 0)

    def start_at_oldest_epochs(self) -> None:
        """Limits upstreams to the oldest layout epoch of each service."""
        for service, layouts in self.world.configuration.layouts.items():
            oldest = min(layout.epoch for layout in layouts)
            for upstream in self.world.upstreams.values():
                held = upstream.held.get(service)
                if held is not None:
                    upstream.held[service] = tuple(
                        v for v in held if v[0] == oldest
                    )

    def get_upstream(self, event: TraceEvent) -> FakeUpstream:
        """Returns the upstream that an event targets."""
        return self.world.upstreams[event.target]

    def schedule_end(
        self, event: TraceEvent, function: Callable[[], object]
    ) -> None:
        """Schedules a call at the end of an event, if the event has one."""
        if event.for_ms is not None:
            self.world.schedule.after(event.seconds, function)

    def slow(self, event: TraceEvent) -> None:
        """Slows down an upstream for the duration of the event."""
        self.slowdowns[event.target] = event.factor
        self.schedule_end(event, lambda: self.slowdowns.pop(event.target, None))

    def crash(self, event: TraceEvent) -> None:
        """Crashes an upstream; without a duration it stays down."""
        upstream = self.get_upstream(event)
        upstream.restart_delay_s = event.seconds or None
        upstream.crash()

    def restart(self, event: TraceEvent) -> None:
        """Restarts an upstream."""
        self.get_upstream(event).restart()
        self.leaving_since.pop(event.target, None)

    def drain(self, event: TraceEvent) -> None:
        """Drains an upstream: it finishes its attempts and refuses new ones."""
        self.get_upstream(event).mode = UpstreamMode.LEAVING
        self.leaving_since[event.target] = self.world.now

    def shed(self, event: TraceEvent) -> None:
        """Makes an upstream shed load for the duration of the event."""
        upstream = self.get_upstream(event)
        upstream.mode = UpstreamMode.SHED
        self.schedule_end(event, upstream.restart)

    def flip_snapshot(self, event: TraceEvent) -> None:
        """Flips an upstream, or all of a service in turn, to a new snapshot."""
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
        """Returns the upstreams that hold a shard of a service, sorted."""
        layouts = self.world.configuration.layouts[service]
        return sorted(
            {
                n
                for placement in layouts
                for s in placement.shards
                for n in s.replicas
            }
        )

    def advance_snapshot(
        self, name: str, service: str, event: TraceEvent
    ) -> None:
        """Adds a snapshot to an upstream and later drops the older ones."""
        held = self.world.upstreams[name].held[service]
        for epoch in {version[0] for version in held}:
            self.world.add_version(name, service, (epoch, event.snapshot))
        self.world.schedule.after(
            event.keep_ms / 1000, self.drop_versions, name, service, held
        )

    def drop_versions(
        self, name: str, service: str, versions: tuple[tuple[int, int], ...]
    ) -> None:
        """Removes versions of a service from an upstream."""
        upstream = self.world.upstreams[name]
        upstream.held[service] = tuple(
            v for v in upstream.held[service] if v not in versions
        )

    def repartition(self, event: TraceEvent) -> None:
        """Moves the upstreams of a service to another layout, in turn."""
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
        duration_s = event.seconds + event.keep_ms / 1000
        self.world.schedule.after(
            duration_s, self.drop_older_epochs, event.target, epoch
        )

    def add_epoch(self, name: str, service: str, epoch: int) -> None:
        """Makes an upstream serve its newest snapshot in another layout too."""
        held = self.world.upstreams[name].held.get(service, ())
        snapshot = max((v[1] for v in held), default=1)
        self.world.add_version(name, service, (epoch, snapshot))

    def drop_older_epochs(self, service: str, epoch: int) -> None:
        """Removes all layouts older than an epoch from every upstream."""
        for name in self.find_replicas(service):
            held = self.world.upstreams[name].held.get(service, ())
            old = tuple(v for v in held if v[0] < epoch)
            if old:
                self.drop_versions(name, service, old)

    def misreport_load(self, event: TraceEvent) -> None:
        """Makes an upstream report a false load until the event ends."""
        upstream = self.get_upstream(event)
        upstream.false_load = event.load
        self.schedule_end(event, lambda: setattr(upstream, "false_load", None))

    def poison(self, event: TraceEvent) -> None:
        """Sets the query that crashes each upstream that runs it."""
        for upstream in self.world.upstreams.values():
            upstream.poison = event.query

    def store_down(self, event: TraceEvent) -> None:
        """Makes the store unavailable for the duration of the event."""
        self.world.store_down = True
        self.schedule_end(
            event, lambda: setattr(self.world, "store_down", False)
        )

    def store_slow(self, event: TraceEvent) -> None:
        """Slows down the store for the duration of the event."""
        world = self.world
        world.store_extra_delay_s = 0.002 * event.factor
        self.schedule_end(
            event, lambda: setattr(world, "store_extra_delay_s", 0.0)
        )

    def store_lose_replies(self, event: TraceEvent) -> None:
        """Loses the replies to store writes, which still take effect."""
        world = self.world
        world.store_loses_replies = True
        self.schedule_end(
            event, lambda: setattr(world, "store_loses_replies", False)
        )

    def partition(self, event: TraceEvent) -> None:
        """Cuts off the instances of a data centre from the store and peers."""
        self.set_cut_off(event.target, True)
        self.schedule_end(event, lambda: self.set_cut_off(event.target, False))

    def set_cut_off(self, data_centre: str, cut_off: bool) -> None:
        """Cuts off the instances of a data centre, or reconnects them."""
        for name, place in self.data_centres.items():
            if place == data_centre:
                self.world.instances[name].cut_off = cut_off

    def pause_instance(self, event: TraceEvent) -> None:
        """Pauses an instance for the duration of the event."""
        instance = self.world.instances[event.target]
        instance.paused_until = self.world.now + event.seconds

    def restart_instance(self, event: TraceEvent) -> None:
        """Restarts an instance, after a graceful stop unless it is killed."""
        old = self.world.instances[event.target]
        if event.kill:
            self.out_of_rotation.add(event.target)
            self.stop_instance(old, event)
            return
        plan = StopPlan(BALANCER_LAG_S)
        plan.begin(self.world.now)
        # The load balancer notices just before the plan expects it to.
        self.world.schedule.after(
            BALANCER_LAG_S - STOP_TICK_INTERVAL_S / 2,
            self.out_of_rotation.add,
            event.target,
        )
        self.advance_stop(old, plan, event)

    def advance_stop(
        self, old: VirtualInstance, plan: StopPlan, event: TraceEvent
    ) -> None:
        """Ticks the plan of a stop until its last step, the exit."""
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
        """Stops an instance and schedules its replacement."""
        old.stopped = True
        seconds = event.seconds or RESTART_DELAY_S
        self.world.schedule.after(seconds, self.start_replacement, event.target)

    def start_replacement(self, name: str) -> None:
        """Starts a stopped instance again, with empty state."""
        self.out_of_rotation.discard(name)
        self.add_instance(name, self.data_centres[name])

    def publish(self, event: TraceEvent) -> None:
        """Publishes the rules of an event with the initial register."""
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
        """Makes the next store call of a publish.

        A publish that fails is abandoned.

        Args:
          steps: Remaining steps of the publish.
          result: Result of the previous call, or None before the first.
        """
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
            # The removal of old versions fails here and is left to the next
            # publish.
            answer = StoreResult(call.token, StoreStatus.UNAVAILABLE)
        else:
            answer = self.world.apply_store_call(call)
        self.world.schedule.after(0.004, self.advance_publish, steps, answer)

    def add_accepted(self, head: Head) -> None:
        """Records the configuration of an accepted version."""
        entry = self.world.store.entries[head.key]
        self.configurations.append(compile_version(head, entry.value))

    def poll_head(self, instance: VirtualInstance) -> None:
        """Polls the head for an instance until the instance is stopped."""
        if instance.stopped:
            return
        if not self.world.store_down and not instance.cut_off:
            self.adopt_head(instance)
        self.world.schedule.after(
            HEAD_POLL_INTERVAL_S, self.poll_head, instance
        )

    def adopt_head(self, instance: VirtualInstance) -> None:
        """Configures an instance with the version of the head, if newer."""
        entry = self.world.store.entries.get(HEAD_KEY)
        head = decode_head(entry.value if entry is not None else None)
        current = instance.tier.configuration
        if current is not None and head.version > current.version:
            value = self.world.store.entries[head.key].value
            instance.tier.configure(compile_version(head, value))


def pack_files(register: Register, rules: RulesFile) -> bytes:
    """Returns validated files packed as the stored value of a version."""
    return pack(
        register.model_dump_json().encode(), rules.model_dump_json().encode()
    )
