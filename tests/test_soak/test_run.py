"""Short seeded soak runs of real instances, with seeds that failed before."""

from __future__ import annotations

import subprocess
import sys

import testtools

SHORT_RUN_ARGS = ("--faults", "5", "--seconds", "3")
"""Arguments of a run of about half a minute."""

SEEDS = ("2", "7", "9")
"""Runs with three data centres, and with a large one that divides searches. The
last two refused requests for the crashes of others before."""


class ShortRunTest(testtools.TestCase):
    """Guarantees hold in short runs; the runs of all seeds are concurrent."""

    def test_guarantees_hold(self) -> None:
        command = [sys.executable, "-m", "arbutusbridge", "soak"]
        runs = [
            subprocess.Popen(
                [*command, seed, *SHORT_RUN_ARGS],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            for seed in SEEDS
        ]
        for run in runs:
            output, _ = run.communicate()
            self.assertEqual(0, run.returncode, output)
            self.assertIn("0 promises broken", output)
