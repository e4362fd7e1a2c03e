"""Tests of the measurement of configuration versions, at a small size."""

from __future__ import annotations

import testtools

from arbutusbridge.bench import config
from arbutusbridge.bench._publishing import VersionObserver, run_publishes
from arbutusbridge.core.configuration import Head
from arbutusbridge.replay.fleet import Fleet
from arbutusbridge.settings import compile_version


class ConfigBenchTest(testtools.TestCase):
    """Runs of a few publishes under faults."""

    def test_guarantees_hold_and_equal_seeds_give_equal_runs(self) -> None:
        run = run_publishes(5, 8)
        self.assertEqual(run, run_publishes(5, 8))
        self.assertEqual(0, run.seen.reverts)
        self.assertEqual(0, config.accepted_lost(run))
        self.assertEqual(0, config.double_winners(run))
        self.assertEqual(0, config.told_false(run))

    def test_return_to_an_older_version_is_counted(self) -> None:
        fleet = Fleet(1, compile_version)
        node = fleet.start("a", "north")
        observer = VersionObserver(fleet)
        for version in (2, 1):
            node.version_sync.head = Head(version, "p")
            fleet.run_until(fleet.now + 1.0)
        self.assertEqual(1, observer.seen.reverts)
