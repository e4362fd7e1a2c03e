"""What this instance has seen of each upstream, its own view first."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from arbutusbridge.core.messages import Version
    from arbutusbridge.core.requests.pending_attempts import QueuedShard

LATENCY_SMOOTHING_FACTOR = 0.1
"""Share of a new sample in the smoothed latency."""

INITIAL_LATENCY_S = 0.005
"""Latency assumed of an upstream without samples, in seconds."""

LATENCY_DECAY_FACTOR = 0.5
"""Factor on the latency of an upstream that was not asked for a while."""

RAMP_UP_DURATION_S = 3.0
"""Time over which an upstream that comes back is given its full share."""

INITIAL_EJECTION_S = 1.0
"""Length of a first ejection, in seconds."""

MAX_EJECTION_S = 2.0
"""Length that repeated ejections grow to, in seconds."""

UNREPORTED_EJECTION_S = 10.0
"""Length of an ejection in which no status report comes, in seconds."""

OVERDUE_EJECTION_THRESHOLD = 3
"""Overdue attempts in a row after which an upstream is ejected."""

UPSTREAM_EXTRA_RATIO = 0.25
"""Extra attempts that one upstream may get per first attempt."""

UPSTREAM_EXTRA_BURST = 10.0
"""Extra attempts that one upstream may get in one burst."""


@dataclass(slots=True, eq=False)
class UpstreamView:
    """Own observations of one upstream.

    Attributes:
      name: The upstream.
      local: Whether it is in the instance's own data centre.
      in_flight: Attempts sent and not yet settled.
      latency: Smoothed reply time, in seconds.
      samples: Replies seen.
      samples_at_last_report: Value of samples at the last status report.
      reported_load: Its own last report, which may lag or mislead.
      held: Versions it is known to serve, by service.
      versions_reported_at: When it last said what it serves, other than by
        results.
      leaving: Whether a sign of its leaving was seen.
      backoff_until: No attempt before this time, as it asked.
      ejected_until: No attempt before this time, by own suspicion.
      readmit_at: End of an ejection if a status report comes in it.
      ramp_until: Less than a full share before this time.
      restricted_until: The latest of these three times.
      failures: Losses and ejections since the last result.
      silent: Overdue attempts since the last result.
      extra_tokens: Extra attempts that it may get.
      limit: Attempts that may be open there at once, adapted.
      max_limit: Largest value of the limit, the instance's share.
      baseline_latency: Smoothed reply time when hardly loaded, in seconds.
      backlog: Heap of shards that wait for room there.
    """

    name: str
    local: bool = True
    in_flight: int = 0
    latency: float = INITIAL_LATENCY_S
    samples: int = 0
    samples_at_last_report: int = 0
    reported_load: float | None = None
    held: dict[str, tuple[Version, ...]] = field(default_factory=dict)
    versions_reported_at: float = 0.0
    leaving: bool = False
    backoff_until: float = 0.0
    ejected_until: float = 0.0
    readmit_at: float = 0.0
    ramp_until: float = 0.0
    restricted_until: float = 0.0
    failures: int = 0
    silent: int = 0
    extra_tokens: float = UPSTREAM_EXTRA_BURST
    limit: float = math.inf
    max_limit: float = math.inf
    baseline_latency: float = math.inf
    backlog: list[tuple[int, int, QueuedShard]] = field(default_factory=list)

    def observe(self, seconds: float) -> None:
        """Takes the reply time of one result into the smoothed latency."""
        self.samples += 1
        self.latency += (seconds - self.latency) * LATENCY_SMOOTHING_FACTOR
        self.silent = 0
        self.failures = 0

    def observe_at_least(self, seconds: float) -> None:
        """Takes the age of an attempt given up without a reply."""
        if seconds > self.latency:
            self.samples += 1
            self.latency += (seconds - self.latency) * LATENCY_SMOOTHING_FACTOR

    def decay_latency(self) -> None:
        """Forgets some of a latency that no attempt has confirmed lately."""
        if self.samples == self.samples_at_last_report:
            self.latency = max(
                INITIAL_LATENCY_S, self.latency * LATENCY_DECAY_FACTOR
            )
        self.samples_at_last_report = self.samples

    def on_overdue(self, now: float) -> None:
        """Notes an attempt without a reply in the usual time.

        One that comes back from an ejection is ejected again at once.
        """
        if self.ejected_until > now:
            return
        self.silent += 1
        if self.silent >= OVERDUE_EJECTION_THRESHOLD or self.failures:
            self.silent = 0
            self.eject(now)

    def eject(self, now: float) -> None:
        """Leaves the upstream out for a while, longer after each time.

        The ejection lasts longer where no status report comes in after it.
        """
        length = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**self.failures)
        self.failures += 1
        self.readmit_at = now + length
        self.ejected_until = now + UNREPORTED_EJECTION_S
        self.start_ramp(self.ejected_until)

    def on_status_report(self, now: float) -> None:
        """Ends an ejection in time, as a status report shows it alive."""
        if self.ejected_until > now:
            self.ejected_until = max(now, self.readmit_at)
            self.start_ramp(self.ejected_until)

    def start_ramp(self, start: float) -> None:
        """Lets the upstream's share grow from a time on."""
        self.ramp_until = start + RAMP_UP_DURATION_S
        self.restricted_until = max(self.backoff_until, self.ramp_until)

    def back_off(self, until: float) -> None:
        """Leaves the upstream alone until a time, as it asked."""
        self.backoff_until = max(self.backoff_until, until)
        self.restricted_until = max(self.restricted_until, until)

    def is_available(self, now: float) -> bool:
        """Tells whether it is neither backing off nor ejected."""
        return self.backoff_until <= now and self.ejected_until <= now

    def is_unrestricted(self, now: float) -> bool:
        """Tells whether nothing speaks against a full share."""
        return self.restricted_until <= now

    def admits_attempt(self, rng: random.Random, now: float) -> bool:
        """Draws whether a ramping upstream takes an attempt."""
        left = self.ramp_until - now
        return left <= 0 or rng.random() * RAMP_UP_DURATION_S >= left

    def spend_extra(self) -> bool:
        """Takes one token for an extra attempt at this upstream."""
        if self.extra_tokens < 1.0:
            return False
        self.extra_tokens -= 1.0
        return True

    def earn_extra(self) -> None:
        """Adds the tokens that a first attempt earns."""
        if self.extra_tokens < UPSTREAM_EXTRA_BURST:
            self.extra_tokens += UPSTREAM_EXTRA_RATIO
