"""Play a trace against the real core and check its stated outcomes."""

from __future__ import annotations

import functools
import hashlib
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from arbutusbridge.core import keys
from arbutusbridge.core.messages import RecordRequest, SearchRequest
from arbutusbridge.replay.faults import Faults
from arbutusbridge.replay.observer import (
    ANSWERED,
    PROMISES,
    Findings,
    check_world,
)
from arbutusbridge.replay.trace import TraceEvent, TraceRequest
from arbutusbridge.replay.world import World
from arbutusbridge.settings import compile_configuration

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from arbutusbridge.core.model import Configuration
    from arbutusbridge.replay.trace import TraceLine
    from arbutusbridge.replay.world import Ended, VirtualInstance
    from arbutusbridge.settings import Register, RulesFile

SERVICE_TIME_MEDIAN_S = 0.003
SERVICE_TIME_SPREAD = 0.35
"""Spread of the logarithm of an upstream's service time."""

SETTLE_SECONDS = 15.0
"""Virtual time after the last line until everything is settled."""

LEADING_SECONDS = 0.05
"""Virtual time before the first line, for the first status reports."""


@dataclass(slots=True)
class Totals:
    """What a replay found.

    Attributes:
      unmet: Stated outcomes that did not hold, a line each.
      findings: Breaches of the promises.
      figures: What the last line prints.
    """

    unmet: list[str] = field(default_factory=list)
    findings: Findings = field(default_factory=Findings)
    figures: dict[str, Any] = field(default_factory=dict)

    @property
    def holds(self) -> bool:
        """Whether every stated outcome and every promise held."""
        return not self.unmet and not self.findings.lines


class Player:
    """Plays one trace on one world.

    ``alter`` is called with each instance that starts; it lets a check show
    that it can fail by passing in a decision that breaks a promise.

    Attributes:
      world: The world.
      faults: What happens to it.
    """

    def __init__(
        self,
        register: Register,
        rules: RulesFile,
        seed: int,
        alter: Callable[[VirtualInstance], None] = lambda _instance: None,
    ) -> None:
        configuration = compile_configuration(register, rules, 1, "start")
        self.world = World(configuration, seed)
        self.faults = Faults(self.world, register, alter)
        self.keys: dict[tuple[str, str], str] = {}
        self.expected: dict[str, TraceRequest] = {}
        service_time = functools.partial(
            sample_service_time, self.faults.slowness
        )
        self.world.add_upstreams(service_time)
        self.faults.store_start(rules)
        self.faults.start_at_oldest_epochs()

    def play(self, lines: Iterable[TraceLine]) -> Totals:
        """Plays all lines and returns what was found."""
        listed = list(lines)
        self.add_instances(listed)
        end = 0.0
        for line in listed:
            at = LEADING_SECONDS + line.at_ms / 1000
            end = max(end, at)
            if isinstance(line, TraceEvent):
                end = max(end, at + line.seconds)
                self.world.schedule.at(at, self.faults.apply, line)
            else:
                self.expected[line.id] = line
                self.world.schedule.at(at, self.arrive, line)
        self.world.run_until(end + SETTLE_SECONDS)
        return self.totals()

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
            place = place_of(name, number, self.world.configuration)
            self.faults.add_instance(name, place)

    def arrive(self, line: TraceRequest) -> None:
        """Lets a request arrive, at another instance if its own is away."""
        instance = self.faults.balance(line.instance)
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
            (line.service, line.key), self.callers_key(line.key)
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

    def callers_key(self, named: str) -> str:
        """Returns the idempotency key that a caller would make now.

        A trace may name keys as it likes; one that is a key already is kept.
        """
        if keys.created_at_ms(named) is not None:
            return named
        digest = hashlib.blake2b(named.encode(), digest_size=8).digest()
        return keys.make_key(self.world.wall_ms, int.from_bytes(digest, "big"))

    def totals(self) -> Totals:
        """Checks stated outcomes and promises."""
        totals = Totals()
        answered = {one.request.request_id: one for one in self.world.ended}
        for request_id, line in self.expected.items():
            totals.unmet += unmet(line, answered.get(request_id))
        totals.findings = check_world(
            self.world,
            self.faults.configurations,
            self.faults.leaving_since,
            self.faults.cut_off,
        )
        totals.figures = self.figures(totals)
        return totals

    def figures(self, totals: Totals) -> dict[str, Any]:
        """Returns the figures that the last line prints."""
        ended = self.world.ended
        searches = [e for e in ended if isinstance(e.request, SearchRequest)]
        good = [e for e in searches if e.answer.outcome in ANSWERED]
        times = sorted(one.seconds * 1000 for one in good)
        covered = [one.answer.coverage for one in searches]
        figures: dict[str, Any] = {
            "requests": len(self.expected),
            "unmet": len(totals.unmet),
        }
        for promise in PROMISES:
            figures[promise] = totals.findings.counts[promise]
        figures["p50_ms"] = quantile(times, 0.5)
        figures["p99_ms"] = quantile(times, 0.99)
        figures["mean_coverage"] = mean(covered)
        figures["extra_load"] = self.world.extra_load()
        return figures


def sample_service_time(
    slowness: dict[str, float], name: str, rng: random.Random
) -> float:
    """Returns the seconds that one attempt takes at an upstream."""
    seconds = rng.lognormvariate(
        math.log(SERVICE_TIME_MEDIAN_S), SERVICE_TIME_SPREAD
    )
    return seconds * slowness.get(name, 1.0)


def place_of(name: str, number: int, configuration: Configuration) -> str:
    """Returns an instance's data centre: the one that its name begins with.

    Other names are spread over the data centres in turn.
    """
    places = sorted({u.data_centre for u in configuration.upstreams.values()})
    for place in sorted(places, key=len, reverse=True):
        if name.startswith(place):
            return place
    return places[number % len(places)]


def unmet(line: TraceRequest, ended: Ended | None) -> list[str]:
    """Returns what a request's expectation states and did not hold."""
    if ended is None:
        return [f"{line.id}: no answer"]
    answer, expect = ended.answer, line.expect
    latency_ms = ended.seconds * 1000
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


def within(value: float, least: float | None, most: float | None) -> bool:
    """Tells whether a value keeps the bounds that are stated."""
    if least is not None and value < least:
        return False
    return most is None or value <= most


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
