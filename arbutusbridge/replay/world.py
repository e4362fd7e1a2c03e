"""Instances, upstreams and a store on one virtual clock."""

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
from arbutusbridge.replay.upstream import FakeUpstream, Mode
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

LOCAL_ONE_WAY_S = 0.0003
REMOTE_ONE_WAY_S = 0.00075
STORE_ONE_WAY_S = 0.002
PEER_ONE_WAY_S = 0.002
STORE_CALL_S = 2.0
"""Time after which a store call counts as lost; it may still take effect."""


START_WALL_MS = 1_700_000_000_000
"""Wall time at virtual second 0."""

PROBE_SECONDS = 2.0
"""Time between two status reports of one upstream."""


@dataclass(slots=True)
class Ended:
    """A request and its final answer."""

    request: SearchRequest | RecordRequest
    answer: Answer
    instance: str
    arrived: float
    answered: float

    @property
    def seconds(self) -> float:
        """Time from arrival to answer."""
        return self.answered - self.arrived


class VirtualInstance:
    """Drives the core of one instance on virtual time.

    Attributes:
      name: Its name.
      tier: The real core.
      paused_until: Nothing is taken in before this time.
      cut_off: Whether it is parted from the store and its peers.
    """

    def __init__(self, name: str, world: World, tier: Tier) -> None:
        self.name = name
        self.world = world
        self.tier = tier
        self.paused_until = 0.0
        self.cut_off = False
        self.stopped = False
        self.sent: dict[int, Attempt] = {}
        self.used: dict[str, float] = {}
        self.open: dict[str, tuple[SearchRequest | RecordRequest, float]] = {}
        self.decisions: list[Decision] = []

    def search(self, request: SearchRequest) -> None:
        """Takes a caller's search."""
        self.open[request.request_id] = (request, self.world.now)
        self.enter(self.tier.search, request)

    def record(self, request: RecordRequest) -> None:
        """Takes a caller's record."""
        self.open[request.request_id] = (request, self.world.now)
        request.wall_ms = self.world.wall_ms
        self.enter(self.tier.record, request)

    def enter(
        self, function: Callable[..., list[Action]], *args: object
    ) -> None:
        """Calls the core, once a pause of this instance is over."""
        if self.stopped:
            return
        if self.world.now < self.paused_until:
            self.world.schedule.at(
                self.paused_until, self.enter, function, *args
            )
            return
        self.carry_out(function(*args, self.world.now))

    def carry_out(self, actions: list[Action]) -> None:
        """Carries out the core's actions."""
        for action in actions:
            match action:
                case Attempt():
                    self.send(action)
                case Cancel():
                    self.cancel(action)
                case SetTimer():
                    self.world.schedule.at(
                        action.at, self.enter, self.tier.on_timer, action.token
                    )
                case Respond():
                    self.respond(action.answer)
                case StoreGet() | StoreCas():
                    self.world.call_store(self, action)
                case BroadcastNotice():
                    self.world.tell(self, action.notice)
                case Decision():
                    self.decisions.append(action)

    def send(self, attempt: Attempt) -> None:
        """Puts an attempt on the wire."""
        self.sent[attempt.attempt_id] = attempt
        world = self.world
        world.attempts.append(attempt)
        self.used[attempt.upstream] = world.now
        delay = world.one_way(self, attempt.upstream)
        upstream = world.upstreams[attempt.upstream]

        def on_reply(reply: Reply) -> None:
            world.schedule.after(delay, self.take_reply, reply)

        world.schedule.after(delay, upstream.take, attempt, on_reply)

    def take_reply(self, reply: Reply) -> None:
        """Takes a reply off the wire."""
        self.sent.pop(reply.attempt_id, None)
        self.enter(self.tier.replies, [reply])

    def take_close(self, upstream: str) -> None:
        """Takes the close of idle connections that were used lately."""
        used = self.used.get(upstream)
        if used is None or self.world.now - used > STALE_IDLE_THRESHOLD_S:
            return

        def closed(now: float) -> list[Action]:
            self.tier.on_idle_closed([upstream], now)
            return []

        delay = self.world.one_way(self, upstream)
        self.world.schedule.after(delay, self.enter, closed)

    def cancel(self, action: Cancel) -> None:
        """Puts a cancellation on the wire."""
        attempt = self.sent.pop(action.attempt_id, None)
        if attempt is not None:
            world = self.world
            delay = world.one_way(self, attempt.upstream)
            upstream = world.upstreams[attempt.upstream]
            world.schedule.after(delay, upstream.cancel, attempt)

    def last_deadline(self) -> float:
        """Returns the latest deadline of an open request, or 0."""
        owners = self.tier.intake.owners
        return max(
            (owners[one].deadline for one in self.open if one in owners),
            default=0.0,
        )

    def respond(self, answer: Answer) -> None:
        """Gives a caller its answer."""
        request, arrived = self.open.pop(answer.request_id)
        self.world.ended.append(
            Ended(request, answer, self.name, arrived, self.world.now)
        )


class World:
    """Everything round the cores, on one virtual clock.

    Attributes:
      configuration: What every instance starts with.
      instances: The virtual instances by name.
      upstreams: The fake upstreams by name.
      store: The key-value store.
      store_down: Whether the store answers nothing.
      store_loses_replies: Whether writes take effect without a reply.
      attempts: Every attempt put on the wire, in order.
      ended: Every final answer, in order.
      prepare: Called with each instance before it takes anything.
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
        self.store_extra_seconds = 0.0
        self.store_calls = 0
        self.store_writes = 0
        self.attempts: list[Attempt] = []
        self.ended: list[Ended] = []
        self.prepare: Callable[[VirtualInstance], None] | None = None
        self.wall_offset_ms = 0

    @property
    def now(self) -> float:
        """The current virtual time, in seconds."""
        return self.schedule.now

    @property
    def wall_ms(self) -> int:
        """The current wall time, in milliseconds since 1970."""
        return START_WALL_MS + self.wall_offset_ms + int(self.now * 1000)

    def add_upstreams(
        self,
        service_time: Callable[[str, random.Random], float],
        snapshot: int = 1,
        kind: type[FakeUpstream] = FakeUpstream,
    ) -> None:
        """Starts a fake for each upstream, serving one snapshot whole."""
        for name, listed in self.configuration.upstreams.items():
            rng = random.Random(self.rng.random())
            upstream = kind(
                name,
                self.schedule,
                listed.slots,
                functools.partial(service_time, name, rng),
            )
            upstream.on_crash = functools.partial(self.tell_closed, name)
            self.upstreams[name] = upstream
        for service, layouts in self.configuration.layouts.items():
            for layout in layouts:
                for shard in layout.shards:
                    for name in shard.replicas:
                        self.hold(name, service, (layout.epoch, snapshot))

    def tell_closed(self, name: str) -> None:
        """Closes an upstream's idle connections at every instance."""
        for instance in self.instances.values():
            instance.take_close(name)

    def hold(self, name: str, service: str, version: tuple[int, int]) -> None:
        """Lets an upstream serve one more version of a service."""
        held = self.upstreams[name].held
        if version not in held.get(service, ()):
            held[service] = (*held.get(service, ()), version)

    def add_instance(self, name: str, data_centre: str) -> VirtualInstance:
        """Starts an instance that knows the configuration and reports."""
        tier = Tier(data_centre, random.Random(self.rng.random()))
        tier.configure(self.configuration)
        instance = VirtualInstance(name, self, tier)
        if self.prepare is not None:
            self.prepare(instance)
        self.instances[name] = instance
        self.probe(instance)
        return instance

    def restart(self, name: str) -> VirtualInstance:
        """Replaces an instance by one that knows nothing of its work."""
        old = self.instances[name]
        old.stopped = True
        return self.add_instance(name, old.tier.data_centre)

    def probe(self, instance: VirtualInstance) -> None:
        """Hands an instance the status reports of all upstreams."""
        if instance.stopped:
            return
        for upstream in self.upstreams.values():
            if upstream.mode in (Mode.SERVE, Mode.LEAVING, Mode.SHED):
                instance.tier.report(
                    upstream.name,
                    dict(upstream.held),
                    upstream.load,
                    upstream.mode is Mode.LEAVING and upstream.tells_leaving,
                    self.now,
                    upstream.incarnation,
                )
        instance.carry_out(instance.tier.announce_leaving())
        self.schedule.after(PROBE_SECONDS, self.probe, instance)

    def one_way(self, instance: VirtualInstance, upstream: str) -> float:
        """Returns the time on the wire between the two."""
        listed = self.configuration.upstreams[upstream]
        if listed.data_centre == instance.tier.data_centre:
            return LOCAL_ONE_WAY_S
        return REMOTE_ONE_WAY_S

    def call_store(
        self, instance: VirtualInstance, action: StoreGet | StoreCas
    ) -> None:
        """Carries out a store call with the faults of the moment."""
        self.store_calls += 1
        self.store_writes += isinstance(action, StoreCas)
        delay = STORE_ONE_WAY_S + self.store_extra_seconds
        in_time = delay < STORE_CALL_S
        self.schedule.after(delay, self.run_store, instance, action, in_time)
        if not in_time:
            result = StoreResult(action.token, StoreStatus.UNAVAILABLE)
            self.schedule.after(
                STORE_CALL_S, instance.enter, instance.tier.store_result, result
            )

    def run_store(
        self,
        instance: VirtualInstance,
        action: StoreGet | StoreCas,
        in_time: bool,
    ) -> None:
        """Runs a store call and replies if the caller still waits."""
        result = StoreResult(action.token, StoreStatus.UNAVAILABLE)
        if not self.store_down and not instance.cut_off:
            result = self.apply(action)
            if self.store_loses_replies and isinstance(action, StoreCas):
                result = StoreResult(action.token, StoreStatus.UNAVAILABLE)
        if not in_time:
            return
        self.schedule.after(
            STORE_ONE_WAY_S, instance.enter, instance.tier.store_result, result
        )

    def apply(self, action: StoreGet | StoreCas) -> StoreResult:
        """Applies a store call to the store."""
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

    def tell(self, teller: VirtualInstance, notice: Notice) -> None:
        """Carries a finding to every other instance that can be reached."""
        for instance in self.instances.values():
            parted = teller.cut_off or instance.cut_off
            if instance is not teller and not parted:
                self.schedule.after(
                    PEER_ONE_WAY_S,
                    instance.enter,
                    instance.tier.on_notice,
                    notice,
                )

    def extra_load(self) -> float:
        """Returns attempts over shards asked, less one."""
        asked = {(a.request_id, a.version[0], a.shard) for a in self.attempts}
        if not asked:
            return 0.0
        return round(len(self.attempts) / len(asked) - 1, 6)

    def run_until(self, end: float) -> None:
        """Lets virtual time pass up to a time."""
        self.schedule.run_until(end)
