"""Command ``key``: print a new idempotency key."""

from __future__ import annotations

import secrets
import time

from arbutusbridge.core.keys import RANDOM_BIT_COUNT, make_key

NANOSECONDS_PER_MS = 1_000_000


def key() -> int:
    """Print a new idempotency key, for one record.

    Returns:
      The exit code.
    """
    now_ms = time.time_ns() // NANOSECONDS_PER_MS
    print(make_key(now_ms, secrets.randbits(RANDOM_BIT_COUNT)))
    return 0
