"""Replication of the store's contents between instances.

This serves two load patterns: many instances that start at once and need the
same initial load, and many that watch the same keys. Each call to the store and
each byte from its region is charged. In a data centre with many instances, one
therefore watches the store, and the others follow it. A follower whose source
is silent or outdated watches the store itself, starting after the revision that
it knows. An instance that starts without the store serves with the data of a
peer.
"""

from __future__ import annotations

import math
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
"""Timeout for the answer of a source; an instance with a fast processor that
starts at the same moment has read the store by then."""

MAX_SOURCES = 2
"""Maximum number of sources tried in turn before the store is read instead."""

MIN_MEMBERS_TO_FOLLOW = 6
"""Minimum number of instances in a data centre for one to watch for all."""

MIN_CHANGE_DELAY_LIMIT_S = 5.0
"""Minimum limit on the delay of changes with which following is safe; a source
that cannot reach the store is left only after MAX_SOURCE_AGE_S."""

HEARTBEAT_INTERVAL_S = 1.0
"""Interval between two messages to followers."""

SOURCE_SILENCE_TIMEOUT_S = 2.3
"""Time without a message, two lost heartbeats, after which a follower turns to
the store."""

MAX_SOURCE_AGE_S = 3.5
"""Age of the source's data at which a follower turns to the store; a source
hears from the store at least every 3 s."""

FOLLOW_INTERVAL_S = 5.0
"""Interval between two searches for a source, and between two keepalives of a
follower."""

FOLLOWER_TIMEOUT_S = 12.0
"""Time without a keepalive after which a follower is removed."""

MAX_FOLLOWERS = 256
"""Maximum followers of one source: twice the instances of a data centre of the
planned size."""

MAX_UNPACKED_BYTES = 16_777_216
"""Maximum unpacked size of the items from a peer: ten times 2,500 upstreams of
300 bytes and a configuration of 1 MiB."""


@dataclass(slots=True)
class FollowRequest:
    """Request to a source for its items and further changes.

    Attributes:
      reply_to: Address at which the follower accepts messages.
      begin: Whether to send all items; otherwise it is a keepalive.
    """

    reply_to: tuple[str, int]
    begin: bool


@dataclass(slots=True)
class StoreUpdate:
    """Items or changes that a source sends to its followers.

    Attributes:
      source: Address at which the source accepts messages.
      number: Number of the change at this source; a heartbeat repeats the
        number of the last change.
      whole: Whether it holds all items of the source, not a change.
      revision: Revision of the store up to which the source knows the items.
      age_s: Time since the store last confirmed the items.
      doubtful: Whether the source holds removals that it has not applied yet.
      packed: Items as written by ``pack_items``, empty in a heartbeat.
      era: Era of the store to which the revision belongs, None if the source
        does not know it.
    """

    source: tuple[str, int]
    number: int
    whole: bool
    revision: int
    age_s: float
    doubtful: bool
    packed: bytes
    era: int | None = None


def candidate_sources(peers: Iterable[Peer], own: Peer) -> list[Peer]:
    """Returns the peers that this instance may follow, in order.

    These are the strongest peers of its own data centre. Only peers that rank
    before this instance are followed: if all start at once, the first one reads
    the store, and none waits for a peer that is itself waiting.
    """
    ordered = sorted(
        (*(peer for peer in peers if peer.data_centre == own.data_centre), own),
        key=lambda peer: (-peer.capacity, peer.name),
    )
    return ordered[: ordered.index(own)][:MAX_SOURCES]


@dataclass(slots=True)
class FollowerState:
    """State of a follower.

    Attributes:
      source: Address of the source, None while this instance watches the store.
      number: Number of the last change received.
      last_heard_at: When the last message of the source arrived.
      doubtful: Whether the source held removals according to that message.
      outdated_since: Since when the store has been in a later era than the
        messages of the source, infinite if it is not.
    """

    source: tuple[str, int] | None = None
    number: int = 0
    last_heard_at: float = 0.0
    doubtful: bool = False
    outdated_since: float = math.inf

    def begin(self, update: StoreUpdate, now: float) -> None:
        """Starts to follow the source of a complete set of items."""
        self.source = update.source
        self.number = update.number
        self.last_heard_at = now
        self.doubtful = update.doubtful
        self.outdated_since = math.inf

    def has_gap(self, update: StoreUpdate) -> bool:
        """Returns whether a change before this message was lost."""
        step = 1 if update.packed else 0
        return update.number != self.number + step

    def on_update(self, update: StoreUpdate, now: float) -> None:
        """Records a change or a heartbeat."""
        self.number = update.number
        self.last_heard_at = now
        self.doubtful = update.doubtful

    def is_outdated(
        self, source_era: int | None, era: int | None, now: float
    ) -> bool:
        """Returns whether the source has not noticed a new era for too long.

        Args:
          source_era: Era of the source's items, None if it is not known.
          era: Era of the store, None if it is not known.
          now: The time.
        """
        if source_era is None or era is None or source_era >= era:
            self.outdated_since = math.inf
            return False
        self.outdated_since = min(self.outdated_since, now)
        return now - self.outdated_since > SOURCE_SILENCE_TIMEOUT_S

    def is_silent(self, now: float) -> bool:
        """Returns whether the source has been silent for too long."""
        return (
            self.source is not None
            and now - self.last_heard_at > SOURCE_SILENCE_TIMEOUT_S
        )

    def end(self) -> None:
        """Stops following the source."""
        self.source = None


@dataclass(slots=True)
class FollowerTable:
    """Followers of this instance.

    Attributes:
      seen: Time of the last keepalive by address.
      number: Number of the last change sent.
    """

    seen: dict[tuple[str, int], float] = field(default_factory=dict)
    number: int = 0

    def register(self, address: tuple[str, int], now: float) -> bool:
        """Registers a follower and returns whether there is room for it."""
        if address not in self.seen and len(self.seen) >= MAX_FOLLOWERS:
            return False
        self.seen[address] = now
        return True

    def active(self, now: float) -> list[tuple[str, int]]:
        """Returns the followers, after removing those without keepalives."""
        self.seen = {
            address: at
            for address, at in self.seen.items()
            if now - at < FOLLOWER_TIMEOUT_S
        }
        return list(self.seen)


def pack_items(items: Iterable[StoreItem]) -> bytes:
    """Serializes and compresses items."""
    rows = [(item.key, item.value, item.revision) for item in items]
    return zlib.compress(msgpack.packb(rows), 1)


def unpack_items(packed: bytes) -> Sequence[StoreItem]:
    """Reads items written by ``pack_items``.

    Raises:
      ProtocolError: The data is damaged or too large.
    """
    try:
        data = zlib.decompressobj().decompress(packed, MAX_UNPACKED_BYTES)
        return [
            StoreItem(
                str(key), None if value is None else bytes(value), int(number)
            )
            for key, value, number in msgpack.unpackb(data)
        ]
    except (zlib.error, OverflowError, ValueError, TypeError) as err:
        # The text of the error may quote a value of the store, which may have
        # keys of accounts.
        raise ProtocolError(
            f"Cannot decode the items of a peer: {type(err).__name__}.",
            "Run instances of the same release.",
        ) from err
