"""Merged replies of a search and the coverage computed from them."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Version
    from arbutusbridge.core.model import Layout, Shard


class MergedReplies:
    """Replies merged so far, at most one for each shard of a layout.

    Attributes:
      layout: Layout of all merged replies.
      version: Index version of all merged replies.
      answered: Names of the merged shards.
      weight: Total weight of the merged shards.
      hits: Hits of all merged shards, unordered.
    """

    def __init__(self, layout: Layout, version: Version) -> None:
        self.layout = layout
        self.version = version
        self.answered: set[str] = set()
        self.weight = 0
        self.hits: list[dict[str, Any]] = []

    def add(self, shard: Shard, hits: list[dict[str, Any]]) -> bool:
        """Merges one shard's hits.

        Returns:
          False if the shard was merged before.
        """
        if shard.name in self.answered:
            return False
        self.answered.add(shard.name)
        self.weight += shard.weight
        self.hits.extend(hits)
        return True

    @property
    def coverage(self) -> float:
        """Merged weight as a part of the total weight, 0 to 1."""
        return self.weight / self.layout.total_weight

    @property
    def missing(self) -> tuple[str, ...]:
        """Names of the shards without a merged reply."""
        answered = self.answered
        if len(answered) == len(self.layout.shards):
            return ()
        return tuple(
            shard.name
            for shard in self.layout.shards
            if shard.name not in answered
        )

    def top_hits(self, count: int) -> list[dict[str, Any]]:
        """Returns the hits of highest score, best first."""
        return heapq.nlargest(count, self.hits, key=hit_score)


def hit_score(hit: dict[str, Any]) -> tuple[float, str]:
    """Returns the sort key of a hit: its score, then its id."""
    score = hit.get("score", 0)
    number = float(score) if isinstance(score, int | float) else 0.0
    return (number, str(hit.get("id", "")))
