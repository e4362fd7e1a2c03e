"""Descriptions of upstreams, shards and peers in an explanation."""

from __future__ import annotations

import copy
import dataclasses
import math
from collections import Counter
from typing import TYPE_CHECKING, Any

from arbutusbridge.forwarding import (
    choice,
    limits,
    overflow,
    placement,
    quotaranking,
    quotas,
)
from arbutusbridge.forwarding.conclusion import describe_missing
from arbutusbridge.forwarding.quotabook import AccountUse

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.forwarder import Forwarder
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.model import Account, Route
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import Upstream

MAX_LISTED = 100
"""Maximum number of entries of each list in an explanation, so that its size is
bounded. The counts beside a list cover all entries."""

Section = dict[str, Any]


def describe_upstreams(
    exchange: Exchange, service: str, shared: SharedState, now: float
) -> Section:
    """Describes the upstreams of a service, the cheapest eligible first."""
    eligible = placement.eligible(exchange, service, shared, now)
    found = [
        describe_upstream(exchange, one, one in eligible, shared, now)
        for one in shared.directory.services.get(service, {}).values()
    ]
    found.sort(key=lambda one: (one["why_not"] is not None, one["cost_ms"]))
    return {
        "known": len(found),
        "eligible": len(eligible),
        "listed": found[:MAX_LISTED],
    }


def describe_upstream(
    exchange: Exchange,
    upstream: Upstream,
    is_eligible: bool,
    shared: SharedState,
    now: float,
) -> Section:
    """Describes the expected cost of an upstream, and what excludes it."""
    route, times = exchange.route, shared.reply_times
    data_centre = upstream.announcement.data_centre
    parts = choice.cost_parts(upstream, route, times, shared.place, now)
    why_not = None
    if not is_eligible:
        why_not = find_exclusion(exchange, upstream, shared, now)
    ready_at = now
    if shared.limits.limited:
        ready_at = limits.ready_at(exchange, upstream, shared, now)
        if is_eligible and ready_at > now:
            why_not = "rate_limit"
    limit = upstream.limit
    return {
        "upstream": upstream.name,
        "data_centre": data_centre,
        "why_not": why_not,
        "cost_ms": to_ms(sum(parts)),
        "parts_ms": {
            "reply": to_ms(parts.reply_s),
            "failures": to_ms(parts.failure_s),
            "transfer": to_ms(parts.transfer_s),
            "overdue": to_ms(parts.overdue_s),
            "unreachable": to_ms(parts.unreachable_s),
        },
        "typical_ms": to_ms(times.typical(route, data_centre)),
        "slowdown": round(choice.slowdown(upstream, now), 3),
        "queue_per_slot": round(upstream.queue_per_slot(now), 3),
        "failure_rate": round(upstream.failure_rate, 3),
        "open_attempts": len(upstream.open_attempts),
        "cold_ms": to_ms(max(0.0, upstream.warmed_up_at - now)),
        "leaving": upstream.leaving_at < math.inf,
        "paused_ms": to_ms(max(0.0, upstream.paused_until - now)),
        "max_rate": None if limit is None else limit.max_rate,
        "rate_here": round(limits.current_rate(upstream, now), 3),
        "ready_in_ms": to_ms(ready_at - now),
        "outcome_age_ms": to_ms(now - upstream.outcome_at),
        "load_age_ms": to_ms(now - upstream.load_reported_at),
    }


def find_exclusion(
    exchange: Exchange, upstream: Upstream, shared: SharedState, now: float
) -> str:
    """Returns why an upstream is not eligible for a request."""
    data_centre = upstream.announcement.data_centre
    if not placement.is_home(exchange, data_centre, shared):
        return placement.OUTSIDE_HOMES
    if data_centre in shared.evacuated:
        return placement.EVACUATED
    if upstream.removed:
        return "removed"
    return "paused" if upstream.paused_until > now else "leaving"


def count_places(
    exchange: Exchange, shared: SharedState, now: float
) -> dict[str, int]:
    """Counts the parts with an eligible upstream in each data centre."""
    counts = Counter(
        data_centre
        for part in exchange.parts
        for data_centre in {
            one.announcement.data_centre
            for one in placement.eligible(exchange, part.service, shared, now)
        }
    )
    return dict(sorted(counts.items())[:MAX_LISTED])


def describe_shards(
    exchange: Exchange, shared: SharedState, places: dict[str, int]
) -> Section:
    """Describes which shards are held where and which are left out."""
    missing = describe_missing(exchange, shared)
    left_out = {
        part.service: missing[part.service]
        for part in exchange.parts
        if part.given_up
    }
    listed = sorted(left_out)[:MAX_LISTED]
    return {
        "total": len(exchange.parts),
        "attainable": exchange.attainable,
        "least_coverage": exchange.route.least_coverage,
        "held_by_data_centre": places,
        "left_out": len(left_out),
        "left_out_listed": {one: left_out[one] for one in listed},
    }


def describe_sent(exchange: Exchange, now: float) -> Section:
    """Describes what is sent where at the start of a request."""
    places: Counter[str] = Counter()
    chosen: dict[str, str] = {}
    for part in exchange.parts:
        for attempt in part.open_attempts:
            places[attempt.upstream.announcement.data_centre] += 1
            chosen[part.service] = attempt.upstream.name
    waiting = [
        part.check_at - now
        for part in exchange.parts
        if part.pending and part.limited and not part.open_attempts
    ]
    return {
        "relayed": exchange.relayed,
        "by_data_centre": dict(sorted(places.items())[:MAX_LISTED]),
        "upstreams": dict(sorted(chosen.items())[:MAX_LISTED]),
        "to_peers": [
            {
                "peer": group.peer.name,
                "data_centre": group.peer.data_centre,
                "parts": len(group.parts),
            }
            for group in exchange.groups[:MAX_LISTED]
        ],
        "held_back": sum(part.held_back for part in exchange.parts),
        "waiting_for_rate_limit": len(waiting),
        "longest_wait_ms": to_ms(max(waiting, default=0.0)),
    }


def describe_peers(
    exchange: Exchange, shared: SharedState, now: float
) -> Section:
    """Describes the peers, and why some may not be sent the request."""
    peers = shared.gather.peer_table.peers.values()
    obstacles = {
        peer.name: why
        for peer in peers
        if (why := find_peer_exclusion(exchange, peer, shared, now))
    }
    listed = [
        {
            "peer": peer.name,
            "data_centre": peer.data_centre,
            "why_not": obstacles[peer.name],
            "excluded_ms": to_ms(max(0.0, peer.excluded_until - now)),
            "cut_off_ms": to_ms(max(0.0, peer.isolated_until - now)),
        }
        for peer in peers
        if peer.name in obstacles
    ]
    return {
        "known": len(peers),
        "available": len(peers) - len(obstacles),
        "unavailable": dict(Counter(obstacles.values())),
        "unavailable_listed": listed[:MAX_LISTED],
    }


def find_peer_exclusion(
    exchange: Exchange, peer: Peer, shared: SharedState, now: float
) -> str | None:
    """Returns why a peer is not sent the request, None if it may be."""
    obstacle = placement.find_peer_obstacle(exchange, peer, shared)
    if obstacle is not None or peer.is_available(now):
        return obstacle
    return "cut_off" if peer.isolated_until > now else "excluded"


def to_ms(seconds: float) -> float | None:
    """Returns a time in milliseconds, None for one that is infinite."""
    return round(seconds * 1000, 1) if math.isfinite(seconds) else None


def describe_quota(
    account: Account, forwarder: Forwarder, now: float
) -> Section:
    """Returns who decides on the quota of an account, and how it stands.

    The tokens are known at the ledger only.
    """
    state = copy.copy(forwarder)
    state.quotas = dataclasses.replace(
        forwarder.quotas, orders=dict(forwarder.quotas.orders)
    )
    section: Section = {"rate": account.rate, "burst": account.burst}
    ledger = None
    if state.gather.own_peer is not None:
        ledger = quotaranking.choose_ledger(account.name, state, now)
    bucket = state.quotas.buckets.get(account.name)
    if ledger is None or ledger is state.gather.own_peer:
        own = state.gather.own_peer
        section["ledger"] = own.name if own is not None else None
        section["tokens"] = None if bucket is None else round(bucket.tokens, 1)
        section["metered"] = bucket is not None and bucket.metered
        return section
    use = state.quotas.uses.get(account.name) or AccountUse()
    last_at = state.quotas.silence.last_at.get(ledger.name)
    section["ledger"] = ledger.name
    section["heard_ms"] = None if last_at is None else to_ms(now - last_at)
    section["metered"] = use.metered_until > now
    section["asks_for_token"] = quotas.needs_token(
        use, account.name, ledger, state, now
    )
    section["refused_for_ms"] = to_ms(max(0.0, use.refused_until - now))
    return section


def describe_overflow(
    route: Route, forwarder: Forwarder, now: float
) -> list[Section]:
    """Returns the fractions of a route's requests that are sent away."""
    state = forwarder.overflow
    return [
        {
            "data_centre": data_centre,
            "fraction": round(outflow.fraction, 3),
            "delay_ms": overflow.in_ms(state.delay(data_centre, now)),
            "age_ms": overflow.in_ms(state.age(data_centre, now)),
        }
        for (data_centre, name), outflow in sorted(state.outflows.items())
        if name == route.name
    ][:MAX_LISTED]
