"""Share of an upstream's rate limit that one instance keeps to."""

from __future__ import annotations

import math
from dataclasses import dataclass

URGENT_RESERVE = 1.0
"""Tokens that are left to more urgent requests."""

DEPTH_S = 1.0
"""Depth of the bucket above that reserve, as a time at its rate."""

MIN_DEPTH = 1.0
"""Minimum depth above that reserve, in tokens; a routine request needs one."""

MIN_RATE = 0.2
"""Rate that even an upstream with a lower limit gets from all instances
together, in requests per second; only a response tells that a limit ended."""

GRANT_TTL_S = 4.0
"""Time for which a granted share is valid, four intervals of the grants."""

ROUNDING_ERROR = 1e-6
"""Part of a token that may be missing because of rounding."""

METER_TIME_S = 4.0
"""Time over which demand is averaged."""


def spread_return(last: float, earliest: float, rate: float) -> float:
    """Returns when a refused request should come back.

    Each one gets a later time than the one before, at the rate that a limit
    allows, so that they do not come back at once.

    Args:
      last: Time that the one before got.
      earliest: Time before which the limit allows none.
      rate: Requests per second that the limit allows, 0 if unknown.
    """
    return max(earliest, last + 1.0 / rate) if rate > 0.0 else earliest


@dataclass(slots=True)
class RateMeter:
    """Exponentially decaying average of the rate of events.

    Attributes:
      weight: Sum of the weights of all events so far, at the latest update.
      updated_at: Time of the latest update.
      time_s: Time over which the rate is averaged.
    """

    weight: float = 0.0
    updated_at: float = 0.0
    time_s: float = METER_TIME_S

    def add(self, now: float, events: float = 1.0) -> None:
        """Counts events."""
        self.weight = self.rate(now) * self.time_s + events
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Returns the average rate, in events per second."""
        elapsed_s = max(0.0, now - self.updated_at)
        return self.weight * math.exp(-elapsed_s / self.time_s) / self.time_s


@dataclass(slots=True)
class RateLimit:
    """Token bucket for the requests of one instance to a limited upstream.

    Attributes:
      max_rate: Limit of the upstream for all instances, in requests per second.
      refilled_at: Time at which the tokens were counted.
      fallback_share: Share of the limit without a valid grant, 0 to 1.
      share: Granted share of the limit, 0 to 1.
      granted_at: Time of the grant.
      tokens: Requests that may be sent at once.
      reserve: Tokens that are left to more urgent requests.
      depth_s: Depth of the bucket above that, as a time at its rate.
      keeps_tokens: Whether tokens stay while there is no rate.
    """

    max_rate: float
    refilled_at: float
    fallback_share: float
    share: float = 0.0
    granted_at: float = -math.inf
    tokens: float = 0.0
    reserve: float = URGENT_RESERVE
    depth_s: float = DEPTH_S
    keeps_tokens: bool = True

    def has_grant(self, now: float) -> bool:
        """Returns whether the granted share is valid."""
        return now - self.granted_at < GRANT_TTL_S

    def rate(self, now: float) -> float:
        """Returns the rate of this instance, in requests per second."""
        share = self.share if self.has_grant(now) else self.fallback_share
        return share * max(self.max_rate, MIN_RATE)

    def refill(self, now: float) -> None:
        """Adds the tokens of the time that has passed."""
        rate = self.rate(now)
        elapsed_s = max(0.0, now - self.refilled_at)
        depth = self.reserve + max(MIN_DEPTH, rate * self.depth_s)
        if not self.keeps_tokens:
            depth = MIN_DEPTH + rate * self.depth_s if rate > 0.0 else 0.0
        self.tokens = min(depth, self.tokens + elapsed_s * rate)
        self.refilled_at = now

    def grant(self, share: float, now: float) -> None:
        """Changes the share; the tokens so far are those of the old one."""
        self.refill(now)
        self.share = share
        self.granted_at = now

    def ready_at(self, reserve: float, now: float) -> float:
        """Returns when a request may be sent, infinite without any rate.

        Args:
          reserve: Tokens that are left to more urgent requests.
          now: The time.
        """
        self.refill(now)
        missing = 1.0 + reserve - self.tokens
        if missing <= ROUNDING_ERROR:
            return now
        rate = self.rate(now)
        return now + missing / rate if rate > 0.0 else math.inf

    def take(self, now: float) -> None:
        """Takes the token of a request."""
        self.refill(now)
        self.tokens -= 1.0

    def give_back(self) -> None:
        """Returns the token of a request that was not sent."""
        self.tokens += 1.0
