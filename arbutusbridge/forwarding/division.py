"""Load pattern: a scatter over more shards than one processor asks in time.

Such a request is divided among instances in the data centre that holds the
shards, in proportion to their processors. Few instances then speak with each
upstream, so that their connections stay open and what they know of it is
fresh.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

    from arbutusbridge.forwarding.gather import Peer

T = TypeVar("T")

SHARD_CPU_TIME_S = 0.0009
"""Processor time that one shard takes on a whole core, connections opened for
it included, as charged on the users' platform."""

MAX_DIRECT_CPU_TIME_S = 0.03
"""Processing time up to which an instance asks all shards itself; a message to
a peer and its reply take about a tenth of it."""

TARGET_CPU_TIME_S = 0.01
"""Processing time aimed at for each instance that takes a part; a tenth of the
shortest target of the users' grown deployments."""

TEAM_CONCURRENT_REQUESTS = 2.5
"""Requests at once that a team has room for. Larger teams are fewer, so that
fewer instances speak with each upstream; measured, see docs/design/wide.md."""

MIN_SHARDS_PER_HELPER = 4
"""Shards from which a part is worth its three messages."""


def is_wide(shards: int, capacity: float) -> bool:
    """Tells whether so many shards are too many for one instance.

    Args:
      shards: Shards to ask.
      capacity: The instance's processor, in cores.
    """
    return shards * SHARD_CPU_TIME_S > MAX_DIRECT_CPU_TIME_S * capacity


def teams(peers: Sequence[Peer], shards: int) -> list[list[Peer]]:
    """Divides a data centre's instances into teams.

    The strongest members come first, and the strong are spread over the teams.
    All instances find the same teams.
    """
    ordered = sorted(
        peers, key=lambda one: (-one.capacity, zlib.crc32(one.name.encode()))
    )
    need = TEAM_CONCURRENT_REQUESTS * capacity_for(shards)
    total = sum(one.capacity for one in ordered)
    number = max(1, min(int(total / need), len(ordered)))
    return [ordered[first::number] for first in range(number)]


def capacity_for(shards: int) -> float:
    """Returns the cores that ask so many shards in the time of one share."""
    return shards * SHARD_CPU_TIME_S / TARGET_CPU_TIME_S


def members_asked(team: Sequence[Peer], shards: int) -> list[Peer]:
    """Returns the members of a team that are asked as long as all are fit."""
    chosen: list[Peer] = []
    missing = capacity_for(shards)
    for peer in team:
        if missing <= 0 or len(chosen) >= max(
            1, shards // MIN_SHARDS_PER_HELPER
        ):
            break
        chosen.append(peer)
        missing -= peer.capacity
    return chosen


def helpers(
    peers: Sequence[Peer], own_name: str, shards: int, now: float
) -> list[Peer]:
    """Returns the instances that ask so many shards for this one.

    An instance always turns to the same team, and to members of others in
    place of those that are unfit.

    Args:
      peers: Instances of the data centre that holds the shards, this one
        among them if it runs there.
      own_name: This instance.
      shards: Shards to ask.
      now: The time.
    """
    if not peers or not shards:
        return []
    formed = teams(peers, shards)
    mine = zlib.crc32(own_name.encode()) % len(formed)
    queue = [
        peer
        for team in formed[mine:] + formed[:mine]
        for peer in team
        if peer.unfit_until <= now
    ]
    return members_asked(queue, shards)


def helper_count(peers: Sequence[Peer], own_name: str, shards: int) -> int:
    """Returns how many instances ask each shard, 0 if this is none of them."""
    if not shards:
        return 0
    asked = [members_asked(team, shards) for team in teams(peers, shards)]
    if not any(one.name == own_name for members in asked for one in members):
        return 0
    return sum(len(members) for members in asked)


def divide(
    items: Sequence[T], among: Sequence[Peer]
) -> list[tuple[Peer, list[T]]]:
    """Divides shards among instances in proportion to their processors.

    The order is kept, so that a shard mostly stays with its instance.
    """
    total = sum(peer.capacity for peer in among)
    shares = []
    first = 0
    passed = 0.0
    for peer in among:
        passed += peer.capacity
        end = round(len(items) * passed / total)
        if end > first:
            shares.append((peer, list(items[first:end])))
        first = end
    return shares
