"""A plain HTTP server on the socket hub, for stand-ins."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import httptools

from arbutusbridge.daemon.httpmessages import encode_response, send_nonblocking
from arbutusbridge.daemon.hub import READABLE, WRITABLE

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.daemon.hub import SocketHub

READ_BYTES = 262_144
BACKLOG = 1024


class ServerConnection:
    """One accepted connection; requests are served in order.

    Attributes:
      headers: Headers of the last request by name in lower case.
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
        self.pending = b""
        self.alive = True
        server.hub.add(self.descriptor, READABLE, self.on_ready)

    def on_ready(self, mask: int) -> None:
        """Serves the socket."""
        if mask & WRITABLE and self.pending:
            data, self.pending = self.pending, b""
            self.server.hub.change(self.descriptor, READABLE)
            self.write(data)
        if not mask & ~WRITABLE or not self.alive:
            return
        try:
            data = self.sock.recv(READ_BYTES)
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
        """Takes a piece of the URL, called by the parser."""
        self.url += url

    def on_message_begin(self) -> None:
        """Forgets the headers of the last request, called by the parser."""
        self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header, called by the parser."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body, called by the parser."""
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Hands over a whole request, called by the parser."""
        path, self.url = self.url.decode("latin-1"), b""
        body, self.body = b"".join(self.body), []
        method = self.parser.get_method().decode("latin-1")
        self.server.serve(self, method, path, body)

    def respond(self, status: int, body: bytes, headers: str = "") -> None:
        """Writes a whole response."""
        self.write(encode_response(status, body, headers))

    def write(self, data: bytes) -> None:
        """Writes bytes, directly if the kernel takes them."""
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
        """Closes the connection."""
        if not self.alive:
            return
        self.alive = False
        self.server.hub.remove(self.descriptor)
        self.server.connections.discard(self)
        self.sock.close()
        self.server.on_lost(self)


class StandInServer:
    """Listens on one address and calls a function for each request.

    Attributes:
      serve: Called with connection, method, path and body.
      on_lost: Called with a connection that is gone.
      most_connections: Connections accepted; more are closed at once.
      peak_connections: Most connections seen open at once.
    """

    def __init__(
        self,
        hub: SocketHub,
        address: tuple[str, int],
        serve: Callable[[ServerConnection, str, str, bytes], None],
        on_lost: Callable[[ServerConnection], None] = lambda _connection: None,
        most_connections: int = 100_000,
    ) -> None:
        self.hub = hub
        self.serve = serve
        self.on_lost = on_lost
        self.most_connections = most_connections
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
        """Accepts every connection that waits."""
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            if len(self.connections) >= self.most_connections:
                sock.close()
                continue
            self.connections.add(ServerConnection(self, sock))
            count = len(self.connections)
            self.peak_connections = max(self.peak_connections, count)

    def close(self) -> None:
        """Stops listening and drops every connection."""
        self.hub.remove(self.sock.fileno())
        self.sock.close()
        for connection in list(self.connections):
            connection.close()
