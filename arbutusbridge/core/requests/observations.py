"""An instance's own observations of each upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from arbutusbridge.core.messages import Version
    from arbutusbridge.core.requests.pending_attempts import QueuedShard

LATENCY_SMOOTHING_FACTOR = 0.1
"""Weight of a new sample in the smoothed latency."""

INITIAL_LATENCY_S = 0.005
"""Latency assumed of an upstream without samples."""

LATENCY_DECAY_FACTOR = 0.5
"""Factor applied to the latency of an upstream at each status report, if it had
no sample since the last one."""

RAMP_UP_DURATION_S = 3.0
"""Time in which a returning upstream ramps up to its full share of attempts."""

INITIAL_EJECTION_DURATION_S = 1.0
"""Duration of a first ejection."""

MAX_EJECTION_DURATION_S = 2.0
"""Upper bound of the duration of an ejection, which doubles with each one that
follows without a result in between."""

UNREPORTED_EJECTION_DURATION_S = 10.0
"""Duration of an ejection if no status report arrives meanwhile."""

OVERDUE_EJECTION_THRESHOLD = 3
"""Consecutive overdue attempts after which an upstream is ejected."""

UPSTREAM_EXTRA_RATIO = 0.25
"""Extra attempts allowed at one upstream per first attempt."""

UPSTREAM_EXTRA_BURST = 10.0
"""Extra attempts allowed at one upstream in one burst."""


@dataclass(slots=True, eq=False)
class UpstreamView:
    """This instance's observations of one upstream.

    Attributes:
      name: Name of the upstream.
      local: Whether it is in the instance's own data centre.
      in_flight: Number of open attempts.
      latency: Smoothed reply time, in seconds.
      samples: Number of latency samples.
      samples_at_last_report: Value of samples at the last status report.
      reported_load: Load that it last reported, which may lag or mislead.
      held: Versions that it is known to serve, by service.
      versions_reported_at: Time at which it last reported its versions, in a
        status report or a refusal.
      leaving: Whether it is known to be leaving.
      backoff_until: End of the backoff that it asked for.
      ejected_until: End of its ejection by this instance.
      readmit_at: Time from which a status report ends its ejection.
      ramp_until: Time until which it gets a reduced share of attempts.
      restricted_until: Latest of backoff_until, ejected_until and ramp_until.
      failures: Ejections since the last result.
      silent: Overdue attempts since the last result.
      extra_tokens: Tokens left for extra attempts at it.
      limit: Adaptive limit on open attempts at it.
      max_limit: Upper bound of the limit, by the instance's share.
      baseline_latency: Smoothed reply time under low load, in seconds.
      backlog: Heap of shards that wait until it is below its limit.
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
        """Adds the reply time of a result to the smoothed latency."""
        self.samples += 1
        self.latency += (seconds - self.latency) * LATENCY_SMOOTHING_FACTOR
        self.silent = 0
        self.failures = 0

    def observe_lower_bound(self, seconds: float) -> None:
        """Adds the age of a cancelled attempt, a lower bound of its latency."""
        if seconds > self.latency:
            self.samples += 1
            self.latency += (seconds - self.latency) * LATENCY_SMOOTHING_FACTOR

    def decay_latency(self) -> None:
        """Lowers the latency if it had no sample since the last report."""
        if self.samples == self.samples_at_last_report:
            self.latency = max(
                INITIAL_LATENCY_S, self.latency * LATENCY_DECAY_FACTOR
            )
        self.samples_at_last_report = self.samples

    def on_overdue(self, now: float) -> None:
        """Counts an overdue attempt and ejects the upstream after several.

        One overdue attempt is enough if the upstream has had no result since
        its last ejection.
        """
        if self.ejected_until > now:
            return
        self.silent += 1
        if self.silent >= OVERDUE_EJECTION_THRESHOLD or self.failures:
            self.silent = 0
            self.eject(now)

    def eject(self, now: float) -> None:
        """Ejects the upstream, for longer each time until it has a result.

        The ejection also lasts longer if no status report arrives meanwhile.
        """
        duration = min(
            MAX_EJECTION_DURATION_S,
            INITIAL_EJECTION_DURATION_S * 2**self.failures,
        )
        self.failures += 1
        self.readmit_at = now + duration
        self.ejected_until = now + UNREPORTED_EJECTION_DURATION_S
        self.start_ramp(self.ejected_until)

    def on_status_report(self, now: float) -> None:
        """Shortens an ejection, as a status report shows the process alive."""
        if self.ejected_until > now:
            self.ejected_until = max(now, self.readmit_at)
            self.start_ramp(self.ejected_until)

    def start_ramp(self, start: float) -> None:
        """Ramps up the upstream's share of attempts from a given time."""
        self.ramp_until = start + RAMP_UP_DURATION_S
        self.restricted_until = max(self.backoff_until, self.ramp_until)

    def back_off(self, until: float) -> None:
        """Applies a backoff that the upstream asked for."""
        self.backoff_until = max(self.backoff_until, until)
        self.restricted_until = max(self.restricted_until, until)

    def is_available(self, now: float) -> bool:
        """Returns whether it is neither backing off nor ejected."""
        return self.backoff_until <= now and self.ejected_until <= now

    def is_unrestricted(self, now: float) -> bool:
        """Returns whether it may be given its full share of attempts."""
        return self.restricted_until <= now

    def admits_attempt(self, rng: random.Random, now: float) -> bool:
        """Returns whether the upstream is given an attempt.

        While it ramps up, the result is random, with a growing probability.
        """
        remaining_s = self.ramp_until - now
        return (
            remaining_s <= 0 or rng.random() * RAMP_UP_DURATION_S >= remaining_s
        )

    def spend_extra_token(self) -> bool:
        """Takes a token for an extra attempt.

        Returns:
          False if none is left.
        """
        if self.extra_tokens < 1.0:
            return False
        self.extra_tokens -= 1.0
        return True

    def earn_extra_tokens(self) -> None:
        """Adds the fraction of a token that a first attempt earns."""
        if self.extra_tokens < UPSTREAM_EXTRA_BURST:
            self.extra_tokens += UPSTREAM_EXTRA_RATIO
