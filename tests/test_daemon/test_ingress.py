"""Tests of caller connections whose requests are forwarded."""

from __future__ import annotations

import socket
import time

import testtools
from circuits import BaseComponent, handler

from arbutusbridge.daemon.ingress import Ingress
from arbutusbridge.forwarding import (
    MergedAnswer,
    Refusal,
    RefusedAnswer,
    RequestLimits,
)
from arbutusbridge.platform import WIRE
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports
from tests.test_daemon.fixtures import ComponentBench

KEEP_ALIVE_S = 3
"""Time that answers promise to keep an idle connection open."""

HEAD = "Host: desk.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: 900\r\n"


def get(number: int, rest: str = "") -> bytes:
    """Returns a request without a body."""
    head = HEAD.format(f"r{number}")
    return f"GET /x/{number} HTTP/1.1\r\n{head}{rest}\r\n".encode()


class Sink(BaseComponent):
    """Collects requests, and requests whose caller has disconnected."""

    channel = "forwarding"

    def __init__(self) -> None:
        super().__init__()
        self.requests = []
        self.left = []

    @handler("request_arrived")
    def on_arrived(self, request) -> None:
        self.requests.append(request)

    @handler("caller_left")
    def on_left(self, request) -> None:
        self.left.append(request)


class IngressTest(testtools.TestCase):
    """Tests with a caller whose bytes the test writes itself."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.sink = Sink().register(self.bench)
        (port,) = find_free_ports(1)
        self.ingress = Ingress(
            (LOOPBACK, port),
            self.bench.hub,
            self.bench.timers,
            WIRE,
            "forwarding",
            KEEP_ALIVE_S,
        ).register(self.bench)
        self.ingress.set_limits(RequestLimits(1024, 2048, 1.0, 5.0))
        self.caller = socket.create_connection((LOOPBACK, port))
        self.caller.settimeout(5.0)

    def send(self, data: bytes) -> None:
        self.caller.sendall(data)
        self.bench.turn()

    def next_request(self):
        self.bench.turn_until(lambda: self.sink.requests)
        return self.sink.requests.pop(0)

    def answer(self, request) -> bytes:
        self.ingress.answer(MergedAnswer(request, ["a.1"], 0, b"m" * 16))
        self.bench.turn()
        return self.caller.recv(4096)

    def read_to_end(self) -> bytes:
        data = b""
        end = time.monotonic() + 5.0
        self.caller.settimeout(0.02)
        while time.monotonic() < end:
            self.bench.now += 0.1
            self.bench.turn()
            try:
                more = self.caller.recv(4096)
            except TimeoutError:
                continue
            if not more:
                return data
            data += more
        raise AssertionError(f"the connection stays open after {data!r}")

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        self.send(get(1) + get(2))
        first = self.next_request()
        self.assertEqual([], self.sink.requests)
        self.assertIn(b"X-Request-Id: r1", self.answer(first))
        second = self.next_request()
        self.assertIn(b"X-Request-Id: r2", self.answer(second))

    def test_chunked_body_is_joined(self) -> None:
        head = HEAD.format("r1") + "Transfer-Encoding: chunked\r\n\r\n"
        body = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        self.send(f"POST /x HTTP/1.1\r\n{head}{body}".encode())
        self.assertEqual(b"abcde", self.next_request().body)

    def test_caller_that_leaves_is_reported(self) -> None:
        self.send(get(1))
        request = self.next_request()
        self.caller.close()
        self.bench.turn_until(lambda: self.sink.left)
        self.assertEqual([request], self.sink.left)

    def test_limits_are_enforced_with_a_specific_status(self) -> None:
        for data, status in (
            (get(1, "X-Long: " + "a" * 2000 + "\r\n"), b" 431 "),
            (get(1, "Content-Length: 9999\r\n"), b" 413 "),
            (b"nonsense\r\n\r\n", b" 400 "),
            (get(1).replace(b"X-Request-Id", b"X-Other"), b" 400 "),
        ):
            self.caller = socket.create_connection(self.caller.getpeername())
            self.send(data)
            self.assertIn(status, self.read_to_end())
            self.assertEqual([], self.sink.requests)

    def test_slow_headers_are_refused(self) -> None:
        self.send(b"GET /x HTTP/1.1\r\n")
        self.assertIn(b" 408 ", self.read_to_end())

    def test_idle_connection_is_closed_after_the_grace_period(self) -> None:
        self.send(get(1))
        self.answer(self.next_request())
        self.bench.now += 4.9
        self.send(get(2))
        self.answer(self.next_request())
        self.bench.now += 6.5
        self.assertEqual(b"", self.read_to_end())

    def test_draining_closes_after_the_answer(self) -> None:
        self.send(get(1))
        request = self.next_request()
        self.ingress.draining = True
        self.assertIn(b"Connection: close", self.answer(request))
        self.assertEqual(b"", self.read_to_end())

    def test_stop_closes_only_idle_connections(self) -> None:
        self.send(get(1))
        request = self.next_request()
        self.bench.now += 1.0
        self.ingress.stop_listening()
        self.ingress.close_idle_longer_than(0.25)
        self.assertIn(b" 200 ", self.answer(request))
        self.bench.now += KEEP_ALIVE_S + 1.0
        self.ingress.close_idle_longer_than(0.25)
        self.assertEqual(b"", self.read_to_end())

    # Guards against a stop that closes a connection just as its caller sends
    # the next request on it.
    def test_stop_keeps_an_idle_connection_as_long_as_promised(self) -> None:
        self.send(get(1))
        text = self.answer(self.next_request())
        self.assertIn(b"Keep-Alive: timeout=%d\r\n" % KEEP_ALIVE_S, text)
        self.ingress.draining = True
        self.bench.now += KEEP_ALIVE_S - 0.1
        self.ingress.close_idle_longer_than(0.25)
        self.send(get(2))
        self.assertIn(b"Connection: close", self.answer(self.next_request()))
        self.assertEqual(b"", self.read_to_end())

    def test_idle_connection_is_closed_once_its_promise_is_over(self) -> None:
        self.send(get(1))
        self.answer(self.next_request())
        self.bench.now += KEEP_ALIVE_S + 1.0
        self.ingress.close_idle_longer_than(0.25)
        self.assertEqual(b"", self.read_to_end())

    # Guards against a request that has arrived, but is unread when the timer
    # that closes idle connections comes first.
    def test_request_that_has_just_arrived_keeps_its_connection(self) -> None:
        self.send(get(1))
        self.answer(self.next_request())
        self.bench.now += KEEP_ALIVE_S + 1.0
        self.caller.sendall(get(2))
        self.ingress.close_idle_longer_than(0.25)
        self.assertIn(b"X-Request-Id: r2", self.answer(self.next_request()))

    # Guards against connections that the kernel has accepted and that are reset
    # when the listener closes.
    def test_connections_in_the_backlog_are_served_at_a_stop(self) -> None:
        late = socket.create_connection(self.caller.getpeername())
        late.sendall(get(7))
        self.ingress.draining = True
        self.ingress.stop_listening()
        self.caller = late
        self.caller.settimeout(5.0)
        self.assertIn(b"X-Request-Id: r7", self.answer(self.next_request()))

    # Guards against a paused instance that gives requests the time again that
    # they have waited meanwhile.
    def test_request_that_waited_for_a_paused_instance_is_older(self) -> None:
        self.bench.turn()
        paused_at = self.bench.now
        self.caller.sendall(get(1))
        time.sleep(0.05)
        self.bench.now += 3.0
        (connection,) = self.ingress.connections.values()
        self.ingress.read(connection)
        request = self.next_request()
        self.assertEqual(paused_at, request.arrived)
        self.assertEqual(paused_at + 0.9, request.deadline)

    def test_refusal_has_a_retry_after_header(self) -> None:
        self.send(get(1))
        request = self.next_request()
        self.ingress.answer(RefusedAnswer(request, Refusal.UNSERVABLE, 0.5))
        self.bench.turn()
        text = self.caller.recv(4096)
        self.assertIn(b" 503 ", text)
        self.assertIn(b"Retry-After: 0.500", text)
