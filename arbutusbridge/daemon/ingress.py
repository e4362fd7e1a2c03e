"""HTTP connections of callers whose requests are forwarded unchanged.

circuits.web redirects paths, rewrites headers and answers errors with its own
pages. The hub therefore polls these sockets directly, and ``httptools`` parses
their data.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler
from result import Err

from arbutusbridge.daemon.connection import KEEP_ALIVE_OPTIONS, MAX_READ_BYTES
from arbutusbridge.daemon.events import caller_left, request_arrived
from arbutusbridge.daemon.httpmessages import send_nonblocking
from arbutusbridge.daemon.hub import READABLE, WRITABLE
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.requestparser import (
    CONTINUE,
    MALFORMED,
    REQUEST_TOO_SLOW,
    TOO_MANY_CONNECTIONS,
    HttpRefusal,
    ParsedRequest,
    RequestParser,
)
from arbutusbridge.settings.instance import CallerLimits

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.forwarding.messages import Headers
    from arbutusbridge.forwarding.model import CallerRequest, RequestLimits
    from arbutusbridge.forwarding.wireformat import WireFormat

logger = get_logger(__name__)

LISTEN_BACKLOG = 1024
"""Maximum number of connections that wait to be accepted. Beyond it, the kernel
drops SYN packets, which callers resend only after seconds."""

SWEEP_INTERVAL_S = 0.25
"""Interval of the checks for slow and idle callers."""

IDLE_GRACE_S = 1.0
"""Time past the idle timeout for which a connection stays open, because callers
may send a request until the timeout."""

LINGER_TIMEOUT_S = 0.5
"""Time for which a closing connection is still read, so that a reset does not
discard its last answer."""

MAX_TURN_S = 0.5
"""Longest turn of the event loop in which a request is taken to have arrived
when it is read; timers end each wait sooner."""

MAX_HEADERS = 128
"""Maximum number of headers of a request."""

TCP_INFO_BYTES = 104
"""Size of the part of the kernel's ``tcp_info`` that is read."""

RTT_OFFSET_BYTES = 68
"""Offset of ``tcpi_rtt`` in ``tcp_info``."""

DEFAULT_ROUND_TRIP_S = 0.006
"""Round-trip time assumed if it cannot be measured; callers are 3 ms away, one
way."""

MAX_ROUND_TRIP_S = 0.1
"""Upper bound of a measured round-trip time; a lost packet inflates it."""

MAX_CALLER_CONNECTIONS = 2000
"""Maximum number of caller connections, half of the file descriptors of an
instance."""


@dataclass(slots=True)
class RawRequest(ParsedRequest):
    """Complete request with all of its headers, as the caller sent them."""

    raw_headers: Headers


class RawRequestParser(RequestParser):
    """Parses requests whose path and headers are passed on unchanged."""

    def reset(self) -> None:
        """Clears the state of the last request."""
        super().reset()
        self.raw_headers: Headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; called by the parser."""
        in_trailer = self.headers_complete
        super().on_header(name, value)
        if self.refusal is None and not in_trailer:
            self.raw_headers.append((name, value))

    def check_path(self) -> None:
        """Accepts every path that starts with a slash."""
        if not self.url.startswith(b"/"):
            self.refuse(MALFORMED)

    def build_request(self, method: str, persistent: bool) -> RawRequest:
        """Builds the request that was just completed."""
        return RawRequest(
            method,
            self.url.decode("latin-1"),
            self.headers,
            b"".join(self.body),
            persistent,
            self.raw_headers,
        )


class IngressConnection:
    """Connection of one caller.

    Attributes:
      sock: Socket of the connection.
      parser: Parses the received bytes into requests.
      request: Request that is being answered, None between requests.
      keeps_open: Whether the caller keeps the connection open after the
        answer.
      served: Whether the connection has carried a request before.
      round_trip_s: Round-trip time to the caller, in seconds. It is longer for
        callers whose own data centre has no instance left.
      pending: Answer bytes that the kernel has not accepted yet.
      request_started_at: Time at which the unfinished request began, None
        between requests.
      last_used_at: Time of the last data on the connection.
      keep_alive_s: Time for which the last answer promised to keep the idle
        connection open, in seconds.
      close_deadline: Time at which a connection that accepts no more requests
        is closed, None while it accepts them.
    """

    def __init__(
        self, sock: socket.socket, limits: CallerLimits, now: float
    ) -> None:
        self.sock = sock
        self.parser = RawRequestParser(limits)
        self.request: CallerRequest | None = None
        self.keeps_open = True
        self.served = False
        self.round_trip_s = measure_round_trip(sock)
        self.pending = b""
        self.request_started_at: float | None = None
        self.last_used_at = now
        self.keep_alive_s = 0
        self.close_deadline: float | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request or an answer is under way."""
        return bool(
            self.request is not None
            or self.request_started_at is not None
            or self.pending
            or self.parser.queue
        )


class Ingress(BaseComponent):
    """Accepts callers, dispatches their requests and writes the answers.

    Attributes:
      target: Channel of the component that handles the requests.
      keep_alive_s: Longest time for which answers promise to keep an idle
        connection open, in whole seconds; 0 for no promise. A planned stop
        waits for it.
      connections: Caller connections by file descriptor.
      waiting: Connections by the request that is being answered.
      draining: Whether every answer closes its connection.
      refused: Number of refused connections by reason.
    """

    channel = "ingress"

    def __init__(
        self,
        address: tuple[str, int],
        hub: SocketHub,
        timers: TimerService,
        wire: WireFormat,
        target: str,
        keep_alive_s: int = 0,
    ) -> None:
        super().__init__()
        self.hub = hub
        self.timers = timers
        self.wire = wire
        self.target = target
        self.keep_alive_s = keep_alive_s
        self.limits = CallerLimits(header_count=MAX_HEADERS)
        self.connections: dict[int, IngressConnection] = {}
        self.waiting: dict[CallerRequest, IngressConnection] = {}
        self.draining = False
        self.refused: dict[str, int] = {}
        self.listener: socket.socket | None = listen(address)
        hub.add(self.listener.fileno(), READABLE, self.on_acceptable)
        timers.after(SWEEP_INTERVAL_S, self.channel, "sweep")

    def set_limits(self, bounds: RequestLimits) -> None:
        """Applies the configured limits on callers."""
        self.limits = CallerLimits(
            body_bytes=max(1, bounds.body_bytes),
            header_bytes=max(256, bounds.header_bytes),
            header_count=MAX_HEADERS,
            request_seconds=bounds.header_timeout_s,
            idle_seconds=bounds.idle_timeout_s,
        )
        for connection in self.connections.values():
            connection.parser.limits = self.limits

    def on_acceptable(self, _mask: int) -> None:
        """Accepts all waiting connections."""
        assert self.listener is not None
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as err:
                logger.error("accept failed", extra={"error": str(err)})
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for level, option, value in KEEP_ALIVE_OPTIONS:
                sock.setsockopt(level, option, value)
            self.admit(sock)

    def admit(self, sock: socket.socket) -> None:
        """Registers a caller connection, or refuses it above the limit."""
        connection = IngressConnection(sock, self.limits, self.timers.clock())
        descriptor = sock.fileno()
        self.connections[descriptor] = connection
        self.hub.add(
            descriptor,
            READABLE,
            lambda mask: self.on_ready(connection, mask),
            lambda: self.close(connection),
        )
        if len(self.connections) > MAX_CALLER_CONNECTIONS:
            self.send_refusal(connection, TOO_MANY_CONNECTIONS)

    def on_ready(self, connection: IngressConnection, mask: int) -> None:
        """Handles readiness of a caller's socket."""
        if mask & WRITABLE and connection.pending:
            self.flush(connection)
        if mask & ~WRITABLE and connection.sock.fileno() >= 0:
            self.read(connection)

    def read(self, connection: IngressConnection) -> None:
        """Reads and parses data from a caller."""
        try:
            data = connection.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close(connection)
            return
        if connection.close_deadline is not None:
            return
        now = self.timers.clock()
        connection.last_used_at = now
        connection.parser.feed(data)
        if not connection.parser.unfinished:
            connection.request_started_at = None
        elif connection.request_started_at is None:
            connection.request_started_at = now
        if connection.parser.wants_continue and connection.request is None:
            connection.parser.wants_continue = False
            self.write(connection, CONTINUE)
        self.dispatch_next(connection, now)

    def dispatch_next(self, connection: IngressConnection, now: float) -> None:
        """Dispatches the next complete request if none is being answered."""
        if (
            connection.request is not None
            or connection.close_deadline is not None
        ):
            return
        if not connection.parser.queue:
            if connection.parser.refusal is not None:
                self.send_refusal(connection, connection.parser.refusal)
            return
        raw = connection.parser.queue.popleft()
        assert isinstance(raw, RawRequest)
        # During a long turn of the event loop, as after a pause, a request may
        # have waited since its begin.
        began_at = self.timers.turn_began_at
        arrived = began_at if now - began_at > MAX_TURN_S else now
        decoded = self.wire.decode_request(
            raw.method, raw.path, raw.raw_headers, raw.body, arrived
        )
        if isinstance(decoded, Err):
            remedy = f"Correct the request: {decoded.err_value}."
            self.send_refusal(
                connection, HttpRefusal(400, "malformed_request", remedy)
            )
            return
        connection.request = decoded.ok_value
        # The first request also waited for the TCP handshake.
        connection.request.network_delay_s = connection.round_trip_s * (
            1 if connection.served else 2
        )
        connection.served = True
        connection.keeps_open = raw.keep_alive
        self.waiting[connection.request] = connection
        self.fire(request_arrived(connection.request), self.target)

    def find_unanswered(self, until: float) -> list[CallerRequest]:
        """Returns the requests without an answer that arrived until a time."""
        return [one for one in self.waiting if one.arrived <= until]

    def answer(self, answer: Any) -> None:
        """Writes the final answer to a request to its caller."""
        connection = self.waiting.get(answer.request)
        if connection is None:
            return
        stays_open = connection.keeps_open and not self.draining
        keep_alive_s = min(self.keep_alive_s, int(self.limits.idle_seconds))
        # One that cannot be encoded leaves the request waiting for another.
        data = self.wire.encode_answer(answer, stays_open, keep_alive_s)
        del self.waiting[answer.request]
        connection.request = None
        connection.last_used_at = now = self.timers.clock()
        connection.keep_alive_s = keep_alive_s
        self.write(connection, data)
        if connection.sock.fileno() < 0:
            return
        if not stays_open:
            self.begin_close(connection)
        else:
            self.dispatch_next(connection, now)

    def send_refusal(
        self, connection: IngressConnection, refusal: HttpRefusal
    ) -> None:
        """Sends an HTTP error and closes the connection."""
        self.refused[refusal.reason] = self.refused.get(refusal.reason, 0) + 1
        logger.warning(
            "caller connection refused",
            extra={"reason": refusal.reason, "remedy": refusal.remedy},
        )
        self.write(connection, refusal.encode())
        if connection.sock.fileno() >= 0:
            self.begin_close(connection)

    def write(self, connection: IngressConnection, data: bytes) -> None:
        """Sends data; buffers what the kernel does not accept yet."""
        if connection.pending:
            connection.pending += data
            return
        count = send_nonblocking(connection.sock, data)
        if count is None:
            self.close(connection)
        elif count < len(data):
            connection.pending = data[count:]
            self.hub.change(connection.sock.fileno(), READABLE | WRITABLE)

    def flush(self, connection: IngressConnection) -> None:
        """Sends buffered data once the socket is writable again."""
        data, connection.pending = connection.pending, b""
        count = send_nonblocking(connection.sock, data)
        if count is None:
            self.close(connection)
            return
        connection.pending = data[count:]
        if connection.pending:
            return
        self.hub.change(connection.sock.fileno(), READABLE)
        if connection.close_deadline is not None:
            self.begin_close(connection)

    def begin_close(self, connection: IngressConnection) -> None:
        """Shuts a connection down once its last answer is sent.

        The connection is still read for a while, because closing it with
        unread data would reset it and discard the answer in transit.
        """
        connection.close_deadline = self.timers.clock() + LINGER_TIMEOUT_S
        if connection.pending:
            return
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(connection)

    def close_idle(self, connection: IngressConnection) -> None:
        """Closes an idle connection, unless it has a request by now."""
        self.read(connection)
        if connection.sock.fileno() >= 0 and not connection.is_busy:
            self.close(connection)

    def close(self, connection: IngressConnection) -> None:
        """Closes a connection and drops the request being answered on it."""
        descriptor = connection.sock.fileno()
        if descriptor < 0:
            return
        self.hub.remove(descriptor)
        self.connections.pop(descriptor, None)
        connection.sock.close()
        request, connection.request = connection.request, None
        if request is not None:
            self.waiting.pop(request, None)
            self.fire(caller_left(request), self.target)

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Closes connections that are too slow or idle for too long."""
        now = self.timers.clock()
        for connection in list(self.connections.values()):
            self.sweep(connection, now)
        self.timers.after(SWEEP_INTERVAL_S, self.channel, "sweep")

    def sweep(self, connection: IngressConnection, now: float) -> None:
        """Closes a connection that is too slow or idle for too long."""
        if connection.close_deadline is not None:
            if now >= connection.close_deadline and not connection.pending:
                self.close(connection)
            return
        if connection.request is not None:
            return
        limits = self.limits
        if connection.request_started_at is not None:
            if now - connection.request_started_at > limits.request_seconds:
                self.send_refusal(connection, REQUEST_TOO_SLOW)
        elif now - connection.last_used_at > limits.idle_seconds + IDLE_GRACE_S:
            self.close_idle(connection)

    def stop_listening(self) -> None:
        """Closes the listener and keeps accepted connections.

        Closing it resets the connections that wait to be accepted, so that
        these are accepted first.
        """
        if self.listener is not None:
            self.on_acceptable(READABLE)
            self.hub.remove(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def close_idle_longer_than(self, seconds: float) -> None:
        """Closes every connection idle for at least the given seconds.

        One that an answer promised to keep open for longer is closed later.
        """
        now = self.timers.clock()
        for connection in list(self.connections.values()):
            if connection.is_busy:
                continue
            idle_s = now - connection.last_used_at
            # The threshold covers requests that are on their way.
            if idle_s >= connection.keep_alive_s + seconds:
                self.close_idle(connection)


def measure_round_trip(sock: socket.socket) -> float:
    """Returns the round-trip time measured by the kernel, in seconds."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        (microseconds,) = struct.unpack_from("<I", info, RTT_OFFSET_BYTES)
    except (OSError, struct.error) as err:
        logger.warning(
            "round-trip time not available",
            extra={"error": str(err), "assumed_s": DEFAULT_ROUND_TRIP_S},
        )
        return DEFAULT_ROUND_TRIP_S
    return min(microseconds / 1e6, MAX_ROUND_TRIP_S)


def listen(address: tuple[str, int]) -> socket.socket:
    """Returns a non-blocking listening socket."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(address)
    listener.listen(LISTEN_BACKLOG)
    return listener
