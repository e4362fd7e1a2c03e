"""Where a request may be sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.shared import SharedState


def accepts(exchange: Exchange, peer: Peer, shared: SharedState) -> bool:
    """Returns whether a peer may get a request.

    A peer of an earlier build would ignore its account and homes. One outside
    the homes may not run it.
    """
    if exchange.account is None and exchange.homes is None:
        return True
    if not peer.knows_accounts:
        return False
    region = shared.place.regions.get(peer.data_centre)
    return exchange.homes is None or region in exchange.homes
