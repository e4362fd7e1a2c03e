"""Timer service on a clock that only goes forward.

It counts the time in which the machine is suspended, so that deadlines, leases
and shares of limits end meanwhile as they do for others.
"""

from __future__ import annotations

import heapq
import time
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.daemon.events import due
from arbutusbridge.daemon.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable


logger = get_logger(__name__)

LONG_TURN_S = 1.0
"""Duration of a turn of the event loop that is logged; timers end each wait
within a quarter of it."""

PROCESSOR_SAMPLE_INTERVAL_S = 1.0
"""Minimum interval between two samples of the processor time."""


def boot_clock() -> float:
    """Returns the time since the machine started, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TimerService(BaseComponent):
    """Fires one ``due`` event per channel with the tokens of expired timers.

    Attributes:
      clock: Returns the time in seconds.
      wall_ms: Returns the wall-clock time in milliseconds since 1970.
      turn_began_at: When the present turn of the event loop began.
      sampled_at: When the processor time was last read.
      processor_s: Processor time of this process at that time, in seconds.
      count: Number of timers set so far; orders timers of the same time.
    """

    channel = "timers"

    def __init__(
        self,
        clock: Callable[[], float] = boot_clock,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.wall_ms = wall_ms
        self.turn_began_at = clock()
        self.sampled_at = self.turn_began_at
        self.processor_s = time.process_time()
        self.heap: list[tuple[float, int, str, Any]] = []
        self.count = 0

    def at(self, when: float, channel: str, token: Any) -> None:
        """Sets a timer for a channel at a time of the clock."""
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, channel, token))

    def after(self, seconds: float, channel: str, token: Any) -> None:
        """Sets a timer for a channel after a number of seconds."""
        self.at(self.clock() + seconds, channel, token)

    @handler("generate_events")
    def on_generate_events(self, event: Any) -> None:
        """Fires expired timers and limits the timeout of the poller."""
        now = self.clock()
        self.check_turn(now)
        expired: dict[str, list[Any]] = {}
        while self.heap and self.heap[0][0] <= now:
            _, _, channel, token = heapq.heappop(self.heap)
            expired.setdefault(channel, []).append(token)
        for channel, tokens in expired.items():
            self.fire(due(tokens), channel)
        if expired:
            event.reduce_time_left(0)
        elif self.heap:
            event.reduce_time_left(self.heap[0][0] - now)

    def check_turn(self, now: float) -> None:
        """Begins a turn; logs the previous one if it was long.

        The processor time tells a process that was busy from one that did not
        run.
        """
        turn_s = now - self.turn_began_at
        self.turn_began_at = now
        if now - self.sampled_at < PROCESSOR_SAMPLE_INTERVAL_S:
            return
        processor_s = time.process_time()
        if turn_s > LONG_TURN_S:
            logger.warning(
                "event loop delayed",
                extra={
                    "turn_ms": round(turn_s * 1000),
                    "processor_ms": round(
                        (processor_s - self.processor_s) * 1000
                    ),
                    "sampled_ms_ago": round((now - self.sampled_at) * 1000),
                },
            )
        self.sampled_at = now
        self.processor_s = processor_s
