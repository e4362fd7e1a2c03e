"""Timing of removals: how long a key that the store no longer has is kept.

After an outage, and after one that went unnoticed, keys may be missing although
their writers live; they come back soon. An upstream whose key is removed for
good serves for its drain period only, so that a removal must come into force
well before the end of it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

REMOVAL_GRACE_S = 2.6
"""Time after an outage for which removals are held back. The platform restores
keys within about 2 s, and a restored one is read up to 0.4 s later."""

MASS_REMOVAL_GRACE_S = 2.2
"""Time for which many removals at once are held back."""

MASS_REMOVAL_RATIO = 0.3
"""Fraction of all keys whose removal at once is taken for an outage that was
not noticed here."""

MIN_MASS_REMOVAL = 4
"""Minimum number of keys removed at once that counts as such an outage."""

MIN_OUTAGE_S = 2.0
"""Minimum time without any usable reply that counts as an outage. A key lapses
once its writer has missed three writes, which are 1.2 s apart, so that a
shorter outage ends none."""

MAX_REPLY_S = 0.5
"""Time within which a sound store replies; the slowest one observed takes
0.3 s."""

DRAIN_MARGIN_S = 0.5
"""Part of the drain period that is left when a removal comes into force, for
the requests that the upstream has by then."""

DEFAULT_DRAIN_S = 3.0
"""Shortest drain period of the users."""


@dataclass(slots=True)
class RemovalTiming:
    """What is known of the times at which keys may have been removed.

    All times are those of the clock of this instance, in seconds.

    Attributes:
      max_delay_s: Time between a removal in the store and its effect here that
        a sound store does not exceed.
      quiet_at: Time up to which every removal has been reported.
      recovered_at: End of the last outage.
      was_long: Whether calls failed for all of MIN_OUTAGE_S, so that
        ``max_delay_s`` does not apply. Otherwise a sound store may have closed
        a watch that had been open for long.
      has_hung: Whether one of the calls that failed just now got no reply.
    """

    max_delay_s: float = DEFAULT_DRAIN_S - DRAIN_MARGIN_S
    quiet_at: float = -math.inf
    recovered_at: float = -math.inf
    was_long: bool = False
    has_hung: bool = False

    @classmethod
    def from_drain_period(cls, drain_s: float) -> RemovalTiming:
        """Creates the timing for upstreams that serve for some time.

        Args:
          drain_s: Time for which an upstream serves after its key is removed.
        """
        return cls(max(0.0, drain_s - DRAIN_MARGIN_S))

    def on_failure(
        self, now: float, open_s: float, wait_s: float, is_first: bool
    ) -> None:
        """Records a failed call.

        Args:
          now: The time.
          open_s: Time for which it was open.
          wait_s: Time that a watch may wait for changes; 0 for another call.
          is_first: Whether the call before it had a reply.
        """
        if open_s >= wait_s + MAX_REPLY_S:
            self.has_hung = True
        elif is_first:
            self.on_wait(now, open_s, wait_s)

    def on_wait(self, now: float, open_s: float, wait_s: float) -> None:
        """Records the end of a call that was answered or closed.

        Args:
          now: The time.
          open_s: Time for which it was open.
          wait_s: Time that a watch may wait for changes; 0 for another call.
        """
        if min(open_s, wait_s) >= MAX_REPLY_S:
            # There were no changes so far: they would have been reported.
            self.quiet_at = max(self.quiet_at, now)

    def on_outage_end(self, ended_at: float) -> None:
        """Records the end of an outage, unless it is known already."""
        if ended_at > self.recovered_at:
            self.recovered_at = ended_at
            failing_s = ended_at - self.quiet_at
            self.was_long = self.has_hung or failing_s >= MIN_OUTAGE_S
        self.has_hung = False

    def on_restored(self, now: float) -> None:
        """Records that the store came back from an older copy."""
        self.recovered_at = now
        self.was_long = True

    def compute_hold_until(
        self, removals: int, keys: int, now: float
    ) -> float | None:
        """Returns until when to hold removals back, None to apply them now.

        Args:
          removals: Number of keys removed at once.
          keys: Number of all known keys.
          now: When their removal was read.
        """
        until = -math.inf
        recovers = now < self.recovered_at + REMOVAL_GRACE_S
        if recovers:
            until = self.recovered_at + REMOVAL_GRACE_S
        if removals >= max(MIN_MASS_REMOVAL, MASS_REMOVAL_RATIO * keys):
            until = max(until, now + MASS_REMOVAL_GRACE_S)
        if not (recovers and self.was_long):
            until = min(until, self.quiet_at + self.max_delay_s)
        return until if until > now else None
