"""Short seeded soak runs of real instances, with seeds that failed before."""

from __future__ import annotations

import io
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from pathlib import Path

import testtools

SHORT_RUN_ARGS = ("--faults", "5", "--seconds", "3")
"""Arguments of a run of about half a minute."""

SEEDS = ("2", "7", "9")
"""Runs with three data centres, and with a large one that divides searches. The
last two refused requests for the crashes of others before."""


STATUS_SEEDS = ("2", "3")
"""Runs in which upstreams send invalid statuses in addition."""

UPDATE_SEEDS = ("11", "14")
"""Runs with instances of the production build, one with a large data centre
and one with three equal ones."""

ROOT = Path(__file__).parents[2]


def export_production(folder: Path) -> bool:
    """Exports the package of the build in production from the history.

    Returns:
      Whether the clone has that commit.
    """
    settings = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    exported = subprocess.run(
        ["git", "archive", settings["production"], "arbutusbridge"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if exported.returncode:
        return False
    with tarfile.open(fileobj=io.BytesIO(exported.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return True


class ShortRunTest(testtools.TestCase):
    """Guarantees hold in short runs; the runs of all seeds are concurrent."""

    def run_seeds(self, seeds: tuple[str, ...], *args: str) -> None:
        """Runs seeds and checks that no guarantee was broken."""
        command = [sys.executable, "-m", "arbutusbridge", "soak"]
        runs = [
            subprocess.Popen(
                [*command, seed, *SHORT_RUN_ARGS, *args],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            for seed in seeds
        ]
        for run in runs:
            output, _ = run.communicate()
            self.assertEqual(0, run.returncode, output)
            self.assertIn("0 promises broken", output)

    def test_guarantees_hold(self) -> None:
        self.run_seeds(SEEDS)

    # Guards against a caller that gets the invalid status of an upstream, or
    # waits for it, and against a request that runs twice after one.
    def test_guarantees_hold_with_invalid_statuses(self) -> None:
        self.run_seeds(STATUS_SEEDS, "--invalid-statuses")

    # Guards against an update that turns the instances into two fleets, and
    # against a roll-back that does.
    def test_guarantees_hold_beside_the_production_build(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            if not export_production(Path(folder)):
                print("The production build is not in the history: not run.")
                return
            self.run_seeds(UPDATE_SEEDS, "--other-build", folder)
