"""Upstreams that want no requests from this instance for some time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import placement
from arbutusbridge.forwarding.leaving import withdraw_unsent

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import Upstream

MAX_RETURN_SPREAD_S = 2.0
"""Maximum time after the end of a pause at which a rejected request is told to
come back; they are spread at the rate that the upstreams can serve."""


def learn_pause(
    upstream: Upstream,
    pause_s: float,
    request_id: str,
    now: float,
    out: list[object],
) -> None:
    """Sends an upstream nothing for the time that it asks for.

    A response that was delayed on its way does not end a longer pause. Requests
    that wait for a connection to the upstream are sent elsewhere.

    Args:
      upstream: The upstream.
      pause_s: Time from now on, in seconds.
      request_id: Id of the request that it rejected.
      now: The time.
      out: Actions, to which those of this function are appended.
    """
    was_paused = upstream.paused_until > now
    upstream.paused_until = max(upstream.paused_until, now + pause_s)
    if was_paused:
        return
    detail = {
        "upstream": upstream.name,
        "service": upstream.announcement.service,
        "pause_ms": round(pause_s * 1000),
        "open": len(upstream.open_attempts),
    }
    out.append(Decision(request_id, "upstream_paused", detail))
    withdraw_unsent(upstream, out)


def pause_ends_at(
    exchange: Exchange, service: str, shared: SharedState, now: float
) -> float:
    """Returns when an upstream of a paused service may get a request again.

    Returns ``now`` if the service is not paused: one of its upstreams may get a
    request, or none would after a pause either.
    """
    if placement.eligible(exchange, service, shared, now):
        return now
    paused = [
        one.paused_until
        for one in placement.permitted(exchange, service, shared)
        if one.leaving_at == math.inf and not one.removed
    ]
    return max(now, min(paused, default=now))


def retry_after_s(
    exchange: Exchange, shared: SharedState, now: float
) -> float | None:
    """Returns when a request that pauses hold back should come back, in s.

    Every such request gets a later time than the one before, so that they do
    not come back at once. Returns None if no pause holds it back.
    """
    ends = {
        part.service: pause_ends_at(exchange, part.service, shared, now)
        for part in exchange.parts
        if part.reply is None
    }
    if not ends:
        return None
    service = max(ends, key=lambda one: ends[one])
    ends_at = ends[service]
    if ends_at <= now:
        return None
    route, place = exchange.route, shared.place.data_centre
    slots = sum(
        max(1, one.announcement.slots)
        for one in placement.permitted(exchange, service, shared)
    )
    interval_s = shared.reply_times.typical(route, place) / slots
    last = shared.limits.return_times.get(service, now)
    at = min(max(ends_at, last + interval_s), ends_at + MAX_RETURN_SPREAD_S)
    shared.limits.return_times[service] = at
    return at - now
