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
from arbutusbridge.standins.deployment import DeploymentShape, make_register

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.configuration import Head, PublishSteps

PLACES = ("north", "central", "south")
INSTANCES = 8
OPERATORS = "operators"
CALL_SECONDS = 5.0
SAMPLE_SECONDS = 0.05
RIVAL_SHARE = 0.25
"""Share of publishes that a second operator makes at the same moment."""

MEAN_PUBLISH_GAP_SECONDS = 15.0
CALM_SECONDS = 90.0
"""Time without faults before the last look."""


@dataclass(slots=True)
class Told:
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
        self.told: list[Told] = []
        self.count = 0
        shape = DeploymentShape("leases", 2, 2, PLACES)
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
            self.told.append(Told(publish_id, stop.value, "accepted"))
            return
        except ArbutusbridgeError as err:
            self.told.append(Told(publish_id, None, outcome_of(err)))
            return

        def on_result(result: StoreResult) -> None:
            wait = 0.0
            if result.status is StoreStatus.UNAVAILABLE:
                wait = RETRY_DELAY_S
            self.fleet.schedule.after(
                wait, self.advance, publish_id, steps, result
            )

        self.fleet.platform.call(OPERATORS, step, CALL_SECONDS, on_result)


def outcome_of(err: ArbutusbridgeError) -> str:
    """Returns the kind of outcome that an error tells."""
    if isinstance(err, PublishConflictError):
        return "conflict"
    if isinstance(err, PlatformUnavailableError):
        return "unknown" if "is unknown" in str(err) else "unavailable"
    return err.kind


class FaultScript:
    """Lets things fail at random, until it is told to stop."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.stopped = False
        faults = fleet.platform.faults
        faults.watch_loss_ratio = 0.3
        fleet.message_loss_ratio = 0.05
        self.every(60.0, 5.0, 40.0, self.platform_down)
        self.every(80.0, 10.0, 40.0, self.platform_slow)
        self.every(50.0, 10.0, 30.0, self.replies_lost)
        self.every(25.0, 0.5, 8.0, self.restart)
        self.every(120.0, 10.0, 60.0, self.part)

    def every(
        self,
        mean_gap: float,
        least: float,
        most: float,
        fault: Callable[[float], None],
    ) -> None:
        """Lets a fault happen again and again, each for a random time."""

        def happen() -> None:
            if not self.stopped:
                fault(self.rng.uniform(least, most))
                after(self.rng.expovariate(1 / mean_gap), happen)

        after = self.fleet.schedule.after
        after(self.rng.expovariate(1 / mean_gap), happen)

    def platform_down(self, seconds: float) -> None:
        """Takes the platform away."""
        self.set_for("down", True, False, seconds)

    def platform_slow(self, seconds: float) -> None:
        """Makes every call slow."""
        extra = self.rng.uniform(0.5, 6.0)
        self.set_for("extra_delay_s", extra, 0.0, seconds)

    def replies_lost(self, seconds: float) -> None:
        """Loses half of the replies to writes."""
        self.set_for("reply_loss_ratio", 0.5, 0.0, seconds)

    def set_for(
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

    def part(self, seconds: float) -> None:
        """Cuts a data centre off from others, from the platform, or both."""
        place = self.rng.choice(PLACES)
        cuts = self.rng.choice(
            [
                [self.fleet.partitioned],
                [self.fleet.platform.cut_off],
                [self.fleet.partitioned, self.fleet.platform.cut_off],
            ]
        )
        for cut in cuts:
            cut.add(place)
            self.fleet.schedule.after(seconds, cut.discard, place)


@dataclass(slots=True)
class Seen:
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


class Observer:
    """Looks at every instance many times a second."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.seen = Seen()
        self.waiting: dict[tuple[FleetNode, int], float] = {}
        self.standing: dict[FleetNode, int] = {}
        self.ready: dict[FleetNode, bool] = {}
        self.served: dict[str, int] = {}
        self.look()

    def look(self) -> None:
        """Looks once, and again a moment later."""
        for node in self.fleet.nodes.values():
            self.look_at(node)
        self.fleet.schedule.after(SAMPLE_SECONDS, self.look)

    def look_at(self, node: FleetNode) -> None:
        """Looks at one instance."""
        version = node.version_sync.head.version
        reach = self.in_reach(node)
        for missing in range(max(version, reach - 5) + 1, reach + 1):
            key = (node, missing)
            self.waiting[key] = self.waiting.get(key, 0.0) + SAMPLE_SECONDS
        before = self.standing.get(node, 0)
        for adopted in range(max(before, version - 5) + 1, version + 1):
            self.seen.lags.append(self.waiting.pop((node, adopted), 0.0))
        self.standing[node] = version
        self.judge(node, before, version, reach)

    def judge(
        self, node: FleetNode, before: int, version: int, reach: int
    ) -> None:
        """Counts versions that went back, here or over a restart."""
        if version < before:
            self.seen.reverts += 1
        name = node.identity.name
        settled = node.version_sync.is_settled(self.fleet.now)
        if settled and not self.ready.get(node, False):
            self.ready[node] = True
            earlier = self.served.get(name, 0)
            if version < min(earlier, reach):
                self.seen.reverts += 1
            elif version < earlier:
                self.seen.restarted_behind += 1
        if settled:
            self.served[name] = max(self.served.get(name, 0), version)

    def in_reach(self, node: FleetNode) -> int:
        """Returns the greatest version that any way leads to."""
        fleet = self.fleet
        near = [
            other
            for other in fleet.nodes.values()
            if fleet.are_connected(node.place, other.place)
        ]
        versions = [other.version_sync.head.version for other in near]
        heads = fleet.platform.heads
        places = {other.place for other in near}
        if heads and any(fleet.platform.is_reachable_from(p) for p in places):
            versions.append(decode_head_record(heads[-1][1]).head.version)
        return max(versions)


@dataclass(slots=True)
class Run:
    """One run: what was told, what was seen, and the chain of heads."""

    told: list[Told]
    seen: Seen
    heads: list[Head]
    final_versions: list[int]
    calls_a_second: float
    values_kept: int


def run_publishes(seed: int, publishes: int, peers: bool = True) -> Run:
    """Publishes versions among faults; without peers as a baseline."""
    fleet = Fleet(seed, compile_version)
    rng = random.Random(seed + 1)
    fleet.peer_network_down = not peers
    for number in range(INSTANCES):
        fleet.start(f"entry-{number}", PLACES[number % len(PLACES)])
    operators = Operators(fleet)
    observer = Observer(fleet)
    operators.publish()
    fleet.run_until(20.0)
    script = FaultScript(fleet, rng)
    while operators.count < publishes:
        fleet.run_until(
            fleet.now + rng.expovariate(1 / MEAN_PUBLISH_GAP_SECONDS)
        )
        operators.publish()
        if rng.random() < RIVAL_SHARE and operators.count < publishes:
            operators.publish()
    fleet.run_until(fleet.now + CALM_SECONDS)
    script.stopped = True
    fleet.run_until(fleet.now + 2 * CALM_SECONDS)
    heads = [
        decode_head_record(value).head for _, value in fleet.platform.heads
    ]
    # What waits still, also at an instance that ended, counts as well.
    observer.seen.lags += observer.waiting.values()
    return Run(
        operators.told,
        observer.seen,
        heads,
        [node.version_sync.head.version for node in fleet.nodes.values()],
        fleet.platform.call_count / fleet.now,
        sum(k.startswith("config/v") for k in fleet.platform.store.entries),
    )
