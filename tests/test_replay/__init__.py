"""Tests of ``arbutusbridge.replay``."""

from __future__ import annotations
