"""Tests of upstreams that say in their responses that they are leaving.

Guards against requests that an upstream gets although it has said that it is
leaving, and that are lost when it ends (review/5).
"""

from __future__ import annotations

import dataclasses

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    AttemptEnd,
    Refusal,
    RefusedAnswer,
    RelayedAnswer,
)
from arbutusbridge.forwarding.feed import WATCH_DELAY_S
from arbutusbridge.forwarding.leaving import LEAVING_SEND_S
from arbutusbridge.forwarding.removals import DEFAULT_DRAIN_S, MAX_REPLY_S
from arbutusbridge.forwarding.upstreams import LEAVING_GRACE_S
from arbutusbridge.platform import WIRE
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
TWO = TwoUpstreamsCase.two


def leaves(reply):
    """Returns a reply whose upstream says that it is leaving."""
    return dataclasses.replace(reply, leaving=True)


class LeavingTest(TwoUpstreamsCase):
    """First attempts, retries and waiting requests."""

    def learn(self, forwarder, end=None):
        """Lets an upstream say that it is leaving; returns its id."""
        (send,) = sends_of(self.send(forwarder))
        reply = result(send) if end is None else ended(send, end, status=503)
        self.out = forwarder.replies([leaves(reply)], NOW)
        return send.upstream.upstream

    def test_no_further_request_is_sent(self) -> None:
        forwarder = make_forwarder([plain()], TWO)
        name = self.learn(forwarder)
        self.assertTrue(only(self.out, RelayedAnswer))
        (found,) = [
            one
            for one in self.out
            if isinstance(one, Decision) and one.what == "upstream_leaving"
        ]
        self.assertEqual(name, found.detail["upstream"])
        self.assertNotIn(name, self.used(forwarder, NOW + 1.0))

    def test_rejection_says_so_too_and_the_retry_goes_elsewhere(self) -> None:
        forwarder = make_forwarder([plain(idempotent=False)], TWO)
        name = self.learn(forwarder, AttemptEnd.SHED)
        (retry,) = sends_of(self.out)
        self.assertNotEqual(name, retry.upstream.upstream)

    # Guards against the announcement that was written before the upstream began
    # to leave, and is read after its response.
    def test_announcement_does_not_end_it(self) -> None:
        forwarder = make_forwarder([plain()], TWO)
        name = self.learn(forwarder)
        for leaving in (False, True, False):
            forwarder.announce(
                upstream(name, "records", leaving=leaving), NOW + 0.5
            )
            self.assertNotIn(name, self.used(forwarder, NOW + 1.0))

    def test_announcement_that_came_first_is_kept(self) -> None:
        forwarder = make_forwarder([plain()], TWO)
        (send,) = sends_of(self.send(forwarder))
        name = send.upstream.upstream
        forwarder.announce(upstream(name, "records", leaving=True), NOW)
        forwarder.replies([leaves(result(send))], NOW + 0.5)
        self.assertEqual(NOW, forwarder.directory.by_name[name].leaving_at)
        self.assertNotIn(name, self.used(forwarder, NOW + 1.0))

    def test_next_start_is_used_again(self) -> None:
        forwarder = make_forwarder([plain()], TWO)
        name = self.learn(forwarder)
        forwarder.announce(upstream(name, "records", started_ms=7), NOW + 0.5)
        self.assertIn(name, self.used(forwarder, NOW + 1.0))

    def test_waiting_requests_are_sent_elsewhere(self) -> None:
        self.check_waiting_requests_move(lambda send: leaves(result(send)))

    # A service whose upstreams all leave is served for a short time, as others
    # may be about to be announced; then its requests are rejected at once.
    def test_service_that_leaves_as_a_whole(self) -> None:
        forwarder = make_forwarder([plain()], TWO[:1])
        self.learn(forwarder)
        soon = NOW + LEAVING_GRACE_S - 0.1
        (send,) = sends_of(self.send(forwarder, soon))
        self.assertEqual(NOW + LEAVING_SEND_S, send.send_by)
        forwarder.replies([leaves(result(send))], soon)
        answer = only(self.send(forwarder, NOW + 2.0), RefusedAnswer)
        self.assertIs(Refusal.UNSERVABLE, answer.refusal)
        self.assertIsNotNone(answer.retry_after_s)

    # Guards against a request that waits for longer than the upstream serves,
    # where its announcement is read as late as a sound store allows.
    def test_last_waiting_request_is_sent_within_the_drain_period(self) -> None:
        read_s = WATCH_DELAY_S + MAX_REPLY_S
        self.assertLessEqual(read_s + LEAVING_SEND_S, DEFAULT_DRAIN_S)

    def test_parts_of_a_search_go_elsewhere(self) -> None:
        forwarder = make_forwarder([sharded(3)], shard_upstreams(3))
        first = sends_of(forwarder.handle_request(request(1), NOW))
        forwarder.replies([leaves(result(one, 1)) for one in first], NOW)
        gone = {one.upstream.upstream for one in first}
        second = sends_of(forwarder.handle_request(request(2), NOW + 1.0))
        self.assertEqual(3, len(second))
        self.assertFalse(gone & {one.upstream.upstream for one in second})


class HeaderTest(testtools.TestCase):
    """The header of the users' platform."""

    def decode(self, status: int, *headers: tuple[bytes, bytes]):
        return WIRE.decode_reply(1, status, list(headers), b"")

    def test_any_response_of_the_upstream_counts(self) -> None:
        leaving = (b"Server-Leaving", b"1")
        stamp = (b"X-Server-Stamp", b"a.1")
        rejected = (b"X-Not-Executed", b"1")
        self.assertTrue(self.decode(200, stamp, leaving).leaving)
        self.assertTrue(self.decode(500, stamp, leaving).leaving)
        self.assertTrue(self.decode(503, rejected, leaving).leaving)
        self.assertFalse(self.decode(421, rejected, leaving).leaving)
        self.assertFalse(
            self.decode(200, stamp, (b"Server-Leaving", b"0")).leaving
        )
        self.assertFalse(self.decode(200, stamp).leaving)
