"""Tests of the store feed on loopback sockets."""

from __future__ import annotations

import json

import testtools

from arbutusbridge.core.messages import StoreResult, StoreStatus
from arbutusbridge.daemon.connection import MAX_BODY_BYTES
from arbutusbridge.daemon.events import upstreams_changed
from arbutusbridge.daemon.platform import PlatformClient
from arbutusbridge.daemon.storefeed import StoreFeed
from arbutusbridge.platform import DIALECT
from arbutusbridge.standins.deployment import LOOPBACK
from tests.test_daemon.fixtures import ComponentBench, RawUpstream

EMPTY = {"items": [], "has_more": False, "current_rev": 7}
"""Page of an empty store."""


class SilentStoreTest(testtools.TestCase):
    """The feed recovers from a store that stops answering.

    Guards against a watch that the store has lost. Unless it is sent again,
    new configurations come into force too late.
    """

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.raw = RawUpstream()
        self.store = PlatformClient(
            self.bench.hub, self.bench.timers, [(LOOPBACK, self.raw.port)]
        ).register(self.bench)
        self.feed = StoreFeed(
            [("servers/", upstreams_changed)],
            self.store,
            DIALECT,
            self.bench.timers,
        ).register(self.bench)
        self.feed.begin()

    def answer(self, sock, body, status="200 OK") -> None:
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n"
        sock.sendall(head.encode() + data)
        self.bench.turn()

    def load(self):
        """Answers the first load; returns the connection to the store."""
        self.bench.turn()
        sock = self.raw.accept()
        self.bench.turn()
        self.assertIn(b"/kv-range", sock.recv(4096))
        self.answer(sock, EMPTY)
        return sock

    def send_other_call(self) -> None:
        token = ("test", "count")
        request = DIALECT.page("x/", "")
        self.store.send_call(request, token, lambda _result: None, 1.0)

    def test_watch_is_sent_again_once_another_call_is_answered(self) -> None:
        sock = self.load()
        self.assertIn(b"/kv-watch", sock.recv(4096))
        self.send_other_call()
        self.bench.turn()
        unanswered = self.raw.accept()
        self.bench.now += 1.1
        self.bench.turn()
        unanswered.close()
        self.assertTrue(self.store.failing)
        self.send_other_call()
        self.bench.turn()
        other = self.raw.accept()
        self.bench.turn()
        other.recv(4096)
        self.answer(other, EMPTY)
        # The unanswered watch is closed, and a new one from the same
        # revision is open.
        self.assertEqual(b"", sock.recv(4096))
        self.assertIn(b"after=7", other.recv(4096))

    def test_lost_watch_is_sent_again_in_time(self) -> None:
        # Seed 39 of the soak test: no other call was sent during a store outage
        # of two seconds, so the lost watch was not noticed and a version came
        # into force 9.5 s after it was written.
        sock = self.load()
        self.assertIn(b"/kv-watch", sock.recv(4096))
        for _ in range(9):
            self.bench.now += 0.5
            self.bench.turn()
        other = self.raw.accept()
        self.bench.turn()
        self.assertIn(b"after=7", other.recv(4096))

    # Guards against a watch that is sent again and again from one revision, as
    # its reply is too large (review/4).
    def test_changes_that_are_too_large_load_all_again(self) -> None:
        sock = self.load()
        sock.recv(4096)
        value = "x" * 700_000
        events = [
            {"key": f"op/{number}", "value": value, "revision": 8 + number}
            for number in range(13)
        ]
        data = json.dumps({"events": events, "current_rev": 20}).encode()
        self.assertTrue(len(data) > MAX_BODY_BYTES)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
        sock.setblocking(False)
        data = head.encode() + data
        while data:
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                self.bench.turn(1)
            except OSError:
                break
        self.bench.turn(300)
        other = self.raw.accept()
        self.bench.turn()
        self.assertIn(b"/kv-range", other.recv(4096))
        self.assertEqual(0, self.feed.key_feed.failures)

    def test_page_that_is_too_large_is_a_failure(self) -> None:
        call = (self.feed.generation, ("storefeed", "page"))
        result = StoreResult(call[1], StoreStatus.TOO_LARGE)
        self.feed.on_result(call[0], result)
        self.assertEqual(1, self.feed.key_feed.failures)

    def test_history_lost_loads_all_again(self) -> None:
        sock = self.load()
        sock.recv(4096)
        self.answer(sock, {}, "410 Gone")
        self.assertIn(b"/kv-range", sock.recv(4096))
        self.answer(sock, EMPTY)
        self.assertEqual(2, self.feed.key_feed.reloads)
