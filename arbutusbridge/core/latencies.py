"""Quantiles of recent reply times."""

from __future__ import annotations

from bisect import bisect_left

BUCKETS_PER_DOUBLING = 4
MIN_BUCKET_S = 0.0002
BUCKET_COUNT = 72
BUCKET_BOUNDS_S = [
    MIN_BUCKET_S * 2 ** (i / BUCKETS_PER_DOUBLING) for i in range(BUCKET_COUNT)
]
"""Upper bounds of the latency buckets, in seconds; one more is open."""


class LatencyWindow:
    """Quantiles of recent reply times, in logarithmic buckets.

    Counts are halved when the window is full, so that old samples fade.
    """

    def __init__(self, full: int = 4096) -> None:
        self.full = full
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total = 0

    def add(self, seconds: float) -> None:
        """Counts one reply time."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total += 1
        if self.total >= self.full:
            self.counts = [count >> 1 for count in self.counts]
            self.total = sum(self.counts)

    def quantile(self, share: float) -> float | None:
        """Returns the upper bound of a quantile's bucket, None if empty."""
        if not self.total:
            return None
        wanted = share * self.total
        seen = 0
        for bound, count in zip(BUCKET_BOUNDS_S, self.counts, strict=False):
            seen += count
            if seen >= wanted:
                return bound
        return BUCKET_BOUNDS_S[-1]

    def share_over(self, seconds: float) -> float:
        """Returns the share of reply times above a bucket's bound."""
        if not self.total:
            return 0.0
        first = bisect_left(BUCKET_BOUNDS_S, seconds) + 1
        return sum(self.counts[first:]) / self.total

    def chance(self, age: float, within: float) -> float:
        """Returns how likely an attempt of an age is answered in a time."""
        over = self.share_over(age)
        if over <= 0.0:
            return 0.0
        return 1.0 - self.share_over(age + within) / over
