"""Actions of the forwarder and what upstreams make of its attempts."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.forwarding.model import Announcement, CallerRequest

Headers = list[tuple[bytes, bytes]]


class AttemptEnd(enum.Enum):
    """What became of one attempt at an upstream.

    RESULT is a success. FAILED is a failure that the upstream itself
    answered, so it ran. SHED and MISDIRECTED state that it did not run; the
    second that another upstream has the address now. LOST may have run: the
    connection ended or the reply was no valid one. NOT_SENT can't have run.
    """

    RESULT = "result"
    FAILED = "failed"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    NOT_SENT = "not_sent"


NOT_RUN_ENDS = frozenset(
    {AttemptEnd.SHED, AttemptEnd.MISDIRECTED, AttemptEnd.NOT_SENT}
)
"""Ends after which the attempt surely never runs."""

ARRIVED_ENDS = frozenset(AttemptEnd) - {AttemptEnd.NOT_SENT}
"""Ends of attempts that may have reached their upstream."""


@dataclass(frozen=True, slots=True)
class Load:
    """Load that an upstream reported with a reply.

    Attributes:
      running: Requests that it worked on.
      waiting: Requests in its queue.
      slots: Requests that it works on at once.
      pace: Time that work takes there now, relative to the usual time.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


@dataclass(slots=True)
class UpstreamReply:
    """The end of one attempt.

    Attributes:
      attempt_id: The attempt.
      end: What became of it.
      status: HTTP status, 0 without a response.
      headers: Headers to hand to the caller.
      body: Whole body.
      stamp: The upstream's signature of the response, empty without one.
      load: Load that it reported, None if it told none.
      detail: What was wrong, for the log.
    """

    attempt_id: int
    end: AttemptEnd
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    stamp: str = ""
    load: Load | None = None
    detail: str = ""


@dataclass(slots=True)
class SendAttempt:
    """Send a request to an upstream, an action.

    Attributes:
      attempt_id: Unique at this instance.
      upstream: Where to send it.
      request: What to send.
      deadline: When the reply stops being of use.
      repeatable: Whether it may be sent again if it may have run.
    """

    attempt_id: int
    upstream: Announcement
    request: CallerRequest
    deadline: float
    repeatable: bool


@dataclass(slots=True)
class PrepareConnection:
    """Have a connection to an upstream ready, an action."""

    upstream: Announcement


@dataclass(slots=True)
class DropAttempt:
    """Stop waiting for an attempt, an action.

    Attributes:
      attempt_id: The attempt.
      upstream: Where it was sent.
      at_once: Whether to close its connection now, so that the upstream
        stops working on it; else its reply is read and forgotten.
    """

    attempt_id: int
    upstream: str
    at_once: bool


class Refusal(enum.Enum):
    """Why a request gets an answer of the instance's own.

    The first three state that it did not run and never will.
    """

    NO_ROUTE = "no_route"
    NOT_READY = "not_ready"
    UNSERVABLE = "unservable"
    LOST = "lost"
    TIMED_OUT = "timed_out"


@dataclass(slots=True)
class RelayedAnswer:
    """Answer a caller with an upstream's own response, an action."""

    request: CallerRequest
    reply: UpstreamReply


@dataclass(slots=True)
class MergedAnswer:
    """Answer a caller with the merged replies of shards, an action.

    Attributes:
      request: What is answered.
      stamps: Signatures of the replies that are merged.
      missing: Shards that are left out.
      body: The merged records.
    """

    request: CallerRequest
    stamps: list[str]
    missing: int
    body: bytes


@dataclass(slots=True)
class RefusedAnswer:
    """Answer a caller without any upstream's response, an action.

    Attributes:
      request: What is answered.
      refusal: Why.
      retry_after_s: When to come back, None when it makes no difference.
    """

    request: CallerRequest
    refusal: Refusal
    retry_after_s: float | None = None


@dataclass(slots=True)
class SetTimer:
    """Call back for a request at a time, an action."""

    at: float
    request: CallerRequest
