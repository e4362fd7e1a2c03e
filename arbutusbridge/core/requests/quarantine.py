"""Quarantine of requests that crash the upstreams that run them.

A connection lost during a request is evidence against the fingerprint of the
request. The evidence is weaker if other requests were lost in the same crash.
It does not count if the request had a result elsewhere, or if several
upstreams that did not run it crashed too, which indicates an outage. A
fingerprint with one loss is a suspect; one with enough evidence is
quarantined. Losses that other instances report count in the sum, each crash
once.
"""

from __future__ import annotations

import enum
import hashlib
import math
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, TypeVar

from arbutusbridge.core.requests.crashlosses import CrashLosses

if TYPE_CHECKING:
    import random

T = TypeVar("T")

CanaryRule = Callable[["Quarantine", str, str, float], int]
"""Rule for the number of canary shards of a request.

The arguments are the quarantine, the request's fingerprint, its caller and the
time."""

QUARANTINE_DURATION_S = 600.0
"""Time for which a quarantined fingerprint is refused."""

AMBIGUOUS_QUARANTINE_DURATION_S = 30.0
"""Time for which a fingerprint is refused whose evidence may be due to an
outage."""

SUSPECT_TTL_S = 60.0
"""Time for which a fingerprint with one loss is a suspect."""

FAMILIAR_TTL_S = 600.0
"""Time for which a fingerprint or caller is familiar after a success."""

MAX_ENTRIES = 10_000
"""Maximum number of suspects and quarantined fingerprints kept."""

MAX_FAMILIAR_NAMES = 20_000
"""Maximum number of familiar fingerprints kept, and of familiar callers."""

MAX_RECENT_CRASHES = 512
"""Maximum number of recent crashes of upstreams kept as evidence."""

SAME_CRASH_WINDOW_S = 0.25
"""Time within which losses at one upstream are counted as one crash."""

OUTAGE_EVIDENCE_WINDOW_S = 1.0
"""Age up to which crashes are considered as evidence of an outage."""

OUTAGE_CRASH_THRESHOLD = 3
"""Minimum number of recent crashes, not counting those that involved the
request, that indicate an outage."""

QUARANTINE_EVIDENCE_THRESHOLD = 1.5
"""Evidence from which a fingerprint is quarantined, such as two crashes, one of
which involved no other request and the other at most one other."""

OUTAGE_QUARANTINE_THRESHOLD = 4
"""Number of crashes from which a request without any result is quarantined even
in an outage."""

OUTAGE_SPREAD_S = 0.02
"""Time within which the upstreams of one outage end one after another."""

REPORT_MARGIN_S = 0.05
"""Time that a report may take, by which its times may be wrong."""

SUDDEN_LOSS_WINDOW_S = 0.05
"""Time from first to last crash below which they are put down to an outage. A
request that crashes upstreams takes longer, as it is retried one by one."""

UNFAMILIAR_CANARY_COUNT = 2
"""Number of canary shards of an unfamiliar request that is no suspect."""

CANDIDATES_PER_CANARY = 3
"""Shards drawn at random for each canary; the best of them are used."""

SUSPECT_CANARY_COUNT = 1
"""Number of canary shards of a suspect."""


class FingerprintState(enum.Enum):
    """State of a fingerprint with evidence against it."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class ChargeResult(enum.Enum):
    """What follows from charging a loss to a fingerprint."""

    NOTHING = "nothing"
    SUSPECT = "suspect"
    QUARANTINE = "quarantine"


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Crash of an upstream that one instance charged to a fingerprint.

    Attributes:
      fingerprint: Fingerprint of the request.
      upstream: The upstream, with its start, so that a crash counts once.
      weight: One divided by the number of requests lost in the crash there.
      age_s: Age of the crash, in seconds.
      reporter: Instance that saw it.
      alive_age_s: Time since that upstream was certainly up, in seconds.
    """

    fingerprint: str
    upstream: str
    weight: float
    age_s: float
    reporter: str
    alive_age_s: float


@dataclass(frozen=True, slots=True)
class ReportedCrash:
    """Crash that another instance reported.

    Attributes:
      weight: One divided by the number of requests lost in it there.
      at: Time of the crash.
      reporter: Instance that saw it.
      alive_at: Time at which the upstream was up, infinite if unknown.
    """

    weight: float
    at: float
    reporter: str
    alive_at: float = math.inf


@dataclass(slots=True)
class FingerprintEntry:
    """Evidence against one fingerprint.

    Attributes:
      state: Whether it is a suspect or quarantined.
      until: Time at which the entry expires.
      changed_at: Time of the last evidence or change of state.
      quarantined_at: Time at which it was quarantined, here or elsewhere.
      duration_s: Length of its quarantine, in seconds.
      quarantined_by: Instance that quarantined it, empty for this one.
      crashes: Crashes of upstreams charged to it.
      shards: Shard of each attempt that was lost.
      alive_at: Time at which each upstream that crashed was certainly up.
      excused: Upstreams whose crashes do not count, as the request had results
        of other shards.
      reports: Crashes reported by other instances, by upstream.
      stale_connections: Number of its attempts on stale connections.
      fingerprint: The fingerprint.
      losses: Requests lost in each crash anywhere, shared by all entries.
    """

    state: FingerprintState
    until: float
    changed_at: float = 0.0
    quarantined_at: float = 0.0
    duration_s: float = 0.0
    quarantined_by: str = ""
    crashes: list[Crash] = field(default_factory=list)
    shards: list[str] = field(default_factory=list)
    alive_at: dict[str, float] = field(default_factory=dict)
    excused: set[str] = field(default_factory=set)
    reports: dict[str, ReportedCrash] = field(default_factory=dict)
    stale_connections: int = 0
    fingerprint: str = ""
    losses: CrashLosses = field(default_factory=CrashLosses)

    def quarantine(self, at: float, duration_s: float) -> None:
        """Starts a quarantine of a given length at a given time."""
        self.state = FingerprintState.QUARANTINED
        self.quarantined_at = at
        self.duration_s = duration_s
        self.until = at + duration_s

    @property
    def told(self) -> int:
        """Number of crashes that only other instances have seen."""
        if not self.reports:
            return 0
        own = {crash.upstream for crash in self.crashes}
        return sum(upstream not in own for upstream in self.reports)

    @property
    def is_sole_suspect(self) -> bool:
        """Whether some crash, here or elsewhere, involved no other request."""
        return any(crash.weight >= 1.0 for crash in self.known_crashes())

    @property
    def crash_count(self) -> int:
        """Number of crashes charged to it, those seen twice counted twice."""
        return len(self.crashes) + len(self.reports)

    @property
    def crash_span(self) -> float:
        """Time from the first crash to the last, in seconds."""
        times = [crash.at for crash in self.crashes]
        return max(times) - min(times) if times else 0.0

    def weight_in(self, upstream: str, share: float) -> float:
        """Returns its weight in a crash, given its share at one instance."""
        if upstream not in self.losses.by_crash:
            return share
        return self.losses.weight(self.fingerprint, upstream, share)

    def known_crashes(self) -> list[ReportedCrash]:
        """Returns all crashes, own and reported, each once and oldest first."""
        found = {
            upstream: replace(one, weight=self.weight_in(upstream, one.weight))
            for upstream, one in self.reports.items()
        }
        for crash in self.crashes:
            if crash.upstream in self.excused:
                continue
            share = 1 / max(1, len(crash.fingerprints))
            reported = self.reports.get(crash.upstream)
            if reported is not None:
                share = min(share, reported.weight)
            weight = self.weight_in(crash.upstream, share)
            alive_at = self.alive_at.get(crash.upstream, math.inf)
            # Own crashes of one upstream at different times count each.
            name = f"{crash.upstream} {crash.at}"
            found.pop(crash.upstream, None)
            found[name] = ReportedCrash(weight, crash.at, "", alive_at)
        return sorted(found.values(), key=lambda one: one.at)

    def crash_groups(self) -> list[tuple[float, float]]:
        """Returns the time and weight of each group of related crashes.

        Upstreams that crash at about the same moment may have a common cause.
        One that was up some time after another crash has not crashed in the
        same outage.
        """
        groups: list[tuple[float, float]] = []
        for crash in self.known_crashes():
            margin_s = REPORT_MARGIN_S if crash.reporter else OUTAGE_SPREAD_S
            if not groups or crash.alive_at > groups[-1][0] + margin_s:
                groups.append((crash.at, crash.weight))
            else:
                at, weight = groups[-1]
                groups[-1] = (at, max(weight, crash.weight))
        return groups

    def independent_crashes(self) -> list[float]:
        """Returns the weights of the crashes that no single outage explains."""
        return [weight for _, weight in self.crash_groups()]

    @property
    def outage_over_at(self) -> float:
        """Time after which a crash is independent of those so far."""
        groups = self.crash_groups()
        return groups[-1][0] + OUTAGE_SPREAD_S if groups else -math.inf

    @property
    def evidence(self) -> float:
        """Sum of the weights of the independent crashes.

        The weight of a crash is one divided by the number of requests that
        were lost in it.
        """
        return sum(self.independent_crashes())

    def describe(self, now: float) -> list[str]:
        """Returns the crashes as upstream, age and who has seen each."""
        own = [
            f"{one.upstream} {now - one.at:.1f}s ago, seen here"
            for one in self.crashes
        ]
        told = [
            f"{upstream} {now - one.at:.1f}s ago, seen by {one.reporter}"
            for upstream, one in self.reports.items()
        ]
        return own + told


@dataclass(slots=True)
class Crash:
    """A crash of an upstream: connections that it lost at about the same time.

    Attributes:
      upstream: Name of the upstream.
      at: Time of the first loss.
      fingerprints: Requests lost in it, empty if only idle connections closed.
    """

    upstream: str
    at: float
    fingerprints: set[str] = field(default_factory=set)


class RecentNames:
    """Names with a recent success; the oldest is dropped when full.

    Attributes:
      max_names: Maximum number of names kept.
      seen: Time of the last success of each name, oldest first.
    """

    def __init__(self, max_names: int) -> None:
        self.max_names = max_names
        self.seen: OrderedDict[str, float] = OrderedDict()

    def add(self, name: str, now: float) -> None:
        """Records a success of a name."""
        self.seen[name] = max(now, self.seen.get(name, now))
        self.seen.move_to_end(name)
        if len(self.seen) > self.max_names:
            self.seen.popitem(last=False)

    def is_recent(self, name: str, now: float) -> bool:
        """Returns whether a name had a success within FAMILIAR_TTL_S."""
        seen = self.seen.get(name)
        return seen is not None and now - seen <= FAMILIAR_TTL_S


class Quarantine:
    """Suspects, quarantined fingerprints and the evidence against them.

    Attributes:
      canary: Rule for the number of canary shards of a request.
      entries: Suspects and quarantined fingerprints, the oldest first.
      crashes: Recent crashes of upstreams, the oldest first.
      fingerprints: Fingerprints with recent results.
      callers: Callers with recent results.
      quarantine_count: Number of fingerprints quarantined by this instance.
      settle_s: Time for which reports of other instances are awaited before a
        fingerprint is quarantined, 0 if upstreams are not named with their
        starts, so that instances cannot add up what they lost in a crash.
      losses: Requests lost in each crash, here and elsewhere.
      pending: Fingerprints with enough evidence, each with the time at which it
        is weighed again.
    """

    def __init__(
        self, canary: CanaryRule | None = None, settle_s: float = 0.0
    ) -> None:
        self.settle_s = settle_s
        self.losses = CrashLosses()
        self.pending: dict[str, float] = {}
        self.canary = canary or canary_for_unfamiliar
        self.entries: OrderedDict[str, FingerprintEntry] = OrderedDict()
        self.crashes: deque[Crash] = deque(maxlen=MAX_RECENT_CRASHES)
        self.fingerprints = RecentNames(MAX_FAMILIAR_NAMES)
        self.callers = RecentNames(MAX_FAMILIAR_NAMES)
        self.quarantine_count = 0

    def state_of(self, fingerprint: str, now: float) -> FingerprintState | None:
        """Returns the state of a fingerprint, None without evidence."""
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
        """Returns whether a fingerprint is quarantined."""
        return self.state_of(fingerprint, now) is FingerprintState.QUARANTINED

    def record_loss(self, upstream: str, fingerprint: str, now: float) -> None:
        """Records that a request was lost at an upstream."""
        if self.settle_s:
            self.losses.add(upstream, fingerprint)
        for crash in reversed(self.crashes):
            if now - crash.at > SAME_CRASH_WINDOW_S:
                break
            if crash.upstream == upstream:
                crash.fingerprints.add(fingerprint)
                return
        self.crashes.append(Crash(upstream, now, {fingerprint}))

    def record_idle_close(self, upstream: str, now: float) -> None:
        """Records that an upstream closed its idle connections.

        It is evidence of an outage, as the upstream ran no request of this
        instance on them.
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
        alive_at: float = math.inf,
    ) -> ChargeResult:
        """Charges a loss that was recorded to a fingerprint.

        Args:
          fingerprint: Fingerprint of the request.
          upstream: Upstream at which it was lost.
          shard: Shard of the attempt that was lost.
          had_result: Whether the request had a result elsewhere.
          now: The time.
          alive_at: When the upstream was certainly up. Losses without it count
            as independent of each other.

        Returns:
          What follows from the evidence so far.
        """
        entry = self.get_or_add_entry(fingerprint, now)
        entry.alive_at.setdefault(upstream, alive_at)
        same_shard = shard in entry.shards
        entry.shards.append(shard)
        crash = self.find_crash(upstream, fingerprint)
        if crash is not None and crash not in entry.crashes:
            entry.crashes.append(crash)
        entry.changed_at = now
        if entry.state is FingerprintState.QUARANTINED:
            return ChargeResult.QUARANTINE
        if had_result and not same_shard:
            entry.excused.add(upstream)
            return ChargeResult.NOTHING
        entry.excused.clear()
        return self.weigh(fingerprint, entry, had_result, now)

    def weigh(
        self,
        fingerprint: str,
        entry: FingerprintEntry,
        had_result: bool,
        now: float,
        settled: bool = False,
    ) -> ChargeResult:
        """Quarantines a suspect if the evidence against it suffices.

        If other instances may report other requests lost in the same crashes,
        that waits until their reports are in.
        """
        crash_count = len(entry.independent_crashes())
        if not entry.is_sole_suspect or self.looks_like_outage(
            fingerprint, now
        ):
            sudden = entry.crash_span < SUDDEN_LOSS_WINDOW_S and not entry.told
            if (
                had_result
                or crash_count < OUTAGE_QUARANTINE_THRESHOLD
                or sudden
            ):
                return ChargeResult.NOTHING
            duration_s = AMBIGUOUS_QUARANTINE_DURATION_S
        elif entry.evidence >= QUARANTINE_EVIDENCE_THRESHOLD:
            duration_s = QUARANTINE_DURATION_S
        else:
            return ChargeResult.SUSPECT
        if self.settle_s and not settled:
            self.pending.setdefault(fingerprint, now + self.settle_s)
            return ChargeResult.SUSPECT
        self.impose_quarantine(fingerprint, entry, now, duration_s)
        return ChargeResult.QUARANTINE

    def settle(self, now: float) -> list[str]:
        """Weighs the evidence whose reports are in by now.

        Returns:
          The fingerprints that are now quarantined.
        """
        due = [one for one, at in self.pending.items() if at <= now]
        quarantined = []
        for fingerprint in due:
            del self.pending[fingerprint]
            if self.state_of(fingerprint, now) is not FingerprintState.SUSPECT:
                continue
            entry = self.entries[fingerprint]
            result = self.weigh(fingerprint, entry, False, now, settled=True)
            if result is ChargeResult.QUARANTINE:
                quarantined.append(fingerprint)
        return quarantined

    def retract_crash(self, upstream: str) -> None:
        """Forgets the crash of an upstream that turned out to be running."""
        self.losses.remove(upstream)
        for crash in list(self.crashes):
            if crash.upstream != upstream:
                continue
            self.crashes.remove(crash)
            for fingerprint in crash.fingerprints:
                entry = self.entries.get(fingerprint)
                if entry is not None and crash in entry.crashes:
                    entry.crashes.remove(crash)

    def excuse_stale_connection(self, fingerprint: str, now: float) -> bool:
        """Counts an attempt on a stale connection.

        The upstream may have closed the first one because it was idle. A
        second one is unlikely to be a coincidence and is charged as a loss.

        Returns:
          Whether it is the first one of the request, which is not charged.
        """
        entry = self.get_or_add_entry(fingerprint, now)
        entry.stale_connections += 1
        return entry.stale_connections == 1

    def get_or_add_entry(
        self, fingerprint: str, now: float
    ) -> FingerprintEntry:
        """Returns the entry of a fingerprint, added as a suspect if missing."""
        self.state_of(fingerprint, now)
        entry = self.entries.get(fingerprint)
        if entry is None:
            entry = FingerprintEntry(
                FingerprintState.SUSPECT,
                now + SUSPECT_TTL_S,
                fingerprint=fingerprint,
                losses=self.losses,
            )
            self.entries[fingerprint] = entry
            if len(self.entries) > MAX_ENTRIES:
                self.drop_oldest()
        return entry

    def drop_oldest(self) -> None:
        """Drops the oldest suspect, or the oldest entry if there is none.

        An outage makes many suspects; it must not end quarantines.
        """
        oldest = next(
            (
                fingerprint
                for fingerprint, entry in self.entries.items()
                if entry.state is FingerprintState.SUSPECT
            ),
            next(iter(self.entries)),
        )
        del self.entries[oldest]

    def find_crash(self, upstream: str, fingerprint: str) -> Crash | None:
        """Returns the latest crash of an upstream that involved a request."""
        for crash in reversed(self.crashes):
            if crash.upstream == upstream and fingerprint in crash.fingerprints:
                return crash
        return None

    def looks_like_outage(self, fingerprint: str, now: float) -> bool:
        """Returns whether recent crashes without a request indicate an outage.

        They must reach a minimum number and outnumber those with it.
        """
        explained = 0
        others = 0
        for crash in reversed(self.crashes):
            if now - crash.at > OUTAGE_EVIDENCE_WINDOW_S:
                break
            if fingerprint in crash.fingerprints:
                explained += 1
            else:
                others += 1
        return others >= OUTAGE_CRASH_THRESHOLD and others > explained

    def impose_quarantine(
        self,
        fingerprint: str,
        entry: FingerprintEntry,
        now: float,
        seconds: float,
    ) -> None:
        """Quarantines a fingerprint for a given time."""
        self.quarantine_count += 1
        entry.quarantine(now, seconds)
        entry.changed_at = now
        self.entries.move_to_end(fingerprint)

    def on_peer_suspect(self, fingerprint: str, age: float, now: float) -> None:
        """Adds another instance's suspicion, ``age`` seconds old."""
        entry = self.get_or_add_entry(fingerprint, now)
        name = f"notice {len(entry.reports) + 1}"
        entry.reports[name] = ReportedCrash(1.0, now - age, "")
        if entry.state is FingerprintState.SUSPECT:
            entry.until = now + SUSPECT_TTL_S - age

    def on_crash_report(self, report: CrashReport, now: float) -> ChargeResult:
        """Adds a crash that another instance charged to a fingerprint.

        A crash that is reported again changes nothing, unless it turned out
        that other requests were not involved in it.

        Returns:
          What follows from the evidence so far; NOTHING if it is not new.
        """
        if report.age_s >= SUSPECT_TTL_S:
            return ChargeResult.NOTHING
        result_at = self.fingerprints.seen.get(report.fingerprint)
        if result_at is not None and now - report.age_s <= result_at:
            return ChargeResult.NOTHING
        known = self.entries.get(report.fingerprint)
        if known is not None and self.state_of(report.fingerprint, now):
            earlier = known.reports.get(report.upstream)
            if earlier is not None and earlier.weight >= report.weight:
                return ChargeResult.NOTHING
        entry = self.get_or_add_entry(report.fingerprint, now)
        self.losses.add(report.upstream, report.fingerprint)
        entry.reports[report.upstream] = ReportedCrash(
            report.weight,
            now - report.age_s,
            report.reporter,
            now - report.alive_age_s,
        )
        entry.changed_at = now
        if entry.state is FingerprintState.QUARANTINED:
            return ChargeResult.NOTHING
        entry.until = max(entry.until, now + SUSPECT_TTL_S - report.age_s)
        return self.weigh(report.fingerprint, entry, False, now)

    def crash_reports(
        self, fingerprint: str, reporter: str, now: float
    ) -> list[CrashReport]:
        """Returns the evidence against a fingerprint, own and reported."""
        entry = self.entries.get(fingerprint)
        if entry is None:
            return []
        reports = {
            upstream: CrashReport(
                fingerprint,
                upstream,
                one.weight,
                now - one.at,
                one.reporter,
                now - one.alive_at,
            )
            for upstream, one in entry.reports.items()
        }
        for crash in entry.crashes:
            if crash.upstream in entry.excused:
                continue
            share = 1 / max(1, len(crash.fingerprints))
            weight = entry.weight_in(crash.upstream, share)
            earlier = reports.get(crash.upstream)
            if earlier is None or weight < earlier.weight:
                reports[crash.upstream] = CrashReport(
                    fingerprint,
                    crash.upstream,
                    weight,
                    now - crash.at,
                    reporter,
                    now - entry.alive_at.get(crash.upstream, crash.at),
                )
        return list(reports.values())

    def on_peer_quarantine(
        self,
        fingerprint: str,
        age: float,
        now: float,
        seconds: float = QUARANTINE_DURATION_S,
        reporter: str = "",
    ) -> bool:
        """Adopts another instance's quarantine, ``age`` seconds old.

        Returns:
          Whether it was not quarantined here before.
        """
        if age >= seconds:
            return False
        entry = self.get_or_add_entry(fingerprint, now)
        is_new = entry.state is not FingerprintState.QUARANTINED
        # The age leaves out the time on the way, so that a report of the same
        # quarantine seems to be of a later one.
        if is_new or seconds > entry.duration_s:
            entry.quarantine(now - age, seconds)
            entry.quarantined_by = reporter
            entry.changed_at = now
        return is_new

    def count_states(self) -> dict[str, int]:
        """Returns the number of fingerprints in each state."""
        counts = Counter(entry.state for entry in self.entries.values())
        return {state.value: counts[state] for state in FingerprintState}

    def expire(self, now: float) -> None:
        """Removes the entries that have expired."""
        for fingerprint, entry in list(self.entries.items()):
            if now >= entry.until:
                del self.entries[fingerprint]

    def on_result_report(self, fingerprint: str, at: float) -> bool:
        """Records that a request had a result at another instance.

        It ends a suspicion for the crashes before.

        Returns:
          Whether it was suspected and no longer is.
        """
        self.fingerprints.add(fingerprint, at)
        self.losses.clear(fingerprint)
        entry = self.entries.get(fingerprint)
        if entry is None or entry.state is not FingerprintState.SUSPECT:
            return False
        entry.crashes = [one for one in entry.crashes if one.at > at]
        entry.reports = {
            upstream: one
            for upstream, one in entry.reports.items()
            if one.at > at
        }
        if entry.crashes or entry.reports:
            return False
        del self.entries[fingerprint]
        self.pending.pop(fingerprint, None)
        return True

    def on_success(self, fingerprint: str, caller: str, now: float) -> bool:
        """Records that a request had results, which ends a suspicion.

        The crashes in which it was lost are then due to the other requests.

        Returns:
          Whether it was suspected.
        """
        self.fingerprints.add(fingerprint, now)
        self.callers.add(caller, now)
        self.losses.clear(fingerprint)
        self.pending.pop(fingerprint, None)
        if self.entries:
            entry = self.entries.get(fingerprint)
            if entry is not None and entry.state is FingerprintState.SUSPECT:
                del self.entries[fingerprint]
                for crash in entry.crashes:
                    crash.fingerprints.discard(fingerprint)
                return True
        return False

    def canary_count(self, fingerprint: str, caller: str, now: float) -> int:
        """Returns the number of canary shards of a request, 0 for none."""
        return self.canary(self, fingerprint, caller, now)


def canary_never(
    _quarantine: Quarantine, _fingerprint: str, _caller: str, _now: float
) -> int:
    """Uses no canaries: all shards are asked at once."""
    return 0


def canary_for_suspects(
    quarantine: Quarantine, fingerprint: str, _caller: str, now: float
) -> int:
    """Uses one canary for suspects."""
    if quarantine.state_of(fingerprint, now) is FingerprintState.SUSPECT:
        return SUSPECT_CANARY_COUNT
    return 0


def canary_for_unfamiliar(
    quarantine: Quarantine, fingerprint: str, caller: str, now: float
) -> int:
    """Uses canaries unless the same request succeeded recently."""
    suspects = canary_for_suspects(quarantine, fingerprint, caller, now)
    if suspects or quarantine.fingerprints.is_recent(fingerprint, now):
        return suspects
    return UNFAMILIAR_CANARY_COUNT


def single_canary_for_unfamiliar(
    quarantine: Quarantine, fingerprint: str, caller: str, now: float
) -> int:
    """Uses one canary unless the same request succeeded recently."""
    return min(1, canary_for_unfamiliar(quarantine, fingerprint, caller, now))


def canary_for_unfamiliar_callers(
    quarantine: Quarantine, fingerprint: str, caller: str, now: float
) -> int:
    """Uses canaries unless a request of the caller succeeded recently."""
    suspects = canary_for_suspects(quarantine, fingerprint, caller, now)
    if suspects or quarantine.callers.is_recent(caller, now):
        return suspects
    return UNFAMILIAR_CANARY_COUNT


def canary_always(
    quarantine: Quarantine, fingerprint: str, caller: str, now: float
) -> int:
    """Uses canaries for every request."""
    suspects = canary_for_suspects(quarantine, fingerprint, caller, now)
    return suspects or UNFAMILIAR_CANARY_COUNT


def draw_candidates(
    shards: list[T], canaries: int, rng: random.Random
) -> list[T]:
    """Draws the shards from which a number of canaries is chosen.

    They are drawn at random, so that the canaries of many requests spread over
    all shards.
    """
    number = min(len(shards), CANDIDATES_PER_CANARY * canaries)
    return rng.sample(shards, number)


def fingerprint_of(service: str, content: Any) -> str:
    """Returns a digest of service and content, equal for equal requests."""
    text = f"{service}\0{content!r}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
