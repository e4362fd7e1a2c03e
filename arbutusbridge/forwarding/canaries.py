"""Canary attempts of searches: a few shards first, the others after a result.

A search that crashes upstreams then crashes a few of them instead of one of
each shard.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.forwarding import attempts, delegation, losses

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange, Part
    from arbutusbridge.forwarding.shared import SharedState

CANDIDATES = 8
"""Maximum number of shards drawn at random that a canary is chosen from, so
that the canaries of many searches spread over all shards."""

TYPICAL_FACTOR = 1.25
"""Multiple of the typical reply time after which another canary is sent."""

SLACK_S = 0.004
"""Time added to that; it covers timer delays."""

MIN_WAIT_S = 0.03
"""Minimum time after which another canary is sent, so that the crashes of both
are told from an outage."""

BACKOFF_FACTOR = 4.0
"""Factor by which the wait for a canary's reply grows with each further one."""


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

    They go to the shards that will probably reply soonest, as all others wait.
    """
    wanted = exchange.canary_count
    held = [part for part in exchange.parts if part.held_back]
    sent: list[Part] = []
    while held and not sent:
        candidates = shared.rng.sample(held, min(CANDIDATES, len(held)))
        candidates.sort(key=lambda part: shared.reply_rank(part, now))
        for part in candidates[:wanted]:
            held.remove(part)
            part.held_back = False
            attempts.send_first_attempt(exchange, part, shared, now, out)
            if part.open_attempts:
                sent.append(part)
    typical_s = max(
        (part.open_attempts[0].typical_s for part in sent), default=math.inf
    )
    wait_s = max(MIN_WAIT_S, TYPICAL_FACTOR * typical_s + SLACK_S)
    exchange.next_canary_at = now + wait_s * exchange.canary_backoff
    exchange.canary_backoff *= BACKOFF_FACTOR


def release_if_due(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends the shards that were held back once any canary has a result.

    No wait is long enough to show that a request crashes nothing, since it may
    do so at the end of its run. A canary that is overdue is followed by one to
    another shard, each later than the one before; if an upstream was lost under
    the search, the next canary waits for the end of the previous one.
    """
    held = [part for part in exchange.parts if part.held_back]
    if not held or exchange.finished:
        return
    if shared.is_quarantined(exchange.request, now):
        for part in held:
            part.held_back = False
            part.given_up = True
        return
    verdict_due_at = shared.verdict_due_at(exchange.request)
    if verdict_due_at is not None:
        exchange.next_canary_at = verdict_due_at
        return
    if not exchange.has_result:
        if any(part.crash_check_until > now for part in exchange.parts):
            return
        is_open = any(part.open_attempts for part in exchange.parts)
        if shared.suspicion(exchange.request, now) is not None:
            advance_suspect(exchange, is_open, shared, now, out)
            return
        if is_open:
            if now < exchange.next_canary_at:
                return
            shared.count("canary_overdue")
        send_canaries(exchange, shared, now, out)
        return
    exchange.next_canary_at = math.inf
    exchange.canary_count = 0
    for part in held:
        part.held_back = False
    send_all(exchange, held, shared, now, out)


def advance_suspect(
    exchange: Exchange,
    is_open: bool,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Sends the next canary of a suspect, or checks those that still run.

    Either waits until an outage that may have been the cause so far is over.
    """
    outage_over_at = shared.outage_over_at(exchange.request)
    if now <= outage_over_at:
        exchange.next_canary_at = outage_over_at + attempts.TIMER_MARGIN_S
    elif is_open:
        fingerprint = exchange.request.fingerprint
        losses.check_open_attempts(fingerprint, shared, now, out)
    else:
        send_canaries(exchange, shared, now, out)
