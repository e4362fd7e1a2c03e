"""Tests of the HTTP server for callers against faulty callers."""

from __future__ import annotations

import socket
import time
from typing import Any

import orjson
import testtools
from circuits import handler

from arbutusbridge.core.messages import (
    Answer,
    ExecutionStatus,
    Outcome,
    SearchRequest,
)
from arbutusbridge.daemon.entry import EntryServer
from arbutusbridge.daemon.events import answered
from arbutusbridge.settings import EntrySettings
from arbutusbridge.standins.demonstration import make_instance_settings
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports
from tests.test_daemon.fixtures import WAIT_TIMEOUT_S, ComponentBench

BODY_LIMIT_BYTES = 20_000


def search_bytes(query: Any, *headers: str, version: str = "1.1") -> bytes:
    """Returns a complete search request."""
    fields = {"caller": "crew", "service": "leases", "query": query}
    body = orjson.dumps(fields)
    lines = [
        f"POST /v1/search HTTP/{version}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def head(*lines: str) -> bytes:
    """Returns the head of a search request without a body."""
    return "\r\n".join(["POST /v1/search HTTP/1.1", *lines, "", ""]).encode()


REFUSED = {
    "word for a length": (400, head("Content-Length: x")),
    "negative length": (400, head("Content-Length: -1")),
    "two lengths": (400, head("Content-Length: 1", "Content-Length: 2")),
    "length and chunks": (
        400,
        head("Content-Length: 4", "Transfer-Encoding: chunked"),
    ),
    "no HTTP": (400, b"\0\1\2\r\n\r\n"),
    "upgrade": (400, head("Connection: Upgrade", "Upgrade: websocket")),
    "long header": (431, head("X: " + "a" * BODY_LIMIT_BYTES)),
    "endless header": (431, head()[:-2] + b"X: " + b"a" * 90_000),
    "many headers": (431, head(*[f"X-{n}: 1" for n in range(99)])),
    "long body": (413, head("Content-Length: 99999999")),
    "long chunks": (
        413,
        head("Transfer-Encoding: chunked")
        + b"4e20\r\n"
        + b"a" * BODY_LIMIT_BYTES,
    ),
    "quoted path": (404, b"GET /v1/sea%72ch HTTP/1.1\r\n\r\n"),
    "whole URL": (404, b"GET http://x/v1/search HTTP/1.1\r\n\r\n"),
    "wrong method": (404, b"GET /v1/search HTTP/1.1\r\n\r\n"),
    "deep nesting": (400, search_bytes(orjson.Fragment("[" * 99 + "]" * 99))),
    "endless nesting": (400, head("Content-Length: 9000") + b"[" * 9000),
    "unknown field": (400, head("Content-Length: 7") + b'{"a":1}'),
}


class Callers(ComponentBench):
    """Collects the searches that the server accepts and abandons."""

    def __init__(self) -> None:
        super().__init__()
        self.searches: list[SearchRequest] = []
        self.abandoned: list[str] = []

    @handler("search")
    def on_search(self, request: SearchRequest) -> None:
        self.searches.append(request)

    @handler("abandon")
    def on_abandon(self, request_id: str) -> None:
        self.abandoned.append(request_id)


class EntryTest(testtools.TestCase):
    """The server on loopback, with callers on raw sockets.

    Guards against malformed requests that run, answers that reach another
    caller, and state that is kept after its caller has left.
    """

    def setUp(self) -> None:
        super().setUp()
        settings = make_instance_settings(0, 1, find_free_ports(3)).model_dump()
        settings["caller_limits"]["body_bytes"] = BODY_LIMIT_BYTES - 1
        self.settings = EntrySettings.model_validate(settings)
        self.bench = Callers()
        self.entry = EntryServer.from_config(
            self.settings, self.bench.timers, "queries"
        ).register(self.bench)
        self.addCleanup(self.entry.server.server._sock.close)
        self.bench.turn()

    def caller(self, *segments: bytes) -> socket.socket:
        """Connects a caller that sends some segments."""
        sock = socket.create_connection((LOOPBACK, self.settings.callers.port))
        self.addCleanup(sock.close)
        sock.setblocking(False)
        for segment in segments:
            sock.sendall(segment)
            self.bench.turn()
        return sock

    def read(self, sock: socket.socket, until: bytes = b"}") -> bytes:
        """Reads until the given bytes, the end of the stream or a timeout."""
        data = b""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while not data.endswith(until) and time.monotonic() < end:
            self.bench.turn(1)
            try:
                piece = sock.recv(65536)
            except BlockingIOError:
                continue
            except ConnectionResetError:
                break
            if not piece:
                break
            data += piece
        self.assertEqual([], self.bench.failures)
        return data

    def answer(self, number: int, **fields: Any) -> None:
        request_id = self.bench.searches[number].request_id
        answer = Answer(
            request_id, Outcome.COMPLETE, ExecutionStatus.YES, **fields
        )
        self.bench.fire(answered(answer), "entry")
        self.bench.turn()

    def test_refused_requests_get_a_reason_and_do_not_run(self) -> None:
        for name, (status, data) in REFUSED.items():
            text = self.read(self.caller(data))
            self.assertIn(b"HTTP/1.1 %d " % status, text[:13], name)
            self.assertIn(b'"ran":"no"', text, name)
        self.assertEqual([], self.bench.searches)

    def test_pipelined_requests_each_get_their_own_answer(self) -> None:
        one, two = search_bytes("one"), search_bytes("two")
        for segments in ([one + two], [one, two]):
            self.bench.searches.clear()
            sock = self.caller(*segments)
            self.assertEqual(["one"], [s.query for s in self.bench.searches])
            self.answer(0, reason="first")
            self.assertIn(b"first", self.read(sock))
            queries = [s.query for s in self.bench.searches]
            self.assertEqual(["one", "two"], queries)
            self.answer(1, reason="second")
            text = self.read(sock)
            self.assertIn(b"second", text)
            self.assertNotIn(b"first", text)

    def test_bytes_after_a_request_do_not_reach_its_answer(self) -> None:
        sock = self.caller(search_bytes("one") + b"\0\1\r\n\r\n")
        self.answer(0)
        text = self.read(sock, b"the end")
        self.assertLess(text.index(b"200 OK"), text.index(b"malformed_http"))

    def test_caller_that_disconnects_leaves_no_state(self) -> None:
        sock = self.caller(search_bytes("one"))
        sock.close()
        self.bench.turn_until(lambda: self.bench.abandoned)
        self.answer(0)
        self.assertEqual({}, self.entry.waiting)
        self.assertEqual({}, self.entry.guard.connections)
        self.assertEqual(0, len(self.entry.server.server._buffers))

    def test_caller_that_does_not_read_is_dropped(self) -> None:
        self.caller(search_bytes("one"))
        self.answer(0, hits=[{"id": "x" * 50_000_000}])
        self.assertEqual(1, len(self.entry.guard.connections))
        for _ in range(3):
            self.bench.now += self.settings.caller_limits.request_seconds + 1
            self.bench.turn()
        self.assertEqual({}, self.entry.guard.connections)
        self.assertEqual(0, len(self.entry.server.server._buffers))

    def test_slow_and_idle_callers_are_closed(self) -> None:
        slow, idle = self.caller(search_bytes("one")[:-3]), self.caller()
        self.bench.now += 11
        self.assertIn(b"408", self.read(slow))
        self.bench.now += 61
        self.assertEqual(b"", self.read(idle))
        self.assertEqual([], self.bench.searches)

    def test_expect_header_gets_100_continue(self) -> None:
        data = search_bytes("one", "Expect: 100-continue")
        at = data.index(b"\r\n\r\n") + 4
        sock = self.caller(data[:at])
        self.assertIn(b"100 Continue", self.read(sock, b"\r\n\r\n"))
        sock.sendall(data[at:])
        self.bench.turn_until(lambda: self.bench.searches)

    def test_http_1_0_connection_is_closed_after_the_answer(self) -> None:
        sock = self.caller(search_bytes("one", version="1.0"))
        self.answer(0)
        self.assertIn(b"Connection: close", self.read(sock))
        self.assertEqual(b"", self.read(sock))

    def test_internal_error_is_answered_without_a_traceback(self) -> None:
        sock = self.caller(search_bytes("one"))
        deep: list[Any] = []
        for _ in range(400):
            deep = [deep]
        self.answer(0, result=deep)
        text = self.read(sock)
        self.assertIn(b"internal_error", text)
        self.assertNotIn(b"Traceback", text)
