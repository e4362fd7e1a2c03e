"""Pool of keep-alive connections to one upstream."""

from __future__ import annotations

import errno
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from arbutusbridge.core.messages import ReplyKind
from arbutusbridge.daemon.connection import Connection
from arbutusbridge.daemon.logs import get_logger

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub

logger = get_logger(__name__)

DEFAULT_MAX_CONNECTIONS = 3
"""Maximum connections to one upstream before its share is known."""

MAX_WAITING_JOBS = 1000
"""Maximum length of the queue of requests for one upstream."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout of the TCP connect to an upstream."""

REPLY_GRACE_S = 0.5
"""Time past an attempt's deadline after which its connection is closed."""

ABANDONED_REPLY_TIMEOUT_S = 1.0
"""Timeout of the reply to an abandoned request, after which the connection is
closed."""

STALE_IDLE_THRESHOLD_S = 1.0
"""Idle time from which the keep-alive timeout of an upstream may close a
connection."""

STALE_CLOSE_WINDOW_S = 0.05
"""Time after sending within which a close of a previously idle connection is
attributed to the keep-alive timeout of the upstream."""

CLOSE_LOG_INTERVAL_S = 1.0
"""Minimum interval of the log lines that state one reason why connections to
one upstream are closed."""


@dataclass(slots=True, eq=False)
class Job:
    """One request that is waiting for or sent on a pooled connection.

    Attributes:
      context: Object that the protocol encodes the request from and matches the
        response to; the pool does not use it.
      data: Further input from which the protocol encodes the request.
      send_deadline: Time from which the request is no longer sent.
      reply_deadline: Time at which the connection is closed if no reply has
        arrived.
      once: Whether the request must run at most once and not late.
      fresh: Whether it must not be sent on an idle connection.
      abandoned: Whether the reply is discarded.
      sent: Whether the request was written to a connection.
      requeued: Whether the request has been queued again because its connection
        was lost before any byte was sent.
      sent_at: Time at which the request was written to a connection.
      connection_idle_s: Time for which that connection had been idle before,
        in seconds.
    """

    context: Any
    data: bytes
    send_deadline: float
    reply_deadline: float
    once: bool = False
    fresh: bool = False
    abandoned: bool = False
    sent: bool = False
    requeued: bool = False
    sent_at: float = 0.0
    connection_idle_s: float = 0.0


@dataclass(slots=True)
class JobProtocol:
    """Encodes requests and handles their responses and failures.

    Attributes:
      encode: Returns the bytes of a job, given its connection and the time.
      handle_response: Handles the status and body that a job received on a
        connection; returns whether the response matches the request.
      handle_failure: Handles a job that has no response, with the kind of
        failure.
      handle_idle_close: Called with an upstream that closed its last connection
        although that was in use shortly before.
      handle_connect: Called with an upstream and whether it accepted a new
        connection.
      connect: Opens a connection.
      may_carry: Whether a connection may carry a job, given what it has carried
        before.
      connects: Number of connection attempts since the start of the process.
      unsolicited: Number of connections closed because of bytes that belong to
        no request.
      invalid_statuses: Number of connections closed because of a response with
        a status that HTTP does not have.
    """

    encode: Callable[[Job, Connection, float], bytes]
    handle_response: Callable[[Job, Connection, int, bytes], bool]
    handle_failure: Callable[[Job, ReplyKind], None]
    handle_idle_close: Callable[[Any], None] = lambda _upstream: None
    handle_connect: Callable[[Any, bool], None] = lambda _upstream, _ok: None
    connect: Callable[..., Connection] = Connection
    may_carry: Callable[[Connection, Job], bool] = lambda _connection, _job: (
        True
    )
    connects: int = 0
    unsolicited: int = 0
    invalid_statuses: int = 0


class Pool:
    """Pool of connections to one upstream.

    A queued request is sent on the first connection that becomes available,
    new or reused, and is only written to an established connection.

    Attributes:
      upstream: Upstream that the connections lead to.
      address: IP address and port.
      protocol: Encodes the requests and handles their responses.
      max_connections: Maximum number of connections of this instance.
      idle: Connections without a request.
      busy: Request in flight on each of the other connections.
      connecting: Connections not established yet, with the time at which the
        connect began.
      waiting: Queue of requests without a connection.
      retired: Whether the upstream was removed or has changed its address.
      logged_at: Time of the last log line about a close, by its text.
    """

    def __init__(
        self,
        upstream: Any,
        address: tuple[str, int],
        max_connections: int,
        hub: SocketHub,
        clock: Callable[[], float],
        protocol: JobProtocol,
    ) -> None:
        self.upstream = upstream
        self.address = address
        self.hub = hub
        self.clock = clock
        self.protocol = protocol
        self.max_connections = max_connections
        self.idle: list[Connection] = []
        self.busy: dict[Connection, Job] = {}
        self.connecting: dict[Connection, float] = {}
        self.waiting: deque[Job] = deque()
        self.retired = False
        self.logged_at: dict[str, float] = {}

    @property
    def size(self) -> int:
        """Number of connections, established or not."""
        return len(self.idle) + len(self.busy) + len(self.connecting)

    def set_max_connections(self, max_connections: int) -> None:
        """Sets the maximum; connections beyond it are closed once idle."""
        self.max_connections = max_connections
        while self.idle and self.size > max_connections:
            self.idle.pop().close()
        while self.waiting and self.size < max_connections:
            before = self.size
            self.connect_for_waiting()
            if self.size == before:
                break

    def submit(self, job: Job) -> None:
        """Sends a request on an idle connection, or queues it."""
        if job.once and is_past_send_deadline(job, self.clock()):
            self.fail(job, ReplyKind.NOT_SENT)
            return
        for connection in reversed(self.idle.copy()):
            if not job.fresh and not self.protocol.may_carry(connection, job):
                continue
            # Closes a connection that the upstream has closed or sent data on.
            connection.read()
            if not connection.alive:
                continue
            self.idle.remove(connection)
            if not job.fresh and connection.is_usable(self.clock()):
                self.write_job(connection, job)
                return
            connection.close()
        if len(self.waiting) >= MAX_WAITING_JOBS:
            self.drop_expired(self.clock())
        if self.retired or len(self.waiting) >= MAX_WAITING_JOBS:
            self.fail(job, ReplyKind.NOT_SENT)
            return
        self.waiting.append(job)
        self.connect_for_waiting()

    def ensure_connected(self, seconds: float) -> None:
        """Opens a connection unless the pool has one.

        Idle connections that will not stay usable are closed first.

        Args:
          seconds: Time for which an idle connection must stay usable.
        """
        until = self.clock() + seconds
        while self.idle and not self.idle[-1].is_usable(until):
            self.idle.pop().close()
        if not self.size and not self.retired:
            self.connect()

    def connect_for_waiting(self) -> None:
        """Opens a connection if the queue needs it and the limit allows.

        An idle one that may not carry what is queued makes room for it.
        """
        if len(self.connecting) >= len(self.waiting):
            return
        if self.size < self.max_connections:
            self.connect()
        elif self.idle:
            # Its end opens the other one.
            self.idle.pop(0).close()

    def connect(self) -> None:
        """Opens a connection."""
        self.protocol.connects += 1
        try:
            connection = self.protocol.connect(
                self.hub, self.address, self.on_response, self.on_closed
            )
        except OSError as err:
            if err.errno == errno.ECONNREFUSED:
                self.protocol.handle_connect(self.upstream, False)
            self.fail_waiting_if_unconnected()
            return
        connection.on_established = self.on_established
        self.connecting[connection] = self.clock()

    def write_job(self, connection: Connection, job: Job) -> None:
        """Writes a request to an established connection."""
        now = self.clock()
        self.busy[connection] = job
        job.sent = True
        job.sent_at = now
        job.connection_idle_s = now - connection.idle_since
        connection.send_request(self.protocol.encode(job, connection, now))

    def on_established(self, connection: Connection) -> None:
        """Puts an established connection to use."""
        del self.connecting[connection]
        self.protocol.handle_connect(self.upstream, True)
        self.release(connection)

    def release(self, connection: Connection) -> None:
        """Sends the next queued request on a connection, or keeps it idle."""
        if self.retired or self.size >= self.max_connections:
            connection.close()
            return
        now = self.clock()
        connection.idle_since = now
        if self.waiting:
            connection.read()
        if not connection.alive:
            return
        job = self.take_waiting(connection, now)
        if job is not None:
            self.write_job(connection, job)
        else:
            self.idle.append(connection)
            self.connect_for_waiting()

    def take_waiting(self, connection: Connection, now: float) -> Job | None:
        """Takes the first queued request that a connection may carry."""
        kept: list[Job] = []
        found = None
        while self.waiting and found is None:
            job = self.waiting.popleft()
            if job.abandoned:
                continue
            if is_past_send_deadline(job, now):
                self.fail(job, ReplyKind.NOT_SENT)
            elif self.protocol.may_carry(connection, job):
                found = job
            else:
                kept.append(job)
        self.waiting.extendleft(reversed(kept))
        return found

    def on_response(
        self, connection: Connection, status: int, body: bytes
    ) -> None:
        """Handles a response and reuses the connection if it is in sync."""
        job = self.busy.pop(connection, None)
        if job is None:
            connection.close()
            return
        in_sync = self.protocol.handle_response(job, connection, status, body)
        if in_sync and connection.is_reusable:
            self.release(connection)
        else:
            connection.close()

    def on_closed(self, connection: Connection) -> None:
        """Handles the loss of a connection."""
        self.record_early_close(connection)
        if self.connecting.pop(connection, None) is not None:
            if connection.refused:
                self.protocol.handle_connect(self.upstream, False)
            self.fail_waiting_if_unconnected()
            return
        job = self.busy.pop(connection, None)
        if job is not None:
            self.on_lost(connection, job)
        elif connection in self.idle:
            self.idle.remove(connection)
            idle_s = self.clock() - connection.idle_since
            if (
                idle_s < STALE_IDLE_THRESHOLD_S
                and not (self.idle or self.busy)
                and not connection.unsolicited
            ):
                self.protocol.handle_idle_close(self.upstream)
        self.connect_for_waiting()

    def record_early_close(self, connection: Connection) -> None:
        """Counts and logs a close because of what the upstream has sent."""
        if connection.invalid_status:
            self.protocol.invalid_statuses += 1
            self.log_close(
                "connection closed: received a response with an invalid status",
                self.protocol.invalid_statuses,
            )
        elif connection.unsolicited:
            self.protocol.unsolicited += 1
            self.log_close(
                "connection closed: received bytes that belong to no request",
                self.protocol.unsolicited,
            )

    def log_close(self, message: str, count: int) -> None:
        """Logs why connections are closed, at a limited rate."""
        now = self.clock()
        if now - self.logged_at.get(message, -math.inf) >= CLOSE_LOG_INTERVAL_S:
            self.logged_at[message] = now
            detail = {
                "address": f"{self.address[0]}:{self.address[1]}",
                "connections": count,
            }
            logger.warning(message, extra=detail)

    def on_lost(self, connection: Connection, job: Job) -> None:
        """Fails or requeues the request of a lost connection."""
        if connection.bytes_sent:
            self.fail(job, classify_loss(connection, job, self.clock()))
        elif job.requeued or self.retired:
            self.fail(job, ReplyKind.NOT_SENT)
        else:
            job.sent = False
            job.requeued = True
            self.waiting.appendleft(job)

    def fail_waiting_if_unconnected(self) -> None:
        """Fails all queued requests if no established connection is left.

        Idle ones do not count, since they may not carry what is queued.
        """
        if self.busy:
            return
        while self.waiting:
            self.fail(self.waiting.popleft(), ReplyKind.NOT_SENT)

    def fail(self, job: Job, kind: ReplyKind) -> None:
        """Reports a request without a response to the protocol."""
        self.protocol.handle_failure(job, kind)

    def abandon(self, job: Job) -> None:
        """Drops a queued request, or discards the reply to a sent one."""
        job.abandoned = True
        job.reply_deadline = min(
            job.reply_deadline, self.clock() + ABANDONED_REPLY_TIMEOUT_S
        )

    def close_connection_of(self, job: Job) -> None:
        """Closes the connection of a request, so that the upstream stops it."""
        for connection, busy_job in self.busy.items():
            if busy_job is job:
                connection.abort()
                return

    def sweep(self, now: float) -> None:
        """Closes overdue connections and drops expired requests."""
        for connection, started_at in list(self.connecting.items()):
            if now - started_at > CONNECT_TIMEOUT_S:
                connection.close()
        for connection, job in list(self.busy.items()):
            if now >= job.reply_deadline:
                connection.abort()
        self.drop_expired(now)

    def drop_expired(self, now: float) -> None:
        """Drops queued requests that are abandoned or past their deadline."""
        remaining: deque[Job] = deque()
        for job in self.waiting:
            if job.abandoned:
                continue
            if is_past_send_deadline(job, now):
                self.fail(job, ReplyKind.NOT_SENT)
            else:
                remaining.append(job)
        self.waiting = remaining

    def retire(self) -> None:
        """Closes unused connections; requests already sent may be answered."""
        self.retired = True
        while self.waiting:
            self.fail(self.waiting.popleft(), ReplyKind.NOT_SENT)
        for connection in [*self.idle, *self.connecting]:
            connection.close()


def is_past_send_deadline(job: Job, now: float) -> bool:
    """Returns whether the send deadline of a request has passed."""
    return now >= job.send_deadline


def classify_loss(connection: Connection, job: Job, now: float) -> ReplyKind:
    """Returns the reply kind of a request whose connection was lost.

    A close of a previously idle connection right after the request was
    written, before any byte of a response, is attributed to the keep-alive
    timeout of the upstream. It may also be a crash, so the request may have
    run.

    A response with an invalid status is no crash, and does not show that the
    request has not run.
    """
    if connection.invalid_status:
        return ReplyKind.INVALID
    if now >= job.reply_deadline:
        return ReplyKind.EXPIRED
    was_idle = job.connection_idle_s >= STALE_IDLE_THRESHOLD_S
    closed_soon = now - job.sent_at <= STALE_CLOSE_WINDOW_S
    if was_idle and closed_soon and not connection.response_started:
        return ReplyKind.STALE
    return ReplyKind.LOST
