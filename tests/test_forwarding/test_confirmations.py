"""Tests of confirmed acknowledgements of delegated shards.

A helper may try a second upstream of a shard only once its sender cannot turn
to another helper any more. For a target of 90 ms it used to wait 40 ms for
that, so that no hedge to another region was answered in time.
"""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding.gather import (
    CONFIRMATIONS_PROTOCOL,
    GatherAck,
    GatherConfirm,
    GatherRequest,
    Peer,
    SendGatherMessage,
)
from tests.test_forwarding.fixtures import (
    make_forwarder,
    only,
    request,
    result,
    sends_of,
    shard_upstreams,
    sharded,
)

SHARDS = 4
ENTRY = ("10.0.0.1", 7380)
HELPER = ("10.0.0.2", 7380)
NOW = 100.0
SHORT_S = 0.15


class ConfirmationTest(testtools.TestCase):
    """An entry that delegates its shards to one helper in another region."""

    def start(self, protocol: int = CONFIRMATIONS_PROTOCOL, **fields):
        """Starts a request; returns the forwarders and the first message."""
        route = sharded(SHARDS, **({"target_s": SHORT_S} | fields))
        upstreams = shard_upstreams(SHARDS)
        entry = make_forwarder([route], upstreams, "south")
        helper = make_forwarder([route], upstreams, "north")
        entry.gather.own_peer = Peer("south-1", "south", ENTRY)
        helper.gather.own_peer = Peer("north-1", "north", HELPER)
        entry.gather.peer_table.update(
            [
                Peer(f"{place}-1", place, HELPER, protocol=protocol)
                for place in ("north", "central")
            ]
        )
        out = entry.handle_request(request(at=NOW), NOW)
        return entry, helper, only(out, SendGatherMessage).message

    def delegate(self, helper, gather_request: GatherRequest):
        """Lets the helper start; all shards but one have replied soon after."""
        out = helper.handle_peer_message(gather_request, NOW + 0.001)
        (exchange,) = helper.exchanges.values()
        replies = [result(one, 1) for one in sends_of(out)[1:]]
        helper.replies(replies, NOW + 0.0015)
        (overdue,) = exchange.pending_parts
        self.assertLess(overdue.check_at, exchange.second_upstream_at)
        return exchange, overdue.check_at

    def acknowledge(self, entry, gather_request: GatherRequest, at: float):
        """Returns the confirmations after an acknowledgement."""
        ack = GatherAck(gather_request.gather_id)
        return [
            one.message
            for one in entry.handle_peer_message(ack, at)
            if isinstance(one, SendGatherMessage)
            and isinstance(one.message, GatherConfirm)
        ]

    # Guards against a helper that waits with its hedges until no time is left.
    def test_confirmed_helper_hedges_when_a_reply_is_overdue(self) -> None:
        entry, helper, gather_request = self.start()
        exchange, overdue_at = self.delegate(helper, gather_request)
        (confirm,) = self.acknowledge(entry, gather_request, NOW + 0.002)
        self.assertEqual(ENTRY, confirm.reply_to)
        helper.handle_peer_message(confirm, NOW + 0.003)
        out = helper.handle_timer(exchange.request, overdue_at)
        self.assertEqual(1, len(sends_of(out)))

    # Guards against a hedge that was due before the confirmation and waits for
    # the end of the time that no longer applies.
    def test_late_confirmation_sends_the_hedges_that_are_due(self) -> None:
        entry, helper, gather_request = self.start()
        exchange, overdue_at = self.delegate(helper, gather_request)
        self.assertEqual(
            [], sends_of(helper.handle_timer(exchange.request, overdue_at))
        )
        (confirm,) = self.acknowledge(entry, gather_request, NOW + 0.002)
        out = helper.handle_peer_message(confirm, overdue_at + 0.001)
        self.assertEqual(1, len(sends_of(out)))
        self.assertEqual(
            [],
            sends_of(helper.handle_peer_message(confirm, overdue_at + 0.002)),
        )

    # Guards against a third upstream of a shard: the entry has turned to others
    # and the helper must not try a second one itself.
    def test_helper_that_was_given_up_is_not_confirmed(self) -> None:
        entry, _, gather_request = self.start()
        (exchange,) = entry.exchanges.values()
        late = exchange.groups[0].check_at + 0.001
        entry.handle_timer(exchange.request, late)
        self.assertEqual(
            [], self.acknowledge(entry, gather_request, late + 0.001)
        )

    # Guards against messages that an earlier build does not understand.
    def test_earlier_protocol_is_not_confirmed(self) -> None:
        entry, _, gather_request = self.start(CONFIRMATIONS_PROTOCOL - 1)
        self.assertEqual(
            [], self.acknowledge(entry, gather_request, NOW + 0.002)
        )

    # Guards against messages where the target leaves time for a later hedge.
    def test_long_target_is_not_confirmed(self) -> None:
        entry, _, gather_request = self.start(target_s=0.5)
        self.assertEqual(
            [], self.acknowledge(entry, gather_request, NOW + 0.002)
        )

    # Guards against a confirmation that ends another request's wait.
    def test_unknown_request_is_ignored(self) -> None:
        _, helper, _ = self.start()
        out = helper.handle_peer_message(GatherConfirm(5, ENTRY), NOW)
        self.assertEqual([], out)
