"""Count of the instances that share what upstreams give.

Each instance keeps a key under a lease while it runs, and follows all such
keys. A count that shrinks is believed late: an instance that was lost
for a moment must not be given away twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field

INSTANCES_PREFIX = "arbutusbridge/instances/"
"""Start of the keys of running instances."""


def prefix_of(data_centre: str) -> str:
    """Returns the start of the keys of a data centre's instances."""
    return f"{INSTANCES_PREFIX}{data_centre}/"


LEASE_S = 12.0
"""Length of an instance's lease; its key ends so long after it was lost."""

RENEW_INTERVAL_S = 3.0
"""Time between two renewals, four in a lease. A renewal without a reply shows
an outage of the store that a waiting watch does not."""

FOLLOWER_LEASE_S = 30.0
"""Length of a lease where instances may follow others; its end is noticed
late, which only makes the shares of the others smaller for that time."""

FOLLOWER_RENEW_INTERVAL_S = 8.0
"""Time between renewals while another instance watches the store."""

RETRY_DELAY_S = 1.5
"""Time to the next try after a call that failed."""

COUNT_HOLD_S = 10.0
"""Time for which the greatest count of late is kept, the length of the window
of extra arrivals."""

ASSUMED_INSTANCES = 8
"""Instances assumed before a first count, the size of the first users."""


@dataclass(slots=True)
class InstanceCount:
    """What one instance knows of the number of instances.

    Attributes:
      lease: Own lease, 0 while there is none.
      written: Whether the own key stands under that lease.
      counts: Counts of late with their times.
    """

    lease: int = 0
    written: bool = False
    counts: list[tuple[float, int]] = field(default_factory=list)

    def count(self, found: int, now: float) -> int:
        """Takes a reading of the keys; returns the count to share by."""
        self.counts = [
            (at, number)
            for at, number in self.counts
            if now - at < COUNT_HOLD_S
        ]
        # The own key may not stand yet.
        least = found if self.written else found + 1
        self.counts.append((now, max(1, least)))
        return self.instances

    @property
    def instances(self) -> int:
        """The greatest count of late."""
        return max((n for _, n in self.counts), default=ASSUMED_INSTANCES)

    def forget(self) -> None:
        """Takes the end of the own lease."""
        self.lease = 0
        self.written = False
