"""Play a trace against the real core and check its stated outcomes."""

from __future__ import annotations

import functools
import hashlib
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from arbutusbridge.core import keys
from arbutusbridge.core.messages import RecordRequest, SearchRequest
from arbutusbridge.replay.faults import FaultInjector
from arbutusbridge.replay.observer import (
    GUARANTEES,
    OUTCOMES_WITH_HITS,
    Findings,
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
SERVICE_TIME_SIGMA = 0.35
"""Spread of the logarithm of an upstream's service time."""

SETTLE_PERIOD_S = 15.0
"""Virtual time after the last line until everything is settled."""

LEAD_TIME_S = 0.05
"""Virtual time before the first line, for the first status reports."""


@dataclass(slots=True)
class ReplayResult:
    """What a replay found.

    Attributes:
      unmet: Stated outcomes that did not hold, a line each.
      findings: Breaches of the guarantees.
      figures: What the last line prints.
    """

    unmet: list[str] = field(default_factory=list)
    findings: Findings = field(default_factory=Findings)
    figures: dict[str, Any] = field(default_factory=dict)

    @property
    def holds(self) -> bool:
        """Whether every stated outcome and every guarantee held."""
        return not self.unmet and not self.findings.lines


class Player:
    """Plays one trace on one world.

    ``modify`` is called with each instance that starts; it lets a
    check show that it can fail by passing in a decision that breaks a
    guarantee.

    Attributes:
      world: The world.
      faults: What happens to it.
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
        """Plays all lines and returns what was found."""
        listed = list(lines)
        self.add_instances(listed)
        end = 0.0
        for line in listed:
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
        """Starts every instance that a line names."""
        names = {one.instance for one in lines if isinstance(one, TraceRequest)}
        names |= {
            one.target
            for one in lines
            if isinstance(one, TraceEvent)
            and one.event in ("pause_instance", "restart_instance")
        }
        for number, name in enumerate(sorted(names)):
            place = choose_data_centre(name, number, self.world.configuration)
            self.faults.add_instance(name, place)

    def submit(self, line: TraceRequest) -> None:
        """Lets a request arrive, at another instance if its own is away."""
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

    def make_caller_key(self, named: str) -> str:
        """Returns the idempotency key that a caller would make now.

        A trace may name keys as it likes; one that is a key already is kept.
        """
        if keys.created_at_ms(named) is not None:
            return named
        digest = hashlib.blake2b(named.encode(), digest_size=8).digest()
        return keys.make_key(self.world.wall_ms, int.from_bytes(digest, "big"))

    def collect_result(self) -> ReplayResult:
        """Checks stated outcomes and guarantees."""
        result = ReplayResult()
        answered = {
            one.request.request_id: one for one in self.world.finished_requests
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
        """Returns the figures that the last line prints."""
        finished = self.world.finished_requests
        searches = [e for e in finished if isinstance(e.request, SearchRequest)]
        good = [e for e in searches if e.answer.outcome in OUTCOMES_WITH_HITS]
        times = sorted(one.seconds * 1000 for one in good)
        covered = [one.answer.coverage for one in searches]
        figures: dict[str, Any] = {
            "requests": len(self.expected),
            "unmet": len(result.unmet),
        }
        for guarantee in GUARANTEES:
            figures[guarantee] = result.findings.counts[guarantee]
        figures["p50_ms"] = quantile(times, 0.5)
        figures["p99_ms"] = quantile(times, 0.99)
        figures["mean_coverage"] = mean(covered)
        figures["extra_load"] = self.world.extra_load()
        return figures


def sample_service_time(
    slowdowns: dict[str, float], name: str, rng: random.Random
) -> float:
    """Returns the seconds that one attempt takes at an upstream."""
    seconds = rng.lognormvariate(
        math.log(SERVICE_TIME_MEDIAN_S), SERVICE_TIME_SIGMA
    )
    return seconds * slowdowns.get(name, 1.0)


def choose_data_centre(
    name: str, number: int, configuration: Configuration
) -> str:
    """Returns an instance's data centre: the one that its name begins with.

    Other names are spread over the data centres in turn.
    """
    data_centres = sorted(
        {u.data_centre for u in configuration.upstreams.values()}
    )
    for place in sorted(data_centres, key=len, reverse=True):
        if name.startswith(place):
            return place
    return data_centres[number % len(data_centres)]


def unmet(line: TraceRequest, finished: FinishedRequest | None) -> list[str]:
    """Returns what a request's expectation states and did not hold."""
    if finished is None:
        return [f"{line.id}: no answer"]
    answer, expect = finished.answer, line.expect
    latency_ms = finished.seconds * 1000
    wrong = []
    if expect.outcomes and answer.outcome not in expect.outcomes:
        wrong.append(f"outcome {answer.outcome.value} ({answer.reason})")
    if not within(answer.coverage, expect.min_coverage, expect.max_coverage):
        wrong.append(f"coverage {answer.coverage}")
    if not within(latency_ms, None, expect.max_latency_ms):
        wrong.append(f"latency {latency_ms:.1f} ms")
    if expect.snapshot is not None and answer.snapshot != expect.snapshot:
        wrong.append(f"snapshot {answer.snapshot}")
    return [f"{line.id}: {one}" for one in wrong]


def within(value: float, minimum: float | None, maximum: float | None) -> bool:
    """Tells whether a value keeps the bounds that are stated."""
    if minimum is not None and value < minimum:
        return False
    return maximum is None or value <= maximum


def quantile(values: list[float], share: float) -> float | None:
    """Returns a quantile of sorted values, None when there are none."""
    if not values:
        return None
    index = min(len(values) - 1, math.ceil(share * len(values)) - 1)
    return round(values[max(index, 0)], 3)


def mean(values: list[float]) -> float | None:
    """Returns the mean, None when there are no values."""
    if not values:
        return None
    return round(sum(values) / len(values), 6)
