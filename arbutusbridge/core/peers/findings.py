"""Probes of upstreams, divided within a data centre, and what they found."""

from __future__ import annotations

import bisect
import hashlib
import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from arbutusbridge.core.peers.gossipqueue import GossipQueue

if TYPE_CHECKING:
    import random

    from arbutusbridge.core.membership.membership import Membership
    from arbutusbridge.core.peers.peerwire import Finding

PROBERS_PER_UPSTREAM = 2
"""Instances of a data centre that probe each upstream."""

CHANGE_TRANSMISSIONS = 4
"""Messages that carry a finding that differs from the one before."""

REMOTE_PROBE_INTERVAL_S = 10.0
"""Time between two probes of an upstream of another data centre."""

MAX_FINDINGS = 10_000

RING_REFRESH_INTERVAL_S = 1.0
"""Time for which the division of the probes stands at least."""

RING_POINTS_PER_INSTANCE = 16
"""Places of one instance on the ring that divides the probes."""


@dataclass(slots=True)
class DatedFinding:
    """The latest finding about an upstream.

    Attributes:
      finding: What was found.
      at: When it was found.
    """

    finding: Finding
    at: float


class ProbeFindings:
    """Keeps the latest finding about each upstream.

    Changes are told at once; the rest of each message takes the others in
    turn, so that what was missed is repaired at a fixed cost.

    Attributes:
      known: Latest findings by upstream.
      turn: Upstreams in the order in which they are told again.
      probed_at: When this instance last probed each.
    """

    def __init__(self, membership: Membership, rng: random.Random) -> None:
        self.rng = rng
        self.membership = membership
        self.known: dict[str, DatedFinding] = {}
        self.rumours: GossipQueue[str] = GossipQueue(MAX_FINDINGS)
        self.turn: list[str] = []
        self.probed_at: dict[str, float] = {}
        self.ring_names: list[str] = []
        self.ring: list[tuple[bytes, str]] = []
        self.ring_at = -RING_REFRESH_INTERVAL_S
        self.mine: dict[str, bool] = {}

    def hear(self, finding: Finding, now: float) -> bool:
        """Takes a peer's finding; returns whether it is newer."""
        before = self.known.get(finding.upstream)
        if before is not None and before.at >= now - finding.age:
            return False
        self.keep(finding, now)
        return True

    def keep(self, finding: Finding, now: float) -> None:
        """Keeps a finding while there is room, and queues a change.

        Probes of this instance come here straight.
        """
        name = finding.upstream
        before = self.known.get(name)
        if before is None and len(self.known) >= MAX_FINDINGS:
            return
        if before is None or differs(before.finding, finding):
            self.rumours.add(name, name, CHANGE_TRANSMISSIONS)
        self.known[name] = DatedFinding(finding, now - finding.age)

    def take(self, count: int, now: float) -> list[Finding]:
        """Returns the findings of one message."""
        names = self.rumours.take(count)
        while len(names) < count:
            name = self.next_in_turn()
            if name is None or name in names:
                break
            names.append(name)
        return [self.aged(n, now) for n in names if n in self.known]

    def next_in_turn(self) -> str | None:
        """Returns the upstream whose turn it is to be told again."""
        if not self.turn:
            self.turn = list(self.known)
            self.rng.shuffle(self.turn)
        return self.turn.pop() if self.turn else None

    def all(self, now: float) -> list[Finding]:
        """Returns every finding, for a newcomer."""
        return [self.aged(name, now) for name in self.known]

    def aged(self, name: str, now: float) -> Finding:
        """Returns a finding with its age of now."""
        known = self.known[name]
        # Rounded up, lest an old finding become newer on its way.
        tenths = math.ceil((now - known.at) * 10)
        return replace(known.finding, age=max(0, tenths) / 10)

    def retain(self, upstreams: set[str]) -> None:
        """Forgets upstreams that the configuration no longer has."""
        for name in [name for name in self.known if name not in upstreams]:
            del self.known[name]
            self.probed_at.pop(name, None)

    def probe_due(self, upstream: str, place: str, now: float) -> bool:
        """Tells whether this instance is to probe an upstream now."""
        if not self.probes(upstream, now):
            return False
        gap = REMOTE_PROBE_INTERVAL_S
        if place == self.membership.me.data_centre:
            gap = 0.0
        last = self.probed_at.get(upstream)
        if last is not None and now - last < gap:
            return False
        self.probed_at[upstream] = now
        return True

    def probes(self, upstream: str, now: float) -> bool:
        """Tells whether this instance is one of those that probe one."""
        self.refresh_ring(now)
        found = self.mine.get(upstream)
        if found is None:
            name = self.membership.me.name
            found = name in probers(self.ring, upstream)
            self.mine[upstream] = found
        return found

    def refresh_ring(self, now: float) -> None:
        """Divides the probes anew when other instances are live.

        Thousands of upstreams are asked about at once, so that the live
        instances are listed from time to time and not for each.
        """
        if 0.0 <= now - self.ring_at < RING_REFRESH_INTERVAL_S:
            return
        self.ring_at = now
        place = self.membership.me.data_centre
        names = self.membership.live(place, now)
        if names != self.ring_names or len(self.mine) > MAX_FINDINGS:
            self.ring_names = names
            self.ring = make_ring(names)
            self.mine.clear()


def make_ring(names: list[str]) -> list[tuple[bytes, str]]:
    """Returns the places of instances on a consistent hash ring, sorted."""
    return sorted(
        (digest(f"{name}\0{place}"), name)
        for name in names
        for place in range(RING_POINTS_PER_INSTANCE)
    )


def probers(ring: list[tuple[bytes, str]], upstream: str) -> list[str]:
    """Returns the instances that probe an upstream: the next on the ring."""
    found: list[str] = []
    start = bisect.bisect(ring, (digest(upstream), ""))
    for step in range(len(ring)):
        name = ring[(start + step) % len(ring)][1]
        if name not in found:
            found.append(name)
        if len(found) == PROBERS_PER_UPSTREAM:
            break
    return found


def digest(text: str) -> bytes:
    """Returns a place on the ring."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def differs(before: Finding, after: Finding) -> bool:
    """Tells whether two findings call for different decisions."""
    return before.held != after.held or before.leaving != after.leaving
