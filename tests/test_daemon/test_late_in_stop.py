"""Tests of requests that arrive late in a planned stop."""

from __future__ import annotations

import socket
import time

from arbutusbridge.core.stop import StopPhase
from arbutusbridge.forwarding.model import (
    Route,
    RoutingConfiguration,
    WeightedService,
)
from tests.test_daemon.instancecase import InstanceCase

STOP_S = 2.0
"""Time limit of the stop."""

WORK_S = 0.4
"""Time that the upstream works on a request."""

HOST = "late.example"


class LateInStopTest(InstanceCase):
    """One instance with stand-ins, in real time."""

    def setUp(self) -> None:
        super().setUp()
        self.start_instance(stop_seconds=STOP_S, balancer_lag_seconds=0.2)
        self.upstream, _ = self.start_upstream("i-1", "records", WORK_S)
        route = Route(
            name="once",
            host=HOST,
            prefix="/once/",
            idempotent=False,
            timeout_s=6.0,
            target_s=0.3,
            urgency=1,
            most_upstreams=2,
            services=(WeightedService("records"),),
        )
        self.configure(RoutingConfiguration(1, (route,), {"records": 9}))

    def begin_request(self, number: int) -> socket.socket:
        """Sends a request but for the end of its body."""
        sock = socket.create_connection(self.callers)
        sock.sendall(
            f"POST /once/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: r{number}\r\nX-Deadline-Ms: 5000\r\n"
            "Content-Length: 4\r\n\r\nhal".encode()
        )
        return sock

    def stop(self) -> None:
        self.instance.lifecycle.request_stop()
        self.began_at = time.monotonic()

    def run_to_the_end(self) -> None:
        """Runs until the process would exit."""
        plan = self.instance.lifecycle.plan
        self.run_until(lambda: plan.phase is StopPhase.STOPPED)

    def answer_on(self, sock: socket.socket) -> bytes:
        """Returns the answer that has arrived, empty for none."""
        sock.setblocking(False)
        try:
            return sock.recv(4096)
        except BlockingIOError:
            return b""

    # Guards against a request that is passed on after all open ones have had
    # their final answers, and is cut at the end of the stop without one.
    def test_request_after_the_final_answers_is_rejected_as_not_run(self):
        self.upstream.work_s = 2 * STOP_S
        socks = [self.begin_request(number) for number in range(5)]
        self.run_for(0.1)
        self.stop()
        plan = self.instance.lifecycle.plan
        self.run_until(lambda: plan.answered_all)
        for sock in socks:
            sock.sendall(b"f")
        self.run_to_the_end()
        for sock in socks:
            answer = self.answer_on(sock)
            self.assertIn(b"HTTP/1.1 503", answer)
            self.assertIn(b"Retry-After", answer)
            self.assertIn(b"Connection: close", answer)
        self.assertEqual([], self.runs)

    # Guards against a request that is passed on although the stop ends before
    # its answer is due, and gets an answer that does not say whether it ran.
    def test_request_that_the_stop_would_cut_short_is_rejected(self) -> None:
        sock = self.begin_request(1)
        self.run_for(0.1)
        self.stop()
        answers_due_at = self.began_at + STOP_S - 0.8
        self.run_for(answers_due_at - 0.2 - time.monotonic())
        sock.sendall(b"f")
        self.run_for(0.1)
        self.assertIn(b"HTTP/1.1 503", self.answer_on(sock))
        self.assertEqual([], self.runs)

    def test_request_early_in_the_stop_is_served(self) -> None:
        sock = self.begin_request(1)
        self.run_for(0.1)
        self.stop()
        self.run_for(0.1)
        sock.sendall(b"f")
        self.run_to_the_end()
        self.assertIn(b"HTTP/1.1 200", self.answer_on(sock))
        self.assertEqual(1, len(self.runs))
