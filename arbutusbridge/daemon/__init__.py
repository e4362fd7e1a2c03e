"""circuits components that connect the core to sockets, store and logs."""

from __future__ import annotations
