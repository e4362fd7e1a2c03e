"""Virtual clock that calls functions in the order of their times."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class Schedule:
    """Priority queue of calls on virtual time.

    Attributes:
      now: Current virtual time, in seconds.
      pending_calls: Pending calls, ordered by time and then by sequence number.
      count: Sequence number of the latest call; calls due at the same time
        run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.pending_calls: list[
            tuple[float, int, Callable[..., object], Any]
        ] = []
        self.count = 0

    def at(
        self, when: float, function: Callable[..., object], *args: Any
    ) -> None:
        """Schedules a call at a time, or at the current one if that is past."""
        self.count += 1
        heapq.heappush(
            self.pending_calls,
            (max(when, self.now), self.count, function, args),
        )

    def after(
        self, seconds: float, function: Callable[..., object], *args: Any
    ) -> None:
        """Schedules a call after a number of seconds."""
        self.at(self.now + seconds, function, *args)

    def run_until(self, end: float) -> None:
        """Advances the clock to a time and makes every call due until then."""
        while self.pending_calls and self.pending_calls[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self.pending_calls)
            function(*args)
        self.now = max(self.now, end)
