"""Start of a request: a check for upstreams, then the first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.forwarding import (
    canaries,
    division,
    isolation,
    limits,
    placement,
    relay,
)
from arbutusbridge.forwarding.conclusion import conclude_or_set_timer

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.shared import SharedState


def start_exchange(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Starts a request, or gives it up if too few shards can be served.

    One that a peer delegated is given up too if it is quarantined, after a
    notice of that to the peer, or if that is decided just now. So is one whose
    deadline has passed.
    """
    shared.exchanges[exchange.request] = exchange
    give_up_invalid_parts(exchange, shared)
    if (
        now >= exchange.give_up_at
        or shared.is_quarantined(exchange.request, now)
        or shared.verdict_due_at(exchange.request) is not None
    ):
        for part in exchange.parts:
            part.given_up = True
    elif relay.start_if_cut_off(
        exchange, shared, now, out
    ) or relay.start_if_unreachable(exchange, shared, now, out):
        pass
    elif retain_servable_parts(exchange, shared, now):
        canaries.start_scatter(exchange, shared, now, out)
    conclude_or_set_timer(exchange, shared, now, out)


def give_up_invalid_parts(exchange: Exchange, shared: SharedState) -> None:
    """Gives up the shards whose service has an invalid entry.

    Nothing is sent to its upstreams, here or by a peer.
    """
    invalid = shared.invalid_services
    if invalid:
        for part in exchange.parts:
            part.given_up = part.given_up or part.service in invalid


def retain_servable_parts(
    exchange: Exchange, shared: SharedState, now: float
) -> bool:
    """Gives up parts without upstreams; returns whether enough are left.

    Parts whose upstreams have all just refused connections, or have rate limits
    that allow no request soon, do not count. They are given up too if the
    others are not enough. Upstreams that homes or an evacuation exclude are
    left out.
    """
    unreachable = []
    limits_apply = bool(shared.limits.limited) and sends_itself(
        exchange, shared
    )
    for part in exchange.parts:
        usable = placement.eligible(exchange, part.service, shared, now)
        if not usable:
            part.given_up = True
            # A peer that delegated the part may send it itself; it may not know
            # of an evacuation yet.
            part.not_arrived = exchange.peer_request is not None and (
                placement.find_obstacle(exchange, part.service, shared)
                is not None
            )
        elif all(upstream.unreachable_until > now for upstream in usable):
            unreachable.append(part)
        elif limits_apply:
            ready_at = limits.service_ready_at(
                exchange, part.service, shared, now
            )
            part.limited = ready_at > max(now, limits.latest_wait(exchange))
            if part.limited:
                shared.count("limit_given_up")
                unreachable.append(part)
    unconnected = sum(not part.limited for part in unreachable)
    isolation.doubt_links(unconnected, shared, now)
    if exchange.is_sufficient(exchange.attainable - len(unreachable)):
        return True
    for part in unreachable:
        part.given_up = True
    return False


def sends_itself(exchange: Exchange, shared: SharedState) -> bool:
    """Returns whether this instance sends most parts of a request itself.

    The helpers of a wide one keep to shares of their own.
    """
    own = shared.gather.own_peer
    if own is None or exchange.peer_request is not None:
        return True
    return not division.is_wide(len(exchange.parts), own.capacity)
