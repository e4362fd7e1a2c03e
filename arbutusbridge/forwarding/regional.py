"""Use peers near the upstreams, and ask shards for peers that are far."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import attempts, division
from arbutusbridge.forwarding.exchange import Exchange, Part
from arbutusbridge.forwarding.gather import (
    ALIKE_SHARE,
    DECLINED_S,
    LEAST_GROUP,
    GatherAsk,
    GatherCancel,
    GatherReply,
    GatherTaken,
    Group,
    Tell,
)
from arbutusbridge.forwarding.messages import AttemptEnd, UpstreamReply
from arbutusbridge.forwarding.model import CallerRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from arbutusbridge.forwarding.forwarder import Forwarder
    from arbutusbridge.forwarding.gather import Peer

SILENT = "silent"
DECLINED = "declined"
NO_REPLY = "no_reply"
"""Why a peer is given up."""

REPLY_MARGIN_S = 0.006
"""Time before an answer is due at which a peer's reply must be sent, besides
its way."""


def hand_out(
    exchange: Exchange, forwarder: Forwarder, now: float, out: list[object]
) -> None:
    """Hands shards to peers that ask them at less cost or sooner.

    Those are shards held in another region only, and all shards of a request
    that is too wide for this instance.
    """
    if forwarder.gather.own is None or exchange.gather is not None:
        return
    near, far = by_place(exchange.parts, forwarder, now)
    own = forwarder.gather.own
    if division.is_wide(len(near), own.capacity):
        divide(exchange, near, forwarder, now, out)
    if division.is_wide(len(far), own.capacity):
        divide(exchange, far, forwarder, now, out)
        return
    data_centre = choose_data_centre(far, forwarder)
    if data_centre is None:
        return
    parts = [part for part, places in far if data_centre in places]
    peer = forwarder.gather.book.pick(data_centre, now, forwarder.rng)
    if peer is not None and len(parts) >= LEAST_GROUP:
        ask_peer(exchange, peer, parts, forwarder, now, out)


def divide(
    exchange: Exchange,
    held: Held,
    forwarder: Forwarder,
    now: float,
    out: list[object],
) -> None:
    """Divides shards among instances of the data centres that hold them."""
    own = forwarder.gather.own
    while held and own is not None:
        data_centre = choose_data_centre(held, forwarder)
        if data_centre is None:
            return
        parts = [part for part, places in held if data_centre in places]
        held = [one for one in held if data_centre not in one[1]]
        members = forwarder.gather.book.members(data_centre)
        if own.data_centre == data_centre:
            members.append(own)
        among = division.helpers(members, own.name, len(parts), now)
        for peer, share in division.divide(parts, among):
            if peer is not own:
                ask_peer(exchange, peer, share, forwarder, now, out)


def ask_peer(
    exchange: Exchange,
    peer: Peer,
    parts: list[Part],
    forwarder: Forwarder,
    now: float,
    out: list[object],
) -> None:
    """Sends shards to a peer in one message."""
    gather = forwarder.gather
    assert gather.own is not None
    gather.last_id += 1
    group = Group(gather.last_id, exchange, peer, parts, now, peer.ack_due(now))
    gather.groups[group.gather_id] = group
    exchange.groups.append(group)
    for part in parts:
        part.group = group
    # An acknowledgement takes the way there and back.
    way = peer.ack_s / 2 + REPLY_MARGIN_S
    request = exchange.request
    out.append(
        Tell(
            peer.address,
            GatherAsk(
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
            ),
        )
    )


Held = list[tuple[Part, set[str]]]
"""Shards with the data centres that hold them."""


def by_place(
    parts: Iterable[Part], forwarder: Forwarder, now: float
) -> tuple[Held, Held]:
    """Returns the shards with a fit upstream in this region, and the others.

    Shards without any fit upstream are in neither. Near ones come with the
    data centres of this region only.
    """
    place = forwarder.place
    near: Held = []
    far: Held = []
    for part in parts:
        if part.given_up:
            continue
        places = {
            upstream.announcement.data_centre
            for upstream in forwarder.directory.usable(part.service, now)
            if upstream.fit(now)
        }
        here = {one for one in places if place.is_near(one)}
        if here:
            near.append((part, here))
        elif places:
            far.append((part, places))
    return near, far


def choose_data_centre(held: Held, forwarder: Forwarder) -> str | None:
    """Returns a data centre that holds most of the shards, this one if so."""
    counts = Counter(one for _, places in held for one in places)
    if not counts:
        return None
    most = max(counts.values())
    alike = [one for one, n in counts.items() if n >= ALIKE_SHARE * most]
    if forwarder.place.data_centre in alike:
        return forwarder.place.data_centre
    return forwarder.rng.choice(sorted(alike))


def on_taken(
    message: GatherTaken, forwarder: Forwarder, now: float, out: list[object]
) -> None:
    """Takes a peer's word that it asks the shards, or does not."""
    group = forwarder.gather.groups.get(message.gather_id)
    if group is None or group.acknowledged:
        return
    if message.declined:
        # It said so at once, and nothing was sent for this request.
        group.peer.unfit_until = now + DECLINED_S
        if not group.given_up:
            give_up(group, DECLINED, forwarder, now, out)
            forwarder.follow_up(group.exchange, now, out)
        return
    group.acknowledged = True
    group.peer.acknowledged(now - group.sent_at)
    # Its reply is due by then, unless it ends meanwhile.
    group.look_at = math.inf if group.given_up else group.exchange.answer_by
    if group.given_up:
        # Both ask the shards now, which was not known before.
        forwarder.count("peer_late")
        for part in group.parts:
            forwarder.budget(part.service, now).note_extra(now)


def on_reply(
    message: GatherReply, forwarder: Forwarder, now: float, out: list[object]
) -> None:
    """Takes the shards that a peer has asked.

    Its records are those of all these shards together, so that replies that
    came directly meanwhile give way to it.
    """
    group = forwarder.gather.groups.pop(message.gather_id, None)
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
            attempts.drop_open(part, False, forwarder, out)
            part.given_up = False
            part.look_at = math.inf
            part.reply = UpstreamReply(0, AttemptEnd.RESULT, 200, stamp=stamp)
        elif part.pending and not part.open:
            note_asked(part, message.asked.get(part.service, []), forwarder)
            part.arrivals += 1
            part.may_have_run = True
            part.look_at = now
    attempts.look(exchange, forwarder, now, out)
    forwarder.follow_up(exchange, now, out)


def note_asked(part: Part, names: list[str], forwarder: Forwarder) -> None:
    """Notes where a peer sent a shard, since a route bounds the upstreams."""
    for name in names:
        upstream = forwarder.directory.by_name.get(name)
        if upstream is None:
            part.asked_elsewhere += 1
        elif upstream not in part.asked:
            part.asked.append(upstream)


def look(
    exchange: Exchange, forwarder: Forwarder, now: float, out: list[object]
) -> None:
    """Gives up peers that have not acknowledged in time."""
    for group in exchange.groups:
        if group.look_at <= now:
            group.peer.silent(now)
            why = NO_REPLY if group.acknowledged else SILENT
            give_up(group, why, forwarder, now, out)


def give_up(
    group: Group,
    why: str,
    forwarder: Forwarder,
    now: float,
    out: list[object],
) -> None:
    """Asks a group's shards directly.

    A peer without a reply may have ended after it asked them. One that is
    silent has most likely ended, and has asked none of them.
    One that is only late is told to stop; it may have asked one upstream of
    each shard by then. A reply that crosses this is still taken.
    """
    group.look_at = math.inf
    group.given_up = True
    exchange = group.exchange
    if why != DECLINED:
        own = forwarder.gather.own
        assert own is not None
        stop = GatherCancel(group.gather_id, own.address)
        out.append(Tell(group.peer.address, stop))
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
        part.asked_elsewhere += why != DECLINED
        if why == NO_REPLY:
            part.arrivals += 1
            part.may_have_run = True
    own = forwarder.gather.own
    if why != NO_REPLY and own and division.is_wide(len(left), own.capacity):
        group.superseded = True
        near, far = by_place(left, forwarder, now)
        divide(exchange, near or far, forwarder, now, out)
    for part in left:
        if part.group is not None:
            continue
        if why == NO_REPLY:
            attempts.retry(exchange, part, forwarder, now, out)
        else:
            attempts.begin_part(exchange, part, forwarder, now, out)


def cancel(exchange: Exchange, forwarder: Forwarder, out: list[object]) -> None:
    """Tells peers that nobody waits for their replies any more."""
    gather = forwarder.gather
    for group in exchange.groups:
        if gather.groups.pop(group.gather_id, None) is not None:
            assert gather.own is not None
            message = GatherCancel(group.gather_id, gather.own.address)
            out.append(Tell(group.peer.address, message))


def on_ask(
    message: GatherAsk, forwarder: Forwarder, now: float, out: list[object]
) -> None:
    """Asks shards for a peer, if the configuration here knows them."""
    gather = forwarder.gather
    table = forwarder.table
    route = table.find(message.host, message.target) if table else None
    known = route is not None and set(message.services) <= set(route.shards)
    taken = GatherTaken(message.gather_id, not (known and gather.accepting))
    out.append(Tell(message.reply_to, taken))
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
    )
    gather.taken[message.reply_to, message.gather_id] = exchange
    forwarder.start(exchange, now, out)


def on_cancel(
    message: GatherCancel, forwarder: Forwarder, now: float, out: list[object]
) -> None:
    """Stops asking shards for a peer."""
    key = (message.reply_to, message.gather_id)
    exchange = forwarder.gather.taken.get(key)
    if exchange is not None:
        out += forwarder.abandon(exchange.request, now)


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
    out.append(Tell(ask.reply_to, message))
