"""Rate limits of upstreams, as one instance knows and keeps them.

An upstream names a limit for all instances together, and each instance sees its
own requests only. One instance, the allocator, divides a limit in proportion to
the demand that the others report; see ``allocation``.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import placement
from arbutusbridge.forwarding.limitmessages import TermsReport
from arbutusbridge.forwarding.messages import WithdrawAttempt
from arbutusbridge.forwarding.ratelimit import (
    URGENT_RESERVE,
    RateLimit,
    spread_return,
)
from arbutusbridge.forwarding.terms import UpstreamTerms

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import Upstream

FALLBACK_FRACTION = 0.1
"""Fraction of a limit that the instances without a valid grant share equally;
together with what the others are granted, it stays within the limit's slack."""

WAIT_RATIO = 0.25
"""Fraction of a route's target time for which a request may wait until the
limit of an upstream allows it; one that would wait longer is refused."""

MAX_RETRY_AFTER_S = 5.0
"""Maximum Retry-After delay of a request that limits hold back."""

MAX_REPORT_AGE_S = 86_400.0
"""Age that is reported of the terms of an upstream that has named none."""

NO_SHARE_RETRY_AFTER_S = 0.5
"""Retry-after delay if this instance has no share of a limit; others have."""


def learn_terms(
    upstream: Upstream,
    terms: UpstreamTerms,
    as_of: float,
    source: str,
    request_id: str,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Adopts what an upstream asks of the instances, and logs a change.

    Args:
      upstream: The upstream.
      terms: What it asks.
      as_of: When the request that it answered was sent. A response that was
        delayed on its way is older than later ones, and is ignored.
      source: Where this was learned, for the log.
      request_id: Id of the request that it answered, if it was sent from here.
      shared: State of this instance.
      now: The time.
      out: Actions, to which those of this function are appended.
    """
    if as_of < upstream.terms_as_of or upstream.removed:
        return
    previous, upstream.terms = upstream.terms, terms
    upstream.terms_as_of = as_of
    if previous.max_rate == terms.max_rate:
        return
    detail = {
        "upstream": upstream.name,
        "service": upstream.announcement.service,
        "max_rate": terms.max_rate,
        "previous": previous.max_rate,
        "source": source,
    }
    out.append(Decision(request_id, "limit_changed", detail))
    book = shared.limits
    if terms.max_rate is None:
        upstream.limit = None
        book.ended_at[upstream.name] = now
        book.report_due = True
        return
    if upstream.limit is not None:
        upstream.limit.refill(now)
        upstream.limit.max_rate = terms.max_rate
        return
    upstream.limit = RateLimit(terms.max_rate, now, fallback_share(shared))
    book.limited[upstream.name] = upstream
    book.ended_at.pop(upstream.name, None)
    book.report_due = True
    # Attempts that still wait for a connection would arrive unlimited.
    out += [WithdrawAttempt(number) for number in upstream.open_attempts]


def fallback_share(shared: SharedState) -> float:
    """Returns the share of a limit that needs no grant, 0 to 1."""
    equal_share = 1.0 / max(1, shared.instances)
    if not shared.gather.peer_table.peers:
        return equal_share
    return equal_share * FALLBACK_FRACTION


def reserve_for_urgent(
    exchange: Exchange, upstream: Upstream, shared: SharedState
) -> float:
    """Returns the tokens that a request must leave to more urgent ones."""
    table = shared.table
    service = upstream.announcement.service
    if table is None or exchange.urgency <= table.top_urgency(service):
        return 0.0
    return URGENT_RESERVE


def ready_at(
    exchange: Exchange, upstream: Upstream, shared: SharedState, now: float
) -> float:
    """Returns when the limit of an upstream allows a request."""
    ready = now
    if upstream.limit is not None:
        reserve = reserve_for_urgent(exchange, upstream, shared)
        ready = upstream.limit.ready_at(reserve, now)
    if upstream.cold_limit is not None and upstream.warmed_up_at > now:
        ready = max(ready, upstream.cold_limit.ready_at(0.0, now))
    return ready


def current_rate(upstream: Upstream, now: float) -> float:
    """Returns the rate that its limits leave to this instance, 0 if none."""
    found = (upstream.limit, upstream.cold_limit)
    return min((one.rate(now) for one in found if one), default=0.0)


def service_ready_at(
    exchange: Exchange, service: str, shared: SharedState, now: float
) -> float:
    """Returns when the limits of a service's upstreams allow a request.

    Returns infinity if there are no upstreams.
    """
    return min(
        (
            ready_at(exchange, upstream, shared, now)
            for upstream in placement.eligible(exchange, service, shared, now)
        ),
        default=math.inf,
    )


def latest_wait(exchange: Exchange) -> float:
    """Returns until when a part of a request may wait for a limit."""
    return exchange.request.arrived + WAIT_RATIO * exchange.route.target_s


def retry_after_s(
    exchange: Exchange, services: list[str], shared: SharedState, now: float
) -> float:
    """Returns when a request that limits hold back should come back, in s.

    Every such request gets a later time than the one before, at the rate that
    the limits allow, so that they do not come back at once.

    Args:
      exchange: The request.
      services: Services whose limits hold it back.
      shared: State of this instance.
      now: The time.
    """
    service = max(
        services,
        key=lambda one: service_ready_at(exchange, one, shared, now),
    )
    ready = service_ready_at(exchange, service, shared, now)
    if math.isinf(ready):
        return NO_SHARE_RETRY_AFTER_S
    rate = sum(
        current_rate(upstream, now)
        for upstream in placement.eligible(exchange, service, shared, now)
    )
    last = shared.limits.return_times.get(service, now)
    at = spread_return(last, ready, rate)
    at = min(at, now + MAX_RETRY_AFTER_S)
    shared.limits.return_times[service] = at
    return at - now


def count_limited(shared: SharedState) -> int:
    """Returns the number of upstreams with a limit in force."""
    return sum(
        upstream.limit is not None
        for upstream in shared.limits.limited.values()
    )


def build_report(upstream: Upstream, now: float) -> TermsReport:
    """Builds the report of an upstream's terms for peers."""
    return TermsReport(
        upstream.name,
        upstream.announcement.started_ms,
        min(now - upstream.terms_as_of, MAX_REPORT_AGE_S),
        upstream.terms.max_rate,
    )


def learn_report(
    report: TermsReport,
    sender: str,
    shared: SharedState,
    now: float,
    out: list[object],
) -> Upstream | None:
    """Adopts what a peer reports of an upstream.

    Returns:
      The upstream, None if that start of it is not known here.
    """
    upstream = shared.directory.by_name.get(report.upstream)
    if upstream is None:
        return None
    if upstream.announcement.started_ms != report.started_ms:
        return None
    terms = UpstreamTerms(report.max_rate)
    as_of = now - report.age_s
    source = f"peer {sender}"
    learn_terms(upstream, terms, as_of, source, "", shared, now, out)
    return upstream
