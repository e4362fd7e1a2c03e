"""Extra attempts, beyond the first of each shard: retries, hedges, restarts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.requests.hedging import find_stragglers
from arbutusbridge.core.requests.routing import unasked

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Action
    from arbutusbridge.core.requests.pending_attempts import ShardTask
    from arbutusbridge.core.requests.query import Query
    from arbutusbridge.core.requests.tier import Tier

MAX_CHECKS_WITHOUT_ATTEMPT = 3
"""Straggler checks after which a shard without an open attempt is given up, if
the policy prefers latency."""


def retry_or_restart(
    query: Query, task: ShardTask, tier: Tier, now: float, out: list[Action]
) -> None:
    """Retries a shard without an open attempt, or restarts the query."""
    if retry(query, task, tier, now, out):
        return
    restart_if_better(query, tier, now, out)


def retry(
    query: Query, task: ShardTask, tier: Tier, now: float, out: list[Action]
) -> bool:
    """Sends a shard to another replica, within the retry budget.

    Returns:
      Whether an attempt was sent.
    """
    assert query.serving is not None
    if now >= query.deadline:
        return False
    replica_set = query.serving.replica_sets[task.shard.name]
    if len(replica_set) and not unasked(replica_set, task.asked):
        return False
    if not spend_from_budget(query):
        name = task.shard.name
        out.append(query.decision("retry_refused", shard=name))
        return False
    if not query.send_or_queue(task, tier, now, out, True):
        query.hedging_state.budget.refund()
        return False
    query.unassigned_shards -= 1
    return True


def spend_from_budget(query: Query) -> bool:
    """Takes one extra attempt from the service's budget.

    Returns:
      False if the policy allows none or the budget is spent.
    """
    return query.policy.extra_load > 0 and query.hedging_state.budget.spend()


def restart_if_better(
    query: Query, tier: Tier, now: float, out: list[Action]
) -> None:
    """Restarts the scatter if another index version now covers more.

    The replies merged so far are kept as a fallback and never mixed with
    those of the other version.
    """
    serving = query.catalogue.best(query.request.service)
    merged = query.merged
    assert merged is not None
    if serving is None or serving.version == merged.version:
        return
    reachable = merged.weight + reachable_open_weight(query)
    coverage = reachable / merged.layout.total_weight
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
    if query.fallback is None or merged.coverage > query.fallback.coverage:
        query.fallback = merged
    out.append(query.decision("restart", to=serving.version))
    query.straggler_checks = 0
    query.scatter(serving, tier, now, out)


def reachable_open_weight(query: Query) -> int:
    """Returns the weight of the open shards that may still be answered.

    These have a replica or an open attempt.
    """
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
    """Retries the open shards that have no open attempt."""
    if not query.unassigned_shards:
        return
    for task in query.tasks:
        if task.settled or task.open_attempts or task.waiting:
            continue
        task.asked.clear()
        merged = query.merged
        retry_or_restart(query, task, tier, now, out)
        if query.merged is not merged:
            return
        give_up = (
            query.prefers_latency
            and query.straggler_checks >= MAX_CHECKS_WITHOUT_ATTEMPT
        )
        if give_up and not task.open_attempts:
            query.unassigned_shards -= 1
            query.settle(task)


def hedge(query: Query, tier: Tier, now: float, out: list[Action]) -> None:
    """Sends one more attempt for each overdue shard, within the budget."""
    hedged = []
    for task in find_stragglers(query.open_tasks(), query.check_interval, now):
        task.open_attempts[-1].view.on_overdue(now)
        if not spend_from_budget(query):
            continue
        if query.send_or_queue(task, tier, now, out, True):
            hedged.append(task.shard.name)
        else:
            query.hedging_state.budget.refund()
    if hedged:
        out.append(query.decision("hedge", shards=hedged))
