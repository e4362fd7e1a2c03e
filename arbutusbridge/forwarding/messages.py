"""Actions of the forwarder, and outcomes of its attempts."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.forwarding.model import Announcement, CallerRequest
    from arbutusbridge.forwarding.terms import UpstreamTerms

Headers = list[tuple[bytes, bytes]]


class AttemptEnd(enum.Enum):
    """Outcome of an attempt at an upstream.

    RESULT is a success. FAILED is a failure reported by the upstream itself, so
    the request ran. SHED and MISDIRECTED state that it did not run; MISDIRECTED
    also that another upstream has the address now. After LOST it may have run:
    the connection closed or the reply was invalid. After NOT_SENT and WITHDRAWN
    it cannot have run; WITHDRAWN states that this instance decided not to send
    it.
    """

    RESULT = "result"
    FAILED = "failed"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    NOT_SENT = "not_sent"
    WITHDRAWN = "withdrawn"


UNSENT_ENDS = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.WITHDRAWN})
"""Outcomes of attempts that have not reached their upstream."""

NOT_RUN_ENDS = UNSENT_ENDS | {AttemptEnd.SHED, AttemptEnd.MISDIRECTED}
"""Outcomes after which the request certainly did not run."""

ARRIVED_ENDS = frozenset(AttemptEnd) - UNSENT_ENDS
"""Outcomes of attempts that may have reached their upstream."""


@dataclass(frozen=True, slots=True)
class Load:
    """Load that an upstream reported with a reply.

    Attributes:
      running: Requests being processed.
      waiting: Requests in its queue.
      slots: Requests that it processes concurrently.
      slowdown: Current processing time relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(slots=True)
class UpstreamReply:
    """Outcome of an attempt, with the reply of the upstream if there is one.

    Attributes:
      attempt_id: Id of the attempt.
      end: Kind of outcome.
      status: HTTP status, 0 without a response.
      headers: Headers to pass to the caller.
      body: Complete body.
      stamp: Signature of the response, empty if it has none.
      load: Reported load, None if there is none.
      detail: What went wrong, for the log.
      connection_closed: Whether the connection closed under the request, which
        happens when the upstream crashes.
      timed_out: Whether the upstream never replied.
      terms: What the upstream asks of the instances, None if it says nothing.
      leaving: Whether the upstream says that it is leaving.
      pause_s: Time for which the upstream wants no request from this instance,
        in seconds; 0 if it does not say so.
    """

    attempt_id: int
    end: AttemptEnd
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    stamp: str = ""
    load: Load | None = None
    detail: str = ""
    connection_closed: bool = False
    timed_out: bool = False
    terms: UpstreamTerms | None = None
    leaving: bool = False
    pause_s: float = 0.0


@dataclass(slots=True)
class SendAttempt:
    """Action: send a request to an upstream.

    Attributes:
      attempt_id: Id that is unique at this instance.
      upstream: Upstream to send it to.
      request: Request to send.
      deadline: When the reply stops being useful.
      idempotent: Whether it may be sent again after it may have run.
      fresh: Whether it needs a connection that was used or opened just now.
      send_by: Time after which it is not sent.
    """

    attempt_id: int
    upstream: Announcement
    request: CallerRequest
    deadline: float
    idempotent: bool
    fresh: bool = False
    send_by: float = math.inf


@dataclass(slots=True)
class PrepareConnection:
    """Action: prepare a connection to an upstream."""

    upstream: Announcement


@dataclass(slots=True)
class CheckUpstream:
    """Action: find out whether an upstream accepts a new connection."""

    upstream: Announcement


@dataclass(slots=True)
class ProbeUpstream:
    """Action: find out whether a new connection to an upstream stays open."""

    upstream: Announcement


@dataclass(slots=True)
class WithdrawAttempt:
    """Action: end an attempt unless it has been sent."""

    attempt_id: int


@dataclass(slots=True)
class DropAttempt:
    """Action: stop waiting for an attempt.

    Attributes:
      attempt_id: Id of the attempt.
      upstream: Upstream that it was sent to.
      close_connection: Whether to close its connection now, so that the
        upstream stops processing it; otherwise the reply is read and discarded.
    """

    attempt_id: int
    upstream: str
    close_connection: bool


class Refusal(enum.Enum):
    """Reason why an instance answers a request itself.

    The last three, CRASHED, LOST and TIMED_OUT, do not state whether the
    request ran; all others state that it did not run and will not run. CRASHED
    is the answer to a quarantined request that has been sent to an upstream.
    """

    NO_ROUTE = "no_route"
    UNAUTHORIZED = "unauthorized"
    OVER_QUOTA = "over_quota"
    OUTSIDE_HOMES = "outside_homes"
    INVALID_ENTRY = "invalid_entry"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    UNSERVABLE = "unservable"
    LIMITED = "limited"
    ISOLATED = "isolated"
    QUARANTINED = "quarantined"
    SUSPECT = "suspect"
    CRASHED = "crashed"
    LOST = "lost"
    TIMED_OUT = "timed_out"


UNCERTAIN_REFUSALS = frozenset(
    {Refusal.CRASHED, Refusal.LOST, Refusal.TIMED_OUT}
)
"""Refusals that do not state whether the request ran."""


@dataclass(slots=True)
class RelayedAnswer:
    """Action: answer a caller with the response of an upstream."""

    request: CallerRequest
    reply: UpstreamReply


@dataclass(slots=True)
class MergedAnswer:
    """Action: answer a caller with the merged replies of shards.

    Attributes:
      request: Request that is answered.
      stamps: Signatures of the merged replies.
      missing: Number of shards that are left out.
      body: Merged records.
    """

    request: CallerRequest
    stamps: list[str]
    missing: int
    body: bytes


@dataclass(slots=True)
class RefusedAnswer:
    """Action: answer a caller without the response of an upstream.

    Attributes:
      request: Request that is answered.
      refusal: Reason for the refusal.
      retry_after_s: Time after which to retry, None if a retry is pointless.
    """

    request: CallerRequest
    refusal: Refusal
    retry_after_s: float | None = None


@dataclass(slots=True)
class SetRequestTimer:
    """Action: set a timer for a request.

    Attributes:
      at: When the timer is due.
      request: Request to which it belongs.
    """

    at: float
    request: CallerRequest
