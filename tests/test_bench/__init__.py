"""Tests of the measurements."""

from __future__ import annotations
