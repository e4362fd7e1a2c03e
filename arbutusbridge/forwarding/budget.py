"""Bound on the arrivals at a service beyond the first of each request.

Every instance may spend a share of the requests that it saw itself, and its
part of a fixed allowance. The sums over all instances then stay within the
bound of the deployment in every sliding window.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Bound of a deployment on extra arrivals at one service.

    Attributes:
      ratio: Extra arrivals per request.
      slack: Extra arrivals allowed besides, over all instances.
      window_s: Length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


USABLE_FRACTION = 0.85
"""Part of the bound that is spent; the rest covers instances that started
lately and arrivals counted in another window than here."""

RETRY_RESERVE_FRACTION = 0.25
"""Part of the extra arrivals that hedges leave to retries."""

INITIAL_ALLOWANCE_FRACTION = 0.2
"""Part of its fixed allowance that an instance has when it starts."""

WINDOW_BUCKET_S = 0.5
"""Resolution of the window."""


HELPER_ALLOWANCE_FRACTION = 0.5
"""Part of the fixed allowance of a shard that goes to the few instances that
ask it most of the time; the rest is every instance's alike."""


def allowance_share(instances: int, askers: int, data_centres: int) -> float:
    """Returns an instance's part of the fixed allowance of a shard.

    Args:
      instances: All instances.
      askers: Instances of this data centre that ask the shard most of the
        time, 0 if this is none of them.
      data_centres: Data centres in which others do the same.
    """
    share = (1.0 - HELPER_ALLOWANCE_FRACTION) / max(1, instances)
    if askers:
        share += HELPER_ALLOWANCE_FRACTION / (askers * max(1, data_centres))
    return share


class ServiceBudget:
    """Requests and extra arrivals at one service in the last window.

    Attributes:
      bounds: Bound of the whole deployment.
      started: When this instance began to count.
      slots: Start, requests and extras of each half second, oldest first.
      requests: Requests in the window.
      extras: Extra arrivals in the window.
    """

    def __init__(self, bounds: RetryBudgetLimits, started: float) -> None:
        self.bounds = bounds
        self.started = started
        self.slots: deque[list[float]] = deque()
        self.requests = 0.0
        self.extras = 0.0

    def advance(self, now: float) -> list[float]:
        """Drops what left the window; returns the current half second."""
        slots = self.slots
        oldest = now - self.bounds.window_s - WINDOW_BUCKET_S
        while slots and slots[0][0] < oldest:
            _, requests, extras = slots.popleft()
            self.requests -= requests
            self.extras -= extras
        if not slots or now - slots[-1][0] >= WINDOW_BUCKET_S:
            slots.append([now, 0.0, 0.0])
        return slots[-1]

    def note_request(self, now: float) -> None:
        """Counts a request of a caller for the service."""
        self.advance(now)[1] += 1
        self.requests += 1

    def note_extra(self, now: float, arrivals: int = 1) -> None:
        """Counts arrivals beyond the first of a request."""
        self.advance(now)[2] += arrivals
        self.extras += arrivals

    def left(self, share: float, now: float) -> float:
        """Returns the extra arrivals that this instance may still cause."""
        return self.most(share, now) - self.extras

    def allows_hedge(self, share: float, now: float) -> bool:
        """Tells whether a hedge leaves enough for retries, which help more."""
        most = self.most(share, now)
        left = most - self.extras
        return left >= 1.0 and left >= most * RETRY_RESERVE_FRACTION

    def most(self, share: float, now: float) -> float:
        """Returns the extra arrivals that it may cause in one window.

        The fixed allowance of a new instance grows over one window, since
        the instance that it follows may have spent the same allowance.

        Args:
          share: This instance's part of the fixed allowance, 0 to 1.
          now: The time.
        """
        self.advance(now)
        bounds = self.bounds
        age = (
            INITIAL_ALLOWANCE_FRACTION + (now - self.started) / bounds.window_s
        )
        allowance = bounds.slack * share * min(1.0, age)
        return (bounds.ratio * self.requests + allowance) * USABLE_FRACTION
