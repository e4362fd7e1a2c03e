"""Upstreams that leave at random times while their status reports lag."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.bench._topology import (
    DATA_CENTRES,
    SERVICE,
    make_configuration,
)
from arbutusbridge.bench.report import Report
from arbutusbridge.core.messages import Outcome, SearchRequest
from arbutusbridge.core.model import Policy
from arbutusbridge.replay import UpstreamMode, World

if TYPE_CHECKING:
    from arbutusbridge.replay import FakeUpstream

INSTANCES = 8
SHARDS = 8
REPLICAS = 3
DURATION_S = 120.0
SEARCHES_PER_S = 40.0
LEAVE_INTERVAL_S = 4.0
REPORT_LAG_S = 10.0
"""Time for which the status of a leaving upstream omits that it leaves."""

LEAVE_DURATION_S = 15.0
"""Time from the start of a leave to the restart of the upstream."""

GRACE_PERIOD_S = 3.0
"""Time after a leave is known from which attempts count as late."""

OBSERVATION_INTERVAL_S = 0.01


@dataclass(slots=True)
class Leave:
    """One departure of an upstream, until its restart.

    Attributes:
      upstream: Upstream that leaves.
      incarnation: Incarnation that leaves.
      began_at: Time at which it began to refuse new attempts.
      first_known_at: Time at which the first instance knew of the leave, None
        before.
      late_attempts: Attempts that arrived after the grace period that follows
        ``first_known_at``.
      refused: Attempts that arrived before the end of the grace period.
      cut_off: Attempts that were running or queued when its process ended.
      ended: Whether the upstream has restarted.
    """

    upstream: FakeUpstream
    incarnation: int
    began_at: float
    first_known_at: float | None = None
    late_attempts: int = 0
    refused: int = 0
    cut_off: int = 0
    ended: bool = False


@dataclass(slots=True)
class DrainRun:
    """A world whose upstreams leave and restart.

    Attributes:
      world: The simulated world.
      rng: Source of random choices.
      leaves: Every leave so far.
      searches: Number of searches sent so far.
    """

    world: World
    rng: random.Random
    leaves: list[Leave] = field(default_factory=list)
    searches: int = 0

    def search(self) -> None:
        """Sends a search to a random instance."""
        self.searches += 1
        name = self.rng.choice(sorted(self.world.instances))
        request = SearchRequest(
            f"q{self.searches}", "crew", SERVICE, self.searches
        )
        self.world.instances[name].search(request)

    def begin_leave(self) -> None:
        """Starts the leave of a random upstream.

        At most one replica of a shard leaves at a time, so that the shard
        keeps the others.
        """
        leaving = {one.upstream.name for one in self.leaves if not one.ended}
        shards = {name.split("-")[0] for name in leaving}
        candidates = [
            upstream
            for name, upstream in sorted(self.world.upstreams.items())
            if name.split("-")[0] not in shards
        ]
        if not candidates:
            return
        upstream = self.rng.choice(candidates)
        upstream.mode = UpstreamMode.LEAVING
        upstream.reports_leaving = False
        now = self.world.now
        leave = Leave(upstream, upstream.incarnation, now)
        self.leaves.append(leave)
        schedule = self.world.schedule
        schedule.after(REPORT_LAG_S, self.publish_leaving_status, leave)
        schedule.after(LEAVE_DURATION_S, self.end_leave, leave)

    def publish_leaving_status(self, leave: Leave) -> None:
        """Makes the upstream's status report that it leaves."""
        leave.upstream.reports_leaving = True

    def end_leave(self, leave: Leave) -> None:
        """Ends the process and restarts the upstream."""
        upstream = leave.upstream
        leave.cut_off = len(upstream.running) + len(upstream.waiting)
        leave.ended = True
        upstream.restart()

    def watch(self) -> None:
        """Records when leaves become known and counts later attempts.

        Runs again at a fixed interval.
        """
        for leave in self.leaves:
            if leave.ended:
                continue
            if leave.first_known_at is None and self.is_known_to_any_instance(
                leave
            ):
                leave.first_known_at = self.world.now
            self.count_arrivals(leave)
        for upstream in self.world.upstreams.values():
            upstream.arrivals.clear()
        self.world.schedule.after(OBSERVATION_INTERVAL_S, self.watch)

    def is_known_to_any_instance(self, leave: Leave) -> bool:
        """Returns whether any instance knows of a leave."""
        name = leave.upstream.name
        return any(
            instance.tier.drain_tracker.leaving_incarnations.get(name)
            == leave.incarnation
            for instance in self.world.instances.values()
        )

    def count_arrivals(self, leave: Leave) -> None:
        """Counts the attempts that arrived since the last observation."""
        for at in leave.upstream.arrivals:
            if at < leave.began_at:
                continue
            known_at = leave.first_known_at
            if known_at is not None and at > known_at + GRACE_PERIOD_S:
                leave.late_attempts += 1
            else:
                leave.refused += 1


def run(seed: int, seconds: float, share_notices: bool = True) -> DrainRun:
    """Runs searches while upstreams leave.

    Args:
      seed: Seed of all random choices.
      seconds: Time over which searches arrive.
      share_notices: Whether instances notify each other of leaves.
    """
    policy = Policy(deadline_ms=1000.0)
    world = World(make_configuration(SHARDS, REPLICAS, policy), seed)
    world.add_upstreams(lambda _name, rng: rng.uniform(0.002, 0.03))
    done = DrainRun(world, random.Random(seed))
    for number in range(INSTANCES):
        place = DATA_CENTRES[number % len(DATA_CENTRES)]
        instance = world.add_instance(f"entry-{number}", place)
        # An instance without peers learns of a leave only when an upstream
        # refuses one of its own attempts.
        instance.cut_off = not share_notices
    rng = done.rng
    at = 0.5
    while at < seconds:
        at += rng.expovariate(SEARCHES_PER_S)
        world.schedule.at(at, done.search)
    at = 2.0
    while at < seconds - LEAVE_DURATION_S:
        world.schedule.at(at, done.begin_leave)
        at += rng.expovariate(1 / LEAVE_INTERVAL_S)
    done.watch()
    world.run_until(seconds + LEAVE_DURATION_S)
    return done


def measure(seed: int) -> Report:
    """Runs leaves under load, with and without notices between instances."""
    report = Report("drain", seed)
    done = run(seed, DURATION_S)
    without_notices = run(seed, DURATION_S, share_notices=False)
    figures = report.figures
    figures["leaves"] = len(done.leaves)
    figures["searches"] = done.searches
    figures["late_work"] = sum(leave.late_attempts for leave in done.leaves)
    figures["late_work_without_spread"] = sum(
        leave.late_attempts for leave in without_notices.leaves
    )
    figures["refused_in_time"] = sum(leave.refused for leave in done.leaves)
    figures["cut_off"] = sum(leave.cut_off for leave in done.leaves)
    figures["not_complete"] = sum(
        finished.answer.outcome is not Outcome.COMPLETE
        for finished in done.world.finished_requests
    )
    figures["unanswered"] = done.searches - len(done.world.finished_requests)
    figures["without_a_sign"] = sum(
        leave.first_known_at is None for leave in done.leaves
    )
    figures["not_back"] = sum(
        len(instance.tier.drain_tracker.leaving_incarnations)
        for instance in done.world.instances.values()
    )
    report.at_most("late_work", 0)
    report.at_most("cut_off", 0)
    report.at_most("unanswered", 0)
    report.at_most("not_back", 0)
    return report
