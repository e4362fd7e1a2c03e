"""Callers' searches and records, from admission to the final answer."""

from __future__ import annotations
