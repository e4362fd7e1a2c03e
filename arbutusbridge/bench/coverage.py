"""Truthfulness and coverage of answers while replicas and snapshots change."""

from __future__ import annotations

import dataclasses
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

from arbutusbridge.bench import _scatter
from arbutusbridge.bench._unreliable import UnreliableUpstream
from arbutusbridge.bench.report import Report
from arbutusbridge.core.messages import Outcome, SearchRequest
from arbutusbridge.core.model import (
    Layout,
    Policy,
    Preference,
    Rules,
    Shard,
)
from arbutusbridge.replay import UpstreamMode, World
from arbutusbridge.replay.guarantees import OUTCOMES_WITH_HITS, check_guarantees

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.messages import Version
    from arbutusbridge.core.model import Configuration
    from arbutusbridge.replay import FakeUpstream, FinishedRequest

SHARDS = 40
SHARDS_AFTER_SPLIT = 52
REPLICAS = 3
SLOTS = 2
INSTANCES = 3
QUERIES_PER_S = 50.0
DURATION_S = 12.0
ROUNDS = 4
IDENTICAL_FRACTION = 0.2
SERVICE_TIME_RANGE_S = (0.002, 0.008)

FIRST_ROLLOUT_SPAN_S = (1.5, 3.5)
"""When upstreams switch from snapshot 1 to 2.

Each upstream drops the old snapshot before it holds the new one.
"""

MAX_SWITCH_GAP_S = 0.3
"""Maximum time in which an upstream holds neither snapshot."""

SHARD_OUTAGE_SPAN_S = (4.0, 4.6)
REPARTITION_SPAN_S = (5.0, 6.5)
OLD_LAYOUT_DROP_SPAN_S = (6.6, 7.6)
SECOND_ROLLOUT_SPAN_S = (7.0, 8.5)
SHED_BURST_AT_S = 9.0
SHED_FRACTION = 0.3
MAX_SHED_S = 0.8
CRASH_COUNT = 12
CRASH_DURATION_RANGE_S = (0.5, 2.0)
PERMANENT_CRASH_COUNT = 3
LEAVING_UPSTREAM_COUNT = 2

POLICIES = {
    "crew": Policy(
        deadline_ms=300.0,
        least_coverage=0.9,
        prefer=Preference.LATENCY,
        max_hits=1000,
    ),
    "agronomist": Policy(
        deadline_ms=800.0,
        least_coverage=0.8,
        prefer=Preference.COVERAGE,
        max_hits=1000,
    ),
}


def measure(seed: int, rounds: int = ROUNDS) -> Report:
    """Runs the same faults with and without retries."""
    report = Report("coverage", seed)
    figures = report.figures
    with_retries = run_rounds(seed, rounds, POLICIES)
    without_retries = run_rounds(
        seed,
        rounds,
        {
            caller: dataclasses.replace(policy, extra_load=0.0)
            for caller, policy in POLICIES.items()
        },
    )
    figures.update(with_retries.figures())
    for name, value in without_retries.figures().items():
        figures[f"no_retries_{name}"] = value
    for name in ("mixed", "false_coverage", "under_required", "other_breaches"):
        report.at_most(name, 0)
    report.at_least("mean_coverage", figures["no_retries_mean_coverage"])
    return report


class CoverageStatistics:
    """Counts and samples over several rounds.

    Attributes:
      counts: Numbers of breaches, outcomes and attempts, by name.
      breach_lines: One line for each breach.
      coverages: Coverage of the hits in each answer, by caller; 0 for a query
        without a usable answer.
      latencies_ms: Time to each answer in milliseconds, by caller.
      servable_coverages: Largest coverage that one version could provide at
        each arrival, 0 where it was below the required coverage.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.breach_lines: list[str] = []
        self.servable_coverages: list[float] = []
        self.coverages: dict[str, list[float]] = {c: [] for c in POLICIES}
        self.latencies_ms: dict[str, list[float]] = {c: [] for c in POLICIES}

    def figures(self) -> dict[str, float | str]:
        """Returns the figures that the report prints."""
        counts = self.counts
        all_coverages = [
            value
            for per_caller in self.coverages.values()
            for value in per_caller
        ]
        figures: dict[str, float | str] = {
            "queries": len(all_coverages),
            "mixed": counts["mixed_snapshots"],
            "false_coverage": counts["false_coverage"],
            "under_required": counts["under_required"],
            "other_breaches": counts["other"],
            "mean_coverage": round(sum(all_coverages) / len(all_coverages), 5),
            "servable_mean_coverage": round(
                sum(self.servable_coverages) / len(all_coverages), 5
            ),
            "extra_load": round(counts["arrivals"] / counts["asked"] - 1, 4),
            "restarts": counts["restart"],
        }
        for caller, per_caller in self.coverages.items():
            figures[f"{caller}_mean_coverage"] = round(
                sum(per_caller) / len(per_caller), 5
            )
            p99 = _scatter.quantile(self.latencies_ms[caller], 0.99)
            figures[f"{caller}_p99_ms"] = round(p99, 1)
        for outcome in Outcome:
            if counts[outcome]:
                figures[outcome.value] = counts[outcome]
        if self.breach_lines:
            figures["breaches"] = "; ".join(self.breach_lines[:5])
        return figures

    def record_servable_coverage(self, world: World, caller: str) -> None:
        """Records the largest coverage that one version provides now."""
        best = max(
            compute_servable_fraction(world, layout, version)
            for layout in LAYOUTS.values()
            for version in VERSIONS[layout.epoch]
        )
        is_allowed = best >= POLICIES[caller].least_coverage
        self.servable_coverages.append(best if is_allowed else 0.0)

    def count(self, world: World, leaving: dict[str, float]) -> None:
        """Counts the breaches, outcomes and attempts of one world."""
        findings = check_guarantees(world, CONFIGURATIONS, leaving, ())
        self.breach_lines += findings.lines
        for name, count in findings.counts.items():
            has_own_figure = name in ("mixed_snapshots", "false_coverage")
            self.counts[name if has_own_figure else "other"] += count
        ran = collect_runs_by_query(world)
        for finished in world.finished_requests:
            self.count_answer(finished, ran)
        self.counts["arrivals"] += _scatter.arrivals(world)
        for instance in world.instances.values():
            scattered_ids: set[str] = set()
            for decision in instance.decisions:
                self.counts[decision.what] += 1
                is_first = decision.request_id not in scattered_ids
                if decision.what == "scatter" and is_first:
                    scattered_ids.add(decision.request_id)
                    self.counts["asked"] += decision.detail["shards"]

    def count_answer(
        self,
        finished: FinishedRequest,
        ran: dict[str, set[tuple[str, Version]]],
    ) -> None:
        """Counts one answer, taking its coverage from the hits it holds."""
        request, answer = finished.request, finished.answer
        assert isinstance(request, SearchRequest)
        self.counts[answer.outcome] += 1
        covered = 0.0
        if answer.outcome in OUTCOMES_WITH_HITS:
            covered = compute_held_coverage(finished)
            if covered < POLICIES[request.caller].least_coverage:
                self.counts["under_required"] += 1
                self.breach_lines.append(
                    f"under_required: {request.request_id}"
                )
            for hit in answer.hits:
                if (hit["id"], hit["version"]) not in ran[hit["query"]]:
                    self.counts["other"] += 1
                    self.breach_lines.append(f"never ran: {request.request_id}")
                    break
        self.coverages[request.caller].append(covered)
        self.latencies_ms[request.caller].append(finished.seconds * 1000)


def compute_held_coverage(finished: FinishedRequest) -> float:
    """Returns the weight of the shards with hits over the total weight."""
    answer = finished.answer
    layout = LAYOUTS[answer.epoch or 0]
    held = {hit["id"] for hit in answer.hits}
    weight = sum(s.weight for s in layout.shards if s.name in held)
    return weight / layout.total_weight


def compute_servable_fraction(
    world: World, layout: Layout, version: Version
) -> float:
    """Returns the fraction of the weight that upstreams can serve now."""
    weight = 0
    for shard in layout.shards:
        for name in shard.replicas:
            upstream = world.upstreams[name]
            held = upstream.held.get(_scatter.SERVICE, ())
            if upstream.mode is UpstreamMode.SERVE and version in held:
                weight += shard.weight
                break
    return weight / layout.total_weight


def collect_runs_by_query(world: World) -> dict[str, set[tuple[str, Version]]]:
    """Returns the (shard, version) pairs that upstreams ran, by query."""
    ran: dict[str, set[tuple[str, Version]]] = {}
    for upstream in world.upstreams.values():
        for _, attempt in upstream.runs:
            pairs = ran.setdefault(attempt.body, set())
            pairs.add((attempt.shard, attempt.version))
    return ran


def run_rounds(
    seed: int, rounds: int, policies: dict[str, Policy]
) -> CoverageStatistics:
    """Runs rounds of faults under the given policies."""
    statistics = CoverageStatistics()
    for number in range(rounds):
        round_seed = seed * 1000 + number
        configurations = make_configurations(policies)
        world = World(configurations[0], round_seed)
        world.add_upstreams(draw_service_time, kind=UnreliableUpstream)
        for i in range(INSTANCES):
            world.add_instance(f"i{i}", _scatter.DATA_CENTRE)
        add_arrivals(world, round_seed, statistics)
        leaving: dict[str, float] = {}
        faults = RoundFaults(world, random.Random(round_seed), leaving)
        faults.plan(configurations)
        world.run_until(DURATION_S + 3.0)
        statistics.count(world, leaving)
    return statistics


def draw_service_time(_name: str, rng: random.Random) -> float:
    """Returns a random service time of one attempt, in seconds."""
    return rng.uniform(*SERVICE_TIME_RANGE_S)


def add_arrivals(
    world: World, seed: int, statistics: CoverageStatistics
) -> None:
    """Schedules searches of both callers, some with identical queries."""
    rng = random.Random(seed + 1)
    instances = list(world.instances.values())
    when, number = 0.1, 0
    while when < DURATION_S:
        number += 1
        caller = rng.choice(list(POLICIES))
        is_identical = rng.random() < IDENTICAL_FRACTION
        query = f"same {int(when * 10)}" if is_identical else f"text {number}"
        request = SearchRequest(f"q{number}", caller, _scatter.SERVICE, query)
        world.schedule.at(
            when, statistics.record_servable_coverage, world, caller
        )
        world.schedule.at(when, rng.choice(instances).search, request)
        when += rng.expovariate(QUERIES_PER_S)


def split_layout(layout: Layout) -> Layout:
    """Returns the layout of the next epoch, with the first shards split."""
    shards: list[Shard] = []
    for i, shard in enumerate(layout.shards):
        if i >= SHARDS_AFTER_SPLIT - SHARDS:
            shards.append(shard)
            continue
        middle = (shard.low + shard.high) // 2
        half = shard.weight // 2
        shards += [
            Shard(f"{shard.name}.0", shard.low, middle, half, shard.replicas),
            Shard(
                f"{shard.name}.1",
                middle,
                shard.high,
                shard.weight - half,
                shard.replicas,
            ),
        ]
    return Layout.of(layout.service, layout.epoch + 1, tuple(shards))


OLD_LAYOUT = _scatter.make_layout(1, SHARDS, REPLICAS)
NEW_LAYOUT = split_layout(OLD_LAYOUT)
VERSIONS: dict[int, list[Version]] = {1: [(1, 1), (1, 2)], 2: [(2, 2), (2, 3)]}
LAYOUTS = {layout.epoch: layout for layout in (OLD_LAYOUT, NEW_LAYOUT)}


def make_configurations(policies: dict[str, Policy]) -> list[Configuration]:
    """Returns the configurations before, during and after the split."""
    rules = Rules(policies={(c, ""): p for c, p in policies.items()})
    steps = [(OLD_LAYOUT,), (NEW_LAYOUT, OLD_LAYOUT), (NEW_LAYOUT,)]
    return [
        dataclasses.replace(
            _scatter.make_configuration(layouts, SLOTS, Policy()),
            version=number,
            rules=rules,
        )
        for number, layouts in enumerate(steps, start=1)
    ]


CONFIGURATIONS = make_configurations(POLICIES)


class RoundFaults:
    """Schedules the faults and changes of one round.

    Attributes:
      leaving: Time in seconds at which each leaving upstream begins to leave.
    """

    def __init__(
        self, world: World, rng: random.Random, leaving: dict[str, float]
    ) -> None:
        self.world = world
        self.rng = rng
        self.leaving = leaving
        self.names = sorted(world.upstreams)
        self.leaving_names = rng.sample(self.names, LEAVING_UPSTREAM_COUNT)

    def plan(self, configurations: list[Configuration]) -> None:
        """Schedules all faults and changes."""
        self.schedule_snapshot_switch((1, 1), (1, 2), FIRST_ROLLOUT_SPAN_S)
        self.schedule_shard_outage()
        self.repartition(configurations)
        self.schedule_snapshot_switch((2, 2), (2, 3), SECOND_ROLLOUT_SPAN_S)
        self.schedule_shed_burst()
        self.schedule_crashes()
        self.schedule_drains()

    def at(
        self, when: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Schedules one call at a virtual time."""
        self.world.schedule.at(when, function, *args)

    def schedule_snapshot_switch(
        self, old: Version, new: Version, span: tuple[float, float]
    ) -> None:
        """Schedules the switch of every upstream from one version to another.

        Args:
          old: Version that the upstreams drop first.
          new: Version that they hold after a random gap.
          span: Earliest and latest time of the drop, in seconds.
        """
        for name in self.names:
            when = self.rng.uniform(*span)
            gap = self.rng.uniform(0.0, MAX_SWITCH_GAP_S)
            self.at(when, self.drop_version, name, old)
            self.at(
                when + gap, self.world.add_version, name, _scatter.SERVICE, new
            )

    def drop_version(self, name: str, version: Version) -> None:
        """Removes a version from those that an upstream holds."""
        held = self.world.upstreams[name].held
        before = held.get(_scatter.SERVICE, ())
        held[_scatter.SERVICE] = tuple(v for v in before if v != version)

    def schedule_shard_outage(self) -> None:
        """Schedules a crash of every replica of one shard.

        The replicas are down during SHARD_OUTAGE_SPAN_S.
        """
        start, end = SHARD_OUTAGE_SPAN_S
        shards = [
            shard
            for shard in OLD_LAYOUT.shards
            if not set(shard.replicas) & set(self.leaving_names)
        ]
        shard = self.rng.choice(shards)
        for name in shard.replicas:
            upstream = self.world.upstreams[name]
            upstream.restart_delay_s = end - start
            self.at(start, upstream.crash)

    def repartition(self, configurations: list[Configuration]) -> None:
        """Schedules the split of shards, which upstreams adopt one by one."""
        start, end = REPARTITION_SPAN_S
        self.at(start - 0.5, self.configure, configurations[1])
        for name in self.names:
            when = self.rng.uniform(start, end)
            self.at(
                when, self.world.add_version, name, _scatter.SERVICE, (2, 2)
            )
            self.at(
                self.rng.uniform(*OLD_LAYOUT_DROP_SPAN_S),
                self.drop_version,
                name,
                (1, 2),
            )
        self.at(
            OLD_LAYOUT_DROP_SPAN_S[1] + 0.5, self.configure, configurations[2]
        )

    def configure(self, configuration: Configuration) -> None:
        """Applies a configuration at every instance."""
        for instance in self.world.instances.values():
            instance.tier.configure(configuration)

    def schedule_shed_burst(self) -> None:
        """Schedules a burst in which many upstreams shed load at once."""
        for name in self.names:
            if self.rng.random() < SHED_FRACTION:
                upstream = self.world.upstreams[name]
                self.at(
                    SHED_BURST_AT_S, self.set_mode, upstream, UpstreamMode.SHED
                )
                end = SHED_BURST_AT_S + self.rng.uniform(0.1, MAX_SHED_S)
                self.at(end, self.set_mode, upstream, UpstreamMode.SERVE)

    def set_mode(self, upstream: FakeUpstream, mode: UpstreamMode) -> None:
        """Sets the mode of an upstream, unless it is dead or leaving."""
        if upstream.mode not in (UpstreamMode.DEAD, UpstreamMode.LEAVING):
            upstream.mode = mode

    def schedule_crashes(self) -> None:
        """Schedules crashes at random times, some without a restart."""
        names = [name for name in self.names if name not in self.leaving_names]
        for number in range(CRASH_COUNT):
            upstream = self.world.upstreams[self.rng.choice(names)]
            when = self.rng.uniform(0.5, DURATION_S)
            down_s = self.rng.uniform(*CRASH_DURATION_RANGE_S)
            self.at(
                when,
                self.crash,
                upstream,
                down_s,
                number < PERMANENT_CRASH_COUNT,
            )

    def crash(self, upstream: FakeUpstream, down_s: float, lost: bool) -> None:
        """Crashes one upstream, which restarts unless it is lost."""
        upstream.restart_delay_s = None if lost else down_s
        upstream.crash()

    def schedule_drains(self) -> None:
        """Schedules the drain of the upstreams that leave."""
        for name in self.leaving_names:
            when = self.rng.uniform(1.0, DURATION_S - 4.0)
            self.leaving[name] = when
            upstream = self.world.upstreams[name]
            self.at(when, self.set_mode, upstream, UpstreamMode.LEAVING)
