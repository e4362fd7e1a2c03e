"""Simulated external systems for tests, demonstrations and benchmarks."""

from __future__ import annotations
