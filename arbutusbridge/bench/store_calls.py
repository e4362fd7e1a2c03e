"""Platform calls and bytes between instances as the fleet grows."""

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
"""Pairs of a number of instances and a number of data centres."""

HELD_VERSIONS = {"leases": [(1, 1), (1, 2)]}
"""Versions that every upstream serves."""

UPSTREAMS_PER_INSTANCE = 2_500 / 570
"""Ratio in the planned deployment."""

MIN_UPSTREAMS = 107
WARM_UP_S = 3.0
MEASUREMENT_DURATION_S = 8.0
PUBLISH_DURATION_S = 2.0
CALL_TIMEOUT_S = 5.0
CHANGES_PER_S = 360 / 86_400
"""Planned rate of configuration changes, 360 per day."""

MAX_GROWTH_FACTOR = 1.1
"""Largest ratio of calls per data centre between two fleet sizes.

Up to this ratio the calls count as independent of the fleet size.
"""

MAX_CONTROL_BYTES_PER_S = 10_000


@dataclass(slots=True)
class FleetCost:
    """Cost of a fleet of one size.

    Attributes:
      calls_per_s: Platform calls per second in each data centre, including
        watches.
      watches: Mean number of waiting watches per data centre.
      mean_bytes_per_s: Mean bytes that an instance sends and receives per
        second.
      max_bytes_per_s: Bytes per second of the busiest instance.
      version_bytes: Mean bytes that an instance sends and receives for one
        published version, beyond those of the steady period.
      version_size_bytes: Size of the packed version in bytes.
      in_force_after_s: Seconds from the publish until the last instance adopted
        the version.
    """

    calls_per_s: float
    watches: float
    mean_bytes_per_s: float
    max_bytes_per_s: float
    version_bytes: float
    version_size_bytes: int
    in_force_after_s: float

    @property
    def mean_control_bytes_per_s(self) -> float:
        """Mean bytes per second, including planned configuration changes."""
        return self.mean_bytes_per_s + self.version_bytes * CHANGES_PER_S

    @property
    def max_control_bytes_per_s(self) -> float:
        """Bytes per second of the busiest instance, with planned changes."""
        return self.max_bytes_per_s + self.version_bytes * CHANGES_PER_S


class ProbingFleet:
    """A fleet whose instances probe upstreams and share the findings."""

    def __init__(self, seed: int, instances: int, data_centres: int) -> None:
        self.fleet = Fleet(seed, lambda _head, _packed: None)
        count = max(MIN_UPSTREAMS, round(instances * UPSTREAMS_PER_INSTANCE))
        names = tuple(f"dc{number}" for number in range(data_centres))
        shape = DeploymentShape("leases", count // 2, 2, names)
        self.register = make_register(shape, lambda number: 10_000 + number)
        self.upstreams = [
            (item["name"], item["data_centre"])
            for item in self.register["upstreams"]
        ]
        self.data_centres = names
        for number in range(instances):
            place = names[number % data_centres]
            node = self.fleet.start(f"entry-{number:03}", place)
            self.fleet.schedule.after(
                PROBE_INTERVAL_S, self.record_due_probes, node
            )

        self.set_settled_state()

    def set_settled_state(self) -> None:
        """Gives every instance the state that it has in a settled fleet.

        Every instance knows all members and a finding of every upstream.
        """
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
                finding = Finding(name, dict(HELD_VERSIONS), 0.0, False)
                node.gossip.findings.latest[name] = DatedFinding(finding, 0.0)

    def record_due_probes(self, node: FleetNode) -> None:
        """Records findings of the probes that are due at an instance."""
        now = self.fleet.now
        findings = node.gossip.findings
        for name, place in self.upstreams:
            if findings.probe_due(name, place, now):
                load = self.fleet.rng.random()
                findings.record(
                    Finding(name, dict(HELD_VERSIONS), load, False), now
                )
        self.fleet.schedule.after(
            PROBE_INTERVAL_S, self.record_due_probes, node
        )

    def reset_counters(self) -> None:
        """Resets the counts of calls and bytes."""
        self.fleet.platform.call_count = 0
        for node in self.fleet.nodes.values():
            node.bytes_sent = 0
            node.bytes_received = 0

    def count_node_bytes(self) -> list[int]:
        """Returns the bytes of each instance since the last reset."""
        nodes = self.fleet.nodes.values()
        return [node.bytes_sent + node.bytes_received for node in nodes]

    def measure(self) -> FleetCost:
        """Measures a steady period, then the publish of a version."""
        fleet = self.fleet
        packed = pack(json.dumps(self.register).encode(), b"{}")
        self.publish(packed, 0)
        fleet.run_until(WARM_UP_S)
        self.reset_counters()
        watches = 0
        for _ in range(int(MEASUREMENT_DURATION_S)):
            fleet.run_until(fleet.now + 1.0)
            watches += len(fleet.platform.watches)
        counted = self.count_node_bytes()
        calls = fleet.platform.call_count
        self.reset_counters()
        began = fleet.now
        self.publish(packed, 1)
        fleet.run_until(began + PUBLISH_DURATION_S)
        data_centres = len(self.data_centres)
        steady_bytes_per_s = (
            sum(counted) / len(counted) / MEASUREMENT_DURATION_S
        )
        publish_bytes = sum(self.count_node_bytes()) / len(counted)
        return FleetCost(
            calls / MEASUREMENT_DURATION_S / data_centres,
            watches / MEASUREMENT_DURATION_S / data_centres,
            steady_bytes_per_s,
            max(counted) / MEASUREMENT_DURATION_S,
            publish_bytes - steady_bytes_per_s * PUBLISH_DURATION_S,
            len(packed),
            self.find_last_adoption() - began,
        )

    def find_last_adoption(self) -> float:
        """Returns the time at which the last instance adopted version 2.

        It is infinite if an instance has not adopted it.
        """
        times = []
        for node in self.fleet.nodes.values():
            taken = [at for at, head in node.adopted if head.version == 2]
            times.append(taken[0] if taken else float("inf"))
        return max(times)

    def publish(self, packed: bytes, base: int) -> None:
        """Starts to publish a version on top of a base version."""
        self.advance_publish(publish_steps(packed, base, f"p{base}"), None)

    def advance_publish(
        self, steps: PublishSteps, result: StoreResult | None
    ) -> None:
        """Advances a publish by one store call."""
        try:
            step = next(steps) if result is None else steps.send(result)
        except StopIteration:
            return
        self.fleet.platform.call(
            "operators",
            step,
            CALL_TIMEOUT_S,
            lambda done: self.advance_publish(steps, done),
        )


def measure(seed: int) -> Report:
    """Measures each fleet size on virtual time.

    In the baseline every instance watches for itself, so there are as many
    waiting watches as instances.
    """
    report = Report("store-calls", seed)
    costs = []
    for instances, data_centres in SIZES:
        cost = ProbingFleet(seed, instances, data_centres).measure()
        costs.append(cost)
        add_figures(report, instances, data_centres, cost)
    min_calls = min(cost.calls_per_s for cost in costs)
    max_calls = max(cost.calls_per_s for cost in costs)
    report.figures["calls_per_place_growth"] = round(max_calls / min_calls, 3)
    report.at_most("calls_per_place_growth", MAX_GROWTH_FACTOR)
    for instances, _ in SIZES:
        report.at_most(
            f"watches_per_place_{instances}", WATCHERS_PER_DATA_CENTRE
        )
        report.at_most(
            f"control_bytes_per_s_{instances}", MAX_CONTROL_BYTES_PER_S
        )
        report.at_most(
            f"control_bytes_per_s_most_{instances}", MAX_CONTROL_BYTES_PER_S
        )
        report.at_most(f"in_force_s_{instances}", 17.0)
    return report


def add_figures(
    report: Report, instances: int, data_centres: int, cost: FleetCost
) -> None:
    """Adds the figures of one fleet size to the report."""
    figures = {
        "calls_per_s": cost.calls_per_s * data_centres,
        "calls_per_s_per_place": cost.calls_per_s,
        "watches": cost.watches * data_centres,
        "watches_per_place": cost.watches,
        "baseline_watches": float(instances),
        "gossip_bytes_per_s": cost.mean_bytes_per_s,
        "gossip_bytes_per_s_most": cost.max_bytes_per_s,
        "version_bytes": float(cost.version_size_bytes),
        "bytes_per_version": cost.version_bytes,
        "control_bytes_per_s": cost.mean_control_bytes_per_s,
        "control_bytes_per_s_most": cost.max_control_bytes_per_s,
        "in_force_s": cost.in_force_after_s,
    }
    for name, value in figures.items():
        report.figures[f"{name}_{instances}"] = round(value, 2)
