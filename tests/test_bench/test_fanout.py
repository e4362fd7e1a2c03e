"""Tests of the fan-out measurement at a small size."""

from __future__ import annotations

import testtools

from arbutusbridge.bench import fanout


class FanoutTest(testtools.TestCase):
    """Runs the same code as at full size, without checking its bound."""

    def test_both_sides_are_measured(self) -> None:
        size = fanout.LoadSize(4, 3, 1, stock_requests=2)
        figures = fanout.measure(1, size).figures
        self.assertEqual(0, figures["incomplete"])
        self.assertGreater(figures["whole_path_us"], 0)
        self.assertGreater(figures["bare_loop_us"], 0)
