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

from arbutusbridge.core.requests.pending_attempts import QueuedShard
from arbutusbridge.core.requests.routing import cost, unasked

if TYPE_CHECKING:
    from collections.abc import Collection

    from arbutusbridge.core.membership.shares import Allocation
    from arbutusbridge.core.messages import Action
    from arbutusbridge.core.model import Configuration, Upstream
    from arbutusbridge.core.requests.observations import UpstreamView
    from arbutusbridge.core.requests.pending_attempts import ShardTask
    from arbutusbridge.core.requests.query import Query
    from arbutusbridge.core.requests.routing import ReplicaSet
    from arbutusbridge.core.requests.tier import Tier

REPLACED_INSTANCES_FRACTION = 0.125
"""Instances being replaced at once, as a share of those counted."""

MIN_LIMIT = 1.0
"""Attempts that an instance may always have at an upstream."""

LATENCY_TOLERANCE_FACTOR = 1.5
"""Smoothed latency over its least, above which a limit shrinks."""

LATENCY_DECREASE_FACTOR = 0.9
REFUSAL_DECREASE_FACTOR = 0.5

BASELINE_DRIFT_FRACTION = 0.002
"""Share by which the least latency follows the smoothed one up."""

BACKLOG_COMPACTION_THRESHOLD = 512
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
    spare = math.ceil(counted * REPLACED_INSTANCES_FRACTION)
    connections = (upstream.connections - spare) // counted
    return Share(max(1, connections), upstream.slots / counted)


def set_share(view: UpstreamView, part: Share) -> None:
    """Bounds the limit towards an upstream by the instance's share."""
    fresh = math.isinf(view.max_limit) or not view.max_limit
    view.max_limit = float(part.connections)
    start = max(MIN_LIMIT, math.ceil(part.slots))
    wanted = start if fresh else view.limit
    view.limit = min(max(wanted, MIN_LIMIT), view.max_limit)


def apply_shares(
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
    baseline = view.baseline_latency
    if view.latency < baseline:
        baseline = view.latency
    else:
        baseline += (view.latency - baseline) * BASELINE_DRIFT_FRACTION
    view.baseline_latency = baseline
    if view.latency <= LATENCY_TOLERANCE_FACTOR * baseline:
        view.limit = min(view.max_limit, view.limit + 1.0 / view.limit)
    else:
        view.limit = max(MIN_LIMIT, view.limit * LATENCY_DECREASE_FACTOR)


def on_refusal(view: UpstreamView) -> None:
    """Shrinks the limit of an upstream that shed an attempt."""
    if not math.isinf(view.limit):
        view.limit = max(MIN_LIMIT, view.limit * REFUSAL_DECREASE_FACTOR)


def replica_with_capacity(
    replica_set: ReplicaSet, asked: Collection[UpstreamView], now: float
) -> UpstreamView | None:
    """Returns the cheapest replica with room, a local one if there is any."""
    for views in (replica_set.local, replica_set.remote):
        free = [
            view
            for view in views
            if view.in_flight < view.limit
            and view not in asked
            and view.is_unrestricted(now)
        ]
        if free:
            return min(free, key=cost)
    return None


def available_replicas(
    replica_set: ReplicaSet, excluded: Collection[UpstreamView], now: float
) -> list[UpstreamView]:
    """Returns the replicas that are not left out, but some."""
    return [
        view
        for view in unasked(replica_set, excluded)
        if view.is_available(now)
    ]


def wait(
    query: Query, task: ShardTask, views: list[UpstreamView], tier: Tier
) -> None:
    """Queues a shard at each replica that may take it once there is room."""
    task.waiting = True
    tier.last_backlog_order += 1
    entry = (query.urgency, tier.last_backlog_order, QueuedShard(query, task))
    for view in views:
        if len(view.backlog) >= BACKLOG_COMPACTION_THRESHOLD:
            view.backlog = [item for item in view.backlog if item[2].live]
            heapq.heapify(view.backlog)
        heapq.heappush(view.backlog, entry)


def requeue_shards(query: Query, tier: Tier) -> None:
    """Queues the waiting shards of a query again at its new urgency."""
    serving = query.serving
    if serving is None:
        return
    for task in query.tasks:
        if task.waiting and task not in query.held_back:
            replica_set = serving.replica_sets[task.shard.name]
            wait(query, task, unasked(replica_set, task.asked), tier)


def send_queued(tier: Tier, now: float, out: list[Action]) -> None:
    """Sends waiting attempts to the replicas that have room again."""
    while tier.freed_views:
        view = tier.freed_views.pop()
        while view.backlog and view.in_flight < view.limit:
            waiting = heapq.heappop(view.backlog)[2]
            if waiting.live:
                query = waiting.query
                query.resume(waiting.task, view, tier, now, out)
                tier.forget_if_finished(query, now)
