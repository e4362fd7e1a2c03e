"""When a request gets its final answer, and which."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import regional
from arbutusbridge.forwarding.attempts import drop_open
from arbutusbridge.forwarding.merge import greatest
from arbutusbridge.forwarding.messages import (
    MergedAnswer,
    Refusal,
    RefusedAnswer,
    RelayedAnswer,
    SetTimer,
)

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.model import CallerRequest
    from arbutusbridge.forwarding.shared import SharedState

UNSERVABLE_RETRY_AFTER_S = 0.5
"""When to come back while too few upstreams are known; announcements of new
ones arrive within about this time."""

FAILED_RETRY_AFTER_S = 0.1
"""When to come back after upstreams failed; most recover or are left out by
then."""


def follow_up(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Answers a request if it is time, or sets its next timer."""
    conclude(exchange, shared, now, out)
    if exchange.finished:
        return
    times = [part.look_at for part in exchange.parts if part.pending]
    times += [
        group.look_at
        for group in exchange.groups
        if not group.given_up and group.gather_id in shared.gather.groups
    ]
    times.append(exchange.give_up_at)
    if exchange.answer_by > now:
        times.append(exchange.answer_by)
    earliest = min(times)
    if earliest < exchange.wake_at:
        exchange.wake_at = earliest
        out.append(SetTimer(earliest, exchange.request))


def conclude(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Answers once nothing is left that is worth the wait."""
    if exchange.finished:
        return
    if exchange.route.shards:
        conclude_sharded(exchange, shared, now, out)
    else:
        conclude_whole(exchange, shared, now, out)


def conclude_sharded(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Answers a request to many shards when it can't get better in time."""
    answered = exchange.answered
    # A peer that asked for these shards knows whether they are enough.
    enough = exchange.covers(answered) or exchange.gather is not None
    overdue = now >= exchange.answer_by
    if (answered == exchange.attainable and enough) or (enough and overdue):
        merge(exchange, shared, now, out)
    elif not exchange.covers(exchange.attainable):
        refuse(exchange, shared, now, out)
    elif now >= exchange.give_up_at:
        refuse(exchange, shared, now, out, timed_out=True)


def conclude_whole(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Answers a request to one service with its upstream's response."""
    part = exchange.parts[0]
    reply = part.reply
    failure = part.failure
    if reply is None and part.given_up and failure and failure.stamp:
        # A failure that the upstream answered itself is handed on as it is.
        reply = failure
    if reply is not None:
        out.append(RelayedAnswer(exchange.request, reply))
        finish(exchange, shared, now, out, "relayed", status=reply.status)
    elif part.given_up:
        refuse(exchange, shared, now, out)
    elif now >= exchange.give_up_at:
        refuse(exchange, shared, now, out, timed_out=True)


def merge(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Answers with the records of the shards that replied."""
    replies = [part.reply for part in exchange.parts if part.reply is not None]
    missing = describe_missing(exchange, shared)
    bodies = [reply.body for reply in replies] + exchange.gathered
    body = greatest(bodies, exchange.route.most_records)
    outcome = "partial" if missing else "complete"
    if exchange.gather is not None:
        regional.reply(exchange, body, out)
    else:
        stamps = [reply.stamp for reply in replies]
        out.append(MergedAnswer(exchange.request, stamps, len(missing), body))
    finish(exchange, shared, now, out, outcome, missing=missing)


def describe_missing(exchange: Exchange, shared: SharedState) -> dict[str, str]:
    """Returns what became of each part without a reply, for the log.

    Open attempts come with the milliseconds since the request arrived.
    """
    missing = {}
    for part in exchange.parts:
        if part.reply is not None:
            continue
        arrived = exchange.request.arrived
        attempts = [
            f"{one.upstream.name}@{round((one.sent_at - arrived) * 1000)}"
            for one in part.open
        ]
        if part.group is not None:
            missing[part.service] = f"peer {part.group.peer.name}"
        elif attempts:
            missing[part.service] = "open " + " ".join(attempts)
        elif part.failure is not None:
            missing[part.service] = part.failure.end.value
        elif shared.directory.services.get(part.service):
            missing[part.service] = "not_sent"
        else:
            missing[part.service] = "no_upstream"
    return missing


def refuse(
    exchange: Exchange,
    shared: SharedState,
    now: float,
    out: list[object],
    timed_out: bool = False,
) -> None:
    """Answers that the request was not served, and whether it may have run."""
    if not exchange.may_have_run:
        refusal, retry = Refusal.UNSERVABLE, UNSERVABLE_RETRY_AFTER_S
    elif timed_out:
        refusal, retry = Refusal.TIMED_OUT, FAILED_RETRY_AFTER_S
    else:
        refusal, retry = Refusal.LOST, FAILED_RETRY_AFTER_S
    missing = describe_missing(exchange, shared)
    if exchange.gather is not None:
        # What its shards have replied is of use to the peer in any case.
        bodies = [part.reply.body for part in exchange.parts if part.reply]
        body = greatest(bodies, exchange.route.most_records)
        regional.reply(exchange, body, out)
    else:
        out.append(RefusedAnswer(exchange.request, refusal, retry))
    finish(exchange, shared, now, out, refusal.value, missing=missing)


def finish(
    exchange: Exchange,
    shared: SharedState,
    now: float,
    out: list[object],
    outcome: str,
    **detail: object,
) -> None:
    """Ends a request and logs how it went, in one line.

    Its answer goes out before this, so that the caller doesn't wait for it.
    """
    exchange.finished = True
    chosen = ",".join(
        f"{part.service}={part.asked[-1].name}"
        for part in exchange.parts
        if part.asked
    )
    regional.let_go(exchange, shared, out)
    for part in exchange.parts:
        drop_open(part, False, shared, out)
    del shared.exchanges[exchange.request]
    if exchange.groups:
        detail["peers"] = [group.describe() for group in exchange.groups]
    if exchange.gather is not None:
        detail["for_peer"] = "{}:{}".format(*exchange.gather.reply_to)
    out.append(
        Decision(
            exchange.request.request_id,
            "answer",
            {
                "outcome": outcome,
                "route": exchange.route.name,
                "version": exchange.version,
                "ms": round((now - exchange.request.arrived) * 1000, 1),
                "parts": len(exchange.parts),
                "answered": exchange.answered,
                "retries": exchange.retries,
                "hedges": exchange.hedges,
                "store_age_ms": shared.store_age_ms(now),
                "chosen": chosen,
                **detail,
            },
        )
    )


def abandon(
    request: CallerRequest, shared: SharedState, now: float
) -> list[object]:
    """Takes the end of a caller's connection.

    Work that may be repeated is stopped at once; what runs once is let
    run, since it can't be undone.
    """
    out: list[object] = []
    exchange = shared.exchanges.pop(request, None)
    if exchange is None:
        return out
    exchange.finished = True
    regional.let_go(exchange, shared, out)
    for part in exchange.parts:
        drop_open(part, exchange.route.idempotent, shared, out)
    age_ms = round((now - request.arrived) * 1000)
    detail = {"route": exchange.route.name, "age_ms": age_ms}
    out.append(Decision(request.request_id, "caller_left", detail))
    return out
