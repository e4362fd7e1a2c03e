"""Keep-alive HTTP connection to an upstream or the platform."""

from __future__ import annotations

import errno
import os
import socket
import struct
from typing import TYPE_CHECKING

import httptools

from arbutusbridge.core.httpstatus import is_valid_status
from arbutusbridge.daemon.httpmessages import send_nonblocking
from arbutusbridge.daemon.hub import HANGUP_OR_ERROR, READABLE, WRITABLE

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.daemon.hub import SocketHub

MAX_READ_BYTES = 65_536
"""Maximum size of one read from a socket."""

MAX_BODY_BYTES = 8_388_608
"""Maximum size of a response body; a larger one closes the connection."""

MAX_BUFFERED_BYTES = 33_554_432
"""Maximum size of all incomplete response bodies together, a fifth of the
memory of the smallest instances; above it, larger bodies close their
connections."""

FAIR_BODY_BYTES = 262_144
"""Size up to which a response body is accepted while the others together exceed
MAX_BUFFERED_BYTES."""

MAX_HEAD_BYTES = 65_536
"""Maximum size of the head of a response, informational ones included."""

MAX_FRAMING_RATIO = 8
"""Maximum number of bytes around the chunks of a body, per byte of the body;
chunks of one byte have five."""

KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
)
"""Socket options that close a connection whose peer has not responded for 3 s,
because store changes must take effect within 3 s after the end of a fault."""

NO_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

MIN_FINAL_STATUS = 200
"""Lowest status of a final response; lower ones are informational."""


class Connection:
    """Sends one request at a time and delivers its complete response.

    A second response to one request is not delivered. It closes the
    connection, because later responses could no longer be matched to their
    requests. So do bytes that arrive while no request is in flight: they may be
    the first part of a response whose rest would be the next response.

    Attributes:
      on_response: Called with the connection, status and body.
      on_closed: Called once with the connection when it is closed.
      on_established: Called with the connection when it is established.
      connected: Whether the connection is established.
      alive: Whether the connection is not closed yet.
      refused: Whether the host refused the connection, as nothing listens
        there. A peer that is up may reset one that it does not want.
      in_flight: Whether a request was sent whose response is not complete.
      unsolicited: Whether it is to be closed because of bytes that belong to no
        request.
      invalid_status: Whether it is to be closed because the response in flight
        has a status that HTTP does not have.
      too_large: Whether the body of the response exceeds its limit.
      response_started: Whether any byte arrived since the current request was
        sent.
      idle_since: Time at which the owner last marked the connection idle, on
        the owner's clock.
      bytes_sent: Bytes of the current request that the kernel accepted.
      bytes_received: Bytes received since the last request or complete
        response.
      bytes_without_body: Bytes received since the last part of a body.
      body: Pieces of the body that is being received.
      body_bytes: Their total size.
      options: Socket options that detect an unresponsive peer.
    """

    options: tuple[tuple[int, int, int], ...] = KEEP_ALIVE_OPTIONS

    def __init__(
        self,
        hub: SocketHub,
        address: tuple[str, int],
        on_response: Callable[[Connection, int, bytes], None],
        on_closed: Callable[[Connection], None],
    ) -> None:
        """Starts to connect to an address.

        Raises:
          OSError: No socket is available, or there is no route to the address.
        """
        self.hub = hub
        self.on_response = on_response
        self.on_closed = on_closed
        self.on_established: Callable[[Connection], None] | None = None
        self.connected = False
        self.alive = True
        self.refused = False
        self.pending = b""
        self.bytes_sent = 0
        self.in_flight = False
        self.unsolicited = False
        self.invalid_status = False
        self.too_large = False
        self.response_started = False
        self.idle_since = 0.0
        self.bytes_received = 0
        self.bytes_without_body = 0
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.response: tuple[int, bytes] | None = None
        self.out_of_sync = False
        self.keep_alive = False
        self.parser = httptools.HttpResponseParser(self)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for level, option, value in self.options:
            self.sock.setsockopt(level, option, value)
        self.prepare_socket(self.sock)
        self.descriptor = self.sock.fileno()
        try:
            error = self.sock.connect_ex(address)
        except (OverflowError, TypeError, ValueError) as err:
            self.sock.close()
            raise OSError(errno.EINVAL, f"invalid address: {err}") from err
        if error not in (0, errno.EINPROGRESS):
            self.sock.close()
            raise OSError(error, os.strerror(error))
        hub.add(self.descriptor, WRITABLE, self.on_ready, self.close)

    def prepare_socket(self, sock: socket.socket) -> None:
        """Prepares a socket before it is connected."""

    def is_usable(self, _now: float) -> bool:
        """Returns whether an idle connection may be used for a request now."""
        return self.alive

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may be used again after its response."""
        return (
            self.alive
            and not self.pending
            and not self.out_of_sync
            and self.keep_alive
        )

    def on_connected(self) -> None:
        """Starts to read and sends the pending data."""
        self.connected = True
        self.hub.change(self.descriptor, READABLE)
        if self.on_established is not None:
            self.on_established(self)
        if self.alive and self.pending:
            data, self.pending = self.pending, b""
            self.send(data)

    def send_request(self, data: bytes) -> None:
        """Sends a new request."""
        self.bytes_sent = 0
        self.bytes_received = 0
        self.bytes_without_body = 0
        self.in_flight = True
        self.response_started = False
        self.send(data)

    def send(self, data: bytes) -> None:
        """Sends data; buffers what the kernel does not accept yet."""
        if not self.connected:
            self.pending += data
            return
        count = send_nonblocking(self.sock, data)
        if count is None:
            self.close()
            return
        self.bytes_sent += count
        if count < len(data):
            self.pending = data[count:]
            self.hub.change(self.descriptor, READABLE | WRITABLE)

    def on_ready(self, mask: int) -> None:
        """Handles readiness of the socket."""
        if not self.connected:
            if mask & HANGUP_OR_ERROR:
                error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                self.refused = error == errno.ECONNREFUSED
                self.close()
                return
            self.on_connected()
            return
        if mask & WRITABLE and self.pending:
            self.hub.change(self.descriptor, READABLE)
            data, self.pending = self.pending, b""
            self.send(data)
        if self.alive and mask & (READABLE | HANGUP_OR_ERROR):
            self.read()

    def read(self) -> None:
        """Reads and parses available data, and delivers a complete response.

        On an idle connection it closes the connection if there is any data, or
        if the peer has closed it.
        """
        try:
            data = self.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.on_eof()
            return
        if not self.in_flight:
            self.unsolicited = True
            self.close()
            return
        self.response_started = True
        self.bytes_received += len(data)
        self.bytes_without_body += len(data)
        self.feed(data)
        if self.framing_is_too_long:
            self.out_of_sync = True
        # Delivered after parsing, so that a duplicate response in the same
        # segment is detected before the next request is sent.
        if self.response is not None:
            status, body = self.response
            self.response = None
            self.in_flight = False
            self.on_response(self, status, body)
        if self.out_of_sync:
            self.close()

    def feed(self, data: bytes) -> None:
        """Handles received data of the response in flight."""
        if not self.parse(data):
            self.out_of_sync = True

    def parse(self, data: bytes) -> bool:
        """Parses data; returns False if it violates the protocol."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserInvalidStatusError:
            # A status that is not a number, or not of three digits.
            self.invalid_status = self.response is None
            return False
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        return True

    @property
    def framing_is_too_long(self) -> bool:
        """Whether the bytes outside of the body exceed their limit.

        The limit for all of them grows with the body; a single header, trailer
        or chunk extension is not longer because of it.
        """
        limit = MAX_HEAD_BYTES + MAX_FRAMING_RATIO * self.body_bytes
        return (
            self.bytes_received - self.body_bytes > limit
            or self.bytes_without_body > MAX_HEAD_BYTES
        )

    def on_eof(self) -> None:
        """Handles the end of the stream from the peer."""
        self.close()

    def on_message_begin(self) -> None:
        """Detects a second response; called by the parser."""
        if self.response is not None:
            self.out_of_sync = True

    def on_headers_complete(self) -> None:
        """Gives up a response with an invalid status; called by the parser.

        The parser accepts any three digits, and a status below 100 would be
        taken for that of an informational response.
        """
        if self.response is None and not is_valid_status(
            self.parser.get_status_code()
        ):
            self.out_of_sync = self.invalid_status = True

    def on_body(self, data: bytes) -> None:
        """Collects a part of the body; called by the parser."""
        self.bytes_without_body = 0
        self.body_bytes += len(data)
        self.hub.buffered_bytes += len(data)
        is_full = self.hub.buffered_bytes > MAX_BUFFERED_BYTES
        limit = FAIR_BODY_BYTES if is_full else MAX_BODY_BYTES
        if self.body_bytes > limit:
            self.out_of_sync = self.too_large = True
        if not self.out_of_sync:
            self.body.append(data)

    def clear_body(self) -> None:
        """Releases the received body."""
        self.hub.buffered_bytes -= self.body_bytes
        self.body.clear()
        self.body_bytes = 0
        self.bytes_received = 0

    def on_message_complete(self) -> None:
        """Stores the complete response; called by the parser."""
        status = self.parser.get_status_code()
        # The parser resets this value after the end of the message.
        self.keep_alive = self.parser.should_keep_alive()
        if not self.out_of_sync and status >= MIN_FINAL_STATUS:
            self.response = status, b"".join(self.body)
        # An informational response belongs to the head of the final one.
        received = self.bytes_received if status < MIN_FINAL_STATUS else 0
        self.clear_body()
        self.bytes_received = received

    def abort(self) -> None:
        """Closes the connection and discards what has not arrived yet.

        Data that is held up on its way would otherwise reach the peer later.
        """
        if self.alive:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.close()

    def close(self) -> None:
        """Closes the connection and calls ``on_closed`` once."""
        if not self.alive:
            return
        self.alive = False
        self.clear_body()
        self.hub.remove(self.descriptor)
        self.sock.close()
        self.on_closed(self)
