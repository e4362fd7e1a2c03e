"""Short seeded runs of real instances, and seeds that once failed."""

from __future__ import annotations

import subprocess
import sys

import testtools

SHORT_RUN_ARGS = ("--faults", "5", "--seconds", "3")
"""A run of half a minute."""

SEEDS = ("2", "7")
"""One of three data centres, one of a large one that divides searches."""


class ShortRunTest(testtools.TestCase):
    """Promises hold in short runs; the seeds play side by side."""

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
