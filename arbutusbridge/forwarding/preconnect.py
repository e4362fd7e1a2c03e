"""Selection of the peers to which connections are opened in advance.

A first message over a new connection takes several one-way delays longer, and
so does the first acknowledgement in the other direction. In a large deployment
each instance receives a wide request only now and then, so that most messages
would be first ones.
"""

from __future__ import annotations

import zlib
from collections import Counter
from typing import TYPE_CHECKING

from arbutusbridge.forwarding import delegation, division
from arbutusbridge.forwarding.choice import Locality

if TYPE_CHECKING:
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.shared import SharedState

MAX_REMOTE_CONNECTIONS = 8
"""Maximum number of peers of other regions that requests without helpers may be
delegated to and that connections are opened to."""

MAX_SERVED_CONNECTIONS = 192
"""Maximum number of instances that a helper opens connections to; it leaves
room for others among the connections that an instance may have."""


def select_peers(shared: SharedState, now: float) -> list[Peer]:
    """Returns the peers with which messages will probably be exchanged.

    These are the helpers of this instance and, if it is a helper itself, the
    instances that it serves.
    """
    if shared.gather.own_peer is None:
        return []
    if not shared.wide_shards:
        return select_remote_peers(shared)
    selected = select_own_helpers(shared, now) + select_served_peers(shared)
    return list({one.name: one for one in selected}.values())


def select_remote_peers(shared: SharedState) -> list[Peer]:
    """Returns some peers of other regions."""
    remote = [
        one
        for one in shared.gather.peer_table.peers.values()
        if not shared.place.is_in_own_region(one.data_centre)
    ]
    return remote[:MAX_REMOTE_CONNECTIONS]


def select_own_helpers(shared: SharedState, now: float) -> list[Peer]:
    """Returns the peers that wide requests of this instance are divided among.

    A request goes to any of the data centres that hold its shards, and to
    others while work is sent away.
    """
    own = shared.gather.own_peer
    assert own is not None
    helpers: list[Peer] = []
    delegated = count_delegated(shared.place, shared)
    for data_centre, shards in sorted(delegated.items()):
        helpers += delegation.find_helpers(
            None, data_centre, shards, shared, now
        )
    for data_centre in shared.overflow.destinations():
        held = shared.held_counts[data_centre]
        helpers += delegation.find_helpers(None, data_centre, held, shared, now)
    return [one for one in helpers if one is not own]


def select_served_peers(shared: SharedState) -> list[Peer]:
    """Returns the instances that this one is a helper of, if any."""
    own = shared.gather.own_peer
    assert own is not None
    table = shared.gather.peer_table
    served: list[Peer] = []
    members = [*table.members(own.data_centre), own]
    held = shared.held_counts[own.data_centre]
    data_centres = {one.data_centre for one in table.peers.values()}
    for data_centre in sorted(data_centres):
        place = Locality(data_centre, shared.place.regions)
        shards = count_delegated(place, shared)[own.data_centre]
        served += division.select_served(
            members, own.name, shards, held, table.members(data_centre)
        )
    served.sort(key=lambda one: zlib.crc32(f"{own.name} {one.name}".encode()))
    return served[:MAX_SERVED_CONNECTIONS]


def count_delegated(place: Locality, shared: SharedState) -> Counter[str]:
    """Counts the wide shards that an instance delegates to each data centre.

    Shards that its own region holds are not delegated to another one.

    Args:
      place: Location of the instance.
      shared: State of this instance.
    """
    counts: Counter[str] = Counter()
    for service in shared.wide_shards:
        holding = shared.directory.data_centres(service)
        nearby = {one for one in holding if place.is_in_own_region(one)}
        counts.update(nearby or holding)
    return counts
