"""Linearizability of a claim register's history, by exhaustive search."""

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
      change: What was asked.
      start: When it was asked.
      end: When it was answered, infinite for one that may yet take effect.
      verdict: The answer, None before it.
      standing: What the answer said that the register holds.
    """

    change: ClaimChange
    start: int
    end: float = math.inf
    verdict: ChangeOutcome | None = None
    standing: Claim | None = None

    @property
    def settled(self) -> bool:
        """Whether it must appear in the order."""
        return self.verdict in (ChangeOutcome.APPLIED, ChangeOutcome.TAKEN)


def step(operation: Operation, state: Claim | None) -> list[Claim | None]:
    """Returns the states that an operation may leave at its place."""
    entry = operation.change.key.entry
    entries = {} if state is None else {entry: state}
    decided = apply_change(entries, operation.change)
    after = entries.get(entry)
    if operation.verdict is ChangeOutcome.APPLIED:
        return [] if decided is ChangeOutcome.TAKEN else [after]
    if operation.verdict is ChangeOutcome.TAKEN:
        fits = decided is ChangeOutcome.TAKEN and operation.standing == state
        return [state] if fits else []
    return [after]


def is_linearizable(history: list[Operation]) -> bool:
    """Tells whether some order in real time explains every answer."""
    failed: set[tuple[frozenset[Operation], Claim | None]] = set()

    def search(left: frozenset[Operation], state: Claim | None) -> bool:
        if not any(operation.settled for operation in left):
            return True
        if (left, state) in failed:
            return False
        first_end = min(o.end for o in left)
        for operation in left:
            if operation.start > first_end:
                continue
            rest = left - {operation}
            if any(search(rest, after) for after in step(operation, state)):
                return True
        failed.add((left, state))
        return False

    return search(frozenset(history), None)
