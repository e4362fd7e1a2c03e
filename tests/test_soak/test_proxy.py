"""Tests of the loopback proxy: forwarding, stalls, delays and resets."""

from __future__ import annotations

import socket

import testtools

from arbutusbridge.soak.proxy import Proxy
from arbutusbridge.standins.deployment import LOOPBACK
from tests.test_daemon.fixtures import (
    WAIT_TIMEOUT_S,
    ComponentBench,
    RawUpstream,
)


class ProxyTest(testtools.TestCase):
    """Tests with one connection through a proxy, both ends held by the test."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.raw = RawUpstream()
        self.scheduled = []
        self.proxy = Proxy(
            self.bench.hub,
            (LOOPBACK, 0),
            (LOOPBACK, self.raw.port),
            lambda: self.bench.now,
            lambda seconds, function: self.scheduled.append(
                (seconds, function)
            ),
        )
        self.addCleanup(self.proxy.close)
        self.caller = socket.create_connection(self.proxy.address)
        self.caller.settimeout(WAIT_TIMEOUT_S)
        self.bench.turn()
        self.upstream = self.raw.accept()

    def assert_no_data(self, sock: socket.socket) -> None:
        """Asserts that a socket has nothing to read."""
        self.bench.turn()
        sock.setblocking(False)
        self.assertRaises(BlockingIOError, sock.recv, 100)
        sock.settimeout(WAIT_TIMEOUT_S)

    def test_bytes_and_close_are_forwarded_both_ways(self) -> None:
        self.caller.sendall(b"ask")
        self.bench.turn()
        self.assertEqual(b"ask", self.upstream.recv(100))
        self.upstream.sendall(b"answer")
        self.upstream.close()
        self.bench.turn()
        self.assertEqual(b"answer", self.caller.recv(100))
        self.assertEqual(b"", self.caller.recv(100))

    def test_stall_affects_one_direction_only(self) -> None:
        self.proxy.set_stalled("out")
        self.caller.sendall(b"ask")
        self.assert_no_data(self.upstream)
        self.upstream.sendall(b"unasked")
        self.bench.turn()
        self.assertEqual(b"unasked", self.caller.recv(100))
        self.proxy.set_stalled()
        self.assertEqual(b"ask", self.upstream.recv(100))

    def test_delayed_bytes_arrive_in_order(self) -> None:
        self.proxy.delay_s = 0.5
        self.caller.sendall(b"one")
        self.assert_no_data(self.upstream)
        self.proxy.delay_s = 0.0
        self.caller.sendall(b"two")
        self.assert_no_data(self.upstream)
        self.bench.now += 0.6
        seconds, function = self.scheduled[0]
        self.assertEqual(0.5, seconds)
        function()
        self.assertEqual(b"onetwo", self.upstream.recv(100))

    def test_reset_closes_both_ends_and_new_connections(self) -> None:
        self.proxy.refusing = True
        self.proxy.reset_all()
        self.assertRaises(ConnectionResetError, self.caller.recv, 100)
        self.assertRaises(ConnectionResetError, self.upstream.recv, 100)
        other = socket.create_connection(self.proxy.address)
        other.settimeout(WAIT_TIMEOUT_S)
        self.bench.turn()
        self.assertRaises(ConnectionResetError, other.recv, 100)
