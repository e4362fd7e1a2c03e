"""Shares of the upstreams' connections that add up to no more than all.

An instance that starts holds no connections until every instance that it
counts has told it that it counts exactly the same instances, the starter
among them, and holds no more connections than that count allows. Whoever is
told of a starter shrinks before it says so; shares grow only when an instance
has said that it stopped or is surely gone.
"""

from __future__ import annotations

import enum
import functools
import hashlib
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.core.membership.members import MAX_MEMBERS

if TYPE_CHECKING:
    from arbutusbridge.core.membership.members import Identity, Member
    from arbutusbridge.core.membership.membership import Membership

FIRST_CONTACT_TIMEOUT_S = 0.5
"""Wait for a first word of others, before which no connection is opened."""

CONFIRMATION_TIMEOUT_S = 4.0
"""Wait for the others' word after which a starter opens one connection."""

BOOTSTRAP_DELAY_S = 15.0
"""Wait before starters that know of no holder of shares become holders."""

MIN_COLD_INSTANCES = 8
"""Instances that starters who know of no holder leave room for at least."""

SILENCE_TIMEOUT_S = 30.0
"""Silence after which an instance that the list dropped holds no shares."""

MAX_CONTACT_GAP_S = 15.0
"""Time without word of a data centre after which it may be cut off."""

STARTING_FRACTION = 0.125
"""Instances that may start at once, as a share of those counted."""

RESERVED_FRACTION = 0.075
"""Part of an upstream's connections kept free for starters."""

DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class ShareStatus:
    """What an instance says of its shares.

    Attributes:
      digest: Digest of the instances that it counts.
      joined: Whether it holds shares.
      within: Whether its connections are within the shares of that count.
      asks: Whether it wants the receiver's word in return.
    """

    digest: bytes = b""
    joined: bool = False
    within: bool = False
    asks: bool = False


@functools.lru_cache(MAX_MEMBERS)
def identity_digest(identity: Identity) -> int:
    """Returns a number that stands for one start of an instance."""
    text = f"{identity.name}\0{identity.incarnation}"
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def order_key(name: str, upstream: str) -> bytes:
    """Returns what the order of instances at an upstream goes by."""
    text = f"{upstream}\0{name}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class ConnectionShares:
    """One instance's part in the sharing of connections.

    Attributes:
      membership: The instances known.
      followed: Whether the connections follow the allocation; while they do
        not, nobody is asked and this instance does not join.
      started_at: When this instance started, None before the first step.
      joined: Whether this instance holds shares.
      words: What each other instance said last, with its incarnation.
      heard_since: When each data centre began to be heard without a gap.
      shrunk_to: Digest of the instances whose shares the connections are
        known to be within.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.followed = False
        self.started_at: float | None = None
        self.joined = False
        self.words: dict[str, tuple[int, ShareStatus]] = {}
        self.shrunk_to = b""
        self.heard_since: dict[str, float] = {}

    def others(self, now: float) -> list[Identity]:
        """Returns the other instances that may hold connections."""
        return [
            member.identity
            for member in self.membership.running()
            if not self.has_ended(member, now)
        ]

    def has_ended(self, member: Member, now: float) -> bool:
        """Tells whether an instance is surely gone without a word.

        Its data centre must have been heard all the while, or all of it may
        just have been cut off.
        """
        silent_since = max(member.heard_at or 0.0, member.since)
        if now - silent_since < SILENCE_TIMEOUT_S:
            return False
        heard_since = self.heard_since.get(member.identity.data_centre, now)
        latest = max(silent_since, heard_since)
        if now - latest < SILENCE_TIMEOUT_S:
            return False
        return not self.membership.on_list(member)

    def note_places(self, now: float) -> None:
        """Notes since when each data centre has been heard without a gap."""
        latest: dict[str, float] = {}
        for member in self.membership.members.values():
            place = member.identity.data_centre
            heard_at = member.heard_at or 0.0
            latest[place] = max(heard_at, latest.get(place, 0.0))
        for place, heard_at in latest.items():
            if now - heard_at > MAX_CONTACT_GAP_S:
                self.heard_since.pop(place, None)
            else:
                self.heard_since.setdefault(place, now)

    def digest(self, now: float) -> bytes:
        """Returns the digest of the instances counted."""
        total = identity_digest(self.membership.me)
        for identity in self.others(now):
            total ^= identity_digest(identity)
        return total.to_bytes(DIGEST_BYTES, "big")

    def word(self, now: float) -> ShareStatus:
        """Returns what to say to the others now."""
        digest = self.digest(now)
        return ShareStatus(digest, self.joined, self.shrunk_to == digest)

    def hear(self, sender: Identity, word: ShareStatus) -> None:
        """Takes what another instance said to this incarnation."""
        self.words[sender.name] = (sender.incarnation, word)

    def note_within(self, digest: bytes) -> None:
        """Notes that the connections are within the shares of a count."""
        self.shrunk_to = digest

    def unconfirmed(self, now: float) -> list[str]:
        """Returns the instances whose word a starter still waits for."""
        if self.joined or not self.followed:
            return []
        digest = self.digest(now)
        return [
            identity.name
            for identity in self.others(now)
            if not self.agrees(identity, digest)
        ]

    def agrees(self, identity: Identity, digest: bytes) -> bool:
        """Tells whether an instance said that it counts as this one does."""
        incarnation, word = self.words.get(identity.name, (0, ShareStatus()))
        return (
            incarnation == identity.incarnation
            and word.digest == digest
            and word.within
        )

    def step(self, now: float) -> None:
        """Joins the holders of shares if the others agree."""
        if self.started_at is None:
            self.started_at = now
        self.note_places(now)
        if not self.followed:
            return
        age = now - self.started_at
        if (
            self.joined
            or age < FIRST_CONTACT_TIMEOUT_S
            or self.unconfirmed(now)
        ):
            return
        is_alone = self.list_was_read() and age >= BOOTSTRAP_DELAY_S
        self.joined = self.holder_known(now) or is_alone

    def list_was_read(self) -> bool:
        """Tells whether others could be known from the instance list."""
        return self.membership.list_read_at is not None

    def holder_known(self, now: float) -> bool:
        """Tells whether an instance that counts holds shares."""
        return any(self.holds(other.name) for other in self.others(now))

    def starters(self, now: float) -> list[str]:
        """Returns the other instances that are not known to hold shares."""
        names = [other.name for other in self.others(now)]
        return [name for name in names if not self.holds(name)]

    def holds(self, name: str) -> bool:
        """Tells whether an instance said that it holds shares."""
        return name in self.words and self.words[name][1].joined

    def allocation(self, now: float) -> Allocation:
        """Returns what this instance may hold now."""
        me = self.membership.me.name
        names = [other.name for other in self.others(now)]
        if self.joined:
            return Allocation(me, ShareStage.HOLDER, tuple(names))
        age = 0.0 if self.started_at is None else now - self.started_at
        if age < FIRST_CONTACT_TIMEOUT_S:
            return Allocation(me, ShareStage.WAITING, tuple(names))
        if not names and not self.list_was_read():
            return Allocation(me, ShareStage.WAITING, ())
        if self.list_was_read() and not self.holder_known(now):
            return Allocation(me, ShareStage.COLD, tuple(names))
        if age < CONFIRMATION_TIMEOUT_S:
            return Allocation(me, ShareStage.WAITING, tuple(names))
        return Allocation(
            me, ShareStage.STUCK, tuple(names), tuple(self.starters(now))
        )


class ShareStage(enum.Enum):
    """How far an instance has come towards its shares.

    WAITING: It opens nothing. COLD: No holder is known, it leaves room for
    others that start. STUCK: It uses what is reserved for starters. HOLDER:
    It holds shares.
    """

    WAITING = "waiting"
    COLD = "cold"
    STUCK = "stuck"
    HOLDER = "holder"


@dataclass(frozen=True, slots=True)
class Allocation:
    """What one instance may hold of every upstream, by one count.

    Attributes:
      me: Its name.
      stage: How far it has come.
      names: The other instances counted.
      starters: Those of them that are starting too.
    """

    me: str
    stage: ShareStage
    names: tuple[str, ...]
    starters: tuple[str, ...] = ()

    def connections(self, upstream: str, limit: int) -> int:
        """Returns the connections allowed to an upstream with a limit."""
        counted = 1 + len(self.names)
        starting = math.ceil(counted * STARTING_FRACTION)
        if self.stage is ShareStage.WAITING:
            return 0
        if self.stage is ShareStage.COLD:
            return limit // (max(MIN_COLD_INSTANCES, counted) + starting)
        if self.stage is ShareStage.STUCK:
            return self.of_reserve(upstream, limit)
        shared = max(1, limit - reserve(limit, starting))
        if shared >= counted:
            return shared // counted
        return 1 if self.rank(upstream, self.names) < shared else 0

    def of_reserve(self, upstream: str, limit: int) -> int:
        """Returns a starter's part of what the holders leave free.

        Of an upstream with fewer connections than instances it has none.
        """
        holders = len(self.names) - len(self.starters)
        starting = math.ceil(holders * STARTING_FRACTION)
        if limit <= holders or self.rank(upstream, self.starters) >= starting:
            return 0
        return reserve(limit, starting) // starting

    def rank(self, upstream: str, others: tuple[str, ...]) -> int:
        """Returns this instance's place in an upstream's own order.

        Who counts more instances than there are ranks itself no better, so
        that no two views let too many in.
        """
        own = order_key(self.me, upstream)
        return sum(order_key(name, upstream) < own for name in others)


def reserve(limit: int, starting: int) -> int:
    """Returns the connections of an upstream kept free for starters."""
    return max(starting, math.floor(limit * RESERVED_FRACTION))
