"""Phases of a graceful shutdown, which drops no request."""

from __future__ import annotations

import enum
import math

FINISH_GRACE_PERIOD_S = 5.0
"""Grace period after the last open deadline before the process exits."""

FINAL_ANSWER_LEAD_S = 0.8
"""Time before the end of a bounded stop at which open requests are answered."""

EXIT_LEAD_S = 0.4
"""Time before the end of a bounded stop at which the process exits."""


class StopPhase(enum.StrEnum):
    """Phase of an instance between serving and its exit."""

    SERVING = "serving"
    WITHDRAWING = "withdrawing"
    FINISHING = "finishing"
    STOPPED = "stopped"


class StopStep(enum.Enum):
    """Step of a graceful shutdown that the instance has to carry out."""

    ANNOUNCE_LEAVING = enum.auto()
    CLOSE_AFTER_ANSWERS = enum.auto()
    STOP_LISTENING = enum.auto()
    CLOSE_IDLE = enum.auto()
    ANSWER_ALL = enum.auto()
    EXIT = enum.auto()


class StopPlan:
    """State machine of one graceful shutdown.

    While withdrawing, the instance reports that it is not ready and keeps
    serving whatever the load balancer still sends. It stops listening once
    the balancer must have noticed, and exits when no request is open.

    Attributes:
      balancer_lag_s: Seconds that the balancer may take to notice.
      max_duration_s: Maximum duration of the whole stop, in seconds.
      began_at: Time at which the stop began.
      answered_all: Whether the step ANSWER_ALL was returned.
      phase: Current phase.
      listens_until: Time at which the instance stops listening.
      exit_by: Time at which the instance exits even if work is open.
    """

    def __init__(
        self, balancer_lag_s: float, max_duration_s: float = math.inf
    ) -> None:
        self.balancer_lag_s = balancer_lag_s
        self.max_duration_s = max_duration_s
        self.began_at = 0.0
        self.answered_all = False
        self.phase = StopPhase.SERVING
        self.listens_until = 0.0
        self.exit_by = 0.0

    @property
    def final_answers_at(self) -> float:
        """Time at which all open requests get their final answers."""
        return self.began_at + self.max_duration_s - FINAL_ANSWER_LEAD_S

    @property
    def stopping(self) -> bool:
        """Whether a stop was requested."""
        return self.phase is not StopPhase.SERVING

    def begin(self, now: float) -> list[StopStep]:
        """Begins the stop and returns its first steps.

        A repeated call changes nothing and returns no steps.
        """
        if self.stopping:
            return []
        self.phase = StopPhase.WITHDRAWING
        self.began_at = now
        self.listens_until = now + self.balancer_lag_s
        return [StopStep.ANNOUNCE_LEAVING, StopStep.CLOSE_AFTER_ANSWERS]

    def tick(
        self, now: float, open_count: int, last_deadline: float
    ) -> list[StopStep]:
        """Advances the stop and returns the steps that are due.

        Args:
          now: Current time.
          open_count: Number of unfinished connections and requests.
          last_deadline: Latest deadline of an open request, or 0.
        """
        if self.phase is StopPhase.WITHDRAWING and now >= self.listens_until:
            self.phase = StopPhase.FINISHING
            self.exit_by = max(now, last_deadline) + FINISH_GRACE_PERIOD_S
            return [StopStep.STOP_LISTENING, StopStep.CLOSE_IDLE]
        if self.phase is not StopPhase.FINISHING:
            return []
        self.exit_by = max(self.exit_by, last_deadline + FINISH_GRACE_PERIOD_S)
        remaining_s = self.began_at + self.max_duration_s - now
        if open_count and now < self.exit_by and remaining_s > EXIT_LEAD_S:
            steps = [StopStep.CLOSE_IDLE]
            if remaining_s <= FINAL_ANSWER_LEAD_S and not self.answered_all:
                self.answered_all = True
                steps.append(StopStep.ANSWER_ALL)
            return steps
        self.phase = StopPhase.STOPPED
        return [StopStep.EXIT]
