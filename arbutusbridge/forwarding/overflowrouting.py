"""Application of overflow to shards, whole requests and helpers.

Also turns the outcomes of attempts and delegated groups into observations. All
functions do nothing, and draw no random number, while overflow is off.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.forwarding import limits, overflow
from arbutusbridge.forwarding.choice import FAILURE_COST_S, expected_cost
from arbutusbridge.forwarding.gather import MIN_GROUP_SHARDS, GatherAck
from arbutusbridge.forwarding.messages import AttemptEnd
from arbutusbridge.forwarding.overflowstate import Signal, Source

if TYPE_CHECKING:
    from collections.abc import Sequence

    from arbutusbridge.forwarding.exchange import (
        DelegatedGroup,
        Exchange,
        Part,
    )
    from arbutusbridge.forwarding.gather import (
        DeclineReason,
        GatherReply,
        GatherRequest,
        Peer,
    )
    from arbutusbridge.forwarding.messages import UpstreamReply
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import OpenAttempt, Upstream

LAGS_PER_GROUP = 2.0
"""Number of times that the lag of a helper delays a group: when it reads the
message and when it replies."""

NORMAL_LAG_S = 0.02
"""Lag up to which a helper gets its whole share; a busy instance checks its
messages before it sends more from this lag on."""

MIN_HELPER_WEIGHT = 0.25
"""Minimum fraction of its usual share that a helper gets, so that its lag stays
known."""

SILENT_ENDS = frozenset(
    {AttemptEnd.FAILED, AttemptEnd.MISDIRECTED, AttemptEnd.WITHDRAWN}
)
"""Outcomes that say nothing about the load of a data centre."""

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
        for upstream in shared.directory.usable(part.service, now)
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

    The first attempt stays in the own region as long as an upstream there
    responds, unless the request is sent away. Hedges and retries may go
    anywhere.
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
        return near
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


def reference_time(
    source: Source,
    exchange: Exchange,
    data_centre: str,
    shared: SharedState,
) -> float | None:
    """Returns the reply time of a data centre without load, if it is known.

    One elsewhere is compared with this region as well: the first replies of a
    data centre that is busy when work is first sent there say little.
    """
    state = shared.overflow
    route = exchange.route
    known_s = state.baseline(source, route, data_centre)
    if known_s is None or shared.place.is_in_own_region(data_centre):
        return known_s
    near = [
        low_s
        for one in shared.place.regions
        if shared.place.is_in_own_region(one)
        and (low_s := state.baseline(source, route, one)) is not None
    ]
    added_s = overflow.round_trip(data_centre, shared)
    return min([known_s, *(low_s + added_s for low_s in near)])


def observe_attempt(
    exchange: Exchange,
    attempt: OpenAttempt,
    reply: UpstreamReply,
    shared: SharedState,
    now: float,
) -> None:
    """Records the outcome of an attempt.

    The queue that its upstream reports shows a delay sooner than the reply
    times do. A lost connection says nothing about the load of a data centre,
    but nothing more is sent away to one where attempts fail.
    """
    state = shared.overflow
    if not state.is_on:
        return
    upstream = attempt.upstream
    data_centre = upstream.announcement.data_centre
    route = exchange.route
    if reply.load is not None:
        # The request that has just ended is still counted.
        others = reply.load.running + reply.load.waiting - 1
        state.record_occupancy(
            data_centre, others / max(1, reply.load.slots), now
        )
    seconds = now - attempt.sent_at
    if reply.end is AttemptEnd.RESULT:
        state.learn_baseline(Source.ATTEMPT, route, data_centre, seconds, now)
    elif reply.end in SILENT_ENDS or attempt.cancelled:
        return
    else:
        if reply.end is AttemptEnd.SHED and (
            upstream.limit is not None or upstream.paused_until > now
        ):
            return
        state.record_failure(data_centre, now)
        if reply.end is not AttemptEnd.SHED and not reply.timed_out:
            return
        seconds += FAILURE_COST_S
    expected_s = reference_time(Source.ATTEMPT, exchange, data_centre, shared)
    if expected_s is None:
        return
    waiting_s = expected_s * upstream.queue_per_slot(now)
    seconds = max(seconds, expected_s + waiting_s)
    state.observe(data_centre, seconds, expected_s, now)


def build_ack(
    message: GatherRequest,
    declined: DeclineReason | None,
    shared: SharedState,
    now: float,
) -> GatherAck:
    """Returns the acknowledgement of a request of a peer.

    While overflow is on, it tells how busy this instance and the upstreams are.
    """
    ack = GatherAck(message.gather_id, declined)
    if shared.overflow.is_on:
        ack.lag_ms = round(shared.lag_s * 1000)
        place = shared.place.data_centre
        occupancy = shared.overflow.occupancy(place, now)
        ack.occupancy = None if occupancy is None else round(occupancy, 2)
    return ack


def observe_ack(
    message: GatherAck, group: DelegatedGroup, shared: SharedState, now: float
) -> None:
    """Records the lag that a helper reports, or that it declined."""
    state = shared.overflow
    if not state.is_on:
        return
    peer = group.peer
    if message.declined is not None:
        state.record_failure(peer.data_centre, now)
        return
    if message.occupancy is not None:
        state.record_occupancy(peer.data_centre, message.occupancy, now)
    lag_s = message.lag_ms / 1000
    state.helper_lags.setdefault(peer.name, Signal()).add(lag_s, now)
    state.observe(
        peer.data_centre, LAGS_PER_GROUP * lag_s, 0.0, now, Source.LAG
    )


def observe_group(
    message: GatherReply,
    group: DelegatedGroup,
    shared: SharedState,
    now: float,
) -> None:
    """Records the time to the first reply for a group of shards.

    That of a canary covers a single shard.
    """
    state = shared.overflow
    exchange = group.exchange
    if (
        not state.is_on
        or not exchange.route.shards
        or exchange.relayed
        or group is exchange.canary_group
        or not math.isinf(group.replied_at)
    ):
        return
    data_centre = group.peer.data_centre
    if not message.stamps:
        if message.is_final:
            state.record_failure(data_centre, now)
        return
    seconds = now - group.sent_at
    route = exchange.route
    state.learn_baseline(Source.GROUP, route, data_centre, seconds, now)
    expected_s = reference_time(Source.GROUP, exchange, data_centre, shared)
    assert expected_s is not None
    state.observe(data_centre, seconds, expected_s, now, Source.GROUP)


def observe_silence(
    group: DelegatedGroup, shared: SharedState, now: float
) -> None:
    """Records that a helper did not acknowledge or reply in time."""
    if shared.overflow.is_on:
        shared.overflow.record_failure(group.peer.data_centre, now)
