"""Choice of the peers that a message goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from arbutusbridge.core.membership.members import Member
    from arbutusbridge.core.membership.membership import Membership

HEAL_PROBABILITY = 0.25
"""Share of rounds that also try an instance that is not live."""


def local_targets(
    membership: Membership, rng: random.Random, count: int, now: float
) -> list[Member]:
    """Picks live peers of this data centre, at times a silent one too."""
    place = membership.me.data_centre
    names = membership.live(place, now)
    names.remove(membership.me.name)
    picked = rng.sample(names, min(count, len(names)))
    if rng.random() < HEAL_PROBABILITY:
        picked += pick_silent(membership, rng, place, now)
    return [membership.members[name] for name in picked]


def remote_targets(
    membership: Membership, rng: random.Random, turn: int, now: float
) -> list[Member]:
    """Picks a peer of another data centre, if this instance tells those."""
    others = other_places(membership)
    if not others or not membership.is_watcher(now):
        return []
    place = others[turn % len(others)]
    names = membership.live(place, now)
    if not names or rng.random() < HEAL_PROBABILITY:
        names = pick_silent(membership, rng, place, now) or names
    picked = rng.sample(names, min(1, len(names)))
    return [membership.members[name] for name in picked]


def one_of_each_other(
    membership: Membership, rng: random.Random, now: float
) -> list[Member]:
    """Picks one live peer of each other data centre."""
    picked = []
    for place in other_places(membership):
        names = membership.live(place, now)
        if names:
            picked.append(membership.members[rng.choice(names)])
    return picked


def other_places(membership: Membership) -> list[str]:
    """Returns the data centres but this one."""
    own = membership.me.data_centre
    return [place for place in membership.data_centres() if place != own]


def pick_silent(
    membership: Membership, rng: random.Random, place: str, now: float
) -> list[str]:
    """Picks an instance that may run and is not live, if there is one."""
    names = [
        name
        for name in membership.names_at(place)
        if membership.members[name].running
        and not membership.is_live(membership.members[name], now)
    ]
    return [rng.choice(names)] if names else []
