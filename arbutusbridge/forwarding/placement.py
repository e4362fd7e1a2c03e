"""Upstreams and peers that a request may be sent to.

The homes of a request are the regions that may run it. Nothing is sent to the
upstreams of a data centre that is being evacuated.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding.leaving import withdraw_unsent
from arbutusbridge.forwarding.upstreams import select_usable

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import Upstream

OUTSIDE_HOMES = "outside_homes"
"""Why a part has no upstream: all are outside the homes of the request."""

EVACUATED = "evacuated"
"""Why a part has no upstream: all in its homes are being evacuated."""

EARLIER_PROTOCOL = "earlier_protocol"
"""Why a peer is sent no request: it does not know accounts, homes, or that the
request must not be repeated."""


def eligible(
    exchange: Exchange, service: str, shared: SharedState, now: float
) -> list[Upstream]:
    """Returns the upstreams of a service that may get a request.

    They are usable, in the homes of the request, and not being evacuated.
    """
    if exchange.homes is None and not shared.evacuated:
        return shared.directory.usable(service, now)
    return select_usable(permitted(exchange, service, shared), now)


def permitted(
    exchange: Exchange, service: str, shared: SharedState
) -> list[Upstream]:
    """Returns the upstreams that homes and evacuations leave to a request."""
    found = shared.directory.services.get(service)
    if not found:
        return []
    upstreams = list(found.values())
    if exchange.homes is not None:
        upstreams = [
            one
            for one in upstreams
            if is_home(exchange, one.announcement.data_centre, shared)
        ]
    if shared.evacuated:
        upstreams = [
            one
            for one in upstreams
            if one.announcement.data_centre not in shared.evacuated
        ]
    return upstreams


def is_home(exchange: Exchange, data_centre: str, shared: SharedState) -> bool:
    """Returns whether a data centre is in the homes of a request.

    A data centre without a known region is in no home.
    """
    homes = exchange.homes
    return homes is None or shared.place.regions.get(data_centre) in homes


def in_service(shared: SharedState) -> list[Upstream]:
    """Returns all upstreams but those of evacuated data centres."""
    upstreams = list(shared.directory.by_name.values())
    if not shared.evacuated:
        return upstreams
    return [
        one
        for one in upstreams
        if one.announcement.data_centre not in shared.evacuated
    ]


def evacuate(
    data_centre: str, shared: SharedState, now: float, out: list[object]
) -> None:
    """Begins the evacuation of a data centre, unless it is in progress."""
    if data_centre in shared.evacuated:
        return
    shared.evacuated.add(data_centre)
    upstreams = [
        one
        for one in shared.directory.by_name.values()
        if one.announcement.data_centre == data_centre
    ]
    detail = {
        "data_centre": data_centre,
        "upstreams": len(upstreams),
        "open": sum(len(one.open_attempts) for one in upstreams),
        "store_age_ms": shared.store_age_ms(now),
    }
    out.append(Decision("", "evacuation_began", detail))
    for one in upstreams:
        withdraw_unsent(one, out)


def end_evacuation(
    data_centre: str, shared: SharedState, now: float, out: list[object]
) -> None:
    """Ends the evacuation of a data centre, if there is one."""
    if data_centre not in shared.evacuated:
        return
    shared.evacuated.discard(data_centre)
    detail = {
        "data_centre": data_centre,
        "store_age_ms": shared.store_age_ms(now),
    }
    out.append(Decision("", "evacuation_ended", detail))


def accepts(exchange: Exchange, peer: Peer, shared: SharedState) -> bool:
    """Returns whether a peer may be sent a request."""
    return find_peer_obstacle(exchange, peer, shared) is None


def find_peer_obstacle(
    exchange: Exchange, peer: Peer, shared: SharedState
) -> str | None:
    """Returns why a peer may not be sent a request, None if it may.

    A peer of an earlier build would ignore its account and homes. It may repeat
    a request that is not idempotent, if its configuration has another route.
    """
    if not exchange.route.idempotent and not peer.knows_terms:
        return EARLIER_PROTOCOL
    if exchange.account is None and exchange.homes is None:
        return None
    if not peer.knows_accounts:
        return EARLIER_PROTOCOL
    at_home = is_home(exchange, peer.data_centre, shared)
    return None if at_home else OUTSIDE_HOMES


def find_obstacle(
    exchange: Exchange, service: str, shared: SharedState
) -> str | None:
    """Returns why a service has no upstream for a request.

    Returns None if neither homes nor evacuations are the reason.
    """
    homes = exchange.homes
    if homes is None and not shared.evacuated:
        return None
    if permitted(exchange, service, shared):
        return None
    found = shared.directory.services.get(service, {}).values()
    at_home = any(
        is_home(exchange, one.announcement.data_centre, shared) for one in found
    )
    if at_home:
        return EVACUATED
    # No upstream could ever run a request whose homes exclude one another.
    return OUTSIDE_HOMES if found or homes == frozenset() else None


def is_kept_by_homes(exchange: Exchange, shared: SharedState) -> bool:
    """Returns whether a request lacks upstreams because of its homes.

    This is so if it could be answered with the shards that are held only
    outside the homes.
    """
    if exchange.homes is None:
        return False
    outside = sum(
        part.given_up
        and find_obstacle(exchange, part.service, shared) == OUTSIDE_HOMES
        for part in exchange.parts
    )
    return outside > 0 and exchange.is_sufficient(exchange.attainable + outside)
