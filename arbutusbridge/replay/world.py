"""Instances, upstreams and a store simulated on one virtual clock."""

from __future__ import annotations

import functools
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import (
    Attempt,
    BroadcastNotice,
    Cancel,
    Decision,
    Reply,
    Respond,
    SearchRequest,
    SetTimer,
    StoreCas,
    StoreGet,
    StoreResult,
    StoreStatus,
)
from arbutusbridge.core.requests.tier import Tier
from arbutusbridge.daemon.pool import STALE_IDLE_THRESHOLD_S
from arbutusbridge.replay.schedule import Schedule
from arbutusbridge.replay.upstream import FakeUpstream, UpstreamMode
from arbutusbridge.standins.platform import KeyValueStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.messages import (
        Action,
        Answer,
        Notice,
        RecordRequest,
    )
    from arbutusbridge.core.model import Configuration

LOCAL_ONE_WAY_DELAY_S = 0.0003
"""One-way network delay to an upstream in the same data centre."""

REMOTE_ONE_WAY_DELAY_S = 0.00075
"""One-way network delay to an upstream in another data centre."""

STORE_ONE_WAY_DELAY_S = 0.002
"""One-way network delay between an instance and the store."""

PEER_ONE_WAY_DELAY_S = 0.002
"""One-way network delay between two instances."""

STORE_CALL_TIMEOUT_S = 2.0
"""Timeout of a store call; the call may still take effect after it."""

START_WALL_TIME_MS = 1_700_000_000_000
"""Wall-clock time at virtual second 0, in milliseconds since 1970."""

STATUS_REPORT_INTERVAL_S = 2.0
"""Interval between two status reports of an upstream to an instance."""


@dataclass(slots=True)
class FinishedRequest:
    """A request with its final answer.

    Attributes:
      request: The caller's request.
      answer: Its final answer.
      instance: Name of the instance that answered.
      arrived: Virtual time at which the request arrived.
      answered: Virtual time at which it was answered.
    """

    request: SearchRequest | RecordRequest
    answer: Answer
    instance: str
    arrived: float
    answered: float

    @property
    def seconds(self) -> float:
        """Latency from arrival to answer, in seconds."""
        return self.answered - self.arrived


class VirtualInstance:
    """Driver of one instance's core on virtual time.

    Attributes:
      name: Name of the instance.
      world: World that it runs in.
      tier: Core under test.
      paused_until: Time before which the core is not called.
      cut_off: Whether the store and the peers are unreachable.
      stopped: Whether the instance was stopped.
      sent: Attempts without a reply, by attempt id.
      last_attempt_at: Time of the last attempt, by upstream.
      open_requests: Unanswered requests with their arrival, by request id.
      decisions: Decisions that the core asked to log.
    """

    def __init__(self, name: str, world: World, tier: Tier) -> None:
        self.name = name
        self.world = world
        self.tier = tier
        self.paused_until = 0.0
        self.cut_off = False
        self.stopped = False
        self.sent: dict[int, Attempt] = {}
        self.last_attempt_at: dict[str, float] = {}
        self.open_requests: dict[
            str, tuple[SearchRequest | RecordRequest, float]
        ] = {}
        self.decisions: list[Decision] = []

    def search(self, request: SearchRequest) -> None:
        """Receives a search from a caller."""
        self.open_requests[request.request_id] = (request, self.world.now)
        self.call_core(self.tier.search, request)

    def record(self, request: RecordRequest) -> None:
        """Receives a record from a caller."""
        self.open_requests[request.request_id] = (request, self.world.now)
        request.wall_ms = self.world.wall_ms
        self.call_core(self.tier.record, request)

    def call_core(
        self, function: Callable[..., list[Action]], *args: object
    ) -> None:
        """Calls the core, after a pause has ended, and carries out its actions.

        Does nothing once the instance is stopped.
        """
        if self.stopped:
            return
        if self.world.now < self.paused_until:
            self.world.schedule.at(
                self.paused_until, self.call_core, function, *args
            )
            return
        self.carry_out(function(*args, self.world.now))

    def carry_out(self, actions: list[Action]) -> None:
        """Carries out actions of the core."""
        for action in actions:
            match action:
                case Attempt():
                    self.send(action)
                case Cancel():
                    self.cancel(action)
                case SetTimer():
                    self.world.schedule.at(
                        action.at,
                        self.call_core,
                        self.tier.on_timer,
                        action.token,
                    )
                case Respond():
                    self.respond(action.answer)
                case StoreGet() | StoreCas():
                    self.world.call_store(self, action)
                case BroadcastNotice():
                    self.world.broadcast(self, action.notice)
                case Decision():
                    self.decisions.append(action)

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt to its upstream."""
        self.sent[attempt.attempt_id] = attempt
        world = self.world
        world.attempts.append(attempt)
        self.last_attempt_at[attempt.upstream] = world.now
        delay = world.get_one_way_delay(self, attempt.upstream)
        upstream = world.upstreams[attempt.upstream]

        def on_reply(reply: Reply) -> None:
            world.schedule.after(delay, self.receive_reply, reply)

        world.schedule.after(delay, upstream.receive, attempt, on_reply)

    def receive_reply(self, reply: Reply) -> None:
        """Passes a reply from the network to the core."""
        self.sent.pop(reply.attempt_id, None)
        self.call_core(self.tier.replies, [reply])

    def on_connections_closed(self, upstream: str) -> None:
        """Tells the core that an upstream closed its idle connections.

        Like the connection pool, this ignores connections that were idle for
        more than STALE_IDLE_THRESHOLD_S: the keep-alive timeout of the
        upstream may have closed them.
        """
        last_used_at = self.last_attempt_at.get(upstream)
        if (
            last_used_at is None
            or self.world.now - last_used_at > STALE_IDLE_THRESHOLD_S
        ):
            return

        def report_closed(now: float) -> list[Action]:
            self.tier.on_idle_closed([upstream], now)
            return []

        delay = self.world.get_one_way_delay(self, upstream)
        self.world.schedule.after(delay, self.call_core, report_closed)

    def cancel(self, action: Cancel) -> None:
        """Sends the cancellation of an unanswered attempt to its upstream."""
        attempt = self.sent.pop(action.attempt_id, None)
        if attempt is not None:
            world = self.world
            delay = world.get_one_way_delay(self, attempt.upstream)
            upstream = world.upstreams[attempt.upstream]
            world.schedule.after(delay, upstream.cancel, attempt)

    def last_deadline(self) -> float:
        """Returns the latest deadline of an open request, or 0."""
        owners = self.tier.intake.owners
        return max(
            (
                owners[open_id].deadline
                for open_id in self.open_requests
                if open_id in owners
            ),
            default=0.0,
        )

    def respond(self, answer: Answer) -> None:
        """Records the final answer to a request."""
        request, arrived = self.open_requests.pop(answer.request_id)
        self.world.finished_requests.append(
            FinishedRequest(request, answer, self.name, arrived, self.world.now)
        )


class World:
    """Simulated environment of the cores, on one virtual clock.

    Attributes:
      configuration: Configuration that every instance starts with.
      rng: Source of all random choices.
      schedule: Virtual clock with the pending calls.
      instances: Virtual instances, by name.
      upstreams: Fake upstreams, by name.
      store: Key-value store.
      store_down: Whether the store answers no call.
      store_loses_replies: Whether writes take effect but their replies are
        lost.
      store_extra_delay_s: Seconds added to the delay of each store call.
      store_calls: Number of store calls made.
      store_writes: Number of those calls that were writes.
      attempts: Every attempt sent, in order.
      finished_requests: Every answered request, in order of the answers.
      prepare_instance: Function called with each new instance before it
        receives any event, or None.
      wall_offset_ms: Milliseconds by which the wall clock was moved forward.
    """

    def __init__(self, configuration: Configuration, seed: int) -> None:
        self.configuration = configuration
        self.rng = random.Random(seed)
        self.schedule = Schedule()
        self.instances: dict[str, VirtualInstance] = {}
        self.upstreams: dict[str, FakeUpstream] = {}
        self.store = KeyValueStore()
        self.store_down = False
        self.store_loses_replies = False
        self.store_extra_delay_s = 0.0
        self.store_calls = 0
        self.store_writes = 0
        self.attempts: list[Attempt] = []
        self.finished_requests: list[FinishedRequest] = []
        self.prepare_instance: Callable[[VirtualInstance], None] | None = None
        self.wall_offset_ms = 0

    @property
    def now(self) -> float:
        """The current virtual time, in seconds."""
        return self.schedule.now

    @property
    def wall_ms(self) -> int:
        """The current wall-clock time, in milliseconds since 1970."""
        return START_WALL_TIME_MS + self.wall_offset_ms + int(self.now * 1000)

    def add_upstreams(
        self,
        service_time: Callable[[str, random.Random], float],
        snapshot: int = 1,
        kind: type[FakeUpstream] = FakeUpstream,
    ) -> None:
        """Starts a fake upstream for each one of the configuration.

        Args:
          service_time: Returns the service time of one attempt in seconds,
            given the name of the upstream and its random generator.
          snapshot: Snapshot that every upstream serves in all layouts.
          kind: Class of the fake upstreams.
        """
        for name, settings in self.configuration.upstreams.items():
            rng = random.Random(self.rng.random())
            upstream = kind(
                name,
                self.schedule,
                settings.slots,
                functools.partial(service_time, name, rng),
            )
            upstream.on_crash = functools.partial(
                self.close_idle_connections, name
            )
            self.upstreams[name] = upstream
        for service, layouts in self.configuration.layouts.items():
            for layout in layouts:
                for shard in layout.shards:
                    for name in shard.replicas:
                        self.add_version(
                            name, service, (layout.epoch, snapshot)
                        )

    def close_idle_connections(self, name: str) -> None:
        """Closes the idle connections of an upstream at every instance."""
        for instance in self.instances.values():
            instance.on_connections_closed(name)

    def add_version(
        self, name: str, service: str, version: tuple[int, int]
    ) -> None:
        """Adds a version of a service to those that an upstream serves."""
        held = self.upstreams[name].held
        if version not in held.get(service, ()):
            held[service] = (*held.get(service, ()), version)

    def add_instance(self, name: str, data_centre: str) -> VirtualInstance:
        """Starts an instance with the configuration and status reports."""
        tier = Tier(data_centre, random.Random(self.rng.random()))
        tier.configure(self.configuration)
        instance = VirtualInstance(name, self, tier)
        if self.prepare_instance is not None:
            self.prepare_instance(instance)
        self.instances[name] = instance
        self.report_statuses(instance)
        return instance

    def restart(self, name: str) -> VirtualInstance:
        """Replaces an instance by a new one that has none of its state."""
        old = self.instances[name]
        old.stopped = True
        return self.add_instance(name, old.tier.data_centre)

    def report_statuses(self, instance: VirtualInstance) -> None:
        """Delivers the status reports of all upstreams to an instance.

        Repeats until the instance is stopped. Upstreams that are dead or hang
        report nothing.
        """
        if instance.stopped:
            return
        for upstream in self.upstreams.values():
            if upstream.mode in (
                UpstreamMode.SERVE,
                UpstreamMode.LEAVING,
                UpstreamMode.SHED,
            ):
                instance.tier.report(
                    upstream.name,
                    dict(upstream.held),
                    upstream.load,
                    upstream.mode is UpstreamMode.LEAVING
                    and upstream.reports_leaving,
                    self.now,
                    upstream.incarnation,
                )
        instance.carry_out(instance.tier.announce_leaving())
        self.schedule.after(
            STATUS_REPORT_INTERVAL_S, self.report_statuses, instance
        )

    def get_one_way_delay(
        self, instance: VirtualInstance, upstream: str
    ) -> float:
        """Returns the one-way network delay to an upstream, in seconds."""
        settings = self.configuration.upstreams[upstream]
        if settings.data_centre == instance.tier.data_centre:
            return LOCAL_ONE_WAY_DELAY_S
        return REMOTE_ONE_WAY_DELAY_S

    def call_store(
        self, instance: VirtualInstance, action: StoreGet | StoreCas
    ) -> None:
        """Schedules a store call, subject to the current store faults."""
        self.store_calls += 1
        self.store_writes += isinstance(action, StoreCas)
        delay = STORE_ONE_WAY_DELAY_S + self.store_extra_delay_s
        in_time = delay < STORE_CALL_TIMEOUT_S
        self.schedule.after(
            delay, self.run_store_call, instance, action, in_time
        )
        if not in_time:
            result = StoreResult(action.token, StoreStatus.UNAVAILABLE)
            self.schedule.after(
                STORE_CALL_TIMEOUT_S,
                instance.call_core,
                instance.tier.store_result,
                result,
            )

    def run_store_call(
        self,
        instance: VirtualInstance,
        action: StoreGet | StoreCas,
        in_time: bool,
    ) -> None:
        """Runs a store call and replies unless the call has timed out."""
        result = StoreResult(action.token, StoreStatus.UNAVAILABLE)
        if not self.store_down and not instance.cut_off:
            result = self.apply_store_call(action)
            if self.store_loses_replies and isinstance(action, StoreCas):
                result = StoreResult(action.token, StoreStatus.UNAVAILABLE)
        if not in_time:
            return
        self.schedule.after(
            STORE_ONE_WAY_DELAY_S,
            instance.call_core,
            instance.tier.store_result,
            result,
        )

    def apply_store_call(self, action: StoreGet | StoreCas) -> StoreResult:
        """Applies a call to the store and returns its result."""
        if isinstance(action, StoreCas):
            index = self.store.cas(action.key, action.value, action.index)
            if index is None:
                return StoreResult(action.token, StoreStatus.CONFLICT)
            return StoreResult(action.token, StoreStatus.DONE, None, index)
        entry = self.store.entries.get(action.key)
        if entry is None:
            return StoreResult(action.token, StoreStatus.DONE)
        return StoreResult(
            action.token, StoreStatus.DONE, entry.value, entry.index
        )

    def broadcast(self, sender: VirtualInstance, notice: Notice) -> None:
        """Delivers a notice to every other instance that is reachable."""
        for instance in self.instances.values():
            is_unreachable = sender.cut_off or instance.cut_off
            if instance is not sender and not is_unreachable:
                self.schedule.after(
                    PEER_ONE_WAY_DELAY_S,
                    instance.call_core,
                    instance.tier.on_notice,
                    notice,
                )

    def extra_load(self) -> float:
        """Returns the ratio of attempts to shards queried, minus one."""
        asked = {(a.request_id, a.version[0], a.shard) for a in self.attempts}
        if not asked:
            return 0.0
        return round(len(self.attempts) / len(asked) - 1, 6)

    def run_until(self, end: float) -> None:
        """Runs the simulation up to a virtual time."""
        self.schedule.run_until(end)
