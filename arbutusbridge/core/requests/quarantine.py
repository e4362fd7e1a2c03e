"""Requests that crash the upstreams that run them.

A connection lost in mid-request is evidence against the request's
fingerprint. The evidence is weaker where other requests were lost at the
same upstream, and void where the request had a result elsewhere or where
upstreams were lost that it was not at. Fingerprints with one loss are
suspects; those with enough evidence are quarantined.
"""

from __future__ import annotations

import enum
import hashlib
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

CanaryRule = Callable[["Quarantine", str, str, float], int]
"""Takes fingerprint, caller and time; returns the shards to ask first."""

QUARANTINE_DURATION_S = 600.0
"""Time for which a quarantined fingerprint is refused."""

AMBIGUOUS_QUARANTINE_DURATION_S = 30.0
"""Time of a quarantine whose evidence may be an outage."""

SUSPECT_TTL_S = 60.0
"""Time for which a fingerprint with one loss is a suspect."""

FAMILIAR_TTL_S = 600.0
"""Time for which a success makes a fingerprint or caller familiar."""

MAX_ENTRIES = 10_000
"""Suspects and quarantined fingerprints kept at most."""

MAX_FAMILIAR = 20_000
"""Familiar fingerprints and callers kept at most, each."""

MAX_RECENT_CRASHES = 512
"""Recent losses of upstreams kept as evidence at most."""

SAME_CRASH_WINDOW_S = 0.25
"""Time in which losses at one upstream count as one crash."""

OUTAGE_EVIDENCE_WINDOW_S = 1.0
"""Age up to which other losses are evidence of an outage."""

OUTAGE_LOSS_THRESHOLD = 3
"""Upstreams lost without a request that are a sign of an outage."""

QUARANTINE_EVIDENCE_THRESHOLD = 1.5
"""Evidence that quarantines: two losses, one of them alone."""

OUTAGE_QUARANTINE_THRESHOLD = 4
"""Losses without any result that quarantine even in an outage."""

SUDDEN_LOSS_WINDOW_S = 0.05
"""Time in which even many losses in an outage are put down to it; a request
that crashes upstreams takes longer, since it is sent on one by one."""

UNFAMILIAR_CANARIES = 2
"""Shards asked first for a request that is no suspect."""

SUSPECT_CANARIES = 1
"""Shards asked first for a suspect."""


class FingerprintState(enum.Enum):
    """What is held against a fingerprint."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class ChargeResult(enum.Enum):
    """What follows from one more loss."""

    NOTHING = "nothing"
    SUSPECT = "suspect"
    QUARANTINE = "quarantine"


@dataclass(slots=True)
class FingerprintEntry:
    """What is known against one fingerprint.

    Attributes:
      state: How it is treated.
      until: When it is forgotten.
      crashes: The crashes of upstreams that it is charged with.
      shards: Shards whose replicas it lost.
      told: Charges heard from other instances.
      stale: Stale connections that closed under it.
    """

    state: FingerprintState
    until: float
    crashes: list[Crash] = field(default_factory=list)
    shards: list[str] = field(default_factory=list)
    told: int = 0
    stale: int = 0

    @property
    def sole_suspect(self) -> bool:
        """Whether a crash can have had no other cause."""
        sole = any(len(crash.fingerprints) == 1 for crash in self.crashes)
        return sole or self.told > 0

    @property
    def span(self) -> float:
        """Time from the first crash to the last, in seconds."""
        times = [crash.at for crash in self.crashes]
        return max(times) - min(times) if times else 0.0

    @property
    def evidence(self) -> float:
        """Sum of the crashes, each divided by those who were there."""
        own = sum(1 / len(crash.fingerprints) for crash in self.crashes)
        return self.told + own


@dataclass(slots=True)
class Crash:
    """The loss of an upstream's connections at about one time."""

    upstream: str
    at: float
    fingerprints: set[str] = field(default_factory=set)


class RecentNames:
    """Names that were seen lately, the oldest forgotten first."""

    def __init__(self, max_names: int) -> None:
        self.max_names = max_names
        self.seen: OrderedDict[str, float] = OrderedDict()

    def add(self, name: str, now: float) -> None:
        """Notes a name as seen now."""
        self.seen[name] = now
        self.seen.move_to_end(name)
        if len(self.seen) > self.max_names:
            self.seen.popitem(last=False)

    def is_recent(self, name: str, now: float) -> bool:
        """Tells whether a name was seen lately."""
        seen = self.seen.get(name)
        return seen is not None and now - seen <= FAMILIAR_TTL_S


class Quarantine:
    """Suspects, quarantined fingerprints and the evidence against them.

    Attributes:
      canary: Returns how many shards a request asks first, 0 for all.
      entries: Suspects and quarantined fingerprints, the oldest first.
      crashes: Recent crashes of upstreams, the oldest first.
      quarantines: Fingerprints quarantined here, not heard of.
    """

    def __init__(self, canary: CanaryRule | None = None) -> None:
        self.canary = canary or canary_for_unfamiliar
        self.entries: OrderedDict[str, FingerprintEntry] = OrderedDict()
        self.crashes: deque[Crash] = deque(maxlen=MAX_RECENT_CRASHES)
        self.fingerprints = RecentNames(MAX_FAMILIAR)
        self.callers = RecentNames(MAX_FAMILIAR)
        self.quarantines = 0

    def state_of(self, fingerprint: str, now: float) -> FingerprintState | None:
        """Returns what is held against a fingerprint, None for nothing."""
        if not self.entries:
            return None
        entry = self.entries.get(fingerprint)
        if entry is None:
            return None
        if now >= entry.until:
            del self.entries[fingerprint]
            return None
        return entry.state

    def quarantined(self, fingerprint: str, now: float) -> bool:
        """Tells whether a fingerprint is quarantined."""
        return self.state_of(fingerprint, now) is FingerprintState.QUARANTINED

    def record_loss(self, upstream: str, fingerprint: str, now: float) -> None:
        """Notes that a request was lost at an upstream."""
        for crash in reversed(self.crashes):
            if now - crash.at > SAME_CRASH_WINDOW_S:
                break
            if crash.upstream == upstream:
                crash.fingerprints.add(fingerprint)
                return
        self.crashes.append(Crash(upstream, now, {fingerprint}))

    def record_idle_close(self, upstream: str, now: float) -> None:
        """Notes that an upstream closed the connections it kept idle.

        It is evidence of an outage: no request of this instance was there.
        """
        for crash in reversed(self.crashes):
            if now - crash.at > SAME_CRASH_WINDOW_S:
                break
            if crash.upstream == upstream:
                return
        self.crashes.append(Crash(upstream, now))

    def charge(
        self,
        fingerprint: str,
        upstream: str,
        shard: str,
        had_result: bool,
        now: float,
    ) -> ChargeResult:
        """Weighs a noted loss against a fingerprint.

        Args:
          fingerprint: The request.
          upstream: Where it was lost.
          shard: Shard that it asked.
          had_result: Whether the request had a result elsewhere.
          now: The time.
        """
        entry = self.get_or_add_entry(fingerprint, now)
        same_shard = shard in entry.shards
        entry.shards.append(shard)
        crash = self.find_crash(upstream, fingerprint)
        if crash is not None and crash not in entry.crashes:
            entry.crashes.append(crash)
        if entry.state is FingerprintState.QUARANTINED:
            return ChargeResult.QUARANTINE
        if had_result and not same_shard:
            return ChargeResult.NOTHING
        losses = len(entry.crashes) + entry.told
        if not entry.sole_suspect or self.looks_like_outage(fingerprint, now):
            sudden = entry.span < SUDDEN_LOSS_WINDOW_S and not entry.told
            if had_result or losses < OUTAGE_QUARANTINE_THRESHOLD or sudden:
                return ChargeResult.NOTHING
            self.impose_quarantine(
                fingerprint, entry, now + AMBIGUOUS_QUARANTINE_DURATION_S
            )
            return ChargeResult.QUARANTINE
        if entry.evidence >= QUARANTINE_EVIDENCE_THRESHOLD:
            self.impose_quarantine(
                fingerprint, entry, now + QUARANTINE_DURATION_S
            )
            return ChargeResult.QUARANTINE
        return ChargeResult.SUSPECT

    def excuse_stale_connection(self, fingerprint: str, now: float) -> bool:
        """Tells whether a stale connection is the first of a request.

        One may have been closed for its idleness; a second one in a row is
        no coincidence and is charged as a loss.
        """
        entry = self.get_or_add_entry(fingerprint, now)
        entry.stale += 1
        return entry.stale == 1

    def get_or_add_entry(
        self, fingerprint: str, now: float
    ) -> FingerprintEntry:
        """Returns the entry of a fingerprint, a new suspect's if need be."""
        self.state_of(fingerprint, now)
        entry = self.entries.get(fingerprint)
        if entry is None:
            entry = FingerprintEntry(
                FingerprintState.SUSPECT, now + SUSPECT_TTL_S
            )
            self.entries[fingerprint] = entry
            if len(self.entries) > MAX_ENTRIES:
                self.entries.popitem(last=False)
        return entry

    def find_crash(self, upstream: str, fingerprint: str) -> Crash | None:
        """Returns the newest crash of an upstream that a request was at."""
        for crash in reversed(self.crashes):
            if crash.upstream == upstream and fingerprint in crash.fingerprints:
                return crash
        return None

    def looks_like_outage(self, fingerprint: str, now: float) -> bool:
        """Tells whether a request explains few of the recent crashes."""
        explained = 0
        others = 0
        for crash in reversed(self.crashes):
            if now - crash.at > OUTAGE_EVIDENCE_WINDOW_S:
                break
            if fingerprint in crash.fingerprints:
                explained += 1
            else:
                others += 1
        return others >= OUTAGE_LOSS_THRESHOLD and others > explained

    def impose_quarantine(
        self, fingerprint: str, entry: FingerprintEntry, until: float
    ) -> None:
        """Quarantines a fingerprint."""
        self.quarantines += 1
        entry.state = FingerprintState.QUARANTINED
        entry.until = until
        self.entries.move_to_end(fingerprint)

    def on_peer_suspect(self, fingerprint: str, age: float, now: float) -> None:
        """Takes another instance's suspicion."""
        entry = self.get_or_add_entry(fingerprint, now)
        entry.told += 1
        if entry.state is FingerprintState.SUSPECT:
            entry.until = now + SUSPECT_TTL_S - age

    def on_peer_quarantine(
        self, fingerprint: str, age: float, now: float
    ) -> None:
        """Takes another instance's quarantine."""
        entry = self.get_or_add_entry(fingerprint, now)
        entry.state = FingerprintState.QUARANTINED
        entry.until = max(entry.until, now + QUARANTINE_DURATION_S - age)

    def on_success(self, fingerprint: str, caller: str, now: float) -> None:
        """Notes that a request had results; it is no suspect any more."""
        self.fingerprints.add(fingerprint, now)
        self.callers.add(caller, now)
        if self.entries:
            entry = self.entries.get(fingerprint)
            if entry is not None and entry.state is FingerprintState.SUSPECT:
                del self.entries[fingerprint]

    def canary_count(self, fingerprint: str, caller: str, now: float) -> int:
        """Returns how many shards a request asks first, 0 for all."""
        return self.canary(self, fingerprint, caller, now)


def canary_never(
    _quarantine: Quarantine, _fingerprint: str, _caller: str, _now: float
) -> int:
    """Asks all shards at once."""
    return 0


def canary_for_suspects(
    quarantine: Quarantine, fingerprint: str, _caller: str, now: float
) -> int:
    """Asks one shard first for fingerprints with a loss."""
    if quarantine.state_of(fingerprint, now) is FingerprintState.SUSPECT:
        return SUSPECT_CANARIES
    return 0


def canary_for_unfamiliar(
    quarantine: Quarantine, fingerprint: str, caller: str, now: float
) -> int:
    """Asks few shards first unless the same request succeeded lately."""
    suspects = canary_for_suspects(quarantine, fingerprint, caller, now)
    if suspects or quarantine.fingerprints.is_recent(fingerprint, now):
        return suspects
    return UNFAMILIAR_CANARIES


def canary_for_unfamiliar_callers(
    quarantine: Quarantine, fingerprint: str, caller: str, now: float
) -> int:
    """Asks few shards first unless the caller succeeded lately."""
    suspects = canary_for_suspects(quarantine, fingerprint, caller, now)
    if suspects or quarantine.callers.is_recent(caller, now):
        return suspects
    return UNFAMILIAR_CANARIES


def canary_always(
    quarantine: Quarantine, fingerprint: str, caller: str, now: float
) -> int:
    """Asks few shards first for every request."""
    suspects = canary_for_suspects(quarantine, fingerprint, caller, now)
    return suspects or UNFAMILIAR_CANARIES


def fingerprint_of(service: str, content: Any) -> str:
    """Returns a digest that requests with equal content share."""
    text = f"{service}\0{content!r}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
