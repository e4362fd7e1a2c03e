"""One forwarding instance with stand-ins, whose event loop the test runs."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Callable

import testtools

from arbutusbridge.daemon.forwardinstance import ForwardInstance
from arbutusbridge.forwarding.model import Announcement, RoutingConfiguration
from arbutusbridge.platform import DIALECT, WIRE
from arbutusbridge.platform.configuration import CONFIGURATION_KEY
from arbutusbridge.platform.standins import (
    StoreStandIn,
    UpstreamStandIn,
    encode_announcement,
    encode_configuration,
)
from arbutusbridge.settings.forwarding import ForwardSettings
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports


class InstanceCase(testtools.TestCase):
    """An instance, the store and upstreams in one event loop, in real time.

    Attributes:
      callers: Address of the instance for callers.
      instance: The instance.
      store: Stand-in of the store.
      runs: What the upstreams have run.
    """

    def start_instance(self, **fields: object) -> None:
        """Starts the instance and the store.

        Args:
          fields: Settings besides the addresses.
        """
        ports = find_free_ports(3)
        self.callers = (LOOPBACK, ports[0])
        settings = {
            "name": "n-0",
            "data_centre": "north",
            "callers": f"{LOOPBACK}:{ports[0]}",
            "operators": f"{LOOPBACK}:{ports[1]}",
            "store": f"{LOOPBACK}:{ports[2]}",
        }
        self.instance = ForwardInstance.from_config(
            ForwardSettings.model_validate(settings | fields),
            WIRE,
            DIALECT,
            lambda: None,
            lambda: 1,
        )
        # Lets the test run the event loop turn by turn.
        self.instance._running = True
        self.instance._executing_thread = threading.current_thread()
        self.scheduled: list[tuple[float, Callable[[], None]]] = []
        self.runs: list[object] = []
        self.store = StoreStandIn(
            self.instance.hub,
            (LOOPBACK, ports[2]),
            time.monotonic,
            self.schedule,
        )
        self.addCleanup(self.instance.ingress.stop_listening)

    def schedule(self, seconds: float, function: Callable[[], None]) -> None:
        """Schedules a function of a stand-in."""
        self.scheduled.append((time.monotonic() + seconds, function))

    def start_upstream(
        self, name: str, service: str, work_s: float = 0.01
    ) -> tuple[UpstreamStandIn, tuple[str, bytes]]:
        """Starts an upstream; returns it with its key and value."""
        upstream = UpstreamStandIn(
            Announcement(name, service, (LOOPBACK, 1), "north", 4),
            self.instance.hub,
            time.monotonic,
            self.schedule,
            random.Random(1),
            self.runs.append,
            (LOOPBACK, 0),
            work_s=work_s,
        )
        address = (LOOPBACK, upstream.server.port)
        entry = encode_announcement(
            Announcement(name, service, address, "north", 4)
        )
        self.store.put(*entry)
        return upstream, entry

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Publishes a configuration and waits until the instance is ready."""
        self.store.put(CONFIGURATION_KEY, encode_configuration(configuration))
        self.run_until(lambda: self.instance.forwarding.ready)

    def run_until(self, done: Callable[[], object], seconds: float = 10.0):
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

    def receive(self, sock: socket.socket, seconds: float) -> bytes:
        """Runs the event loop until a caller's socket has data or is closed."""
        sock.setblocking(False)
        received: list[bytes] = []

        def has_received() -> bool:
            try:
                received.append(sock.recv(4096))
            except BlockingIOError:
                return False
            return True

        self.run_until(has_received, seconds)
        return received[0]

    def run_for(self, seconds: float) -> None:
        """Runs the event loop for a time."""
        end = time.monotonic() + seconds
        self.run_until(lambda: time.monotonic() >= end, seconds + 5.0)
