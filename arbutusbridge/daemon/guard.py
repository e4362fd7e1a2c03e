"""Limits and serialises the requests of callers in front of circuits.web.

circuits.web mixes up pipelined requests on a connection and enforces no limits.
The guard parses the bytes itself, admits one complete request at a time, and
passes it on in a normalised form.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler
from circuits.net.events import close, read, write

from arbutusbridge.daemon.requestparser import (
    CONTINUE,
    REQUEST_TOO_SLOW,
    TOO_MANY_BYTES,
    TOO_MANY_CONNECTIONS,
    HttpRefusal,
    RequestParser,
)

if TYPE_CHECKING:
    import socket

    from circuits.net.sockets import Server

    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.settings.instance import CallerLimits

SWEEP_INTERVAL_S = 0.5
"""Interval of the checks for slow and idle callers."""

MAX_BUFFERED_BYTES = 67_108_864
"""Maximum body bytes buffered for all callers together."""


class CallerConnection:
    """State of the connection of one caller.

    Attributes:
      parser: Parses the received bytes into requests.
      responding: Whether a request is being answered.
      closing: Whether received data is ignored from now on.
      request_started_at: Time at which the unfinished request began, None
        between requests.
      last_used_at: Time of the last data on the connection.
      unread_since: Time since which the caller has not read all of its last
        answer, None if it has.
      buffered_bytes: Body bytes buffered by the parser, as last counted.
    """

    def __init__(
        self, limits: CallerLimits, now: float, keeps_query: bool = False
    ) -> None:
        self.parser = RequestParser(limits, keeps_query)
        self.responding = False
        self.closing = False
        self.request_started_at: float | None = None
        self.last_used_at = now
        self.unread_since: float | None = None
        self.buffered_bytes = 0

    def feed(self, data: bytes, now: float) -> None:
        """Parses received data and updates the times."""
        self.last_used_at = now
        self.parser.feed(data)
        if not self.parser.unfinished:
            self.request_started_at = None
        elif self.request_started_at is None:
            self.request_started_at = now


class CallerGuard(BaseComponent):
    """Filters the events of callers before circuits.web handles them.

    Attributes:
      connections: State of the connection of each caller, by socket.
      buffered_bytes: Body bytes buffered for all connections.
      draining: Whether every answer closes its connection.
      refused: Number of refused connections by reason.
      keeps_query: Whether the server gets the queries of requests.
    """

    def __init__(
        self,
        server: Server,
        limits: CallerLimits,
        timers: TimerService,
        keeps_query: bool = False,
    ) -> None:
        super().__init__(channel=server.channel)
        self.server = server
        self.limits = limits
        self.keeps_query = keeps_query
        self.timers = timers
        self.connections: dict[socket.socket, CallerConnection] = {}
        self.buffered_bytes = 0
        self.draining = False
        self.refused: dict[str, int] = {}
        timers.after(SWEEP_INTERVAL_S, self.channel, "sweep")

    @handler("connect", priority=100)
    def on_connect(self, sock: socket.socket, *_peer: Any) -> None:
        """Registers a connection, or refuses it above the limit."""
        if len(self.connections) >= self.limits.connections:
            self.send_refusal(sock, TOO_MANY_CONNECTIONS)
            return
        now = self.timers.clock()
        self.connections[sock] = CallerConnection(
            self.limits, now, self.keeps_query
        )

    @handler("disconnect", priority=100)
    def on_disconnect(self, sock: socket.socket) -> None:
        """Removes a closed connection."""
        connection = self.connections.pop(sock, None)
        if connection is not None:
            self.buffered_bytes -= connection.buffered_bytes

    @handler("write", "close", priority=100)
    def on_write_or_close(
        self, event: Any, sock: socket.socket | None = None, *_data: Any
    ) -> None:
        """Discards events for a caller whose socket is closed.

        circuits would otherwise keep the socket and its buffer forever.
        """
        if sock is not None and sock.fileno() < 0:
            event.stop()

    @handler("read", priority=100)
    def on_read(self, event: Any, sock: socket.socket, data: bytes) -> None:
        """Parses received data; only complete requests reach circuits.web."""
        if getattr(event, "is_parsed_request", False):
            return
        event.stop()
        connection = self.connections.get(sock)
        if connection is None or connection.closing:
            return
        connection.feed(data, self.timers.clock())
        self.update_buffered_bytes(connection)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            connection.parser.refuse(TOO_MANY_BYTES)
        self.send_continue(sock, connection)
        self.dispatch_next(sock, connection)

    def update_buffered_bytes(self, connection: CallerConnection) -> None:
        """Updates the total of buffered body bytes."""
        held = connection.parser.buffered_bytes
        self.buffered_bytes += held - connection.buffered_bytes
        connection.buffered_bytes = held

    def send_continue(
        self, sock: socket.socket, connection: CallerConnection
    ) -> None:
        """Sends ``100 Continue`` to a caller that waits for it."""
        parser = connection.parser
        if (
            parser.wants_continue
            and not connection.responding
            and not parser.queue
        ):
            parser.wants_continue = False
            self.fire(write(sock, CONTINUE))

    def dispatch_next(
        self, sock: socket.socket, connection: CallerConnection
    ) -> None:
        """Dispatches the next complete request if none is being answered."""
        if (
            connection.responding
            or connection.closing
            or self.has_unread_answer(sock)
        ):
            return
        queue = connection.parser.queue
        if not queue:
            self.refuse_if_invalid(sock, connection)
            return
        connection.responding = True
        request = queue.popleft()
        self.update_buffered_bytes(connection)
        if self.draining:
            request.keep_alive = False
        event = read(sock, request.encode())
        event.is_parsed_request = True
        self.fire(event)

    def has_unread_answer(self, sock: socket.socket) -> bool:
        """Returns whether the caller has not read all of an answer."""
        return bool(self.server._buffers.get(sock))

    def refuse_if_invalid(
        self, sock: socket.socket, connection: CallerConnection
    ) -> None:
        """Refuses invalid input once all earlier requests are answered."""
        refusal = connection.parser.refusal
        if refusal is not None:
            connection.closing = True
            self.send_refusal(sock, refusal)

    def send_refusal(self, sock: socket.socket, refusal: HttpRefusal) -> None:
        """Sends an HTTP error and closes the connection."""
        self.refused[refusal.reason] = self.refused.get(refusal.reason, 0) + 1
        self.fire(write(sock, refusal.encode()))
        self.fire(close(sock))

    @handler("response_success")
    def on_response_success(self, finished: Any, _value: Any) -> None:
        """Dispatches the next request after an answer was written."""
        response = finished.args[0]
        sock = response.request.sock
        connection = self.connections.get(sock)
        if connection is None:
            return
        connection.responding = False
        connection.last_used_at = self.timers.clock()
        if response.close:
            connection.closing = True
            # circuits.web does not close the connection after a HEAD.
            self.fire(close(sock))
            return
        self.dispatch_next(sock, connection)

    @handler("_write")
    def on_written(self, sock: socket.socket) -> None:
        """Dispatches the next request once the caller has read its answer."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.dispatch_next(sock, connection)

    @handler("response_failure")
    def on_response_failure(self, failed: Any, _error: Any) -> None:
        """Closes a connection whose answer could not be written."""
        self.fire(close(failed.args[0].request.sock))

    @handler("due")
    def on_due(self, tokens: list[Any]) -> None:
        """Closes connections that are too slow or idle for too long."""
        if "sweep" not in tokens:
            return
        now = self.timers.clock()
        for sock, connection in list(self.connections.items()):
            self.sweep(sock, connection, now)
        self.timers.after(SWEEP_INTERVAL_S, self.channel, "sweep")

    def sweep(
        self, sock: socket.socket, connection: CallerConnection, now: float
    ) -> None:
        """Closes a connection that is too slow or idle for too long."""
        if self.has_unread_answer(sock):
            self.drop_slow_reader(sock, connection, now)
            return
        connection.unread_since = None
        if connection.responding or connection.closing:
            return
        self.dispatch_next(sock, connection)
        request_started_at = connection.request_started_at
        if request_started_at is not None:
            if now - request_started_at > self.limits.request_seconds:
                connection.closing = True
                self.send_refusal(sock, REQUEST_TOO_SLOW)
        elif now - connection.last_used_at > self.limits.idle_seconds:
            self.close_idle(sock)

    def drop_slow_reader(
        self, sock: socket.socket, connection: CallerConnection, now: float
    ) -> None:
        """Closes a connection whose caller does not read its answer."""
        if connection.unread_since is None:
            connection.unread_since = now
        elif now - connection.unread_since > self.limits.request_seconds:
            connection.closing = True
            self.server._close(sock)

    def close_idle(self, sock: socket.socket) -> None:
        """Closes an idle connection."""
        self.connections[sock].closing = True
        self.fire(close(sock))

    def close_idle_longer_than(self, seconds: float) -> None:
        """Closes every connection idle for at least the given seconds."""
        cutoff = self.timers.clock() - seconds
        for sock, connection in list(self.connections.items()):
            busy = (
                connection.responding
                or connection.request_started_at is not None
            )
            if busy or connection.parser.queue or connection.closing:
                continue
            if connection.last_used_at <= cutoff:
                self.close_idle(sock)
