"""Attempts on their way and the shards that they are for."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.core.model import Shard
    from arbutusbridge.core.requests.observations import UpstreamView
    from arbutusbridge.core.requests.query import Query
    from arbutusbridge.core.requests.records import Record


@dataclass(slots=True, eq=False)
class ShardTask:
    """Progress of one shard of a query.

    Attributes:
      shard: The shard.
      open_attempts: Attempts without a reply yet, the youngest last.
      asked: Upstreams already asked for it.
      settled: Whether it is merged or given up.
      waiting: Whether it is held back, or waits for room at a replica.
    """

    shard: Shard
    open_attempts: list[PendingAttempt] = field(default_factory=list)
    asked: list[UpstreamView] = field(default_factory=list)
    settled: bool = False
    waiting: bool = False


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """An attempt that has no reply yet.

    Attributes:
      attempt_id: The attempt.
      owner: Request that it serves.
      task: Shard that it is for.
      view: Upstream asked.
      sent_at: When it was handed over.
    """

    attempt_id: int
    owner: Query | Record
    task: ShardTask
    view: UpstreamView
    sent_at: float


@dataclass(slots=True)
class QueuedShard:
    """A shard of a query that waits for room at one of its replicas."""

    query: Query
    task: ShardTask

    @property
    def live(self) -> bool:
        """Whether the shard still wants an attempt."""
        return self.task.waiting and not self.query.finished
