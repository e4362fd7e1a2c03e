"""Quantiles of recent reply times, from a histogram."""

from __future__ import annotations

from bisect import bisect_left

BUCKETS_PER_DOUBLING = 4
MIN_BUCKET_BOUND_S = 0.0002
BUCKET_COUNT = 72
BUCKET_BOUNDS_S = [
    MIN_BUCKET_BOUND_S * 2 ** (i / BUCKETS_PER_DOUBLING)
    for i in range(BUCKET_COUNT)
]
"""Upper bounds of the buckets, in seconds; a last bucket has no bound."""


class LatencyWindow:
    """Histogram of recent reply times, with logarithmic buckets.

    All counts are halved when the window is full, so that old samples lose
    weight.

    Attributes:
      full: Number of samples at which the counts are halved.
      counts: Samples per bucket.
      total: Sum of the counts.
    """

    def __init__(self, full: int = 4096) -> None:
        self.full = full
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total = 0

    def add(self, seconds: float) -> None:
        """Adds one reply time, in seconds."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total += 1
        if self.total >= self.full:
            self.counts = [count >> 1 for count in self.counts]
            self.total = sum(self.counts)

    def quantile(self, share: float) -> float | None:
        """Returns the upper bound of the bucket that holds a quantile.

        Args:
          share: Fraction of the samples at or below the quantile, 0 to 1.

        Returns:
          The bound in seconds, or None if there are no samples. A sample in
          the unbounded last bucket counts as the greatest bound.
        """
        if not self.total:
            return None
        wanted = share * self.total
        seen = 0
        for bound, count in zip(BUCKET_BOUNDS_S, self.counts, strict=False):
            seen += count
            if seen >= wanted:
                return bound
        return BUCKET_BOUNDS_S[-1]

    def fraction_over(self, seconds: float) -> float:
        """Returns the fraction of reply times above a bucket's bound."""
        if not self.total:
            return 0.0
        first = bisect_left(BUCKET_BOUNDS_S, seconds) + 1
        return sum(self.counts[first:]) / self.total

    def reply_probability(self, age: float, within: float) -> float:
        """Returns the probability that an open attempt is answered in time.

        Args:
          age: Seconds since the attempt began.
          within: Seconds from now in which the reply has to arrive.
        """
        over = self.fraction_over(age)
        if over <= 0.0:
            return 0.0
        return 1.0 - self.fraction_over(age + within) / over
