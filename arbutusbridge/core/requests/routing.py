"""Choice of the replica that an attempt is sent to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from arbutusbridge.core.requests.observations import UpstreamView

    Picker = Callable[
        [
            "ReplicaSet",
            Collection[UpstreamView],
            random.Random,
            float,
        ],
        UpstreamView | None,
    ]

REMOTE_PENALTY_FACTOR = 4.0
"""Ratio of local to remote cost above which a remote replica is preferred."""

MAX_EJECTED_FRACTION = 0.5
"""Part of a shard's replicas that may be ejected at the same time."""


@dataclass(slots=True)
class ReplicaSet:
    """Replicas that serve one shard of one index version.

    Attributes:
      local: Replicas in the instance's own data centre.
      remote: Replicas in other data centres.
    """

    local: list[UpstreamView] = field(default_factory=list)
    remote: list[UpstreamView] = field(default_factory=list)

    def __len__(self) -> int:
        """Returns the number of replicas."""
        return len(self.local) + len(self.remote)

    def __contains__(self, view: object) -> bool:
        """Returns whether a replica is in the set."""
        return view in self.local or view in self.remote

    def add(self, view: UpstreamView) -> None:
        """Adds a replica."""
        (self.local if view.local else self.remote).append(view)

    def remove(self, view: UpstreamView) -> None:
        """Removes a replica."""
        (self.local if view.local else self.remote).remove(view)


def cost(view: UpstreamView) -> float:
    """Returns the expected wait at a replica, in seconds."""
    return view.latency * (1 + view.in_flight)


def pick_by_cost(
    replica_set: ReplicaSet,
    asked: Collection[UpstreamView],
    rng: random.Random,
    now: float,
) -> UpstreamView | None:
    """Picks the cheaper of two random local replicas.

    The cost follows from this instance's own observations alone.

    A remote replica is picked if no local one is available, or if it is
    cheaper in spite of the remote penalty.

    Returns:
      The replica, or None if every replica was asked.
    """
    options = replica_set.local
    count = len(options)
    if asked or count < 2:
        return pick_from_all(replica_set, asked, rng, now)
    first = int(rng.random() * count)
    second = (first + 1 + int(rng.random() * (count - 1))) % count
    one, other = options[first], options[second]
    if one.restricted_until > now or other.restricted_until > now:
        return pick_from_all(replica_set, asked, rng, now)
    if other.latency * (1 + other.in_flight) < one.latency * (
        1 + one.in_flight
    ):
        one = other
    if one.in_flight and replica_set.remote:
        return pick_nearer(
            [one],
            [v for v in replica_set.remote if v.is_unrestricted(now)],
            rng,
        )
    return one


def pick_from_all(
    replica_set: ReplicaSet,
    asked: Collection[UpstreamView],
    rng: random.Random,
    now: float,
) -> UpstreamView | None:
    """Picks among all replicas, with regard to their restrictions.

    Ejected replicas and those backing off are used only if no other is left,
    so that a shard never loses its last replica to an ejection. Replicas that
    ramp up get a growing share of the attempts.
    """
    ejected = bounded_ejections(replica_set, now)
    available: list[UpstreamView] = []
    cold: list[UpstreamView] = []
    unavailable: list[UpstreamView] = []
    for view in (*replica_set.local, *replica_set.remote):
        if view in asked:
            continue
        if view.backoff_until > now or view in ejected:
            unavailable.append(view)
        elif view.admits_attempt(rng, now):
            available.append(view)
        else:
            cold.append(view)
    options = available or cold or unavailable
    if not options:
        return None
    local = [view for view in options if view.local]
    remote = [view for view in options if not view.local]
    return pick_nearer(local, remote, rng)


def bounded_ejections(
    replica_set: ReplicaSet, now: float
) -> list[UpstreamView]:
    """Returns the ejected replicas that must not be used.

    Their number is bounded. Those whose ejection ends first are used anyway.
    """
    ejected = [
        view
        for view in (*replica_set.local, *replica_set.remote)
        if view.ejected_until > now
    ]
    max_ejected = int(len(replica_set) * MAX_EJECTED_FRACTION)
    ejected.sort(key=lambda view: -view.ejected_until)
    return ejected[:max_ejected]


def pick_nearer(
    local: list[UpstreamView],
    remote: list[UpstreamView],
    rng: random.Random,
) -> UpstreamView:
    """Picks a local replica unless a remote one is far cheaper."""
    if not local:
        return cheaper_of_two(remote, rng)
    local_pick = cheaper_of_two(local, rng)
    if not remote:
        return local_pick
    remote_pick = cheaper_of_two(remote, rng)
    return (
        local_pick
        if cost(local_pick) <= cost(remote_pick) * REMOTE_PENALTY_FACTOR
        else remote_pick
    )


def cheaper_of_two(
    options: list[UpstreamView], rng: random.Random
) -> UpstreamView:
    """Returns the cheaper of two random options."""
    count = len(options)
    if count == 1:
        return options[0]
    first = int(rng.random() * count)
    second = (first + 1 + int(rng.random() * (count - 1))) % count
    return min(options[first], options[second], key=cost)


def pick_random(
    replica_set: ReplicaSet,
    asked: Collection[UpstreamView],
    rng: random.Random,
    _now: float,
) -> UpstreamView | None:
    """Picks a random replica not asked yet, for comparison."""
    options = unasked(replica_set, asked)
    return rng.choice(options) if options else None


def pick_least_reported_load(
    replica_set: ReplicaSet,
    asked: Collection[UpstreamView],
    rng: random.Random,
    _now: float,
) -> UpstreamView | None:
    """Picks the replica with the lowest reported load, for comparison."""
    options = unasked(replica_set, asked)
    if not options:
        return None
    min_load = min(view.reported_load or 0.0 for view in options)
    ties = [view for view in options if (view.reported_load or 0.0) <= min_load]
    return rng.choice(ties)


def round_robin() -> Picker:
    """Returns a picker that takes replicas in turn, for comparison."""
    turns: dict[int, int] = {}

    def pick(
        replica_set: ReplicaSet,
        asked: Collection[UpstreamView],
        _rng: random.Random,
        _now: float,
    ) -> UpstreamView | None:
        options = unasked(replica_set, asked)
        if not options:
            return None
        turn = turns.get(id(replica_set), 0)
        turns[id(replica_set)] = turn + 1
        return options[turn % len(options)]

    return pick


def unasked(
    replica_set: ReplicaSet, asked: Collection[UpstreamView]
) -> list[UpstreamView]:
    """Returns the replicas not asked yet."""
    replicas = [*replica_set.local, *replica_set.remote]
    return [view for view in replicas if view not in asked]
