"""Tests of the measurement of records, with correct and wrong decisions.

A wrong decision on a claim change has to show up in the counts.
"""

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


def overwrite_claim(entries, change):
    """Applies a change although another claim exists, which is wrong."""
    entries[change.key.entry] = change.claim


def skip_claims_in_state(state):
    """Returns a wrong decision that never writes claims of one state."""

    def decide(entries, change):
        if change.claim.state is state:
            return ChangeOutcome.APPLIED
        return apply_change(entries, change)

    return decide


class OnceTest(testtools.TestCase):
    """Counts of runs with correct and with wrong decisions."""

    def count(self, apply=apply_change) -> dict[str, int]:
        return once.check(once.run(3, RECORDS, 50.0, 0.5, apply))

    def test_guarantees_hold_under_faults(self) -> None:
        counts = self.count()
        del counts["superseded_not_run_that_ran"]
        self.assertEqual({0}, set(counts.values()))

    def test_wrong_decisions_are_counted(self) -> None:
        self.assertNotEqual(0, self.count(overwrite_claim)["double_runs"])
        self.assertNotEqual(
            0, self.count(skip_claims_in_state(ClaimState.RAN))["lost_outcomes"]
        )
        self.assertNotEqual(
            0,
            self.count(skip_claims_in_state(ClaimState.CLAIMED))["double_runs"],
        )
        self.patch(Record, "refuse_unclaimed", Record.refuse)
        self.assertNotEqual(0, self.count()["false_not_run"])
