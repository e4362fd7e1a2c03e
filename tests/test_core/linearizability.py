"""Exhaustive check that a history of claim changes is linearizable."""

from __future__ import annotations

import math
from dataclasses import dataclass

from arbutusbridge.core.claims.claimpage import (
    ChangeOutcome,
    Claim,
    ClaimChange,
    apply_change,
)


@dataclass(eq=False)
class Operation:
    """One change of a history.

    Attributes:
      change: The change.
      start: Time at which it was submitted.
      end: Time at which its outcome was reported, infinite while it may
        still take effect.
      outcome: Its outcome, None while it is not known.
      existing: Entry of the page that was reported with the outcome.
    """

    change: ClaimChange
    start: int
    end: float = math.inf
    outcome: ChangeOutcome | None = None
    existing: Claim | None = None

    @property
    def settled(self) -> bool:
        """Whether the operation must appear in the order."""
        return self.outcome in (ChangeOutcome.APPLIED, ChangeOutcome.TAKEN)


def possible_states(
    operation: Operation, state: Claim | None
) -> list[Claim | None]:
    """Returns the possible entries of the page after an operation."""
    entry = operation.change.key.entry
    entries = {} if state is None else {entry: state}
    decision = apply_change(entries, operation.change)
    after = entries.get(entry)
    if operation.outcome is ChangeOutcome.APPLIED:
        return [] if decision is ChangeOutcome.TAKEN else [after]
    if operation.outcome is ChangeOutcome.TAKEN:
        is_consistent = (
            decision is ChangeOutcome.TAKEN and operation.existing == state
        )
        return [state] if is_consistent else []
    return [after]


def is_linearizable(history: list[Operation]) -> bool:
    """Returns whether an order that respects real time fits all outcomes."""
    failed: set[tuple[frozenset[Operation], Claim | None]] = set()

    def search(remaining: frozenset[Operation], state: Claim | None) -> bool:
        if not any(operation.settled for operation in remaining):
            return True
        if (remaining, state) in failed:
            return False
        first_end = min(o.end for o in remaining)
        for operation in remaining:
            if operation.start > first_end:
                continue
            rest = remaining - {operation}
            if any(
                search(rest, after)
                for after in possible_states(operation, state)
            ):
                return True
        failed.add((remaining, state))
        return False

    return search(frozenset(history), None)
