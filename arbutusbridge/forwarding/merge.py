"""Merging of fixed-size records from many shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16
"""Size of one record; a shorter remainder of a body is ignored."""


def split_records(body: bytes) -> list[bytes]:
    """Returns the complete records of a body."""
    end = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, end, RECORD_BYTES)
    ]


def merge_greatest(bodies: Iterable[bytes], max_records: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
      bodies: Records of each shard, in any order.
      max_records: Maximum number of records; duplicates count separately.
    """
    records: list[bytes] = []
    for body in bodies:
        records += split_records(body)
    # Sorting all of them is several times faster than keeping a heap.
    records.sort(reverse=True)
    return b"".join(records[:max_records])
