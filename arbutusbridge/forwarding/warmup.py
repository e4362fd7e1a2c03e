"""Limits on the rate of requests to upstreams that are still cold.

A cold upstream is treated as one that names a rate limit: its allocator grants
shares by reported demand (``allocation``). The bound on any second holds for
all instances together even if all buckets are full. Therefore a share that was
granted stays reserved until it has expired at its instance, only a few
instances have a share at the same time, and a bucket without a rate is empty.
"""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding.leaving import withdraw_unsent
from arbutusbridge.forwarding.ratelimit import GRANT_TTL_S, RateLimit

if TYPE_CHECKING:
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.limitbook import LimitBook, ReportedDemand
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import Upstream

GRANTED_FRACTION = 0.7
"""Fraction of the maximum rate that is divided. It leaves room for the buckets
in the bound of the users, 1.5 times the rate and 5 requests in any second."""

FALLBACK_FRACTION = 0.1
"""Fraction of the divided rate that the instances of the fallback share."""

FALLBACK_INSTANCES = 2
"""Number of instances that may send without a grant. Each has a bucket of one
request, so that all instances together cannot have one each."""

HOLDERS_PER_RATE = 0.5
"""Instances with a grant at a time, per request per second of the maximum rate,
in addition to one. With buckets of one request, the sum in any second is at
most (0.7 x 1.05 + 0.07 + 0.5) x rate + 3 requests."""

DEPTH_S = 0.05
"""Depth of a bucket above one request, as a time at its rate."""

ROUND_FRACTION = 0.5
"""Fraction of what is free that is granted at once. The first reports come
from a few instances, and what they get stays reserved."""

RESERVATION_S = GRANT_TTL_S + 1.0
"""Time for which a grant is reserved: its validity, and the longest delay of
its message."""

ALLOCATOR_HOLD_S = 10.0
"""Time after which an allocator that has just started, or whose predecessor is
gone, grants shares: other instances may turn to it up to 5 s later, and grants
of the predecessor are valid for 4 s."""

MAX_STORE_AGE_S = 8.0
"""Time without a confirmation by the store after which an allocator grants
nothing. Its lease lasts at least as long, and a successor waits for
ALLOCATOR_HOLD_S after it, until grants of this one have expired."""


def max_rate_of(upstream: Upstream, shared: SharedState) -> float:
    """Returns the maximum rate of a cold upstream, 0 for no limit."""
    if shared.table is None:
        return 0.0
    warm_ups = shared.table.configuration.warm_ups
    warm_up = warm_ups.get(upstream.announcement.service)
    return warm_up.max_rate if warm_up is not None else 0.0


def update(shared: SharedState, now: float, out: list[object]) -> None:
    """Begins and ends the limits of cold upstreams.

    Attempts that wait for a connection to one that has become cold are
    withdrawn; they would arrive without a limit.
    """
    for upstream in list(shared.limits.cold.values()):
        update_one(upstream, shared, now, out)


def update_one(
    upstream: Upstream, shared: SharedState, now: float, out: list[object]
) -> None:
    """Begins, changes or ends the limit of a cold upstream."""
    book, name = shared.limits, upstream.name
    rate = max_rate_of(upstream, shared)
    is_cold = upstream.warmed_up_at > now and not upstream.removed
    if is_cold and rate > 0.0:
        begin(upstream, rate, shared, now, out)
        return
    if not is_cold:
        del book.cold[name]
        book.fallbacks.pop(name, None)
    if upstream.cold_limit is None:
        return
    upstream.cold_limit = None
    is_listed = book.limited.get(name) is upstream
    if is_listed and upstream.limit is None and name not in book.ended_at:
        del book.limited[name]
        book.reported.pop(name, None)
    detail = {"upstream": name, "removed": upstream.removed}
    out.append(Decision("", "upstream_warm", detail))


def begin(
    upstream: Upstream,
    rate: float,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Limits the rate of requests to a cold upstream, or changes the limit."""
    limit = upstream.cold_limit
    if limit is not None:
        limit.refill(now)
        limit.max_rate = GRANTED_FRACTION * rate
        limit.fallback_share = fallback_share(upstream, shared)
        return
    upstream.cold_since = now
    upstream.cold_limit = RateLimit(
        GRANTED_FRACTION * rate,
        now,
        fallback_share(upstream, shared),
        reserve=0.0,
        depth_s=DEPTH_S,
        keeps_tokens=False,
    )
    shared.limits.limited[upstream.name] = upstream
    shared.limits.report_due = True
    detail = {
        "upstream": upstream.name,
        "service": upstream.announcement.service,
        "max_rate": rate,
        "left_s": round(upstream.warmed_up_at - now, 1),
        "open": len(upstream.open_attempts),
    }
    out.append(Decision("", "upstream_cold", detail))
    withdraw_unsent(upstream, out)


def fallback_share(upstream: Upstream, shared: SharedState) -> float:
    """Returns the share of this instance without a grant, 0 to 1.

    The same few instances of the fleet have one, whichever is asked.
    """
    gather = shared.gather
    own, peers = gather.own_peer, gather.peer_table.peers
    if own is None or not peers:
        # Without a list of the others, nothing tells which of many may send.
        few = shared.instances <= 1 + FALLBACK_INSTANCES
        return 1.0 / max(1, shared.instances) if few else 0.0
    fallbacks = shared.limits.fallbacks
    cached = fallbacks.get(upstream.name)
    if cached is not None and cached[0] is peers:
        return cached[1]
    order = sorted(
        [own.name, *peers],
        key=lambda name: zlib.crc32(f"{upstream.name} {name}".encode()),
    )
    is_chosen = own.name in order[:FALLBACK_INSTANCES]
    share = FALLBACK_FRACTION / FALLBACK_INSTANCES if is_chosen else 0.0
    fallbacks[upstream.name] = (peers, share)
    return share


def note_members(shared: SharedState, now: float) -> None:
    """Records the instances that have left the list since the last call."""
    book, table = shared.limits, shared.gather.peer_table
    if table.peers is book.members:
        return
    for name, peer in book.members.items():
        if name not in table.peers:
            book.departed[name] = (peer, now)
    book.members = table.peers
    book.departed = {
        name: (peer, at)
        for name, (peer, at) in book.departed.items()
        if now - at < ALLOCATOR_HOLD_S and name not in table.peers
    }


def recent_members(shared: SharedState, now: float) -> list[Peer]:
    """Returns the instances that have left the list lately."""
    return [
        peer
        for peer, at in shared.limits.departed.values()
        if now - at < ALLOCATOR_HOLD_S
    ]


def divide(
    upstream: Upstream,
    demands: dict[str, ReportedDemand],
    book: LimitBook,
    now: float,
) -> dict[str, float]:
    """Returns the shares of the instances in the rate of a cold upstream.

    A share that another instance may still use is not granted again before it
    has expired.
    """
    assert upstream.cold_limit is not None
    rate = upstream.cold_limit.max_rate / GRANTED_FRACTION
    grants = book.cold_grants.setdefault(upstream.name, {})
    reserved: dict[str, float] = {}
    for name, given in list(grants.items()):
        given[:] = [one for one in given if now - one[0] < RESERVATION_S]
        if given:
            reserved[name] = max(share for _, share in given)
        else:
            del grants[name]
    most = 1 + int(HOLDERS_PER_RATE * rate)
    ordered = sorted(demands, key=lambda name: (-demands[name].rate, name))
    chosen = [one for one in ordered if demands[one].rate > 0.0][:most]
    total = sum(demands[name].rate for name in chosen)
    free = ROUND_FRACTION * max(0.0, 1.0 - math.fsum(reserved.values()))
    slots = math.ceil(ROUND_FRACTION * (most - len(reserved)))
    shares = dict.fromkeys(demands, 0.0)
    for name in chosen:
        current = reserved.get(name, 0.0)
        if not current and slots <= 0:
            continue
        share = min(demands[name].rate / total, current + free)
        if share <= 0.0:
            continue
        free -= max(0.0, share - current)
        slots -= not current
        grants.setdefault(name, []).append((now, share))
        shares[name] = share
    return shares
