"""Distribution of probes within a data centre, and their findings."""

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
"""Number of instances of a data centre that probe each upstream."""

CHANGE_TRANSMISSIONS = 4
"""Number of messages that carry a changed finding."""

REMOTE_PROBE_INTERVAL_S = 10.0
"""Interval between two probes of an upstream in another data centre."""

MAX_FINDINGS = 10_000

RING_REFRESH_INTERVAL_S = 1.0
"""Minimum time between two rebuilds of the hash ring."""

RING_POINTS_PER_INSTANCE = 16
"""Number of points of each instance on the hash ring."""


@dataclass(slots=True)
class DatedFinding:
    """The latest finding about an upstream and its time.

    Attributes:
      finding: What was found.
      at: Time of the probe.
    """

    finding: Finding
    at: float


class ProbeFindings:
    """Keeps and sends the latest finding about each upstream.

    Changed findings are sent at once. The remaining room of each message is
    filled with the other findings in turn. This compensates for lost
    messages at a fixed cost.

    Attributes:
      latest: Latest findings by upstream.
      queue: Upstreams whose finding changed and is to be sent.
      repeat_order: Upstreams whose findings are yet to be repeated, in
        reverse order.
      probed_at: Time of this instance's last probe of each upstream.
      ring_names: Names of the instances on the ring.
      ring: Consistent hash ring that distributes the probes.
      ring_checked_at: Time at which the live instances were last listed.
      probed_here: Whether this instance probes an upstream, cached by name.
    """

    def __init__(self, membership: Membership, rng: random.Random) -> None:
        self.rng = rng
        self.membership = membership
        self.latest: dict[str, DatedFinding] = {}
        self.queue: GossipQueue[str] = GossipQueue(MAX_FINDINGS)
        self.repeat_order: list[str] = []
        self.probed_at: dict[str, float] = {}
        self.ring_names: list[str] = []
        self.ring: list[tuple[bytes, str]] = []
        self.ring_checked_at = -RING_REFRESH_INTERVAL_S
        self.probed_here: dict[str, bool] = {}

    def accept(self, finding: Finding, now: float) -> bool:
        """Records a peer's finding if it is newer; returns whether it was."""
        before = self.latest.get(finding.upstream)
        if before is not None and before.at >= now - finding.age:
            return False
        self.record(finding, now)
        return True

    def record(self, finding: Finding, now: float) -> None:
        """Records a finding if there is room, and queues it if it changed.

        Findings of this instance's own probes are passed here directly.
        """
        name = finding.upstream
        before = self.latest.get(name)
        if before is None and len(self.latest) >= MAX_FINDINGS:
            return
        if before is None or has_changed(before.finding, finding):
            self.queue.add(name, name, CHANGE_TRANSMISSIONS)
        self.latest[name] = DatedFinding(finding, now - finding.age)

    def take(self, count: int, now: float) -> list[Finding]:
        """Returns the findings for one message."""
        names = self.queue.take(count)
        while len(names) < count:
            name = self.next_repeat()
            if name is None or name in names:
                break
            names.append(name)
        return [
            self.with_current_age(n, now) for n in names if n in self.latest
        ]

    def next_repeat(self) -> str | None:
        """Returns the next upstream whose finding is repeated."""
        if not self.repeat_order:
            self.repeat_order = list(self.latest)
            self.rng.shuffle(self.repeat_order)
        return self.repeat_order.pop() if self.repeat_order else None

    def all(self, now: float) -> list[Finding]:
        """Returns all findings, for a newcomer."""
        return [self.with_current_age(name, now) for name in self.latest]

    def with_current_age(self, name: str, now: float) -> Finding:
        """Returns the finding about an upstream with its current age."""
        entry = self.latest[name]
        # Rounding up keeps a relay from making a finding look newer.
        tenths = math.ceil((now - entry.at) * 10)
        return replace(entry.finding, age=max(0, tenths) / 10)

    def retain(self, upstreams: set[str]) -> None:
        """Removes the findings about all but the given upstreams."""
        for name in [name for name in self.latest if name not in upstreams]:
            del self.latest[name]
            self.probed_at.pop(name, None)

    def probe_due(self, upstream: str, place: str, now: float) -> bool:
        """Returns whether this instance is to probe an upstream now.

        If so, the probe is recorded as made.

        Args:
          upstream: Name of the upstream.
          place: Data centre of the upstream.
          now: Current time.
        """
        if not self.probes(upstream, now):
            return False
        interval_s = REMOTE_PROBE_INTERVAL_S
        if place == self.membership.me.data_centre:
            interval_s = 0.0
        last = self.probed_at.get(upstream)
        if last is not None and now - last < interval_s:
            return False
        self.probed_at[upstream] = now
        return True

    def probes(self, upstream: str, now: float) -> bool:
        """Returns whether this instance is one of an upstream's probers."""
        self.refresh_ring(now)
        found = self.probed_here.get(upstream)
        if found is None:
            name = self.membership.me.name
            found = name in select_probers(self.ring, upstream)
            self.probed_here[upstream] = found
        return found

    def refresh_ring(self, now: float) -> None:
        """Rebuilds the hash ring if the live instances changed.

        Callers ask about thousands of upstreams in succession. The live
        instances are therefore listed once per interval and not for each
        upstream.
        """
        if 0.0 <= now - self.ring_checked_at < RING_REFRESH_INTERVAL_S:
            return
        self.ring_checked_at = now
        place = self.membership.me.data_centre
        names = self.membership.live(place, now)
        if names != self.ring_names or len(self.probed_here) > MAX_FINDINGS:
            self.ring_names = names
            self.ring = make_ring(names)
            self.probed_here.clear()


def make_ring(names: list[str]) -> list[tuple[bytes, str]]:
    """Returns the sorted points of instances on a consistent hash ring."""
    return sorted(
        (ring_point(f"{name}\0{place}"), name)
        for name in names
        for place in range(RING_POINTS_PER_INSTANCE)
    )


def select_probers(ring: list[tuple[bytes, str]], upstream: str) -> list[str]:
    """Returns the probers of an upstream: the next instances on the ring."""
    found: list[str] = []
    start = bisect.bisect(ring, (ring_point(upstream), ""))
    for step in range(len(ring)):
        name = ring[(start + step) % len(ring)][1]
        if name not in found:
            found.append(name)
        if len(found) == PROBERS_PER_UPSTREAM:
            break
    return found


def ring_point(text: str) -> bytes:
    """Returns the point of a text on the ring."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def has_changed(before: Finding, after: Finding) -> bool:
    """Returns whether two findings differ in what decisions depend on."""
    return before.held != after.held or before.leaving != after.leaving
