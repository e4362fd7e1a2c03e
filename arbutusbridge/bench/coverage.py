"""Honesty and coverage of answers while replicas and index versions change."""

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
SECONDS = 12.0
ROUNDS = 4
IDENTICAL_SHARE = 0.2
SERVICE_S = (0.002, 0.008)

FIRST_FLIP = (1.5, 3.5)
"""When upstreams move from snapshot 1 to 2, each dropping the old first."""

FLIP_GAP_S = 0.3
"""Longest time in which an upstream holds neither snapshot."""

WHOLE_SHARD_LOSS = (4.0, 4.6)
REPARTITION = (5.0, 6.5)
OLD_LAYOUT_DROP = (6.6, 7.6)
SECOND_FLIP = (7.0, 8.5)
SHED_BURST_S = 9.0
SHED_SHARE = 0.3
LONGEST_SHED_S = 0.8
CRASHES = 12
CRASH_S = (0.5, 2.0)
LOST_FOR_GOOD = 3
LEAVERS = 2

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
    """Runs the same faults with retries and without any."""
    report = Report("coverage", seed)
    figures = report.figures
    kept = run_rounds(seed, rounds, POLICIES)
    plain = run_rounds(
        seed,
        rounds,
        {
            caller: dataclasses.replace(policy, extra_load=0.0)
            for caller, policy in POLICIES.items()
        },
    )
    figures.update(kept.figures())
    for name, value in plain.figures().items():
        figures[f"no_retries_{name}"] = value
    for name in ("mixed", "false_coverage", "under_required", "other_breaches"):
        report.at_most(name, 0)
    report.at_least("mean_coverage", figures["no_retries_mean_coverage"])
    return report


class Tally:
    """What the observer counted over some rounds.

    Attributes:
      counts: Breaches, outcomes and attempts by name.
      lines: A line on each breach.
      coverages: Coverage held by each answer, 0 without a good one.
      milliseconds: Time to each answer, by caller.
      servable: Coverage that one version had at each arrival, 0 where it
        was under the required one.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.lines: list[str] = []
        self.servable: list[float] = []
        self.coverages: dict[str, list[float]] = {c: [] for c in POLICIES}
        self.milliseconds: dict[str, list[float]] = {c: [] for c in POLICIES}

    def figures(self) -> dict[str, float | str]:
        """Returns the figures to print."""
        counts = self.counts
        every = [value for some in self.coverages.values() for value in some]
        figures: dict[str, float | str] = {
            "queries": len(every),
            "mixed": counts["mixed_snapshots"],
            "false_coverage": counts["false_coverage"],
            "under_required": counts["under_required"],
            "other_breaches": counts["other"],
            "mean_coverage": round(sum(every) / len(every), 5),
            "servable_mean_coverage": round(sum(self.servable) / len(every), 5),
            "extra_load": round(counts["arrivals"] / counts["asked"] - 1, 4),
            "restarts": counts["restart"],
        }
        for caller, some in self.coverages.items():
            figures[f"{caller}_mean_coverage"] = round(sum(some) / len(some), 5)
            p99 = _scatter.quantile(self.milliseconds[caller], 0.99)
            figures[f"{caller}_p99_ms"] = round(p99, 1)
        for outcome in Outcome:
            if counts[outcome]:
                figures[outcome.value] = counts[outcome]
        if self.lines:
            figures["breaches"] = "; ".join(self.lines[:5])
        return figures

    def note_servable(self, world: World, caller: str) -> None:
        """Notes the most that any one version covers at an arrival."""
        best = max(
            servable_share(world, layout, version)
            for layout in LAYOUTS.values()
            for version in VERSIONS[layout.epoch]
        )
        enough = best >= POLICIES[caller].least_coverage
        self.servable.append(best if enough else 0.0)

    def count(self, world: World, leaving: dict[str, float]) -> None:
        """Counts what one world's upstreams ran and callers were told."""
        findings = check_guarantees(world, CONFIGURATIONS, leaving, ())
        self.lines += findings.lines
        for name, count in findings.counts.items():
            known = name in ("mixed_snapshots", "false_coverage")
            self.counts[name if known else "other"] += count
        ran = ran_by_request(world)
        for ended in world.finished_requests:
            self.count_answer(ended, ran)
        self.counts["arrivals"] += _scatter.arrivals(world)
        for instance in world.instances.values():
            begun: set[str] = set()
            for decision in instance.decisions:
                self.counts[decision.what] += 1
                first = decision.request_id not in begun
                if decision.what == "scatter" and first:
                    begun.add(decision.request_id)
                    self.counts["asked"] += decision.detail["shards"]

    def count_answer(
        self, ended: FinishedRequest, ran: dict[str, set[tuple[str, Version]]]
    ) -> None:
        """Counts one answer by the hits that it holds."""
        request, answer = ended.request, ended.answer
        assert isinstance(request, SearchRequest)
        self.counts[answer.outcome] += 1
        covered = 0.0
        if answer.outcome in OUTCOMES_WITH_HITS:
            covered = coverage_held(ended)
            if covered < POLICIES[request.caller].least_coverage:
                self.counts["under_required"] += 1
                self.lines.append(f"under_required: {request.request_id}")
            for hit in answer.hits:
                if (hit["id"], hit["version"]) not in ran[hit["query"]]:
                    self.counts["other"] += 1
                    self.lines.append(f"never ran: {request.request_id}")
                    break
        self.coverages[request.caller].append(covered)
        self.milliseconds[request.caller].append(ended.seconds * 1000)


def coverage_held(ended: FinishedRequest) -> float:
    """Returns the weight of the hits' shards over the layout's weight."""
    answer = ended.answer
    layout = LAYOUTS[answer.epoch or 0]
    held = {hit["id"] for hit in answer.hits}
    weight = sum(s.weight for s in layout.shards if s.name in held)
    return weight / layout.total_weight


def servable_share(world: World, layout: Layout, version: Version) -> float:
    """Returns the share of the weight that some upstream could serve now."""
    weight = 0
    for shard in layout.shards:
        for name in shard.replicas:
            upstream = world.upstreams[name]
            held = upstream.held.get(_scatter.SERVICE, ())
            if upstream.mode is UpstreamMode.SERVE and version in held:
                weight += shard.weight
                break
    return weight / layout.total_weight


def ran_by_request(world: World) -> dict[str, set[tuple[str, Version]]]:
    """Returns the shards and versions that upstreams ran, by query."""
    ran: dict[str, set[tuple[str, Version]]] = {}
    for upstream in world.upstreams.values():
        for _, attempt in upstream.runs:
            pairs = ran.setdefault(attempt.body, set())
            pairs.add((attempt.shard, attempt.version))
    return ran


def run_rounds(seed: int, rounds: int, policies: dict[str, Policy]) -> Tally:
    """Runs some rounds of faults under some policies."""
    tally = Tally()
    for number in range(rounds):
        round_seed = seed * 1000 + number
        configurations = make_configurations(policies)
        world = World(configurations[0], round_seed)
        world.add_upstreams(service_time, kind=UnreliableUpstream)
        for i in range(INSTANCES):
            world.add_instance(f"i{i}", _scatter.DATA_CENTRE)
        add_arrivals(world, round_seed, tally)
        leaving: dict[str, float] = {}
        faults = RoundFaults(world, random.Random(round_seed), leaving)
        faults.plan(configurations)
        world.run_until(SECONDS + 3.0)
        tally.count(world, leaving)
    return tally


def service_time(_name: str, rng: random.Random) -> float:
    """Draws the time that one attempt takes."""
    return rng.uniform(*SERVICE_S)


def add_arrivals(world: World, seed: int, tally: Tally) -> None:
    """Lets searches of both callers arrive, some with equal queries."""
    rng = random.Random(seed + 1)
    instances = list(world.instances.values())
    when, number = 0.1, 0
    while when < SECONDS:
        number += 1
        caller = rng.choice(list(POLICIES))
        same = rng.random() < IDENTICAL_SHARE
        query = f"same {int(when * 10)}" if same else f"text {number}"
        request = SearchRequest(f"q{number}", caller, _scatter.SERVICE, query)
        world.schedule.at(when, tally.note_servable, world, caller)
        world.schedule.at(when, rng.choice(instances).search, request)
        when += rng.expovariate(QUERIES_PER_S)


def split_layout(layout: Layout) -> Layout:
    """Returns the next epoch, in which the first shards are split in two."""
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
    """Returns the versions before, while and after shards are split."""
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
      leaving: When each leaving upstream began to leave, in seconds.
    """

    def __init__(
        self, world: World, rng: random.Random, leaving: dict[str, float]
    ) -> None:
        self.world = world
        self.rng = rng
        self.leaving = leaving
        self.names = sorted(world.upstreams)
        self.leavers = rng.sample(self.names, LEAVERS)

    def plan(self, configurations: list[Configuration]) -> None:
        """Schedules everything."""
        self.flip((1, 1), (1, 2), FIRST_FLIP)
        self.lose_shard()
        self.repartition(configurations)
        self.flip((2, 2), (2, 3), SECOND_FLIP)
        self.shed_burst()
        self.crash_some()
        self.drain_some()

    def at(
        self, when: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Schedules one change."""
        self.world.schedule.at(when, function, *args)

    def flip(
        self, old: Version, new: Version, span: tuple[float, float]
    ) -> None:
        """Lets upstreams drop a version and hold another a while later."""
        for name in self.names:
            when = self.rng.uniform(*span)
            gap = self.rng.uniform(0.0, FLIP_GAP_S)
            self.at(when, self.drop, name, old)
            self.at(
                when + gap, self.world.add_version, name, _scatter.SERVICE, new
            )

    def drop(self, name: str, version: Version) -> None:
        """Lets an upstream hold a version no more."""
        held = self.world.upstreams[name].held
        before = held.get(_scatter.SERVICE, ())
        held[_scatter.SERVICE] = tuple(v for v in before if v != version)

    def lose_shard(self) -> None:
        """Takes every replica of one shard away for a while."""
        start, end = WHOLE_SHARD_LOSS
        shards = [
            shard
            for shard in OLD_LAYOUT.shards
            if not set(shard.replicas) & set(self.leavers)
        ]
        shard = self.rng.choice(shards)
        for name in shard.replicas:
            upstream = self.world.upstreams[name]
            upstream.restart_delay_s = end - start
            self.at(start, upstream.crash)

    def repartition(self, configurations: list[Configuration]) -> None:
        """Publishes the split and moves the upstreams to it one by one."""
        start, end = REPARTITION
        self.at(start - 0.5, self.configure, configurations[1])
        for name in self.names:
            when = self.rng.uniform(start, end)
            self.at(
                when, self.world.add_version, name, _scatter.SERVICE, (2, 2)
            )
            self.at(self.rng.uniform(*OLD_LAYOUT_DROP), self.drop, name, (1, 2))
        self.at(OLD_LAYOUT_DROP[1] + 0.5, self.configure, configurations[2])

    def configure(self, configuration: Configuration) -> None:
        """Puts a configuration in force at every instance."""
        for instance in self.world.instances.values():
            instance.tier.configure(configuration)

    def shed_burst(self) -> None:
        """Lets many upstreams shed at once."""
        for name in self.names:
            if self.rng.random() < SHED_SHARE:
                upstream = self.world.upstreams[name]
                self.at(SHED_BURST_S, self.switch, upstream, UpstreamMode.SHED)
                end = SHED_BURST_S + self.rng.uniform(0.1, LONGEST_SHED_S)
                self.at(end, self.switch, upstream, UpstreamMode.SERVE)

    def switch(self, upstream: FakeUpstream, mode: UpstreamMode) -> None:
        """Changes how an upstream serves, unless it is away for good."""
        if upstream.mode not in (UpstreamMode.DEAD, UpstreamMode.LEAVING):
            upstream.mode = mode

    def crash_some(self) -> None:
        """Crashes upstreams at random times, some of them for good."""
        names = [name for name in self.names if name not in self.leavers]
        for number in range(CRASHES):
            upstream = self.world.upstreams[self.rng.choice(names)]
            when = self.rng.uniform(0.5, SECONDS)
            away = self.rng.uniform(*CRASH_S)
            self.at(when, self.crash, upstream, away, number < LOST_FOR_GOOD)

    def crash(self, upstream: FakeUpstream, away: float, lost: bool) -> None:
        """Crashes one upstream."""
        upstream.restart_delay_s = None if lost else away
        upstream.crash()

    def drain_some(self) -> None:
        """Lets some upstreams leave."""
        for name in self.leavers:
            when = self.rng.uniform(1.0, SECONDS - 4.0)
            self.leaving[name] = when
            upstream = self.world.upstreams[name]
            self.at(when, self.switch, upstream, UpstreamMode.LEAVING)
