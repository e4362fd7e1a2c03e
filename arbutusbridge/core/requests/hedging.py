"""When a query looks for stragglers, and which of them it asks again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.budget import ExtraAttemptBudget
from arbutusbridge.core.latencies import LatencyWindow

if TYPE_CHECKING:
    from arbutusbridge.core.model import Layout, Policy
    from arbutusbridge.core.requests.pending_attempts import ShardTask

MIN_CHECK_INTERVAL_S = 0.002
"""Shortest wait before a query looks for stragglers, in seconds."""

INITIAL_CHECK_INTERVAL_S = 0.05
"""Wait before the first look while no reply time is known, in seconds."""

MIN_REPLY_PROBABILITY = 0.5
"""Chance of a reply within a look's delay that is worth the delay."""

FIRST_CHECK_BUDGET_FRACTION = 0.5
"""Part of the extra load that the first looks of queries may spend."""

TYPICAL_LATENCY_QUANTILE = 0.5
"""Quantile of the reply times that stands for a usual reply."""


class HedgingState:
    """Reply times and budget of one service at one instance.

    Attributes:
      window: Reply times of late, over all upstreams.
      budget: Extra attempts at hand.
    """

    def __init__(self, budget: ExtraAttemptBudget) -> None:
        self.window = LatencyWindow()
        self.budget = budget

    @classmethod
    def for_layouts(cls, layouts: tuple[Layout, ...]) -> HedgingState:
        """Builds the pace of a service that has run nothing yet."""
        widest = max(len(layout.shards) for layout in layouts)
        return cls(ExtraAttemptBudget.for_width(widest))

    def check_interval(self, policy: Policy) -> float:
        """Returns the time between two looks for stragglers, in seconds.

        The quantile is the policy's, or a later one where the first look
        would else ask for more than its part of the extra load.
        """
        spared = 1.0 - policy.extra_load * FIRST_CHECK_BUDGET_FRACTION
        delay = self.window.quantile(max(policy.hedge_quantile, spared))
        if delay is None:
            return INITIAL_CHECK_INTERVAL_S
        return max(delay, MIN_CHECK_INTERVAL_S)

    def typical_latency(self) -> float:
        """Returns a usual reply time, in seconds."""
        return self.window.quantile(TYPICAL_LATENCY_QUANTILE) or 0.0

    def reply_is_likely(
        self, tasks: list[ShardTask], delay: float, now: float
    ) -> bool:
        """Tells whether some open shard is likely to answer in a delay.

        An attempt at an ejected upstream, made for want of another, is not.
        """
        for task in tasks:
            if not task.open_attempts:
                continue
            pending_attempt = task.open_attempts[-1]
            if not pending_attempt.view.is_available(now):
                continue
            age = now - pending_attempt.sent_at
            if self.window.chance(age, delay) >= MIN_REPLY_PROBABILITY:
                return True
        return False


def stragglers(
    tasks: list[ShardTask], delay: float, now: float
) -> list[ShardTask]:
    """Returns the shards whose youngest attempt is overdue, heaviest first."""
    slow = [
        task
        for task in tasks
        if task.open_attempts
        and now - task.open_attempts[-1].sent_at >= delay * 0.99
    ]
    slow.sort(key=lambda task: -task.shard.weight)
    return slow
