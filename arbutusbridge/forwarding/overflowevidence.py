"""Observations for overflow, from attempts, delegated groups and timers.

All functions do nothing while overflow is off.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.forwarding import overflow
from arbutusbridge.forwarding.choice import FAILURE_COST_S
from arbutusbridge.forwarding.gather import GatherAck
from arbutusbridge.forwarding.messages import AttemptEnd
from arbutusbridge.forwarding.overflowstate import (
    LAGS_PER_GROUP,
    NORMAL_LAG_S,
    Signal,
    Source,
    add_to_baseline,
)

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import DelegatedGroup, Exchange
    from arbutusbridge.forwarding.gather import (
        DeclineReason,
        GatherReply,
        GatherRequest,
    )
    from arbutusbridge.forwarding.messages import UpstreamReply
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import OpenAttempt

MAX_OCCUPANCY = 64.0
"""Maximum occupancy that is taken from a message; a greater one, or one that is
no number, is an error of the peer."""

SILENT_ENDS = frozenset(
    {AttemptEnd.FAILED, AttemptEnd.MISDIRECTED, AttemptEnd.WITHDRAWN}
)
"""Outcomes that say nothing about the load of a data centre."""


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


def elapsed(sent_at: float, shared: SharedState, now: float) -> float:
    """Returns the time since something was sent, without the own lag.

    The lag delays the replies of all data centres, but helpers report theirs:
    counted here, it would make only the others look slow.
    """
    return max(0.0, now - sent_at - shared.overflow.lag(now))


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
    seconds = elapsed(attempt.sent_at, shared, now)
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
        ack.lag_ms = round(shared.overflow.lag(now) * 1000)
        place = shared.place.data_centre
        occupancy = shared.overflow.upstream_occupancy(place, now)
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
    occupancy = message.occupancy
    if occupancy is not None and 0.0 <= occupancy <= MAX_OCCUPANCY:
        state.record_occupancy(peer.data_centre, occupancy, now)
    add_to_baseline(
        state.round_trips,
        peer.data_centre,
        elapsed(group.sent_at, shared, now),
        now,
    )
    lag_s = min(max(message.lag_ms / 1000, 0.0), overflow.MAX_LAG_S)
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
    seconds = elapsed(group.sent_at, shared, now)
    route = exchange.route
    state.learn_baseline(Source.GROUP, route, data_centre, seconds, now)
    expected_s = reference_time(Source.GROUP, exchange, data_centre, shared)
    assert expected_s is not None
    state.observe(data_centre, seconds, expected_s, now, Source.GROUP)


def observe_silence(
    group: DelegatedGroup, shared: SharedState, now: float
) -> None:
    """Records that a helper did not acknowledge or reply in time.

    A busy instance reads acknowledgements late, which is no fault of helpers.
    """
    state = shared.overflow
    if state.is_on and state.lag(now) < NORMAL_LAG_S:
        state.record_failure(group.peer.data_centre, now)


def observe_lag(lag_s: float, shared: SharedState, now: float) -> None:
    """Records the lag of a timer of this instance."""
    if shared.overflow.is_on:
        shared.overflow.own_lag.add(lag_s, now)
