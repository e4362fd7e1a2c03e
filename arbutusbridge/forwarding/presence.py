"""Number of instances that share the capacity of the upstreams.

Each instance keeps a key under a lease while it runs, and watches all such
keys. A lower count takes effect late: the share of an instance that was
unreachable for a moment must not be given to others while it still uses it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

INSTANCES_PREFIX = "arbutusbridge/instances/"
"""Prefix of the keys of running instances."""


def data_centre_prefix(data_centre: str) -> str:
    """Returns the prefix of the keys of a data centre's instances."""
    return f"{INSTANCES_PREFIX}{data_centre}/"


LEASE_DURATION_S = 12.0
"""Length of an instance's lease; its key is removed this long after the
instance was lost."""

RENEW_INTERVAL_S = 3.0
"""Interval between two renewals, four per lease. A renewal without a reply
reveals an outage of the store that a pending watch does not."""

FOLLOWER_LEASE_DURATION_S = 30.0
"""Length of a lease if instances may follow others. A lost instance is noticed
later, which only keeps the shares of the others smaller until then."""

FOLLOWER_RENEW_INTERVAL_S = 8.0
"""Interval between renewals while another instance watches the store."""

RETRY_DELAY_S = 1.5
"""Delay of the next attempt after a failed call."""

RESTORE_LEASES_PER_S = 100
"""Number of instances that take a new lease in a second after the store came
back from an older copy. Each makes two writes, one of the lease and one of the
key; the smallest store of the users takes 400 writes per second."""

COUNT_HOLD_S = 10.0
"""Time for which the highest recent count is kept; as long as the window of the
retry budget."""

ASSUMED_INSTANCES = 8
"""Number of instances assumed before the first count, the size of the first
users' deployments."""


@dataclass(slots=True)
class InstanceCount:
    """Lease of an instance and its view of the number of instances.

    Attributes:
      lease: Own lease, 0 if there is none.
      key_written: Whether the own key was written under that lease.
      counts: Recent counts with their times.
    """

    lease: int = 0
    key_written: bool = False
    counts: list[tuple[float, int]] = field(default_factory=list)

    def count(self, found: int, now: float) -> int:
        """Records the number of keys found and returns the count to use."""
        self.counts = [
            (at, number)
            for at, number in self.counts
            if now - at < COUNT_HOLD_S
        ]
        # The own key may not be written yet.
        count_with_own = found if self.key_written else found + 1
        self.counts.append((now, max(1, count_with_own)))
        return self.instances

    @property
    def instances(self) -> int:
        """Highest recent count."""
        return max((n for _, n in self.counts), default=ASSUMED_INSTANCES)

    def clear_lease(self) -> None:
        """Clears the own lease after its end."""
        self.lease = 0
        self.key_written = False
