"""Tests of upstreams that send bytes without end, on loopback.

The clock stands still, so that no deadline ends the connections.
"""

from __future__ import annotations

import socket

from arbutusbridge.daemon import connection
from arbutusbridge.forwarding import AttemptEnd
from tests.test_daemon.test_relaypools import OK, RelayPoolsCase, response

FLOOD_BYTES = 16_000_000
"""Bytes after which the connection should have been closed long ago."""

CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessResponseTest(RelayPoolsCase):
    """Responses that never end, at the pools of a forwarding instance."""

    def flood(self, start: bytes, piece: bytes) -> int:
        """Sends a piece again and again until the connection is closed.

        Returns:
          The number of bytes that were sent.
        """
        self.send(1)
        sock = self.accept()
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
            self.bench.turn(1)
        return sent

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
