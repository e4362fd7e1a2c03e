"""Keep-alive connections to one upstream and the requests they carry."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from arbutusbridge.core.messages import ReplyKind
from arbutusbridge.daemon.connection import Connection

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub

DEFAULT_MAX_CONNECTIONS = 3
"""Connections to one upstream until shares are known."""

MAX_WAITING_JOBS = 1000
"""Requests that wait for a connection to one upstream at most."""

CONNECT_TIMEOUT_S = 1.0
"""Time after which a connection that is not made is given up."""

REPLY_GRACE_S = 0.5
"""Time past an attempt's deadline after which its connection is closed."""

ABANDONED_REPLY_TIMEOUT_S = 1.0
"""Time that an abandoned reply may take before its connection is closed."""


STALE_IDLE_THRESHOLD_S = 1.0
"""Idle time after which an upstream may be closing a connection."""

STALE_CLOSE_WINDOW_S = 0.05
"""Time in which the close of an idle connection meets a new request."""


@dataclass(slots=True, eq=False)
class Job:
    """One request for a connection.

    Attributes:
      context: What it is sent for, known to the protocol alone.
      data: What the protocol writes the request from.
      send_deadline: When it is too late to send it.
      reply_deadline: When its connection is closed if there is no reply yet.
      once: Whether it must not be run late or twice.
      abandoned: Whether its reply is to be dropped.
      sent: Whether it was written to a connection.
      requeued: Whether it already came back from a dead connection unsent.
      sent_at: When it was written to a connection.
      connection_idle_s: Time for which that connection had been idle, in
        seconds.
    """

    context: Any
    data: bytes
    send_deadline: float
    reply_deadline: float
    once: bool = False
    abandoned: bool = False
    sent: bool = False
    requeued: bool = False
    sent_at: float = 0.0
    connection_idle_s: float = 0.0


@dataclass(slots=True)
class JobProtocol:
    """How requests are written and what their ends mean.

    Attributes:
      encode: Returns a job's bytes for a connection as of a time.
      handle_response: Takes a job, its connection, status and body; returns
        whether the response fits the request.
      handle_failure: Takes a job without a response and what became of it.
      handle_idle_close: Takes the upstream that closed all connections it kept
        idle, though they were in use a moment ago.
      connect: Opens a connection.
      connects: Connections begun, ever.
    """

    encode: Callable[[Job, Connection, float], bytes]
    handle_response: Callable[[Job, Connection, int, bytes], bool]
    handle_failure: Callable[[Job, ReplyKind], None]
    handle_idle_close: Callable[[Any], None] = lambda _upstream: None
    connect: Callable[..., Connection] = Connection
    connects: int = 0


class Pool:
    """Connections to one upstream.

    A request waits for whichever comes first, a new connection or one that
    becomes free, and is only ever written to a connection that is made.

    Attributes:
      upstream: Whose connections they are.
      address: IP number and port.
      protocol: How its requests are written and read.
      max_connections: Connections that this instance may hold.
      idle: Connections without a request.
      busy: The request that each other connection carries.
      connecting: Connections not made yet, with the time they began.
      waiting: Requests without a connection.
      retired: Whether the upstream was removed or moved.
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

    @property
    def size(self) -> int:
        """Connections held, made or not."""
        return len(self.idle) + len(self.busy) + len(self.connecting)

    def set_max_connections(self, max_connections: int) -> None:
        """Sets the connections allowed; those too many go when idle."""
        self.max_connections = max_connections
        while self.idle and self.size > max_connections:
            self.idle.pop().close()
        while self.waiting and self.size < max_connections:
            before = self.size
            self.connect_for_waiting()
            if self.size == before:
                break

    def submit(self, job: Job) -> None:
        """Sends a request on an idle connection, or lets it wait."""
        if job.once and is_past_send_deadline(job, self.clock()):
            self.fail(job, ReplyKind.NOT_SENT)
            return
        while self.idle:
            connection = self.idle.pop()
            # What runs once must not meet a connection that the peer closed.
            sound = connection.is_usable(self.clock()) and (
                not job.once or connection.is_quiescent()
            )
            if sound:
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
        """Opens a connection unless one will be open for so long."""
        until = self.clock() + seconds
        while self.idle and not self.idle[-1].is_usable(until):
            self.idle.pop().close()
        if not self.size and not self.retired:
            self.connect()

    def connect_for_waiting(self) -> None:
        """Opens one more connection if requests wait and it is allowed."""
        if (
            len(self.connecting) < len(self.waiting)
            and self.size < self.max_connections
        ):
            self.connect()

    def connect(self) -> None:
        """Opens one more connection."""
        self.protocol.connects += 1
        try:
            connection = self.protocol.connect(
                self.hub, self.address, self.on_response, self.on_closed
            )
        except OSError:
            self.fail_waiting_if_unconnected()
            return
        connection.on_established = self.on_established
        self.connecting[connection] = self.clock()

    def write_job(self, connection: Connection, job: Job) -> None:
        """Writes a request to a connection that is made."""
        now = self.clock()
        self.busy[connection] = job
        job.sent = True
        job.sent_at = now
        job.connection_idle_s = now - connection.idle_since
        connection.send_request(self.protocol.encode(job, connection, now))

    def on_established(self, connection: Connection) -> None:
        """Takes a connection into use once it is made."""
        del self.connecting[connection]
        self.release(connection)

    def release(self, connection: Connection) -> None:
        """Gives a connection its next request, or keeps it idle."""
        if self.retired or self.size >= self.max_connections:
            connection.close()
            return
        now = self.clock()
        connection.idle_since = now
        while self.waiting:
            job = self.waiting.popleft()
            if job.abandoned:
                continue
            if is_past_send_deadline(job, now):
                self.fail(job, ReplyKind.NOT_SENT)
                continue
            self.write_job(connection, job)
            return
        self.idle.append(connection)

    def on_response(
        self, connection: Connection, status: int, body: bytes
    ) -> None:
        """Takes a response; the connection is reused if it is in step."""
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
        """Takes the loss of a connection."""
        if self.connecting.pop(connection, None) is not None:
            self.fail_waiting_if_unconnected()
            return
        job = self.busy.pop(connection, None)
        if job is not None:
            self.on_lost(connection, job)
        elif connection in self.idle:
            self.idle.remove(connection)
            idle_for = self.clock() - connection.idle_since
            if idle_for < STALE_IDLE_THRESHOLD_S and not (
                self.idle or self.busy
            ):
                self.protocol.handle_idle_close(self.upstream)
        self.connect_for_waiting()

    def on_lost(self, connection: Connection, job: Job) -> None:
        """Settles the request of a lost connection."""
        if connection.bytes_sent:
            self.fail(job, classify_loss(connection, job, self.clock()))
        elif job.requeued or self.retired:
            self.fail(job, ReplyKind.NOT_SENT)
        else:
            job.sent = False
            job.requeued = True
            self.waiting.appendleft(job)

    def fail_waiting_if_unconnected(self) -> None:
        """Fails what waits when no connection that was made is left."""
        if self.idle or self.busy:
            return
        while self.waiting:
            self.fail(self.waiting.popleft(), ReplyKind.NOT_SENT)

    def fail(self, job: Job, kind: ReplyKind) -> None:
        """Reports that a request has no response."""
        self.protocol.handle_failure(job, kind)

    def abandon(self, job: Job) -> None:
        """Drops a request, or the reply to it once it was sent."""
        job.abandoned = True
        job.reply_deadline = min(
            job.reply_deadline, self.clock() + ABANDONED_REPLY_TIMEOUT_S
        )

    def close_connection_of(self, job: Job) -> None:
        """Closes the connection that carries a request, so that it stops."""
        for connection, carried in self.busy.items():
            if carried is job:
                connection.close()
                return

    def sweep(self, now: float) -> None:
        """Closes connections that are overdue and drops what is too late."""
        for connection, began in list(self.connecting.items()):
            if now - began > CONNECT_TIMEOUT_S:
                connection.close()
        for connection, job in list(self.busy.items()):
            if now >= job.reply_deadline:
                connection.close()
        self.drop_expired(now)

    def drop_expired(self, now: float) -> None:
        """Drops waiting requests that are abandoned or too late."""
        standing: deque[Job] = deque()
        for job in self.waiting:
            if job.abandoned:
                continue
            if is_past_send_deadline(job, now):
                self.fail(job, ReplyKind.NOT_SENT)
            else:
                standing.append(job)
        self.waiting = standing

    def retire(self) -> None:
        """Closes the pool without cutting off what was sent."""
        self.retired = True
        while self.waiting:
            self.fail(self.waiting.popleft(), ReplyKind.NOT_SENT)
        for connection in [*self.idle, *self.connecting]:
            connection.close()


def is_past_send_deadline(job: Job, now: float) -> bool:
    """Tells whether it is too late to send a request."""
    return now >= job.send_deadline


def classify_loss(connection: Connection, job: Job, now: float) -> ReplyKind:
    """Tells what the loss of a connection says of the request it carried.

    The close of a connection that had been idle, right after a request was
    written and before any byte of a response, is taken for the upstream's
    keep-alive limit. It may as well be a crash: the request may have run.
    """
    if now >= job.reply_deadline:
        return ReplyKind.EXPIRED
    idle = job.connection_idle_s >= STALE_IDLE_THRESHOLD_S
    soon = now - job.sent_at <= STALE_CLOSE_WINDOW_S
    if idle and soon and not connection.response_started:
        return ReplyKind.STALE
    return ReplyKind.LOST
