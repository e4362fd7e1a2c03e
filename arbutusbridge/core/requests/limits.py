"""Concurrency limits towards upstreams, shared out over the instances.

The limit of an upstream is a concurrency window adapted by additive increase
and multiplicative decrease (AIMD), between one attempt and the instance's
share of the upstream's connections. Attempts over it wait here, most urgent
first, in the backlog of each replica that could take them.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.core.requests.flights import Waiting
from arbutusbridge.core.requests.routing import cost, unasked

if TYPE_CHECKING:
    from collections.abc import Collection

    from arbutusbridge.core.membership.shares import Allocation
    from arbutusbridge.core.messages import Action
    from arbutusbridge.core.model import Configuration, Upstream
    from arbutusbridge.core.requests.flights import ShardTask
    from arbutusbridge.core.requests.observations import UpstreamView
    from arbutusbridge.core.requests.query import Query
    from arbutusbridge.core.requests.routing import Holders
    from arbutusbridge.core.requests.tier import Tier

STARTING_FRACTION = 0.125
"""Instances being replaced at once, as a share of those counted."""

LEAST_LIMIT = 1.0
"""Attempts that an instance may always have at an upstream."""

LATENCY_TOLERANCE = 1.5
"""Smoothed latency over its least, above which a limit shrinks."""

SHRINK_ON_LATENCY = 0.9
SHRINK_ON_REFUSAL = 0.5

LEAST_DRIFT = 0.002
"""Share by which the least latency follows the smoothed one up."""

LONG_BACKLOG = 512
"""Entries of a backlog above which settled ones are removed."""


@dataclass(frozen=True, slots=True)
class Share:
    """What one instance may use of an upstream.

    Attributes:
      connections: Connections held at most.
      slots: Slots, a fraction when instances outnumber them.
    """

    connections: int
    slots: float


def share(upstream: Upstream, instances: int) -> Share:
    """Divides an upstream's connections and slots among instances.

    An instance that is being replaced overlaps with its successor, which
    is not counted yet; one connection is left free for each such pair. An
    instance keeps one connection even where there are fewer than instances.
    """
    counted = max(1, instances)
    spare = math.ceil(counted * STARTING_FRACTION)
    connections = (upstream.connections - spare) // counted
    return Share(max(1, connections), upstream.slots / counted)


def set_share(view: UpstreamView, part: Share) -> None:
    """Bounds the limit towards an upstream by the instance's share."""
    fresh = math.isinf(view.most) or not view.most
    view.most = float(part.connections)
    start = max(LEAST_LIMIT, math.ceil(part.slots))
    wanted = start if fresh else view.limit
    view.limit = min(max(wanted, LEAST_LIMIT), view.most)


def share_out(
    configuration: Configuration,
    views: dict[str, UpstreamView],
    instances: int,
    allocation: Allocation | None = None,
) -> dict[str, Share]:
    """Sets the share of every upstream; returns them by name."""
    shares = {}
    for name, upstream in configuration.upstreams.items():
        part = share(upstream, instances)
        if allocation is not None:
            held = allocation.connections(name, upstream.connections)
            part = Share(held, part.slots)
        shares[name] = part
        set_share(views[name], shares[name])
    return shares


def on_result(view: UpstreamView) -> None:
    """Adapts a limit that was in use when a result came in."""
    least = view.least_latency
    if view.latency < least:
        least = view.latency
    else:
        least += (view.latency - least) * LEAST_DRIFT
    view.least_latency = least
    if view.latency <= LATENCY_TOLERANCE * least:
        view.limit = min(view.most, view.limit + 1.0 / view.limit)
    else:
        view.limit = max(LEAST_LIMIT, view.limit * SHRINK_ON_LATENCY)


def on_refusal(view: UpstreamView) -> None:
    """Shrinks the limit of an upstream that shed an attempt."""
    if not math.isinf(view.limit):
        view.limit = max(LEAST_LIMIT, view.limit * SHRINK_ON_REFUSAL)


def other_with_room(
    holders: Holders, asked: Collection[UpstreamView], now: float
) -> UpstreamView | None:
    """Returns the cheapest replica with room, a local one if there is any."""
    for views in (holders.local, holders.remote):
        free = [
            view
            for view in views
            if view.in_flight < view.limit
            and view not in asked
            and view.calm(now)
        ]
        if free:
            return min(free, key=cost)
    return None


def fit_others(
    holders: Holders, but: Collection[UpstreamView], now: float
) -> list[UpstreamView]:
    """Returns the replicas that are not left out, but some."""
    return [view for view in unasked(holders, but) if view.fit(now)]


def wait(
    query: Query, task: ShardTask, views: list[UpstreamView], tier: Tier
) -> None:
    """Queues a shard at each replica that may take it once there is room."""
    task.waiting = True
    tier.last_waiting += 1
    entry = (query.urgency, tier.last_waiting, Waiting(query, task))
    for view in views:
        if len(view.backlog) >= LONG_BACKLOG:
            view.backlog = [item for item in view.backlog if item[2].live]
            heapq.heapify(view.backlog)
        heapq.heappush(view.backlog, entry)


def hasten(query: Query, tier: Tier) -> None:
    """Queues the waiting shards of a query again at its new urgency."""
    serving = query.serving
    if serving is None:
        return
    for task in query.tasks:
        if task.waiting and task not in query.held_back:
            holders = serving.holders[task.shard.name]
            wait(query, task, unasked(holders, task.asked), tier)


def fill_room(tier: Tier, now: float, out: list[Action]) -> None:
    """Sends waiting attempts to the replicas that have room again."""
    while tier.freed:
        view = tier.freed.pop()
        while view.backlog and view.in_flight < view.limit:
            waiting = heapq.heappop(view.backlog)[2]
            if waiting.live:
                query = waiting.query
                query.resume(waiting.task, view, tier, now, out)
                tier.forget_if_finished(query, now)
