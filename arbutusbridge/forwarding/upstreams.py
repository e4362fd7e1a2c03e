"""Announced upstreams and this instance's observations of them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.latencies import LatencyWindow
from arbutusbridge.forwarding.messages import AttemptEnd
from arbutusbridge.forwarding.ratelimit import RateLimit, RateMeter
from arbutusbridge.forwarding.terms import NO_TERMS

if TYPE_CHECKING:
    from collections.abc import Collection

    from arbutusbridge.forwarding.messages import Load
    from arbutusbridge.forwarding.model import Announcement, Route
    from arbutusbridge.forwarding.terms import UpstreamTerms

PACE_WEIGHT = 0.15
"""Weight of a new reply time in the smoothed pace of an upstream."""

SLOWNESS_WEIGHT = 0.4
"""Weight of a new reply time in the smoothed slowness of an upstream."""

NORMAL_REPLY_FACTOR = 2.0
"""Multiple of the typical reply time up to which a reply counts as normal; the
work per request varies by about as much."""

FAILURE_RATE_WEIGHT = 0.35
"""Weight of a new outcome in the smoothed failure rate."""

OBSERVATION_DECAY_TIME_S = 2.0
"""Time in which the observations of an upstream without attempts decay to about
a third."""

MAX_SLOWNESS = 20.0
"""Maximum slowness that is recorded."""

UNREACHABLE_EXCLUSION_S = 1.0
"""Time for which an upstream that refused a connection is excluded."""

LEAVING_GRACE_S = 1.5
"""Grace period in which a draining upstream still gets requests that no other
upstream can take; half of the shortest drain time known."""

MAX_LOAD_AGE_S = 0.15
"""Maximum age at which a reported load still reflects the queue."""

REPLY_TIME_WINDOW_SAMPLES = 400
"""Number of reply times of a route after which older ones count half."""

DEFAULT_REPLY_TIME_RATIO = 0.15
"""Fraction of a route's target time that is assumed for a reply time not yet
known."""

OVERDUE_FACTOR = 1.7
"""Multiple of the typical reply time after which a reply is overdue."""

OVERDUE_SLACK_S = 0.008
"""Time added to OVERDUE_FACTOR times the typical reply time; it covers short
queues and timer delays."""


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """Attempt without an outcome yet.

    Attributes:
      attempt_id: Id that is unique at this instance.
      owner: Exchange of the request that it belongs to.
      part: State of the shard that it belongs to, or of the whole request.
      upstream: Upstream that it was sent to.
      sent_at: When it was sent.
      overdue_at: When its reply becomes overdue.
      typical_s: Typical reply time when it was sent.
      dropped: Whether its reply is no longer awaited.
      cancelled: Whether this instance closes its connection besides.
      extra: Whether it counts as an extra arrival in the retry budget.
      alive_at: Time at which its upstream was certainly up, minus infinity if
        that is not known.
      checked_at: When its upstream was last checked while it was open, None if
        it was not.
      counted: Whether it has taken a token of the upstream's rate limit.
    """

    attempt_id: int
    owner: object
    part: object
    upstream: Upstream
    sent_at: float
    overdue_at: float
    typical_s: float
    dropped: bool = False
    cancelled: bool = False
    extra: bool = False
    alive_at: float = -math.inf
    checked_at: float | None = None
    counted: bool = False


@dataclass(slots=True, eq=False)
class Upstream:
    """Announced upstream and this instance's observations of it.

    Attributes:
      announcement: Latest announcement.
      open_attempts: Attempts without an outcome, including dropped ones.
      slowness: Smoothed ratio of its reply time to the typical one.
      pace: Smoothed ratio of its reply time to the typical one, also where that
        is normal.
      failure_rate: Smoothed fraction of failed attempts.
      observed_at: When slowness and failure rate were last updated, also by
        their decay.
      outcome_at: When an outcome last changed them, minus infinity without one.
      unreachable_until: Time before which it gets no attempts.
      load: Last reported load.
      load_reported_at: When that load was reported.
      warmed_up_at: When it has warmed up after its start.
      leaving_at: When it was first seen draining, infinite if it is not and
        minus infinity if it was draining when it became known.
      said_leaving: Whether it has said in a response that it is leaving.
      paused_until: Time until which it wants no requests.
      removed: Whether it must get no further attempts.
      backup_prepared_at: When a connection to its backup upstream was last
        prepared.
      terms: What it asked of the instances in its latest response.
      terms_as_of: When the request of that response was sent.
      limit: This instance's part of the limit that it names, None without one.
      cold_limit: This instance's part of the limit while it is cold, None
        without one.
      demand: Rate of the requests that are or would be sent to it.
    """

    announcement: Announcement
    open_attempts: dict[int, OpenAttempt] = field(default_factory=dict)
    slowness: float = 1.0
    pace: float = 1.0
    failure_rate: float = 0.0
    observed_at: float = 0.0
    outcome_at: float = -math.inf
    unreachable_until: float = 0.0
    load: Load | None = None
    load_reported_at: float = -math.inf
    warmed_up_at: float = 0.0
    leaving_at: float = math.inf
    said_leaving: bool = False
    paused_until: float = -math.inf
    removed: bool = False
    backup_prepared_at: float = -math.inf
    terms: UpstreamTerms = NO_TERMS
    terms_as_of: float = -math.inf
    limit: RateLimit | None = None
    cold_limit: RateLimit | None = None
    demand: RateMeter = field(default_factory=RateMeter)

    @property
    def name(self) -> str:
        """Id of the upstream."""
        return self.announcement.upstream

    def decay(self, now: float) -> None:
        """Decays the observations that no attempt has confirmed recently."""
        elapsed_s = now - self.observed_at
        if elapsed_s <= 0:
            return
        decay_factor = math.exp(-elapsed_s / OBSERVATION_DECAY_TIME_S)
        self.slowness = 1.0 + (self.slowness - 1.0) * decay_factor
        self.failure_rate *= decay_factor
        self.observed_at = now

    def record_outcome(
        self, attempt: OpenAttempt, end: AttemptEnd, now: float
    ) -> None:
        """Updates the observations with the outcome of an attempt.

        One that was withdrawn says nothing about the upstream, and neither does
        a rejection by an upstream with a rate limit or one that pauses.
        """
        rate_limited = self.limit is not None or self.paused_until > now
        if end is AttemptEnd.WITHDRAWN or (
            end is AttemptEnd.SHED and rate_limited
        ):
            return
        self.decay(now)
        self.outcome_at = now
        if end is AttemptEnd.RESULT:
            factor = (now - attempt.sent_at) / max(attempt.typical_s, 1e-4)
            pace = min(factor, MAX_SLOWNESS)
            self.pace += (pace - self.pace) * PACE_WEIGHT
            if factor < NORMAL_REPLY_FACTOR:
                factor = 1.0
            factor = min(factor, MAX_SLOWNESS)
            self.slowness += (factor - self.slowness) * SLOWNESS_WEIGHT
            self.failure_rate -= self.failure_rate * FAILURE_RATE_WEIGHT
            self.unreachable_until = 0.0
            return
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT
        if end is AttemptEnd.NOT_SENT:
            self.unreachable_until = now + UNREACHABLE_EXCLUSION_S

    def forget_failures(self, now: float) -> None:
        """Drops the observations of a time when this instance was cut off."""
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.unreachable_until = 0.0
        self.observed_at = now

    def has_overdue_reply(self, now: float) -> bool:
        """Returns whether any of its replies is overdue."""
        return any(
            now > attempt.overdue_at for attempt in self.open_attempts.values()
        )

    def is_available(self, now: float) -> bool:
        """Returns whether the upstream can get an attempt right now."""
        return (
            not self.removed
            and self.paused_until <= now
            and self.unreachable_until <= now
            and self.leaving_at > now
            and not self.has_overdue_reply(now)
        )

    def load_is_fresh(self, now: float) -> bool:
        """Returns whether the reported load is recent enough to use."""
        return now - self.load_reported_at < MAX_LOAD_AGE_S

    def reported_slowdown(self, now: float) -> float:
        """Returns the slowdown that it reported recently, 1 by default."""
        if self.load is None or not self.load_is_fresh(now):
            return 1.0
        return self.load.slowdown

    def queue_per_slot(self, now: float) -> float:
        """Returns the length of the queue for a new request, per slot."""
        slots = max(1, self.announcement.slots)
        ahead = len(self.open_attempts)
        if self.load is not None and self.load_is_fresh(now):
            ahead = max(ahead, self.load.running + self.load.waiting - 1)
        return max(0.0, (ahead + 1 - slots) / slots)


class ReplyTimes:
    """Typical reply times by route and data centre."""

    def __init__(self) -> None:
        self.windows: dict[tuple[str, str], LatencyWindow] = {}

    def add(self, route: Route, data_centre: str, seconds: float) -> None:
        """Records a reply time."""
        key = (route.name, data_centre)
        window = self.windows.get(key)
        if window is None:
            window = self.windows[key] = LatencyWindow(
                REPLY_TIME_WINDOW_SAMPLES
            )
        window.add(seconds)

    def typical(self, route: Route, data_centre: str) -> float:
        """Returns the median reply time, or an estimate if none is known."""
        window = self.windows.get((route.name, data_centre))
        median = window.quantile(0.5) if window is not None else None
        return median or DEFAULT_REPLY_TIME_RATIO * route.target_s


def overdue_timeout(typical_s: float) -> float:
    """Returns the age at which a reply becomes overdue."""
    return OVERDUE_FACTOR * typical_s + OVERDUE_SLACK_S


class UpstreamDirectory:
    """Announced upstreams by service.

    Attributes:
      services: Upstreams by service and id.
      by_name: All announced upstreams by id.
    """

    def __init__(self) -> None:
        self.services: dict[str, dict[str, Upstream]] = {}
        self.by_name: dict[str, Upstream] = {}

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Adds or updates an upstream.

        Returns:
          Whether it is a new upstream or a new start of a known one.
        """
        name = announcement.upstream
        current = self.by_name.get(name)
        if current is not None and is_restart(
            current.announcement, announcement
        ):
            self.remove(name)
            current = None
        if current is None:
            current = Upstream(announcement, observed_at=now)
            current.warmed_up_at = now + announcement.warm_up_s
            self.by_name[name] = current
            service = self.services.setdefault(announcement.service, {})
            service[name] = current
            if announcement.leaving:
                # It may have been leaving for long.
                current.leaving_at = -math.inf
            return True
        current.announcement = announcement
        current.warmed_up_at = now + announcement.warm_up_s
        self.update_leaving(current, announcement.leaving, now)
        return False

    def update_leaving(
        self, upstream: Upstream, leaving: bool, now: float
    ) -> None:
        """Records since when an upstream has been draining.

        An announcement that it is not may be older than its response.
        """
        leaving = leaving or upstream.said_leaving
        if not leaving:
            upstream.leaving_at = math.inf
        elif upstream.leaving_at == math.inf:
            upstream.leaving_at = now

    def remove(self, name: str) -> Upstream | None:
        """Removes an upstream whose announcement was removed."""
        upstream = self.by_name.pop(name, None)
        if upstream is None:
            return None
        upstream.removed = True
        service = upstream.announcement.service
        remaining = self.services[service]
        remaining.pop(name, None)
        if not remaining:
            del self.services[service]
        return upstream

    def data_centres(self, service: str) -> set[str]:
        """Returns the data centres with an upstream of a service."""
        return {
            upstream.announcement.data_centre
            for upstream in self.services.get(service, {}).values()
        }

    def usable(self, service: str, now: float) -> list[Upstream]:
        """Returns the upstreams of a service that may get a request."""
        current = self.services.get(service)
        if not current:
            return []
        return select_usable(current.values(), now)


def select_usable(
    candidates: Collection[Upstream], now: float
) -> list[Upstream]:
    """Returns the upstreams among candidates that may get a request.

    Draining ones are used only while there is no other, and only for a short
    time. Those that want no requests for some time are left out.
    """
    not_leaving = [
        upstream
        for upstream in candidates
        if upstream.leaving_at == math.inf
        and upstream.paused_until <= now
        and not upstream.removed
    ]
    if not_leaving:
        return not_leaving
    return [
        upstream
        for upstream in candidates
        if now - upstream.leaving_at < LEAVING_GRACE_S
        and upstream.paused_until <= now
        and not upstream.removed
    ]


def is_restart(old: Announcement, new: Announcement) -> bool:
    """Returns whether an announcement is for a new start of an upstream."""
    return (
        old.started_ms != new.started_ms
        or old.address != new.address
        or old.service != new.service
    )
