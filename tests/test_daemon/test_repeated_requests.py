"""Tests of further attempts of a request at the same upstream."""

from __future__ import annotations

import socket

from arbutusbridge.forwarding import AttemptEnd, CallerRequest, SendAttempt
from tests.test_daemon.test_relaypools import RelayPoolsCase, response
from tests.test_daemon.test_unsolicited_bytes import REJECTION

FAILURE = response("r1").replace(b"200 OK", b"500 X")
"""Failure with a signature, after which an idempotent request is repeated."""


class RepeatedRequestTest(RelayPoolsCase):
    """A late copy of the first response arrives before the second one."""

    def attempt(self, attempt_id: int, request: CallerRequest) -> None:
        """Sends one attempt of a request."""
        self.relay_pools.send(
            SendAttempt(
                attempt_id, self.upstream, request, self.bench.now + 2.0, False
            )
        )
        self.bench.turn()

    def request(self, number: int = 1) -> CallerRequest:
        """Returns a request that must not be repeated once it has run."""
        named = [(b"X-Request-Id", f"r{number}".encode())]
        now = self.bench.now
        return CallerRequest(
            f"r{number}",
            "POST",
            "/x",
            "desk.example",
            named,
            b"",
            now + 5.0,
            now,
        )

    def reject_first(self, request: CallerRequest) -> socket.socket:
        """Returns the connection on which an attempt has been rejected."""
        self.attempt(1, request)
        sock = self.accept()
        sock.sendall(REJECTION)
        self.assertIs(AttemptEnd.SHED, self.reply().end)
        return sock

    # Guards against a request that runs twice, or is refused although it runs,
    # because a copy of its rejection is taken for the answer to its retry.
    def test_copy_of_a_rejection_is_not_the_answer_to_the_retry(self) -> None:
        request = self.request()
        for first, end in (
            (REJECTION, AttemptEnd.SHED),
            (FAILURE, AttemptEnd.FAILED),
        ):
            self.attempt(1, request)
            sock = self.accept()
            sock.sendall(first)
            self.assertIs(end, self.reply().end)
            self.attempt(2, request)
            sock.sendall(first)
            self.bench.turn()
            self.assertEqual([], self.sink.replies)
            other = self.accept()
            other.sendall(response("r1", b"new"))
            reply = self.reply()
            self.assertIs(AttemptEnd.RESULT, reply.end)
            self.assertEqual(b"new", reply.body)
            self.relay_pools.retire("i-1")

    # Guards against a retry that waits for a connection which it may not use,
    # at the limit of connections.
    def test_retry_gets_a_connection_at_the_limit(self) -> None:
        self.relay_pools.share({"records": 1}, 1, 0)
        request = self.request()
        sock = self.reject_first(request)
        self.attempt(2, request)
        self.assertEqual(b"", sock.recv(4096))
        other = self.accept()
        other.sendall(response("r1"))
        self.assertIs(AttemptEnd.RESULT, self.reply().end)

    # Guards against the same if the connection is busy when the retry is sent.
    def test_retry_waits_for_the_limit_of_connections(self) -> None:
        self.relay_pools.share({"records": 1}, 1, 0)
        request = self.request()
        sock = self.reject_first(request)
        self.attempt(2, self.request(2))
        self.assertIn(b"r2", sock.recv(4096))
        self.attempt(3, request)
        sock.sendall(response("r2"))
        self.assertIs(AttemptEnd.RESULT, self.reply().end)
        other = self.accept()
        other.sendall(response("r1", b"new"))
        self.assertEqual(b"new", self.reply().body)

    # Guards against a connection that is opened although another idle one has
    # not carried the request, and against requests that wait behind a retry.
    def test_retry_uses_another_idle_connection(self) -> None:
        request = self.request()
        self.attempt(1, request)
        first = self.accept()
        self.attempt(2, self.request(2))
        second = self.accept()
        second.sendall(response("r2"))
        self.reply()
        first.sendall(REJECTION)
        self.reply()
        opened = self.relay_pools.protocol.connects
        self.attempt(3, request)
        self.assertIn(b"r1", second.recv(4096))
        self.attempt(4, self.request(4))
        self.assertIn(b"r4", first.recv(4096))
        self.assertEqual(opened, self.relay_pools.protocol.connects)

    # Guards against a retry that waits until its deadline although its upstream
    # has gone.
    def test_retry_fails_if_no_connection_can_be_opened(self) -> None:
        request = self.request()
        self.reject_first(request)
        self.raw.listener.close()
        self.attempt(2, request)
        self.assertIs(AttemptEnd.NOT_SENT, self.reply().end)
