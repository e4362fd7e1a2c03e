"""Application of overflow to shards, whole requests and helpers.

All functions change nothing, and draw no random number, while overflow is off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.forwarding import limits, overflow, placement
from arbutusbridge.forwarding.choice import expected_cost
from arbutusbridge.forwarding.gather import MIN_GROUP_SHARDS
from arbutusbridge.forwarding.overflowstate import NORMAL_LAG_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from arbutusbridge.forwarding.exchange import Exchange, Part
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import Upstream

MIN_HELPER_WEIGHT = 0.25
"""Minimum fraction of its usual share that a helper gets, so that its lag stays
known."""

HeldShards = list[tuple["Part", set[str]]]


def move_shards(
    exchange: Exchange,
    near: HeldShards,
    far: HeldShards,
    shared: SharedState,
    now: float,
) -> tuple[HeldShards, HeldShards]:
    """Moves shards of overloaded data centres to other data centres.

    Args:
      exchange: The request.
      near: Shards held in this region, with the data centres that hold them.
      far: Shards held only in other regions.
      shared: State of this instance.
      now: The time.

    Returns:
      The new lists; a shard that is moved to another region is in the second
      one, with the data centres of that region only.
    """
    if not shared.overflow.is_on or not near:
        return near, far
    if shared.suspicion(exchange.request, now) is not None:
        # A suspect is sent to one upstream after the other.
        return near, far
    is_first = not exchange.destinations
    options = [find_options(exchange, one, shared, now) for one, _ in near]
    origins = [usual_data_centre(held, shared) for _, held in near]
    others: dict[str, set[str]] = {}
    for origin, found in zip(origins, options, strict=True):
        others.setdefault(origin, set()).update(found - {origin})
    chosen = {
        origin: overflow.choose(exchange, origin, found, shared, now)
        for origin, found in others.items()
    }
    kept: HeldShards = []
    moved: HeldShards = []
    for item, origin, found in zip(near, origins, options, strict=True):
        where = same_region(chosen[origin], found - {origin}, shared)
        if chosen[origin] == origin or not where:
            kept.append(item)
        elif shared.place.is_in_own_region(chosen[origin]):
            kept.append((item[0], where))
        else:
            moved.append((item[0], where))
    if not moved:
        return kept, far
    if len(moved) < MIN_GROUP_SHARDS:
        # So few are not delegated, and sending them from here brings no gain.
        return near, far
    if is_first:
        shared.count("overflow_shards")
    return kept, far + moved


def usual_data_centre(held: set[str], shared: SharedState) -> str:
    """Returns the data centre that a shard of this region usually goes to."""
    own = shared.place.data_centre
    return own if own in held else min(held)


def same_region(
    chosen: str, options: set[str], shared: SharedState
) -> set[str]:
    """Returns the options in the region of a data centre.

    In the own region, where a message costs little, only that data centre is
    meant.
    """
    place = shared.place
    if place.is_in_own_region(chosen):
        return options & {chosen}
    region = place.regions.get(chosen)
    return {
        one
        for one in options
        if one == chosen
        or (region is not None and place.regions.get(one) == region)
    }


def find_options(
    exchange: Exchange, part: Part, shared: SharedState, now: float
) -> set[str]:
    """Returns the data centres whose upstreams can take more work of a part."""
    return {
        upstream.announcement.data_centre
        for upstream in placement.eligible(exchange, part.service, shared, now)
        if takes_overflow(exchange, upstream, shared, now)
    }


def takes_overflow(
    exchange: Exchange, upstream: Upstream, shared: SharedState, now: float
) -> bool:
    """Returns whether an upstream may get work that another one would get.

    A cold one, or one whose rate limit allows no request now, may not.
    """
    return (
        upstream.is_available(now)
        and upstream.warmed_up_at <= now
        and limits.ready_at(exchange, upstream, shared, now) <= now
    )


def limit_upstreams(
    exchange: Exchange,
    part: Part,
    options: list[Upstream],
    shared: SharedState,
    now: float,
) -> list[Upstream]:
    """Returns the upstreams for the next attempt of a request without shards.

    A request that is sent away has the upstreams of one other data centre for
    its first attempt. For all others the expected cost decides, which also
    leaves the region: on virtual time, keeping them there made 33 % of the
    requests of a full data centre late, instead of 1 %.
    """
    if (
        not shared.overflow.is_on
        or exchange.route.shards
        or exchange.peer_request is not None
        or part.asked
        or part.asked_by_peers
    ):
        return options
    place = shared.place
    near = [
        one
        for one in options
        if place.is_in_own_region(one.announcement.data_centre)
        and one.is_available(now)
    ]
    if not near or shared.suspicion(exchange.request, now) is not None:
        return options
    best = min(
        near,
        key=lambda one: expected_cost(
            one, exchange.route, shared.reply_times, place, now
        ),
    )
    own_option = best.announcement.data_centre
    away = [
        one
        for one in options
        if not place.is_in_own_region(one.announcement.data_centre)
        and takes_overflow(exchange, one, shared, now)
    ]
    others = {one.announcement.data_centre for one in away}
    known = own_option in exchange.destinations
    chosen = overflow.choose(exchange, own_option, others, shared, now)
    if chosen == own_option:
        return options
    if not known:
        shared.count("overflow_requests")
    return [one for one in away if one.announcement.data_centre == chosen]


def weigh_helpers(
    helpers: Sequence[Peer], shared: SharedState, now: float
) -> list[float] | None:
    """Returns the capacity of each helper, lowered by the lag it reported.

    Returns None if all have their usual shares.
    """
    lags = shared.overflow.helper_lags
    if not shared.overflow.is_on or not lags:
        return None
    weights = []
    for peer in helpers:
        lag = lags.get(peer.name)
        weight = 1.0
        if lag is not None and lag.is_fresh(now) and lag.value > NORMAL_LAG_S:
            weight = max(MIN_HELPER_WEIGHT, NORMAL_LAG_S / lag.value)
        weights.append(peer.capacity * weight)
    return weights
