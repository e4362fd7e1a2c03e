"""Claims in the store, which make a record run at most once."""

from __future__ import annotations
