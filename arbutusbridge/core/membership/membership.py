"""Instances of a deployment: the lagging list joined with heartbeats."""

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
"""Silence after which a local instance is not live."""

REMOTE_LIVENESS_TIMEOUT_S = 150.0
"""Silence after which an instance of another data centre is not live."""

REMOVAL_TIMEOUT_S = 120.0
"""Silence before an instance that the list dropped stops counting."""

LIST_LAG_TIMEOUT_S = 30.0
"""Time that the list must have been without an instance to have dropped it."""

PARTITION_TIMEOUT_S = 3600.0
"""Time that the instances of an unheard data centre go on counting."""

REPORTED_COUNT_TTL_S = 10.0
"""Time for which the number of instances that a peer told is taken."""

ADVERTISE_TIMEOUT_S = 60.0
"""Silence after which an instance that the list dropped is not told."""

TOMBSTONE_TTL_S = 600.0
"""Time that an instance found gone is remembered, lest a peer bring it back."""

WATCHERS_PER_DATA_CENTRE = 2
"""Instances of a data centre that watch the platform for the others."""


class Membership:
    """Joins the instance list with heartbeats.

    Attributes:
      me: This instance.
      members: All others by name.
      list_read_at: Latest reading of the list by anyone known, or None.
      by_place: Names by data centre, None when they have to be sorted anew.
      known_count: Instances that may run, None when to be counted anew.
    """

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self.names: dict[bytes, str] = {}
        self.list_read_at: float | None = None
        self.told_counts: dict[str, tuple[int, float]] = {}
        self.by_place: dict[str, list[str]] | None = None
        self.known_count: int | None = None

    def forget_derived(self) -> None:
        """Has what is derived from the members derived anew."""
        self.by_place = None
        self.known_count = None

    def names_at(self, data_centre: str) -> list[str]:
        """Returns the names of the others in a data centre."""
        if self.by_place is None:
            self.by_place = {}
            for name, member in self.members.items():
                place = member.identity.data_centre
                self.by_place.setdefault(place, []).append(name)
        return self.by_place.get(data_centre, [])

    def outdo(self, incarnation: int) -> None:
        """Takes that peers know a later start of this name.

        The clock was set back between the two; a start must be the latest
        to be heard.
        """
        if incarnation > self.me.incarnation:
            self.me = replace(self.me, incarnation=incarnation + 1)

    def identities(self, names: list[str], now: float) -> list[Identity]:
        """Returns who some members are.

        One that has long been silent and is not on the list is left out: at
        newcomers it would count afresh, and through them for ever.
        """
        found = [self.members[name] for name in names if name in self.members]
        return [m.identity for m in found if self.is_told(m, now)]

    def is_told(self, member: Member, now: float) -> bool:
        """Tells whether newcomers hear of an instance."""
        if member.gone_at is not None:
            return False
        silent = now - max(member.heard_at or 0.0, member.since)
        return silent < ADVERTISE_TIMEOUT_S or self.on_list(member)

    def meet(self, identity: Identity, now: float) -> Member | None:
        """Notes who an instance is; returns None for this one itself."""
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
            self.forget_derived()
        return member

    def add(self, identity: Identity, now: float) -> Member | None:
        """Starts to keep track of an instance, while there is room."""
        if len(self.members) >= MAX_MEMBERS:
            return None
        member = Member(identity, now)
        self.members[identity.name] = member
        self.forget_derived()
        self.names[member_key(identity.name)] = identity.name
        return member

    def take_list(self, entries: list[ListedInstance], now: float) -> None:
        """Takes a reading of the platform's instance list."""
        self.list_read_at = now
        self.forget_derived()
        for entry in entries:
            member = self.meet(entry.identity, now)
            if member is None:
                continue
            member.listed_at = now
            member.gone_at = None
            member.list_leaving = entry.leaving
            moved = not member.identity.incarnation
            if moved and member.identity != entry.identity:
                member.identity = entry.identity

    def hear(
        self, name: str, at: float, version: int, state: MemberState
    ) -> None:
        """Takes a heartbeat, direct or told on; older ones change nothing."""
        member = self.members.get(name)
        if member is None:
            return
        if state > member.state:
            member.state = state
            self.forget_derived()
        if member.heard_at is None or at > member.heard_at:
            member.heard_at = at
            member.version = max(member.version, version)
            if member.gone_at is not None and at > member.gone_at:
                member.gone_at = None
                self.forget_derived()

    def hear_count(self, name: str, count: int, now: float) -> None:
        """Takes how many instances a peer knows."""
        self.told_counts[name] = (count, now)

    def hear_silence(self, name: str, since: float, state: MemberState) -> None:
        """Takes that a peer has not heard an instance since a time.

        Without it a newcomer would count an ended instance afresh, and other
        newcomers through it.
        """
        member = self.members.get(name)
        if member is None or member.heard_at is not None:
            return
        member.since = min(member.since, since)
        if state > member.state:
            member.state = state
            self.forget_derived()

    def hear_listed(self, name: str, at: float) -> None:
        """Takes that a reading of the list at a time had an instance."""
        self.hear_list_read(at)
        member = self.members.get(name)
        if member is not None:
            member.listed_at = latest(at, member.listed_at)

    def hear_list_read(self, at: float) -> None:
        """Takes that the list was read by someone at a time."""
        self.list_read_at = latest(at, self.list_read_at)

    def expire(self, now: float) -> list[str]:
        """Marks instances that are surely gone; returns names forgotten."""
        heard = {
            m.identity.data_centre
            for m in self.members.values()
            if m.heard_at is not None and now - m.heard_at < REMOVAL_TIMEOUT_S
        }
        heard.add(self.me.data_centre)
        for member in self.members.values():
            if member.gone_at is None and self.is_gone(member, heard, now):
                member.gone_at = now
                self.forget_derived()
        forgotten = [
            name
            for name, member in self.members.items()
            if member.gone_at is not None
            and now - member.gone_at > TOMBSTONE_TTL_S
        ]
        for name in forgotten:
            del self.members[name]
            self.forget_derived()
            self.told_counts.pop(name, None)
            self.names.pop(member_key(name), None)
        return forgotten

    def running(self) -> list[Member]:
        """Returns the others that may still run."""
        return [m for m in self.members.values() if m.running]

    def is_gone(self, member: Member, heard: set[str], now: float) -> bool:
        """Tells whether an instance surely runs no more."""
        silent = now - max(member.heard_at or 0.0, member.since)
        if member.state is MemberState.STOPPED:
            return silent > REMOVAL_TIMEOUT_S
        if self.on_list(member):
            return False
        if member.identity.data_centre not in heard:
            return silent > PARTITION_TIMEOUT_S
        return silent > REMOVAL_TIMEOUT_S

    def on_list(self, member: Member) -> bool:
        """Tells whether the list has an instance, as far as it can be read.

        A list that nobody can read drops nobody.
        """
        if self.list_read_at is None:
            return True
        listed_at = member.listed_at
        if listed_at is None:
            listed_at = member.since
        return self.list_read_at - listed_at <= LIST_LAG_TIMEOUT_S

    def known(self) -> int:
        """Returns the instances known that may run, this one among them."""
        if self.known_count is None:
            self.known_count = 1 + len(self.running())
        return self.known_count

    def counted(self, now: float) -> int:
        """Returns the instances that may hold shares, this one among them.

        An instance counts from the first word of it until it said that it
        stopped or is surely gone. A newcomer that does not know all of them
        yet takes the greatest number that a peer told lately.
        """
        told = [
            count
            for count, at in self.told_counts.values()
            if now - at < REPORTED_COUNT_TTL_S
        ]
        return max(self.known(), *told, 1)

    def is_live(self, member: Member, now: float) -> bool:
        """Tells whether an instance is known to have run just now."""
        if not member.running:
            return False
        limit = REMOTE_LIVENESS_TIMEOUT_S
        if member.identity.data_centre == self.me.data_centre:
            limit = LOCAL_LIVENESS_TIMEOUT_S
        if member.heard_at is None:
            return now - member.since < limit and not member.list_leaving
        return now - member.heard_at < limit

    def live(self, data_centre: str, now: float) -> list[str]:
        """Returns the names of a data centre's live instances, sorted."""
        names = [
            name
            for name in self.names_at(data_centre)
            if self.is_live(self.members[name], now)
        ]
        if data_centre == self.me.data_centre:
            names.append(self.me.name)
        return sorted(names)

    def live_others(self, now: float) -> bool:
        """Tells whether any other instance was heard and is live."""
        return any(
            member.heard_at is not None and self.is_live(member, now)
            for member in self.members.values()
        )

    def leaving(self) -> list[str]:
        """Returns the names of the instances that leave, sorted."""
        return sorted(
            name
            for name, member in self.members.items()
            if member.running and self.leaves(name)
        )

    def rank(self, now: float) -> int:
        """Returns this instance's place among its data centre's live ones.

        Instances that leave come last. Without word of others it is 0.
        """
        names = self.live(self.me.data_centre, now)
        names.sort(key=lambda name: (self.leaves(name), name))
        return names.index(self.me.name)

    def leaves(self, name: str) -> bool:
        """Tells whether an instance leaves, by its word or the list's."""
        member = self.members.get(name)
        if member is None:
            return False
        return member.list_leaving or member.state is MemberState.LEAVING

    def is_watcher(self, now: float) -> bool:
        """Tells whether this instance reads the platform for the others."""
        return self.rank(now) < WATCHERS_PER_DATA_CENTRE

    def data_centres(self) -> list[str]:
        """Returns the data centres known, sorted."""
        self.names_at(self.me.data_centre)
        return sorted({*(self.by_place or {}), self.me.data_centre})


def latest(at: float, other: float | None) -> float:
    """Returns the later of two times, of which one may be unknown."""
    return at if other is None else max(at, other)
