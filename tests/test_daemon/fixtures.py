"""Event loop, clock and upstream under the control of the tests."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from arbutusbridge.core.messages import Attempt, Reply
from arbutusbridge.core.model import Configuration, Rules, Upstream
from arbutusbridge.daemon.hub import SocketHub
from arbutusbridge.daemon.timers import TimerService
from arbutusbridge.standins.deployment import LOOPBACK

WAIT_TIMEOUT_S = 10.0
"""Timeout of waiting for a condition or a socket."""


class ComponentBench(BaseComponent):
    """Event loop that the test runs turn by turn, with a clock that it sets.

    Collects the replies of upstreams and the exceptions in handlers.
    """

    channel = "queries"

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.poller = EPoll().register(self)
        self.timers = TimerService(lambda: self.now).register(self)
        self.hub = SocketHub().register(self)
        self.replies: list[Reply] = []
        self.failures: list[Any] = []
        self._running = True
        self._executing_thread = threading.current_thread()

    @handler("replies_received")
    def on_replies_received(self, replies: list[Reply]) -> None:
        self.replies.extend(replies)

    @handler("exception", channel="*")
    def on_exception(self, _kind: Any, value: Any, *_rest: Any, **_: Any):
        self.failures.append(value)

    def turn(self, times: int = 20) -> None:
        """Runs the given number of turns of the event loop."""
        for _ in range(times):
            self.tick(0.002)

    def turn_until(self, done: Callable[[], Any]) -> None:
        """Runs the event loop until a condition holds.

        Raises:
          TimeoutError: It did not hold within WAIT_TIMEOUT_S.
        """
        end = time.monotonic() + WAIT_TIMEOUT_S
        while not done():
            if time.monotonic() > end:
                raise TimeoutError(f"the condition never held: {self.failures}")
            self.tick(0.01)


class RawUpstream:
    """Listener whose connections the test reads and writes itself."""

    def __init__(self) -> None:
        self.listener = socket.create_server((LOOPBACK, 0))
        self.listener.settimeout(WAIT_TIMEOUT_S)
        self.port = self.listener.getsockname()[1]

    def accept(self) -> socket.socket:
        sock, _ = self.listener.accept()
        sock.settimeout(WAIT_TIMEOUT_S)
        return sock


def configuration(version: int = 1, **ports: int) -> Configuration:
    """Returns a configuration of upstreams only, given names and ports."""
    upstreams = {
        name: Upstream(name, LOOPBACK, port, "north", 2, 25, 1.0)
        for name, port in ports.items()
    }
    return Configuration(version, "", {}, upstreams, Rules())


def attempt(number: int, deadline: float, **fields: Any) -> Attempt:
    """Returns an attempt at upstream u."""
    return Attempt(
        number, "r", "u", "leases", "s0", (1, 1), deadline, {}, **fields
    )
