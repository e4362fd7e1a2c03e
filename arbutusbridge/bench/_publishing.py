"""Operators that publish while things fail, and who watches the outcome."""

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
from arbutusbridge.standins.deployment import Shape, make_register

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.configuration import Head, PublishSteps

DATA_CENTRES = ("north", "central", "south")
INSTANCES = 8
OPERATORS = "operators"
CALL_TIMEOUT_S = 5.0
SAMPLE_INTERVAL_S = 0.05
CONCURRENT_PUBLISH_FRACTION = 0.25
"""Share of publishes that a second operator makes at the same moment."""

MEAN_PUBLISH_INTERVAL_S = 15.0
SETTLE_TIME_S = 90.0
"""Time without faults before the last look."""


@dataclass(slots=True)
class PublishResult:
    """What an operator was told of one publish.

    Attributes:
      publish_id: Names the publish.
      head: The version made, None when it was told that none was.
      outcome: ``accepted``, ``conflict``, ``unavailable`` or ``unknown``.
    """

    publish_id: str
    head: Head | None
    outcome: str


class Operators:
    """Publishes versions through the product's own steps.

    Attributes:
      told: What was told of each publish.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.told: list[PublishResult] = []
        self.count = 0
        shape = Shape("leases", 2, 2, DATA_CENTRES)
        self.register = json.dumps(
            make_register(shape, lambda number: 2_000 + number)
        ).encode()

    def publish(self) -> None:
        """Publishes one more version on top of the one that stands."""
        self.count += 1
        publish_id = f"p{self.count}"
        heads = self.fleet.platform.heads
        base = decode_head_record(heads[-1][1]).head.version if heads else 0
        rules = {"defaults": {"deadline_ms": 1_000 + self.count}}
        packed = pack(self.register, json.dumps(rules).encode())
        self.advance(publish_id, publish_steps(packed, base, publish_id), None)

    def advance(
        self, publish_id: str, steps: PublishSteps, result: StoreResult | None
    ) -> None:
        """Carries a publish on by one store call."""
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
                wait, self.advance, publish_id, steps, result
            )

        self.fleet.platform.call(OPERATORS, step, CALL_TIMEOUT_S, on_result)


def classify_error(err: ArbutusbridgeError) -> str:
    """Returns the kind of outcome that an error tells."""
    if isinstance(err, PublishConflictError):
        return "conflict"
    if isinstance(err, PlatformUnavailableError):
        return "unknown" if "is unknown" in str(err) else "unavailable"
    return err.kind


class FaultInjector:
    """Lets things fail at random, until it is told to stop."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.stopped = False
        faults = fleet.platform.faults
        faults.lose_watches = 0.3
        fleet.lose_messages = 0.05
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
        """Lets a fault happen again and again, each for a random time."""

        def inject() -> None:
            if not self.stopped:
                fault(self.rng.uniform(min_s, max_s))
                after(self.rng.expovariate(1 / mean_interval_s), inject)

        after = self.fleet.schedule.after
        after(self.rng.expovariate(1 / mean_interval_s), inject)

    def take_platform_down(self, seconds: float) -> None:
        """Takes the platform away."""
        self.set_temporarily("down", True, False, seconds)

    def slow_platform(self, seconds: float) -> None:
        """Makes every call slow."""
        extra = self.rng.uniform(0.5, 6.0)
        self.set_temporarily("extra_seconds", extra, 0.0, seconds)

    def lose_write_replies(self, seconds: float) -> None:
        """Loses half of the replies to writes."""
        self.set_temporarily("lose_replies", 0.5, 0.0, seconds)

    def set_temporarily(
        self, name: str, value: float, normal: float, seconds: float
    ) -> None:
        """Sets a fault of the platform for a time."""
        faults = self.fleet.platform.faults
        setattr(faults, name, value)
        self.fleet.schedule.after(seconds, setattr, faults, name, normal)

    def restart(self, seconds: float) -> None:
        """Ends one or two instances and starts them again later."""
        names = sorted(self.fleet.nodes)
        count = self.rng.choice((1, 1, 1, 2))
        for name in self.rng.sample(names, min(count, len(names))):
            place = self.fleet.nodes[name].place
            self.fleet.stop(name)
            self.fleet.schedule.after(seconds, self.fleet.start, name, place)

    def partition(self, seconds: float) -> None:
        """Cuts a data centre off from others, from the platform, or both."""
        place = self.rng.choice(DATA_CENTRES)
        cuts = self.rng.choice(
            [
                [self.fleet.parted],
                [self.fleet.platform.cut_off],
                [self.fleet.parted, self.fleet.platform.cut_off],
            ]
        )
        for cut in cuts:
            cut.add(place)
            self.fleet.schedule.after(seconds, cut.discard, place)


@dataclass(slots=True)
class Observations:
    """What was seen of the instances.

    Attributes:
      lags: Seconds that each version was in reach and not in force.
      reverts: Times that an instance went back to an older version.
      restarted_behind: Restarts that served an older version than before,
        because nothing in reach held the newer one.
    """

    lags: list[float] = field(default_factory=list)
    reverts: int = 0
    restarted_behind: int = 0


class VersionObserver:
    """Looks at every instance many times a second."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.seen = Observations()
        self.waiting: dict[tuple[FleetNode, int], float] = {}
        self.versions_in_force: dict[FleetNode, int] = {}
        self.ready: dict[FleetNode, bool] = {}
        self.served: dict[str, int] = {}
        self.take_sample()

    def take_sample(self) -> None:
        """Looks once, and again a moment later."""
        for node in self.fleet.nodes.values():
            self.sample_node(node)
        self.fleet.schedule.after(SAMPLE_INTERVAL_S, self.take_sample)

    def sample_node(self, node: FleetNode) -> None:
        """Looks at one instance."""
        version = node.spread.head.version
        reachable = self.find_reachable_version(node)
        for missing in range(max(version, reachable - 5) + 1, reachable + 1):
            key = (node, missing)
            self.waiting[key] = self.waiting.get(key, 0.0) + SAMPLE_INTERVAL_S
        before = self.versions_in_force.get(node, 0)
        for adopted in range(max(before, version - 5) + 1, version + 1):
            self.seen.lags.append(self.waiting.pop((node, adopted), 0.0))
        self.versions_in_force[node] = version
        self.count_reverts(node, before, version, reachable)

    def count_reverts(
        self, node: FleetNode, before: int, version: int, reachable: int
    ) -> None:
        """Counts versions that went back, here or over a restart."""
        if version < before:
            self.seen.reverts += 1
        name = node.identity.name
        settled = node.spread.is_settled(self.fleet.now)
        if settled and not self.ready.get(node, False):
            self.ready[node] = True
            earlier = self.served.get(name, 0)
            if version < min(earlier, reachable):
                self.seen.reverts += 1
            elif version < earlier:
                self.seen.restarted_behind += 1
        if settled:
            self.served[name] = max(self.served.get(name, 0), version)

    def find_reachable_version(self, node: FleetNode) -> int:
        """Returns the greatest version that any way leads to."""
        fleet = self.fleet
        connected_nodes = [
            other
            for other in fleet.nodes.values()
            if fleet.connected(node.place, other.place)
        ]
        versions = [other.spread.head.version for other in connected_nodes]
        heads = fleet.platform.heads
        places = {other.place for other in connected_nodes}
        if heads and any(fleet.platform.reached_from(p) for p in places):
            versions.append(decode_head_record(heads[-1][1]).head.version)
        return max(versions)


@dataclass(slots=True)
class PublishRun:
    """One run: what was told, what was seen, and the chain of heads."""

    told: list[PublishResult]
    seen: Observations
    heads: list[Head]
    final_versions: list[int]
    calls_a_second: float
    values_kept: int


def run_publishes(seed: int, publishes: int, peers: bool = True) -> PublishRun:
    """Publishes versions among faults; without peers as a baseline."""
    fleet = Fleet(seed, compile_version)
    rng = random.Random(seed + 1)
    fleet.without_peers = not peers
    for number in range(INSTANCES):
        fleet.start(f"entry-{number}", DATA_CENTRES[number % len(DATA_CENTRES)])
    operators = Operators(fleet)
    observer = VersionObserver(fleet)
    operators.publish()
    fleet.run_until(20.0)
    injector = FaultInjector(fleet, rng)
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
    # What waits still, also at an instance that ended, counts as well.
    observer.seen.lags += observer.waiting.values()
    return PublishRun(
        operators.told,
        observer.seen,
        heads,
        [node.spread.head.version for node in fleet.nodes.values()],
        fleet.platform.calls / fleet.now,
        sum(k.startswith("config/v") for k in fleet.platform.store.entries),
    )
