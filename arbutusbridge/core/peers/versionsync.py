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
    compute_digest,
    decode_head_record,
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
from arbutusbridge.core.peers.pieces import VersionFetch, cut_window
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
        self.next_read_at = 0.0
        self.next_list_at = 0.0
        self.fetch: VersionFetch | None = None
        self.failed_fetches = 0
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
        if watcher and now >= self.next_list_at:
            self.next_list_at = now + LIST_READ_INTERVAL_S
            out.append(ReadInstanceList())
        if self.can_read(watcher, now):
            out.append(self.read_head(watcher, now))
        if self.fetch is not None and now > self.fetch.deadline:
            self.fetch = None
            self.failed_fetches += 1
            self.fetch_best(now, out)
        return out

    def can_read(self, watcher: bool, now: float) -> bool:
        """Returns whether this instance reads the head now."""
        if now < self.next_read_at or not self.head_reads.can_add(now):
            return False
        if not self.value_reads.can_add(now):
            return False
        return watcher or self.should_take_over(now)

    def should_take_over(self, now: float) -> bool:
        """Returns whether to read because those that should do not tell.

        All instances of a data centre together read at a fixed mean rate.
        """
        known_at = self.gossip.head_confirmed_at
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
        head = parse_head(result)
        if head is not None:
            self.compare_head(head, now, out)
        if not was_open:
            return out
        if head is None:
            self.on_store_failure(now)
            return out
        self.store_index = result.index
        self.next_read_at = now if result.index else now + RETRY_DELAY_S
        if self.can_read(self.membership.is_watcher(now), now):
            out.append(self.read_head(True, now))
        return out

    def on_store_failure(self, now: float) -> None:
        """Notes that a store call failed."""
        self.store_index = 0
        self.next_read_at = now + RETRY_DELAY_S * self.rng.uniform(0.5, 1.5)

    def compare_head(
        self, head: Head, now: float, out: list[SyncAction]
    ) -> None:
        """Compares the store's head with the version in force."""
        self.store_behind = head.version < self.head.version
        if self.should_adopt(head):
            self.read_value(head, now, out)
        elif not self.store_behind:
            self.confirm_head(head, now)

    def confirm_head(self, head: Head, at: float) -> None:
        """Notes that a head was known to stand at a time."""
        if head.version == self.head.version and head != self.head:
            self.conflicts += 1
            return
        known_at = self.gossip.head_confirmed_at
        self.gossip.head_confirmed_at = (
            at if known_at is None else max(known_at, at)
        )

    def should_adopt(self, head: Head) -> bool:
        """Returns whether a version would be adopted."""
        return head.version > self.head.version and head not in self.refused

    def read_value(self, head: Head, now: float, out: list[SyncAction]) -> None:
        """Starts to read a version's value, unless that was just done."""
        if self.value_reads.can_add(now):
            number = self.value_reads.add(now + READ_OVERDUE_TIMEOUT_S)
            out.append(ReadVersion(number, head))

    def on_version(
        self, number: int, head: Head, result: StoreResult, now: float
    ) -> list[SyncAction]:
        """Takes a version's value from the store."""
        self.value_reads.end(number, now)
        if result.status is not StoreStatus.DONE or result.value is None:
            self.on_store_failure(now)
            return []
        return self.consider_value(head, result.value, "store", now)

    def consider_value(
        self, head: Head, packed: bytes, source: str, now: float
    ) -> list[SyncAction]:
        """Takes a whole value of a version."""
        if not self.should_adopt(head):
            return []
        if head.digest and compute_digest(packed) != head.digest:
            self.distrust(source, now)
            return []
        return [Adopt(head, packed, source)]

    def confirm_adoption(
        self, head: Head, packed: bytes, source: str, now: float
    ) -> list[SyncAction]:
        """Notes that a version is in force, and tells peers at once."""
        self.head = head
        self.packed = packed
        self.fetch = None
        self.failed_fetches = 0
        self.gossip.head = head
        self.gossip.head_confirmed_at = now if source == "store" else None
        if self.first_adopted_at is None:
            self.first_adopted_at = now
        self.offers = {
            peer: offer
            for peer, offer in self.offers.items()
            if offer.version > head.version
        }
        out: list[SyncAction] = []
        out += self.gossip.announce_version(now)
        self.fetch_best(now, out)
        return out

    def refuse(
        self, head: Head, reason: str, source: str, now: float
    ) -> list[SyncAction]:
        """Notes that a version did not validate here; it is not tried again."""
        self.refused[head] = reason
        if len(self.refused) > MAX_REFUSED_VERSIONS:
            del self.refused[next(iter(self.refused))]
        self.fetch = None
        if source != "store":
            self.distrust(source, now)
        out: list[SyncAction] = []
        self.fetch_best(now, out)
        return out

    def distrust(self, peer: str, now: float) -> None:
        """Stops to fetch versions from a peer for a time."""
        self.offers.pop(peer, None)
        self.distrusted[peer] = now + DISTRUST_PERIOD_S
        if len(self.distrusted) > MAX_REFUSED_VERSIONS:
            del self.distrusted[next(iter(self.distrusted))]

    def on_peer_report(
        self, said: DeliverHead | DeliverPieceRequest | DeliverPiece, now: float
    ) -> list[SyncAction]:
        """Takes what a peer said of versions."""
        out: list[SyncAction] = []
        match said:
            case DeliverHead():
                self.on_peer_head(said, now, out)
            case DeliverPieceRequest():
                self.serve(said, now, out)
            case DeliverPiece():
                self.on_piece(said, now, out)
        return out

    def on_peer_head(
        self, said: DeliverHead, now: float, out: list[SyncAction]
    ) -> None:
        """Takes the version in force at a peer."""
        if said.head == self.head:
            if said.age is not None:
                self.confirm_head(said.head, now - said.age)
            return
        if said.head.version == self.head.version:
            self.conflicts += 1
        if not self.should_adopt(said.head):
            self.offers.pop(said.peer, None)
            return
        if now < self.distrusted.get(said.peer, 0.0):
            return
        self.offers[said.peer] = said.head
        if self.fetch is None or self.fetch.head.version < said.head.version:
            self.fetch_best(now, out)

    def fetch_best(self, now: float, out: list[SyncAction]) -> None:
        """Asks a peer with the greatest version offered for it."""
        offers = {p: h for p, h in self.offers.items() if self.should_adopt(h)}
        if not offers:
            return
        best = max(offers.values(), key=lambda head: head.version)
        if self.failed_fetches >= MAX_FAILED_FETCHES:
            self.failed_fetches = 0
            self.read_value(best, now, out)
            return
        peers = sorted(p for p, h in offers.items() if h == best)
        peer = self.rng.choice(peers)
        # An asked peer must say again what it has before it is asked again.
        del self.offers[peer]
        self.fetch = VersionFetch(peer, best, now + FETCH_TIMEOUT_S)
        out += self.gossip.request_pieces(peer, best.version, 0, now)

    def serve(
        self, said: DeliverPieceRequest, now: float, out: list[SyncAction]
    ) -> None:
        """Sends a peer a window of pieces of the version in force."""
        self.served += 1
        if self.served > MAX_WINDOWS_PER_TICK:
            return
        pieces: list[Piece] = []
        if said.version == self.head.version:
            pieces = cut_window(self.head, self.packed, said.first)
        out += self.gossip.serve(said.peer, pieces, now)

    def on_piece(
        self, said: DeliverPiece, now: float, out: list[SyncAction]
    ) -> None:
        """Takes the next piece of what was asked for; drops all else."""
        fetch = self.fetch
        if (
            fetch is None
            or fetch.peer != said.peer
            or not fetch.accept_piece(said.piece)
        ):
            return
        fetch.deadline = now + FETCH_TIMEOUT_S
        if fetch.whole:
            self.fetch = None
            out += self.consider_value(
                fetch.head, b"".join(fetch.parts), fetch.peer, now
            )
        elif fetch.window_complete:
            first = len(fetch.parts)
            out += self.gossip.request_pieces(
                fetch.peer, fetch.head.version, first, now
            )

    def is_settled(self, now: float) -> bool:
        """Returns whether a greater version in reach is unlikely."""
        if self.first_adopted_at is None:
            return False
        if self.gossip.head_confirmed_at is not None:
            return True
        return now - self.first_adopted_at > SETTLE_DELAY_S


def parse_head(result: StoreResult) -> Head | None:
    """Returns the head that a read found, None if it can't be known."""
    if result.status is not StoreStatus.DONE:
        return None
    try:
        return decode_head_record(result.value).head
    except ValueError:
        return None
