"""Tests of the decisions on forwarded requests."""

from __future__ import annotations
