"""Callers' HTTP connections whose requests are forwarded as they are.

circuits.web redirects paths, rewrites headers and answers errors in pages of
its own, so callers' sockets sit in the hub and are parsed by ``httptools``.
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
from arbutusbridge.daemon.wire import send_nonblocking
from arbutusbridge.settings.instance import CallerLimits

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.forwarding.messages import Headers
    from arbutusbridge.forwarding.model import CallerRequest, RequestLimits
    from arbutusbridge.forwarding.wireformat import WireFormat

logger = get_logger(__name__)

LISTEN_BACKLOG = 1024
"""Connections that wait to be accepted; the opening packet of one beyond it
is dropped and sent again after seconds."""

SWEEP_INTERVAL_S = 0.25
"""Time between two looks for slow and idle callers."""

IDLE_GRACE_PERIOD_S = 1.0
"""Time past the idle bound for which a connection is kept, since callers may
send on it until then."""

LINGER_TIMEOUT_S = 0.5
"""Time for which a closing connection is read, so that its last answer is not
lost to a reset."""

MAX_HEADERS = 128
"""Headers of one request at most."""

TCP_INFO_BYTES = 104
RTT_OFFSET_BYTES = 68
"""Size read of the kernel's tcp_info, and the place of tcpi_rtt in it."""

DEFAULT_ROUND_TRIP_S = 0.006
"""Round trip to callers where it can't be measured; they are 3 ms away."""

MAX_ROUND_TRIP_S = 0.1
"""Longest round trip that is believed; a lost packet makes it look longer."""

MAX_CALLER_CONNECTIONS = 2000
"""Callers' connections at once, half of the descriptors of an instance."""


@dataclass(slots=True)
class RawRequest(ParsedRequest):
    """A request with all of its headers, as the caller sent them."""

    raw_headers: Headers


class RawRequestParser(RequestParser):
    """Parses requests whose path and headers are passed on unchanged."""

    def reset(self) -> None:
        """Forgets the parts of the last request."""
        super().reset()
        self.raw_headers: Headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header, called by the parser."""
        in_trailer = self.headers_complete
        super().on_header(name, value)
        if self.refusal is None and not in_trailer:
            self.raw_headers.append((name, value))

    def check_path(self) -> None:
        """Takes every path that the parser takes, if it is one."""
        if not self.url.startswith(b"/"):
            self.refuse(MALFORMED)

    def build_request(self, method: str, persistent: bool) -> RawRequest:
        """Builds the request that has just ended."""
        return RawRequest(
            method,
            self.url.decode("latin-1"),
            self.headers,
            b"".join(self.body),
            persistent,
            self.raw_headers,
        )


class IngressConnection:
    """One caller's connection.

    Attributes:
      sock: Its socket.
      parser: Its bytes on the way to whole requests.
      request: The request that is being answered, None between two.
      keeps_open: Whether the caller keeps the connection after that request.
      served: Whether it has carried a request before.
      round_trip_s: Time to the caller and back, which is longer for callers
        whose own data centre has no instance left.
      pending: Bytes of answers that the caller has not taken yet.
      request_started_at: When the request that is being read began, None
        between two.
      last_used_at: When the connection last carried something.
      close_deadline: When a connection that takes no more requests is closed.
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
        self.close_deadline: float | None = None


class Ingress(BaseComponent):
    """Accepts callers, hands their requests on and writes the answers.

    Attributes:
      connections: Callers' connections by descriptor.
      waiting: Connections by the request that they wait for.
      draining: Whether every answer closes its connection.
      refused: Connections told off, by reason.
    """

    channel = "ingress"

    def __init__(
        self,
        address: tuple[str, int],
        hub: SocketHub,
        timers: TimerService,
        wire: WireFormat,
        target: str,
    ) -> None:
        super().__init__()
        self.hub = hub
        self.timers = timers
        self.wire = wire
        self.target = target
        self.limits = CallerLimits(header_count=MAX_HEADERS)
        self.connections: dict[int, IngressConnection] = {}
        self.waiting: dict[CallerRequest, IngressConnection] = {}
        self.draining = False
        self.refused: dict[str, int] = {}
        self.listener: socket.socket | None = listen(address)
        hub.add(self.listener.fileno(), READABLE, self.on_acceptable)
        timers.after(SWEEP_INTERVAL_S, self.channel, "sweep")

    def set_bounds(self, bounds: RequestLimits) -> None:
        """Takes the operators' bounds on callers."""
        self.limits = CallerLimits(
            body_bytes=max(1, bounds.body_bytes),
            header_bytes=max(256, bounds.header_bytes),
            header_count=MAX_HEADERS,
            request_seconds=bounds.header_s,
            idle_seconds=bounds.idle_s,
        )
        for connection in self.connections.values():
            connection.parser.limits = self.limits

    def on_acceptable(self, _mask: int) -> None:
        """Accepts every connection that waits."""
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
        """Starts a caller's connection, or turns it away."""
        connection = IngressConnection(sock, self.limits, self.timers.clock())
        descriptor = sock.fileno()
        self.connections[descriptor] = connection
        self.hub.add(
            descriptor, READABLE, lambda mask: self.on_ready(connection, mask)
        )
        if len(self.connections) > MAX_CALLER_CONNECTIONS:
            self.reject(connection, TOO_MANY_CONNECTIONS)

    def on_ready(self, connection: IngressConnection, mask: int) -> None:
        """Serves a caller's socket."""
        if mask & WRITABLE and connection.pending:
            self.flush(connection)
        if mask & ~WRITABLE and connection.sock.fileno() >= 0:
            self.read(connection)

    def read(self, connection: IngressConnection) -> None:
        """Reads what a caller sent."""
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
        """Hands the next whole request on if none is being answered."""
        if (
            connection.request is not None
            or connection.close_deadline is not None
        ):
            return
        if not connection.parser.queue:
            if connection.parser.refusal is not None:
                self.reject(connection, connection.parser.refusal)
            return
        raw = connection.parser.queue.popleft()
        assert isinstance(raw, RawRequest)
        decoded = self.wire.decode_request(
            raw.method, raw.path, raw.raw_headers, raw.body, now
        )
        if isinstance(decoded, Err):
            remedy = f"Correct the request: {decoded.err_value}."
            self.reject(
                connection, HttpRefusal(400, "malformed_request", remedy)
            )
            return
        connection.request = decoded.ok_value
        # The first request has waited for its connection as well.
        connection.request.way_s = connection.round_trip_s * (
            1 if connection.served else 2
        )
        connection.served = True
        connection.keeps_open = raw.keep_alive
        self.waiting[connection.request] = connection
        self.fire(request_arrived(connection.request), self.target)

    def answer(self, answer: Any) -> None:
        """Writes a final answer to the caller that waits for it."""
        connection = self.waiting.pop(answer.request, None)
        if connection is None:
            return
        connection.request = None
        connection.last_used_at = now = self.timers.clock()
        stays_open = connection.keeps_open and not self.draining
        self.write(connection, self.wire.encode_answer(answer, stays_open))
        if connection.sock.fileno() < 0:
            return
        if not stays_open:
            self.finish(connection)
        else:
            self.dispatch_next(connection, now)

    def reject(
        self, connection: IngressConnection, refusal: HttpRefusal
    ) -> None:
        """Sends a clear error and closes."""
        self.refused[refusal.reason] = self.refused.get(refusal.reason, 0) + 1
        logger.warning(
            "caller told off",
            extra={"reason": refusal.reason, "remedy": refusal.remedy},
        )
        self.write(connection, refusal.encode())
        if connection.sock.fileno() >= 0:
            self.finish(connection)

    def write(self, connection: IngressConnection, data: bytes) -> None:
        """Sends bytes, directly if the kernel takes them."""
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
        """Goes on with an answer that the caller had no room for."""
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
            self.finish(connection)

    def finish(self, connection: IngressConnection) -> None:
        """Ends a connection once its last answer is out.

        It is read for a while, because a close with unread bytes would reset
        it and lose the answer on its way.
        """
        connection.close_deadline = self.timers.clock() + LINGER_TIMEOUT_S
        if connection.pending:
            return
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(connection)

    def close(self, connection: IngressConnection) -> None:
        """Closes a connection; the request that it waits for is dropped."""
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
        """Closes one connection if it is too slow or idle."""
        if connection.close_deadline is not None:
            if now >= connection.close_deadline and not connection.pending:
                self.close(connection)
            return
        if connection.request is not None:
            return
        limits = self.limits
        if connection.request_started_at is not None:
            if now - connection.request_started_at > limits.request_seconds:
                self.reject(connection, REQUEST_TOO_SLOW)
        elif (
            now - connection.last_used_at
            > limits.idle_seconds + IDLE_GRACE_PERIOD_S
        ):
            self.close(connection)

    def stop_listening(self) -> None:
        """Closes the listener and none of its connections."""
        if self.listener is not None:
            self.hub.remove(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def close_idle_longer_than(self, seconds: float) -> None:
        """Closes every connection that carried nothing for some time."""
        cutoff = self.timers.clock() - seconds
        for connection in list(self.connections.values()):
            busy = (
                connection.request is not None
                or connection.request_started_at is not None
            )
            if busy or connection.pending or connection.parser.queue:
                continue
            if connection.last_used_at <= cutoff:
                self.close(connection)


def measure_round_trip(sock: socket.socket) -> float:
    """Returns the round-trip time that the kernel measured, in seconds."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        (microseconds,) = struct.unpack_from("<I", info, RTT_OFFSET_BYTES)
    except (OSError, struct.error) as err:
        logger.warning(
            "round trip not known",
            extra={"error": str(err), "assumed_s": DEFAULT_ROUND_TRIP_S},
        )
        return DEFAULT_ROUND_TRIP_S
    return min(microseconds / 1e6, MAX_ROUND_TRIP_S)


def listen(address: tuple[str, int]) -> socket.socket:
    """Returns a listening socket that does not block."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(address)
    listener.listen(LISTEN_BACKLOG)
    return listener
