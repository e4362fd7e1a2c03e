"""Tests of requests that arrive late in a planned stop."""

from __future__ import annotations

import random
import socket
import threading
import time

import testtools

from arbutusbridge.core.stop import StopPhase
from arbutusbridge.daemon.forwardinstance import ForwardInstance
from arbutusbridge.forwarding.model import (
    Announcement,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from arbutusbridge.platform import DIALECT, WIRE
from arbutusbridge.platform.documents import CONFIGURATION_KEY
from arbutusbridge.platform.standins import (
    StoreStandIn,
    UpstreamStandIn,
    encode_announcement,
    encode_configuration,
)
from arbutusbridge.settings.forwarding import ForwardSettings
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports

STOP_S = 2.0
"""Time limit of the stop."""

WORK_S = 0.4
"""Time that the upstream works on a request."""

HOST = "late.example"


class LateInStopTest(testtools.TestCase):
    """One instance with stand-ins, in real time."""

    def setUp(self) -> None:
        super().setUp()
        ports = find_free_ports(3)
        settings = {
            "name": "n-0",
            "data_centre": "north",
            "callers": f"{LOOPBACK}:{ports[0]}",
            "operators": f"{LOOPBACK}:{ports[1]}",
            "store": f"{LOOPBACK}:{ports[2]}",
            "stop_seconds": STOP_S,
            "balancer_lag_seconds": 0.2,
        }
        self.callers = (LOOPBACK, ports[0])
        self.instance = ForwardInstance.from_config(
            ForwardSettings.model_validate(settings),
            WIRE,
            DIALECT,
            lambda: None,
            lambda: 1,
        )
        # Lets the test run the event loop turn by turn.
        self.instance._running = True
        self.instance._executing_thread = threading.current_thread()
        self.scheduled = []
        hub, clock = self.instance.hub, time.monotonic

        def schedule(seconds, function) -> None:
            self.scheduled.append((clock() + seconds, function))

        store = StoreStandIn(hub, (LOOPBACK, ports[2]), clock, schedule)
        self.runs = []
        self.upstream = upstream = UpstreamStandIn(
            Announcement("i-1", "records", (LOOPBACK, 1), "north", 4),
            hub,
            clock,
            schedule,
            random.Random(1),
            self.runs.append,
            (LOOPBACK, 0),
            work_s=WORK_S,
        )
        address = (LOOPBACK, upstream.server.port)
        announcement = Announcement("i-1", "records", address, "north", 4)
        store.put(*encode_announcement(announcement))
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
        configuration = RoutingConfiguration(1, (route,), {"records": 9})
        store.put(CONFIGURATION_KEY, encode_configuration(configuration))
        self.run_until(lambda: self.instance.forwarding.ready)
        self.addCleanup(self.instance.ingress.stop_listening)

    def run_until(self, done, seconds: float = 10.0) -> None:
        """Runs the event loop until a condition holds."""
        end = time.monotonic() + seconds
        while not done():
            if time.monotonic() > end:
                raise TimeoutError
            now = time.monotonic()
            due = [one for one in self.scheduled if one[0] <= now]
            self.scheduled = [one for one in self.scheduled if one not in due]
            for _, function in due:
                function()
            self.instance.tick(0.005)

    def run_for(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        self.run_until(lambda: time.monotonic() >= end, seconds + 5.0)

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
