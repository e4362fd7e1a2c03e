"""Learn what the store holds from another instance of the data centre.

Load patterns: many instances that start at once and need the same load, and
many that watch the same keys. Each call to the store and each byte from its
region has a price, so that in a data centre of many instances one watches the
store and the others follow it. A follower that hears nothing, or only what is
old, watches the store itself behind the revision that it knows. One that
starts without the store serves with what a peer knows.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgpack

from arbutusbridge.core.messages import StoreItem
from arbutusbridge.errors import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from arbutusbridge.forwarding.gather import Peer

SOURCE_TIMEOUT_S = 0.4
"""Time in which a source answers; a strong one that starts at the same moment
has read the store by then."""

MAX_SOURCES = 2
"""Sources tried one after the other before the store is read instead."""

MIN_MEMBERS_TO_FOLLOW = 6
"""Instances of a data centre from which one watches for all."""

MIN_CHANGE_BOUND_S = 5.0
"""Time that changes may take to be in force from which following is safe: a
source without the store is left after MAX_SOURCE_AGE_S."""

HEARTBEAT_INTERVAL_S = 1.0
"""Time between two messages to followers."""

SOURCE_SILENCE_TIMEOUT_S = 2.3
"""Time without a message after which a follower turns to the store, two lost
heartbeats."""

MAX_SOURCE_AGE_S = 3.5
"""Age of what the source knows at which a follower turns to the store; a
source hears of the store every 3 s at least."""

FOLLOW_INTERVAL_S = 5.0
"""Time between two looks for a source, and between two signs of life of a
follower."""

FOLLOWER_TIMEOUT_S = 12.0
"""Time without a sign of life after which a follower is forgotten."""

MAX_FOLLOWERS = 256
"""Followers of one source, the instances of a data centre of the planned size
twice over."""

MAX_UNPACKED_BYTES = 16_777_216
"""Size of what a peer hands over, unpacked: 2,500 upstreams of 300 bytes and
a configuration of 1 MiB, ten times over."""


@dataclass(slots=True)
class FollowRequest:
    """Ask a source for what it knows, and for whatever it learns.

    Attributes:
      reply_to: Where the follower takes messages.
      begin: Whether it needs all; else it says that it still follows.
    """

    reply_to: tuple[str, int]
    begin: bool


@dataclass(slots=True)
class StoreUpdate:
    """What a source knows or has learnt.

    Attributes:
      source: Where the source takes messages.
      number: Number of the change at this source; a heartbeat repeats that of
        the last change.
      whole: Whether it is all that the source knows, not a change.
      revision: Revision of the store up to which the source knows it.
      age_s: Time since the store last confirmed it.
      doubtful: Whether the source waits to see if some entries have ended.
      packed: The items, see ``pack``; empty for a heartbeat.
    """

    source: tuple[str, int]
    number: int
    whole: bool
    revision: int
    age_s: float
    doubtful: bool
    packed: bytes


def sources(peers: Iterable[Peer], own: Peer) -> list[Peer]:
    """Returns the peers that may be followed, the first one first.

    They are the strongest of the own data centre. Only one that comes before
    this instance is followed: where all start at once, the first of them reads
    the store, and none waits for one that waits itself.
    """
    ordered = sorted(
        (*(one for one in peers if one.data_centre == own.data_centre), own),
        key=lambda one: (-one.capacity, one.name),
    )
    return ordered[: ordered.index(own)][:MAX_SOURCES]


@dataclass(slots=True)
class FollowerState:
    """What a follower knows of its source.

    Attributes:
      source: The source, None while the store is watched from here.
      number: Number of the last change that was taken.
      heard_at: When the source was last heard.
      doubtful: Whether it then waited to see if entries have ended.
    """

    source: tuple[str, int] | None = None
    number: int = 0
    heard_at: float = 0.0
    doubtful: bool = False

    def begin(self, news: StoreUpdate, now: float) -> None:
        """Begins to follow the source of a whole reading."""
        self.source = news.source
        self.number = news.number
        self.heard_at = now
        self.doubtful = news.doubtful

    def misses(self, news: StoreUpdate) -> bool:
        """Tells whether a change before this one was lost."""
        step = 1 if news.packed else 0
        return news.number != self.number + step

    def hear(self, news: StoreUpdate, now: float) -> None:
        """Takes a change or a heartbeat."""
        self.number = news.number
        self.heard_at = now
        self.doubtful = news.doubtful

    def is_silent(self, now: float) -> bool:
        """Tells whether the source was not heard for too long."""
        return (
            self.source is not None
            and now - self.heard_at > SOURCE_SILENCE_TIMEOUT_S
        )

    def end(self) -> None:
        """Ends following."""
        self.source = None


@dataclass(slots=True)
class FollowerTable:
    """Followers of this instance.

    Attributes:
      seen: When each gave a sign of life, by address.
      number: Number of the last change that was told.
    """

    seen: dict[tuple[str, int], float] = field(default_factory=dict)
    number: int = 0

    def take(self, address: tuple[str, int], now: float) -> bool:
        """Notes a follower; returns whether there is room for it."""
        if address not in self.seen and len(self.seen) >= MAX_FOLLOWERS:
            return False
        self.seen[address] = now
        return True

    def current(self, now: float) -> list[tuple[str, int]]:
        """Returns the followers, without those that fell silent."""
        self.seen = {
            address: at
            for address, at in self.seen.items()
            if now - at < FOLLOWER_TIMEOUT_S
        }
        return list(self.seen)


def pack(items: Iterable[StoreItem]) -> bytes:
    """Writes items compactly."""
    rows = [(item.key, item.value, item.revision) for item in items]
    return zlib.compress(msgpack.packb(rows), 1)


def unpack(packed: bytes) -> Sequence[StoreItem]:
    """Reads items.

    Raises:
      ProtocolError: They are damaged or too many.
    """
    try:
        data = zlib.decompressobj().decompress(packed, MAX_UNPACKED_BYTES)
        return [
            StoreItem(
                str(key), None if value is None else bytes(value), int(number)
            )
            for key, value, number in msgpack.unpackb(data)
        ]
    except (zlib.error, ValueError, TypeError) as err:
        raise ProtocolError(
            f"Items of a peer that can't be read: {err}.",
            "Run instances of the same release.",
        ) from err
