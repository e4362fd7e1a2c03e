"""Attempts, probes and cancellations as jobs of upstream connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Attempt, Reply, ReplyKind
from arbutusbridge.daemon.pool import JobProtocol
from arbutusbridge.daemon.subrequests import (
    StatusReport,
    decode_reply,
    decode_report,
    encode_attempt,
)

if TYPE_CHECKING:
    from arbutusbridge.core.model import Upstream
    from arbutusbridge.daemon.connection import Connection
    from arbutusbridge.daemon.pool import Job


@dataclass(frozen=True, slots=True)
class Probe:
    """Purpose of a job that asks an upstream for its status."""

    upstream: str


@dataclass(slots=True)
class Inbox:
    """What upstreams said since the core was last told.

    Attributes:
      replies: Replies to attempts.
      reports: Status reports.
      closed: Upstreams that closed the connections they kept idle.
    """

    replies: list[Reply] = field(default_factory=list)
    reports: list[StatusReport] = field(default_factory=list)
    closed: list[str] = field(default_factory=list)


def search_protocol(inbox: Inbox) -> JobProtocol:
    """Returns the protocol of searches and records, which fills an inbox.

    The purpose of a job is an attempt, a probe, or None for a cancellation.
    """

    def encode(job: Job, _connection: Connection, now: float) -> bytes:
        attempt = job.purpose
        if type(attempt) is Attempt:
            return encode_attempt(attempt, job.data, now)
        return job.data

    def take(
        job: Job, _connection: Connection, status: int, body: bytes
    ) -> bool:
        purpose = job.purpose
        if type(purpose) is Attempt:
            reply = decode_reply(
                purpose.upstream, purpose.attempt_id, status, body
            )
            if not job.abandoned:
                inbox.replies.append(reply)
            return reply.kind is not ReplyKind.INVALID
        if purpose is None:
            return True
        report = decode_report(purpose.upstream, body)
        if report is None:
            return False
        inbox.reports.append(report)
        return True

    def fail(job: Job, kind: ReplyKind) -> None:
        attempt = job.purpose
        if type(attempt) is Attempt and not job.abandoned:
            reply = Reply(attempt.attempt_id, attempt.upstream, kind)
            inbox.replies.append(reply)

    def closed(upstream: Upstream) -> None:
        inbox.closed.append(upstream.name)

    return JobProtocol(encode, take, fail, closed)
