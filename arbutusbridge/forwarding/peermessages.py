"""Handling of messages from other instances.

These are requests to query shards for them, and replies to our requests.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.httpstatus import is_success_status, is_valid_status
from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    attempts,
    canaries,
    delegation,
    notices,
    overflowevidence,
    peerreplies,
    routeterms,
)
from arbutusbridge.forwarding.accounts import find_homes, find_urgency
from arbutusbridge.forwarding.conclusion import abandon, conclude_or_set_timer
from arbutusbridge.forwarding.dispatch import start_exchange
from arbutusbridge.forwarding.exchange import Exchange, Part
from arbutusbridge.forwarding.gather import (
    DECLINE_EXCLUSIONS_S,
    DeclineReason,
    GatherAck,
    GatherCancel,
    GatherConfirm,
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
    from arbutusbridge.forwarding.model import Account, Route
    from arbutusbridge.forwarding.shared import SharedState

MAX_RELAY_LAG_S = 0.04
"""Smoothed lag of timers above which an instance declines relayed requests; it
delays them by about half of the shortest target time of the users."""

MAX_URGENT_RELAY_LAG_S = 0.06
"""The same for the routes of the highest rank."""

MAX_CONFIRMED_TARGET_S = 0.2
"""Longest target of the routes whose acknowledgements are confirmed. An
acknowledgement may take some 40 ms and a hedge to another region as long; a
longer target leaves time for both, one after the other."""

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
    if confirms_ack(group):
        delegation.notify_peer(group, GatherConfirm, shared, out)
    if group.given_up:
        # The shards were taken back, but the peer queries them as well: the
        # upstreams get extra arrivals.
        shared.count("peer_late")
        for part in group.parts:
            shared.budget(part.service, now).record_extra(now)
    elif group is exchange.canary_group:
        conclude_or_set_timer(exchange, shared, now, out)


def confirms_ack(group: DelegatedGroup) -> bool:
    """Returns whether to tell a peer that its acknowledgement has arrived.

    A peer that does not know this waits, before it tries a second upstream of a
    shard, for as long as an acknowledgement may take. For a short target that
    is most of the time in which a hedge can still be answered.
    """
    exchange = group.exchange
    return (
        not group.given_up
        and not exchange.relayed
        and bool(exchange.route.shards)
        and exchange.route.target_s <= MAX_CONFIRMED_TARGET_S
        and group.peer.knows_confirmations
    )


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
    group.not_run = not has_run and not message.may_have_run
    if routeterms.is_truncated(message, exchange.route):
        # An earlier reply may have covered some of its shards.
        message = routeterms.discard_truncated(message, group, shared, out)
    else:
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
    if response is not None and not is_valid_status(response.status):
        on_invalid_status(response.status, group, part, shared, now, out)
    elif response is not None:
        is_result = response.is_result and is_success_status(response.status)
        reply = UpstreamReply(
            0,
            AttemptEnd.RESULT if is_result else AttemptEnd.FAILED,
            response.status,
            response.headers,
            response.body,
            response.stamp,
        )
        if is_result:
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


def on_invalid_status(
    status: int,
    group: DelegatedGroup,
    part: Part,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Treats a response with an invalid status as a lost attempt.

    The request may have run at an upstream, whatever else the reply says, since
    a peer that sends such a status is in trouble. An idempotent one is relayed
    to another peer or sent from here, if the retry budget allows.
    """
    exchange = group.exchange
    detail = {"peer": group.peer.name, "status": status}
    request_id = exchange.request.request_id
    out.append(Decision(request_id, "peer_status_invalid", detail))
    part.arrivals += 1
    part.asked_by_peers += 1
    part.may_have_run = True
    part.check_at = now
    if exchange.relayed and exchange.route.idempotent:
        # What is sent from here is counted when it is sent.
        budget = shared.budget(part.service, now)
        left = budget.remaining(shared.allowance(part.service), now)
        part.given_up = left < 1.0
        if not part.given_up:
            budget.record_extra(now)
    attempts.check_parts(exchange, shared, now, out)


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
    route = routeterms.apply_terms(message, route)
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
        account=message.account,
    )
    account = find_account(message, shared)
    homes = find_homes(route, account)
    if message.homes:
        named = frozenset(message.homes)
        homes = named if homes is None else homes & named
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
        account=account,
        homes=homes,
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


def find_account(message: GatherRequest, shared: SharedState) -> Account | None:
    """Returns the account of a peer's request in the configuration here."""
    table = shared.table
    if table is None or table.accounts is None:
        return None
    return table.accounts.by_name.get(message.account)


def is_account_valid(
    message: GatherRequest, route: Route, shared: SharedState
) -> bool:
    """Returns whether the configuration here serves a request's account.

    The sender has checked the caller's key by its own version. A request that
    names no account needs none in that version.
    """
    if message.account:
        return find_account(message, shared) is not None
    table = shared.table
    return table is None or table.accounts is None or route.allows_anonymous


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
    if not set(message.services) <= known - shared.invalid_services:
        return DeclineReason.OUTDATED
    if not routeterms.is_of_same_kind(message, route):
        return DeclineReason.OUTDATED
    if not is_account_valid(message, route, shared):
        return DeclineReason.OUTDATED
    if shared.isolation.isolated:
        return DeclineReason.ISOLATED
    max_lag_s = MAX_URGENT_RELAY_LAG_S
    if find_urgency(route, find_account(message, shared)) > 0:
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


def on_confirm(
    message: GatherConfirm,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Allows further upstreams of the shards of a peer's request."""
    key = (message.reply_to, message.gather_id)
    exchange = shared.gather.taken.get(key)
    if exchange is None or exchange.second_upstream_at <= now:
        return
    postponed_to, exchange.second_upstream_at = exchange.second_upstream_at, now
    for part in exchange.pending_parts:
        if part.check_at == postponed_to:
            part.check_at = now
    attempts.check_parts(exchange, shared, now, out)
    conclude_or_set_timer(exchange, shared, now, out)


def on_cancel(
    message: GatherCancel, shared: SharedState, now: float, out: list[object]
) -> None:
    """Stops querying shards for a peer."""
    key = (message.reply_to, message.gather_id)
    exchange = shared.gather.taken.get(key)
    if exchange is not None:
        out += abandon(exchange.request, shared, now)
