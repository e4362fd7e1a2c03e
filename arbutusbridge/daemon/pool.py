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

DEFAULT_CONNECTIONS = 3
"""Connections to one upstream until shares are known."""

MOST_WAITING = 1000
"""Requests that wait for a connection to one upstream at most."""

CONNECT_SECONDS = 1.0
"""Time after which a connection that is not made is given up."""

REPLY_GRACE_SECONDS = 0.5
"""Time past an attempt's deadline after which its connection is closed."""

DRAIN_SECONDS = 1.0
"""Time that an abandoned reply may take before its connection is closed."""


STALE_IDLE_SECONDS = 1.0
"""Idle time after which an upstream may be closing a connection."""

STALE_CLOSE_SECONDS = 0.05
"""Time in which the close of an idle connection meets a new request."""


@dataclass(slots=True, eq=False)
class Job:
    """One request for a connection.

    Attributes:
      purpose: What it is sent for, known to the protocol alone.
      data: What the protocol writes the request from.
      latest: When it is too late to send it.
      expires: When its connection is closed if there is no reply yet.
      once: Whether it must not be run late or twice.
      abandoned: Whether its reply is to be dropped.
      sent: Whether it was written to a connection.
      requeued: Whether it already came back from a dead connection unsent.
      handed_at: When it was written to a connection.
      found_idle: Time for which that connection had been idle, in seconds.
    """

    purpose: Any
    data: bytes
    latest: float
    expires: float
    once: bool = False
    abandoned: bool = False
    sent: bool = False
    requeued: bool = False
    handed_at: float = 0.0
    found_idle: float = 0.0


@dataclass(slots=True)
class JobProtocol:
    """How requests are written and what their ends mean.

    Attributes:
      encode: Returns a job's bytes for a connection as of a time.
      take: Takes a job, its connection, status and body; returns whether the
        response fits the request.
      fail: Takes a job without a response and what became of it.
      closed: Takes the upstream that closed all connections it kept idle,
        though they were in use a moment ago.
      connect: Opens a connection.
      connects: Connections begun, ever.
    """

    encode: Callable[[Job, Connection, float], bytes]
    take: Callable[[Job, Connection, int, bytes], bool]
    fail: Callable[[Job, ReplyKind], None]
    closed: Callable[[Any], None] = lambda _upstream: None
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
      most: Connections that this instance may hold.
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
        most: int,
        hub: SocketHub,
        clock: Callable[[], float],
        protocol: JobProtocol,
    ) -> None:
        self.upstream = upstream
        self.address = address
        self.hub = hub
        self.clock = clock
        self.protocol = protocol
        self.most = most
        self.idle: list[Connection] = []
        self.busy: dict[Connection, Job] = {}
        self.connecting: dict[Connection, float] = {}
        self.waiting: deque[Job] = deque()
        self.retired = False

    @property
    def size(self) -> int:
        """Connections held, made or not."""
        return len(self.idle) + len(self.busy) + len(self.connecting)

    def set_most(self, most: int) -> None:
        """Sets the connections allowed; those too many go when idle."""
        self.most = most
        while self.idle and self.size > most:
            self.idle.pop().close()
        while self.waiting and self.size < most:
            before = self.size
            self.connect_for_waiting()
            if self.size == before:
                break

    def submit(self, job: Job) -> None:
        """Sends a request on an idle connection, or lets it wait."""
        if job.once and is_late(job, self.clock()):
            self.fail(job, ReplyKind.NOT_SENT)
            return
        while self.idle:
            connection = self.idle.pop()
            # What runs once must not meet a connection that the peer closed.
            sound = connection.usable(self.clock()) and (
                not job.once or connection.is_quiet()
            )
            if sound:
                self.hand(connection, job)
                return
            connection.close()
        if len(self.waiting) >= MOST_WAITING:
            self.drop_expired(self.clock())
        if self.retired or len(self.waiting) >= MOST_WAITING:
            self.fail(job, ReplyKind.NOT_SENT)
            return
        self.waiting.append(job)
        self.connect_for_waiting()

    def prepare(self, seconds: float) -> None:
        """Opens a connection unless one will be open for so long."""
        until = self.clock() + seconds
        while self.idle and not self.idle[-1].usable(until):
            self.idle.pop().close()
        if not self.size and not self.retired:
            self.connect()

    def connect_for_waiting(self) -> None:
        """Opens one more connection if requests wait and it is allowed."""
        if len(self.connecting) < len(self.waiting) and self.size < self.most:
            self.connect()

    def connect(self) -> None:
        """Opens one more connection."""
        self.protocol.connects += 1
        try:
            connection = self.protocol.connect(
                self.hub, self.address, self.on_response, self.on_closed
            )
        except OSError:
            self.fail_waiting_if_alone()
            return
        connection.on_made = self.on_made
        self.connecting[connection] = self.clock()

    def hand(self, connection: Connection, job: Job) -> None:
        """Writes a request to a connection that is made."""
        now = self.clock()
        self.busy[connection] = job
        job.sent = True
        job.handed_at = now
        job.found_idle = now - connection.idle_since
        connection.start(self.protocol.encode(job, connection, now))

    def on_made(self, connection: Connection) -> None:
        """Takes a connection into use once it is made."""
        del self.connecting[connection]
        self.release(connection)

    def release(self, connection: Connection) -> None:
        """Gives a connection its next request, or keeps it idle."""
        if self.retired or self.size >= self.most:
            connection.close()
            return
        now = self.clock()
        connection.idle_since = now
        while self.waiting:
            job = self.waiting.popleft()
            if job.abandoned:
                continue
            if is_late(job, now):
                self.fail(job, ReplyKind.NOT_SENT)
                continue
            self.hand(connection, job)
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
        in_step = self.protocol.take(job, connection, status, body)
        if in_step and connection.reusable:
            self.release(connection)
        else:
            connection.close()

    def on_closed(self, connection: Connection) -> None:
        """Takes the loss of a connection."""
        if self.connecting.pop(connection, None) is not None:
            self.fail_waiting_if_alone()
            return
        job = self.busy.pop(connection, None)
        if job is not None:
            self.on_lost(connection, job)
        elif connection in self.idle:
            self.idle.remove(connection)
            idle_for = self.clock() - connection.idle_since
            if idle_for < STALE_IDLE_SECONDS and not (self.idle or self.busy):
                self.protocol.closed(self.upstream)
        self.connect_for_waiting()

    def on_lost(self, connection: Connection, job: Job) -> None:
        """Settles the request of a lost connection."""
        if connection.bytes_sent:
            self.fail(job, kind_of_loss(connection, job, self.clock()))
        elif job.requeued or self.retired:
            self.fail(job, ReplyKind.NOT_SENT)
        else:
            job.sent = False
            job.requeued = True
            self.waiting.appendleft(job)

    def fail_waiting_if_alone(self) -> None:
        """Fails what waits when no connection that was made is left."""
        if self.idle or self.busy:
            return
        while self.waiting:
            self.fail(self.waiting.popleft(), ReplyKind.NOT_SENT)

    def fail(self, job: Job, kind: ReplyKind) -> None:
        """Reports that a request has no response."""
        self.protocol.fail(job, kind)

    def abandon(self, job: Job) -> None:
        """Drops a request, or the reply to it once it was sent."""
        job.abandoned = True
        job.expires = min(job.expires, self.clock() + DRAIN_SECONDS)

    def cut(self, job: Job) -> None:
        """Closes the connection that carries a request, so that it stops."""
        for connection, carried in self.busy.items():
            if carried is job:
                connection.close()
                return

    def sweep(self, now: float) -> None:
        """Closes connections that are overdue and drops what is too late."""
        for connection, began in list(self.connecting.items()):
            if now - began > CONNECT_SECONDS:
                connection.close()
        for connection, job in list(self.busy.items()):
            if now >= job.expires:
                connection.close()
        self.drop_expired(now)

    def drop_expired(self, now: float) -> None:
        """Drops waiting requests that are abandoned or too late."""
        standing: deque[Job] = deque()
        for job in self.waiting:
            if job.abandoned:
                continue
            if is_late(job, now):
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


def is_late(job: Job, now: float) -> bool:
    """Tells whether it is too late to send a request."""
    return now >= job.latest


def kind_of_loss(connection: Connection, job: Job, now: float) -> ReplyKind:
    """Tells what the loss of a connection says of the request it carried.

    The close of a connection that had been idle, right after a request was
    written and before any byte of a response, is taken for the upstream's
    keep-alive limit. It may as well be a crash: the request may have run.
    """
    if now >= job.expires:
        return ReplyKind.EXPIRED
    idle = job.found_idle >= STALE_IDLE_SECONDS
    soon = now - job.handed_at <= STALE_CLOSE_SECONDS
    if idle and soon and not connection.answering:
        return ReplyKind.STALE
    return ReplyKind.LOST
