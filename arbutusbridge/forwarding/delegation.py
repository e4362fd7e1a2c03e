"""Delegation of shards to peers that are nearer to the upstreams."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    attempts,
    division,
    overflowevidence,
    overflowrouting,
    placement,
)
from arbutusbridge.forwarding.exchange import DelegatedGroup, Exchange, Part
from arbutusbridge.forwarding.gather import (
    MIN_GROUP_SHARDS,
    SIMILAR_COUNT_RATIO,
    GatherCancel,
    GatherRelease,
    GatherRequest,
    SendGatherMessage,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from arbutusbridge.forwarding.gather import GatherConfirm, Peer
    from arbutusbridge.forwarding.shared import SharedState

SILENT = "silent"
"""Reason for giving up a peer: it sent no acknowledgement in time."""

DECLINED = "declined"
"""Reason for giving up a peer: it rejected the request."""

NO_REPLY = "no_reply"
"""Reason for giving up a peer: it accepted the request, but did not reply."""

REPLY_MARGIN_S = 0.006
"""Time before an answer is due at which a peer must send its reply, in addition
to the network delay."""

CANCEL_SLACK_S = 0.01
"""Time in which the cancellation reaches a peer that was given up, in addition
to the network delay."""


def delegate_shards(
    exchange: Exchange,
    parts: list[Part],
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Delegates shards to peers that can query them sooner or at lower cost.

    These are shards held only in another region, and all shards of a request
    that is too wide for this instance.
    """
    if shared.gather.own_peer is None or exchange.peer_request is not None:
        return
    near, far = split_by_region(exchange, parts, shared, now)
    near, far = overflowrouting.move_shards(exchange, near, far, shared, now)
    own = shared.gather.own_peer
    if division.is_wide(len(near), own.capacity):
        delegate_to_helpers(exchange, near, shared, now, out)
    if division.is_wide(len(far), own.capacity):
        delegate_to_helpers(exchange, far, shared, now, out)
        return
    delegate_far_shards(exchange, far, shared, now, out)


def delegate_before_canaries(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Delegates the shards of another region whose peer sends canaries itself.

    Waiting for a canary here would add its time to the way to that region. A
    wide scatter has many helpers and waits, so that each need not send some.
    """
    own = shared.gather.own_peer
    if own is None or exchange.peer_request is not None:
        return
    _, far = split_by_region(exchange, exchange.parts, shared, now)
    if not division.is_wide(len(far), own.capacity):
        delegate_far_shards(exchange, far, shared, now, out)


def delegate_canary_share(
    exchange: Exchange,
    parts: list[Part],
    shared: SharedState,
    now: float,
    out: list[object],
) -> DelegatedGroup | None:
    """Delegates the share of one helper of a wide request before the others.

    The helper sends one shard as the canary and reports its reply. One that
    sends no updates gets a single shard, of which it may try one upstream.
    Returns None if the request is not wide, or if this instance is one of its
    helpers.
    """
    own = shared.gather.own_peer
    if own is None or exchange.peer_request is not None:
        return None
    near, far = split_by_region(exchange, parts, shared, now)
    near, far = overflowrouting.move_shards(exchange, near, far, shared, now)
    held = near or far
    if not division.is_wide(len(held), own.capacity):
        return None
    data_centre = choose_data_centre(held, shared)
    if data_centre is None:
        return None
    shards = [
        part for part, data_centres in held if data_centre in data_centres
    ]
    helpers = find_helpers(exchange, data_centre, len(shards), shared, now)
    weights = overflowrouting.weigh_helpers(helpers, shared, now)
    shares = division.divide_by_capacity(shards, helpers, weights)
    if not shares or own in helpers:
        return None
    peer, share = shared.rng.choice(shares)
    if peer.sends_updates:
        return send_to_peer(
            exchange, peer, share, shared, now, out, reports_first=True
        )
    part = shared.rng.choice(share)
    return send_to_peer(
        exchange, peer, [part], shared, now, out, upstreams_left=1
    )


def find_helpers(
    exchange: Exchange | None,
    data_centre: str,
    shards: int,
    shared: SharedState,
    now: float,
) -> list[Peer]:
    """Returns the instances of a data centre that shards are divided among.

    This instance may be one of them. Without a request, they are those of a
    request that may be sent to any instance.
    """
    own = shared.gather.own_peer
    assert own is not None
    members = shared.gather.peer_table.members(data_centre)
    if own.data_centre == data_centre:
        members.append(own)
    held = shared.held_counts[data_centre]
    accepts = accepts_for(exchange, shared) if exchange is not None else None
    return division.select_helpers(
        members, own.name, shards, held, now, accepts
    )


def accepts_for(
    exchange: Exchange, shared: SharedState
) -> Callable[[Peer], bool]:
    """Returns a function that tells whether a peer may get a request."""
    return lambda peer: placement.accepts(exchange, peer, shared)


def delegate_far_shards(
    exchange: Exchange,
    far: HeldShards,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Delegates shards of other regions to one peer near most of them."""
    data_centre = choose_data_centre(far, shared)
    if data_centre is None:
        return
    parts = [part for part, data_centres in far if data_centre in data_centres]
    peer = pick_far_peer(exchange, data_centre, len(parts), shared, now)
    if peer is not None and len(parts) >= MIN_GROUP_SHARDS:
        send_to_peer(exchange, peer, parts, shared, now, out)


def pick_far_peer(
    exchange: Exchange,
    data_centre: str,
    shards: int,
    shared: SharedState,
    now: float,
) -> Peer | None:
    """Returns the peer of another region that shards are delegated to.

    Where wide requests are divided, it is a helper of this instance.
    """
    if not shared.wide_shards:
        return shared.gather.peer_table.pick_peer(
            data_centre, now, shared.rng, accepts_for(exchange, shared)
        )
    helpers = find_helpers(exchange, data_centre, shards, shared, now)
    return next(iter(helpers), None)


def delegate_to_helpers(
    exchange: Exchange,
    held: HeldShards,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Divides shards among instances of the data centres that hold them.

    The share of this instance is not delegated.
    """
    own = shared.gather.own_peer
    while held and own is not None:
        data_centre = choose_data_centre(held, shared)
        if data_centre is None:
            return
        parts = [
            part for part, data_centres in held if data_centre in data_centres
        ]
        held = [one for one in held if data_centre not in one[1]]
        helpers = find_helpers(exchange, data_centre, len(parts), shared, now)
        weights = overflowrouting.weigh_helpers(helpers, shared, now)
        for peer, share in division.divide_by_capacity(parts, helpers, weights):
            if peer is not own:
                send_to_peer(exchange, peer, share, shared, now, out)


def send_to_peer(
    exchange: Exchange,
    peer: Peer,
    parts: list[Part],
    shared: SharedState,
    now: float,
    out: list[object],
    relayed: bool = False,
    upstreams_left: int | None = None,
    reports_first: bool = False,
) -> DelegatedGroup:
    """Delegates shards, or a request without shards, to a peer.

    A peer that may run a request that must not be repeated is waited for.

    Args:
      exchange: The request.
      peer: Peer that queries the shards.
      parts: The shards.
      shared: State of this instance.
      now: The time.
      out: Actions, to which the message is appended.
      relayed: Whether this instance is cut off from the upstreams.
      upstreams_left: Number of upstreams of each shard that the peer may try,
        None for all that the route still allows.
      reports_first: Whether the peer reports the first shard that replies.

    Returns:
      The group of the shards.
    """
    gather = shared.gather
    assert gather.own_peer is not None
    gather.peer_table.estimate_ack(peer)
    gather.last_gather_id += 1
    group = DelegatedGroup(
        gather.last_gather_id,
        exchange,
        peer,
        parts,
        now,
        peer.ack_deadline(now)
        if exchange.route.idempotent
        else exchange.give_up_at,
    )
    gather.groups[group.gather_id] = group
    exchange.groups.append(group)
    for part in parts:
        part.group = group
    tried = max(part.asked_by_peers + len(part.asked) for part in parts)
    if upstreams_left is not None:
        tried = max(tried, exchange.route.most_upstreams - upstreams_left)
    # An acknowledgement takes a round trip, so one way is half of it.
    way = peer.ack_s / 2 + REPLY_MARGIN_S
    request, route = exchange.request, exchange.route
    out.append(
        SendGatherMessage(
            peer.address,
            GatherRequest(
                group.gather_id,
                gather.own_peer.address,
                request.request_id,
                request.method,
                request.target,
                request.host,
                request.headers,
                request.body,
                [part.service for part in parts],
                max(0.0, exchange.partial_answer_at - now - 2 * way),
                max(0.0, exchange.give_up_at - now - 2 * way),
                tried,
                group.check_at - now + peer.ack_s / 2 + CANCEL_SLACK_S,
                exchange.canary_count,
                relayed,
                # A relayed request goes to another peer instead.
                accepts_updates=not relayed,
                reports_first=reports_first,
                account=request.account,
                homes=sorted(exchange.homes or ()),
                idempotent=route.idempotent,
                most_upstreams=route.most_upstreams,
                max_records=route.max_records if route.shards else None,
            ),
        )
    )
    return group


HeldShards = list[tuple[Part, set[str]]]
"""Shards with the data centres that hold them."""


def split_by_region(
    exchange: Exchange,
    parts: Iterable[Part],
    shared: SharedState,
    now: float,
) -> tuple[HeldShards, HeldShards]:
    """Returns the shards available in this region, and the others.

    Shards without any available upstream are in neither. Those in this region
    are listed with its data centres only.
    """
    place = shared.place
    near: HeldShards = []
    far: HeldShards = []
    for part in parts:
        if not part.pending or part.group or part.open_attempts:
            continue
        data_centres = {
            upstream.announcement.data_centre
            for upstream in placement.eligible(
                exchange, part.service, shared, now
            )
            if upstream.is_available(now)
        }
        nearby = {one for one in data_centres if place.is_in_own_region(one)}
        if nearby:
            near.append((part, nearby))
        elif data_centres:
            far.append((part, data_centres))
    return near, far


def choose_data_centre(held: HeldShards, shared: SharedState) -> str | None:
    """Returns a data centre that holds the most shards, or nearly as many.

    Prefers the data centre of this instance; otherwise the choice is random.
    """
    counts = Counter(one for _, data_centres in held for one in data_centres)
    if not counts:
        return None
    max_count = max(counts.values())
    candidates = [
        one for one, n in counts.items() if n >= SIMILAR_COUNT_RATIO * max_count
    ]
    if shared.place.data_centre in candidates:
        return shared.place.data_centre
    return shared.rng.choice(sorted(candidates))


def check_groups(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Gives up peers that did not acknowledge or reply in time."""
    for group in exchange.groups:
        if group.check_at <= now:
            group.peer.silent(now)
            why = NO_REPLY if group.acknowledged else SILENT
            overflowevidence.observe_silence(group, shared, now)
            give_up(group, why, shared, now, out)


def give_up(
    group: DelegatedGroup,
    why: str,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Takes the shards of a group back from its peer.

    A silent peer has most likely stopped and has queried none of them. If it is
    only late, the cancellation stops it; it may have tried one upstream of each
    shard by then, so one fewer may be tried from here. A peer that accepted the
    shards and does not reply may have tried all upstreams that the route
    allows, so no others are tried. A late reply is still used, unless other
    peers have been sent the shards meanwhile.
    """
    group.check_at = math.inf
    group.given_up = True
    exchange = group.exchange
    if why != DECLINED:
        notify_peer(group, GatherCancel, shared, out)
    detail = {"why": why, **group.describe()}
    detail["age_ms"] = round((now - exchange.request.arrived) * 1000)
    out.append(Decision(exchange.request.request_id, "peer_given_up", detail))
    group.not_run = why == DECLINED
    remaining = [
        part
        for part in group.parts
        if part.pending and not part.open_attempts and part.group is group
    ]
    for part in remaining:
        part.group = None
        is_unknown = why == SILENT and not exchange.route.idempotent
        if why == NO_REPLY or is_unknown:
            part.may_have_run = True
            part.given_up = True
        elif why == SILENT:
            part.asked_by_peers += 1
    if why == NO_REPLY:
        return
    if exchange.relayed:
        group.superseded = True
        if why == SILENT:
            shared.count("relay_silent")
        for part in remaining:
            part.check_at = now
            if why == DECLINED:
                part.relays -= 1
        return
    if exchange.canary_count and not exchange.has_result:
        # The peer would have sent canaries first; now this instance does, and
        # may delegate the shards again.
        group.superseded = True
        for part in remaining:
            part.held_back = True
        return
    own = shared.gather.own_peer
    assert own is not None
    if division.is_wide(len(remaining), own.capacity):
        group.superseded = True
        near, far = split_by_region(exchange, remaining, shared, now)
        delegate_to_helpers(exchange, near or far, shared, now, out)
    for part in remaining:
        if part.group is None:
            attempts.send_first_attempt(exchange, part, shared, now, out)


def notify_peer(
    group: DelegatedGroup,
    kind: type[GatherCancel] | type[GatherConfirm] | type[GatherRelease],
    shared: SharedState,
    out: list[object],
) -> None:
    """Sends a peer a message that concerns a whole group of shards."""
    own = shared.gather.own_peer
    assert own is not None
    message = kind(group.gather_id, own.address)
    out.append(SendGatherMessage(group.peer.address, message))


def take_back(
    group: DelegatedGroup, shared: SharedState, now: float, out: list[object]
) -> list[Part]:
    """Cancels a group that its peer is late with, and returns its shards.

    Its upstreams have most likely received them, so that they are extra
    arrivals when they are sent again.
    """
    group.given_up = group.superseded = True
    group.check_at = math.inf
    notify_peer(group, GatherCancel, shared, out)
    parts = [part for part in group.parts if part.group is group]
    for part in parts:
        part.group = None
        part.asked_by_peers += 1
        shared.budget(part.service, now).record_extra(now)
    return parts


def remove_exchange(
    exchange: Exchange, shared: SharedState, out: list[object]
) -> None:
    """Removes a finished request from the state shared with peers."""
    gather = shared.gather
    for group in exchange.groups:
        if gather.groups.pop(group.gather_id, None) is not None:
            notify_peer(group, GatherCancel, shared, out)
    gather_request = exchange.peer_request
    if gather_request is not None:
        gather.taken.pop(
            (gather_request.reply_to, gather_request.gather_id), None
        )
