"""Merge of fixed-size records from many shards."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16
"""Size of one record; a shorter rest of a body is no record."""


def split_records(body: bytes) -> list[bytes]:
    """Returns the whole records of a body."""
    end = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, end, RECORD_BYTES)
    ]


def greatest(bodies: Iterable[bytes], most: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
      bodies: Records of each shard in any order.
      most: Records returned at most; equal ones all count.
    """
    records: list[bytes] = []
    for body in bodies:
        records += heapq.nlargest(most, split_records(body))
    return b"".join(heapq.nlargest(most, records))
