"""Tests of answers that promise that a request has not run.

Guards against callers that repeat a request which has run, because they were
told that it had not.
"""

from __future__ import annotations

import itertools
import math

import testtools

from arbutusbridge.core.httpstatus import NOT_RUN_STATUSES
from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    AttemptEnd,
    Refusal,
    RefusedAnswer,
    RelayedAnswer,
)
from arbutusbridge.forwarding import relay as relaying
from arbutusbridge.forwarding.gather import (
    GatherReply,
    RelayedResponse,
    SendGatherMessage,
)
from arbutusbridge.platform import http
from tests.test_forwarding.fixtures import (
    ended,
    make_forwarder,
    only,
    plain,
    sends_of,
    upstream,
)
from tests.test_forwarding.fixtures import request as make_request
from tests.test_forwarding.test_isolation import FETCH, ONCE, SEARCH, make_fleet
from tests.test_forwarding.test_peer_statuses import relay_from_cut_off

NOW = 100.0
STAMP = (b"X-Server-Stamp", b"a.1")
NOT_EXECUTED = (b"X-Not-Executed", b"1")
UPSTREAM = upstream("u1", "records")


class OwnUpstreamTest(testtools.TestCase):
    """Responses of the upstreams that an instance sends requests to itself."""

    def answer(self, reply_to, idempotent: bool):
        """Returns the final answer after each attempt has the same outcome."""
        forwarder = make_forwarder([plain(idempotent=idempotent)], [UPSTREAM])
        request = make_request(target="/fetch/x", at=NOW)
        out = forwarder.handle_request(request, NOW)
        now = NOW
        while True:
            answers = [
                one
                for one in out
                if isinstance(one, RelayedAnswer | RefusedAnswer)
            ]
            if answers:
                return answers[0]
            replies = [reply_to(send) for send in sends_of(out)]
            if replies:
                out = forwarder.replies(replies, now)
            else:
                now = max(now, forwarder.exchanges[request].timer_at)
                out = forwarder.handle_timer(request, now)

    # Guards against the 503 of an upstream that has failed in the middle of its
    # work and is passed on as if the request had not run.
    def test_failure_after_a_run_promises_nothing(self) -> None:
        for status, idempotent in itertools.product(
            sorted(NOT_RUN_STATUSES), (False, True)
        ):
            answer = self.answer(
                lambda send, status=status: ended(
                    send, AttemptEnd.FAILED, status=status, stamp="s"
                ),
                idempotent,
            )
            self.assertIs(Refusal.LOST, answer.refusal, status)
            self.assertNotIn(
                http.REFUSAL_STATUSES[answer.refusal], NOT_RUN_STATUSES
            )

    # Guards against a 502 whose reason cannot be found in the log.
    def test_log_line_names_the_status_that_is_not_passed_on(self) -> None:
        forwarder = make_forwarder([plain(idempotent=False)], [UPSTREAM])
        request = make_request(target="/fetch/x", at=NOW)
        (send,) = sends_of(forwarder.handle_request(request, NOW))
        failure = ended(send, AttemptEnd.FAILED, status=503, stamp="s")
        line = only(forwarder.replies([failure], NOW), Decision)
        self.assertEqual("lost", line.detail["outcome"])
        self.assertEqual(503, line.detail["upstream_status"])
        self.assertEqual({"records": "failed"}, line.detail["missing"])

    def test_other_failures_are_relayed_unchanged(self) -> None:
        for status, idempotent in itertools.product(
            (400, 404, 409, 500, 502, 504, 599), (False, True)
        ):
            answer = self.answer(
                lambda send, status=status: ended(
                    send, AttemptEnd.FAILED, status=status, stamp="s"
                ),
                idempotent,
            )
            self.assertEqual(status, answer.reply.status)
            self.assertEqual("s", answer.reply.stamp)

    # Guards against an invalid response that is relayed without its headers, as
    # a success without a signature.
    def test_signed_response_that_is_no_result_is_not_relayed(self) -> None:
        for headers in (
            [STAMP, (b"Content-Encoding", b"gzip")],
            [(b"X-Server-Stamp", b"a.1, b.2")],
        ):
            answer = self.answer(
                lambda send, headers=headers: http.decode_reply(
                    send.attempt_id, 200, headers, b"x"
                ),
                idempotent=False,
            )
            self.assertIs(Refusal.LOST, answer.refusal)

    # Guards against a rejection that is relayed after another attempt has run.
    def test_signed_rejection_after_a_run_is_not_relayed(self) -> None:
        seen = []

        def reply_to(send):
            seen.append(send)
            headers = [STAMP] if len(seen) < 2 else [STAMP, NOT_EXECUTED]
            status = 500 if len(seen) < 2 else 503
            return http.decode_reply(send.attempt_id, status, headers, b"")

        answer = self.answer(reply_to, idempotent=True)
        self.assertTrue(len(seen) > 1, seen)
        self.assertIsInstance(answer, RefusedAnswer)
        self.assertIs(Refusal.LOST, answer.refusal)


class PeerTest(testtools.TestCase):
    """Failures that a cut-off instance gets through a peer."""

    # Guards against the same promise on the way through a peer, also one of an
    # earlier build that passes such a failure on.
    def test_failure_that_a_peer_passes_on_promises_nothing(self) -> None:
        for target, status, is_result in itertools.product(
            (ONCE, FETCH), sorted(NOT_RUN_STATUSES), (False, True)
        ):
            fleet, forwarder, request, relay = relay_from_cut_off(target)
            response = RelayedResponse(is_result, status, [], b"", "a.1")
            reply = GatherReply(relay.gather_id, {}, b"", response=response)
            out = forwarder.handle_peer_message(reply, fleet.now)
            answer = only(out, RefusedAnswer)
            self.assertIs(request, answer.request)
            self.assertIs(Refusal.LOST, answer.refusal)

    # Guards against a helper that lets the instance which is cut off send the
    # request elsewhere.
    def test_peer_states_that_the_request_may_have_run(self) -> None:
        for target in (ONCE, FETCH):
            fleet, _, _, relay = relay_from_cut_off(target)
            helper = make_fleet().instances["central-0"]
            out = helper.handle_peer_message(relay, fleet.now)
            now = fleet.now
            while not (replies := replies_in(out)):
                (exchange,) = helper.exchanges.values()
                failures = [
                    ended(one, AttemptEnd.FAILED, status=503, stamp="a.1")
                    for one in sends_of(out)
                ]
                if failures:
                    out = helper.replies(failures, now)
                else:
                    now = max(now, exchange.timer_at)
                    out = helper.handle_timer(exchange.request, now)
            self.assertIsNone(replies[0].response)
            self.assertTrue(replies[0].may_have_run)


class TakeOverTest(testtools.TestCase):
    """Requests that are open at an instance when it loses its upstreams.

    Their attempts were sent after the last response of any upstream; whether
    they arrived cannot be known.
    """

    def lose_upstreams(self, forwarder, now: float) -> list[object]:
        """Cuts an instance off, none of whose peers reach the upstreams."""
        for peer in forwarder.gather.peer_table.peers.values():
            peer.isolated_until = math.inf
        forwarder.isolation.isolated = True
        out: list[object] = []
        relaying.take_over(forwarder, now, out)
        return out

    # Guards against an instance that takes its guess that nothing has arrived
    # for certain.
    def test_open_request_may_have_run(self) -> None:
        for target in (FETCH, SEARCH):
            fleet = make_fleet()
            forwarder = fleet.instances["north-0"]
            request = make_request(target=f"{target}x", at=fleet.now)
            sends = sends_of(forwarder.handle_request(request, fleet.now))
            self.assertNotEqual([], sends)
            out = self.lose_upstreams(forwarder, fleet.now + 0.1)
            self.assertIs(Refusal.LOST, only(out, RefusedAnswer).refusal)

    # Guards against a helper that tells its peer so.
    def test_open_request_of_a_peer_may_have_run(self) -> None:
        for target in (FETCH, SEARCH):
            fleet, forwarder, request, message = relay_from_cut_off(target)
            helper = make_fleet().instances["central-0"]
            sends = sends_of(helper.handle_peer_message(message, fleet.now))
            self.assertNotEqual([], sends)
            out = self.lose_upstreams(helper, fleet.now + 0.1)
            (reply,) = replies_in(out)
            self.assertTrue(reply.may_have_run)
            for peer in forwarder.gather.peer_table.peers.values():
                peer.isolated_until = math.inf
            now = fleet.now + 0.2
            out = forwarder.handle_peer_message(reply, now)
            out += forwarder.handle_timer(request, now)
            answer = only(out, RefusedAnswer)
            self.assertIs(Refusal.LOST, answer.refusal)


def replies_in(out) -> list[GatherReply]:
    """Returns the replies to peers among actions."""
    return [
        one.message
        for one in out
        if isinstance(one, SendGatherMessage)
        and isinstance(one.message, GatherReply)
    ]
