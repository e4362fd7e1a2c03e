"""How an instance comes to the newest configuration version in reach.

The first two instances of a data centre by rank wait at the store for the
next head; the others hear of it from their peers and fetch its value from
them, piece by piece. What is older than the version in force is never taken.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.claims.openreads import OpenReads
from arbutusbridge.core.configuration import (
    NO_HEAD,
    Head,
    decode_head_record,
    digest_of,
)
from arbutusbridge.core.messages import (
    WATCH_TIMEOUT_S,
    StoreResult,
    StoreStatus,
)
from arbutusbridge.core.peers.peeractions import (
    DeliverHead,
    DeliverPiece,
    DeliverPieceRequest,
)
from arbutusbridge.core.peers.pieces import VersionFetch, window_of
from arbutusbridge.core.peers.syncactions import (
    Adopt,
    ReadHead,
    ReadInstanceList,
    ReadVersion,
)

if TYPE_CHECKING:
    import random

    from arbutusbridge.core.peers.gossip import Gossip
    from arbutusbridge.core.peers.peerwire import Piece
    from arbutusbridge.core.peers.syncactions import SyncAction

MAX_WINDOWS_PER_TICK = 8
"""Windows of pieces served between two ticks at most."""

FETCH_TIMEOUT_S = 2.0
"""Time without a piece after which another peer is asked."""

MAX_FAILED_FETCHES = 3
"""Peers that failed in a row before the store is read for a value."""

HEAD_STALE_TIMEOUT_S = 9.0
"""Time since the head was known to stand, after which anybody may read it."""

STALE_READ_INTERVAL_S = 2.0
"""Time between two such reads, over all instances of a data centre."""

RETRY_DELAY_S = 1.0
"""Mean wait after a failed store call."""

STORE_CALL_TIMEOUT_S = 16.0
"""Time after which a store call is given up; the store may be slow."""

READ_OVERDUE_TIMEOUT_S = 2.0
"""Time after which a read is made beside one that may be lost."""

LIST_READ_INTERVAL_S = 5.0
"""Time between two readings of the instance list."""

DISTRUST_PERIOD_S = 60.0
"""Time for which no version is fetched from a peer that gave a wrong one."""

MAX_REFUSED_VERSIONS = 100
"""Refused versions remembered."""

SETTLE_DELAY_S = 3.0
"""Time after the first adoption in which greater versions may turn up."""


class VersionSync:
    """Decides what to read, whom to ask and what to adopt.

    Attributes:
      head: The version in force, ``NO_HEAD`` at first.
      packed: Its value, for peers.
      refused: Versions that did not validate here, with the reason.
      store_behind: Whether the store shows an older version than this one.
      conflicts: Other publishes seen under the number in force.
    """

    def __init__(self, gossip: Gossip, rng: random.Random) -> None:
        self.gossip = gossip
        self.membership = gossip.membership
        self.rng = rng
        self.head = NO_HEAD
        self.packed = b""
        self.first_adopted_at: float | None = None
        self.store_index = 0
        self.head_reads = OpenReads()
        self.value_reads = OpenReads()
        self.read_at = 0.0
        self.list_at = 0.0
        self.ask: VersionFetch | None = None
        self.asks_failed = 0
        self.offers: dict[str, Head] = {}
        self.distrusted: dict[str, float] = {}
        self.refused: dict[Head, str] = {}
        self.served = 0
        self.store_behind = False
        self.conflicts = 0

    def tick(self, now: float) -> list[SyncAction]:
        """Returns what is due; called about once a second."""
        self.served = 0
        out: list[SyncAction] = []
        watcher = self.membership.is_watcher(now)
        if watcher and now >= self.list_at:
            self.list_at = now + LIST_READ_INTERVAL_S
            out.append(ReadInstanceList())
        if self.may_read(watcher, now):
            out.append(self.read_head(watcher, now))
        if self.ask is not None and now > self.ask.deadline:
            self.ask = None
            self.asks_failed += 1
            self.ask_best(now, out)
        return out

    def may_read(self, watcher: bool, now: float) -> bool:
        """Tells whether this instance reads the head now."""
        if now < self.read_at or not self.head_reads.may_add(now):
            return False
        if not self.value_reads.may_add(now):
            return False
        return watcher or self.takes_over(now)

    def takes_over(self, now: float) -> bool:
        """Tells whether to read because those that should do not tell.

        All instances of a data centre together read at a fixed mean rate.
        """
        known_at = self.gossip.head_known_at
        if known_at is not None and now - known_at < HEAD_STALE_TIMEOUT_S:
            return False
        live = len(self.membership.live(self.membership.me.data_centre, now))
        return self.rng.random() < 1.0 / (STALE_READ_INTERVAL_S * live)

    def read_head(self, watcher: bool, now: float) -> ReadHead:
        """Starts to read the head; those that watch wait for its change."""
        index = 0
        due = now + READ_OVERDUE_TIMEOUT_S
        if watcher and not self.head_reads.due:
            index = self.store_index
            due += WATCH_TIMEOUT_S if index else 0
        return ReadHead(self.head_reads.add(due), index)

    def on_head(
        self, number: int, result: StoreResult, now: float
    ) -> list[SyncAction]:
        """Takes the head, or that it could not be read."""
        was_open = self.head_reads.end(number, now)
        out: list[SyncAction] = []
        head = head_of(result)
        if head is not None:
            self.compare(head, now, out)
        if not was_open:
            return out
        if head is None:
            self.store_failed(now)
            return out
        self.store_index = result.index
        self.read_at = now if result.index else now + RETRY_DELAY_S
        if self.may_read(self.membership.is_watcher(now), now):
            out.append(self.read_head(True, now))
        return out

    def store_failed(self, now: float) -> None:
        """Notes that a store call failed."""
        self.store_index = 0
        self.read_at = now + RETRY_DELAY_S * self.rng.uniform(0.5, 1.5)

    def compare(self, head: Head, now: float, out: list[SyncAction]) -> None:
        """Compares the store's head with the version in force."""
        self.store_behind = head.version < self.head.version
        if self.wants(head):
            self.read_value(head, now, out)
        elif not self.store_behind:
            self.confirm(head, now)

    def confirm(self, head: Head, at: float) -> None:
        """Notes that a head was known to stand at a time."""
        if head.version == self.head.version and head != self.head:
            self.conflicts += 1
            return
        known_at = self.gossip.head_known_at
        self.gossip.head_known_at = (
            at if known_at is None else max(known_at, at)
        )

    def wants(self, head: Head) -> bool:
        """Tells whether a version would be adopted."""
        return head.version > self.head.version and head not in self.refused

    def read_value(self, head: Head, now: float, out: list[SyncAction]) -> None:
        """Starts to read a version's value, unless that was just done."""
        if self.value_reads.may_add(now):
            number = self.value_reads.add(now + READ_OVERDUE_TIMEOUT_S)
            out.append(ReadVersion(number, head))

    def on_version(
        self, number: int, head: Head, result: StoreResult, now: float
    ) -> list[SyncAction]:
        """Takes a version's value from the store."""
        self.value_reads.end(number, now)
        if result.status is not StoreStatus.DONE or result.value is None:
            self.store_failed(now)
            return []
        return self.offer(head, result.value, "store", now)

    def offer(
        self, head: Head, packed: bytes, source: str, now: float
    ) -> list[SyncAction]:
        """Takes a whole value of a version."""
        if not self.wants(head):
            return []
        if head.digest and digest_of(packed) != head.digest:
            self.distrust(source, now)
            return []
        return [Adopt(head, packed, source)]

    def adopted(
        self, head: Head, packed: bytes, source: str, now: float
    ) -> list[SyncAction]:
        """Notes that a version is in force, and tells peers at once."""
        self.head = head
        self.packed = packed
        self.ask = None
        self.asks_failed = 0
        self.gossip.head = head
        self.gossip.head_known_at = now if source == "store" else None
        if self.first_adopted_at is None:
            self.first_adopted_at = now
        self.offers = {
            peer: offer
            for peer, offer in self.offers.items()
            if offer.version > head.version
        }
        out: list[SyncAction] = []
        out += self.gossip.announce(now)
        self.ask_best(now, out)
        return out

    def refuse(
        self, head: Head, reason: str, source: str, now: float
    ) -> list[SyncAction]:
        """Notes that a version did not validate here; it is not tried again."""
        self.refused[head] = reason
        if len(self.refused) > MAX_REFUSED_VERSIONS:
            del self.refused[next(iter(self.refused))]
        self.ask = None
        if source != "store":
            self.distrust(source, now)
        out: list[SyncAction] = []
        self.ask_best(now, out)
        return out

    def distrust(self, peer: str, now: float) -> None:
        """Stops to fetch versions from a peer for a time."""
        self.offers.pop(peer, None)
        self.distrusted[peer] = now + DISTRUST_PERIOD_S
        if len(self.distrusted) > MAX_REFUSED_VERSIONS:
            del self.distrusted[next(iter(self.distrusted))]

    def take(
        self, said: DeliverHead | DeliverPieceRequest | DeliverPiece, now: float
    ) -> list[SyncAction]:
        """Takes what a peer said of versions."""
        out: list[SyncAction] = []
        match said:
            case DeliverHead():
                self.take_head(said, now, out)
            case DeliverPieceRequest():
                self.serve(said, now, out)
            case DeliverPiece():
                self.take_piece(said, now, out)
        return out

    def take_head(
        self, said: DeliverHead, now: float, out: list[SyncAction]
    ) -> None:
        """Takes the version in force at a peer."""
        if said.head == self.head:
            if said.age is not None:
                self.confirm(said.head, now - said.age)
            return
        if said.head.version == self.head.version:
            self.conflicts += 1
        if not self.wants(said.head):
            self.offers.pop(said.peer, None)
            return
        if now < self.distrusted.get(said.peer, 0.0):
            return
        self.offers[said.peer] = said.head
        if self.ask is None or self.ask.head.version < said.head.version:
            self.ask_best(now, out)

    def ask_best(self, now: float, out: list[SyncAction]) -> None:
        """Asks a peer with the greatest version offered for it."""
        offers = {p: h for p, h in self.offers.items() if self.wants(h)}
        if not offers:
            return
        best = max(offers.values(), key=lambda head: head.version)
        if self.asks_failed >= MAX_FAILED_FETCHES:
            self.asks_failed = 0
            self.read_value(best, now, out)
            return
        peers = sorted(p for p, h in offers.items() if h == best)
        peer = self.rng.choice(peers)
        # An asked peer must say again what it has before it is asked again.
        del self.offers[peer]
        self.ask = VersionFetch(peer, best, now + FETCH_TIMEOUT_S)
        out += self.gossip.ask(peer, best.version, 0, now)

    def serve(
        self, said: DeliverPieceRequest, now: float, out: list[SyncAction]
    ) -> None:
        """Sends a peer a window of pieces of the version in force."""
        self.served += 1
        if self.served > MAX_WINDOWS_PER_TICK:
            return
        pieces: list[Piece] = []
        if said.version == self.head.version:
            pieces = window_of(self.head, self.packed, said.first)
        out += self.gossip.serve(said.peer, pieces, now)

    def take_piece(
        self, said: DeliverPiece, now: float, out: list[SyncAction]
    ) -> None:
        """Takes the next piece of what was asked for; drops all else."""
        ask = self.ask
        if ask is None or ask.peer != said.peer or not ask.take(said.piece):
            return
        ask.deadline = now + FETCH_TIMEOUT_S
        if ask.whole:
            self.ask = None
            out += self.offer(ask.head, b"".join(ask.parts), ask.peer, now)
        elif ask.window_ended:
            first = len(ask.parts)
            out += self.gossip.ask(ask.peer, ask.head.version, first, now)

    def settled(self, now: float) -> bool:
        """Tells whether a greater version in reach is unlikely."""
        if self.first_adopted_at is None:
            return False
        if self.gossip.head_known_at is not None:
            return True
        return now - self.first_adopted_at > SETTLE_DELAY_S


def head_of(result: StoreResult) -> Head | None:
    """Returns the head that a read found, None if it can't be known."""
    if result.status is not StoreStatus.DONE:
        return None
    try:
        return decode_head_record(result.value).head
    except ValueError:
        return None
