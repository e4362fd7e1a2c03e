"""First steps of a request: who asks which shard, if enough can be served."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.forwarding import attempts, regional
from arbutusbridge.forwarding.conclusion import follow_up

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.shared import SharedState


def start(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends the first attempts of a request, if enough can be served."""
    shared.exchanges[exchange.request] = exchange
    if servable(exchange, shared, now):
        if exchange.route.shards:
            regional.hand_out(exchange, shared, now, out)
        for part in exchange.parts:
            if part.group is None:
                attempts.begin_part(exchange, part, shared, now, out)
    follow_up(exchange, shared, now, out)


def servable(exchange: Exchange, shared: SharedState, now: float) -> bool:
    """Gives up parts without upstreams; tells whether enough are left.

    Upstreams that have just refused connections count as none if too few
    parts are left without them.
    """
    unreachable = []
    for part in exchange.parts:
        usable = shared.directory.usable(part.service, now)
        if not usable:
            part.given_up = True
        elif all(one.unreachable_until > now for one in usable):
            unreachable.append(part)
    if exchange.covers(exchange.attainable - len(unreachable)):
        return True
    for part in unreachable:
        part.given_up = True
    return False
