"""When a request gets its final answer, and which."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import regional
from arbutusbridge.forwarding.attempts import drop_open
from arbutusbridge.forwarding.merge import greatest
from arbutusbridge.forwarding.messages import (
    Merged,
    Refusal,
    Refused,
    Relayed,
)

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.forwarder import Forwarder

UNSERVABLE_RETRY_S = 0.5
"""When to come back while too few upstreams are known; announcements of new
ones arrive within about this time."""

FAILED_RETRY_S = 0.1
"""When to come back after upstreams failed; most recover or are left out by
then."""


def conclude(
    exchange: Exchange, forwarder: Forwarder, now: float, out: list[object]
) -> None:
    """Answers once nothing is left that is worth the wait."""
    if exchange.finished:
        return
    if exchange.route.shards:
        conclude_sharded(exchange, forwarder, now, out)
    else:
        conclude_whole(exchange, forwarder, now, out)


def conclude_sharded(
    exchange: Exchange, forwarder: Forwarder, now: float, out: list[object]
) -> None:
    """Answers a request to many shards when it can't get better in time."""
    answered = exchange.answered
    # A peer that asked for these shards knows whether they are enough.
    enough = exchange.covers(answered) or exchange.gather is not None
    overdue = now >= exchange.answer_by
    if (answered == exchange.attainable and enough) or (enough and overdue):
        merge(exchange, forwarder, now, out)
    elif not exchange.covers(exchange.attainable):
        refuse(exchange, forwarder, now, out)
    elif now >= exchange.give_up_at:
        refuse(exchange, forwarder, now, out, timed_out=True)


def conclude_whole(
    exchange: Exchange, forwarder: Forwarder, now: float, out: list[object]
) -> None:
    """Answers a request to one service with its upstream's response."""
    part = exchange.parts[0]
    reply = part.reply
    failure = part.failure
    if reply is None and part.given_up and failure and failure.stamp:
        # A failure that the upstream answered itself is handed on as it is.
        reply = failure
    if reply is not None:
        out.append(Relayed(exchange.request, reply))
        finish(exchange, forwarder, now, out, "relayed", status=reply.status)
    elif part.given_up:
        refuse(exchange, forwarder, now, out)
    elif now >= exchange.give_up_at:
        refuse(exchange, forwarder, now, out, timed_out=True)


def merge(
    exchange: Exchange, forwarder: Forwarder, now: float, out: list[object]
) -> None:
    """Answers with the records of the shards that replied."""
    replies = [part.reply for part in exchange.parts if part.reply is not None]
    missing = describe_missing(exchange, forwarder)
    bodies = [reply.body for reply in replies] + exchange.gathered
    body = greatest(bodies, exchange.route.most_records)
    outcome = "partial" if missing else "complete"
    if exchange.gather is not None:
        regional.reply(exchange, body, out)
    else:
        stamps = [reply.stamp for reply in replies]
        out.append(Merged(exchange.request, stamps, len(missing), body))
    finish(exchange, forwarder, now, out, outcome, missing=missing)


def describe_missing(
    exchange: Exchange, forwarder: Forwarder
) -> dict[str, str]:
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
        elif forwarder.directory.services.get(part.service):
            missing[part.service] = "not_sent"
        else:
            missing[part.service] = "no_upstream"
    return missing


def refuse(
    exchange: Exchange,
    forwarder: Forwarder,
    now: float,
    out: list[object],
    timed_out: bool = False,
) -> None:
    """Answers that the request was not served, and whether it may have run."""
    if not exchange.may_have_run:
        refusal, retry = Refusal.UNSERVABLE, UNSERVABLE_RETRY_S
    elif timed_out:
        refusal, retry = Refusal.TIMED_OUT, FAILED_RETRY_S
    else:
        refusal, retry = Refusal.LOST, FAILED_RETRY_S
    missing = describe_missing(exchange, forwarder)
    if exchange.gather is not None:
        # What its shards have replied is of use to the peer in any case.
        bodies = [part.reply.body for part in exchange.parts if part.reply]
        body = greatest(bodies, exchange.route.most_records)
        regional.reply(exchange, body, out)
    else:
        out.append(Refused(exchange.request, refusal, retry))
    finish(exchange, forwarder, now, out, refusal.value, missing=missing)


def finish(
    exchange: Exchange,
    forwarder: Forwarder,
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
    forwarder.let_go(exchange, out)
    for part in exchange.parts:
        drop_open(part, False, forwarder, out)
    del forwarder.exchanges[exchange.request]
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
                "store_age_ms": forwarder.store_age_ms(now),
                "chosen": chosen,
                **detail,
            },
        )
    )
