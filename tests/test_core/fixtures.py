"""Small configurations and replies for tests of the core."""

from __future__ import annotations

import random

from arbutusbridge.core.messages import (
    Action,
    Answer,
    Attempt,
    Reply,
    ReplyKind,
    Respond,
    SearchRequest,
)
from arbutusbridge.core.model import (
    KEY_SPACE_SIZE,
    Configuration,
    Layout,
    Policy,
    Rules,
    Shard,
    Upstream,
)
from arbutusbridge.core.requests.intake import Intake
from arbutusbridge.core.requests.quarantine import (
    CanaryRule,
    Quarantine,
    canary_for_suspects,
)
from arbutusbridge.core.requests.tier import Tier

SERVICE = "leases"


def make_layout(shards: int, replicas: int, epoch: int = 1) -> Layout:
    """Returns a layout of equal key ranges with weights 1, 2, 3 and so on."""
    return Layout.of(
        SERVICE,
        epoch,
        tuple(
            Shard(
                f"s{i}",
                i * KEY_SPACE_SIZE // shards,
                (i + 1) * KEY_SPACE_SIZE // shards,
                i + 1,
                tuple(f"u{i}-{j}" for j in range(replicas)),
            )
            for i in range(shards)
        ),
    )


def make_configuration(
    *layouts: Layout, policy: Policy | None = None, version: int = 1
) -> Configuration:
    """Returns a configuration with one service."""
    names = sorted(
        {n for lay in layouts for s in lay.shards for n in s.replicas}
    )
    upstreams = {
        name: Upstream(name, "127.0.0.1", 1000 + i, "dc", 2, 25, 1.0)
        for i, name in enumerate(names)
    }
    rules = Rules(policy or Policy())
    return Configuration(version, "p", {SERVICE: layouts}, upstreams, rules)


def make_tier(
    configuration: Configuration,
    held: tuple[tuple[int, int], ...] = ((1, 1),),
    canary: CanaryRule = canary_for_suspects,
) -> Tier:
    """Returns the core of an instance whose upstreams serve the given versions.

    Only suspects use canaries; tests of canaries pass their own rule.
    """
    intake = Intake(quarantine=Quarantine(canary))
    tier = Tier("dc", random.Random(1), intake)
    tier.configure(configuration)
    for name in configuration.upstreams:
        tier.report(name, {SERVICE: held}, 0.0, False)
    return tier


def make_search(request_id: str = "q1", query: object = "x") -> SearchRequest:
    """Returns a search."""
    return SearchRequest(request_id, "crew", SERVICE, query)


def attempts_of(actions: list[Action]) -> list[Attempt]:
    """Returns the attempts among actions."""
    return [a for a in actions if isinstance(a, Attempt)]


def answers_of(actions: list[Action]) -> list[Answer]:
    """Returns the final answers among actions."""
    return [a.answer for a in actions if isinstance(a, Respond)]


def result_of(
    attempt: Attempt, version: tuple[int, int] | None = None
) -> Reply:
    """Returns the result that a correct upstream sends for an attempt."""
    version = version or attempt.version
    hit = {"id": f"{attempt.shard}@{version[1]}", "score": 1}
    return Reply(
        attempt.attempt_id,
        attempt.upstream,
        ReplyKind.RESULT,
        version,
        attempt.shard,
        [hit],
    )
