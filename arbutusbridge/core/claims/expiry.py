"""Choice of the claims that are too old to matter."""

from __future__ import annotations

import orjson

from arbutusbridge.core.keys import CLAIM_RETENTION_MS, GROUP_MS

CLAIMS_PREFIX = "claims/"
"""Start of the store keys of all claims; a group number follows."""

MAX_DELETED_GROUPS = 20
"""Groups deleted in one sweep at most."""


def group_key(group: int) -> str:
    """Returns the start of the store keys of a group's pages."""
    return f"{CLAIMS_PREFIX}{group}/"


def expired_groups(groups: list[int], wall_ms: int) -> list[int]:
    """Returns the groups that no instance can act on, the oldest first.

    A wall clock that is wrong must not expire live claims, so a group also
    has to be as much older than the newest one: a key that was accepted
    elsewhere is a second clock.

    Args:
      groups: Numbers of the groups that the store holds.
      wall_ms: Wall time, in milliseconds since 1970.
    """
    if not groups:
        return []
    latest_ms = min(wall_ms, max(groups) * GROUP_MS)
    expired = [
        group
        for group in groups
        if (group + 1) * GROUP_MS + CLAIM_RETENTION_MS <= latest_ms
    ]
    return sorted(expired)[:MAX_DELETED_GROUPS]


def decode_groups(body: bytes) -> list[int]:
    """Reads the store's list of the keys of groups, in any namespace.

    Raises:
      ValueError: It is no such list.
    """
    found = []
    for key in orjson.loads(body):
        before, marker, after = key.partition(CLAIMS_PREFIX)
        if not marker or not after.endswith("/"):
            raise ValueError(f"{before}{marker}{after} is no group of claims")
        found.append(int(after[:-1]))
    return found
