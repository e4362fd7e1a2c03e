"""Selection of the peers that messages are sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from arbutusbridge.core.membership.members import Member
    from arbutusbridge.core.membership.membership import Membership

HEAL_PROBABILITY = 0.25
"""Probability that a round also tries an instance that is not live.

This reconnects instances after a partition.
"""


def pick_local_peers(
    membership: Membership, rng: random.Random, count: int, now: float
) -> list[Member]:
    """Picks random live peers of this data centre.

    With the probability HEAL_PROBABILITY, one that is not live is added.
    """
    place = membership.me.data_centre
    names = membership.live(place, now)
    names.remove(membership.me.name)
    picked = rng.sample(names, min(count, len(names)))
    if rng.random() < HEAL_PROBABILITY:
        picked += pick_silent_name(membership, rng, place, now)
    return [membership.members[name] for name in picked]


def pick_remote_peer(
    membership: Membership, rng: random.Random, turn: int, now: float
) -> list[Member]:
    """Picks a peer of another data centre, if this instance is a watcher.

    Args:
      membership: Known instances.
      rng: Source of randomness.
      turn: Number that selects the data centre, round robin.
      now: Current time.
    """
    others = other_data_centres(membership)
    if not others or not membership.is_watcher(now):
        return []
    place = others[turn % len(others)]
    names = membership.live(place, now)
    if not names or rng.random() < HEAL_PROBABILITY:
        names = pick_silent_name(membership, rng, place, now) or names
    picked = rng.sample(names, min(1, len(names)))
    return [membership.members[name] for name in picked]


def pick_one_per_data_centre(
    membership: Membership, rng: random.Random, now: float
) -> list[Member]:
    """Picks a random live peer of each other data centre."""
    picked = []
    for place in other_data_centres(membership):
        names = membership.live(place, now)
        if names:
            picked.append(membership.members[rng.choice(names)])
    return picked


def other_data_centres(membership: Membership) -> list[str]:
    """Returns all data centres except this instance's own."""
    own = membership.me.data_centre
    return [place for place in membership.data_centres() if place != own]


def pick_silent_name(
    membership: Membership, rng: random.Random, place: str, now: float
) -> list[str]:
    """Picks the name of an instance that may run but is not live, if any."""
    names = [
        name
        for name in membership.names_in(place)
        if membership.members[name].running
        and not membership.is_live(membership.members[name], now)
    ]
    return [rng.choice(names)] if names else []
