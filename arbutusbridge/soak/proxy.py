"""Loopback TCP proxy that can delay, stall or reset connections."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from arbutusbridge.daemon.connection import NO_LINGER
from arbutusbridge.daemon.hub import READABLE, WRITABLE

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.platform.standins import Scheduler

MAX_READ_BYTES = 65_536
BACKLOG = 1024
CONNECT_TIMEOUT_S = 0.2
"""Timeout of a connect on loopback."""


class Proxy:
    """Forwards connections from one address to another.

    Attributes:
      target: Address that connections are forwarded to.
      delay_s: Delay added to bytes in both directions.
      stalled: Directions, ``out`` and ``back``, in which bytes are held back.
        They are sent once the direction is no longer stalled, as after a
        network partition.
      refusing: Whether new connections are reset.
      admits: Returns whether a new connection is forwarded; it is reset
        otherwise.
      connections: Open connections.
      address: Address that the proxy listens on.
    """

    def __init__(
        self,
        hub: SocketHub,
        address: tuple[str, int],
        target: tuple[str, int],
        clock: Callable[[], float],
        schedule: Scheduler,
    ) -> None:
        self.hub = hub
        self.target = target
        self.clock = clock
        self.schedule = schedule
        self.delay_s = 0.0
        self.stalled: set[str] = set()
        self.refusing = False
        self.admits: Callable[[socket.socket], bool] = lambda _client: True
        self.connections: set[ProxiedConnection] = set()
        self.sock = socket.create_server(address, backlog=BACKLOG)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        hub.add(self.sock.fileno(), READABLE, self.on_accept)

    def on_accept(self, _mask: int) -> None:
        """Accepts all pending connections and connects each to the target."""
        while True:
            try:
                client, _ = self.sock.accept()
            except OSError:
                return
            if self.refusing or not self.admits(client):
                reset(client)
                continue
            try:
                server = socket.create_connection(
                    self.target, CONNECT_TIMEOUT_S
                )
            except OSError:
                reset(client)
                continue
            self.connections.add(ProxiedConnection(self, client, server))

    def set_stalled(self, *directions: str) -> None:
        """Stalls only these directions and sends what the others held back."""
        self.stalled = set(directions)
        for connection in list(self.connections):
            connection.flush()

    def reset_all(self) -> None:
        """Resets all open connections."""
        for connection in list(self.connections):
            connection.end(with_reset=True)

    def stop_listening(self) -> None:
        """Refuses new connections, as a host whose process has ended."""
        self.hub.remove(self.sock.fileno())
        self.sock.close()

    def listen_again(self) -> None:
        """Listens again on the same address."""
        if self.sock.fileno() < 0:
            self.sock = socket.create_server(self.address, backlog=BACKLOG)
            self.sock.setblocking(False)
            self.hub.add(self.sock.fileno(), READABLE, self.on_accept)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self.stop_listening()
        self.reset_all()


class ProxiedConnection:
    """One connection through a proxy.

    Attributes:
      sockets: Source and destination socket of each direction.
      queues: Buffered pieces of each direction, each with the earliest time
        to send it; an empty piece is the end of the stream.
      client: Socket towards the client.
      stalled: Whether bytes of this connection are held back.
      alive: Whether the connection is open.
    """

    def __init__(
        self, proxy: Proxy, client: socket.socket, server: socket.socket
    ) -> None:
        self.proxy = proxy
        self.sockets = {"out": (client, server), "back": (server, client)}
        self.queues: dict[str, list[tuple[float, bytes]]] = {
            "out": [],
            "back": [],
        }
        self.client = client
        self.stalled = False
        self.alive = True
        for direction, (source, _) in self.sockets.items():
            source.setblocking(False)
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.watch(direction, READABLE)

    def watch(self, direction: str, mask: int) -> None:
        """Registers the source socket of a direction with the hub."""
        source, _ = self.sockets[direction]

        def on_ready(ready: int) -> None:
            self.on_ready(direction, ready)

        self.proxy.hub.add(source.fileno(), mask, on_ready)

    def on_ready(self, direction: str, mask: int) -> None:
        """Reads from the source of a direction, or resumes writing to it."""
        source, _ = self.sockets[direction]
        if mask & WRITABLE:
            self.proxy.hub.change(source.fileno(), READABLE)
            self.flush()
        if not mask & ~WRITABLE or not self.alive:
            return
        try:
            data = source.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.end(with_reset=True)
            return
        if not data:
            self.proxy.hub.remove(source.fileno())
        queue = self.queues[direction]
        due = self.proxy.clock() + self.proxy.delay_s
        queue.append((max(due, queue[-1][0] if queue else 0.0), data))
        if self.proxy.delay_s:
            self.proxy.schedule(self.proxy.delay_s, self.flush)
        else:
            self.flush()

    def flush(self) -> None:
        """Sends the buffered pieces that are due and not stalled."""
        for direction, queue in self.queues.items():
            _, target = self.sockets[direction]
            while queue and self.alive:
                due, data = queue[0]
                stalled = self.stalled or direction in self.proxy.stalled
                if stalled or due > self.proxy.clock():
                    break
                if not data:
                    self.end()
                    return
                try:
                    count = target.send(data)
                except BlockingIOError:
                    mask = READABLE | WRITABLE
                    self.proxy.hub.change(target.fileno(), mask)
                    break
                except OSError:
                    self.end(with_reset=True)
                    return
                queue.pop(0)
                if count < len(data):
                    queue.insert(0, (due, data[count:]))

    def end(self, with_reset: bool = False) -> None:
        """Closes both sockets.

        Args:
          with_reset: Whether to reset them instead of a normal close.
        """
        if not self.alive:
            return
        self.alive = False
        self.proxy.connections.discard(self)
        for source, _ in self.sockets.values():
            self.proxy.hub.remove(source.fileno())
            if with_reset:
                reset(source)
            else:
                source.close()


def reset(sock: socket.socket) -> None:
    """Closes a socket with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    sock.close()
