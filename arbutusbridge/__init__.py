"""Query tier over many shards, whose answers state their coverage."""

from __future__ import annotations

__version__ = "0.1.0"
