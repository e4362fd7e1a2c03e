"""Tests of responses with an invalid status that a peer passes on."""

from __future__ import annotations

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import Refusal, RefusedAnswer, RelayedAnswer
from arbutusbridge.forwarding.gather import (
    GatherReply,
    GatherRequest,
    RelayedResponse,
    SendGatherMessage,
)
from tests.test_forwarding.fixtures import only
from tests.test_forwarding.fixtures import request as make_request
from tests.test_forwarding.test_isolation import FETCH, ONCE, make_fleet

INVALID_STATUSES = (-200, 0, 42, 99, 600, 999, 2000)


def relay_from_cut_off(target: str):
    """Returns a fleet, a cut-off instance in it, a request, and its relay."""
    fleet = make_fleet()
    forwarder = fleet.instances["north-0"]
    forwarder.isolation.isolated = True
    request = make_request(target=f"{target}x", at=fleet.now)
    out = forwarder.handle_request(request, fleet.now)
    return fleet, forwarder, request, relay_in(out)


def relay_in(out) -> GatherRequest:
    """Returns the only request to a peer among actions."""
    return only(
        [one.message for one in out if isinstance(one, SendGatherMessage)],
        GatherRequest,
    )


class PeerStatusTest(testtools.TestCase):
    """Requests that an instance which is cut off has relayed to a peer."""

    def reply_to(self, fleet, forwarder, relay, status: int, is_result: bool):
        response = RelayedResponse(is_result, status, [], b"body", "a.1")
        reply = GatherReply(relay.gather_id, {}, b"", response=response)
        return forwarder.handle_peer_message(reply, fleet.now)

    # Guards against a caller that is handed the status of a faulty peer, and
    # against one that waits because its request is not sent again.
    def test_idempotent_request_is_sent_to_another_peer(self) -> None:
        for status in INVALID_STATUSES:
            for is_result in (True, False):
                fleet, forwarder, request, first = relay_from_cut_off(FETCH)
                out = self.reply_to(fleet, forwarder, first, status, is_result)
                decision = next(one for one in out if isinstance(one, Decision))
                self.assertEqual("peer_status_invalid", decision.what)
                out = forwarder.handle_timer(request, fleet.now)
                second = relay_in(out)
                self.assertNotEqual(first.gather_id, second.gather_id)
                out = self.reply_to(fleet, forwarder, second, 200, True)
                answer = only(out, RelayedAnswer)
                self.assertEqual(200, answer.reply.status)

    # Guards against a request that runs twice, or is refused as not run.
    def test_request_that_runs_once_is_lost_at_once(self) -> None:
        for status in INVALID_STATUSES:
            fleet, forwarder, _request, first = relay_from_cut_off(ONCE)
            out = self.reply_to(fleet, forwarder, first, status, True)
            answer = only(out, RefusedAnswer)
            self.assertIs(Refusal.LOST, answer.refusal)

    # Guards against peers that send such a status one after the other and make
    # a request go round for its whole deadline.
    def test_request_is_refused_after_a_few_peers(self) -> None:
        fleet, forwarder, request, relay = relay_from_cut_off(FETCH)
        for _ in range(10):
            out = self.reply_to(fleet, forwarder, relay, 999, True)
            out += forwarder.handle_timer(request, fleet.now)
            if any(isinstance(one, RefusedAnswer) for one in out):
                break
            relay = relay_in(out)
        self.assertIs(Refusal.LOST, only(out, RefusedAnswer).refusal)

    def test_valid_failure_is_passed_on(self) -> None:
        fleet, forwarder, _request, relay = relay_from_cut_off(FETCH)
        out = self.reply_to(fleet, forwarder, relay, 599, False)
        self.assertEqual(599, only(out, RelayedAnswer).reply.status)
