"""Relays of requests by an instance that is cut off from the upstreams.

Its peers reach the upstreams and query them for it, in one hop.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from arbutusbridge.forwarding import delegation, division, isolation, placement
from arbutusbridge.forwarding.attempts import drop_open_attempts
from arbutusbridge.forwarding.conclusion import conclude_or_set_timer
from arbutusbridge.forwarding.messages import WithdrawAttempt

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange, Part
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.shared import SharedState

MAX_PEERS = 8
"""Maximum number of peers that a part is relayed to, those that decline it
included; they reply at once."""


def start_if_cut_off(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> bool:
    """Relays a new request if this instance is cut off from the upstreams.

    Returns:
      Whether it does; otherwise the request is to be sent from here.
    """
    if exchange.peer_request is not None:
        return False
    if not isolation.relays_requests(shared, now):
        return False
    if not shared.isolation.isolated and not available_peers(
        exchange, shared, now
    ):
        return False
    exchange.relayed = True
    for part in exchange.parts:
        if not placement.eligible(exchange, part.service, shared, now):
            part.given_up = True
    if exchange.is_sufficient(exchange.attainable):
        relay_parts(exchange, exchange.pending_parts, shared, now, out)
    return True


def start_if_unreachable(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> bool:
    """Relays a new request if no upstream of its service accepts connections.

    Returns:
      Whether it does; otherwise the request is to be sent from here.
    """
    if exchange.route.shards:
        return False
    (part,) = exchange.parts
    if not available_peers(exchange, shared, now):
        return False
    if not isolation.relay_unreachable(exchange, part, shared, now):
        return False
    relay_parts(exchange, [part], shared, now, out)
    return True


def relay_due_parts(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Relays the parts whose previous attempt or relay has failed."""
    if exchange.relayed:
        due = [
            part
            for part in exchange.pending_parts
            if part.check_at <= now
            and part.group is None
            and not part.open_attempts
        ]
        if shared.suspicion(exchange.request, now) is not None:
            # One that crashes upstreams is sent to one peer at a time.
            for part in due:
                part.given_up = part.relays > 0
            due = [part for part in due if part.pending]
        relay_parts(exchange, due, shared, now, out)


def available_peers(
    exchange: Exchange, shared: SharedState, now: float
) -> list[Peer]:
    """Returns the peers that may be sent a request."""
    return [
        peer
        for peer in shared.gather.peer_table.peers.values()
        if peer.is_available(now) and placement.accepts(exchange, peer, shared)
    ]


def find_peers(
    exchange: Exchange, tried: set[str], shared: SharedState, now: float
) -> list[Peer]:
    """Returns the peers to relay to, other than those already tried.

    A peer that did not answer lately is better than none; one that is cut off
    itself is not.
    """
    peers = [
        peer
        for peer in shared.gather.peer_table.peers.values()
        if peer.name not in tried
        and peer.isolated_until <= now
        and placement.accepts(exchange, peer, shared)
    ]
    return [peer for peer in peers if peer.is_available(now)] or peers


def relay_parts(
    exchange: Exchange,
    parts: list[Part],
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Relays parts to peers near their upstreams, or else to any peer.

    Parts are given up if there is no peer, or if too many have failed.
    """
    tried = {name for part in parts for name in part.relayed_to}
    peers = find_peers(exchange, tried, shared, now)
    for part in parts:
        part.given_up = (
            not peers
            or part.relays >= isolation.MAX_RELAYS
            or len(part.relayed_to) >= MAX_PEERS
        )
    remaining = [part for part in parts if not part.given_up]
    while remaining:
        place, chosen = choose_place(exchange, remaining, peers, shared, now)
        remaining = [part for part in remaining if part not in chosen]
        members = [peer for peer in peers if peer.data_centre == place]
        for peer, share in divide(chosen, members, shared, now):
            for part in share:
                part.relays += 1
                part.relayed_to.add(peer.name)
                part.check_at = float("inf")
            shared.count("relay_sent")
            delegation.send_to_peer(
                exchange, peer, share, shared, now, out, relayed=True
            )


def choose_place(
    exchange: Exchange,
    parts: list[Part],
    peers: list[Peer],
    shared: SharedState,
    now: float,
) -> tuple[str, list[Part]]:
    """Returns the data centre whose peers are sent parts, and these parts.

    It is one that holds the most of them. Parts that are held only where no
    peer is available go to the data centre of a random peer.
    """
    places = {peer.data_centre for peer in peers}
    held = []
    for part in parts:
        usable = placement.eligible(exchange, part.service, shared, now)
        holding = {one.announcement.data_centre for one in usable} & places
        if holding:
            held.append((part, holding))
    place = delegation.choose_data_centre(held, shared)
    if place is None:
        return shared.rng.choice(peers).data_centre, parts
    return place, [part for part, holding in held if place in holding]


def divide(
    parts: list[Part], members: list[Peer], shared: SharedState, now: float
) -> list[tuple[Peer, list[Part]]]:
    """Divides parts among the peers of a data centre.

    A few parts go to the peer with the fewest requests of this instance.
    """
    own = shared.gather.own_peer
    weakest = min(peer.capacity for peer in members)
    if own is not None and division.is_wide(len(parts), weakest):
        held = shared.held_counts[members[0].data_centre]
        helpers = division.select_helpers(
            members, own.name, len(parts), held, now
        )
        if helpers:
            return division.divide_by_capacity(parts, helpers)
    pending = Counter(
        group.peer.name for group in shared.gather.groups.values()
    )
    peer = min(
        members, key=lambda one: (pending[one.name], shared.rng.random())
    )
    return [(peer, parts)]


def take_over(shared: SharedState, now: float, out: list[object]) -> None:
    """Relays the open requests of an instance that has just been cut off.

    Attempts that wait for a connection are withdrawn. The others will not be
    answered; their connections are closed unless the request must not be
    repeated, in which case its reply is still awaited. What was sent after the
    last response of any upstream is taken not to have arrived, so that it is
    sent again, but callers are not told so.
    """
    responded_at = shared.isolation.responded_at
    for exchange in list(shared.exchanges.values()):
        exchange.relayed = exchange.peer_request is None
        taken_over = []
        for part in exchange.pending_parts:
            part.held_back = False
            if part.group is not None:
                continue
            if not exchange.route.idempotent:
                out += [
                    WithdrawAttempt(attempt.attempt_id)
                    for attempt in part.open_attempts
                ]
                continue
            lost = [
                attempt.upstream
                for attempt in part.open_attempts
                if attempt.sent_at >= responded_at
            ]
            part.asked = [one for one in part.asked if one not in lost]
            if len(lost) < len(part.open_attempts):
                part.may_have_run = True
            part.not_arrived = not part.may_have_run
            # The cut may have come after one of them had arrived.
            part.is_unsure = part.is_unsure or bool(lost)
            drop_open_attempts(part, True, shared, out)
            taken_over.append(part)
        if exchange.relayed:
            relay_parts(exchange, taken_over, shared, now, out)
        else:
            for part in taken_over:
                part.given_up = True
        conclude_or_set_timer(exchange, shared, now, out)
