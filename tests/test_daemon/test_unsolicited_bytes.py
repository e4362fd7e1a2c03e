"""Tests of bytes that an upstream or the store sends without a request."""

from __future__ import annotations

import socket

import testtools

from arbutusbridge.core.messages import ReplyKind, StoreStatus
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
from tests.test_daemon.test_relaypools import RelayPoolsCase, response
from tests.test_daemon.test_upstreams import result

REJECTION = (
    b"HTTP/1.1 503 X\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 11\r\n\r\nqueue full\n"
)

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: a.r1\r\nX-Request-Id: r1\r\n"

UNSOLICITED = {
    "success without its end": response("r1", b"x" * 80)[:-40],
    "rejection without its end": REJECTION[:-6],
    "head without a length": HEAD + b"\r\n",
    "unfinished chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n50\r\nhalf",
    "half a head": HEAD[:40],
    "half an interim response": b"HTTP/1.1 103 Early Hints\r\nLink: x",
    "whole copy": response("r1"),
    "junk": b"\0\1\2",
}


class UnsolicitedBytesTest(RelayPoolsCase):
    """Bytes that arrive while a connection to an upstream is idle."""

    def answer_first(self, first_response: bytes) -> socket.socket:
        """Returns an idle connection that has carried one request."""
        self.send(1)
        sock = self.accept()
        sock.sendall(first_response)
        self.reply()
        return sock

    def check_second_request(self) -> None:
        """Checks that a request runs once, on another connection."""
        self.send(2, idempotent=False)
        other = self.accept()
        other.sendall(response("r2", b"new"))
        reply = self.reply()
        self.assertEqual((AttemptEnd.RESULT, b"new"), (reply.end, reply.body))
        self.assertEqual([], self.sink.replies)

    # Guards against a request that runs twice or is answered with the answer
    # of another one, because its response completes bytes that came before it.
    def test_bytes_on_an_idle_connection_close_it(self) -> None:
        for first_response in (response("r1"), REJECTION):
            for kind, data in UNSOLICITED.items():
                sock = self.answer_first(first_response)
                sock.sendall(data)
                self.bench.turn()
                self.assertEqual(b"", sock.recv(4096), kind)
                self.check_second_request()
                self.relay_pools.retire("i-1")
        count = self.relay_pools.protocol.unsolicited
        self.assertEqual(2 * len(UNSOLICITED), count)

    # Guards against the same, if the bytes have arrived and are not read yet
    # when the request is sent.
    def test_bytes_that_are_not_read_yet_close_the_connection(self) -> None:
        for kind, data in UNSOLICITED.items():
            sock = self.answer_first(response("r1"))
            sock.sendall(data)
            self.check_second_request()
            self.assertEqual(b"", sock.recv(4096), kind)
            self.relay_pools.retire("i-1")

    # Guards against the same for a request that waited for the connection.
    def test_waiting_request_is_not_sent_after_such_bytes(self) -> None:
        self.relay_pools.share({"records": 1}, 1, 0)
        self.send(1)
        sock = self.accept()
        self.send(2)
        # The first read ends with the response.
        body = b"x" * (65_536 - len(response("r1", b"x" * 65_000)) + 65_000)
        sock.sendall(response("r1", body) + REJECTION[:-6])
        self.assertIs(AttemptEnd.RESULT, self.reply().end)
        other = self.accept()
        other.sendall(response("r2"))
        self.assertIs(AttemptEnd.RESULT, self.reply().end)

    # Guards against an upstream that is taken for one that went away.
    def test_close_for_such_bytes_is_not_reported_as_one_of_the_upstream(self):
        sock = self.answer_first(response("r1"))
        sock.sendall(b"junk")
        self.bench.turn()
        self.assertEqual([], self.relay_pools.idle_closes)


class UnsolicitedElsewhereTest(testtools.TestCase):
    """The same on the other connections of an instance."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.raw = RawUpstream()

    # Guards against a reply of the project's own interface that completes
    # bytes which came before it.
    def test_pools_of_the_own_interface(self) -> None:
        pools = UpstreamPools(
            self.bench.hub, self.bench.timers, "queries"
        ).register(self.bench)
        pools.probe_due = lambda _upstream: False
        pools.on_configured(configuration(u=self.raw.port))
        for number in (1, 2):
            pools.on_dispatch([attempt(number, self.bench.now + 2.0)])
            self.bench.turn()
            sock = self.raw.accept()
            self.bench.turn()
            self.assertTrue(sock.recv(4096))
            if number == 1:
                sock.sendall(result(1))
                self.bench.turn_until(lambda: self.bench.replies)
                sock.sendall(result(1)[:-5])
                self.bench.turn()
                self.assertEqual(b"", sock.recv(4096))
        kinds = [reply.kind for reply in self.bench.replies]
        self.assertEqual([ReplyKind.RESULT], kinds)

    # Guards against a result of the store that completes such bytes.
    def test_client_of_the_store(self) -> None:
        store = PlatformClient(
            self.bench.hub, self.bench.timers, [(LOOPBACK, self.raw.port)]
        ).register(self.bench)
        results = []
        body = b'{"items": [], "has_more": false, "current_rev": 7}'
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        answer += body
        for count in (1, 2):
            store.send_call(page_request("", ""), ("t", "page"), results.append)
            self.bench.turn()
            sock = self.raw.accept()
            self.bench.turn()
            self.assertTrue(sock.recv(4096))
            sock.sendall(answer)
            self.bench.turn_until(lambda count=count: len(results) == count)
            sock.sendall(answer[:-9])
        self.assertEqual(
            [StoreStatus.DONE] * 2, [result.status for result in results]
        )
