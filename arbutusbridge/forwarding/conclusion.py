"""Final answers: when a request is answered, and with what."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.httpstatus import NOT_RUN_STATUSES
from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    canaries,
    delegation,
    limits,
    notices,
    pauses,
    peerreplies,
    placement,
    quotas,
)
from arbutusbridge.forwarding.attempts import drop_open_attempts
from arbutusbridge.forwarding.merge import merge_greatest
from arbutusbridge.forwarding.messages import (
    UNCERTAIN_REFUSALS,
    AttemptEnd,
    MergedAnswer,
    Refusal,
    RefusedAnswer,
    RelayedAnswer,
    SetRequestTimer,
    WithdrawAttempt,
)

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange, Part
    from arbutusbridge.forwarding.messages import UpstreamReply
    from arbutusbridge.forwarding.model import CallerRequest
    from arbutusbridge.forwarding.shared import SharedState

UNSERVABLE_RETRY_AFTER_S = 0.5
"""Retry-after delay while too few upstreams are known; announcements of new
ones arrive within about this time."""

SERVED_OUTCOMES = frozenset({"relayed", "partial", "complete"})
"""Outcomes of requests that upstreams ran to the end."""

FAILED_RETRY_AFTER_S = 0.1
"""Retry-after delay after upstreams failed; by then most have recovered or are
excluded."""


def conclude_or_set_timer(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Answers a request that is complete or due, or sets its next timer."""
    canaries.release_if_due(exchange, shared, now, out)
    conclude(exchange, shared, now, out)
    if exchange.finished:
        return
    times = [
        part.check_at
        for part in exchange.parts
        if part.pending and part.group is None
    ]
    times += [
        group.check_at
        for group in exchange.groups
        if not group.given_up and group.gather_id in shared.gather.groups
    ]
    times.append(exchange.give_up_at)
    if any(part.held_back for part in exchange.parts):
        if exchange.next_canary_at > now:
            times.append(exchange.next_canary_at)
        times += [
            part.crash_check_until
            for part in exchange.parts
            if part.crash_check_until > now
        ]
    if exchange.partial_answer_at > now:
        times.append(exchange.partial_answer_at)
    times.append(exchange.next_update_at)
    earliest = min(times)
    if earliest < exchange.timer_at:
        exchange.timer_at = earliest
        out.append(SetRequestTimer(earliest, exchange.request))


def conclude(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Answers a request as soon as waiting longer cannot improve the answer."""
    if exchange.finished:
        return
    if exchange.route.shards:
        conclude_sharded(exchange, shared, now, out)
    else:
        conclude_unsharded(exchange, shared, now, out)


def conclude_sharded(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Answers a sharded request once its answer cannot improve in time."""
    if exchange.peer_request is not None:
        conclude_delegated(exchange, shared, now, out)
        return
    answered = exchange.answered
    sufficient = exchange.is_sufficient(answered)
    overdue = now >= exchange.partial_answer_at
    if (answered == exchange.attainable and sufficient) or (
        sufficient and overdue
    ):
        answer_merged(exchange, shared, now, out)
    elif not exchange.is_sufficient(exchange.attainable):
        refuse(exchange, shared, now, out)
    elif now >= exchange.give_up_at:
        refuse(exchange, shared, now, out, timed_out=True)


def conclude_delegated(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Replies to the peer that delegated shards.

    The peer decides itself whether they suffice, so that they are queried until
    none is left that may still reply. A peer that accepts updates gets those
    that have replied meanwhile.
    """
    overdue = now >= exchange.partial_answer_at
    updates = not math.isinf(exchange.next_update_at)
    if (
        exchange.answered == exchange.attainable
        or now >= exchange.give_up_at
        or (overdue and not updates)
    ):
        answer_merged(exchange, shared, now, out)
    elif now >= exchange.next_update_at:
        update_regularly(exchange, shared, now, out)
    elif (
        exchange.peer_request is not None
        and exchange.peer_request.reports_first
        and exchange.answered
        and not exchange.updated_with
    ):
        send_update(exchange, shared, now, out)


def update_regularly(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends an update that is due, if there is news.

    That at the target is sent in any case, since the peer gives up one that
    does not reply.
    """
    is_first = exchange.next_update_at == exchange.partial_answer_at
    if is_first:
        exchange.give_up_at = min(
            exchange.give_up_at, now + peerreplies.update_period_s(exchange)
        )
    if is_first or exchange.answered > exchange.updated_with:
        send_update(exchange, shared, now, out)
    exchange.next_update_at = now + peerreplies.update_interval_s(exchange)


def send_update(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends the shards that have replied; the others are still queried."""
    exchange.updated_with = exchange.answered
    record_success(exchange, "partial", shared, now, out)
    bodies = [part.reply.body for part in exchange.parts if part.reply]
    body = merge_greatest(bodies, exchange.route.max_records)
    peerreplies.send_reply(exchange, body, out, is_final=False)


def conclude_unsharded(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Answers a request to one service with the response of its upstream."""
    part = exchange.parts[0]
    reply = find_response(part)
    if reply is not None:
        if exchange.peer_request is not None:
            peerreplies.send_response(exchange, reply, None, out)
        else:
            out.append(RelayedAnswer(exchange.request, reply))
        finish(exchange, shared, now, out, "relayed", status=reply.status)
    elif part.given_up:
        refuse(exchange, shared, now, out)
    elif now >= exchange.give_up_at:
        refuse(exchange, shared, now, out, timed_out=True)


def find_response(part: Part) -> UpstreamReply | None:
    """Returns the response of an upstream to answer with, None without one.

    A failure reported by the upstream itself is relayed unchanged, except one
    whose status promises that the request has not run. The upstream states with
    another header that it has not run a request.
    """
    failure = part.failure
    if part.reply is not None or not part.given_up or failure is None:
        return part.reply
    if (
        failure.end is not AttemptEnd.FAILED
        or not failure.stamp
        or failure.status in NOT_RUN_STATUSES
    ):
        return None
    return failure


def answer_merged(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Answers with the merged records of the shards that replied."""
    replies = [part.reply for part in exchange.parts if part.reply is not None]
    missing = describe_missing(exchange, shared)
    bodies = [reply.body for reply in replies]
    bodies += exchange.peer_bodies.values()
    body = merge_greatest(bodies, exchange.route.max_records)
    outcome = "partial" if missing else "complete"
    if exchange.peer_request is not None:
        peerreplies.send_reply(exchange, body, out)
    else:
        stamps = [reply.stamp for reply in replies]
        out.append(MergedAnswer(exchange.request, stamps, len(missing), body))
    finish(exchange, shared, now, out, outcome, missing=missing)


def describe_missing(exchange: Exchange, shared: SharedState) -> dict[str, str]:
    """Returns the state of each part without a reply, for the log.

    Open attempts are listed with the time at which they were sent, in
    milliseconds since the request arrived.
    """
    missing = {}
    for part in exchange.parts:
        if part.reply is not None:
            continue
        arrived = exchange.request.arrived
        attempts = [
            f"{one.upstream.name}@{round((one.sent_at - arrived) * 1000)}"
            for one in part.open_attempts
        ]
        if part.group is not None:
            missing[part.service] = f"peer {part.group.peer.name}"
        elif attempts:
            missing[part.service] = "open " + " ".join(attempts)
        elif not part.sends and (
            obstacle := placement.find_obstacle(exchange, part.service, shared)
        ):
            missing[part.service] = obstacle
        elif part.given_up and exchange.relayed and not part.may_have_run:
            missing[part.service] = "isolated"
        elif part.limited:
            missing[part.service] = "limited"
        elif part.service in shared.invalid_services:
            missing[part.service] = "invalid_entry"
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
    """Refuses a request; the refusal states whether it may have run."""
    if shared.is_quarantined(exchange.request, now):
        ran = exchange.may_have_run
        refusal = Refusal.CRASHED if ran else Refusal.QUARANTINED
        retry = shared.quarantine_left_s(exchange.request, now)
    elif not exchange.may_have_run:
        refusal, retry = Refusal.UNSERVABLE, UNSERVABLE_RETRY_AFTER_S
        limited = [one.service for one in exchange.parts if one.limited]
        if exchange.relayed and shared.isolation.isolated:
            refusal = Refusal.ISOLATED
        if exchange.peer_retry_after_s is not None:
            retry = exchange.peer_retry_after_s
        paused_s = pauses.retry_after_s(exchange, shared, now)
        if placement.is_kept_by_homes(exchange, shared):
            refusal = Refusal.OUTSIDE_HOMES
        elif paused_s is not None:
            refusal, retry = Refusal.LIMITED, paused_s
        elif limited:
            refusal = Refusal.LIMITED
            retry = limits.retry_after_s(exchange, limited, shared, now)
    elif timed_out:
        refusal, retry = Refusal.TIMED_OUT, FAILED_RETRY_AFTER_S
    else:
        refusal, retry = Refusal.LOST, FAILED_RETRY_AFTER_S
    if refusal not in UNCERTAIN_REFUSALS:
        quotas.give_back(exchange, shared, now)
    detail: dict[str, object] = {"missing": describe_missing(exchange, shared)}
    failure = exchange.parts[0].failure
    if failure is not None and failure.status and not exchange.route.shards:
        detail["upstream_status"] = failure.status
    if exchange.peer_request is not None and not exchange.route.shards:
        peerreplies.send_response(exchange, None, retry, out)
    elif exchange.peer_request is not None:
        # The peer decides itself whether the replies so far are sufficient.
        bodies = [part.reply.body for part in exchange.parts if part.reply]
        body = merge_greatest(bodies, exchange.route.max_records)
        peerreplies.send_reply(exchange, body, out)
    else:
        out.append(RefusedAnswer(exchange.request, refusal, retry))
    finish(exchange, shared, now, out, refusal.value, **detail)


def finish(
    exchange: Exchange,
    shared: SharedState,
    now: float,
    out: list[object],
    outcome: str,
    **detail: object,
) -> None:
    """Ends a request and logs its outcome in one line.

    The answer is sent before this, so that the caller does not wait for the
    log.
    """
    exchange.finished = True
    record_success(exchange, outcome, shared, now, out)
    chosen = ",".join(
        f"{part.service}={part.asked[-1].name}"
        for part in exchange.parts
        if part.asked
    )
    delegation.remove_exchange(exchange, shared, out)
    for part in exchange.parts:
        drop_open_attempts(part, False, shared, out)
    del shared.exchanges[exchange.request]
    if exchange.relayed:
        detail["relayed"] = True
    if exchange.groups:
        detail["peers"] = [group.describe() for group in exchange.groups]
    if exchange.peer_request is not None:
        detail["for_peer"] = "{}:{}".format(*exchange.peer_request.reply_to)
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
                "diverted": exchange.diverted,
                "store_age_ms": shared.store_age_ms(now),
                "response_age_ms": shared.response_age_ms(now),
                "chosen": chosen,
                **detail,
            },
        )
    )


def record_success(
    exchange: Exchange,
    outcome: str,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Ends the suspicion against a request that did not crash its upstreams.

    Results of other shards do not excuse one that lost several upstreams. The
    reply to a peer may be empty, which says nothing about the request.
    """
    if outcome not in SERVED_OUTCOMES or not exchange.has_result:
        return
    if any(part.losses > 1 and part.reply is None for part in exchange.parts):
        return
    if exchange.route.shards or shared.quarantine.entries:
        request = exchange.request
        fingerprint = request.fingerprint
        if shared.quarantine.on_success(fingerprint, request.host, now):
            detail: dict[str, object] = {
                "fingerprint": fingerprint,
                "source": "answer",
                "outcome": outcome,
                "answered": exchange.answered,
            }
            out.append(Decision(request.request_id, "suspicion_ended", detail))
            notices.broadcast_result(fingerprint, shared, now, out)


def end_quarantined(
    fingerprint: str, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends no further attempts of the open requests with a fingerprint.

    Attempts that upstreams run already may still be answered.
    """
    for exchange in list(shared.exchanges.values()):
        if exchange.request.fingerprint != fingerprint:
            continue
        for part in exchange.pending_parts:
            if part.held_back or (not part.open_attempts and not part.group):
                part.held_back = False
                part.given_up = True
            out += [
                WithdrawAttempt(attempt.attempt_id)
                for attempt in part.open_attempts
            ]
        conclude_or_set_timer(exchange, shared, now, out)


def abandon(
    request: CallerRequest, shared: SharedState, now: float
) -> list[object]:
    """Drops the request of a caller that closed its connection.

    Attempts of an idempotent request are cancelled at once. Any other request
    is left to run to its end, since it cannot be undone.
    """
    out: list[object] = []
    exchange = shared.exchanges.pop(request, None)
    if exchange is None:
        return out
    exchange.finished = True
    delegation.remove_exchange(exchange, shared, out)
    # After an update, the caller has most likely got its answer, and replies
    # that are due soon leave their connections usable.
    cancels = exchange.route.idempotent and not exchange.updated_with
    for part in exchange.parts:
        drop_open_attempts(part, cancels, shared, out)
    age_ms = round((now - request.arrived) * 1000)
    detail = {"route": exchange.route.name, "age_ms": age_ms}
    out.append(Decision(request.request_id, "caller_left", detail))
    return out
