"""Tests of upstreams that fail after they have run a request."""

from __future__ import annotations

import contextlib
import itertools
import socket

from arbutusbridge.core.httpstatus import NOT_RUN_STATUSES
from arbutusbridge.forwarding.model import (
    Route,
    RoutingConfiguration,
    WeightedService,
)
from arbutusbridge.platform.standins import UpstreamFault
from tests.test_daemon.instancecase import InstanceCase

HOST = "run.example"


class RunAndRefusedTest(InstanceCase):
    """One instance with stand-ins, in real time."""

    def setUp(self) -> None:
        super().setUp()
        self.start_instance()
        self.upstream, _ = self.start_upstream("i-1", "records")
        routes = tuple(
            Route(
                name=name,
                host=HOST,
                prefix=f"/{name}/",
                idempotent=name == "again",
                timeout_s=1.0,
                target_s=0.3,
                urgency=1,
                most_upstreams=2,
                services=(WeightedService("records"),),
            )
            for name in ("once", "again")
        )
        self.configure(RoutingConfiguration(1, routes, {"records": 9}))

    def answer_to(self, path: str) -> bytes:
        """Sends a request and returns its answer."""
        with socket.create_connection(self.callers) as sock:
            sock.sendall(
                f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r{path}"
                "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nhalf"
                "".encode()
            )
            sock.setblocking(False)
            received = bytearray()

            def has_answer() -> bool:
                with contextlib.suppress(BlockingIOError):
                    received.extend(sock.recv(4096))
                return b"\r\n\r\n" in received

            self.run_until(has_answer)
            return bytes(received)

    # Guards against callers that repeat a request which has run, as they are
    # told with 503 that it has not (review/12).
    def test_answer_to_a_request_that_has_run_promises_nothing(self) -> None:
        self.upstream.fault = UpstreamFault.FAILING
        for number, (status, name, pause_s) in enumerate(
            itertools.product(
                sorted(NOT_RUN_STATUSES - {421}),
                ("once", "again"),
                (None, 0.2),
            )
        ):
            self.upstream.failure_status = status
            self.upstream.retry_after_s = pause_s
            runs = len(self.runs)
            answer = self.answer_to(f"/{name}/{number}")
            self.assertTrue(len(self.runs) > runs)
            self.assertIn(answer.split(b" ", 2)[1], {b"502", b"504"})
            self.assertNotIn(b"X-Server-Stamp", answer)
            self.run_for(0.3)

    def test_failure_with_another_status_is_passed_on(self) -> None:
        self.upstream.fault = UpstreamFault.FAILING
        answer = self.answer_to("/once/1")
        self.assertTrue(answer.startswith(b"HTTP/1.1 500"), answer)
        self.assertIn(b"X-Server-Stamp", answer)
        self.assertTrue(answer.endswith(b"failed"), answer)
