"""Minimal clients that serve as baselines of the query path."""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING, Any

import httptools
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll
from circuits.web.client import Client, request

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_READ_BYTES = 65_536
"""Maximum number of bytes read from a socket at a time."""

REPLY_TIMEOUT_S = 120.0
"""Timeout of all scatters or requests of one call."""


class scatter(Event):  # noqa: N801 - circuits names events in lower case
    """Starts scatters of BareLoop or requests of StockClient.

    Fired as ``scatter(count)``.
    """


class BareConnection:
    """A socket and a response parser, without any other layer.

    Attributes:
      request_bytes: Encoded request that is sent.
      replies: Number of complete responses.
    """

    def __init__(self, address: tuple[str, int], request_bytes: bytes) -> None:
        self.request_bytes = request_bytes
        self.replies = 0
        self.parser = httptools.HttpResponseParser(self)
        self.sock = socket.create_connection(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)

    def on_message_complete(self) -> None:
        """Counts a complete response; the parser calls it."""
        self.replies += 1


class BareLoop(BaseComponent):
    """Raw sockets in one circuits poller, with one event per readable socket.

    Attributes:
      connections: Connections by their sockets.
      pending_replies: Number of responses awaited in the current scatter.
      queries: Number of scatters left, including the current one.
      done: Set when the last scatter is complete.
      thread: Thread that runs the loop.
    """

    channel = "bare"

    def __init__(
        self, addresses: list[tuple[str, int]], requests: list[bytes]
    ) -> None:
        super().__init__()
        self.poller = EPoll().register(self)
        self.connections: dict[socket.socket, BareConnection] = {}
        for address, request_bytes in zip(addresses, requests, strict=True):
            connection = BareConnection(address, request_bytes)
            self.connections[connection.sock] = connection
            self.poller.addReader(self, connection.sock)
        self.pending_replies = 0
        self.queries = 0
        self.done = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def scatter_all(self) -> None:
        """Sends one request on every connection."""
        self.pending_replies = len(self.connections)
        for connection in self.connections.values():
            connection.sock.send(connection.request_bytes)

    @handler("scatter")
    def on_scatter(self, count: int) -> None:
        """Starts a number of scatters, one after another."""
        self.queries = count
        self.scatter_all()

    @handler("_read")
    def on_readable(self, sock: socket.socket) -> None:
        """Reads and parses the available bytes."""
        connection = self.connections[sock]
        before = connection.replies
        connection.parser.feed_data(sock.recv(MAX_READ_BYTES))
        self.pending_replies -= connection.replies - before
        if self.pending_replies:
            return
        self.queries -= 1
        if self.queries:
            self.scatter_all()
        else:
            self.done.set()

    def make_queries(self, count: int) -> float:
        """Makes scatters and returns the loop's processor time in seconds.

        Raises:
          TimeoutError: The scatters did not complete in time.
        """
        clock = make_thread_clock(self.thread)
        before = clock()
        self.done.clear()
        self.fire(scatter(count))
        if not self.done.wait(REPLY_TIMEOUT_S):
            raise TimeoutError(
                "the bare loop did not finish its scatters in time"
            )
        return clock() - before


class StockClient(BaseComponent):
    """The client of circuits.web, which sends one request at a time.

    Attributes:
      remaining_requests: Number of requests left, including the current one.
      done: Set when the last response has arrived.
      thread: Thread that runs the client.
    """

    channel = "client"

    def __init__(self, url: str, body: bytes) -> None:
        super().__init__()
        self.url = url
        self.body = body
        self.poller = EPoll().register(self)
        self.client = Client().register(self)
        self.remaining_requests = 0
        self.done = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    @handler("scatter")
    def on_scatter(self, count: int) -> None:
        """Starts a number of requests, one after another."""
        self.remaining_requests = count
        self.send_request()

    @handler("response")
    def on_response(self, _response: Any) -> None:
        """Sends the next request, if any is left."""
        self.remaining_requests -= 1
        if self.remaining_requests:
            self.send_request()
        else:
            self.done.set()

    def send_request(self) -> None:
        """Sends one request."""
        self.fire(request("POST", self.url, self.body, {}))

    def make_requests(self, count: int) -> float:
        """Makes requests and returns the client's processor time in seconds.

        Raises:
          TimeoutError: The requests did not complete in time.
        """
        clock = make_thread_clock(self.thread)
        before = clock()
        self.fire(scatter(count))
        if not self.done.wait(REPLY_TIMEOUT_S):
            raise TimeoutError(
                "the stock client did not finish its requests in time"
            )
        return clock() - before


def make_thread_clock(thread: threading.Thread) -> Callable[[], float]:
    """Returns a function that reads a running thread's processor time.

    The time is in seconds.
    """
    assert thread.ident is not None
    number = time.pthread_getcpuclockid(thread.ident)
    return lambda: time.clock_gettime(number)
