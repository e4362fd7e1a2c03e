"""Membership: the platform's instance list combined with heartbeats.

The list lags behind the instances that run; heartbeats do not.
"""

from __future__ import annotations

from dataclasses import replace

from arbutusbridge.core.membership.members import (
    MAX_MEMBERS,
    Identity,
    ListedInstance,
    Member,
    MemberState,
    member_key,
)

LOCAL_LIVENESS_TIMEOUT_S = 12.0
"""Time without a heartbeat after which a local instance is not live."""

REMOTE_LIVENESS_TIMEOUT_S = 150.0
"""Time without a heartbeat after which a remote instance is not live.

A remote instance is one of another data centre.
"""

REMOVAL_TIMEOUT_S = 120.0
"""Time without a heartbeat after which an unlisted instance is removed."""

LIST_LAG_TIMEOUT_S = 30.0
"""Time for which an instance must be missing from the list to be unlisted."""

PARTITION_TIMEOUT_S = 3600.0
"""Time for which instances of an unreachable data centre still count."""

REPORTED_COUNT_TTL_S = 10.0
"""Time for which an instance count reported by a peer is valid."""

ADVERTISE_TIMEOUT_S = 60.0
"""Time without a heartbeat after which an unlisted instance is not announced.

Peers that do not know the instance are then no longer told of it.
"""

TOMBSTONE_TTL_S = 600.0
"""Time for which a removed instance is kept as a tombstone.

Otherwise a peer that still knows it would bring it back.
"""

WATCHERS_PER_DATA_CENTRE = 2
"""Number of instances of a data centre that watch the platform for all."""


class Membership:
    """Combines the instance list with heartbeats.

    Attributes:
      me: Identity of this instance.
      members: All other instances by name.
      names_by_key: Names of the other instances by their key in heartbeat
        tables.
      list_read_at: Time of the latest known reading of the list, by any
        instance, or None.
      reported_counts: Instance count reported by each peer, and when.
      names_by_data_centre: Names of the other instances by data centre,
        None when out of date.
      cached_count: Number of instances that may run, None when out of date.
    """

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self.names_by_key: dict[bytes, str] = {}
        self.list_read_at: float | None = None
        self.reported_counts: dict[str, tuple[int, float]] = {}
        self.names_by_data_centre: dict[str, list[str]] | None = None
        self.cached_count: int | None = None

    def invalidate_caches(self) -> None:
        """Discards the values that are derived from the members."""
        self.names_by_data_centre = None
        self.cached_count = None

    def names_in(self, data_centre: str) -> list[str]:
        """Returns the names of the other instances in a data centre."""
        if self.names_by_data_centre is None:
            self.names_by_data_centre = {}
            for name, member in self.members.items():
                place = member.identity.data_centre
                self.names_by_data_centre.setdefault(place, []).append(name)
        return self.names_by_data_centre.get(data_centre, [])

    def supersede_incarnation(self, incarnation: int) -> None:
        """Raises this instance's incarnation above one that peers know.

        Peers know a greater incarnation of this name if the clock was set
        back between the two starts. They ignore all but the greatest.
        """
        if incarnation > self.me.incarnation:
            self.me = replace(self.me, incarnation=incarnation + 1)

    def identities(self, names: list[str], now: float) -> list[Identity]:
        """Returns the identities of some members, to be sent to a peer.

        A member that has long been silent and is not on the list is left
        out: newcomers would count it as new, and pass it on to others, so
        that it would never be removed.
        """
        found = [self.members[name] for name in names if name in self.members]
        return [m.identity for m in found if self.is_advertised(m, now)]

    def is_advertised(self, member: Member, now: float) -> bool:
        """Returns whether an instance is announced to newcomers."""
        if member.gone_at is not None:
            return False
        silent = now - max(member.heard_at or 0.0, member.first_seen_at)
        return silent < ADVERTISE_TIMEOUT_S or self.is_listed(member)

    def observe(self, identity: Identity, now: float) -> Member | None:
        """Adds or updates the identity of an instance.

        Returns:
          The member, None for this instance or if there is no room.
        """
        if identity.name == self.me.name:
            return None
        member = self.members.get(identity.name)
        if member is None:
            return self.add(identity, now)
        if identity.incarnation > member.identity.incarnation:
            if member.identity.incarnation:
                member.state = MemberState.SERVING
                member.version = 0
            member.gone_at = None
            member.identity = identity
            self.invalidate_caches()
        return member

    def add(self, identity: Identity, now: float) -> Member | None:
        """Adds an instance; returns None if there is no room."""
        if len(self.members) >= MAX_MEMBERS:
            return None
        member = Member(identity, now)
        self.members[identity.name] = member
        self.invalidate_caches()
        self.names_by_key[member_key(identity.name)] = identity.name
        return member

    def apply_list(self, entries: list[ListedInstance], now: float) -> None:
        """Applies a reading of the platform's instance list."""
        self.list_read_at = now
        self.invalidate_caches()
        for entry in entries:
            member = self.observe(entry.identity, now)
            if member is None:
                continue
            member.listed_at = now
            member.gone_at = None
            member.listed_leaving = entry.leaving
            # Without an incarnation the identity comes from an earlier list,
            # and the address may have changed since.
            is_incarnation_unknown = not member.identity.incarnation
            if is_incarnation_unknown and member.identity != entry.identity:
                member.identity = entry.identity

    def record_heartbeat(
        self, name: str, at: float, version: int, state: MemberState
    ) -> None:
        """Records a heartbeat, direct or relayed; ignores older ones.

        Args:
          name: Instance that sent the heartbeat.
          at: Time at which it is known to have run.
          version: Configuration version in force there, 0 if not known.
          state: State that it reports of itself.
        """
        member = self.members.get(name)
        if member is None:
            return
        if state > member.state:
            member.state = state
            self.invalidate_caches()
        if member.heard_at is None or at > member.heard_at:
            member.heard_at = at
            member.version = max(member.version, version)
            if member.gone_at is not None and at > member.gone_at:
                member.gone_at = None
                self.invalidate_caches()

    def record_reported_count(self, name: str, count: int, now: float) -> None:
        """Records the number of instances that a peer knows."""
        self.reported_counts[name] = (count, now)

    def record_silence(
        self, name: str, since: float, state: MemberState
    ) -> None:
        """Records that a peer has not heard an instance since a time.

        Otherwise a newcomer would count a stopped instance as new, and pass
        it on to other newcomers.
        """
        member = self.members.get(name)
        if member is None or member.heard_at is not None:
            return
        member.first_seen_at = min(member.first_seen_at, since)
        if state > member.state:
            member.state = state
            self.invalidate_caches()

    def record_listing(self, name: str, at: float) -> None:
        """Records that the list contained an instance at a time."""
        self.record_list_read(at)
        member = self.members.get(name)
        if member is not None:
            member.listed_at = latest(at, member.listed_at)

    def record_list_read(self, at: float) -> None:
        """Records that some instance read the list at a time."""
        self.list_read_at = latest(at, self.list_read_at)

    def expire(self, now: float) -> list[str]:
        """Marks the instances that are gone and deletes old tombstones.

        Returns:
          Names of the instances that were deleted.
        """
        heard = {
            m.identity.data_centre
            for m in self.members.values()
            if m.heard_at is not None and now - m.heard_at < REMOVAL_TIMEOUT_S
        }
        heard.add(self.me.data_centre)
        for member in self.members.values():
            if member.gone_at is None and self.is_gone(member, heard, now):
                member.gone_at = now
                self.invalidate_caches()
        forgotten = [
            name
            for name, member in self.members.items()
            if member.gone_at is not None
            and now - member.gone_at > TOMBSTONE_TTL_S
        ]
        for name in forgotten:
            del self.members[name]
            self.invalidate_caches()
            self.reported_counts.pop(name, None)
            self.names_by_key.pop(member_key(name), None)
        return forgotten

    def running_members(self) -> list[Member]:
        """Returns the other instances that may still be running."""
        return [m for m in self.members.values() if m.running]

    def is_gone(self, member: Member, heard: set[str], now: float) -> bool:
        """Returns whether an instance is to be marked as gone.

        Args:
          member: The instance.
          heard: Data centres that were heard from recently.
          now: Current time.
        """
        silent = now - max(member.heard_at or 0.0, member.first_seen_at)
        if member.state is MemberState.STOPPED:
            return silent > REMOVAL_TIMEOUT_S
        if self.is_listed(member):
            return False
        if member.identity.data_centre not in heard:
            return silent > PARTITION_TIMEOUT_S
        return silent > REMOVAL_TIMEOUT_S

    def is_listed(self, member: Member) -> bool:
        """Returns whether an instance counts as listed.

        As long as the list can't be read, no instance becomes unlisted.
        """
        if self.list_read_at is None:
            return True
        listed_at = member.listed_at
        if listed_at is None:
            listed_at = member.first_seen_at
        return self.list_read_at - listed_at <= LIST_LAG_TIMEOUT_S

    def count_known(self) -> int:
        """Returns the number of instances that may run, including this one."""
        if self.cached_count is None:
            self.cached_count = 1 + len(self.running_members())
        return self.cached_count

    def counted(self, now: float) -> int:
        """Returns the number of instances to divide by, including this one.

        An instance counts from the time it is first heard of until it
        reports that it stopped or is found to be gone. A newcomer may not
        know all instances yet. The result is therefore the greatest of the
        known number and those that peers reported recently.
        """
        told = [
            count
            for count, at in self.reported_counts.values()
            if now - at < REPORTED_COUNT_TTL_S
        ]
        return max(self.count_known(), *told, 1)

    def is_live(self, member: Member, now: float) -> bool:
        """Returns whether an instance was heard within the timeout."""
        if not member.running:
            return False
        timeout_s = REMOTE_LIVENESS_TIMEOUT_S
        if member.identity.data_centre == self.me.data_centre:
            timeout_s = LOCAL_LIVENESS_TIMEOUT_S
        if member.heard_at is None:
            return (
                now - member.first_seen_at < timeout_s
                and not member.listed_leaving
            )
        return now - member.heard_at < timeout_s

    def live(self, data_centre: str, now: float) -> list[str]:
        """Returns the sorted names of the live instances of a data centre."""
        names = [
            name
            for name in self.names_in(data_centre)
            if self.is_live(self.members[name], now)
        ]
        if data_centre == self.me.data_centre:
            names.append(self.me.name)
        return sorted(names)

    def has_live_peers(self, now: float) -> bool:
        """Returns whether any other instance was heard from and is live."""
        return any(
            member.heard_at is not None and self.is_live(member, now)
            for member in self.members.values()
        )

    def leaving(self) -> list[str]:
        """Returns the sorted names of the instances that are leaving."""
        return sorted(
            name
            for name, member in self.members.items()
            if member.running and self.leaves(name)
        )

    def rank(self, now: float) -> int:
        """Returns this instance's rank among the live ones of its data centre.

        Instances that are leaving come last. If no other instance is known,
        the rank is 0.
        """
        names = self.live(self.me.data_centre, now)
        names.sort(key=lambda name: (self.leaves(name), name))
        return names.index(self.me.name)

    def leaves(self, name: str) -> bool:
        """Returns whether an instance is leaving, by its report or the list."""
        member = self.members.get(name)
        if member is None:
            return False
        return member.listed_leaving or member.state is MemberState.LEAVING

    def is_watcher(self, now: float) -> bool:
        """Returns whether this instance watches the platform for the others."""
        return self.rank(now) < WATCHERS_PER_DATA_CENTRE

    def data_centres(self) -> list[str]:
        """Returns the sorted names of the known data centres."""
        self.names_in(self.me.data_centre)
        return sorted({*(self.names_by_data_centre or {}), self.me.data_centre})


def latest(at: float, other: float | None) -> float:
    """Returns the later of two times; the second may be unknown."""
    return at if other is None else max(at, other)
