"""Fault soak: real instances under faults, watched by observers."""

from __future__ import annotations

from arbutusbridge.soak.guarantees import Breach, check
from arbutusbridge.soak.record import SoakRecord

__all__ = ["Breach", "SoakRecord", "check"]
