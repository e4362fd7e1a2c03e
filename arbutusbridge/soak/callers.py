"""Callers that keep their connections until the instance is gone."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from arbutusbridge.daemon.hub import READABLE
from arbutusbridge.platform.standins import decode_answer, encode_caller_request
from arbutusbridge.soak.proxy import CONNECT_S
from arbutusbridge.soak.record import Asked

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.platform.standins import Scheduler
    from arbutusbridge.soak.record import Record

READ_BYTES = 65_536
PAUSE_S = 0.08
"""Mean pause of a caller between an answer and its next request."""

LEAVE_SHARE = 0.03
"""Share of the requests whose caller leaves before the answer."""

SHORT_SHARE = 0.1
"""Share of the requests that come over a connection of their own."""

WAIT_S = (0.8, 1.5)
"""How long callers wait, least and most."""

GRACE_S = 0.4
"""Time past its wait for which a caller still listens."""


class Caller:
    """One caller with one connection at a time.

    Attributes:
      addresses: Where each instance takes callers, by name.
      routes: Names of routes with a method and a target each, to draw from.
      open: The request without an answer.
    """

    def __init__(
        self,
        name: str,
        host: str,
        addresses: dict[str, tuple[str, int]],
        routes: list[tuple[str, str, str]],
        record: Record,
        hub: SocketHub,
        clock: Callable[[], float],
        later: Scheduler,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.host = host
        self.addresses = addresses
        self.routes = routes
        self.record = record
        self.hub = hub
        self.clock = clock
        self.later = later
        self.rng = rng
        self.sock: socket.socket | None = None
        self.instance = ""
        self.open: Asked | None = None
        self.count = 0
        self.stopped = False
        self.pause()

    def pause(self) -> None:
        """Waits before the next request."""
        seconds = self.rng.expovariate(1 / PAUSE_S)
        self.later(seconds, self.ask)

    def connect(self) -> bool:
        """Connects to an instance, unless there is a connection."""
        if self.sock is not None:
            return True
        self.instance = self.rng.choice(sorted(self.addresses))
        address = self.addresses[self.instance]
        try:
            self.sock = socket.create_connection(address, CONNECT_S)
        except OSError:
            return False
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.hub.add(self.sock.fileno(), READABLE, self.on_readable)
        self.begin_answer()
        return True

    def begin_answer(self) -> None:
        """Prepares for the next answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def ask(self) -> None:
        """Sends a request."""
        if self.stopped or self.open is not None:
            return
        if not self.connect():
            self.pause()
            return
        assert self.sock is not None
        route, method, target = self.rng.choice(self.routes)
        self.count += 1
        asked = Asked(
            f"{self.name}-{self.count}",
            self.instance,
            route,
            f"{target}{self.rng.randint(1, 99)}",
            self.clock(),
            self.rng.uniform(*WAIT_S),
        )
        data = encode_caller_request(
            asked.request_id,
            method,
            asked.target,
            self.host,
            int(asked.wait_s * 1000),
        )
        try:
            self.sock.send(data)
        except OSError:
            self.disconnect()
            self.pause()
            return
        self.record.asked[asked.request_id] = asked
        self.open = asked
        if self.rng.random() < LEAVE_SHARE:
            early = self.rng.uniform(0.0, asked.wait_s / 4)
            self.later(early, lambda: self.leave(asked))
        self.later(asked.wait_s + GRACE_S, lambda: self.leave(asked, True))

    def leave(self, asked: Asked, waited: bool = False) -> None:
        """Gives a request up and closes the connection."""
        if self.open is not asked:
            return
        asked.left = not waited
        self.disconnect()
        self.pause()

    def on_readable(self, _mask: int) -> None:
        """Reads what came."""
        assert self.sock is not None
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        try:
            if data:
                self.parser.feed_data(data)
                return
        except httptools.HttpParserError:
            pass
        waits = self.open is not None
        self.disconnect()
        if waits:
            self.pause()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header, called by the parser."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body, called by the parser."""
        self.body += data

    def on_message_complete(self) -> None:
        """Takes a whole answer, called by the parser."""
        status = self.parser.get_status_code()
        answer = decode_answer(status, self.headers, self.body)
        keep = self.parser.should_keep_alive()
        asked, self.open = self.open, None
        if asked is not None:
            asked.answer = answer
            asked.ended_at = self.clock()
        if not keep or self.rng.random() < SHORT_SHARE:
            self.disconnect()
        else:
            self.begin_answer()
        self.pause()

    def disconnect(self) -> None:
        """Closes the connection; an open request ends without an answer."""
        if self.sock is not None:
            self.hub.remove(self.sock.fileno())
            self.sock.close()
            self.sock = None
        if self.open is not None:
            self.open.ended_at = self.clock()
            self.open = None
