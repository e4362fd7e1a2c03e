"""Range of the statuses that HTTP has, and those that are promises."""

from __future__ import annotations

MIN_STATUS = 100
MAX_STATUS = 599
"""Bounds of valid statuses, both included."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise callers that a request has not run and will not; they
may repeat it then, whatever it does."""


def is_valid_status(status: int) -> bool:
    """Returns whether HTTP has a class of statuses that contains this one."""
    return MIN_STATUS <= status <= MAX_STATUS


def is_success_status(status: int) -> bool:
    """Returns whether a status reports that a request was served."""
    return 200 <= status < 300
