"""What instances tell each other, and how it spreads."""

from __future__ import annotations
