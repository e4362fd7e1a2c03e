"""Tests of the timer service."""

from __future__ import annotations

import time
from unittest import mock

import testtools

from arbutusbridge.daemon.timers import TimerService


class ClockTest(testtools.TestCase):
    """The clock that deadlines, leases and shares are measured with."""

    # Guards against a machine that was suspended and goes on as if its requests
    # and permissions had that much more time.
    def test_time_in_suspension_counts(self) -> None:
        times = {time.CLOCK_MONOTONIC: 10.0, time.CLOCK_BOOTTIME: 15.0}
        with mock.patch("time.clock_gettime", side_effect=times.get):
            self.assertEqual(15.0, TimerService().clock())
