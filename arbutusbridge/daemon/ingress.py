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

from arbutusbridge.daemon.connection import KEEP_ALIVE_OPTIONS, READ_BYTES
from arbutusbridge.daemon.events import arrived, caller_left
from arbutusbridge.daemon.hub import READABLE, WRITABLE
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.requestparser import (
    CONTINUE,
    MALFORMED,
    TOO_MANY,
    TOO_SLOW,
    Refusal,
    RequestParser,
    WholeRequest,
)
from arbutusbridge.daemon.wire import send_some
from arbutusbridge.settings.instance import CallerLimits

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.forwarding.messages import Headers
    from arbutusbridge.forwarding.model import CallerRequest, RequestLimits
    from arbutusbridge.forwarding.wireformat import WireFormat

logger = get_logger(__name__)

BACKLOG = 1024
"""Connections that wait to be accepted; the opening packet of one beyond it
is dropped and sent again after seconds."""

SWEEP_SECONDS = 0.25
"""Time between two looks for slow and idle callers."""

IDLE_SLACK_S = 1.0
"""Time past the idle bound for which a connection is kept, since callers may
send on it until then."""

LINGER_S = 0.5
"""Time for which a closing connection is read, so that its last answer is not
lost to a reset."""

MOST_HEADERS = 128
"""Headers of one request at most."""

TCP_INFO_BYTES = 104
RTT_OFFSET = 68
"""Size read of the kernel's tcp_info, and the place of tcpi_rtt in it."""

USUAL_ROUND_TRIP_S = 0.006
"""Round trip to callers where it can't be measured; they are 3 ms away."""

LONGEST_ROUND_TRIP_S = 0.1
"""Longest round trip that is believed; a lost packet makes it look longer."""

MOST_CALLERS = 2000
"""Callers' connections at once, half of the descriptors of an instance."""


@dataclass(slots=True)
class RawRequest(WholeRequest):
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
        in_trailer = self.headers_done
        super().on_header(name, value)
        if self.refusal is None and not in_trailer:
            self.raw_headers.append((name, value))

    def check_path(self) -> None:
        """Takes every path that the parser takes, if it is one."""
        if not self.url.startswith(b"/"):
            self.refuse(MALFORMED)

    def make_request(self, method: str, persistent: bool) -> RawRequest:
        """Builds the request that has just ended."""
        return RawRequest(
            method,
            self.url.decode("latin-1"),
            self.headers,
            b"".join(self.body),
            persistent,
            self.raw_headers,
        )


class CallerLink:
    """One caller's connection.

    Attributes:
      sock: Its socket.
      parser: Its bytes on the way to whole requests.
      request: The request that is being answered, None between two.
      keeps: Whether the caller keeps the connection after that request.
      served: Whether it has carried a request before.
      round_trip_s: Time to the caller and back, which is longer for callers
        whose own data centre has no instance left.
      pending: Bytes of answers that the caller has not taken yet.
      started: When the request that is being read began, None between two.
      last_used: When the connection last carried something.
      closing_at: When a connection that takes no more requests is closed.
    """

    def __init__(
        self, sock: socket.socket, limits: CallerLimits, now: float
    ) -> None:
        self.sock = sock
        self.parser = RawRequestParser(limits)
        self.request: CallerRequest | None = None
        self.keeps = True
        self.served = False
        self.round_trip_s = round_trip(sock)
        self.pending = b""
        self.started: float | None = None
        self.last_used = now
        self.closing_at: float | None = None


class Ingress(BaseComponent):
    """Accepts callers, hands their requests on and writes the answers.

    Attributes:
      links: Callers' connections by descriptor.
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
        self.limits = CallerLimits(header_count=MOST_HEADERS)
        self.links: dict[int, CallerLink] = {}
        self.waiting: dict[CallerRequest, CallerLink] = {}
        self.draining = False
        self.refused: dict[str, int] = {}
        self.listener: socket.socket | None = listen(address)
        hub.add(self.listener.fileno(), READABLE, self.on_acceptable)
        timers.after(SWEEP_SECONDS, self.channel, "sweep")

    def bound(self, bounds: RequestLimits) -> None:
        """Takes the operators' bounds on callers."""
        self.limits = CallerLimits(
            body_bytes=max(1, bounds.body_bytes),
            header_bytes=max(256, bounds.header_bytes),
            header_count=MOST_HEADERS,
            request_seconds=bounds.header_timeout_s,
            idle_seconds=bounds.idle_timeout_s,
        )
        for link in self.links.values():
            link.parser.limits = self.limits

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
        link = CallerLink(sock, self.limits, self.timers.clock())
        descriptor = sock.fileno()
        self.links[descriptor] = link
        self.hub.add(
            descriptor, READABLE, lambda mask: self.on_ready(link, mask)
        )
        if len(self.links) > MOST_CALLERS:
            self.turn_away(link, TOO_MANY)

    def on_ready(self, link: CallerLink, mask: int) -> None:
        """Serves a caller's socket."""
        if mask & WRITABLE and link.pending:
            self.flush(link)
        if mask & ~WRITABLE and link.sock.fileno() >= 0:
            self.read(link)

    def read(self, link: CallerLink) -> None:
        """Reads what a caller sent."""
        try:
            data = link.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close(link)
            return
        if link.closing_at is not None:
            return
        now = self.timers.clock()
        link.last_used = now
        link.parser.feed(data)
        if not link.parser.unfinished:
            link.started = None
        elif link.started is None:
            link.started = now
        if link.parser.wants_continue and link.request is None:
            link.parser.wants_continue = False
            self.write(link, CONTINUE)
        self.hand_on(link, now)

    def hand_on(self, link: CallerLink, now: float) -> None:
        """Hands the next whole request on if none is being answered."""
        if link.request is not None or link.closing_at is not None:
            return
        if not link.parser.queue:
            if link.parser.refusal is not None:
                self.turn_away(link, link.parser.refusal)
            return
        raw = link.parser.queue.popleft()
        assert isinstance(raw, RawRequest)
        decoded = self.wire.decode_request(
            raw.method, raw.path, raw.raw_headers, raw.body, now
        )
        if isinstance(decoded, Err):
            remedy = f"Correct the request: {decoded.err_value}."
            self.turn_away(link, Refusal(400, "malformed_request", remedy))
            return
        link.request = decoded.ok_value
        # The first request has waited for its connection as well.
        link.request.network_delay_s = link.round_trip_s * (
            1 if link.served else 2
        )
        link.served = True
        link.keeps = raw.keep_alive
        self.waiting[link.request] = link
        self.fire(arrived(link.request), self.target)

    def answer(self, answer: Any) -> None:
        """Writes a final answer to the caller that waits for it."""
        link = self.waiting.pop(answer.request, None)
        if link is None:
            return
        link.request = None
        link.last_used = now = self.timers.clock()
        stays = link.keeps and not self.draining
        self.write(link, self.wire.encode_answer(answer, stays))
        if link.sock.fileno() < 0:
            return
        if not stays:
            self.finish(link)
        else:
            self.hand_on(link, now)

    def turn_away(self, link: CallerLink, refusal: Refusal) -> None:
        """Sends a clear error and closes."""
        self.refused[refusal.reason] = self.refused.get(refusal.reason, 0) + 1
        logger.warning(
            "caller told off",
            extra={"reason": refusal.reason, "remedy": refusal.remedy},
        )
        self.write(link, refusal.encode())
        if link.sock.fileno() >= 0:
            self.finish(link)

    def write(self, link: CallerLink, data: bytes) -> None:
        """Sends bytes, directly if the kernel takes them."""
        if link.pending:
            link.pending += data
            return
        count = send_some(link.sock, data)
        if count is None:
            self.close(link)
        elif count < len(data):
            link.pending = data[count:]
            self.hub.change(link.sock.fileno(), READABLE | WRITABLE)

    def flush(self, link: CallerLink) -> None:
        """Goes on with an answer that the caller had no room for."""
        data, link.pending = link.pending, b""
        count = send_some(link.sock, data)
        if count is None:
            self.close(link)
            return
        link.pending = data[count:]
        if link.pending:
            return
        self.hub.change(link.sock.fileno(), READABLE)
        if link.closing_at is not None:
            self.finish(link)

    def finish(self, link: CallerLink) -> None:
        """Ends a connection once its last answer is out.

        It is read for a while, because a close with unread bytes would reset
        it and lose the answer on its way.
        """
        link.closing_at = self.timers.clock() + LINGER_S
        if link.pending:
            return
        try:
            link.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(link)

    def close(self, link: CallerLink) -> None:
        """Closes a connection; the request that it waits for is dropped."""
        descriptor = link.sock.fileno()
        if descriptor < 0:
            return
        self.hub.remove(descriptor)
        self.links.pop(descriptor, None)
        link.sock.close()
        request, link.request = link.request, None
        if request is not None:
            self.waiting.pop(request, None)
            self.fire(caller_left(request), self.target)

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Closes connections that are too slow or idle for too long."""
        now = self.timers.clock()
        for link in list(self.links.values()):
            self.sweep(link, now)
        self.timers.after(SWEEP_SECONDS, self.channel, "sweep")

    def sweep(self, link: CallerLink, now: float) -> None:
        """Closes one connection if it is too slow or idle."""
        if link.closing_at is not None:
            if now >= link.closing_at and not link.pending:
                self.close(link)
            return
        if link.request is not None:
            return
        limits = self.limits
        if link.started is not None:
            if now - link.started > limits.request_seconds:
                self.turn_away(link, TOO_SLOW)
        elif now - link.last_used > limits.idle_seconds + IDLE_SLACK_S:
            self.close(link)

    def stop_listening(self) -> None:
        """Closes the listener and none of its connections."""
        if self.listener is not None:
            self.hub.remove(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def close_idle_for(self, seconds: float) -> None:
        """Closes every connection that carried nothing for some time."""
        latest = self.timers.clock() - seconds
        for link in list(self.links.values()):
            busy = link.request is not None or link.started is not None
            if busy or link.pending or link.parser.queue:
                continue
            if link.last_used <= latest:
                self.close(link)


def round_trip(sock: socket.socket) -> float:
    """Returns the round-trip time that the kernel measured, in seconds."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        (microseconds,) = struct.unpack_from("<I", info, RTT_OFFSET)
    except (OSError, struct.error) as err:
        logger.warning(
            "round trip not known",
            extra={"error": str(err), "assumed_s": USUAL_ROUND_TRIP_S},
        )
        return USUAL_ROUND_TRIP_S
    return min(microseconds / 1e6, LONGEST_ROUND_TRIP_S)


def listen(address: tuple[str, int]) -> socket.socket:
    """Returns a listening socket that does not block."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(address)
    listener.listen(BACKLOG)
    return listener
