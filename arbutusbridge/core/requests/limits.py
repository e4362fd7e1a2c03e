"""Concurrency limits towards upstreams, divided among the instances.

The limit on open attempts at an upstream follows additive increase and
multiplicative decrease (AIMD), between one attempt and the instance's share
of the upstream's connections. Shards over the limit wait, most urgent first,
in the backlog of each replica that could serve them.
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
"""Instances that may be replaced at the same time, as a part of all."""

MIN_LIMIT = 1.0
"""Minimum limit on open attempts at an upstream."""

LATENCY_TOLERANCE_FACTOR = 1.5
"""Multiple of the baseline latency above which a limit shrinks."""

LATENCY_DECREASE_FACTOR = 0.9
REFUSAL_DECREASE_FACTOR = 0.5
"""Factors applied to a limit after a slow result and after a refusal."""

BASELINE_DRIFT_FRACTION = 0.002
"""Part of the gap to the smoothed latency by which the baseline rises with each
result at the limit."""

BACKLOG_COMPACTION_THRESHOLD = 512
"""Length of a backlog from which obsolete entries are removed."""


@dataclass(frozen=True, slots=True)
class Share:
    """One instance's share of an upstream.

    Attributes:
      connections: Maximum number of connections.
      slots: Number of slots, below 1 if there are more instances than slots.
    """

    connections: int
    slots: float


def share(upstream: Upstream, instances: int) -> Share:
    """Returns one instance's share of an upstream's connections and slots.

    An instance that is being replaced overlaps with its successor, which is
    not counted yet. One connection is therefore left free for each instance
    that may be replaced at the same time. Each instance has at least one
    connection, even if the upstream has fewer connections than there are
    instances.
    """
    counted = max(1, instances)
    spare = math.ceil(counted * REPLACED_INSTANCES_FRACTION)
    connections = (upstream.connections - spare) // counted
    return Share(max(1, connections), upstream.slots / counted)


def set_share(view: UpstreamView, own_share: Share) -> None:
    """Bounds the limit towards an upstream by the instance's share of it."""
    is_new = math.isinf(view.max_limit) or not view.max_limit
    view.max_limit = float(own_share.connections)
    initial = max(MIN_LIMIT, math.ceil(own_share.slots))
    wanted = initial if is_new else view.limit
    view.limit = min(max(wanted, MIN_LIMIT), view.max_limit)


def apply_shares(
    configuration: Configuration,
    views: dict[str, UpstreamView],
    instances: int,
    allocation: Allocation | None = None,
) -> dict[str, Share]:
    """Bounds the limits by this instance's shares of the upstreams.

    Returns:
      The share of each upstream, by name.
    """
    shares = {}
    for name, upstream in configuration.upstreams.items():
        own_share = share(upstream, instances)
        if allocation is not None:
            held = allocation.connections(name, upstream.connections)
            own_share = Share(held, own_share.slots)
        shares[name] = own_share
        set_share(views[name], shares[name])
    return shares


def on_result(view: UpstreamView) -> None:
    """Adapts the limit of an upstream after a result.

    Called only if the upstream was at its limit.
    """
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
    """Lowers the limit of an upstream that shed an attempt."""
    if not math.isinf(view.limit):
        view.limit = max(MIN_LIMIT, view.limit * REFUSAL_DECREASE_FACTOR)


def replica_with_capacity(
    replica_set: ReplicaSet, asked: Collection[UpstreamView], now: float
) -> UpstreamView | None:
    """Returns the cheapest replica below its limit, preferring local ones.

    Replicas that are ejected, backing off or ramping up are left out.
    """
    for views in (replica_set.local, replica_set.remote):
        candidates = [
            view
            for view in views
            if view.in_flight < view.limit
            and view not in asked
            and view.is_unrestricted(now)
        ]
        if candidates:
            return min(candidates, key=cost)
    return None


def available_replicas(
    replica_set: ReplicaSet, excluded: Collection[UpstreamView], now: float
) -> list[UpstreamView]:
    """Returns the available replicas except the excluded ones."""
    return [
        view
        for view in unasked(replica_set, excluded)
        if view.is_available(now)
    ]


def wait(
    query: Query, task: ShardTask, views: list[UpstreamView], tier: Tier
) -> None:
    """Queues a shard in the backlogs of replicas that may serve it."""
    task.waiting = True
    tier.last_backlog_number += 1
    entry = (query.urgency, tier.last_backlog_number, QueuedShard(query, task))
    for view in views:
        if len(view.backlog) >= BACKLOG_COMPACTION_THRESHOLD:
            view.backlog = [item for item in view.backlog if item[2].live]
            heapq.heapify(view.backlog)
        heapq.heappush(view.backlog, entry)


def requeue_shards(query: Query, tier: Tier) -> None:
    """Queues the waiting shards of a query again, with its current urgency."""
    serving = query.serving
    if serving is None:
        return
    for task in query.tasks:
        if task.waiting and task not in query.held_back:
            replica_set = serving.replica_sets[task.shard.name]
            wait(query, task, unasked(replica_set, task.asked), tier)


def send_queued(tier: Tier, now: float, out: list[Action]) -> None:
    """Sends queued shards to replicas with freed capacity."""
    while tier.freed_views:
        view = tier.freed_views.pop()
        while view.backlog and view.in_flight < view.limit:
            waiting = heapq.heappop(view.backlog)[2]
            if waiting.live:
                query = waiting.query
                query.send_queued_shard(waiting.task, view, tier, now, out)
                tier.discard_if_finished(query, now)
