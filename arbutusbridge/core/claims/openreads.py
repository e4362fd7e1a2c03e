"""Store reads in flight."""

from __future__ import annotations

MAX_OPEN_READS = 8
"""Maximum number of open reads of one kind."""


class OpenReads:
    """Tracks open store reads and when another may be started.

    Attributes:
      due_times: Time by number of the read after which it is overdue and
        another may be started beside it.
      last_number: Number of the latest read.
    """

    def __init__(self) -> None:
        self.due_times: dict[int, float] = {}
        self.last_number = 0

    def can_add(self, now: float) -> bool:
        """Returns whether another read may be started.

        All open reads must be overdue, and there must not be too many.
        """
        overdue = all(now > due_at for due_at in self.due_times.values())
        return overdue and len(self.due_times) < MAX_OPEN_READS

    def add(self, due_at: float) -> int:
        """Adds an open read that is overdue at a time; returns its number."""
        self.last_number += 1
        self.due_times[self.last_number] = due_at
        return self.last_number

    def end(self, number: int, now: float) -> bool:
        """Ends a read; returns whether it was open.

        If it was open, all other overdue reads are assumed lost and removed.
        """
        was_open = self.due_times.pop(number, None) is not None
        if was_open:
            self.due_times = {
                n: due_at
                for n, due_at in self.due_times.items()
                if due_at > now
            }
        return was_open
