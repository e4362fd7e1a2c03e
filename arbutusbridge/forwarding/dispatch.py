"""Start of a request: a check for upstreams, then the first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.forwarding import attempts, delegation
from arbutusbridge.forwarding.conclusion import conclude_or_set_timer

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.shared import SharedState


def start_exchange(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Starts a request, or gives it up if too few shards can be served."""
    shared.exchanges[exchange.request] = exchange
    if retain_servable_parts(exchange, shared, now):
        if exchange.route.shards:
            delegation.delegate_shards(exchange, shared, now, out)
        for part in exchange.parts:
            if part.group is None:
                attempts.send_first_attempt(exchange, part, shared, now, out)
    conclude_or_set_timer(exchange, shared, now, out)


def retain_servable_parts(
    exchange: Exchange, shared: SharedState, now: float
) -> bool:
    """Gives up parts without upstreams; returns whether enough are left.

    Parts whose upstreams have all just refused connections do not count. They
    are given up too if the others are not enough.
    """
    unreachable = []
    for part in exchange.parts:
        usable = shared.directory.usable(part.service, now)
        if not usable:
            part.given_up = True
        elif all(upstream.unreachable_until > now for upstream in usable):
            unreachable.append(part)
    if exchange.is_sufficient(exchange.attainable - len(unreachable)):
        return True
    for part in unreachable:
        part.given_up = True
    return False
