"""Tests of arbutusbridge."""

from __future__ import annotations
