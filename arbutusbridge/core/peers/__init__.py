"""Messages between instances: gossip and the sync of configurations."""

from __future__ import annotations
