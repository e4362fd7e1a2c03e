"""Division of wide scatters among several instances.

A request is wide if it has more shards than one processor can query in time. It
is divided among instances in the data centre that holds the shards, in
proportion to their CPU capacity. Only a few instances then talk to each
upstream, which keeps their connections open and their view of it up to date.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from arbutusbridge.forwarding.gather import Peer

T = TypeVar("T")

SHARD_CPU_TIME_S = 0.0009
"""CPU time per shard on a full core, including new connections, as charged on
the users' platform."""

MAX_DIRECT_CPU_TIME_S = 0.03
"""Maximum processing time for which an instance queries all shards itself; a
message to a peer and its reply take about a tenth of it."""

TARGET_CPU_TIME_S = 0.01
"""Target processing time of each helper; a tenth of the shortest target time of
the users' large deployments."""

TEAM_CONCURRENT_REQUESTS = 2.5
"""Number of concurrent requests that a team is sized for. A higher number makes
fewer, larger teams, so that fewer instances talk to each upstream; see
docs/design/wide.md."""

MIN_SHARDS_PER_HELPER = 4
"""Minimum number of shards that outweighs the cost of a helper: a request, an
acknowledgement and a reply."""


def is_wide(shards: int, capacity: float) -> bool:
    """Returns whether a number of shards is too large for one instance.

    Args:
      shards: Shards to query.
      capacity: CPU capacity of the instance, in cores.
    """
    return shards * SHARD_CPU_TIME_S > MAX_DIRECT_CPU_TIME_S * capacity


def form_teams(peers: Sequence[Peer], shards: int) -> list[list[Peer]]:
    """Divides the instances of a data centre into teams.

    The strongest instances are spread over the teams and come first in each.
    All instances compute the same teams.
    """
    ordered = sorted(
        peers, key=lambda one: (-one.capacity, zlib.crc32(one.name.encode()))
    )
    team_capacity = TEAM_CONCURRENT_REQUESTS * required_capacity(shards)
    total = sum(one.capacity for one in ordered)
    number = max(1, min(int(total / team_capacity), len(ordered)))
    return [ordered[first::number] for first in range(number)]


def required_capacity(shards: int) -> float:
    """Returns the cores needed to query the shards in the target time."""
    return shards * SHARD_CPU_TIME_S / TARGET_CPU_TIME_S


def select_members(team: Sequence[Peer], shards: int) -> list[Peer]:
    """Returns the first members of a team that can query the shards in time."""
    chosen: list[Peer] = []
    missing = required_capacity(shards)
    for peer in team:
        if missing <= 0 or len(chosen) >= max(
            1, shards // MIN_SHARDS_PER_HELPER
        ):
            break
        chosen.append(peer)
        missing -= peer.capacity
    return chosen


def select_helpers(
    peers: Sequence[Peer],
    own_name: str,
    shards: int,
    held: int,
    now: float,
    accepts: Callable[[Peer], bool] | None = None,
) -> list[Peer]:
    """Returns the instances that query a number of shards for this one.

    An instance always uses the same team, and members of other teams in place
    of unavailable ones. Few shards go to the first members of the team that
    many go to, so that the same instances query them for all others.

    Args:
      peers: Instances of the data centre that holds the shards, including this
        one if it runs there.
      own_name: Name of this instance.
      shards: Shards to query.
      held: Shards that the data centre holds.
      now: The time.
      accepts: Returns whether an instance may be sent the request, None if all
        may. It does not change the teams.
    """
    if not peers or not shards:
        return []
    teams = form_teams(peers, max(shards, held))
    own_team = team_index(own_name, len(teams))
    queue = [
        peer
        for team in teams[own_team:] + teams[:own_team]
        for peer in team
        if peer.is_available(now) and (accepts is None or accepts(peer))
    ]
    return select_members(queue, shards)


def team_index(name: str, teams: int) -> int:
    """Returns the index of the team that an instance uses."""
    return zlib.crc32(name.encode()) % teams


def select_served(
    peers: Sequence[Peer],
    own_name: str,
    shards: int,
    held: int,
    entries: Sequence[Peer],
) -> list[Peer]:
    """Returns the instances that this one queries shards for.

    Args:
      peers: Instances of the data centre that holds the shards, including this
        one.
      own_name: Name of this instance.
      shards: Shards that these entries delegate to the data centre.
      held: Shards that the data centre holds.
      entries: Instances that delegate them.
    """
    if not peers or not shards:
        return []
    teams = form_teams(peers, max(shards, held))
    serving = {
        index
        for index, team in enumerate(teams)
        if any(one.name == own_name for one in select_members(team, shards))
    }
    return [
        one for one in entries if team_index(one.name, len(teams)) in serving
    ]


def count_primary_senders(
    peers: Sequence[Peer], own_name: str, shards: int
) -> int:
    """Returns the number of instances of all teams that query shards.

    Returns 0 if this instance is not one of them.
    """
    if not shards:
        return 0
    asked = [select_members(team, shards) for team in form_teams(peers, shards)]
    if not any(one.name == own_name for members in asked for one in members):
        return 0
    return sum(len(members) for members in asked)


def divide_by_capacity(
    items: Sequence[T],
    helpers: Sequence[Peer],
    capacities: Sequence[float] | None = None,
) -> list[tuple[Peer, list[T]]]:
    """Divides items among instances in proportion to their CPU capacity.

    The order is kept, so that a shard mostly stays with the same instance.

    Args:
      items: The items.
      helpers: The instances.
      capacities: Capacity of each, by default the one that it announces.
    """
    if capacities is None:
        capacities = [peer.capacity for peer in helpers]
    total = sum(capacities)
    shares = []
    first = 0
    cumulative = 0.0
    for peer, capacity in zip(helpers, capacities, strict=True):
        cumulative += capacity
        end = round(len(items) * cumulative / total)
        if end > first:
            shares.append((peer, list(items[first:end])))
        first = end
    return shares
