"""Tests of the timer service."""

from __future__ import annotations

import time
from unittest import mock

import logbook
import testtools

from arbutusbridge.daemon.timers import TimerService


class LongTurnTest(testtools.TestCase):
    """Turns of the event loop that keep callers waiting."""

    def test_long_turn_is_logged_with_its_processor_time(self) -> None:
        now = [100.0]
        timers = TimerService(lambda: now[0])
        with logbook.TestHandler() as handler:
            for step_s in (0.2, 0.9, 2.5):
                now[0] += step_s
                timers.check_turn(now[0])
        (line,) = handler.records
        self.assertEqual("event loop delayed", line.message)
        self.assertEqual(2500, line.extra["turn_ms"])
        self.assertLess(line.extra["processor_ms"], 2500)


class ClockTest(testtools.TestCase):
    """The clock that deadlines, leases and shares are measured with."""

    # Guards against a machine that was suspended and goes on as if its requests
    # and permissions had that much more time.
    def test_time_in_suspension_counts(self) -> None:
        times = {time.CLOCK_MONOTONIC: 10.0, time.CLOCK_BOOTTIME: 15.0}
        with mock.patch("time.clock_gettime", side_effect=times.get):
            self.assertEqual(15.0, TimerService().clock())
