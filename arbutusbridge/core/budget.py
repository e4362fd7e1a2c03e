"""Budget of extra attempts for hedges, retries and restarts; token bucket."""

from __future__ import annotations

MIN_BURST = 10.0
"""Number of extra attempts that any service may make in one burst."""

BURST_FRACTION = 0.2
"""Fraction of one scatter's shards that may be retried in one burst."""

MAX_BORROWED_RESTARTS = 4
"""Maximum debt from restarts, in whole scatters."""

REPAYMENT_FRACTION = 0.5
"""Fraction of the earned tokens that repays an open debt."""


class ExtraAttemptBudget:
    """Tokens earned by first attempts and spent on extra attempts.

    A restart repeats a whole scatter, which needs more tokens than a burst
    holds. It is therefore taken on credit, and half of the earned tokens
    repay the debt. Retries stay possible meanwhile, and the sum of all extra
    attempts stays within what the first attempts earn.

    Attributes:
      capacity: Maximum number of tokens kept, which bounds a burst.
      tokens: Tokens available.
      debt: Attempts made by restarts that are not yet repaid.
    """

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.tokens = capacity
        self.debt = 0.0

    @classmethod
    def for_shard_count(cls, shards: int) -> ExtraAttemptBudget:
        """Builds the budget for a service with the given number of shards."""
        return cls(MIN_BURST + BURST_FRACTION * shards)

    def earn(self, tokens: float) -> None:
        """Adds earned tokens, up to the capacity, after repaying debt."""
        if self.debt > 0.0:
            paid = min(self.debt, tokens * REPAYMENT_FRACTION)
            self.debt -= paid
            tokens -= paid
        self.tokens = min(self.capacity, self.tokens + tokens)

    def spend(self) -> bool:
        """Takes one token; returns whether one was available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Puts back a token taken for an attempt that was not made."""
        self.tokens += 1.0

    def borrow(self, attempts: int) -> bool:
        """Takes all attempts of a restart on credit.

        Returns:
          Whether the open debt allowed it.
        """
        if self.debt > (MAX_BORROWED_RESTARTS - 1) * attempts:
            return False
        self.debt += attempts
        return True


class TokenBucket:
    """Token bucket whose tokens may be taken ahead of time.

    Attributes:
      rate: Tokens added per second.
      capacity: Maximum number of tokens kept, which bounds a burst.
      max_wait_s: Maximum wait for a token, which bounds the overdraft.
      tokens: Tokens available, negative if some were taken ahead of time.
      updated_at: Time at which the tokens were last computed.
    """

    def __init__(self, rate: float, capacity: float, max_wait_s: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.max_wait_s = max_wait_s
        self.tokens = capacity
        self.updated_at = 0.0

    def take(self, now: float) -> float:
        """Takes a token and returns the seconds until it is available."""
        refill = max(0.0, now - self.updated_at) * self.rate
        self.updated_at = max(now, self.updated_at)
        min_tokens = -self.max_wait_s * self.rate
        self.tokens = max(
            min(self.capacity, self.tokens + refill) - 1.0, min_tokens
        )
        return max(0.0, -self.tokens / self.rate)
