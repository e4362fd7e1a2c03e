"""Publishes configuration versions under faults and observes the instances."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.configuration import (
    decode_head_record,
    pack,
    publish_steps,
)
from arbutusbridge.core.messages import StoreResult, StoreStatus
from arbutusbridge.daemon.storeclient import RETRY_DELAY_S
from arbutusbridge.errors import (
    ArbutusbridgeError,
    PlatformUnavailableError,
    PublishConflictError,
)
from arbutusbridge.replay.fleet import Fleet, FleetNode
from arbutusbridge.settings import compile_version
from arbutusbridge.standins.deployment import DeploymentShape, make_register

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.configuration import Head, PublishSteps

DATA_CENTRES = ("north", "central", "south")
INSTANCES = 8
OPERATORS = "operators"
"""Name under which the operators call the platform."""

CALL_TIMEOUT_S = 5.0
SAMPLE_INTERVAL_S = 0.05
CONCURRENT_PUBLISH_FRACTION = 0.25
"""Fraction of publishes that a second operator makes at the same time."""

MEAN_PUBLISH_INTERVAL_S = 15.0
SETTLE_TIME_S = 90.0
"""Time for which faults continue after the last publish.

A period of twice this length without new faults follows.
"""


@dataclass(slots=True)
class PublishResult:
    """The result of one publish as its operator received it.

    Attributes:
      publish_id: Id of the publish.
      head: Head of the published version, None when the publish raised an
        error.
      outcome: ``accepted``, ``conflict``, ``unavailable`` or ``unknown``.
    """

    publish_id: str
    head: Head | None
    outcome: str


class Operators:
    """Publishes versions with ``publish_steps``, as the command does.

    Attributes:
      fleet: Fleet whose platform stores the versions.
      told: Result of each completed publish.
      count: Number of publishes started.
      register: Register in every version, as JSON.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.told: list[PublishResult] = []
        self.count = 0
        shape = DeploymentShape("leases", 2, 2, DATA_CENTRES)
        self.register = json.dumps(
            make_register(shape, lambda number: 2_000 + number)
        ).encode()

    def publish(self) -> None:
        """Starts to publish a version on top of the current one."""
        self.count += 1
        publish_id = f"p{self.count}"
        heads = self.fleet.platform.heads
        base = decode_head_record(heads[-1][1]).head.version if heads else 0
        rules = {"defaults": {"deadline_ms": 1_000 + self.count}}
        packed = pack(self.register, json.dumps(rules).encode())
        self.advance_publish(
            publish_id, publish_steps(packed, base, publish_id), None
        )

    def advance_publish(
        self, publish_id: str, steps: PublishSteps, result: StoreResult | None
    ) -> None:
        """Advances a publish by one store call.

        Args:
          publish_id: Id of the publish.
          steps: Generator of the publish's store calls.
          result: Result of the previous call, None before the first.
        """
        try:
            step = next(steps) if result is None else steps.send(result)
        except StopIteration as stop:
            self.told.append(PublishResult(publish_id, stop.value, "accepted"))
            return
        except ArbutusbridgeError as err:
            self.told.append(
                PublishResult(publish_id, None, classify_error(err))
            )
            return

        def on_result(result: StoreResult) -> None:
            wait = 0.0
            if result.status is StoreStatus.UNAVAILABLE:
                wait = RETRY_DELAY_S
            self.fleet.schedule.after(
                wait, self.advance_publish, publish_id, steps, result
            )

        self.fleet.platform.call(OPERATORS, step, CALL_TIMEOUT_S, on_result)


def classify_error(err: ArbutusbridgeError) -> str:
    """Returns the outcome of a publish that raised an error."""
    if isinstance(err, PublishConflictError):
        return "conflict"
    if isinstance(err, PlatformUnavailableError):
        return "unknown" if "is unknown" in str(err) else "unavailable"
    return err.kind


class RandomFaultInjector:
    """Injects random faults until it is stopped.

    Attributes:
      stopped: Whether no further faults start.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.stopped = False
        faults = fleet.platform.faults
        faults.watch_loss_ratio = 0.3
        fleet.message_loss_ratio = 0.05
        self.schedule_fault(60.0, 5.0, 40.0, self.take_platform_down)
        self.schedule_fault(80.0, 10.0, 40.0, self.slow_platform)
        self.schedule_fault(50.0, 10.0, 30.0, self.lose_write_replies)
        self.schedule_fault(25.0, 0.5, 8.0, self.restart)
        self.schedule_fault(120.0, 10.0, 60.0, self.partition)

    def schedule_fault(
        self,
        mean_interval_s: float,
        min_s: float,
        max_s: float,
        fault: Callable[[float], None],
    ) -> None:
        """Schedules a recurring fault with random gaps and durations.

        Args:
          mean_interval_s: Mean time between the starts of two faults.
          min_s: Minimum duration of a fault.
          max_s: Maximum duration of a fault.
          fault: Starts the fault for a number of seconds.
        """

        def inject() -> None:
            if not self.stopped:
                fault(self.rng.uniform(min_s, max_s))
                after(self.rng.expovariate(1 / mean_interval_s), inject)

        after = self.fleet.schedule.after
        after(self.rng.expovariate(1 / mean_interval_s), inject)

    def take_platform_down(self, seconds: float) -> None:
        """Makes the platform unavailable."""
        self.set_temporarily("down", True, False, seconds)

    def slow_platform(self, seconds: float) -> None:
        """Adds a delay to every platform call."""
        extra_delay_s = self.rng.uniform(0.5, 6.0)
        self.set_temporarily("extra_delay_s", extra_delay_s, 0.0, seconds)

    def lose_write_replies(self, seconds: float) -> None:
        """Loses half of the replies to writes."""
        self.set_temporarily("reply_loss_ratio", 0.5, 0.0, seconds)

    def set_temporarily(
        self, name: str, value: float, normal: float, seconds: float
    ) -> None:
        """Sets a platform fault for a number of seconds."""
        faults = self.fleet.platform.faults
        setattr(faults, name, value)
        self.fleet.schedule.after(seconds, setattr, faults, name, normal)

    def restart(self, seconds: float) -> None:
        """Stops one or two instances and restarts them later."""
        names = sorted(self.fleet.nodes)
        count = self.rng.choice((1, 1, 1, 2))
        for name in self.rng.sample(names, min(count, len(names))):
            place = self.fleet.nodes[name].place
            self.fleet.stop(name)
            self.fleet.schedule.after(seconds, self.fleet.start, name, place)

    def partition(self, seconds: float) -> None:
        """Cuts off a data centre from the others, the platform or both."""
        place = self.rng.choice(DATA_CENTRES)
        cut_off_sets = self.rng.choice(
            [
                [self.fleet.partitioned],
                [self.fleet.platform.cut_off],
                [self.fleet.partitioned, self.fleet.platform.cut_off],
            ]
        )
        for cut_off_set in cut_off_sets:
            cut_off_set.add(place)
            self.fleet.schedule.after(seconds, cut_off_set.discard, place)


@dataclass(slots=True)
class Observations:
    """Observations of the versions at the instances.

    Attributes:
      lags: For each version at an instance, the seconds for which it was
        reachable but not yet in force.
      reverts: Number of times that an instance went back to an older version.
      restarted_behind: Number of restarts that served an older version than
        before because nothing reachable held the newer one.
    """

    lags: list[float] = field(default_factory=list)
    reverts: int = 0
    restarted_behind: int = 0


class VersionObserver:
    """Samples the version of every instance at a fixed interval.

    Attributes:
      seen: Observations so far.
      waiting: Seconds that a reachable version has not been in force, by
        instance and version.
      versions_in_force: Version at the last sample, by instance.
      ready: Whether an instance has settled on a version since its start.
      served: Newest version served under an instance name.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.seen = Observations()
        self.waiting: dict[tuple[FleetNode, int], float] = {}
        self.versions_in_force: dict[FleetNode, int] = {}
        self.ready: dict[FleetNode, bool] = {}
        self.served: dict[str, int] = {}
        self.take_sample()

    def take_sample(self) -> None:
        """Samples every instance and schedules the next sample."""
        for node in self.fleet.nodes.values():
            self.sample_node(node)
        self.fleet.schedule.after(SAMPLE_INTERVAL_S, self.take_sample)

    def sample_node(self, node: FleetNode) -> None:
        """Samples one instance."""
        version = node.version_sync.head.version
        newest_reachable = self.find_newest_reachable_version(node)
        # At most the five newest versions count as missing or adopted.
        for missing in range(
            max(version, newest_reachable - 5) + 1, newest_reachable + 1
        ):
            key = (node, missing)
            self.waiting[key] = self.waiting.get(key, 0.0) + SAMPLE_INTERVAL_S
        before = self.versions_in_force.get(node, 0)
        for adopted in range(max(before, version - 5) + 1, version + 1):
            self.seen.lags.append(self.waiting.pop((node, adopted), 0.0))
        self.versions_in_force[node] = version
        self.count_reverts(node, before, version, newest_reachable)

    def count_reverts(
        self, node: FleetNode, before: int, version: int, newest_reachable: int
    ) -> None:
        """Counts returns to an older version, also those after a restart."""
        if version < before:
            self.seen.reverts += 1
        name = node.identity.name
        settled = node.version_sync.is_settled(self.fleet.now)
        if settled and not self.ready.get(node, False):
            self.ready[node] = True
            earlier = self.served.get(name, 0)
            if version < min(earlier, newest_reachable):
                self.seen.reverts += 1
            elif version < earlier:
                self.seen.restarted_behind += 1
        if settled:
            self.served[name] = max(self.served.get(name, 0), version)

    def find_newest_reachable_version(self, node: FleetNode) -> int:
        """Returns the newest version held by a connected peer or the store."""
        fleet = self.fleet
        connected_nodes = [
            other
            for other in fleet.nodes.values()
            if fleet.are_connected(node.place, other.place)
        ]
        versions = [
            other.version_sync.head.version for other in connected_nodes
        ]
        heads = fleet.platform.heads
        places = {other.place for other in connected_nodes}
        if heads and any(fleet.platform.is_reachable_from(p) for p in places):
            versions.append(decode_head_record(heads[-1][1]).head.version)
        return max(versions)


@dataclass(slots=True)
class PublishRun:
    """Results of one run.

    Attributes:
      told: Results that the operators received.
      seen: Observations of the instances.
      heads: Every head in the order of the store's writes.
      final_versions: Version of each instance at the end.
      calls_a_second: Platform calls per second.
      values_kept: Number of version values left in the store.
    """

    told: list[PublishResult]
    seen: Observations
    heads: list[Head]
    final_versions: list[int]
    calls_a_second: float
    values_kept: int


def run_publishes(seed: int, publishes: int, peers: bool = True) -> PublishRun:
    """Publishes versions under faults.

    Args:
      seed: Seed of all random choices.
      publishes: Number of publishes.
      peers: Whether instances exchange peer messages; False is the baseline.
    """
    fleet = Fleet(seed, compile_version)
    rng = random.Random(seed + 1)
    fleet.peer_network_down = not peers
    for number in range(INSTANCES):
        fleet.start(f"entry-{number}", DATA_CENTRES[number % len(DATA_CENTRES)])
    operators = Operators(fleet)
    observer = VersionObserver(fleet)
    operators.publish()
    fleet.run_until(20.0)
    injector = RandomFaultInjector(fleet, rng)
    while operators.count < publishes:
        fleet.run_until(
            fleet.now + rng.expovariate(1 / MEAN_PUBLISH_INTERVAL_S)
        )
        operators.publish()
        if (
            rng.random() < CONCURRENT_PUBLISH_FRACTION
            and operators.count < publishes
        ):
            operators.publish()
    fleet.run_until(fleet.now + SETTLE_TIME_S)
    injector.stopped = True
    fleet.run_until(fleet.now + 2 * SETTLE_TIME_S)
    heads = [
        decode_head_record(value).head for _, value in fleet.platform.heads
    ]
    # The lags include versions that never came into force, and instances that
    # have stopped.
    observer.seen.lags += observer.waiting.values()
    return PublishRun(
        operators.told,
        observer.seen,
        heads,
        [node.version_sync.head.version for node in fleet.nodes.values()],
        fleet.platform.call_count / fleet.now,
        sum(k.startswith("config/v") for k in fleet.platform.store.entries),
    )
