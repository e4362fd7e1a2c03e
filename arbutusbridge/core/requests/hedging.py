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
"""Time between straggler checks while no reply time is known."""

MIN_REPLY_PROBABILITY = 0.5
"""Probability of a reply before the next check that justifies waiting."""

FIRST_CHECK_BUDGET_FRACTION = 0.5
"""Part of the extra load that the first straggler checks may spend."""

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
        """Builds the state of a service that has run no request yet."""
        max_shards = max(len(layout.shards) for layout in layouts)
        return cls(ExtraAttemptBudget.for_shard_count(max_shards))

    def check_interval(self, policy: Policy) -> float:
        """Returns the time between two straggler checks, in seconds.

        It is the policy's quantile of the reply times, or a higher one where
        hedges at the first check would exceed their part of the extra load.
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
        """Returns whether any open shard is likely to answer within a delay.

        Attempts at unavailable upstreams, sent for lack of another replica,
        are not counted.
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
    """Returns the shards whose latest attempt is overdue, heaviest first."""
    slow = [
        task
        for task in tasks
        if task.open_attempts
        and now - task.open_attempts[-1].sent_at >= interval * 0.99
    ]
    slow.sort(key=lambda task: -task.shard.weight)
    return slow
