"""Attempts beyond one a shard: retries, hedges and whole restarts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.requests.hedging import stragglers
from arbutusbridge.core.requests.routing import unasked

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Action
    from arbutusbridge.core.requests.pending_attempts import ShardTask
    from arbutusbridge.core.requests.query import Query
    from arbutusbridge.core.requests.tier import Tier

MAX_CHECKS_WITHOUT_ATTEMPT = 3
"""Looks after which a policy for latency gives up a shard without attempt."""


def retry_or_restart(
    query: Query, task: ShardTask, tier: Tier, now: float, out: list[Action]
) -> None:
    """Retries a parked shard elsewhere, or restarts the query."""
    if retry(query, task, tier, now, out):
        return
    restart_if_better(query, tier, now, out)


def retry(
    query: Query, task: ShardTask, tier: Tier, now: float, out: list[Action]
) -> bool:
    """Asks another replica for a parked shard, within the budget."""
    assert query.serving is not None
    if now >= query.deadline:
        return False
    replica_set = query.serving.replica_sets[task.shard.name]
    if len(replica_set) and not unasked(replica_set, task.asked):
        return False
    if not spend_extra(query):
        name = task.shard.name
        out.append(query.decision("retry_refused", shard=name))
        return False
    if not query.send(task, tier, now, out, True):
        query.hedging_state.budget.refund()
        return False
    query.unassigned_shards -= 1
    return True


def spend_extra(query: Query) -> bool:
    """Takes an extra attempt from the budget, if the policy has one."""
    return query.policy.extra_load > 0 and query.hedging_state.budget.spend()


def restart_if_better(
    query: Query, tier: Tier, now: float, out: list[Action]
) -> None:
    """Starts again whole when another version now covers more.

    The replies merged so far are kept apart as a fallback; they never
    mix with those of the other version.
    """
    serving = query.catalogue.best(query.request.service)
    merge = query.merge
    assert merge is not None
    if serving is None or serving.version == merge.version:
        return
    reachable = merge.weight + reachable_open_weight(query)
    coverage = reachable / merge.layout.total_weight
    is_sufficient = coverage >= query.policy.least_coverage
    if serving.share <= coverage or (is_sufficient and query.prefers_latency):
        return
    if now + query.hedging_state.typical_latency() >= query.deadline:
        return
    if query.policy.extra_load <= 0:
        return
    if not query.hedging_state.budget.borrow(len(serving.layout.shards)):
        out.append(query.decision("restart_refused", to=serving.version))
        return
    query.cancel_open(tier, now, out)
    if query.fallback is None or merge.coverage > query.fallback.coverage:
        query.fallback = merge
    out.append(query.decision("restart", to=serving.version))
    query.straggler_checks = 0
    query.scatter(serving, tier, now, out)


def reachable_open_weight(query: Query) -> int:
    """Returns the weight of open shards that some replica serves."""
    assert query.serving is not None
    replica_sets = query.serving.replica_sets
    return sum(
        task.shard.weight
        for task in query.tasks
        if not task.settled
        and (task.open_attempts or len(replica_sets[task.shard.name]))
    )


def retry_unassigned(
    query: Query, tier: Tier, now: float, out: list[Action]
) -> None:
    """Asks again for shards without an attempt on its way."""
    if not query.unassigned_shards:
        return
    for task in query.tasks:
        if task.settled or task.open_attempts or task.waiting:
            continue
        task.asked.clear()
        merge = query.merge
        retry_or_restart(query, task, tier, now, out)
        if query.merge is not merge:
            return
        give_up = (
            query.prefers_latency
            and query.straggler_checks >= MAX_CHECKS_WITHOUT_ATTEMPT
        )
        if give_up and not task.open_attempts:
            query.unassigned_shards -= 1
            query.settle(task)


def hedge(query: Query, tier: Tier, now: float, out: list[Action]) -> None:
    """Sends one more attempt for shards that are slow, within budget."""
    hedged = []
    for task in stragglers(query.open_tasks(), query.check_interval, now):
        task.open_attempts[-1].view.on_overdue(now)
        if not spend_extra(query):
            continue
        if query.send(task, tier, now, out, True):
            hedged.append(task.shard.name)
        else:
            query.hedging_state.budget.refund()
    if hedged:
        out.append(query.decision("hedge", shards=hedged))
