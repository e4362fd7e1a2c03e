"""Checks of the guarantees against the runs at upstreams and the answers.

The checks do not rely on the code under test: the fake upstreams record what
they ran, hits name the version and query they were computed on, and weights
come from the register.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Outcome, RecordRequest, SearchRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from arbutusbridge.core.messages import Answer
    from arbutusbridge.core.model import Configuration, Layout
    from arbutusbridge.replay.upstream import FakeUpstream
    from arbutusbridge.replay.world import FinishedRequest, World

LEAVE_GRACE_PERIOD_S = 3.0
"""Time after the start of a drain from which no attempts may arrive."""

COVERAGE_TOLERANCE = 1e-9
"""Tolerance for rounding in the comparison of coverages."""

OUTCOMES_WITH_HITS = (Outcome.COMPLETE, Outcome.PARTIAL)
"""Outcomes whose answers may hold hits."""

GUARANTEES = (
    "mixed_snapshots",
    "false_coverage",
    "wrong_answers",
    "false_not_run",
    "double_runs",
    "work_after_leave",
    "cut_off",
    "config_reverts",
)
"""Names of the guarantees, as printed in the figures of a replay."""


@dataclass(slots=True)
class Violations:
    """Violations of the guarantees by one simulation.

    Attributes:
      counts: Number of violations, by guarantee.
      lines: One line of text for each violation.
    """

    counts: Counter[str] = field(default_factory=Counter)
    lines: list[str] = field(default_factory=list)

    def add(self, guarantee: str, line: str) -> None:
        """Adds a violation of a guarantee."""
        self.counts[guarantee] += 1
        self.lines.append(f"{guarantee}: {line}")


def check_guarantees(
    world: World,
    configurations: Iterable[Configuration],
    leaving_since: dict[str, float],
    cut_off: Iterable[str],
) -> Violations:
    """Checks every guarantee at the end of a simulation.

    Args:
      world: World that was simulated.
      configurations: Every configuration that was in force.
      leaving_since: Virtual time at which each upstream began to leave.
      cut_off: Requests that a graceful stop left without an answer.

    Returns:
      The violations found.
    """
    findings = Violations()
    layouts = collect_layouts(configurations)
    for finished in world.finished_requests:
        if isinstance(finished.request, SearchRequest):
            check_search(finished, layouts, findings)
    check_answers(world, findings)
    check_records(world, findings)
    check_not_run_searches(world, findings)
    check_leaving(world, leaving_since, findings)
    check_versions(world, findings)
    for request_id in cut_off:
        findings.add("cut_off", request_id)
    return findings


def collect_layouts(
    configurations: Iterable[Configuration],
) -> dict[tuple[str, int], Layout]:
    """Returns every layout, by service and epoch."""
    return {
        (service, layout.epoch): layout
        for configuration in configurations
        for service, layouts in configuration.layouts.items()
        for layout in layouts
    }


def check_search(
    finished: FinishedRequest,
    layouts: dict[tuple[str, int], Layout],
    findings: Violations,
) -> None:
    """Checks the answer to a search against its hits."""
    request, answer = finished.request, finished.answer
    if answer.outcome not in OUTCOMES_WITH_HITS:
        if answer.hits:
            findings.add(
                "wrong_answers",
                f"{request.request_id} has unexpected hits",
            )
        return
    versions = {tuple(hit["version"]) for hit in answer.hits}
    if versions - {(answer.epoch, answer.snapshot)}:
        findings.add(
            "mixed_snapshots", f"{request.request_id} mixes {versions}"
        )
        return
    assert isinstance(request, SearchRequest)
    if any(hit["query"] != request.query for hit in answer.hits):
        findings.add(
            "wrong_answers",
            f"{request.request_id} has hits of some other query",
        )
    if answer.epoch is None:
        findings.add("mixed_snapshots", f"{request.request_id} has no epoch")
        return
    layout = layouts[request.service, answer.epoch]
    check_coverage(request.request_id, answer, layout, findings)


def check_coverage(
    request_id: str, answer: Answer, layout: Layout, findings: Violations
) -> None:
    """Checks the coverage and the missing shards stated by an answer."""
    shards = Counter(hit["id"] for hit in answer.hits)
    if any(count > 1 for count in shards.values()):
        findings.add("wrong_answers", f"{request_id} has hits of a shard twice")
    weight = sum(s.weight for s in layout.shards if s.name in shards)
    covered = weight / layout.total_weight
    if abs(covered - answer.coverage) > COVERAGE_TOLERANCE:
        findings.add(
            "false_coverage",
            f"{request_id} states {answer.coverage} but holds {covered}",
        )
    missing_shards = {s.name for s in layout.shards if s.name not in shards}
    if missing_shards != set(answer.missing):
        findings.add(
            "false_coverage", f"{request_id} lists wrong missing shards"
        )
    if (answer.outcome is Outcome.COMPLETE) != (not missing_shards):
        findings.add("false_coverage", f"{request_id} has the wrong outcome")


def check_answers(world: World, findings: Violations) -> None:
    """Checks that each request got exactly one answer, and its own."""
    answered = Counter(
        finished.answer.request_id for finished in world.finished_requests
    )
    for finished in world.finished_requests:
        if finished.answer.request_id != finished.request.request_id:
            findings.add("wrong_answers", finished.request.request_id)
    for request_id, count in answered.items():
        if count > 1:
            findings.add("wrong_answers", f"{request_id} was answered twice")
    for instance in world.instances.values():
        if instance.stopped:
            continue
        for request_id in instance.open_requests:
            findings.add("wrong_answers", f"{request_id} was never answered")


def collect_record_runs(
    upstreams: Iterable[FakeUpstream],
) -> dict[tuple[str, str], list[str]]:
    """Returns the ids of the requests that ran, by service and key."""
    runs: dict[tuple[str, str], list[str]] = defaultdict(list)
    for upstream in upstreams:
        for _, attempt in upstream.runs:
            if attempt.key is not None:
                runs[attempt.service, attempt.key].append(attempt.request_id)
    return runs


def check_records(world: World, findings: Violations) -> None:
    """Checks that no record ran twice or ran despite the answer "not run".

    The answer "not run" covers the request itself and all earlier requests
    with the same key. A later resend gets an answer of its own.
    """
    runs = collect_record_runs(world.upstreams.values())
    arrival_times = collect_arrival_times(world)
    for (service, key), requests in runs.items():
        if len(requests) > 1:
            findings.add("double_runs", f"{service} {key} ran for {requests}")
    for finished in world.finished_requests:
        request, outcome = finished.request, finished.answer.outcome
        if not isinstance(request, RecordRequest):
            continue
        ran_for = runs.get((request.service, request.key), [])
        earlier = [
            ran_id
            for ran_id in ran_for
            if ran_id == request.request_id
            or arrival_times.get(ran_id, 0.0) < finished.arrived
        ]
        if outcome is Outcome.NOT_RUN and earlier:
            findings.add("false_not_run", f"{request.request_id} ran")
        if outcome is Outcome.COMPLETE and not ran_for:
            findings.add("wrong_answers", f"{request.request_id} never ran")


def collect_arrival_times(world: World) -> dict[str, float]:
    """Returns the arrival time of each request, by request id."""
    arrival_times = {
        e.request.request_id: e.arrived for e in world.finished_requests
    }
    for instance in world.instances.values():
        for request_id, (_, at) in instance.open_requests.items():
            arrival_times[request_id] = at
    return arrival_times


def check_not_run_searches(world: World, findings: Violations) -> None:
    """Checks that no search ran despite the answer "not run"."""
    told = {
        finished.request.request_id
        for finished in world.finished_requests
        if finished.answer.outcome is Outcome.NOT_RUN
        and isinstance(finished.request, SearchRequest)
    }
    for upstream in world.upstreams.values():
        for _, attempt in upstream.runs:
            if attempt.key is None and attempt.request_id in told:
                findings.add("false_not_run", attempt.request_id)
                told.discard(attempt.request_id)


def check_leaving(
    world: World, leaving_since: dict[str, float], findings: Violations
) -> None:
    """Checks that leaving upstreams get no attempts after the grace period."""
    for name, since in leaving_since.items():
        late_arrivals = [
            at
            for at in world.upstreams[name].arrivals
            if at > since + LEAVE_GRACE_PERIOD_S
        ]
        if late_arrivals:
            findings.add(
                "work_after_leave",
                f"{name} received {len(late_arrivals)} attempts",
            )


def check_versions(world: World, findings: Violations) -> None:
    """Checks that an instance never answers with an older configuration."""
    highest: dict[str, int] = {}
    for finished in sorted(
        world.finished_requests, key=lambda item: item.arrived
    ):
        version = finished.answer.config_version
        if not version:
            continue
        if version < highest.get(finished.instance, 0):
            findings.add(
                "config_reverts",
                f"{finished.instance} at {finished.arrived:.3f} "
                f"went back to {version}",
            )
        highest[finished.instance] = version
