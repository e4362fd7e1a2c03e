"""Tests of upstreams that send bytes without end, on loopback.

The clock stands still, so that no deadline ends the connections.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import testtools

from arbutusbridge.daemon import connection
from arbutusbridge.daemon.platform import PlatformClient
from arbutusbridge.daemon.upstreams import UpstreamPools
from arbutusbridge.forwarding import AttemptEnd
from arbutusbridge.platform.store import page_request
from arbutusbridge.standins.deployment import LOOPBACK
from tests.test_daemon.fixtures import (
    ComponentBench,
    RawUpstream,
    attempt,
    configuration,
)
from tests.test_daemon.test_relaypools import OK, RelayPoolsCase, response

FLOOD_BYTES = 16_000_000
"""Bytes after which the connection should have been closed long ago."""

CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


def flood(
    sock: socket.socket, start: bytes, piece: bytes, turn: Callable[[], None]
) -> int:
    """Sends a piece again and again until the connection is closed.

    Args:
      sock: The connection.
      start: What is sent before.
      piece: The piece.
      turn: Lets the instance read.

    Returns:
      The number of bytes that were sent.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
    sock.setblocking(False)
    sent, data = 0, start + piece
    while sent < FLOOD_BYTES:
        try:
            count = sock.send(data)
        except BlockingIOError:
            count = 0
        except OSError:
            break
        sent += count
        data = data[count:] or piece
        turn()
    return sent


class EndlessResponseTest(RelayPoolsCase):
    """Responses that never end, at the pools of a forwarding instance."""

    def flood(self, start: bytes, piece: bytes) -> int:
        """Sends a piece again and again until the connection is closed.

        Returns:
          The number of bytes that were sent.
        """
        self.send(1)
        return flood(self.accept(), start, piece, lambda: self.bench.turn(1))

    def check_closed(self, start: bytes, piece: bytes, limit: int) -> None:
        sent = self.flood(start, piece)
        self.assertTrue(sent < limit, f"{sent} bytes were read")
        self.assertIs(AttemptEnd.LOST, self.reply().end)
        self.assertEqual([], self.bench.failures)
        self.assertEqual(0, self.relay_pools.pools["i-1"].size)
        self.assertEqual(0, self.bench.hub.buffered_bytes)

    # Guards against a head without end, whose headers fill the memory until
    # the deadline of the request.
    def test_endless_headers_close_the_connection(self) -> None:
        self.check_closed(OK, b"X-More: 1\r\n" * 6000, 5_000_000)

    # Guards against a single header value without end.
    def test_endless_header_value_closes_the_connection(self) -> None:
        self.check_closed(OK + b"X-More: ", b"x" * 65_536, 5_000_000)

    # Guards against informational responses without end, each a head of its
    # own, before a response that never comes.
    def test_endless_informational_responses_close_the_connection(self):
        self.check_closed(b"", b"HTTP/1.1 102 Wait\r\n\r\n" * 3000, 5_000_000)

    # Guards against a chunk extension without end, which has no body bytes.
    def test_endless_chunk_extension_closes_the_connection(self) -> None:
        self.check_closed(CHUNKED + b"5;x=", b"y" * 65_536, 5_000_000)

    # Guards against responses to other requests without end, which are skipped.
    def test_endless_foreign_responses_close_the_connection(self) -> None:
        self.check_closed(b"", response("other", b"x" * 60_000), 5_000_000)

    # Guards against a body without length and without end.
    def test_endless_body_closes_the_connection(self) -> None:
        limit = connection.MAX_BODY_BYTES + 5_000_000
        self.check_closed(OK + b"\r\n", b"x" * 65_536, limit)

    # Guards against chunks without end.
    def test_endless_chunks_close_the_connection(self) -> None:
        limit = connection.MAX_BODY_BYTES + 5_000_000
        self.check_closed(CHUNKED, CHUNK, limit)

    # Guards against endless bodies on many connections, each within its own
    # limit, that fill the memory together.
    def test_full_memory_closes_connections_with_large_bodies(self) -> None:
        hub = self.bench.hub
        hub.buffered_bytes = connection.MAX_BUFFERED_BYTES
        sent = self.flood(OK + b"\r\n", b"x" * 65_536)
        self.assertTrue(sent < 6_000_000, f"{sent} bytes were read")
        self.assertIs(AttemptEnd.LOST, self.reply().end)
        self.assertEqual(connection.MAX_BUFFERED_BYTES, hub.buffered_bytes)

    # Guards against bounds that reject a long answer in small chunks.
    def test_long_body_in_small_chunks_is_whole(self) -> None:
        self.send(1)
        sock = self.accept()
        body = b"5\r\nabcde\r\n" * 30_000
        data = CHUNKED + body + b"0\r\n\r\n"
        sock.setblocking(False)
        while data:
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                self.bench.turn(1)
        reply = self.reply()
        self.assertIs(AttemptEnd.RESULT, reply.end)
        self.assertEqual(150_000, len(reply.body))

    # Guards against a response to another request whose body has the beginning
    # of a head in it, so that all that follows is kept and searched again.
    def test_endless_body_with_an_incomplete_head_closes_it(self) -> None:
        other = (
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: a.0\r\nX-Request-Id: r0\r\n"
        )
        start = other + b"\r\nHTTP/1.1 200 OK\r\n"
        self.check_closed(start, b"x" * 65_536, 1_000_000)
        start = other + b"Content-Length: 9000000\r\n\r\nHTTP/1.1 200 OK\r\n"
        self.check_closed(start, b"x" * 65_536, 1_000_000)

    # Guards against a trailer without end after a long body, whose size allows
    # many bytes around its chunks.
    def test_endless_trailer_after_a_long_body_closes_the_connection(self):
        start = CHUNKED + CHUNK * 60 + b"0\r\nX-Sum: "
        self.check_closed(start, b"x" * 65_536, len(start) + 1_000_000)

    # Guards against chunk extensions without end after a long body.
    def test_endless_extension_after_a_long_body_closes_the_connection(self):
        start = CHUNKED + CHUNK * 60 + b"5;x="
        self.check_closed(start, b"y" * 65_536, len(start) + 1_000_000)


class EndlessElsewhereTest(testtools.TestCase):
    """The same on the other connections of an instance."""

    floods = (
        (OK, b"X-More: 1\r\n" * 6000),
        (OK + b"X-More: ", b"x" * 65_536),
        (OK + b"\r\n", b"x" * 65_536),
        (CHUNKED, CHUNK),
        (CHUNKED + CHUNK + b"0\r\nX-Sum: ", b"x" * 65_536),
        (b"", b"HTTP/1.1 102 Wait\r\n\r\n" * 3000),
    )

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.raw = RawUpstream()

    def check_floods(self, send: Callable[[int], None]) -> None:
        """Checks that each flood ends with the connection.

        Args:
          send: Sends a request, given its number.
        """
        limit = connection.MAX_BODY_BYTES + 5_000_000
        for number, (start, piece) in enumerate(self.floods):
            send(number)
            self.bench.turn()
            sock = self.raw.accept()
            self.bench.turn()
            sent = flood(sock, start, piece, lambda: self.bench.turn(1))
            self.assertTrue(sent < limit, f"{start[:80]}: {sent} bytes")
            self.assertEqual(0, self.bench.hub.buffered_bytes)
        self.assertEqual([], self.bench.failures)

    # Guards against a store whose reply fills the memory.
    def test_client_of_the_store(self) -> None:
        store = PlatformClient(
            self.bench.hub, self.bench.timers, [(LOOPBACK, self.raw.port)]
        ).register(self.bench)
        results = []
        self.check_floods(
            lambda _number: store.send_call(
                page_request("", ""), ("t", "page"), results.append
            )
        )
        self.assertEqual(len(self.floods), len(results))

    # Guards against an upstream of the project's own interface that does so.
    def test_pools_of_the_own_interface(self) -> None:
        pools = UpstreamPools(
            self.bench.hub, self.bench.timers, "queries"
        ).register(self.bench)
        pools.probe_due = lambda _upstream: False
        pools.on_configured(configuration(u=self.raw.port))
        self.check_floods(
            lambda number: pools.on_dispatch(
                [attempt(number, self.bench.now + 2.0)]
            )
        )
        self.bench.turn()
        self.assertEqual(len(self.floods), len(self.bench.replies))
