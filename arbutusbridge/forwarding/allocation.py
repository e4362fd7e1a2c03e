"""Division of the rate limits of upstreams among instances.

For each limited upstream one instance is the allocator: the first in a fixed
pseudo-random order of the instances in the data centre of the upstream. Every
instance with requests for the upstream reports its demand there each second and
gets its share of the limit in return. The allocator keeps no lasting state:
after a restart, or at its successor, the next reports make it up.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import limits, warmup
from arbutusbridge.forwarding.gather import SendGatherMessage
from arbutusbridge.forwarding.limitbook import ReportedDemand
from arbutusbridge.forwarding.limitmessages import DemandNotice, ShareNotice
from arbutusbridge.forwarding.notices import contacts
from arbutusbridge.forwarding.ranking import rank_peers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.limitmessages import TermsReport
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import Upstream

CHECK_INTERVAL_S = 0.25
"""Interval at which an instance checks whether a notice is due."""

NOTICE_INTERVAL_S = 1.0
"""Interval of the reports of demand, and of the shares in return."""

IDLE_DEMAND = 0.02
"""Demand below which it is reported less often: about ten seconds after the
last request, in requests per second."""

IDLE_INTERVAL_S = 8.0
"""Interval of the reports of instances with hardly any demand. They ask for
the limit itself, which may have ended."""

DEMAND_TTL_S = 3.0
"""Time for which reported demand is counted."""

END_REPORT_S = 3.0
"""Time for which the end of a limit is reported; it reaches the allocator even
if two reports are lost."""

SILENCE_LIMIT_S = 2.5
"""Time without a grant after which an instance turns to another allocator."""

ALLOCATOR_EXCLUSION_S = 10.0
"""Time for which a silent allocator is excluded; by then its key in the store
has been removed if it has ended."""

SUBSTITUTE_FRACTION = 0.25
"""Fraction of a limit that an allocator divides which is not the first in
order. Instances that are cut off from the first one turn to it, while the first
one goes on dividing the whole limit among the others."""

HOLDERS_PER_RATE = 0.75
"""Instances with a share of a limit, per request per second of the limit; their
buckets, which may all be full, then hold less than what the users' rule leaves
above the limit (docs/design/limits.md)."""

MIN_HOLDERS = 1.5
"""Instances with a share in addition to those."""

MAX_NOTICE_UPSTREAMS = 128
"""Maximum number of upstreams in one notice."""

NO_GRANT = -1.0
"""Share in a notice that only tells of a limit."""

LOGGED_SHARE_CHANGE = 0.1
"""Change of a share from which on it is logged."""


def divides_alone(upstream: Upstream, shared: SharedState, now: float) -> bool:
    """Returns whether this instance is the only allocator of an upstream.

    It is the first in order, and no instance that was so lately is gone. One
    that does not hear from the store may have been replaced.
    """
    if now - shared.get_confirmed_at() > warmup.MAX_STORE_AGE_S:
        return False
    if now - shared.started_at < warmup.ALLOCATOR_HOLD_S:
        return False
    cold_s = now - upstream.cold_since
    if upstream.limit is not None and cold_s < warmup.RESERVATION_S:
        # Shares of the limit that it names have not been reserved.
        return False
    lately = warmup.recent_members(shared, now)
    ranked = rank_allocators(upstream, shared, lately)
    return ranked[0] is shared.gather.own_peer


def rank_allocators(
    upstream: Upstream, shared: SharedState, others: Iterable[Peer] = ()
) -> list[Peer]:
    """Returns the instances that may allocate a limit, the first one first.

    These are the instances in the data centre of the upstream, which are the
    least likely to be cut off from it, or all if there is none.

    Args:
      upstream: The upstream.
      shared: State of this instance.
      others: Instances to rank besides those that are known now.
    """
    own = shared.gather.own_peer
    assert own is not None
    everyone = [own, *shared.gather.peer_table.peers.values(), *others]
    place = upstream.announcement.data_centre
    near = [peer for peer in everyone if peer.data_centre == place]
    return rank_peers(upstream.name, near or everyone)


def choose_allocator(
    upstream: Upstream, shared: SharedState, now: float
) -> Peer:
    """Returns the allocator that this instance reports to."""
    ranked = rank_allocators(upstream, shared)
    for peer in ranked:
        if not shared.limits.silence.is_excluded(peer.name, now):
            return peer
    return ranked[0]


def exchange(shared: SharedState, now: float, out: list[object]) -> None:
    """Reports demand and grants shares, as far as they are due."""
    book = shared.limits
    if shared.gather.own_peer is None or not (book.limited or book.demands):
        return
    # The timer that calls this may be a little early.
    due_at = now - 0.9 * NOTICE_INTERVAL_S
    if book.report_due or book.reported_at <= due_at:
        book.report_due = False
        book.reported_at = now
        remove_ended(shared, now)
        report_demand(shared, now, out)
    if book.grants_due or book.granted_at <= due_at:
        book.grants_due = False
        book.granted_at = now
        grant_shares(shared, now, out)


def remove_ended(shared: SharedState, now: float) -> None:
    """Removes the upstreams that are gone or whose limit ended a while ago."""
    book = shared.limits
    for name, upstream in list(book.limited.items()):
        ended_at = book.ended_at.get(name, math.inf)
        has_ended = now - ended_at > END_REPORT_S
        if upstream.removed or (has_ended and not upstream.cold_limit):
            del book.limited[name]
            book.ended_at.pop(name, None)
            book.reported.pop(name, None)
        elif upstream.limit is not None:
            # That of a cold one is updated with its limit.
            upstream.limit.fallback_share = limits.fallback_share(shared)


def report_demand(shared: SharedState, now: float, out: list[object]) -> None:
    """Reports the demand for limited upstreams to their allocators."""
    book = shared.limits
    own = shared.gather.own_peer
    assert own is not None
    upstreams_by_allocator: dict[str, tuple[Peer, list[Upstream]]] = {}
    for upstream in book.limited.values():
        last_at = book.reported.get(upstream.name, -math.inf)
        is_idle = upstream.demand.rate(now) < IDLE_DEMAND
        if (
            is_idle
            and (upstream.limit or upstream.cold_limit)
            and now - last_at < IDLE_INTERVAL_S
        ):
            continue
        book.reported[upstream.name] = now
        peer = choose_allocator(upstream, shared, now)
        upstreams_by_allocator.setdefault(peer.name, (peer, []))[1].append(
            upstream
        )
    for name, (peer, upstreams) in upstreams_by_allocator.items():
        if peer is own:
            for upstream in upstreams:
                rate = upstream.demand.rate(now)
                record_demand(upstream, name, None, rate, shared, now)
            continue
        if is_silent(name, shared, now, out):
            continue
        notice = DemandNotice(own.name, own.address)
        for upstream in upstreams[:MAX_NOTICE_UPSTREAMS]:
            notice.terms.append(limits.build_report(upstream, now))
            notice.demand.append(round(upstream.demand.rate(now), 3))
        out.append(SendGatherMessage(peer.address, notice))


def is_silent(
    name: str, shared: SharedState, now: float, out: list[object]
) -> bool:
    """Returns whether an allocator no longer answers, and excludes it then."""
    book = shared.limits
    silent_s = book.silence.sent(name, now)
    if silent_s <= SILENCE_LIMIT_S:
        return False
    book.silence.exclude(name, now + ALLOCATOR_EXCLUSION_S)
    book.report_due = True
    detail = {"peer": name, "silent_s": round(silent_s, 1)}
    out.append(Decision("", "allocator_given_up", detail))
    return True


def record_demand(
    upstream: Upstream,
    name: str,
    reply_to: tuple[str, int] | None,
    rate: float,
    shared: SharedState,
    now: float,
) -> None:
    """Records the demand of an instance for an upstream."""
    book = shared.limits
    demands = book.demands.setdefault(upstream.name, {})
    if name not in demands:
        book.grants_due = True
    demands[name] = ReportedDemand(reply_to, rate, now)


def on_demand(
    notice: DemandNotice, shared: SharedState, now: float, out: list[object]
) -> None:
    """Handles the demand that another instance reports."""
    for report, rate in zip(notice.terms, notice.demand, strict=False):
        upstream = limits.learn_report(report, notice.sender, shared, now, out)
        if upstream is not None:
            record_demand(
                upstream, notice.sender, notice.reply_to, rate, shared, now
            )


def grant_shares(shared: SharedState, now: float, out: list[object]) -> None:
    """Sends all instances that reported demand their shares.

    Other peers are told of a limit once, when it begins.
    """
    book = shared.limits
    own = shared.gather.own_peer
    assert own is not None
    notices: dict[tuple[str, int], ShareNotice] = {}

    def add(
        address: tuple[str, int], report: TermsReport, share: float
    ) -> None:
        notice = notices.setdefault(address, ShareNotice(own.name))
        if len(notice.terms) < MAX_NOTICE_UPSTREAMS:
            notice.terms.append(report)
            notice.shares.append(round(share, 4))

    for upstream_name, demands in list(book.demands.items()):
        for name, demand in list(demands.items()):
            if now - demand.at > DEMAND_TTL_S:
                del demands[name]
        upstream = shared.directory.by_name.get(upstream_name)
        if upstream is None or not demands:
            del book.demands[upstream_name]
            book.spread.discard(upstream_name)
            continue
        report = limits.build_report(upstream, now)
        shares = divide_limit(upstream, demands, shared, now)
        for name, demand in demands.items():
            if demand.reply_to is None:
                if shares[name] >= 0.0:
                    adopt_share(upstream, shares[name], own.name, now, out)
            else:
                add(demand.reply_to, report, shares[name])
        is_named = upstream.terms.max_rate is not None
        if is_named and upstream_name not in book.spread:
            book.spread.add(upstream_name)
            for peer in contacts(shared):
                if peer.name not in demands:
                    add(peer.address, report, NO_GRANT)
    out += [
        SendGatherMessage(address, notice)
        for address, notice in notices.items()
    ]


def divide_limit(
    upstream: Upstream,
    demands: dict[str, ReportedDemand],
    shared: SharedState,
    now: float,
) -> dict[str, float]:
    """Returns the share of each instance in the limit of an upstream.

    A cold one is divided by an instance that is the only one to do so, and
    otherwise by none. Shares are proportional to demand. A low limit is divided
    among the few instances with the greatest demand.
    """
    if upstream.cold_limit is not None:
        if not divides_alone(upstream, shared, now):
            return dict.fromkeys(demands, NO_GRANT)
        return warmup.divide(upstream, demands, shared.limits, now)
    if upstream.terms.max_rate is None:
        # An instance that knows it to be cold already must not use a share that
        # is not reserved.
        return dict.fromkeys(demands, NO_GRANT)
    max_rate = upstream.terms.max_rate
    shares = dict.fromkeys(demands, 0.0)
    ordered = sorted(demands, key=lambda name: (-demands[name].rate, name))
    most_holders = max(1, int(HOLDERS_PER_RATE * max_rate + MIN_HOLDERS))
    holders = [name for name in ordered if demands[name].rate > 0.0]
    holders = holders[:most_holders] or ordered[:1]
    total = sum(demands[name].rate for name in holders)
    own = shared.gather.own_peer
    is_first = rank_allocators(upstream, shared)[0] is own
    fraction = 1.0 if is_first else SUBSTITUTE_FRACTION
    for name in holders:
        part = demands[name].rate / total if total else 1.0 / len(holders)
        shares[name] = fraction * part
    return shares


def on_shares(
    notice: ShareNotice, shared: SharedState, now: float, out: list[object]
) -> None:
    """Adopts the shares that an allocator grants."""
    shared.limits.silence.heard(notice.sender, now)
    for report, share in zip(notice.terms, notice.shares, strict=False):
        upstream = limits.learn_report(report, notice.sender, shared, now, out)
        if upstream is not None and share >= 0.0:
            adopt_share(upstream, share, notice.sender, now, out)


def adopt_share(
    upstream: Upstream,
    share: float,
    allocator: str,
    now: float,
    out: list[object],
) -> None:
    """Adopts the share of a limit; logs a great change."""
    cold_limit = upstream.cold_limit
    limit = upstream.limit or cold_limit
    if limit is None:
        return
    previous = limit.share if limit.has_grant(now) else 0.0
    if cold_limit is not None:
        cold_limit.grant(share, now)
    if limit is not cold_limit:
        limit.grant(share, now)
    if abs(share - previous) >= LOGGED_SHARE_CHANGE:
        detail = {
            "upstream": upstream.name,
            "max_rate": limit.max_rate,
            "share": share,
            "previous": round(previous, 4),
            "allocator": allocator,
            "demand": round(upstream.demand.rate(now), 2),
        }
        out.append(Decision("", "limit_share", detail))
