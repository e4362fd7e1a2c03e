"""Range of the statuses that HTTP has."""

from __future__ import annotations

MIN_STATUS = 100
MAX_STATUS = 599
"""Bounds of valid statuses, both included."""


def is_valid_status(status: int) -> bool:
    """Returns whether HTTP has a class of statuses that contains this one."""
    return MIN_STATUS <= status <= MAX_STATUS
