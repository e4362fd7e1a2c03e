"""Components on circuits that connect the core to sockets, store and logs."""

from __future__ import annotations
