"""Use peers near the upstreams, and ask shards for peers that are far."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import attempts, division
from arbutusbridge.forwarding.exchange import DelegatedGroup, Exchange, Part
from arbutusbridge.forwarding.gather import (
    MIN_GROUP_SHARDS,
    SIMILAR_COUNT_RATIO,
    GatherCancel,
    GatherReply,
    GatherRequest,
    SendPeerMessage,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.shared import SharedState

SILENT = "silent"
DECLINED = "declined"
NO_REPLY = "no_reply"
"""Why a peer is given up."""

REPLY_MARGIN_S = 0.006
"""Time before an answer is due at which a peer's reply must be sent, besides
its way."""

CANCEL_DELAY_S = 0.02
"""Time in which a peer that was given up is told so."""


def hand_out(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Hands shards to peers that ask them at less cost or sooner.

    Those are shards held in another region only, and all shards of a request
    that is too wide for this instance.
    """
    if shared.gather.own is None or exchange.gather is not None:
        return
    near, far = by_place(exchange.parts, shared, now)
    own = shared.gather.own
    if division.is_wide(len(near), own.capacity):
        divide(exchange, near, shared, now, out)
    if division.is_wide(len(far), own.capacity):
        divide(exchange, far, shared, now, out)
        return
    data_centre = choose_data_centre(far, shared)
    if data_centre is None:
        return
    parts = [part for part, places in far if data_centre in places]
    peer = shared.gather.book.pick(data_centre, now, shared.rng)
    if peer is not None and len(parts) >= MIN_GROUP_SHARDS:
        ask_peer(exchange, peer, parts, shared, now, out)


def divide(
    exchange: Exchange,
    held: HeldShards,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Divides shards among instances of the data centres that hold them."""
    own = shared.gather.own
    while held and own is not None:
        data_centre = choose_data_centre(held, shared)
        if data_centre is None:
            return
        parts = [part for part, places in held if data_centre in places]
        held = [one for one in held if data_centre not in one[1]]
        members = shared.gather.book.members(data_centre)
        if own.data_centre == data_centre:
            members.append(own)
        among = division.helpers(members, own.name, len(parts), now)
        for peer, share in division.divide(parts, among):
            if peer is not own:
                ask_peer(exchange, peer, share, shared, now, out)


def ask_peer(
    exchange: Exchange,
    peer: Peer,
    parts: list[Part],
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Sends shards to a peer in one message."""
    gather = shared.gather
    assert gather.own is not None
    gather.last_id += 1
    group = DelegatedGroup(
        gather.last_id, exchange, peer, parts, now, peer.ack_due(now)
    )
    gather.groups[group.gather_id] = group
    exchange.groups.append(group)
    for part in parts:
        part.group = group
    # An acknowledgement takes the way there and back.
    way = peer.ack_s / 2 + REPLY_MARGIN_S
    request = exchange.request
    out.append(
        SendPeerMessage(
            peer.address,
            GatherRequest(
                group.gather_id,
                gather.own.address,
                request.request_id,
                request.method,
                request.target,
                request.host,
                request.headers,
                request.body,
                [part.service for part in parts],
                max(0.0, exchange.answer_by - now - 2 * way),
                max(0.0, exchange.give_up_at - now - 2 * way),
                max(part.asked_elsewhere for part in parts),
                group.look_at - now + CANCEL_DELAY_S,
            ),
        )
    )


HeldShards = list[tuple[Part, set[str]]]
"""Shards with the data centres that hold them."""


def by_place(
    parts: Iterable[Part], shared: SharedState, now: float
) -> tuple[HeldShards, HeldShards]:
    """Returns the shards with a fit upstream in this region, and the others.

    Shards without any fit upstream are in neither. Near ones come with the
    data centres of this region only.
    """
    place = shared.place
    near: HeldShards = []
    far: HeldShards = []
    for part in parts:
        if part.given_up:
            continue
        places = {
            upstream.announcement.data_centre
            for upstream in shared.directory.usable(part.service, now)
            if upstream.fit(now)
        }
        here = {one for one in places if place.is_near(one)}
        if here:
            near.append((part, here))
        elif places:
            far.append((part, places))
    return near, far


def choose_data_centre(held: HeldShards, shared: SharedState) -> str | None:
    """Returns a data centre that holds most of the shards, this one if so."""
    counts = Counter(one for _, places in held for one in places)
    if not counts:
        return None
    most = max(counts.values())
    alike = [
        one for one, n in counts.items() if n >= SIMILAR_COUNT_RATIO * most
    ]
    if shared.place.data_centre in alike:
        return shared.place.data_centre
    return shared.rng.choice(sorted(alike))


def look(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Gives up peers that have not acknowledged in time."""
    for group in exchange.groups:
        if group.look_at <= now:
            group.peer.silent(now)
            why = NO_REPLY if group.acknowledged else SILENT
            give_up(group, why, shared, now, out)


def give_up(
    group: DelegatedGroup,
    why: str,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Takes a group's shards back from its peer.

    A peer that is silent has most likely ended, and has asked none of them.
    One that is only late is told to stop; it may have asked one upstream of
    each shard by then, so that others may ask one less. A peer that has taken
    the shards and does not reply may have asked all the upstreams that the
    route allows: they are asked no more. A reply that crosses this is still
    taken.
    """
    group.look_at = math.inf
    group.given_up = True
    exchange = group.exchange
    if why != DECLINED:
        tell_to_stop(group, shared, out)
    detail = {"why": why, **group.describe()}
    detail["age_ms"] = round((now - exchange.request.arrived) * 1000)
    out.append(Decision(exchange.request.request_id, "peer_given_up", detail))
    left = [
        part
        for part in group.parts
        if part.pending and not part.open and part.group is group
    ]
    for part in left:
        part.group = None
        if why == NO_REPLY:
            part.may_have_run = True
            part.given_up = True
        elif why == SILENT:
            part.asked_elsewhere += 1
    if why == NO_REPLY:
        return
    own = shared.gather.own
    assert own is not None
    if division.is_wide(len(left), own.capacity):
        group.superseded = True
        near, far = by_place(left, shared, now)
        divide(exchange, near or far, shared, now, out)
    for part in left:
        if part.group is None:
            attempts.begin_part(exchange, part, shared, now, out)


def tell_to_stop(
    group: DelegatedGroup, shared: SharedState, out: list[object]
) -> None:
    """Tells a peer that nobody waits for its reply any more."""
    own = shared.gather.own
    assert own is not None
    message = GatherCancel(group.gather_id, own.address)
    out.append(SendPeerMessage(group.peer.address, message))


def let_go(exchange: Exchange, shared: SharedState, out: list[object]) -> None:
    """Takes a finished request out of what peers do for each other."""
    gather = shared.gather
    for group in exchange.groups:
        if gather.groups.pop(group.gather_id, None) is not None:
            tell_to_stop(group, shared, out)
    ask = exchange.gather
    if ask is not None:
        gather.taken.pop((ask.reply_to, ask.gather_id), None)


def reply(exchange: Exchange, body: bytes, out: list[object]) -> None:
    """Sends a peer what its shards have replied."""
    ask = exchange.gather
    assert ask is not None
    replies = {
        part.service: part.reply
        for part in exchange.parts
        if part.reply is not None
    }
    stamps = {service: one.stamp for service, one in replies.items()}
    asked = {
        part.service: [upstream.name for upstream in part.asked]
        for part in exchange.parts
        if part.reply is None and part.asked
    }
    message = GatherReply(ask.gather_id, stamps, body, asked)
    out.append(SendPeerMessage(ask.reply_to, message))
