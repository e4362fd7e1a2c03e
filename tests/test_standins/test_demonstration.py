"""Test of the complete request path on loopback."""

from __future__ import annotations

import testtools

from arbutusbridge.standins.demonstration import run_demonstration


class DemonstrationTest(testtools.TestCase):
    """Runs the demonstration on real sockets."""

    def test_no_guarantee_is_broken(self) -> None:
        self.assertEqual(0, run_demonstration())
