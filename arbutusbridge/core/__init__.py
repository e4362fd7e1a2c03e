"""Decision logic of the query tier, without sockets, clocks or files."""

from __future__ import annotations
