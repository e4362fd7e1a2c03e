"""Fault soak: real instances under faults, watched by observers."""

from __future__ import annotations

from arbutusbridge.soak.observers import Breach, check
from arbutusbridge.soak.record import Record

__all__ = ["Breach", "Record", "check"]
