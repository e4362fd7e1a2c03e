"""Canary attempts of searches: a few shards first, the others after a result.

A search that crashes upstreams then crashes a few of them instead of one of
each shard.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.forwarding import attempts, delegation, losses, placement
from arbutusbridge.forwarding.choice import reply_rank
from arbutusbridge.forwarding.gather import GatherRelease

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import (
        DelegatedGroup,
        Exchange,
        Part,
    )
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
    Shards may also be held back because a peer suspects the request, while none
    are wanted here.
    """
    if delegate_canary(exchange, shared, now, out):
        return
    wanted = max(1, exchange.canary_count)
    held = [part for part in exchange.parts if part.held_back]
    sent: list[Part] = []
    while held and not sent:
        candidates = shared.rng.sample(held, min(CANDIDATES, len(held)))
        candidates.sort(key=lambda part: rank_part(exchange, part, shared, now))
        for part in candidates[:wanted]:
            held.remove(part)
            part.held_back = False
            attempts.send_first_attempt(exchange, part, shared, now, out)
            if part.open_attempts:
                sent.append(part)
    typical_s = max(
        (part.open_attempts[0].typical_s for part in sent), default=math.inf
    )
    schedule_next(exchange, typical_s, now)


def rank_part(
    exchange: Exchange, part: Part, shared: SharedState, now: float
) -> float:
    """Returns a number that is lower the sooner a part may have a reply."""
    upstreams = placement.eligible(exchange, part.service, shared, now)
    return min(
        (reply_rank(one, shared.place, now) for one in upstreams),
        default=math.inf,
    )


def schedule_next(exchange: Exchange, typical_s: float, now: float) -> None:
    """Sets when another canary is sent if this one has no result by then."""
    wait_s = max(MIN_WAIT_S, TYPICAL_FACTOR * typical_s + SLACK_S)
    exchange.next_canary_at = now + wait_s * exchange.canary_backoff
    exchange.canary_backoff *= BACKOFF_FACTOR


def delegate_canary(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> bool:
    """Delegates the first canary of a wide scatter to a helper, if it can.

    A helper queries these shards for many instances, so that its connections
    are open and it knows which upstreams reply soon. A suspect is sent from
    here, and so are the canaries after the first, which may be overdue because
    of the helper.
    """
    if exchange.groups or shared.suspicion(exchange.request, now) is not None:
        return False
    held = [part for part in exchange.parts if part.held_back]
    group = delegation.delegate_canary_share(exchange, held, shared, now, out)
    if group is None:
        return False
    for part in group.parts:
        part.held_back = False
    exchange.canary_group = group
    typical_s = shared.reply_times.typical(
        exchange.route, group.peer.data_centre
    )
    schedule_next(exchange, typical_s + group.peer.ack_s, now)
    return True


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
        is_open = any(part.open_attempts for part in exchange.parts) or (
            has_delegated_canary(exchange)
        )
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
    group = exchange.canary_group
    if group is not None and has_delegated_canary(exchange):
        if not group.peer.sends_updates:
            held += delegation.take_back(group, shared, now, out)
        elif not any(part.reply for part in group.parts):
            delegation.notify_peer(group, GatherRelease, shared, out)
    for part in held:
        part.held_back = False
    send_all(exchange, held, shared, now, out)


def on_acknowledged(
    group: DelegatedGroup, shared: SharedState, now: float
) -> None:
    """Sets when the next canary is due once a helper has sent the first.

    How long the message took is known then, and no longer estimated.
    """
    exchange = group.exchange
    if group is exchange.canary_group and not exchange.finished:
        typical_s = shared.reply_times.typical(
            exchange.route, group.peer.data_centre
        )
        way_s = (now - group.sent_at) / 2
        due_at = now + TYPICAL_FACTOR * typical_s + way_s + SLACK_S
        due_at = max(due_at, group.sent_at + MIN_WAIT_S)
        exchange.next_canary_at = min(exchange.next_canary_at, due_at)


def has_delegated_canary(exchange: Exchange) -> bool:
    """Returns whether a helper still queries shards for the first canary."""
    group = exchange.canary_group
    return group is not None and any(
        part.group is group for part in group.parts
    )


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
