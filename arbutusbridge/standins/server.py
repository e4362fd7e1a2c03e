"""Minimal HTTP server on the socket hub, used by the stand-ins."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import httptools

from arbutusbridge.daemon.httpmessages import encode_response, send_nonblocking
from arbutusbridge.daemon.hub import READABLE, WRITABLE

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.daemon.hub import SocketHub

MAX_READ_BYTES = 262_144
BACKLOG = 1024


class ServerConnection:
    """Accepted connection; requests are served in order.

    Attributes:
      headers: Headers of the last request by name in lower case.
      header_lines: The same as received, with those that came twice.
      pending: Bytes that wait until the socket is writable.
      alive: Whether the connection is open.
    """

    def __init__(self, server: StandInServer, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.descriptor = sock.fileno()
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body: list[bytes] = []
        self.headers: dict[bytes, bytes] = {}
        self.header_lines: list[tuple[bytes, bytes]] = []
        self.pending = b""
        self.alive = True
        server.hub.add(self.descriptor, READABLE, self.on_ready)

    def on_ready(self, mask: int) -> None:
        """Reads from and writes to the socket when it is ready."""
        if mask & WRITABLE and self.pending:
            data, self.pending = self.pending, b""
            self.server.hub.change(self.descriptor, READABLE)
            self.write(data)
        if not mask & ~WRITABLE or not self.alive:
            return
        try:
            data = self.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the URL; called by the parser."""
        self.url += url

    def on_message_begin(self) -> None:
        """Clears the headers of the last request; called by the parser."""
        self.headers = {}
        self.header_lines = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; called by the parser."""
        self.headers[name.lower()] = value
        self.header_lines.append((name, value))

    def on_body(self, data: bytes) -> None:
        """Appends a piece of the body; called by the parser."""
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Passes a complete request to the server; called by the parser."""
        path, self.url = self.url.decode("latin-1"), b""
        body, self.body = b"".join(self.body), []
        method = self.parser.get_method().decode("latin-1")
        self.server.serve(self, method, path, body)

    def respond(self, status: int, body: bytes, headers: str = "") -> None:
        """Writes a complete response.

        Args:
          status: HTTP status.
          body: Body.
          headers: Further header lines, each with its line end.
        """
        self.write(encode_response(status, body, headers))

    def write(self, data: bytes) -> None:
        """Sends bytes and buffers those that the kernel does not accept."""
        if not self.alive:
            return
        if self.pending:
            self.pending += data
            return
        count = send_nonblocking(self.sock, data)
        if count is None:
            self.close()
            return
        if count < len(data):
            self.pending = data[count:]
            self.server.hub.change(self.descriptor, READABLE | WRITABLE)

    def close(self) -> None:
        """Closes the connection and notifies the server."""
        if not self.alive:
            return
        self.alive = False
        self.server.hub.remove(self.descriptor)
        self.server.connections.discard(self)
        self.sock.close()
        self.server.on_disconnect(self)


class StandInServer:
    """Listens on an address and calls a function for each request.

    Attributes:
      serve: Called with the connection, method, path and body of a request.
      on_disconnect: Called with a connection that was closed.
      max_connections: Maximum number of open connections; further ones are
        closed at once.
      peak_connections: Greatest number of connections open at once so far.
      connections: Open connections.
      port: Port that the server listens on.
    """

    def __init__(
        self,
        hub: SocketHub,
        address: tuple[str, int],
        serve: Callable[[ServerConnection, str, str, bytes], None],
        on_disconnect: Callable[
            [ServerConnection], None
        ] = lambda _connection: None,
        max_connections: int = 100_000,
    ) -> None:
        self.hub = hub
        self.serve = serve
        self.on_disconnect = on_disconnect
        self.max_connections = max_connections
        self.peak_connections = 0
        self.connections: set[ServerConnection] = set()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.port = self.sock.getsockname()[1]
        hub.add(self.sock.fileno(), READABLE, self.on_accept)

    def on_accept(self, _mask: int) -> None:
        """Accepts all pending connections, up to the limit."""
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            if len(self.connections) >= self.max_connections:
                sock.close()
                continue
            self.connections.add(ServerConnection(self, sock))
            count = len(self.connections)
            self.peak_connections = max(self.peak_connections, count)

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.hub.remove(self.sock.fileno())
        self.sock.close()
        for connection in list(self.connections):
            connection.close()
