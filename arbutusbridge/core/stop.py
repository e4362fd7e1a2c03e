"""Order of a planned stop, which cuts off no request."""

from __future__ import annotations

import enum
import math

FINISH_GRACE_PERIOD_S = 5.0
"""Time past the last open deadline after which the process ends anyway."""

FINAL_ANSWER_LEAD_S = 0.8
"""Time before a bounded stop is over at which open requests are answered."""

EXIT_LEAD_S = 0.4
"""Time before a bounded stop is over at which the process ends."""


class StopPhase(enum.StrEnum):
    """Where an instance is on its way from serving to its end."""

    SERVING = "serving"
    WITHDRAWING = "withdrawing"
    FINISHING = "finishing"
    STOPPED = "stopped"


class StopStep(enum.Enum):
    """What the instance has to do next."""

    ANNOUNCE_LEAVING = enum.auto()
    CLOSE_AFTER_ANSWERS = enum.auto()
    STOP_LISTENING = enum.auto()
    CLOSE_IDLE = enum.auto()
    ANSWER_ALL = enum.auto()
    EXIT = enum.auto()


class StopPlan:
    """Phases of one planned stop.

    While it withdraws, the instance says that it is not ready and goes on
    serving all that the balancer still sends. It stops listening when the
    balancer must have noticed, and ends when nothing is open any more.

    Attributes:
      lag: Seconds that the balancer may take to notice.
      most: Seconds that the whole stop may take.
      phase: Where the instance is.
    """

    def __init__(self, lag: float, most: float = math.inf) -> None:
        self.lag = lag
        self.most = most
        self.began = 0.0
        self.answered_all = False
        self.phase = StopPhase.SERVING
        self.listens_until = 0.0
        self.ends_by = 0.0

    @property
    def stopping(self) -> bool:
        """Whether a stop was asked for."""
        return self.phase is not StopPhase.SERVING

    def begin(self, now: float) -> list[StopStep]:
        """Begins the stop; asking again changes nothing."""
        if self.stopping:
            return []
        self.phase = StopPhase.WITHDRAWING
        self.began = now
        self.listens_until = now + self.lag
        return [StopStep.ANNOUNCE_LEAVING, StopStep.CLOSE_AFTER_ANSWERS]

    def tick(
        self, now: float, open_work: int, last_deadline: float
    ) -> list[StopStep]:
        """Returns what is due.

        Args:
          now: The time.
          open_work: Connections and requests that are not finished.
          last_deadline: The latest deadline of an open request, or 0.

        Returns:
          The steps to take now.
        """
        if self.phase is StopPhase.WITHDRAWING and now >= self.listens_until:
            self.phase = StopPhase.FINISHING
            self.ends_by = max(now, last_deadline) + FINISH_GRACE_PERIOD_S
            return [StopStep.STOP_LISTENING, StopStep.CLOSE_IDLE]
        if self.phase is not StopPhase.FINISHING:
            return []
        self.ends_by = max(self.ends_by, last_deadline + FINISH_GRACE_PERIOD_S)
        left = self.began + self.most - now
        if open_work and now < self.ends_by and left > EXIT_LEAD_S:
            steps = [StopStep.CLOSE_IDLE]
            if left <= FINAL_ANSWER_LEAD_S and not self.answered_all:
                self.answered_all = True
                steps.append(StopStep.ANSWER_ALL)
            return steps
        self.phase = StopPhase.STOPPED
        return [StopStep.EXIT]
