"""Fault injection soak: runs real instances and checks their guarantees."""

from __future__ import annotations

from arbutusbridge.soak.guarantees import Breach, check
from arbutusbridge.soak.record import SoakRecord

__all__ = ["Breach", "SoakRecord", "check"]
