"""Retry budget: a bound on the extra arrivals at a service.

Extra arrivals are those beyond the first of each request. Every instance may
spend a fraction of the requests that it has seen itself, and its share of a
fixed allowance. The sum over all instances then stays within the bound of the
deployment in every sliding window.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Limits of a deployment on extra arrivals at one service.

    Attributes:
      ratio: Extra arrivals per request.
      slack: Extra arrivals allowed in addition, over all instances.
      window_s: Length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


USABLE_BUDGET_FRACTION = 0.85
"""Fraction of the bound that is spent. The rest covers instances that started
recently and arrivals that other instances count in another window."""

RETRY_RESERVE_FRACTION = 0.25
"""Fraction of the extra arrivals that hedges leave to retries."""

INITIAL_ALLOWANCE_FRACTION = 0.2
"""Fraction of its fixed allowance that an instance has when it starts."""

WINDOW_BUCKET_S = 0.5
"""Length of one bucket of the sliding window."""


PRIMARY_SENDERS_ALLOWANCE_FRACTION = 0.5
"""Fraction of a shard's fixed allowance that is reserved for the few
instances that send it most of its requests; the rest is shared equally by
all instances."""


def allowance_share(
    instances: int, primary_senders: int, data_centres: int
) -> float:
    """Returns an instance's share of the fixed allowance of a shard.

    Args:
      instances: Number of all instances.
      primary_senders: Instances of this data centre that send the shard most
        of its requests, 0 if this instance is not one of them.
      data_centres: Number of data centres with such primary senders.
    """
    share = (1.0 - PRIMARY_SENDERS_ALLOWANCE_FRACTION) / max(1, instances)
    if primary_senders:
        share += PRIMARY_SENDERS_ALLOWANCE_FRACTION / (
            primary_senders * max(1, data_centres)
        )
    return share


class ServiceBudget:
    """Retry budget of one service: its arrivals in a sliding window.

    Attributes:
      bounds: Limits of the whole deployment.
      started_at: When this instance began to count.
      slots: Buckets of the window, oldest first; each lists its start time,
        requests and extra arrivals.
      requests: Requests in the window.
      extras: Extra arrivals in the window.
    """

    def __init__(self, bounds: RetryBudgetLimits, started_at: float) -> None:
        self.bounds = bounds
        self.started_at = started_at
        self.slots: deque[list[float]] = deque()
        self.requests = 0.0
        self.extras = 0.0

    def advance(self, now: float) -> list[float]:
        """Removes expired buckets and returns the current one."""
        slots = self.slots
        oldest = now - self.bounds.window_s - WINDOW_BUCKET_S
        while slots and slots[0][0] < oldest:
            _, requests, extras = slots.popleft()
            self.requests -= requests
            self.extras -= extras
        if not slots or now - slots[-1][0] >= WINDOW_BUCKET_S:
            slots.append([now, 0.0, 0.0])
        return slots[-1]

    def record_request(self, now: float) -> None:
        """Counts a caller's request for the service."""
        self.advance(now)[1] += 1
        self.requests += 1

    def record_extra(self, now: float, arrivals: int = 1) -> None:
        """Counts extra arrivals; a negative number takes some back."""
        self.advance(now)[2] += arrivals
        self.extras += arrivals

    def remaining(self, share: float, now: float) -> float:
        """Returns the extra arrivals that this instance may still cause."""
        return self.limit(share, now) - self.extras

    def allows_hedge(self, share: float, now: float) -> bool:
        """Returns whether a hedge leaves enough budget for retries.

        Retries take precedence, since they help more than hedges.
        """
        limit = self.limit(share, now)
        remaining = limit - self.extras
        return remaining >= 1.0 and remaining >= limit * RETRY_RESERVE_FRACTION

    def limit(self, share: float, now: float) -> float:
        """Returns the extra arrivals that this instance may cause per window.

        The fixed allowance of a new instance grows over one window, since its
        predecessor may have spent the same allowance.

        Args:
          share: This instance's share of the fixed allowance, 0 to 1.
          now: The time.
        """
        self.advance(now)
        bounds = self.bounds
        age = (
            INITIAL_ALLOWANCE_FRACTION
            + (now - self.started_at) / bounds.window_s
        )
        allowance = bounds.slack * share * min(1.0, age)
        return (
            bounds.ratio * self.requests + allowance
        ) * USABLE_BUDGET_FRACTION
