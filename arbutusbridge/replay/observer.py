"""Check the guarantees from what upstreams ran and callers were told.

Nothing here asks the code under test: runs are noted by the fake upstreams,
hits say what they were computed on, and weights come from the register.
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
"""Time after which a leaving upstream must get no new work, in seconds."""

COVERAGE_TOLERANCE = 1e-9

OUTCOMES_WITH_HITS = (Outcome.COMPLETE, Outcome.PARTIAL)

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
"""Names of the guarantees, as totals print them."""


@dataclass(slots=True)
class Findings:
    """Broken guarantees, with a line on each.

    Attributes:
      counts: Breaches by guarantee.
      lines: One line a breach.
    """

    counts: Counter[str] = field(default_factory=Counter)
    lines: list[str] = field(default_factory=list)

    def add(self, guarantee: str, line: str) -> None:
        """Notes one breach."""
        self.counts[guarantee] += 1
        self.lines.append(f"{guarantee}: {line}")


def check_guarantees(
    world: World,
    configurations: Iterable[Configuration],
    leaving_since: dict[str, float],
    cut_off: Iterable[str],
) -> Findings:
    """Checks every guarantee once a world has come to its end.

    Args:
      world: The world.
      configurations: Every configuration that was in force.
      leaving_since: When each leaving upstream began to leave, in seconds.
      cut_off: Requests that a planned stop left without an answer.

    Returns:
      The breaches found.
    """
    findings = Findings()
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
    """Returns every layout by service and epoch."""
    return {
        (service, layout.epoch): layout
        for configuration in configurations
        for service, layouts in configuration.layouts.items()
        for layout in layouts
    }


def check_search(
    finished: FinishedRequest,
    layouts: dict[tuple[str, int], Layout],
    findings: Findings,
) -> None:
    """Checks one answer to a search against the hits that it holds."""
    request, answer = finished.request, finished.answer
    if answer.outcome not in OUTCOMES_WITH_HITS:
        if answer.hits:
            findings.add("wrong_answers", f"{request.request_id} has hits")
        return
    versions = {tuple(hit["version"]) for hit in answer.hits}
    if versions - {(answer.epoch, answer.snapshot)}:
        findings.add("mixed_snapshots", f"{request.request_id} {versions}")
        return
    assert isinstance(request, SearchRequest)
    if any(hit["query"] != request.query for hit in answer.hits):
        findings.add("wrong_answers", f"{request.request_id} other query")
    if answer.epoch is None:
        findings.add("mixed_snapshots", f"{request.request_id} unlabelled")
        return
    layout = layouts[request.service, answer.epoch]
    check_coverage(request.request_id, answer, layout, findings)


def check_coverage(
    request_id: str, answer: Answer, layout: Layout, findings: Findings
) -> None:
    """Checks the coverage and the missing shards that an answer states."""
    shards = Counter(hit["id"] for hit in answer.hits)
    if any(count > 1 for count in shards.values()):
        findings.add("wrong_answers", f"{request_id} has a shard twice")
    weight = sum(s.weight for s in layout.shards if s.name in shards)
    covered = weight / layout.total_weight
    if abs(covered - answer.coverage) > COVERAGE_TOLERANCE:
        findings.add(
            "false_coverage",
            f"{request_id} says {answer.coverage}, holds {covered}",
        )
    absent = {s.name for s in layout.shards if s.name not in shards}
    if absent != set(answer.missing):
        findings.add("false_coverage", f"{request_id} names wrong shards")
    if (answer.outcome is Outcome.COMPLETE) != (not absent):
        findings.add("false_coverage", f"{request_id} wrongly labelled")


def check_answers(world: World, findings: Findings) -> None:
    """Checks that each request got one answer, and its own."""
    answered = Counter(
        finished.answer.request_id for finished in world.finished_requests
    )
    for finished in world.finished_requests:
        if finished.answer.request_id != finished.request.request_id:
            findings.add("wrong_answers", finished.request.request_id)
    for request_id, count in answered.items():
        if count > 1:
            findings.add("wrong_answers", f"{request_id} answered twice")
    for instance in world.instances.values():
        if instance.stopped:
            continue
        for request_id in instance.open_requests:
            findings.add("wrong_answers", f"{request_id} never answered")


def collect_record_runs(
    upstreams: Iterable[FakeUpstream],
) -> dict[tuple[str, str], list[str]]:
    """Returns the requests that each record ran for, by service and key."""
    runs: dict[tuple[str, str], list[str]] = defaultdict(list)
    for upstream in upstreams:
        for _, attempt in upstream.runs:
            if attempt.key is not None:
                runs[attempt.service, attempt.key].append(attempt.request_id)
    return runs


def check_records(world: World, findings: Findings) -> None:
    """Checks that no record ran twice, or ran though told it was not.

    Being told ``not run`` covers the request itself and every earlier
    sending of the same key; a later resend is answered for itself.
    """
    runs = collect_record_runs(world.upstreams.values())
    arrival_times = collect_arrival_times(world)
    for (service, key), requests in runs.items():
        if len(requests) > 1:
            findings.add("double_runs", f"{service} {key} for {requests}")
    for finished in world.finished_requests:
        request, outcome = finished.request, finished.answer.outcome
        if not isinstance(request, RecordRequest):
            continue
        ran_for = runs.get((request.service, request.key), [])
        earlier = [
            one
            for one in ran_for
            if one == request.request_id
            or arrival_times.get(one, 0.0) < finished.arrived
        ]
        if outcome is Outcome.NOT_RUN and earlier:
            findings.add("false_not_run", f"{request.request_id} ran")
        if outcome is Outcome.COMPLETE and not ran_for:
            findings.add("wrong_answers", f"{request.request_id} never ran")


def collect_arrival_times(world: World) -> dict[str, float]:
    """Returns when each request arrived, answered or not."""
    arrival_times = {
        e.request.request_id: e.arrived for e in world.finished_requests
    }
    for instance in world.instances.values():
        for request_id, (_, at) in instance.open_requests.items():
            arrival_times[request_id] = at
    return arrival_times


def check_not_run_searches(world: World, findings: Findings) -> None:
    """Checks that no search ran though its caller was told it was not."""
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
    world: World, leaving_since: dict[str, float], findings: Findings
) -> None:
    """Checks that leaving upstreams get no new work after the grace."""
    for name, since in leaving_since.items():
        late = [
            at
            for at in world.upstreams[name].arrivals
            if at > since + LEAVE_GRACE_PERIOD_S
        ]
        if late:
            findings.add("work_after_leave", f"{name} {len(late)} attempts")


def check_versions(world: World, findings: Findings) -> None:
    """Checks that the versions that an instance answers with only rise."""
    highest: dict[str, int] = {}
    for finished in sorted(
        world.finished_requests, key=lambda one: one.arrived
    ):
        version = finished.answer.config_version
        if not version:
            continue
        if version < highest.get(finished.instance, 0):
            findings.add(
                "config_reverts",
                f"{finished.instance} at {finished.arrived:.3f} to {version}",
            )
        highest[finished.instance] = version
