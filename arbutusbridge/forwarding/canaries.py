"""Canary attempts of searches: a few shards first, the others after a result.

A search that crashes upstreams then crashes a few of them instead of one of
each shard.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.requests.quarantine import draw_candidates
from arbutusbridge.forwarding import attempts, delegation

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange, Part
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import OpenAttempt

HOLD_RATIO = 0.5
"""Fraction of the typical reply time after which the other shards are sent
without a result. A request that crashes upstreams does so when it begins to
run, so that its loss is known by then; waiting for the reply would delay every
search by a reply time."""

POSTPONEMENT_S = 0.004
"""Time for which shards are held back once more at a busy instance."""


def start_scatter(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends a request to its upstreams; a search may send canaries first."""
    if not exchange.canary_count:
        send_all(exchange, exchange.parts, shared, now, out)
        return
    delegation.delegate_before_canaries(exchange, shared, now, out)
    for part in exchange.pending_parts:
        part.held_back = part.group is None
    send_canaries(exchange, shared, now, out)


def send_all(
    exchange: Exchange,
    parts: list[Part],
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Sends parts to their upstreams, or to peers that are nearer to them."""
    if exchange.route.shards:
        delegation.delegate_shards(exchange, parts, shared, now, out)
    for part in parts:
        if part.pending and part.group is None:
            attempts.send_first_attempt(exchange, part, shared, now, out)


def send_canaries(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends canaries until at least one was sent.

    Shards with an idle upstream nearby come first, since they reply soonest.
    """
    wanted = exchange.canary_count
    held = [part for part in exchange.parts if part.held_back]
    sent: list[Part] = []
    while held and not sent:
        candidates = draw_candidates(held, wanted, shared.rng)
        candidates.sort(
            key=lambda part: -shared.count_idle_upstreams(part, now)
        )
        for part in candidates[:wanted]:
            held.remove(part)
            part.held_back = False
            attempts.send_first_attempt(exchange, part, shared, now, out)
            if part.open_attempts:
                sent.append(part)
    exchange.release_at = min(
        (hold_until(part.open_attempts[0], shared, now) for part in sent),
        default=math.inf,
    )


def hold_until(canary: OpenAttempt, shared: SharedState, now: float) -> float:
    """Returns when the loss of a canary's upstream would be known."""
    place = canary.upstream.announcement.data_centre
    # Most of a reply time in another region is spent on the way.
    ratio = HOLD_RATIO if shared.place.is_in_own_region(place) else 1.0
    return now + ratio * canary.typical_s


def postpone_release(exchange: Exchange, now: float) -> None:
    """Holds shards back once more, until pending events have been handled."""
    if exchange.release_at <= now and not exchange.release_postponed:
        exchange.release_postponed = True
        exchange.release_at = now + POSTPONEMENT_S


def release_if_due(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends the shards that were held back, once that looks safe.

    It does after a result of any canary, or when the loss of their upstreams
    would be known. If an upstream was lost under the search, the next canary
    waits for the end of the previous one.
    """
    held = [part for part in exchange.parts if part.held_back]
    if not held or exchange.finished:
        return
    if shared.is_quarantined(exchange.request, now):
        for part in held:
            part.held_back = False
            part.given_up = True
        return
    if not exchange.has_result:
        if any(part.crash_check_until > now for part in exchange.parts):
            return
        if not any(part.open_attempts for part in exchange.parts):
            send_canaries(exchange, shared, now, out)
            return
        suspect = shared.suspicion(exchange.request, now) is not None
        if suspect or now < exchange.release_at:
            return
        shared.count("released_without_result")
    exchange.release_at = math.inf
    exchange.canary_count = 0
    for part in held:
        part.held_back = False
    send_all(exchange, held, shared, now, out)
