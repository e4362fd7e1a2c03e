"""Selection of expired claims."""

from __future__ import annotations

import orjson

from arbutusbridge.core.keys import CLAIM_RETENTION_MS, GROUP_MS

CLAIMS_PREFIX = "claims/"
"""Prefix of the store keys of all claims; a group number follows."""

MAX_DELETED_GROUPS = 20
"""Maximum number of groups deleted in one sweep."""


def group_prefix(group: int) -> str:
    """Returns the prefix of the store keys of a group's pages."""
    return f"{CLAIMS_PREFIX}{group}/"


def expired_groups(groups: list[int], wall_ms: int) -> list[int]:
    """Returns the expired groups, the oldest first.

    A wrong wall clock must not expire live claims. Therefore a group must
    also be older than the newest group by the retention time: the keys that
    other instances accepted serve as a second clock.

    Args:
      groups: Numbers of the groups in the store.
      wall_ms: Wall-clock time, in milliseconds since 1970.
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
    """Decodes the store's list of group keys, in any namespace.

    Raises:
      ValueError: The body is not a list of group keys.
    """
    found = []
    for key in orjson.loads(body):
        before, marker, after = key.partition(CLAIMS_PREFIX)
        if not marker or not after.endswith("/"):
            raise ValueError(
                f"{before}{marker}{after} is not a group of claims"
            )
        found.append(int(after[:-1]))
    return found
