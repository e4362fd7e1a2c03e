"""Messages of other instances: take their shards, and their replies to ours."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.forwarding import attempts, regional
from arbutusbridge.forwarding.conclusion import abandon, follow_up
from arbutusbridge.forwarding.exchange import Exchange, Part
from arbutusbridge.forwarding.gather import (
    OUTDATED_EXCLUSION_S,
    STOPPING_EXCLUSION_S,
    GatherAck,
    GatherCancel,
    GatherReply,
    GatherRequest,
    SendPeerMessage,
)
from arbutusbridge.forwarding.messages import AttemptEnd, UpstreamReply
from arbutusbridge.forwarding.model import CallerRequest
from arbutusbridge.forwarding.opening import start

if TYPE_CHECKING:
    from arbutusbridge.forwarding.shared import SharedState

PEER_REPLY_GRACE_S = 0.1
"""Time past an answer's in which a busy peer may still reply; the shards that
it has taken can't be asked by another."""


def on_taken(
    message: GatherAck, shared: SharedState, now: float, out: list[object]
) -> None:
    """Takes a peer's word that it asks the shards, or does not."""
    group = shared.gather.groups.get(message.gather_id)
    if group is None or group.acknowledged:
        return
    if message.declined:
        # It said so at once, and nothing was sent for this request.
        pause = (
            STOPPING_EXCLUSION_S if message.stopping else OUTDATED_EXCLUSION_S
        )
        group.peer.unfit_until = now + pause
        if not group.given_up:
            regional.give_up(group, regional.DECLINED, shared, now, out)
            follow_up(group.exchange, shared, now, out)
        return
    group.acknowledged = True
    group.peer.acknowledged(now - group.sent_at)
    # Its reply is due by the answer's time, unless it ends meanwhile.
    due = group.exchange.answer_by + PEER_REPLY_GRACE_S
    group.look_at = math.inf if group.given_up else due
    if group.given_up:
        # Both ask the shards now, which was not known before.
        shared.count("peer_late")
        for part in group.parts:
            shared.budget(part.service, now).note_extra(now)


def on_reply(
    message: GatherReply, shared: SharedState, now: float, out: list[object]
) -> None:
    """Takes the shards that a peer has asked.

    Its records are those of all these shards together, so that replies that
    came directly meanwhile give way to it.
    """
    group = shared.gather.groups.pop(message.gather_id, None)
    if group is None:
        return
    exchange = group.exchange
    group.replied_at = now
    group.look_at = math.inf
    if group.superseded:
        return
    exchange.gathered.append(message.body)
    for part in group.parts:
        part.group = None
        stamp = message.stamps.get(part.service)
        if stamp is not None:
            attempts.drop_open(part, False, shared, out)
            part.given_up = False
            part.look_at = math.inf
            part.reply = UpstreamReply(0, AttemptEnd.RESULT, 200, stamp=stamp)
        elif part.pending and not part.open:
            note_asked(part, message.asked.get(part.service, []), shared)
            part.arrivals += 1
            part.may_have_run = True
            part.look_at = now
    attempts.look(exchange, shared, now, out)
    follow_up(exchange, shared, now, out)


def note_asked(part: Part, names: list[str], shared: SharedState) -> None:
    """Notes where a peer sent a shard, since a route bounds the upstreams."""
    for name in names:
        upstream = shared.directory.by_name.get(name)
        if upstream is None:
            part.asked_elsewhere += 1
        elif upstream not in part.asked:
            part.asked.append(upstream)


def on_ask(
    message: GatherRequest, shared: SharedState, now: float, out: list[object]
) -> None:
    """Asks shards for a peer, if the configuration here knows them."""
    gather = shared.gather
    table = shared.table
    route = table.find(message.host, message.target) if table else None
    known = route is not None and set(message.services) <= set(route.shards)
    stopping = not gather.accepting
    taken = GatherAck(message.gather_id, not known or stopping, stopping)
    out.append(SendPeerMessage(message.reply_to, taken))
    if taken.declined or route is None or table is None:
        return
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
            Part(service, asked_elsewhere=message.asked_already)
            for service in message.services
        ],
        now + message.answer_in_s,
        give_up_at,
        gather=message,
        second_from=now + message.alone_s,
    )
    gather.taken[message.reply_to, message.gather_id] = exchange
    start(exchange, shared, now, out)


def on_cancel(
    message: GatherCancel, shared: SharedState, now: float, out: list[object]
) -> None:
    """Stops asking shards for a peer."""
    key = (message.reply_to, message.gather_id)
    exchange = shared.gather.taken.get(key)
    if exchange is not None:
        out += abandon(exchange.request, shared, now)
