"""Store reads that did not end yet."""

from __future__ import annotations

MAX_OPEN_READS = 8
"""Reads of one kind that may be open at once."""


class OpenReads:
    """Reads of the store that did not end, and when the next may begin.

    Attributes:
      due: When each is overdue, so that another may be made beside it.
    """

    def __init__(self) -> None:
        self.due: dict[int, float] = {}
        self.last = 0

    def may_add(self, now: float) -> bool:
        """Tells whether all open ones are overdue and not too many."""
        overdue = all(now > due for due in self.due.values())
        return overdue and len(self.due) < MAX_OPEN_READS

    def add(self, due: float) -> int:
        """Opens a read; returns its number."""
        self.last += 1
        self.due[self.last] = due
        return self.last

    def end(self, number: int, now: float) -> bool:
        """Ends a read; returns whether it was open.

        The open ones that are overdue by now are taken for lost.
        """
        was_open = self.due.pop(number, None) is not None
        if was_open:
            self.due = {n: due for n, due in self.due.items() if due > now}
        return was_open
