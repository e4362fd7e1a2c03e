"""What the store holds, handed to an instance that starts by another one.

A whole load is many calls and bytes, often from another region. An instance
that starts asks a peer for it and goes on with a watch behind the peer's
revision, which brings whatever the peer had missed. Without the store it
serves with what the peer knows.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgpack

from arbutusbridge.errors import ProtocolError
from arbutusbridge.forwarding.feed import Item

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from arbutusbridge.forwarding.gather import Peer

SOURCE_WAIT_S = 0.4
"""Time in which a peer hands over; a strong one that starts at the same moment
has loaded by then."""

MOST_SOURCES = 2
"""Peers asked before the store is read instead."""

MOST_WAITING = 256
"""Instances that wait for this one's first load, the most of a data centre of
the planned size twice over."""

MOST_UNPACKED_BYTES = 16_777_216
"""Size of what a peer hands over, unpacked: 2,500 upstreams of 300 bytes and
a configuration of 1 MiB, ten times over."""


@dataclass(slots=True)
class SnapshotAsk:
    """Ask another instance for what it knows of the store.

    Attributes:
      reply_to: Where the instance that asks takes messages.
    """

    reply_to: tuple[str, int]


@dataclass(slots=True)
class Snapshot:
    """Keys and values of the store as one instance knows them.

    Attributes:
      revision: Revision up to which they are known.
      age_s: Time since the store last confirmed them.
      packed: The items, see ``pack``.
    """

    revision: int
    age_s: float
    packed: bytes


def sources(peers: Iterable[Peer], own: Peer) -> list[Peer]:
    """Returns the peers to ask for a snapshot, the first one first.

    They are the strongest of the own data centre. Only one that comes before
    this instance is asked: where all start at once, the first of them reads
    the store, and none waits for one that waits itself.
    """
    ordered = sorted(
        (*(one for one in peers if one.data_centre == own.data_centre), own),
        key=lambda one: (-one.capacity, one.name),
    )
    return ordered[: ordered.index(own)][:MOST_SOURCES]


def pack(items: Iterable[Item]) -> bytes:
    """Writes items compactly."""
    rows = [(item.key, item.value, item.revision) for item in items]
    return zlib.compress(msgpack.packb(rows), 1)


def unpack(packed: bytes) -> Sequence[Item]:
    """Reads items.

    Raises:
      ProtocolError: They are damaged or too many.
    """
    try:
        unzip = zlib.decompressobj()
        data = unzip.decompress(packed, MOST_UNPACKED_BYTES)
        rows = msgpack.unpackb(data)
        return [
            Item(str(key), bytes(value), int(revision))
            for key, value, revision in rows
        ]
    except (zlib.error, ValueError, TypeError) as err:
        raise ProtocolError(
            f"A snapshot that can't be read: {err}.",
            "Run instances of the same release.",
        ) from err
