"""Tests of the connection pools to announced upstreams, on loopback."""

from __future__ import annotations

import socket
import struct

import testtools
from circuits import BaseComponent, handler

from arbutusbridge.daemon.relaypools import PROBE_HOLD_S, RelayPools
from arbutusbridge.forwarding import (
    Announcement,
    AttemptEnd,
    CallerRequest,
    DropAttempt,
    SendAttempt,
)
from arbutusbridge.platform import WIRE
from arbutusbridge.standins.deployment import LOOPBACK
from tests.test_daemon.fixtures import ComponentBench, RawUpstream

OK = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: a.1\r\n"


def response(
    request_id: str, body: bytes = b"ok", names_request: bool = True
) -> bytes:
    """Returns a complete response to a request."""
    named = f"X-Request-Id: {request_id}\r\n" if names_request else ""
    return (
        f"HTTP/1.1 200 OK\r\nX-Server-Stamp: a.{request_id}\r\n"
        f"{named}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Sink(BaseComponent):
    """Collects the ends of attempts."""

    channel = "forwarding"

    def __init__(self) -> None:
        super().__init__()
        self.replies = []
        self.checks = []
        self.connected = []

    @handler("attempts_ended")
    def on_ended(self, replies) -> None:
        self.replies.extend(replies)

    @handler("upstream_connected")
    def on_connected(self, upstream) -> None:
        self.connected.append(upstream.upstream)

    @handler("upstream_checked")
    def on_checked(self, upstream, accepted) -> None:
        self.checks.append((upstream.upstream, accepted))


class RelayPoolsCase(testtools.TestCase):
    """Pools to one upstream whose bytes the test writes itself."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.sink = Sink().register(self.bench)
        self.relay_pools = RelayPools(
            self.bench.hub, self.bench.timers, WIRE, "forwarding"
        ).register(self.bench)
        self.raw = RawUpstream()
        self.upstream = Announcement(
            "i-1", "records", (LOOPBACK, self.raw.port), "north"
        )

    def send(
        self, number: int, idempotent=True, method="GET", fresh=False
    ) -> None:
        now = self.bench.now
        request = CallerRequest(
            f"r{number}",
            method,
            "/x",
            "desk.example",
            [(b"X-Request-Id", f"r{number}".encode())],
            b"",
            now + 5.0,
            now,
        )
        self.relay_pools.send(
            SendAttempt(
                number, self.upstream, request, now + 2.0, idempotent, fresh
            )
        )
        self.bench.turn()

    def accept(self) -> socket.socket:
        sock = self.raw.accept()
        self.bench.turn()
        sock.recv(4096)
        return sock

    def reply(self):
        """Returns the next reported end of an attempt."""
        self.bench.turn_until(lambda: self.sink.replies)
        return self.sink.replies.pop(0)


class RelayPoolsTest(RelayPoolsCase):
    """Requests and their responses."""

    def send_two(self, first_response: bytes):
        """Sends two requests on one connection, of which the first is answered.

        Returns:
          The upstream's socket; the second request has been read from it.
        """
        self.send(1)
        sock = self.accept()
        sock.sendall(first_response)
        self.assertIs(AttemptEnd.RESULT, self.reply().end)
        self.send(2)
        sock.recv(4096)
        return sock

    def test_connection_is_reused(self) -> None:
        self.send(1)
        sock = self.accept()
        sock.sendall(response("r1"))
        self.assertIs(AttemptEnd.RESULT, self.reply().end)
        self.send(2)
        self.assertIn(b"r2", sock.recv(4096))
        sock.sendall(response("r2", b"two"))
        self.assertEqual(b"two", self.reply().body)

    def test_late_duplicate_is_skipped_for_the_right_response(self) -> None:
        sock = self.send_two(response("r1"))
        sock.sendall(response("r1", b"old"))
        self.bench.turn()
        self.assertEqual([], self.sink.replies)
        sock.sendall(response("r2", b"new"))
        self.assertEqual(b"new", self.reply().body)
        # Later responses on this connection cannot be matched to requests.
        self.assertEqual(b"", sock.recv(4096))

    # Guards against the answer of another caller, from upstreams that do not
    # name the request in their responses.
    def test_late_copy_without_an_id_is_told_by_its_signature(self) -> None:
        sock = self.send_two(response("r1", b"old", names_request=False))
        sock.sendall(response("r1", b"old", names_request=False))
        self.bench.turn()
        self.assertEqual([], self.sink.replies)
        sock.sendall(response("r2", b"new", names_request=False))
        self.assertEqual(b"new", self.reply().body)

    # Guards against a retry at the same upstream whose response is skipped.
    def test_same_request_may_have_the_same_signature_again(self) -> None:
        self.send(1)
        sock = self.accept()
        sock.sendall(response("r1"))
        self.reply()
        self.send(1)
        # It has to be sent on another connection.
        other = self.accept()
        other.sendall(response("r1", b"again"))
        self.assertEqual(b"again", self.reply().body)

    def test_late_copy_that_lost_its_id_is_skipped(self) -> None:
        sock = self.send_two(response("r1"))
        sock.sendall(response("r0", b"old", names_request=False))
        self.bench.turn()
        self.assertEqual([], self.sink.replies)
        sock.sendall(response("r2", b"new"))
        self.assertEqual(b"new", self.reply().body)

    def test_bytes_after_a_response_close_the_connection(self) -> None:
        self.send(1)
        sock = self.accept()
        sock.sendall(response("r1") + b"garbage")
        self.assertIs(AttemptEnd.RESULT, self.reply().end)
        self.assertEqual(b"", sock.recv(4096))

    def test_truncated_body_is_lost(self) -> None:
        self.send(1)
        sock = self.accept()
        sock.sendall(response("r1", b"whole")[:-2])
        sock.close()
        self.assertIs(AttemptEnd.LOST, self.reply().end)

    def test_body_without_length_ends_with_the_connection(self) -> None:
        self.send(1)
        sock = self.accept()
        sock.sendall(OK + b"\r\nall of it")
        self.bench.turn()
        self.assertEqual([], self.sink.replies)
        sock.close()
        reply = self.reply()
        self.assertEqual(
            (AttemptEnd.RESULT, b"all of it"), (reply.end, reply.body)
        )

    def test_reset_body_without_length_is_lost(self) -> None:
        self.send(1)
        sock = self.accept()
        sock.sendall(OK + b"\r\nhalf")
        self.bench.turn()
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()
        self.assertIs(AttemptEnd.LOST, self.reply().end)

    def test_malformed_response_is_lost(self) -> None:
        self.send(1)
        sock = self.accept()
        sock.sendall(b"\0\1\2 nothing of the kind\r\n\r\n")
        self.assertIs(AttemptEnd.LOST, self.reply().end)

    def test_refused_connection_was_not_sent(self) -> None:
        self.raw.listener.close()
        self.send(1)
        self.assertIs(AttemptEnd.NOT_SENT, self.reply().end)

    def test_head_ends_with_its_headers(self) -> None:
        self.send(1, method="HEAD")
        sock = self.accept()
        sock.sendall(response("r1", b"four")[:-4])
        reply = self.reply()
        self.assertEqual((AttemptEnd.RESULT, b""), (reply.end, reply.body))

    def test_drop_at_once_closes_the_connection(self) -> None:
        self.send(1)
        sock = self.accept()
        self.relay_pools.drop(DropAttempt(1, "i-1", True))
        self.relay_pools.flush()
        # Reset, so that a request that is held up on its way never arrives.
        self.assertRaises(ConnectionResetError, sock.recv, 4096)
        self.assertIs(AttemptEnd.LOST, self.reply().end)

    def test_dropped_attempt_still_reports_its_reply(self) -> None:
        self.send(1)
        sock = self.accept()
        self.relay_pools.drop(DropAttempt(1, "i-1", False))
        sock.sendall(response("r1"))
        self.assertIs(AttemptEnd.RESULT, self.reply().end)

    def test_connection_near_its_idle_timeout_is_not_used(self) -> None:
        self.send(1)
        sock = self.accept()
        sock.sendall(
            response("r1").replace(
                b"\r\n\r\n", b"\r\nKeep-Alive: timeout=2\r\n\r\n", 1
            )
        )
        self.reply()
        self.bench.now += 1.8
        self.send(2)
        self.assertEqual(b"", sock.recv(4096))
        other = self.accept()
        other.sendall(response("r2"))
        self.assertIs(AttemptEnd.RESULT, self.reply().end)

    def test_unresponsive_upstream_is_lost_after_the_deadline(self) -> None:
        self.send(1)
        self.accept()
        self.bench.now += 2.5
        self.assertIs(AttemptEnd.LOST, self.reply().end)

    def test_prepared_connection_carries_the_next_request(self) -> None:
        self.relay_pools.ensure_connected(self.upstream)
        self.bench.turn()
        self.relay_pools.ensure_connected(self.upstream)
        self.bench.turn()
        self.assertEqual(1, self.relay_pools.pools["i-1"].size)
        self.assertEqual(1, self.relay_pools.protocol.connects)
        self.send(1)
        self.bench.turn()
        self.assertEqual(1, self.relay_pools.protocol.connects)

    def test_share_limits_the_connections(self) -> None:
        self.relay_pools.share({"records": 26}, 8, 0)
        for number in range(1, 6):
            self.send(number)
        self.bench.turn()
        self.assertEqual(2, self.relay_pools.pools["i-1"].size)

    # Guards against a crash that is not told from a reset connection.
    # Guards against a link that is taken to work because what stands before an
    # upstream accepts a connection, and closes it at once.
    def test_probe_reports_only_a_connection_that_stays_open(self) -> None:
        self.relay_pools.probe(self.upstream)
        self.bench.turn()
        self.raw.accept().close()
        self.bench.turn()
        self.bench.now += PROBE_HOLD_S * 2
        self.bench.turn()
        self.assertEqual([], self.sink.connected)
        self.relay_pools.probe(self.upstream)
        self.bench.turn()
        sock = self.raw.accept()
        self.bench.turn()
        self.bench.now += PROBE_HOLD_S * 2
        self.bench.turn_until(lambda: self.sink.connected)
        self.assertEqual(["i-1"], self.sink.connected)
        sock.close()

    def test_check_tells_whether_a_lost_upstream_accepts(self) -> None:
        self.send(1)
        self.accept().close()
        self.assertTrue(self.reply().connection_closed)
        self.relay_pools.check(self.upstream)
        self.bench.turn_until(lambda: self.sink.checks)
        self.raw.listener.close()
        self.relay_pools.retire("i-1")
        self.relay_pools.check(self.upstream)
        self.bench.turn_until(lambda: len(self.sink.checks) > 1)
        self.assertEqual([("i-1", True), ("i-1", False)], self.sink.checks)

    # Guards against an expired attempt that is taken for a closed connection.
    def test_silent_upstream_is_reported_as_timed_out(self) -> None:
        self.send(1)
        self.accept()
        self.bench.now += 2.5
        reply = self.reply()
        self.assertTrue(reply.timed_out)
        self.assertFalse(reply.connection_closed)

    # Guards against a quarantined request that leaves the queue of a pool
    # later, and against the loss of a reply that is on its way.
    def test_only_unsent_attempts_are_withdrawn(self) -> None:
        self.relay_pools.share({"records": 1}, 1, 0)
        self.send(1)
        sock = self.accept()
        self.send(2)
        for number in (1, 2):
            self.relay_pools.withdraw(number)
        self.relay_pools.flush()
        reply = self.reply()
        self.assertEqual(
            (2, AttemptEnd.WITHDRAWN), (reply.attempt_id, reply.end)
        )
        sock.sendall(response("r1"))
        self.assertIs(AttemptEnd.RESULT, self.reply().end)

    # Guards against a suspect that is sent on an idle connection, which may
    # have died in the outage that made it a suspect.
    def test_fresh_attempt_uses_no_idle_connection(self) -> None:
        self.send(1)
        idle = self.accept()
        idle.sendall(response("r1"))
        self.reply()
        self.send(2, fresh=True)
        self.assertEqual(b"", idle.recv(4096))
        self.accept().sendall(response("r2"))
        self.assertIs(AttemptEnd.RESULT, self.reply().end)

    # Guards against an upstream that resets connections beyond its limit and
    # is taken for one that has crashed.
    def test_upstream_that_resets_a_new_connection_has_not_crashed(self):
        self.relay_pools.check(self.upstream)
        sock = self.raw.accept()
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()
        self.bench.turn()
        self.assertNotIn(("i-1", False), self.sink.checks)
