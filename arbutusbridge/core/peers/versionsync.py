"""Sync of an instance to the newest reachable configuration version.

The two instances with the lowest ranks in a data centre watch the head key
of the store. The others learn of a new version from their peers and fetch
its value from them in pieces. A version older than the one in force is never
adopted.
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
    AdoptVersion,
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
"""Maximum number of windows of pieces served between two ticks."""

FETCH_TIMEOUT_S = 2.0
"""Time without a piece after which a fetch fails and another peer is tried."""

MAX_FAILED_FETCHES = 3
"""Consecutive failed fetches after which the value is read from the store."""

HEAD_STALE_TIMEOUT_S = 9.0
"""Age of the last confirmation of the head after which any instance reads it.

Before that only the watchers read it.
"""

STALE_READ_INTERVAL_S = 2.0
"""Mean interval between reads of a stale head in a data centre."""

RETRY_DELAY_S = 1.0
"""Mean delay after a failed store call."""

STORE_CALL_TIMEOUT_S = 16.0
"""Timeout of a store call; long because the store may be slow."""

READ_OVERDUE_TIMEOUT_S = 2.0
"""Time after which an open read may be lost and another one is started."""

LIST_READ_INTERVAL_S = 5.0
"""Interval between two readings of the instance list."""

DISTRUST_PERIOD_S = 60.0
"""Time for which nothing is fetched from a peer that sent a wrong version."""

MAX_REFUSED_VERSIONS = 100
"""Maximum number of refused versions, or distrusted peers, remembered."""

SETTLE_DELAY_S = 3.0
"""Time to wait for a newer version after the first adoption."""


class VersionSync:
    """Decides what to read, which peer to fetch from and what to adopt.

    Attributes:
      head: Version in force, ``NO_HEAD`` at first.
      packed: Its packed value, for peers.
      first_adopted_at: Time of the first adoption, or None.
      store_index: Index of the head key at the last read, 0 if not known.
      next_head_read_at: Earliest time of the next read of the head key.
      next_list_read_at: Earliest time of the next reading of the instance list.
      fetch: Fetch in progress, or None.
      failed_fetches: Number of consecutive failed fetches.
      offers: Newer versions in force at peers, by peer.
      distrusted_until: Time until which nothing is fetched from a peer.
      refused: Versions that were not valid here, with the reason.
      served: Number of windows served since the last tick.
      store_behind: Whether the store holds an older version than this
        instance.
      conflicts: Number of times that a different publish with the version
        number in force was seen.
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
        self.next_head_read_at = 0.0
        self.next_list_read_at = 0.0
        self.fetch: VersionFetch | None = None
        self.failed_fetches = 0
        self.offers: dict[str, Head] = {}
        self.distrusted_until: dict[str, float] = {}
        self.refused: dict[Head, str] = {}
        self.served = 0
        self.store_behind = False
        self.conflicts = 0

    def tick(self, now: float) -> list[SyncAction]:
        """Returns the actions that are due; called about once a second."""
        self.served = 0
        out: list[SyncAction] = []
        watcher = self.membership.is_watcher(now)
        if watcher and now >= self.next_list_read_at:
            self.next_list_read_at = now + LIST_READ_INTERVAL_S
            out.append(ReadInstanceList())
        if self.can_read(watcher, now):
            out.append(self.read_head(watcher, now))
        if self.fetch is not None and now > self.fetch.deadline:
            self.fetch = None
            self.failed_fetches += 1
            self.fetch_best(now, out)
        return out

    def can_read(self, watcher: bool, now: float) -> bool:
        """Returns whether this instance should read the head key now."""
        if now < self.next_head_read_at or not self.head_reads.can_add(now):
            return False
        if not self.value_reads.can_add(now):
            return False
        return watcher or self.should_take_over(now)

    def should_take_over(self, now: float) -> bool:
        """Returns whether to read the head key in place of the watchers.

        That is the case if the watchers have not confirmed the head recently.
        All instances of a data centre together then read at a fixed mean
        rate.
        """
        confirmed_at = self.gossip.head_confirmed_at
        if (
            confirmed_at is not None
            and now - confirmed_at < HEAD_STALE_TIMEOUT_S
        ):
            return False
        live = len(self.membership.live(self.membership.me.data_centre, now))
        return self.rng.random() < 1.0 / (STALE_READ_INTERVAL_S * live)

    def read_head(self, watcher: bool, now: float) -> ReadHead:
        """Returns the action that reads the head key.

        A watcher waits for the next change if no other read is open.
        """
        index = 0
        due_at = now + READ_OVERDUE_TIMEOUT_S
        if watcher and not self.head_reads.due_times:
            index = self.store_index
            due_at += WATCH_TIMEOUT_S if index else 0
        return ReadHead(self.head_reads.add(due_at), index)

    def on_head(
        self, number: int, result: StoreResult, now: float
    ) -> list[SyncAction]:
        """Handles the result of a read of the head key."""
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
        self.next_head_read_at = now if result.index else now + RETRY_DELAY_S
        if self.can_read(self.membership.is_watcher(now), now):
            out.append(self.read_head(True, now))
        return out

    def on_store_failure(self, now: float) -> None:
        """Delays the next read after a failed store call."""
        self.store_index = 0
        self.next_head_read_at = now + RETRY_DELAY_S * self.rng.uniform(
            0.5, 1.5
        )

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
        """Records that a head was known to be the newest at a time."""
        if head.version == self.head.version and head != self.head:
            self.conflicts += 1
            return
        confirmed_at = self.gossip.head_confirmed_at
        self.gossip.head_confirmed_at = (
            at if confirmed_at is None else max(confirmed_at, at)
        )

    def should_adopt(self, head: Head) -> bool:
        """Returns whether a version is newer and was not refused."""
        return head.version > self.head.version and head not in self.refused

    def read_value(self, head: Head, now: float, out: list[SyncAction]) -> None:
        """Reads a version's value from the store, unless a read is open."""
        if self.value_reads.can_add(now):
            number = self.value_reads.add(now + READ_OVERDUE_TIMEOUT_S)
            out.append(ReadVersion(number, head))

    def on_version(
        self, number: int, head: Head, result: StoreResult, now: float
    ) -> list[SyncAction]:
        """Handles the result of a read of a version's value."""
        self.value_reads.end(number, now)
        if result.status is not StoreStatus.DONE or result.value is None:
            self.on_store_failure(now)
            return []
        return self.consider_value(head, result.value, "store", now)

    def consider_value(
        self, head: Head, packed: bytes, source: str, now: float
    ) -> list[SyncAction]:
        """Checks a complete value and returns the action that adopts it."""
        if not self.should_adopt(head):
            return []
        if head.digest and compute_digest(packed) != head.digest:
            self.distrust(source, now)
            return []
        return [AdoptVersion(head, packed, source)]

    def confirm_adoption(
        self, head: Head, packed: bytes, source: str, now: float
    ) -> list[SyncAction]:
        """Records that a version is in force, and announces it to peers."""
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
        """Records that a version was not valid; it is not tried again."""
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
        """Stops fetching versions from a peer for some time."""
        self.offers.pop(peer, None)
        self.distrusted_until[peer] = now + DISTRUST_PERIOD_S
        if len(self.distrusted_until) > MAX_REFUSED_VERSIONS:
            del self.distrusted_until[next(iter(self.distrusted_until))]

    def on_peer_report(
        self,
        report: DeliverHead | DeliverPieceRequest | DeliverPiece,
        now: float,
    ) -> list[SyncAction]:
        """Handles what a peer reported about versions."""
        out: list[SyncAction] = []
        match report:
            case DeliverHead():
                self.on_peer_head(report, now, out)
            case DeliverPieceRequest():
                self.serve(report, now, out)
            case DeliverPiece():
                self.on_piece(report, now, out)
        return out

    def on_peer_head(
        self, report: DeliverHead, now: float, out: list[SyncAction]
    ) -> None:
        """Handles the version in force at a peer."""
        if report.head == self.head:
            if report.age is not None:
                self.confirm_head(report.head, now - report.age)
            return
        if report.head.version == self.head.version:
            self.conflicts += 1
        if not self.should_adopt(report.head):
            self.offers.pop(report.peer, None)
            return
        if now < self.distrusted_until.get(report.peer, 0.0):
            return
        self.offers[report.peer] = report.head
        if self.fetch is None or self.fetch.head.version < report.head.version:
            self.fetch_best(now, out)

    def fetch_best(self, now: float, out: list[SyncAction]) -> None:
        """Starts to fetch the newest version that a peer offers.

        After too many failed fetches it is read from the store instead.
        """
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
        # The peer must report its version again before the next fetch.
        del self.offers[peer]
        self.fetch = VersionFetch(peer, best, now + FETCH_TIMEOUT_S)
        out += self.gossip.request_pieces(peer, best.version, 0, now)

    def serve(
        self, report: DeliverPieceRequest, now: float, out: list[SyncAction]
    ) -> None:
        """Sends a peer a window of pieces of the version in force."""
        self.served += 1
        if self.served > MAX_WINDOWS_PER_TICK:
            return
        pieces: list[Piece] = []
        if report.version == self.head.version:
            pieces = cut_window(self.head, self.packed, report.first)
        out += self.gossip.serve(report.peer, pieces, now)

    def on_piece(
        self, report: DeliverPiece, now: float, out: list[SyncAction]
    ) -> None:
        """Handles a piece; drops it unless it is the next of the fetch."""
        fetch = self.fetch
        if (
            fetch is None
            or fetch.peer != report.peer
            or not fetch.accept_piece(report.piece)
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
        """Returns whether a newer version is unlikely to be found."""
        if self.first_adopted_at is None:
            return False
        if self.gossip.head_confirmed_at is not None:
            return True
        return now - self.first_adopted_at > SETTLE_DELAY_S


def parse_head(result: StoreResult) -> Head | None:
    """Returns the head from the result of a read, None if not known."""
    if result.status is not StoreStatus.DONE:
        return None
    try:
        return decode_head_record(result.value).head
    except ValueError:
        return None
