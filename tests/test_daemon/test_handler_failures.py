"""Tests of errors in handlers, in real time.

Guards against requests that get no answer, not even at their time limit, since
a handler has failed for a reason of its own (review/13).
"""

from __future__ import annotations

import dataclasses
import socket
import time
from collections.abc import Callable

from arbutusbridge.forwarding.model import (
    Route,
    RoutingConfiguration,
    WeightedService,
)
from tests.test_daemon.instancecase import InstanceCase

HOST = "desk.example"
TIMEOUT_S = 1.0


def fail_first(sound: Callable, times: int) -> Callable:
    """Returns a function that fails some times before it works."""
    left = [times]

    def failing(*args, **fields):
        if left[0]:
            left[0] -= 1
            raise OverflowError("spoiled")
        return sound(*args, **fields)

    return failing


class HandlerFailureTest(InstanceCase):
    """An instance in which one function fails for some time."""

    def setUp(self) -> None:
        super().setUp()
        self.start_instance()
        self.forwarding = self.instance.forwarding
        self.start_upstream("i-1", "s1", work_s=0.05)
        route = Route(
            "fetch",
            HOST,
            "/fetch/",
            True,
            timeout_s=TIMEOUT_S,
            target_s=0.2,
            services=(WeightedService("s1"),),
        )
        self.configure(RoutingConfiguration(1, (route,), {}))
        self.ask()

    def fail(self, owner, name: str, times: int = 1) -> None:
        """Lets a method fail the next times that it is called."""
        sound = getattr(owner, name)
        setattr(owner, name, fail_first(sound, times))
        self.addCleanup(setattr, owner, name, sound)

    def ask(self, limit_s: float = TIMEOUT_S + 0.5) -> tuple[bytes, float]:
        """Sends a request; returns its status line and how long it took."""
        began_at = time.monotonic()
        with socket.create_connection(self.callers) as sock:
            sock.sendall(
                f"GET /fetch/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: r{began_at}\r\n\r\n".encode()
            )
            answer = self.receive(sock, limit_s)
        took_s = time.monotonic() - began_at
        return answer.partition(b"\r\n")[0], took_s

    # Guards against a request whose arrival is not handled.
    def test_request_whose_arrival_fails(self) -> None:
        self.fail(self.forwarding.forwarder, "handle_request")
        status, took_s = self.ask()
        self.assertIn(b" 502 ", status)
        self.assertLess(took_s, 0.5)
        self.assertIn(b" 200 ", self.ask()[0])

    # Guards against an action that fails and costs those after it.
    def test_request_whose_action_fails(self) -> None:
        for owner, name in (
            (self.instance.pools, "send"),
            (self.instance.timers, "at"),
            (self.forwarding, "record_decision"),
        ):
            self.fail(owner, name)
            status, _ = self.ask()
            self.assertNotEqual(b"", status, name)
            self.assertIn(b" 200 ", self.ask()[0], name)

    # Guards against an answer or a response that cannot be converted.
    def test_request_whose_answer_fails(self) -> None:
        wire = self.forwarding.wire
        for owner, name in (
            (self.instance.ingress, "encode_answer"),
            (self.instance.pools, "decode_reply"),
        ):
            failing = fail_first(getattr(wire, name), 1)
            owner.wire = dataclasses.replace(wire, **{name: failing})
            status, _ = self.ask()
            self.assertNotEqual(b"", status, name)
            self.assertIn(b" 200 ", self.ask()[0], name)

    # Guards against a due timer that is lost with the one before it.
    def test_request_whose_timer_fails(self) -> None:
        forwarder = self.forwarding.forwarder
        self.fail(forwarder, "replies", times=1000)
        self.fail(forwarder, "handle_timer")
        self.fail(forwarder, "maintain")
        self.fail(forwarder, "exchange_notices")
        status, _ = self.ask()
        self.assertIn(b" 504 ", status)

    # Guards against a socket that is no longer read after one bad message.
    def test_callers_connection_whose_callback_fails(self) -> None:
        self.fail(self.instance.ingress, "dispatch_next")
        self.assertEqual(b"", self.ask()[0])
        self.fail(self.instance.ingress, "admit")
        with socket.create_connection(self.callers):
            self.run_for(0.1)
        self.assertIn(b" 200 ", self.ask()[0])
