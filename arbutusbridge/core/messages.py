"""Requests, events and actions that pass between the core and its drivers.

Times are seconds on the driver's monotonic clock unless a name says
otherwise.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

Version = tuple[int, int]
"""A (layout epoch, snapshot id) pair; greater is newer."""


WATCH_TIMEOUT_S = 4
"""Time that a watch of the head waits at the store."""


class Outcome(enum.StrEnum):
    """How a caller's request ended."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    REFUSED_DUPLICATE = "refused_duplicate"
    QUARANTINED = "quarantined"


class ExecutionStatus(enum.StrEnum):
    """Whether any upstream can have run the request."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class ReplyKind(enum.IntEnum):
    """What became of one attempt at an upstream.

    LOST is a connection lost in mid-request. STALE is the close of a
    connection that had been idle, before any byte of a response: most
    likely the upstream's keep-alive limit, but the attempt may have run.
    """

    RESULT = 0
    NOT_HELD = 1
    SHED = 2
    LEAVING = 3
    EXPIRED = 4
    CANCELLED = 5
    LOST = 6
    NOT_SENT = 7
    INVALID = 8
    STALE = 9


NOT_RUN_KINDS = frozenset(
    {
        ReplyKind.NOT_HELD,
        ReplyKind.SHED,
        ReplyKind.LEAVING,
        ReplyKind.NOT_SENT,
    }
)
"""Replies that state that the upstream did not run the attempt."""

CRASH_KINDS = frozenset({ReplyKind.LOST, ReplyKind.STALE})
"""Ends of an attempt that may be the crash of its upstream."""


@dataclass(slots=True)
class SearchRequest:
    """A caller's search.

    Attributes:
      request_id: Unique at this instance.
      caller: Name that the rules know.
      service: Service to search.
      query: What to look for, passed on to upstreams unchanged.
      deadline_ms: The caller's own limit, or None for the rules' one.
    """

    request_id: str
    caller: str
    service: str
    query: Any
    deadline_ms: float | None = None


@dataclass(slots=True)
class RecordRequest:
    """A caller's non-idempotent request.

    Attributes:
      request_id: Unique at this instance.
      caller: Name that the rules know.
      service: Service that takes the record.
      key: Idempotency key, the same in each resend.
      record: What to record, passed on unchanged.
      resend: Whether the caller may have sent the key before.
      deadline_ms: The caller's own limit, or None for the rules' one.
      wall_ms: Wall time of arrival, in milliseconds since 1970.
    """

    request_id: str
    caller: str
    service: str
    key: str
    record: Any
    resend: bool = False
    deadline_ms: float | None = None
    wall_ms: int = 0


@dataclass(slots=True)
class Answer:
    """The one final answer to a caller's request.

    Attributes:
      request_id: The request that it answers.
      outcome: How the request ended.
      ran: Whether any upstream can have run it.
      snapshot: Index snapshot of every merged reply, None if none.
      epoch: Layout epoch of every merged reply, None if none.
      coverage: Weight answered over weight total, 0 to 1.
      missing: Names of shards without a merged reply.
      hits: Merged hits, best first.
      config_version: Configuration in force for the request.
      reason: Why it is not complete, empty when it is.
      remedy: What the caller can do, empty when nothing is needed.
      retry_after_ms: When to come back, None when it makes no difference.
      result: What the upstream returned for a record.
    """

    request_id: str
    outcome: Outcome
    ran: ExecutionStatus
    snapshot: int | None = None
    epoch: int | None = None
    coverage: float = 0.0
    missing: tuple[str, ...] = ()
    hits: list[dict[str, Any]] = field(default_factory=list)
    config_version: int = 0
    reason: str = ""
    remedy: str = ""
    retry_after_ms: int | None = None
    result: Any = None


@dataclass(slots=True)
class Attempt:
    """One sub-request for one shard at one upstream, an action.

    Attributes:
      attempt_id: Unique at this instance.
      request_id: The caller's request that it serves.
      upstream: Where to send it.
      service: Service searched or recorded to.
      shard: Shard asked.
      version: Epoch and snapshot that the reply must carry.
      deadline: When the reply stops being of use.
      body: What the upstream is asked.
      key: Idempotency key of a record, None for a search.
    """

    attempt_id: int
    request_id: str
    upstream: str
    service: str
    shard: str
    version: Version
    deadline: float
    body: Any
    key: str | None = None


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt and tell its upstream, an action."""

    attempt_id: int
    upstream: str


@dataclass(slots=True)
class SetTimer:
    """Call back at a time with a token, an action."""

    at: float
    token: tuple[str, str]


@dataclass(slots=True)
class Respond:
    """Give the caller its final answer, an action."""

    answer: Answer


@dataclass(slots=True)
class Decision:
    """One routing or placement decision for the log, an action.

    Attributes:
      request_id: The request decided about.
      what: Name of the decision.
      detail: Short named values, printed in order.
    """

    request_id: str
    what: str
    detail: dict[str, Any]


@dataclass(slots=True)
class StoreGet:
    """Read a key of the key-value store, an action."""

    token: tuple[str, str]
    key: str


@dataclass(slots=True)
class StoreCas:
    """Write a key if its index is still the one given, an action.

    Attributes:
      token: Names the result.
      key: Key to write.
      value: New value.
      index: Index that the key must have; 0 for a key that must be new.
    """

    token: tuple[str, str]
    key: str
    value: bytes
    index: int


class StoreStatus(enum.Enum):
    """What is known of a store call."""

    DONE = "done"
    CONFLICT = "conflict"
    HISTORY_LOST = "history_lost"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key of the store.

    Attributes:
      key: Its name.
      value: Its value, None once it was deleted.
      revision: The store's revision of its last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class StorePage:
    """Keys under a prefix, as of about one time.

    Attributes:
      items: The keys found.
      more: Whether there are more behind the last one.
      revision: The store's revision when it answered.
    """

    items: tuple[StoreItem, ...]
    more: bool
    revision: int


@dataclass(slots=True)
class StoreResult:
    """Result of a store call; UNAVAILABLE may have taken effect.

    Attributes:
      token: The call's token.
      status: What is known of it.
      value: Value read, None when the key does not exist.
      index: Index of the value read.
      page: Keys read, None for calls that read none.
    """

    token: tuple[str, str]
    status: StoreStatus
    value: bytes | None = None
    index: int = 0
    page: StorePage | None = None


class NoticeKind(enum.StrEnum):
    """What instances tell each other about requests and upstreams."""

    SUSPECT = "suspect"
    QUARANTINE = "quarantine"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Notice:
    """A finding that concerns every instance.

    Attributes:
      kind: What was found.
      subject: Fingerprint of a request, or name of an upstream.
      age: Seconds since it was found, at the time of telling.
    """

    kind: NoticeKind
    subject: str
    age: float = 0.0


@dataclass(slots=True)
class BroadcastNotice:
    """Spread a finding to the other instances, an action."""

    notice: Notice


Action = (
    Attempt
    | Cancel
    | SetTimer
    | Respond
    | Decision
    | StoreGet
    | StoreCas
    | BroadcastNotice
)


@dataclass(slots=True)
class Reply:
    """What an upstream, or the loss of its connection, said of an attempt.

    Attributes:
      attempt_id: The attempt, as echoed by the connection that carried it.
      upstream: Who said it.
      kind: What became of the attempt.
      version: Epoch and snapshot that the result was computed on.
      shard: Shard that the result covers.
      hits: Hits of the result.
      held: Versions of the service that the upstream can serve, or None.
      load: The upstream's own report, busy slots over slots, or None.
      retry_after_ms: When a shedding upstream asks to come back.
      result: A record's result.
      incarnation: Greater for each start of the upstream, 0 when not told.
    """

    attempt_id: int
    upstream: str
    kind: ReplyKind
    version: Version = (0, 0)
    shard: str = ""
    hits: list[dict[str, Any]] = field(default_factory=list)
    held: tuple[Version, ...] | None = None
    load: float | None = None
    retry_after_ms: float | None = None
    result: Any = None
    incarnation: int = 0
