"""A first wave of few shards that must answer before all others are asked."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.requests import extras

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Action
    from arbutusbridge.core.requests.pending_attempts import ShardTask
    from arbutusbridge.core.requests.query import Query
    from arbutusbridge.core.requests.tier import Tier

CANDIDATES_PER_CANARY = 3
"""Shards drawn for each canary, of which the best is taken."""


def hold_back(query: Query, tier: Tier, now: float, out: list[Action]) -> None:
    """Holds all shards of a new scatter back but the canaries."""
    query.held_back = list(query.tasks)
    for task in query.held_back:
        task.waiting = True
    send_canaries(query, tier, now, out)


def send_canaries(
    query: Query, tier: Tier, now: float, out: list[Action]
) -> None:
    """Asks the next canaries, until one is on its way."""
    sent: list[str] = []
    while query.held_back and not sent:
        for task in pick_canaries(query, tier):
            query.held_back.remove(task)
            task.waiting = False
            if query.send(task, tier, now, out, False):
                sent.append(task.shard.name)
            else:
                query.unassigned_shards += 1
    if sent:
        out.append(query.decision("canary", shards=sent))


def pick_canaries(query: Query, tier: Tier) -> list[ShardTask]:
    """Returns the shards to ask first, those with most replicas left.

    A few shards are drawn and the best of them taken, so that the canaries
    of many requests spread over the shards.
    """
    serving = query.serving
    assert serving is not None
    wanted = query.canary_count
    drawn = min(len(query.held_back), CANDIDATES_PER_CANARY * wanted)
    picked = tier.rng.sample(query.held_back, drawn)
    picked.sort(key=lambda task: -len(serving.replica_sets[task.shard.name]))
    return picked[:wanted]


def release(query: Query, tier: Tier, now: float, out: list[Action]) -> None:
    """Asks every shard that was held back, after a canary's result."""
    query.canary_count = 0
    tasks, query.held_back = query.held_back, []
    for task in tasks:
        task.waiting = False
        if not query.send(task, tier, now, out, False):
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
    """Goes on after a canary without a result.

    While another canary is on its way its fate is awaited, so that a request
    that crashes upstreams costs no more of them than need be.
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
    """Asks further canaries when the first are slow.

    Not for a request that lost an upstream: its next attempt waits for the
    fate of the one before.
    """
    if not tier.intake.quarantine.state_of(query.fingerprint, now):
        send_canaries(query, tier, now, out)
