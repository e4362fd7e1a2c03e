"""Intervals between straggler checks, and the choice of shards to hedge."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.budget import ExtraAttemptBudget
from arbutusbridge.core.latencies import LatencyWindow

if TYPE_CHECKING:
    from arbutusbridge.core.model import Layout, Policy
    from arbutusbridge.core.requests.pending_attempts import ShardTask

MIN_CHECK_INTERVAL_S = 0.002
"""Minimum time between two straggler checks of a query."""

INITIAL_CHECK_INTERVAL_S = 0.05
"""Time between two straggler checks while no reply time is known."""

MIN_REPLY_PROBABILITY = 0.5
"""Minimum probability of a reply within one check interval that justifies
waiting for it."""

FIRST_CHECK_BUDGET_FRACTION = 0.5
"""Part of the allowed extra load that hedges at first straggler checks may
use."""

TYPICAL_LATENCY_QUANTILE = 0.5
"""Quantile of the reply times used as the typical reply time."""


class HedgingState:
    """Recent reply times and retry budget of one service at one instance.

    Attributes:
      window: Recent reply times over all upstreams.
      budget: Budget of extra attempts.
    """

    def __init__(self, budget: ExtraAttemptBudget) -> None:
        self.window = LatencyWindow()
        self.budget = budget

    @classmethod
    def for_layouts(cls, layouts: tuple[Layout, ...]) -> HedgingState:
        """Builds the initial state of a service with the given layouts."""
        max_shards = max(len(layout.shards) for layout in layouts)
        return cls(ExtraAttemptBudget.for_shard_count(max_shards))

    def check_interval(self, policy: Policy) -> float:
        """Returns the time between two straggler checks, in seconds.

        It is the policy's quantile of the reply times. A higher quantile is
        used if hedges at the first check would exceed their part of the
        extra load.
        """
        min_quantile = 1.0 - policy.extra_load * FIRST_CHECK_BUDGET_FRACTION
        interval = self.window.quantile(
            max(policy.hedge_quantile, min_quantile)
        )
        if interval is None:
            return INITIAL_CHECK_INTERVAL_S
        return max(interval, MIN_CHECK_INTERVAL_S)

    def typical_latency(self) -> float:
        """Returns the typical reply time, in seconds, 0 if unknown."""
        return self.window.quantile(TYPICAL_LATENCY_QUANTILE) or 0.0

    def is_reply_likely(
        self, tasks: list[ShardTask], interval: float, now: float
    ) -> bool:
        """Returns whether a reply for any shard is likely within an interval.

        Attempts at unavailable upstreams do not count. They are sent only if
        a shard has no other replica.

        Args:
          tasks: Open shards.
          interval: Seconds from now in which the reply must arrive.
          now: The time.
        """
        for task in tasks:
            if not task.open_attempts:
                continue
            pending_attempt = task.open_attempts[-1]
            if not pending_attempt.view.is_available(now):
                continue
            age = now - pending_attempt.sent_at
            if (
                self.window.reply_probability(age, interval)
                >= MIN_REPLY_PROBABILITY
            ):
                return True
        return False


def find_stragglers(
    tasks: list[ShardTask], interval: float, now: float
) -> list[ShardTask]:
    """Returns the shards whose latest attempt is overdue, heaviest first.

    Args:
      tasks: Open shards.
      interval: Age in seconds from which an attempt is overdue.
      now: The time.
    """
    slow = [
        task
        for task in tasks
        if task.open_attempts
        and now - task.open_attempts[-1].sent_at >= interval * 0.99
    ]
    slow.sort(key=lambda task: -task.shard.weight)
    return slow
