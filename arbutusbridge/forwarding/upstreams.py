"""Announced upstreams and what this instance has seen of each."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.latencies import LatencyWindow
from arbutusbridge.forwarding.messages import AttemptEnd

if TYPE_CHECKING:
    from arbutusbridge.forwarding.messages import Load
    from arbutusbridge.forwarding.model import Announcement, Route

SLOWNESS_WEIGHT = 0.4
"""Part of a new reply time in the smoothed slowness of an upstream."""

NORMAL_REPLY_FACTOR = 2.0
"""Multiple of the usual reply time up to which a reply is an ordinary one;
the work of requests differs by about as much."""

TROUBLE_WEIGHT = 0.35
"""Part of a new outcome in the smoothed share of failed attempts."""

DECAY_TIME_S = 2.0
"""Time in which what an unasked upstream did fades to a third."""

MAX_SLOWNESS = 20.0
"""Largest factor on the usual reply time that is remembered."""

UNREACHABLE_EXCLUSION_S = 1.0
"""Time for which an upstream that refused a connection is left out."""

LEAVING_GRACE_S = 1.5
"""Time after its announcement in which a leaving upstream still gets requests
that no other can take; half of the shortest drain bound known."""

MAX_LOAD_AGE_S = 0.15
"""Age up to which a reported load says something of the queue."""

WINDOW_SAMPLES = 400
"""Reply times of a route after which older ones count half."""

DEFAULT_REPLY_TIME_RATIO = 0.15
"""Part of a route's target that stands for a reply time not yet known."""

OVERDUE_FACTOR = 1.7
"""Multiple of the usual reply time after which a reply is overdue."""

OVERDUE_SLACK_S = 0.008
"""Time on top of it, which covers short queues and timer delays."""


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """An attempt whose end is not known yet.

    Attributes:
      attempt_id: Unique at this instance.
      owner: The request's state that it serves.
      part: The shard's state that it serves, or the owner itself.
      upstream: Where it was sent.
      sent_at: When it was sent.
      due_at: When its reply becomes overdue.
      usual_s: Reply time that was usual when it was sent.
      dropped: Whether nobody waits for it any more.
      extra: Whether it is an arrival beyond the first.
    """

    attempt_id: int
    owner: object
    part: object
    upstream: Upstream
    sent_at: float
    due_at: float
    usual_s: float
    dropped: bool = False
    extra: bool = False


@dataclass(slots=True, eq=False)
class Upstream:
    """One announced upstream and own observations of it.

    Attributes:
      announcement: Its newest announcement.
      open: Attempts without an end, those nobody waits for among them.
      slowness: Smoothed reply time over the usual one.
      trouble: Smoothed share of attempts that failed.
      observed_at: When slowness and trouble were last brought up to date.
      unreachable_until: No attempt before this time.
      load: Last reported load.
      load_at: When it was reported.
      warm_at: When its start-up slowness ends.
      leaving_at: When it was learnt that it leaves, infinite if it stays.
      gone: Whether it must get nothing any more.
      second_seen_at: When a connection to the upstream that stands in for it
        was last seen to.
    """

    announcement: Announcement
    open: dict[int, OpenAttempt] = field(default_factory=dict)
    slowness: float = 1.0
    trouble: float = 0.0
    observed_at: float = 0.0
    unreachable_until: float = 0.0
    load: Load | None = None
    load_at: float = -math.inf
    warm_at: float = 0.0
    leaving_at: float = math.inf
    gone: bool = False
    second_seen_at: float = -math.inf

    @property
    def name(self) -> str:
        """Its id."""
        return self.announcement.upstream

    def fade(self, now: float) -> None:
        """Forgets some of what no attempt has confirmed lately."""
        passed = now - self.observed_at
        if passed <= 0:
            return
        keep = math.exp(-passed / DECAY_TIME_S)
        self.slowness = 1.0 + (self.slowness - 1.0) * keep
        self.trouble *= keep
        self.observed_at = now

    def observe(
        self, attempt: OpenAttempt, end: AttemptEnd, now: float
    ) -> None:
        """Takes the end of an attempt."""
        self.fade(now)
        if end is AttemptEnd.RESULT:
            factor = (now - attempt.sent_at) / max(attempt.usual_s, 1e-4)
            if factor < NORMAL_REPLY_FACTOR:
                factor = 1.0
            factor = min(factor, MAX_SLOWNESS)
            self.slowness += (factor - self.slowness) * SLOWNESS_WEIGHT
            self.trouble -= self.trouble * TROUBLE_WEIGHT
            self.unreachable_until = 0.0
            return
        self.trouble += (1.0 - self.trouble) * TROUBLE_WEIGHT
        if end is AttemptEnd.NOT_SENT:
            self.unreachable_until = now + UNREACHABLE_EXCLUSION_S

    def overdue(self, now: float) -> bool:
        """Tells whether some reply of it is overdue."""
        return any(now > attempt.due_at for attempt in self.open.values())

    def fit(self, now: float) -> bool:
        """Tells whether nothing speaks against an attempt right now."""
        return (
            not self.gone
            and self.unreachable_until <= now
            and self.leaving_at > now
            and not self.overdue(now)
        )

    def load_is_fresh(self, now: float) -> bool:
        """Tells whether the reported load still says something."""
        return now - self.load_at < MAX_LOAD_AGE_S

    def pace(self, now: float) -> float:
        """Returns how much longer work takes there, as it said lately."""
        if self.load is None or not self.load_is_fresh(now):
            return 1.0
        return self.load.pace

    def queue(self, now: float) -> float:
        """Returns the requests ahead of a new one, per slot."""
        slots = max(1, self.announcement.slots)
        ahead = len(self.open)
        if self.load is not None and self.load_is_fresh(now):
            ahead = max(ahead, self.load.running + self.load.waiting - 1)
        return max(0.0, (ahead + 1 - slots) / slots)


class ReplyTimes:
    """Usual reply times by route and data centre."""

    def __init__(self) -> None:
        self.windows: dict[tuple[str, str], LatencyWindow] = {}

    def add(self, route: Route, data_centre: str, seconds: float) -> None:
        """Counts one reply time."""
        key = (route.name, data_centre)
        window = self.windows.get(key)
        if window is None:
            window = self.windows[key] = LatencyWindow(WINDOW_SAMPLES)
        window.add(seconds)

    def usual(self, route: Route, data_centre: str) -> float:
        """Returns the median reply time, or a guess while none is known."""
        window = self.windows.get((route.name, data_centre))
        median = window.quantile(0.5) if window is not None else None
        return median or DEFAULT_REPLY_TIME_RATIO * route.target_s


def overdue_after(usual_s: float) -> float:
    """Returns the age at which a reply counts as overdue."""
    return OVERDUE_FACTOR * usual_s + OVERDUE_SLACK_S


class UpstreamDirectory:
    """Upstreams by service, as announced.

    Attributes:
      services: Upstreams of each service by id.
      by_name: Every announced upstream by id.
    """

    def __init__(self) -> None:
        self.services: dict[str, dict[str, Upstream]] = {}
        self.by_name: dict[str, Upstream] = {}

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Takes a new or changed announcement.

        Returns:
          Whether it names an upstream that starts afresh.
        """
        name = announcement.upstream
        known = self.by_name.get(name)
        if known is not None and restarted(known.announcement, announcement):
            self.remove(name)
            known = None
        if known is None:
            known = Upstream(announcement, observed_at=now)
            known.warm_at = now + announcement.warm_up_s
            self.by_name[name] = known
            service = self.services.setdefault(announcement.service, {})
            service[name] = known
            self.set_leaving(known, announcement.leaving, now)
            return True
        known.announcement = announcement
        known.warm_at = now + announcement.warm_up_s
        self.set_leaving(known, announcement.leaving, now)
        return False

    def set_leaving(
        self, upstream: Upstream, leaving: bool, now: float
    ) -> None:
        """Notes since when an upstream is known to leave."""
        if not leaving:
            upstream.leaving_at = math.inf
        elif upstream.leaving_at == math.inf:
            upstream.leaving_at = now

    def remove(self, name: str) -> Upstream | None:
        """Forgets an upstream whose announcement is gone."""
        upstream = self.by_name.pop(name, None)
        if upstream is None:
            return None
        upstream.gone = True
        service = upstream.announcement.service
        left = self.services[service]
        left.pop(name, None)
        if not left:
            del self.services[service]
        return upstream

    def usable(self, service: str, now: float) -> list[Upstream]:
        """Returns the upstreams of a service that may get a request.

        Those that leave are used only while there is no other, and only for
        a short time.
        """
        known = self.services.get(service)
        if not known:
            return []
        staying = [
            upstream
            for upstream in known.values()
            if upstream.leaving_at == math.inf and not upstream.gone
        ]
        if staying:
            return staying
        return [
            upstream
            for upstream in known.values()
            if now - upstream.leaving_at < LEAVING_GRACE_S and not upstream.gone
        ]


def restarted(old: Announcement, new: Announcement) -> bool:
    """Tells whether an announcement is of another start under the same id."""
    return (
        old.started_ms != new.started_ms
        or old.address != new.address
        or old.service != new.service
    )
