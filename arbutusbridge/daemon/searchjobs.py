"""Protocol of searches, records, probes and cancellations at upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Attempt, Reply, ReplyKind
from arbutusbridge.daemon.pool import JobProtocol
from arbutusbridge.daemon.subrequests import (
    StatusReport,
    decode_reply,
    decode_status_report,
    encode_attempt,
)

if TYPE_CHECKING:
    from arbutusbridge.core.model import Upstream
    from arbutusbridge.daemon.connection import Connection
    from arbutusbridge.daemon.pool import Job


@dataclass(frozen=True, slots=True)
class Probe:
    """Context of a job that requests the status of an upstream."""

    upstream: str


@dataclass(slots=True)
class Inbox:
    """Collects replies and reports of upstreams until the core receives them.

    Attributes:
      replies: Replies to attempts.
      reports: Status reports.
      idle_closed: Names of upstreams that closed their idle connections.
    """

    replies: list[Reply] = field(default_factory=list)
    reports: list[StatusReport] = field(default_factory=list)
    idle_closed: list[str] = field(default_factory=list)


def make_search_protocol(inbox: Inbox) -> JobProtocol:
    """Returns the protocol of searches and records.

    The context of a job is an attempt, a probe, or None for a cancellation.

    Args:
      inbox: Collects the replies and reports.
    """

    def encode(job: Job, _connection: Connection, now: float) -> bytes:
        attempt = job.context
        if type(attempt) is Attempt:
            return encode_attempt(attempt, job.data, now)
        return job.data

    def handle_response(
        job: Job, _connection: Connection, status: int, body: bytes
    ) -> bool:
        context = job.context
        if type(context) is Attempt:
            reply = decode_reply(
                context.upstream, context.attempt_id, status, body
            )
            if not job.abandoned:
                inbox.replies.append(reply)
            return reply.kind is not ReplyKind.INVALID
        if context is None:
            return True
        report = decode_status_report(context.upstream, body)
        if report is None:
            return False
        inbox.reports.append(report)
        return True

    def handle_failure(job: Job, kind: ReplyKind) -> None:
        attempt = job.context
        if type(attempt) is Attempt and not job.abandoned:
            reply = Reply(attempt.attempt_id, attempt.upstream, kind)
            inbox.replies.append(reply)

    def handle_idle_close(upstream: Upstream) -> None:
        inbox.idle_closed.append(upstream.name)

    return JobProtocol(
        encode, handle_response, handle_failure, handle_idle_close
    )
