"""Claims in the store by which a record runs at most once."""

from __future__ import annotations
