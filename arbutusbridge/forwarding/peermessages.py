"""Handling of messages from other instances.

These are requests to query shards for them, and replies to our requests.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    attempts,
    canaries,
    delegation,
    notices,
    overflowevidence,
    peerreplies,
)
from arbutusbridge.forwarding.conclusion import abandon, conclude_or_set_timer
from arbutusbridge.forwarding.dispatch import start_exchange
from arbutusbridge.forwarding.exchange import Exchange, Part
from arbutusbridge.forwarding.gather import (
    DECLINE_EXCLUSIONS_S,
    DeclineReason,
    GatherAck,
    GatherCancel,
    GatherRelease,
    GatherReply,
    GatherRequest,
    SendGatherMessage,
)
from arbutusbridge.forwarding.messages import AttemptEnd, UpstreamReply
from arbutusbridge.forwarding.model import CallerRequest
from arbutusbridge.forwarding.upstreams import UNREACHABLE_EXCLUSION_S

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import DelegatedGroup
    from arbutusbridge.forwarding.model import Route
    from arbutusbridge.forwarding.shared import SharedState

MAX_RELAY_LAG_S = 0.04
"""Smoothed lag of timers above which an instance declines relayed requests; it
delays them by about half of the shortest target time of the users."""

MAX_URGENT_RELAY_LAG_S = 0.06
"""The same for the routes of the highest rank."""

PEER_REPLY_GRACE_S = 0.1
"""Time after the answer is due in which a busy peer may still reply; the shards
that it has accepted cannot be queried by another instance."""


def on_ack(
    message: GatherAck, shared: SharedState, now: float, out: list[object]
) -> None:
    """Processes the acknowledgement or rejection of a peer."""
    group = shared.gather.groups.get(message.gather_id)
    if group is None or group.acknowledged:
        return
    overflowevidence.observe_ack(message, group, shared, now)
    if message.declined is not None:
        # A peer that declines has sent nothing to upstreams.
        exclusion_s = DECLINE_EXCLUSIONS_S[message.declined]
        group.peer.excluded_until = now + exclusion_s
        if group.exchange.relayed:
            shared.count(f"relay_{message.declined.value}")
        if not group.given_up:
            delegation.give_up(group, delegation.DECLINED, shared, now, out)
            conclude_or_set_timer(group.exchange, shared, now, out)
        return
    group.acknowledged = True
    shared.gather.peer_table.record_ack(group.peer, now - group.sent_at)
    canaries.on_acknowledged(group, shared, now)
    # If no reply arrives by then, the peer has most likely stopped.
    exchange = group.exchange
    reply_due_at = exchange.give_up_at
    if exchange.route.shards:
        due_at = max(exchange.partial_answer_at, now)
        reply_due_at = due_at + PEER_REPLY_GRACE_S
    group.check_at = math.inf if group.given_up else reply_due_at
    if group.given_up:
        # The shards were taken back, but the peer queries them as well: the
        # upstreams get extra arrivals.
        shared.count("peer_late")
        for part in group.parts:
            shared.budget(part.service, now).record_extra(now)
    elif group is exchange.canary_group:
        conclude_or_set_timer(exchange, shared, now, out)


def on_reply(
    message: GatherReply, shared: SharedState, now: float, out: list[object]
) -> None:
    """Processes the reply of a peer for a group of shards.

    Its records are merged from all shards that it covers. It therefore replaces
    the replies that arrived directly for them meanwhile, and the previous reply
    of the same peer.
    """
    group = shared.gather.groups.get(message.gather_id)
    if group is None:
        return
    exchange = group.exchange
    if not is_reply_to(group, message):
        detail = {"peer": group.peer.name, "shards": sorted(message.stamps)}
        request_id = exchange.request.request_id
        out.append(Decision(request_id, "peer_reply_ignored", detail))
        return
    overflowevidence.observe_group(message, group, shared, now)
    group.replied_at = now
    group.covered = len(message.stamps)
    if message.is_final:
        del shared.gather.groups[message.gather_id]
        group.check_at = math.inf
    elif not group.given_up:
        period_s = peerreplies.update_period_s(exchange)
        group.check_at = now + period_s + PEER_REPLY_GRACE_S
    if exchange.relayed:
        shared.count("relay_replied")
    if group.superseded:
        return
    if not exchange.route.shards:
        on_response(message, group, shared, now, out)
        return
    has_run = message.asked or message.stamps or not message.is_final
    group.not_run = not has_run
    exchange.peer_bodies[group.gather_id] = message.body
    for part in group.parts:
        stamp = message.stamps.get(part.service)
        if stamp is None and not message.is_final:
            # The peer still queries it.
            continue
        part.group = None
        if stamp is not None:
            attempts.drop_open_attempts(part, False, shared, out)
            part.given_up = False
            part.check_at = math.inf
            part.reply = UpstreamReply(0, AttemptEnd.RESULT, 200, stamp=stamp)
        elif part.service in message.held_back:
            # The canary of the peer has shown nothing yet.
            part.held_back = not exchange.has_result
            part.check_at = math.inf if part.held_back else now
        elif part.pending and not part.open_attempts:
            record_tried_upstreams(
                part, message.asked.get(part.service, []), shared
            )
            part.check_at = now
            if part.service in message.unsent:
                # The peer has counted the request already.
                part.counted = part.limited = True
            else:
                part.arrivals += 1
                part.may_have_run = True
    attempts.check_parts(exchange, shared, now, out)
    conclude_or_set_timer(exchange, shared, now, out)


def is_reply_to(group: DelegatedGroup, message: GatherReply) -> bool:
    """Returns whether a reply is the latest one for a group.

    A link that is lost and opened again may deliver an earlier update later.
    """
    services = {part.service for part in group.parts}
    return (
        message.stamps.keys() <= services
        and len(message.stamps) >= group.covered
    )


def on_response(
    message: GatherReply,
    group: DelegatedGroup,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Processes the outcome of a request without shards that a peer relayed."""
    exchange = group.exchange
    (part,) = group.parts
    part.group = None
    group.not_run = not message.may_have_run and message.response is None
    response = message.response
    if response is not None:
        reply = UpstreamReply(
            0,
            AttemptEnd.RESULT if response.is_result else AttemptEnd.FAILED,
            response.status,
            response.headers,
            response.body,
            response.stamp,
        )
        if response.is_result:
            part.reply = reply
        else:
            part.failure = reply
            part.given_up = True
    else:
        part.may_have_run = part.may_have_run or message.may_have_run
        if not part.may_have_run:
            dead_until = now + UNREACHABLE_EXCLUSION_S
            shared.isolation.dead_services[part.service] = dead_until
        exchange.peer_retry_after_s = message.retry_after_s
        part.check_at = now
        part.given_up = part.may_have_run
    conclude_or_set_timer(exchange, shared, now, out)


def record_tried_upstreams(
    part: Part, names: list[str], shared: SharedState
) -> None:
    """Records the upstreams that a peer tried, since a route limits them."""
    for name in names:
        upstream = shared.directory.by_name.get(name)
        if upstream is None:
            part.asked_by_peers += 1
        elif upstream not in part.asked:
            part.asked.append(upstream)


def on_gather_request(
    message: GatherRequest, shared: SharedState, now: float, out: list[object]
) -> None:
    """Queries shards for a peer, if the configuration here contains them."""
    gather = shared.gather
    table = shared.table
    route = table.find(message.host, message.target) if table else None
    taken = overflowevidence.build_ack(
        message, find_decline_reason(message, route, shared), shared, now
    )
    out.append(SendGatherMessage(message.reply_to, taken))
    if taken.declined is not None:
        shared.count(f"declined_{taken.declined.value}")
        return
    assert route is not None and table is not None
    give_up_at = now + message.give_up_in_s
    request = CallerRequest(
        message.request_id,
        message.method,
        message.target,
        message.host,
        message.headers,
        message.body,
        give_up_at,
        now,
    )
    exchange = Exchange(
        request,
        route,
        table.configuration.version,
        [
            Part(service, asked_by_peers=message.asked_already)
            for service in message.services
        ],
        now + message.answer_in_s,
        give_up_at,
        peer_request=message,
        second_upstream_at=now + message.alone_s,
    )
    if message.accepts_updates and route.shards:
        exchange.next_update_at = exchange.partial_answer_at
    exchange.canary_count = message.canary_count
    if route.shards and shared.suspicion(request, now) is not None:
        exchange.canary_count = max(1, message.canary_count)
    gather.taken[message.reply_to, message.gather_id] = exchange
    if shared.is_quarantined(request, now):
        # Sent before the empty reply, so that the peer does not retry.
        notice = notices.build_notice([request.fingerprint], False, shared, now)
        out.append(SendGatherMessage(message.reply_to, notice))
    start_exchange(exchange, shared, now, out)


def find_decline_reason(
    message: GatherRequest, route: Route | None, shared: SharedState
) -> DeclineReason | None:
    """Returns why a request of a peer is not accepted, None if it is.

    A busy instance declines what a cut-off peer relays, which comes on top of
    its own callers' requests, and routine requests before urgent ones.
    """
    if not shared.gather.accepts_requests:
        return DeclineReason.STOPPING
    if route is None:
        return DeclineReason.OUTDATED
    known = {*route.shards, *(one.name for one in route.services)}
    if not set(message.services) <= known:
        return DeclineReason.OUTDATED
    if shared.isolation.isolated:
        return DeclineReason.ISOLATED
    max_lag_s = MAX_URGENT_RELAY_LAG_S
    if route.urgency > 0:
        max_lag_s = MAX_RELAY_LAG_S
    if message.relayed and shared.lag_s > max_lag_s:
        return DeclineReason.BUSY
    return None


def on_release(
    message: GatherRelease,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Sends the shards that wait for a canary, as another one has a result."""
    key = (message.reply_to, message.gather_id)
    exchange = shared.gather.taken.get(key)
    if exchange is not None:
        exchange.is_cleared = True
        conclude_or_set_timer(exchange, shared, now, out)


def on_cancel(
    message: GatherCancel, shared: SharedState, now: float, out: list[object]
) -> None:
    """Stops querying shards for a peer."""
    key = (message.reply_to, message.gather_id)
    exchange = shared.gather.taken.get(key)
    if exchange is not None:
        out += abandon(exchange.request, shared, now)
