"""Attempts without a reply yet, and the progress of the shards of a query."""

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
      open_attempts: Attempts without a reply yet, the latest last.
      asked: Upstreams to which an attempt was sent.
      settled: Whether it is merged or given up.
      waiting: Whether it is held back for canaries or queued in backlogs.
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
      attempt_id: Id of the attempt.
      owner: Scatter or record that it belongs to.
      task: Shard that it asks for.
      view: Upstream that it was sent to.
      sent_at: Time at which it was sent.
    """

    attempt_id: int
    owner: Query | Record
    task: ShardTask
    view: UpstreamView
    sent_at: float


@dataclass(slots=True)
class QueuedShard:
    """A shard of a query that waits in the backlogs of its replicas."""

    query: Query
    task: ShardTask

    @property
    def live(self) -> bool:
        """Whether the shard still needs an attempt."""
        return self.task.waiting and not self.query.finished
