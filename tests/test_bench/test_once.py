"""Records under all faults, with the real decision and with false ones."""

from __future__ import annotations

import testtools

from arbutusbridge.bench import once
from arbutusbridge.core.claims.claimpage import (
    ChangeOutcome,
    ClaimState,
    apply_change,
)
from arbutusbridge.core.requests.records import Record

RECORDS = 400


def overwrite(entries, change):
    """Decides, falsely, that a claim replaces any other."""
    entries[change.key.entry] = change.claim


def skip(state):
    """Returns a false decision: one state need not be written."""

    def decide(entries, change):
        if change.claim.state is state:
            return ChangeOutcome.APPLIED
        return apply_change(entries, change)

    return decide


class OnceTest(testtools.TestCase):
    """What the measurement counts."""

    def count(self, apply=apply_change) -> dict[str, int]:
        return once.check(once.run(3, RECORDS, 50.0, 0.5, apply))

    def test_promises_hold_under_faults(self) -> None:
        counts = self.count()
        del counts["superseded_not_run_that_ran"]
        self.assertEqual({0}, set(counts.values()))

    def test_false_decisions_are_counted(self) -> None:
        self.assertNotEqual(0, self.count(overwrite)["double_runs"])
        self.assertNotEqual(
            0, self.count(skip(ClaimState.RAN))["lost_outcomes"]
        )
        self.assertNotEqual(
            0, self.count(skip(ClaimState.CLAIMED))["double_runs"]
        )
        self.patch(Record, "refuse_unclaimed", Record.refuse)
        self.assertNotEqual(0, self.count()["false_not_run"])
