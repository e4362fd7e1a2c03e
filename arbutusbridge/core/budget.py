"""One budget of extra attempts, shared by hedges, retries and restarts."""

from __future__ import annotations

MIN_BURST = 10.0
"""Extra attempts that the smallest service may make in one burst."""

BURST_FRACTION = 0.2
"""Part of one scatter that may be attempted again in one burst."""

MAX_BORROWED_RESTARTS = 4
"""Whole scatters that restarts may owe the budget."""

REPAYMENT_FRACTION = 0.5
"""Part of what is earned that goes into a debt while there is one."""


class ExtraAttemptBudget:
    """Tokens earned by first attempts and spent by extra ones.

    A restart repeats a whole scatter, more than a burst holds. It is bought
    on credit, and half of what is earned repays it, so that retries are
    still to be had while the sum of all extra attempts stays within what
    first attempts earn.

    Attributes:
      most: Tokens kept at most, which bounds a burst.
      tokens: Tokens at hand.
      debt: Attempts of restarts not yet earned.
    """

    def __init__(self, most: float) -> None:
        self.most = most
        self.tokens = most
        self.debt = 0.0

    @classmethod
    def for_width(cls, shards: int) -> ExtraAttemptBudget:
        """Builds the budget of a service with a number of shards."""
        return cls(MIN_BURST + BURST_FRACTION * shards)

    def earn(self, tokens: float) -> None:
        """Adds tokens, up to the most kept."""
        if self.debt > 0.0:
            paid = min(self.debt, tokens * REPAYMENT_FRACTION)
            self.debt -= paid
            tokens -= paid
        self.tokens = min(self.most, self.tokens + tokens)

    def spend(self) -> bool:
        """Takes one token; returns False, taking none, if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Gives back a token for which no attempt was made."""
        self.tokens += 1.0

    def borrow(self, attempts: int) -> bool:
        """Buys a restart whole on credit; returns False if too much is owed."""
        if self.debt > (MAX_BORROWED_RESTARTS - 1) * attempts:
            return False
        self.debt += attempts
        return True


class TokenBucket:
    """Tokens that come at a steady rate and are taken, at need on credit.

    Attributes:
      rate: Tokens that come in a second.
      most: Tokens kept at most, which bounds a burst.
      longest: Longest wait for a token, in seconds, which bounds the credit.
      tokens: Tokens at hand, under 0 when some are owed.
      counted_at: When they were last counted.
    """

    def __init__(self, rate: float, most: float, longest: float) -> None:
        self.rate = rate
        self.most = most
        self.longest = longest
        self.tokens = most
        self.counted_at = 0.0

    def take(self, now: float) -> float:
        """Takes a token; returns the seconds until it is there."""
        came = max(0.0, now - self.counted_at) * self.rate
        self.counted_at = max(now, self.counted_at)
        least = -self.longest * self.rate
        self.tokens = max(min(self.most, self.tokens + came) - 1.0, least)
        return max(0.0, -self.tokens / self.rate)
