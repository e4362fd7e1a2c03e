"""Canary attempts: a few shards are asked first, the others after a result.

A request that crashes upstreams then crashes only a few of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.requests import extras
from arbutusbridge.core.requests.quarantine import draw_candidates

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Action
    from arbutusbridge.core.requests.pending_attempts import ShardTask
    from arbutusbridge.core.requests.query import Query
    from arbutusbridge.core.requests.tier import Tier


def hold_back(query: Query, tier: Tier, now: float, out: list[Action]) -> None:
    """Holds back all shards of a new scatter and sends the first canaries."""
    query.held_back = list(query.tasks)
    for task in query.held_back:
        task.waiting = True
    send_canaries(query, tier, now, out)


def send_canaries(
    query: Query, tier: Tier, now: float, out: list[Action]
) -> None:
    """Sends canaries until at least one was sent or queued."""
    sent: list[str] = []
    while query.held_back and not sent:
        for task in pick_canaries(query, tier):
            query.held_back.remove(task)
            task.waiting = False
            if query.send_or_queue(task, tier, now, out, False):
                sent.append(task.shard.name)
            else:
                query.unassigned_shards += 1
    if sent:
        out.append(query.decision("canary", shards=sent))


def pick_canaries(query: Query, tier: Tier) -> list[ShardTask]:
    """Picks the shards to ask first, preferring those with most replicas.

    It picks from a few shards drawn at random, so that the canaries of many
    requests spread over all shards.
    """
    serving = query.serving
    assert serving is not None
    wanted = query.canary_count
    picked = draw_candidates(query.held_back, wanted, tier.rng)
    picked.sort(key=lambda task: -len(serving.replica_sets[task.shard.name]))
    return picked[:wanted]


def send_held_back(
    query: Query, tier: Tier, now: float, out: list[Action]
) -> None:
    """Sends the shards that were held back, once a canary has a result."""
    query.canary_count = 0
    tasks, query.held_back = query.held_back, []
    for task in tasks:
        task.waiting = False
        if not query.send_or_queue(task, tier, now, out, False):
            query.unassigned_shards += 1
    extras.retry_unassigned(query, tier, now, out)
    query.schedule_straggler_check(now, out)


def on_failure(
    query: Query,
    task: ShardTask,
    tier: Tier,
    now: float,
    out: list[Action],
) -> None:
    """Retries a failed canary, or sends further ones.

    Does nothing while another canary is open, so that a request that crashes
    upstreams crashes as few of them as possible.
    """
    if any(other.open_attempts for other in query.tasks):
        return
    extras.retry_or_restart(query, task, tier, now, out)
    if query.held_back and not any(
        other.open_attempts for other in query.tasks
    ):
        send_canaries(query, tier, now, out)


def on_straggler_check(
    query: Query, tier: Tier, now: float, out: list[Action]
) -> None:
    """Sends further canaries when the first ones are slow.

    A request charged with a lost upstream is exempt: its next attempt waits
    for the outcome of the previous one.
    """
    if not tier.intake.quarantine.state_of(query.fingerprint, now):
        send_canaries(query, tier, now, out)
