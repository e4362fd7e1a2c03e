"""Simulated callers that reuse their connections until they are closed."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from arbutusbridge.daemon.hub import READABLE
from arbutusbridge.platform.standins import decode_answer, encode_caller_request
from arbutusbridge.soak.proxy import CONNECT_TIMEOUT_S
from arbutusbridge.soak.record import SentRequest

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.platform.standins import Scheduler
    from arbutusbridge.soak.record import SoakRecord

MAX_READ_BYTES = 65_536
MEAN_THINK_TIME_S = 0.08
"""Mean delay of a caller between an answer and its next request."""

ABANDON_FRACTION = 0.03
"""Fraction of the requests that the caller abandons before the answer."""

SHORT_CONNECTION_FRACTION = 0.1
"""Fraction of the answers after which the caller closes the connection."""

TIMEOUT_RANGE_S = (0.8, 1.5)
"""Minimum and maximum timeout of a request."""

TIMEOUT_GRACE_S = 0.4
"""Time past its timeout for which a caller still accepts an answer."""


class Caller:
    """Sends one request at a time over at most one connection.

    Attributes:
      addresses: Address for callers of each instance, by its name.
      routes: Name, method and target prefix of each route that requests are
        drawn from.
      pending_request: Request that is waiting for its answer, or None.
      count: Number of requests created so far.
      crash_target: Target of all of its requests, which crash the upstreams
        that run them; None for a caller of many targets.
      key: Key that it sends, empty for none.
    """

    key: str = ""

    def __init__(
        self,
        name: str,
        host: str,
        addresses: dict[str, tuple[str, int]],
        routes: list[tuple[str, str, str]],
        record: SoakRecord,
        hub: SocketHub,
        clock: Callable[[], float],
        schedule: Scheduler,
        rng: random.Random,
        crash_target: str | None = None,
    ) -> None:
        self.crash_target = crash_target
        self.name = name
        self.host = host
        self.addresses = addresses
        self.routes = routes
        self.record = record
        self.hub = hub
        self.clock = clock
        self.schedule = schedule
        self.rng = rng
        self.sock: socket.socket | None = None
        self.instance = ""
        self.pending_request: SentRequest | None = None
        self.count = 0
        self.stopped = False
        self.schedule_next_request()

    def schedule_next_request(self) -> None:
        """Schedules the next request after a random delay."""
        seconds = self.rng.expovariate(1 / MEAN_THINK_TIME_S)
        self.schedule(seconds, self.send_request)

    def connect(self) -> bool:
        """Connects to a random instance unless already connected.

        Returns:
          Whether the caller is connected.
        """
        if self.sock is not None:
            return True
        self.instance = self.rng.choice(sorted(self.addresses))
        address = self.addresses[self.instance]
        try:
            self.sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            return False
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.hub.add(self.sock.fileno(), READABLE, self.on_readable)
        self.reset_parser()
        return True

    def reset_parser(self) -> None:
        """Resets the parser for the next answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def send_request(self) -> None:
        """Sends a request to a random route and schedules its timeout."""
        if self.stopped or self.pending_request is not None:
            return
        if not self.connect():
            self.schedule_next_request()
            return
        assert self.sock is not None
        route, method, target = self.rng.choice(self.routes)
        target += str(self.rng.randint(1, 99))
        if self.crash_target is not None:
            target = self.crash_target
        self.count += 1
        asked = SentRequest(
            f"{self.name}-{self.count}",
            self.instance,
            route,
            target,
            self.clock(),
            self.rng.uniform(*TIMEOUT_RANGE_S),
            crashing=self.crash_target is not None,
            key=self.key,
        )
        data = encode_caller_request(
            asked.request_id,
            method,
            asked.target,
            self.host,
            int(asked.timeout_s * 1000),
            asked.key,
        )
        try:
            self.sock.send(data)
        except OSError:
            self.disconnect()
            self.schedule_next_request()
            return
        self.record.asked[asked.request_id] = asked
        self.pending_request = asked
        if self.rng.random() < ABANDON_FRACTION:
            abandon_delay_s = self.rng.uniform(0.0, asked.timeout_s / 4)
            self.schedule(abandon_delay_s, lambda: self.give_up(asked))
        self.schedule(
            asked.timeout_s + TIMEOUT_GRACE_S, lambda: self.give_up(asked, True)
        )

    def give_up(self, asked: SentRequest, timed_out: bool = False) -> None:
        """Closes the connection if a request is still pending.

        Args:
          asked: Request to give up.
          timed_out: Whether its timeout is over; otherwise the caller abandons
            the request early.
        """
        if self.pending_request is not asked:
            return
        asked.abandoned = not timed_out
        self.disconnect()
        self.schedule_next_request()

    def on_readable(self, _mask: int) -> None:
        """Reads a piece of an answer, or handles the end of the connection."""
        assert self.sock is not None
        try:
            data = self.sock.recv(MAX_READ_BYTES)
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
        was_pending = self.pending_request is not None
        self.disconnect()
        if was_pending:
            self.schedule_next_request()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; called by the parser."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Appends a piece of the body; called by the parser."""
        self.body += data

    def on_message_complete(self) -> None:
        """Records a complete answer; called by the parser."""
        status = self.parser.get_status_code()
        answer = decode_answer(status, self.headers, self.body)
        keep_alive = self.parser.should_keep_alive()
        asked, self.pending_request = self.pending_request, None
        if asked is not None:
            asked.answer = answer
            asked.ended_at = self.clock()
        if not keep_alive or self.rng.random() < SHORT_CONNECTION_FRACTION:
            self.disconnect()
        else:
            self.reset_parser()
        self.schedule_next_request()

    def disconnect(self) -> None:
        """Closes the connection; a pending request ends without an answer."""
        if self.sock is not None:
            self.hub.remove(self.sock.fileno())
            self.sock.close()
            self.sock = None
        if self.pending_request is not None:
            self.pending_request.ended_at = self.clock()
            self.pending_request = None
