"""Tests of upstreams that reject with a time for which they want no requests.

Guards against requests that such an upstream gets in that time, and against
requests that wait although nothing can serve them.
"""

from __future__ import annotations

import dataclasses

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    AttemptEnd,
    Refusal,
    RefusedAnswer,
)
from arbutusbridge.forwarding.pauses import MAX_RETURN_SPREAD_S
from arbutusbridge.platform import WIRE
from arbutusbridge.platform.http import MAX_PAUSE_S
from tests.test_forwarding.fixtures import (
    TwoUpstreamsCase,
    ended,
    make_forwarder,
    only,
    plain,
    request,
    result,
    sends_of,
    shard_upstreams,
    sharded,
    upstream,
)

NOW = TwoUpstreamsCase.now
PAUSE_S = 2.5
TWO = TwoUpstreamsCase.two


def pauses(send, pause_s: float = PAUSE_S):
    """Returns a rejection that asks for a pause."""
    rejected = ended(send, AttemptEnd.SHED, status=503)
    return dataclasses.replace(rejected, pause_s=pause_s)


class PauseTest(TwoUpstreamsCase):
    """First attempts, retries, waiting requests and refusals."""

    def test_upstream_gets_nothing_until_the_end(self) -> None:
        forwarder = make_forwarder([plain(idempotent=False)], TWO)
        (send,) = sends_of(self.send(forwarder))
        name = send.upstream.upstream
        out = forwarder.replies([pauses(send)], NOW)
        (retry,) = sends_of(out)
        self.assertNotEqual(name, retry.upstream.upstream)
        forwarder.replies([result(retry)], NOW)
        self.assertNotIn(name, self.used(forwarder, NOW + PAUSE_S - 0.01))
        self.assertIn(name, self.used(forwarder, NOW + PAUSE_S + 0.01))
        lines = [
            one.detail["pause_ms"]
            for one in out
            if isinstance(one, Decision) and one.what == "upstream_paused"
        ]
        self.assertEqual([PAUSE_S * 1000], lines)

    def test_delayed_rejection_does_not_shorten_the_pause(self) -> None:
        forwarder = make_forwarder([plain()], TWO[:1])
        sent = [sends_of(self.send(forwarder))[0] for _ in range(3)]
        forwarder.replies([pauses(sent[0])], NOW)
        out = forwarder.replies([pauses(sent[1], 0.2)], NOW + 0.1)
        forwarder.replies([result(sent[2])], NOW + 0.2)
        answer = only(self.send(forwarder, NOW + 1.0), RefusedAnswer)
        self.assertIs(Refusal.LIMITED, answer.refusal)
        self.assertFalse(
            [
                one
                for one in out
                if getattr(one, "what", "") == "upstream_paused"
            ]
        )

    # Guards against a rejection that counts as a failure of the upstream.
    def test_pause_is_no_failure(self) -> None:
        forwarder = make_forwarder([plain()], TWO[:1])
        (send,) = sends_of(self.send(forwarder))
        forwarder.replies([pauses(send)], NOW)
        found = forwarder.directory.by_name[send.upstream.upstream]
        self.assertEqual(0.0, found.failure_rate)

    def test_waiting_requests_are_sent_elsewhere(self) -> None:
        self.check_waiting_requests_move(pauses)

    # Guards against requests that wait until their deadline, and against those
    # that all come back at the same moment.
    def test_paused_service_rejects_with_the_time_of_its_return(self) -> None:
        forwarder = make_forwarder([plain()], TWO)
        (first,) = sends_of(self.send(forwarder))
        (second,) = sends_of(forwarder.replies([pauses(first)], NOW))
        out = forwarder.replies([pauses(second, PAUSE_S + 1.0)], NOW)
        times = [only(out, RefusedAnswer).retry_after_s]
        for _ in range(5):
            answer = only(self.send(forwarder), RefusedAnswer)
            self.assertIs(Refusal.LIMITED, answer.refusal)
            times.append(answer.retry_after_s)
        self.assertAlmostEqual(PAUSE_S, times[0])
        self.assertEqual(sorted(set(times)), times)
        for _ in range(300):
            answer = only(self.send(forwarder), RefusedAnswer)
        self.assertAlmostEqual(
            PAUSE_S + MAX_RETURN_SPREAD_S, answer.retry_after_s
        )

    def test_paused_shard_is_left_out(self) -> None:
        forwarder = make_forwarder(
            [sharded(4, least_coverage=0.5)], shard_upstreams(4, ("north",))
        )
        sent = sends_of(forwarder.handle_request(request(1), NOW))
        forwarder.replies([pauses(sent[0])], NOW)
        forwarder.replies([result(one, 1) for one in sent[1:]], NOW)
        again = sends_of(forwarder.handle_request(request(2), NOW + 1.0))
        self.assertEqual(3, len(again))
        self.assertNotIn(
            sent[0].upstream.upstream, {one.upstream.upstream for one in again}
        )

    def test_next_start_is_not_paused(self) -> None:
        forwarder = make_forwarder([plain()], TWO[:1])
        (send,) = sends_of(self.send(forwarder))
        forwarder.replies([pauses(send)], NOW)
        forwarder.announce(upstream("u1", "records", started_ms=9), NOW + 0.1)
        self.assertEqual({"u1"}, self.used(forwarder, NOW + 0.2))


class HeaderTest(testtools.TestCase):
    """The header of an upstream's response."""

    def pause(self, status: int, value: bytes, *headers) -> float:
        found = [(b"Retry-After", value), *headers]
        return WIRE.decode_reply(1, status, found, b"").pause_s

    def test_readings(self) -> None:
        rejected = (b"X-Not-Executed", b"1")
        for value, expected in (
            (b"2", 2.0),
            (b" 0.25 ", 0.25),
            (b"-3", 0.0),
            (b"999999", MAX_PAUSE_S),
            (b"Fri, 04 Dec 2026 10:00:00 GMT", 0.0),
            (b"nan", 0.0),
            (b"", 0.0),
        ):
            self.assertEqual(expected, self.pause(503, value, rejected), value)

    def test_other_responses_say_nothing(self) -> None:
        rejected = (b"X-Not-Executed", b"1")
        self.assertEqual(0.0, self.pause(429, b"2", rejected))
        self.assertEqual(0.0, self.pause(503, b"2"))
        self.assertEqual(
            2.0, self.pause(503, b"2", (b"X-Server-Stamp", b"a.1"))
        )
