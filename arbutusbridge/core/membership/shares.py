"""Division of the upstreams' connections among the instances.

The shares of all instances never add up to more than an upstream accepts. A
starting instance holds no connections until every instance that it counts
has confirmed two things: that it counts exactly the same instances, including
the starting one, and that it holds no more connections than this count
allows. An instance that learns of a starting one reduces its connections
before it confirms. Shares grow only after an instance has reported that it
stopped, or is treated as ended.
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
"""Time to wait for first messages of peers before connections are opened."""

CONFIRMATION_TIMEOUT_S = 4.0
"""Time since the start after which reserved connections are used.

This applies to an instance that has not received all confirmations.
"""

BOOTSTRAP_DELAY_S = 15.0
"""Time after which a starting instance that knows of no holder becomes one."""

MIN_COLD_START_INSTANCES = 8
"""Minimum number of instances that a cold start leaves room for."""

SILENCE_TIMEOUT_S = 30.0
"""Time without a heartbeat after which an unlisted instance holds no shares."""

MAX_CONTACT_GAP_S = 15.0
"""Time without a heartbeat after which a data centre may be cut off."""

STARTING_FRACTION = 0.125
"""Instances that may start concurrently, as a fraction of those counted."""

RESERVED_FRACTION = 0.075
"""Fraction of an upstream's connections reserved for starting instances."""

DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class ShareStatus:
    """State of its shares that an instance reports to a peer.

    Attributes:
      digest: Digest of the instances that it counts.
      joined: Whether it holds shares.
      within: Whether its connections are within the shares of that count.
      asks: Whether it asks the receiver to report its status in return.
    """

    digest: bytes = b""
    joined: bool = False
    within: bool = False
    asks: bool = False


@functools.lru_cache(MAX_MEMBERS)
def identity_digest(identity: Identity) -> int:
    """Returns a digest of the name and incarnation of an instance."""
    text = f"{identity.name}\0{identity.incarnation}"
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def rank_key(name: str, upstream: str) -> bytes:
    """Returns the key by which instances are ranked at an upstream."""
    text = f"{upstream}\0{name}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class ConnectionShares:
    """State of one instance in the division of connections.

    Attributes:
      membership: Known instances.
      enforced: Whether the connections follow the allocation; otherwise no
        status is requested and this instance does not join.
      started_at: Time of the first update, None before it.
      joined: Whether this instance holds shares.
      statuses: Incarnation and latest status of each other instance.
      heard_since: Time since which each data centre has been heard without a
        gap.
      confirmed_digest: Digest of the instances that the connections are known
        to leave room for.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.enforced = False
        self.started_at: float | None = None
        self.joined = False
        self.statuses: dict[str, tuple[int, ShareStatus]] = {}
        self.confirmed_digest = b""
        self.heard_since: dict[str, float] = {}

    def counted_others(self, now: float) -> list[Identity]:
        """Returns the other instances that may hold connections."""
        return [
            member.identity
            for member in self.membership.running_members()
            if not self.is_presumed_gone(member, now)
        ]

    def is_presumed_gone(self, member: Member, now: float) -> bool:
        """Returns whether a silent, unlisted instance is treated as ended.

        Its data centre must have been heard the whole time. Otherwise the
        data centre may be cut off while its instances keep running.
        """
        silent_since = max(member.heard_at or 0.0, member.first_seen_at)
        if now - silent_since < SILENCE_TIMEOUT_S:
            return False
        heard_since = self.heard_since.get(member.identity.data_centre, now)
        latest = max(silent_since, heard_since)
        if now - latest < SILENCE_TIMEOUT_S:
            return False
        return not self.membership.is_listed(member)

    def track_data_centres(self, now: float) -> None:
        """Updates since when each data centre has been heard without a gap."""
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
        """Returns the digest of the counted instances, including this one."""
        total = identity_digest(self.membership.me)
        for identity in self.counted_others(now):
            total ^= identity_digest(identity)
        return total.to_bytes(DIGEST_BYTES, "big")

    def current_status(self, now: float) -> ShareStatus:
        """Returns the status to report to the other instances."""
        digest = self.digest(now)
        return ShareStatus(digest, self.joined, self.confirmed_digest == digest)

    def record_status(self, sender: Identity, status: ShareStatus) -> None:
        """Records the status that another instance reported."""
        self.statuses[sender.name] = (sender.incarnation, status)

    def record_within_shares(self, digest: bytes) -> None:
        """Records that the connections are within the shares of a count.

        Args:
          digest: Digest of the instances counted.
        """
        self.confirmed_digest = digest

    def unconfirmed(self, now: float) -> list[str]:
        """Returns the instances whose confirmation is still missing."""
        if self.joined or not self.enforced:
            return []
        digest = self.digest(now)
        return [
            identity.name
            for identity in self.counted_others(now)
            if not self.has_confirmed(identity, digest)
        ]

    def has_confirmed(self, identity: Identity, digest: bytes) -> bool:
        """Returns whether an instance confirmed a digest of the instances."""
        incarnation, status = self.statuses.get(
            identity.name, (0, ShareStatus())
        )
        return (
            incarnation == identity.incarnation
            and status.digest == digest
            and status.within
        )

    def update(self, now: float) -> None:
        """Joins the holders of shares if all others have confirmed."""
        if self.started_at is None:
            self.started_at = now
        self.track_data_centres(now)
        if not self.enforced:
            return
        age = now - self.started_at
        if (
            self.joined
            or age < FIRST_CONTACT_TIMEOUT_S
            or self.unconfirmed(now)
        ):
            return
        is_alone = self.list_was_read() and age >= BOOTSTRAP_DELAY_S
        self.joined = self.knows_holder(now) or is_alone

    def list_was_read(self) -> bool:
        """Returns whether the instance list was read at least once."""
        return self.membership.list_read_at is not None

    def knows_holder(self, now: float) -> bool:
        """Returns whether any other counted instance holds shares."""
        return any(self.holds(other.name) for other in self.counted_others(now))

    def starting_names(self, now: float) -> list[str]:
        """Returns the other instances that are not known to hold shares."""
        names = [other.name for other in self.counted_others(now)]
        return [name for name in names if not self.holds(name)]

    def holds(self, name: str) -> bool:
        """Returns whether an instance reported that it holds shares."""
        return name in self.statuses and self.statuses[name][1].joined

    def allocation(self, now: float) -> Allocation:
        """Returns the connections that this instance may hold."""
        me = self.membership.me.name
        names = [other.name for other in self.counted_others(now)]
        if self.joined:
            return Allocation(me, ShareStage.HOLDER, tuple(names))
        age = 0.0 if self.started_at is None else now - self.started_at
        if age < FIRST_CONTACT_TIMEOUT_S:
            return Allocation(me, ShareStage.WAITING, tuple(names))
        if not names and not self.list_was_read():
            return Allocation(me, ShareStage.WAITING, ())
        if self.list_was_read() and not self.knows_holder(now):
            return Allocation(me, ShareStage.COLD, tuple(names))
        if age < CONFIRMATION_TIMEOUT_S:
            return Allocation(me, ShareStage.WAITING, tuple(names))
        return Allocation(
            me, ShareStage.STUCK, tuple(names), tuple(self.starting_names(now))
        )


class ShareStage(enum.Enum):
    """Stage of an instance on its way to its shares.

    WAITING: It opens no connections. COLD: It knows of no holder and leaves
    room for other starting instances. STUCK: Confirmations are missing; it
    uses the connections reserved for starting instances. HOLDER: It holds
    shares.
    """

    WAITING = "waiting"
    COLD = "cold"
    STUCK = "stuck"
    HOLDER = "holder"


@dataclass(frozen=True, slots=True)
class Allocation:
    """Connections that one instance may hold to each upstream.

    Attributes:
      me: Name of the instance.
      stage: Stage of the instance.
      names: Names of the other instances counted.
      starting_names: Names of those that are not known to hold shares.
    """

    me: str
    stage: ShareStage
    names: tuple[str, ...]
    starting_names: tuple[str, ...] = ()

    def connections(self, upstream: str, limit: int) -> int:
        """Returns the number of connections allowed to an upstream.

        Args:
          upstream: Name of the upstream.
          limit: Connections that it accepts from all instances together.
        """
        counted = 1 + len(self.names)
        starting = math.ceil(counted * STARTING_FRACTION)
        if self.stage is ShareStage.WAITING:
            return 0
        if self.stage is ShareStage.COLD:
            return limit // (max(MIN_COLD_START_INSTANCES, counted) + starting)
        if self.stage is ShareStage.STUCK:
            return self.reserved_connections(upstream, limit)
        shared = max(1, limit - reserve_size(limit, starting))
        if shared >= counted:
            return shared // counted
        return 1 if self.rank(upstream, self.names) < shared else 0

    def reserved_connections(self, upstream: str, limit: int) -> int:
        """Returns a starting instance's part of the reserved connections.

        It is 0 if the upstream has no more connections than there are
        holders.
        """
        holders = len(self.names) - len(self.starting_names)
        starting = math.ceil(holders * STARTING_FRACTION)
        if (
            limit <= holders
            or self.rank(upstream, self.starting_names) >= starting
        ):
            return 0
        return reserve_size(limit, starting) // starting

    def rank(self, upstream: str, others: tuple[str, ...]) -> int:
        """Returns this instance's rank in the order of an upstream.

        Counting instances that no longer run never improves the rank.
        Instances with different views therefore never admit too many.
        """
        own = rank_key(self.me, upstream)
        return sum(rank_key(name, upstream) < own for name in others)


def reserve_size(limit: int, starting: int) -> int:
    """Returns the number of connections reserved for starting instances."""
    return max(starting, math.floor(limit * RESERVED_FRACTION))
