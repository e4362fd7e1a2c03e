"""Replay of a trace against the core, with checks of its expectations."""

from __future__ import annotations

import functools
import hashlib
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from arbutusbridge.core import keys
from arbutusbridge.core.messages import RecordRequest, SearchRequest
from arbutusbridge.replay.faults import FaultInjector
from arbutusbridge.replay.guarantees import (
    GUARANTEES,
    OUTCOMES_WITH_HITS,
    Violations,
    check_guarantees,
)
from arbutusbridge.replay.trace import TraceEvent, TraceRequest
from arbutusbridge.replay.world import World
from arbutusbridge.settings import compile_configuration

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from arbutusbridge.core.model import Configuration
    from arbutusbridge.replay.trace import TraceLine
    from arbutusbridge.replay.world import FinishedRequest, VirtualInstance
    from arbutusbridge.settings import Register, RulesFile

SERVICE_TIME_MEDIAN_S = 0.003
"""Median of the log-normal service time of an upstream."""

SERVICE_TIME_SIGMA = 0.35
"""Standard deviation of the logarithm of the service time."""

SETTLE_PERIOD_S = 15.0
"""Virtual time after the last line in which open requests finish."""

LEAD_TIME_S = 0.05
"""Virtual time before the first line, for the first status reports."""


@dataclass(slots=True)
class ReplayResult:
    """Result of a replay.

    Attributes:
      unmet: Expectations that were not met, one line of text each.
      findings: Violations of the guarantees.
      figures: Figures printed as the last line of output.
    """

    unmet: list[str] = field(default_factory=list)
    findings: Violations = field(default_factory=Violations)
    figures: dict[str, Any] = field(default_factory=dict)

    @property
    def holds(self) -> bool:
        """Whether every expectation was met and every guarantee held."""
        return not self.unmet and not self.findings.lines


class Player:
    """Replays one trace on a simulated world.

    ``modify`` is called with each instance that starts. Tests of the checks
    use it to make the core break a guarantee.

    Attributes:
      world: World that the trace is replayed on.
      faults: Injector of the events of the trace.
      keys: Idempotency keys sent, by service and key of the trace.
      expected: Requests of the trace with their expectations, by id.
    """

    def __init__(
        self,
        register: Register,
        rules: RulesFile,
        seed: int,
        modify: Callable[[VirtualInstance], None] = lambda _instance: None,
    ) -> None:
        configuration = compile_configuration(register, rules, 1, "start")
        self.world = World(configuration, seed)
        self.faults = FaultInjector(self.world, register, modify)
        self.keys: dict[tuple[str, str], str] = {}
        self.expected: dict[str, TraceRequest] = {}
        service_time = functools.partial(
            sample_service_time, self.faults.slowdowns
        )
        self.world.add_upstreams(service_time)
        self.faults.store_initial_version(rules)
        self.faults.start_at_oldest_epochs()

    def play(self, lines: Iterable[TraceLine]) -> ReplayResult:
        """Replays all lines and returns the result."""
        trace_lines = list(lines)
        self.add_instances(trace_lines)
        end = 0.0
        for line in trace_lines:
            at = LEAD_TIME_S + line.at_ms / 1000
            end = max(end, at)
            if isinstance(line, TraceEvent):
                end = max(end, at + line.seconds)
                self.world.schedule.at(at, self.faults.apply, line)
            else:
                self.expected[line.id] = line
                self.world.schedule.at(at, self.submit, line)
        self.world.run_until(end + SETTLE_PERIOD_S)
        return self.collect_result()

    def add_instances(self, lines: list[TraceLine]) -> None:
        """Starts every instance that a line refers to."""
        names = {
            entry.instance for entry in lines if isinstance(entry, TraceRequest)
        }
        names |= {
            entry.target
            for entry in lines
            if isinstance(entry, TraceEvent)
            and entry.event in ("pause_instance", "restart_instance")
        }
        for number, name in enumerate(sorted(names)):
            place = choose_data_centre(name, number, self.world.configuration)
            self.faults.add_instance(name, place)

    def submit(self, line: TraceRequest) -> None:
        """Submits a request to its instance, or another while that is down."""
        instance = self.faults.pick_instance(line.instance)
        if line.kind == "search":
            instance.search(
                SearchRequest(
                    line.id,
                    line.caller,
                    line.service,
                    line.query,
                    line.deadline_ms,
                )
            )
            return
        assert line.key is not None
        resend = (line.service, line.key) in self.keys
        key = self.keys.setdefault(
            (line.service, line.key), self.make_caller_key(line.key)
        )
        instance.record(
            RecordRequest(
                line.id,
                line.caller,
                line.service,
                key,
                line.query,
                resend,
                line.deadline_ms,
            )
        )

    def make_caller_key(self, trace_key: str) -> str:
        """Returns the idempotency key that a caller would create now.

        A key of a trace may have any form. One that is a valid idempotency
        key is returned unchanged.
        """
        if keys.created_at_ms(trace_key) is not None:
            return trace_key
        digest = hashlib.blake2b(trace_key.encode(), digest_size=8).digest()
        return keys.make_key(self.world.wall_ms, int.from_bytes(digest, "big"))

    def collect_result(self) -> ReplayResult:
        """Checks the expectations and the guarantees."""
        result = ReplayResult()
        answered = {
            item.request.request_id: item
            for item in self.world.finished_requests
        }
        for request_id, line in self.expected.items():
            result.unmet += unmet(line, answered.get(request_id))
        result.findings = check_guarantees(
            self.world,
            self.faults.configurations,
            self.faults.leaving_since,
            self.faults.cut_off,
        )
        result.figures = self.figures(result)
        return result

    def figures(self, result: ReplayResult) -> dict[str, Any]:
        """Returns the figures that are printed as the last line."""
        finished = self.world.finished_requests
        searches = [e for e in finished if isinstance(e.request, SearchRequest)]
        with_hits = [
            e for e in searches if e.answer.outcome in OUTCOMES_WITH_HITS
        ]
        latencies_ms = sorted(item.seconds * 1000 for item in with_hits)
        coverages = [item.answer.coverage for item in searches]
        figures: dict[str, Any] = {
            "requests": len(self.expected),
            "unmet": len(result.unmet),
        }
        for guarantee in GUARANTEES:
            figures[guarantee] = result.findings.counts[guarantee]
        figures["p50_ms"] = quantile_of_sorted(latencies_ms, 0.5)
        figures["p99_ms"] = quantile_of_sorted(latencies_ms, 0.99)
        figures["mean_coverage"] = mean(coverages)
        figures["extra_load"] = self.world.extra_load()
        return figures


def sample_service_time(
    slowdowns: dict[str, float], name: str, rng: random.Random
) -> float:
    """Returns a service time for one attempt at an upstream, in seconds."""
    seconds = rng.lognormvariate(
        math.log(SERVICE_TIME_MEDIAN_S), SERVICE_TIME_SIGMA
    )
    return seconds * slowdowns.get(name, 1.0)


def choose_data_centre(
    name: str, number: int, configuration: Configuration
) -> str:
    """Returns the data centre of an instance.

    This is the data centre whose name is a prefix of the instance name, the
    longest one first. Instances without such a prefix are assigned to the
    data centres in turn, by their number.
    """
    data_centres = sorted(
        {u.data_centre for u in configuration.upstreams.values()}
    )
    for place in sorted(data_centres, key=len, reverse=True):
        if name.startswith(place):
            return place
    return data_centres[number % len(data_centres)]


def unmet(line: TraceRequest, finished: FinishedRequest | None) -> list[str]:
    """Returns the unmet expectations of a request, one line of text each."""
    if finished is None:
        return [f"{line.id}: got no answer"]
    answer, expect = finished.answer, line.expect
    latency_ms = finished.seconds * 1000
    mismatches = []
    if expect.outcomes and answer.outcome not in expect.outcomes:
        mismatches.append(
            f"unexpected outcome {answer.outcome.value} ({answer.reason})"
        )
    if not within(answer.coverage, expect.min_coverage, expect.max_coverage):
        mismatches.append(f"unexpected coverage {answer.coverage}")
    if not within(latency_ms, None, expect.max_latency_ms):
        mismatches.append(f"unexpected latency {latency_ms:.1f} ms")
    if expect.snapshot is not None and answer.snapshot != expect.snapshot:
        mismatches.append(f"unexpected snapshot {answer.snapshot}")
    return [f"{line.id}: {mismatch}" for mismatch in mismatches]


def within(value: float, minimum: float | None, maximum: float | None) -> bool:
    """Returns whether a value is within the given bounds, None for no bound."""
    if minimum is not None and value < minimum:
        return False
    return maximum is None or value <= maximum


def quantile_of_sorted(values: list[float], share: float) -> float | None:
    """Returns a quantile of sorted values, None if there are no values."""
    if not values:
        return None
    index = min(len(values) - 1, math.ceil(share * len(values)) - 1)
    return round(values[max(index, 0)], 3)


def mean(values: list[float]) -> float | None:
    """Returns the rounded mean, None if there are no values."""
    if not values:
        return None
    return round(sum(values) / len(values), 6)
