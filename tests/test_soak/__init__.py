"""Tests of the fault soak."""

from __future__ import annotations
