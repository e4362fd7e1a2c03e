"""Searches and records of callers, from admission to the final answer."""

from __future__ import annotations
