"""Calls to the platform and bytes between instances, as the fleet grows."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.bench.report import Report
from arbutusbridge.core.configuration import pack, publish_steps
from arbutusbridge.core.membership.members import ListedInstance, MemberState
from arbutusbridge.core.membership.membership import WATCHERS_PER_DATA_CENTRE
from arbutusbridge.core.peers.findings import DatedFinding
from arbutusbridge.core.peers.peerwire import Finding
from arbutusbridge.daemon.upstreams import PROBE_INTERVAL_S
from arbutusbridge.replay.fleet import Fleet
from arbutusbridge.standins.deployment import DeploymentShape, make_register

if TYPE_CHECKING:
    from arbutusbridge.core.configuration import PublishSteps
    from arbutusbridge.core.messages import StoreResult
    from arbutusbridge.replay.fleet import FleetNode

SIZES = ((8, 3), (50, 6), (200, 6), (570, 6))
"""Instances and the data centres that they are in."""

HELD = {"leases": [(1, 1), (1, 2)]}
"""Versions that every upstream serves."""

UPSTREAMS_AN_INSTANCE = 2_500 / 570
LEAST_UPSTREAMS = 107
WARM_UP_SECONDS = 3.0
MEASURED_SECONDS = 8.0
PUBLISH_SECONDS = 2.0
CALL_SECONDS = 5.0
CHANGES_A_SECOND = 360 / 86_400
MOST_GROWTH = 1.1
"""Growth of calls a data centre that still counts as independent."""

MOST_BYTES_A_SECOND = 10_000


@dataclass(slots=True)
class Cost:
    """What one size of the fleet costs.

    Attributes:
      calls: Calls a second and data centre, watches among them.
      watches: Waiting watches of a data centre, on average.
      bytes_mean: Bytes a second sent and received by an instance.
      bytes_most: The same of the busiest instance.
      version_bytes: Bytes of an instance for one published version.
      version_size: Size of that version when packed.
      in_force: Seconds until the last instance had the version.
    """

    calls: float
    watches: float
    bytes_mean: float
    bytes_most: float
    version_bytes: float
    version_size: int
    in_force: float

    @property
    def control_bytes(self) -> float:
        """Bytes a second with the planned changes of configuration."""
        return self.bytes_mean + self.version_bytes * CHANGES_A_SECOND

    @property
    def control_bytes_most(self) -> float:
        """The same of the busiest instance."""
        return self.bytes_most + self.version_bytes * CHANGES_A_SECOND


class SizedFleet:
    """A fleet whose instances probe upstreams and share the findings."""

    def __init__(self, seed: int, instances: int, places: int) -> None:
        self.fleet = Fleet(seed, lambda _head, _packed: None)
        count = max(LEAST_UPSTREAMS, round(instances * UPSTREAMS_AN_INSTANCE))
        names = tuple(f"dc{number}" for number in range(places))
        shape = DeploymentShape("leases", count // 2, 2, names)
        self.register = make_register(shape, lambda number: 10_000 + number)
        self.upstreams = [
            (item["name"], item["data_centre"])
            for item in self.register["upstreams"]
        ]
        self.places = names
        for number in range(instances):
            place = names[number % places]
            node = self.fleet.start(f"entry-{number:03}", place)
            self.fleet.schedule.after(PROBE_INTERVAL_S, self.probe, node)

        self.acquaint()

    def acquaint(self) -> None:
        """Lets every instance know what it would after a while."""
        nodes = list(self.fleet.nodes.values())
        entries = [ListedInstance(node.identity) for node in nodes]
        for node in nodes:
            node.membership.apply_list(entries, 0.0)
            node.gossip.shares.joined = True
            for other in nodes:
                name = other.identity.name
                node.membership.record_heartbeat(
                    name, 0.0, 0, MemberState.SERVING
                )
            for name, _ in self.upstreams:
                finding = Finding(name, dict(HELD), 0.0, False)
                node.gossip.findings.latest[name] = DatedFinding(finding, 0.0)

    def probe(self, node: FleetNode) -> None:
        """Lets an instance find what its probes of the moment would."""
        now = self.fleet.now
        findings = node.gossip.findings
        for name, place in self.upstreams:
            if findings.probe_due(name, place, now):
                load = self.fleet.rng.random()
                findings.record(Finding(name, dict(HELD), load, False), now)
        self.fleet.schedule.after(PROBE_INTERVAL_S, self.probe, node)

    def reset(self) -> None:
        """Starts to count anew."""
        self.fleet.platform.call_count = 0
        for node in self.fleet.nodes.values():
            node.bytes_sent = 0
            node.bytes_received = 0

    def bytes_of_nodes(self) -> list[int]:
        """Returns the bytes of each instance since the reset."""
        nodes = self.fleet.nodes.values()
        return [node.bytes_sent + node.bytes_received for node in nodes]

    def measure(self) -> Cost:
        """Measures a steady time, then a publish."""
        fleet = self.fleet
        packed = pack(json.dumps(self.register).encode(), b"{}")
        self.publish(packed, 0)
        fleet.run_until(WARM_UP_SECONDS)
        self.reset()
        watches = 0
        for _ in range(int(MEASURED_SECONDS)):
            fleet.run_until(fleet.now + 1.0)
            watches += len(fleet.platform.watches)
        counted = self.bytes_of_nodes()
        calls = fleet.platform.call_count
        self.reset()
        began = fleet.now
        self.publish(packed, 1)
        fleet.run_until(began + PUBLISH_SECONDS)
        places = len(self.places)
        mean = sum(counted) / len(counted) / MEASURED_SECONDS
        during = sum(self.bytes_of_nodes()) / len(counted)
        return Cost(
            calls / MEASURED_SECONDS / places,
            watches / MEASURED_SECONDS / places,
            mean,
            max(counted) / MEASURED_SECONDS,
            during - mean * PUBLISH_SECONDS,
            len(packed),
            self.last_adoption() - began,
        )

    def last_adoption(self) -> float:
        """Returns when the last instance had the second version."""
        times = []
        for node in self.fleet.nodes.values():
            taken = [at for at, head in node.adopted if head.version == 2]
            times.append(taken[0] if taken else float("inf"))
        return max(times)

    def publish(self, packed: bytes, base: int) -> None:
        """Publishes a version."""
        self.advance(publish_steps(packed, base, f"p{base}"), None)

    def advance(self, steps: PublishSteps, result: StoreResult | None) -> None:
        """Carries a publish on by one store call."""
        try:
            step = next(steps) if result is None else steps.send(result)
        except StopIteration:
            return
        self.fleet.platform.call(
            "operators",
            step,
            CALL_SECONDS,
            lambda done: self.advance(steps, done),
        )


def measure(seed: int) -> Report:
    """Measures each size on virtual time.

    The baseline is every instance watching for itself: as many waiting
    watches as instances.
    """
    report = Report("store-calls", seed)
    costs = []
    for instances, places in SIZES:
        cost = SizedFleet(seed, instances, places).measure()
        costs.append(cost)
        add_figures(report, instances, places, cost)
    least = min(cost.calls for cost in costs)
    most = max(cost.calls for cost in costs)
    report.figures["calls_per_place_growth"] = round(most / least, 3)
    report.at_most("calls_per_place_growth", MOST_GROWTH)
    for instances, _ in SIZES:
        report.at_most(
            f"watches_per_place_{instances}", WATCHERS_PER_DATA_CENTRE
        )
        report.at_most(f"control_bytes_per_s_{instances}", MOST_BYTES_A_SECOND)
        report.at_most(
            f"control_bytes_per_s_most_{instances}", MOST_BYTES_A_SECOND
        )
        report.at_most(f"in_force_s_{instances}", 17.0)
    return report


def add_figures(
    report: Report, instances: int, places: int, cost: Cost
) -> None:
    """Adds the figures of one size."""
    figures = {
        "calls_per_s": cost.calls * places,
        "calls_per_s_per_place": cost.calls,
        "watches": cost.watches * places,
        "watches_per_place": cost.watches,
        "baseline_watches": float(instances),
        "gossip_bytes_per_s": cost.bytes_mean,
        "gossip_bytes_per_s_most": cost.bytes_most,
        "version_bytes": float(cost.version_size),
        "bytes_per_version": cost.version_bytes,
        "control_bytes_per_s": cost.control_bytes,
        "control_bytes_per_s_most": cost.control_bytes_most,
        "in_force_s": cost.in_force,
    }
    for name, value in figures.items():
        report.figures[f"{name}_{instances}"] = round(value, 2)
