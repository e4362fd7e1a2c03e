"""Promises, checked from what callers and upstreams saw."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.forwarding.merge import merge_greatest

if TYPE_CHECKING:
    from arbutusbridge.forwarding.model import Route
    from arbutusbridge.soak.record import Asked, Record, Run

CALM_S = 4.0
"""Time without a disturbance before a time bound holds, as the users set it."""

DRAIN_S = 3.0
"""Time after which a leaving upstream gets nothing, the users' shortest."""

LATE_S = 0.5
"""Time past a caller's deadline in which an answer still counts as given."""

MOST_OVER = 3
"""Requests of a run that may be run by more upstreams than their route allows,
as the users count; an instance that was cut off may not hear in time that
another asks its shards."""

RECOVER_S = 6.0
"""Time after the last disturbance after which requests are served again; the
users allow 12 s."""

RECOVERED_SHARE = 0.9
"""Share of the requests that are then served."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request did not run and never will."""

ENDING = ("kill", "pause", "stop", "caller path")
"""Disturbances of an instance after which a connection may end."""


@dataclass(frozen=True, slots=True)
class Breach:
    """A promise that was not kept.

    Attributes:
      promise: Which one.
      request_id: The request, empty if it is about several.
      detail: What was seen.
    """

    promise: str
    request_id: str
    detail: str


def runs_once(record: Record) -> Iterator[Breach]:
    """What is not idempotent runs at most once."""
    counts = Counter(run.request_id for run in record.runs if not run.shed)
    for asked in record.asked.values():
        count = counts[asked.request_id]
        if count > 1 and not route_of(record, asked).idempotent:
            detail = f"ran {count} times"
            yield Breach("runs_once", asked.request_id, detail)


def refusal_is_true(record: Record) -> Iterator[Breach]:
    """What was refused as not run has not run, if that matters."""
    ran = {run.request_id for run in record.runs if not run.shed}
    for asked in record.asked.values():
        answer = asked.answer
        if answer is None or answer.status not in NOT_RUN_STATUSES:
            continue
        idempotent = route_of(record, asked).idempotent
        if asked.request_id in ran and not idempotent:
            detail = f"status {answer.status}, and it ran"
            yield Breach("refusal_is_true", asked.request_id, detail)


def answer_is_the_upstream_s(record: Record) -> Iterator[Breach]:
    """A plain success is an upstream's whole response to this request."""
    runs = by_request(record)
    for asked in record.asked.values():
        answer = asked.answer
        if answer is None or not answer.good or route_of(record, asked).shards:
            continue
        if not any(
            run.stamp and (run.stamp, run.body) == (answer.stamp, answer.body)
            for run in runs[asked.request_id]
        ):
            detail = f"signature {answer.stamp or 'none'}"
            yield Breach("answer_is_the_upstream_s", asked.request_id, detail)


def merged_answer_is_whole(record: Record) -> Iterator[Breach]:
    """A merged success names its parts truly and holds their records."""
    runs = by_request(record)
    for asked in record.asked.values():
        answer = asked.answer
        routes = [route for _, route in record.routes(asked.route)]
        if answer is None or not answer.good or not routes[0].shards:
            continue
        parts = {run.stamp: run for run in runs[asked.request_id] if run.stamp}
        named = [parts[one] for one in answer.stamps if one in parts]
        services = [run.service for run in named]
        wrong = ""
        if len(named) != len(answer.stamps) or not named:
            wrong = "a signature of no run of it"
        elif len(set(services)) != len(services):
            wrong = "a shard twice"
        elif not any(
            makes_up(route, services, answer.missing) for route in routes
        ):
            wrong = f"{len(named)} parts, {answer.missing} missing"
        elif answer.body != merge_greatest(
            [run.body for run in named], routes[0].max_records
        ):
            wrong = "other records than the parts'"
        if wrong:
            yield Breach("merged_answer_is_whole", asked.request_id, wrong)


def makes_up(route: Route, services: list[str], missing: int) -> bool:
    """Tells whether parts and missing ones are a route's shards."""
    shards = set(route.shards)
    enough = len(services) >= route.least_coverage * len(shards) - 1e-9
    return (
        set(services) <= shards
        and len(services) + missing == len(shards)
        and enough
    )


def nothing_unasked(record: Record) -> Iterator[Breach]:
    """Upstreams run what callers sent, as they sent it."""
    for run in record.runs:
        asked = record.asked.get(run.request_id)
        if asked is None or asked.target != run.target:
            detail = f"{run.target} at {run.upstream}"
            yield Breach("nothing_unasked", run.request_id, detail)


def answered_in_time(record: Record) -> Iterator[Breach]:
    """Every request gets an answer, unless its instance was ended."""
    for asked in record.asked.values():
        due = asked.at + asked.wait_s + LATE_S
        if asked.left or due > record.ended:
            continue
        if record.disturbed(asked.instance, asked.at - CALM_S, due, *ENDING):
            continue
        if asked.answer is None:
            detail = f"nothing from {asked.instance}"
            yield Breach("answered_in_time", asked.request_id, detail)


def stop_answers_what_it_passed_on(record: Record) -> Iterator[Breach]:
    """A planned stop answers each request that it has passed on."""
    ran = {run.request_id for run in record.runs if not run.shed}
    for asked in record.asked.values():
        due = asked.at + asked.wait_s
        stopped = record.disturbed(asked.instance, asked.at, due, "stop")
        ended = record.disturbed(
            asked.instance, asked.at - CALM_S, due, *ENDING[:2], ENDING[3]
        )
        if not stopped or ended or asked.left or due > record.ended:
            continue
        if asked.answer is None and asked.request_id in ran:
            detail = f"passed on by {asked.instance} and not answered"
            yield Breach("stop_answers", asked.request_id, detail)


def proper_request_is_not_denied(record: Record) -> Iterator[Breach]:
    """No request of a route that every version has gets a 4xx of our own."""
    for asked in record.asked.values():
        answer = asked.answer
        if answer is None or answer.stamp:
            continue
        if 400 <= answer.status < 500 and answer.status not in (408, 421, 429):
            detail = f"status {answer.status}"
            yield Breach("not_denied", asked.request_id, detail)


def version_is_in_force(record: Record) -> Iterator[Breach]:
    """Calm instances handle requests by a version that may be in force."""
    for run in record.runs:
        asked = record.asked.get(run.request_id)
        if asked is None or not calm(record, asked):
            continue
        routes = record.routes(asked.route)
        last = max(
            (
                n
                for n, (at, _) in enumerate(routes)
                if at < asked.at - record.apply_s
            ),
            default=0,
        )
        allowed = {
            name for _, route in routes[last:] for name in services_of(route)
        }
        if run.service not in allowed:
            detail = f"run by {run.service}"
            yield Breach("version_in_force", run.request_id, detail)


def leaving_upstream_is_left(record: Record) -> Iterator[Breach]:
    """An upstream that leaves gets nothing new from calm instances."""
    for run in record.runs:
        asked = record.asked.get(run.request_id)
        left = record.leaving.get(run.upstream)
        if asked is None or left is None or run.at < left + DRAIN_S:
            continue
        if asked.at > left + DRAIN_S and calm(record, asked):
            detail = f"{run.upstream}, {run.at - left:.1f} s after it left"
            yield Breach("leaving_is_left", run.request_id, detail)


def extra_arrivals_are_bounded(record: Record) -> Iterator[Breach]:
    """Arrivals beyond the first of a request stay within the budget."""
    firsts: dict[str, list[float]] = defaultdict(list)
    extras: dict[str, list[float]] = defaultdict(list)
    seen = set()
    for run in sorted(record.runs, key=lambda one: one.at):
        key = (run.request_id, run.service)
        (extras if key in seen else firsts)[run.service].append(run.at)
        seen.add(key)
    for service, times in extras.items():
        for since in times:
            until = since + record.window_s
            extra = sum(since <= at < until for at in times)
            # Requests of the window before count where they are more.
            begin = since - record.window_s
            before = sum(begin <= at < since for at in firsts[service])
            inside = sum(since <= at < until for at in firsts[service])
            most = record.extra_ratio * max(before, inside)
            if extra > most + record.extra_slack:
                detail = f"{extra} in {record.window_s} s at {service}"
                yield Breach("extra_arrivals", "", detail)
                break


def upstreams_are_bounded(record: Record) -> Iterator[Breach]:
    """No more upstreams run a shard of a request than its route allows."""
    ran: dict[tuple[str, str], set[str]] = defaultdict(set)
    for run in record.runs:
        if not run.shed:
            ran[run.request_id, run.service].add(run.upstream)
    over = {}
    for (request_id, service), upstreams in ran.items():
        asked = record.asked.get(request_id)
        if asked is None:
            continue
        most = route_of(record, asked).most_upstreams
        if len(upstreams) > most:
            over[request_id] = f"{len(upstreams)} of {most} at {service}"
    if len(over) > MOST_OVER:
        for request_id, detail in over.items():
            yield Breach("upstreams_bounded", request_id, detail)


def recovers(record: Record) -> Iterator[Breach]:
    """After the last disturbance requests are served again."""
    ends = (one.until for one in record.disturbances)
    since = max(ends, default=0.0) + RECOVER_S
    late = [
        asked
        for asked in record.asked.values()
        if asked.at >= since
        and not asked.left
        and asked.at + asked.wait_s < record.ended
    ]
    served = sum(bool(one.answer and one.answer.good) for one in late)
    if late and served < RECOVERED_SHARE * len(late):
        yield Breach("recovers", "", f"{served} of {len(late)} served")


def processes_live(record: Record) -> Iterator[Breach]:
    """Processes end when they are told to, in time, and not otherwise."""
    for detail in record.unexpected:
        yield Breach("processes_live", "", detail)


PROMISES: tuple[Callable[[Record], Iterator[Breach]], ...] = (
    runs_once,
    refusal_is_true,
    answer_is_the_upstream_s,
    merged_answer_is_whole,
    nothing_unasked,
    answered_in_time,
    stop_answers_what_it_passed_on,
    proper_request_is_not_denied,
    version_is_in_force,
    leaving_upstream_is_left,
    extra_arrivals_are_bounded,
    upstreams_are_bounded,
    recovers,
    processes_live,
)


def check(record: Record) -> list[Breach]:
    """Returns every breach of a promise."""
    return [breach for promise in PROMISES for breach in promise(record)]


def calm(record: Record, asked: Asked) -> bool:
    """Tells whether time bounds hold for a request."""
    since = asked.at - CALM_S
    until = asked.ended_at or asked.at + asked.wait_s
    return not (
        record.disturbed(asked.instance, since, until)
        or record.disturbed("store", since, until)
    )


def route_of(record: Record, asked: Asked) -> Route:
    """Returns the route of a request; its kind never changes."""
    return record.routes(asked.route)[0][1]


def services_of(route: Route) -> tuple[str, ...]:
    """Returns the services that a route may go to."""
    return route.shards or tuple(one.name for one in route.services)


def by_request(record: Record) -> dict[str, list[Run]]:
    """Returns the runs of each request."""
    found: dict[str, list[Run]] = defaultdict(list)
    for run in record.runs:
        found[run.request_id].append(run)
    return found
