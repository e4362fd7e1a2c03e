"""Tests of the pattern "the target is missed, the deadline is far".

A wide request that has too few shards at its target is not lost: its caller
waits for several times as long. Guards against helpers whose shards are never
asked for again, and against answers that merge a shard twice.
"""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding import AttemptEnd, MergedAnswer
from arbutusbridge.forwarding.gather import (
    GatherAck,
    GatherCancel,
    GatherReply,
    Peer,
    SendGatherMessage,
)
from arbutusbridge.forwarding.gatherwire import (
    OLDEST_PROTOCOL,
    decode_message,
    encode_message,
)
from arbutusbridge.forwarding.peermessages import PEER_REPLY_GRACE_S
from tests.test_forwarding.fixtures import (
    ended,
    make_forwarder,
    only,
    records,
    request,
    result,
    sends_of,
    shard_upstreams,
    sharded,
)

SHARDS = 45
NOW = 100.0
LATE_S = 0.15
"""Time after the target at which the last shards reply; twice the rest of the
target, and a small part of the deadline."""


class MissedTargetTest(testtools.TestCase):
    """One entry and its helpers, of which some reply late."""

    def setUp(self) -> None:
        super().setUp()
        route = sharded(SHARDS, least_coverage=0.95)
        upstreams = shard_upstreams(SHARDS, ("north",))
        peers = [
            Peer(f"north-{number}", "north", (f"10.0.0.{number}", 7380), 0.516)
            for number in range(9)
        ]
        self.entry = make_forwarder([route], upstreams, "north")
        own = Peer("entry", "north", ("10.1.0.1", 7380), 0.1)
        self.entry.gather.own_peer = own
        self.entry.gather.peer_table.update(peers)
        self.helpers = {}
        for peer in peers:
            helper = make_forwarder([route], upstreams, "north")
            helper.gather.own_peer = peer
            self.helpers[peer.address] = helper
        self.arrived = request(at=NOW)
        out = self.entry.handle_request(self.arrived, NOW)
        self.asks = [
            one
            for one in out
            if isinstance(one, SendGatherMessage)
            and one.address in self.helpers
        ]
        self.exchange = self.entry.exchanges[self.arrived]
        self.sends = {}
        for number, ask in enumerate(self.asks):
            helper = self.helpers[ask.address]
            actions = helper.handle_peer_message(ask.message, NOW + 0.01)
            self.sends[number] = sends_of(actions)
            self.deliver(actions, NOW + 0.02)

    def deliver(self, actions, now: float):
        """Delivers messages to the entry; returns its last actions."""
        out = []
        for one in actions:
            if isinstance(one, SendGatherMessage):
                out += self.entry.handle_peer_message(one.message, now)
        return out

    def reply(self, number: int, first: int, last: int, now: float):
        """Lets some shards of a helper reply; returns its actions."""
        helper = self.helpers[self.asks[number].address]
        replies = [
            result(one, 10 * number + index)
            for index, one in enumerate(self.sends[number])
            if first <= index < last
        ]
        return helper.replies(replies, now)

    def pass_time(self, until: float):
        """Fires the timers of all instances; returns actions of the entry."""
        out = []
        while True:
            due = [
                (exchange.timer_at, index, forwarder, exchange.request)
                for index, forwarder in enumerate(
                    [self.entry, *self.helpers.values()]
                )
                for exchange in forwarder.exchanges.values()
            ]
            if not due or min(due)[0] > until:
                return out
            at, _, forwarder, arrived = min(due)
            actions = forwarder.handle_timer(arrived, at)
            if forwarder is self.entry:
                out += actions
            else:
                out += self.deliver(actions, at)

    def serve_all_but_the_last_shard(self) -> float:
        """Lets all but one shard of each helper reply in time.

        Returns:
          The time at which the answer was due.
        """
        for number in range(len(self.asks)):
            last = len(self.sends[number]) - 1
            self.deliver(self.reply(number, 0, last, NOW + 0.02), NOW + 0.03)
        return self.exchange.partial_answer_at

    def test_late_shards_complete_the_answer(self) -> None:
        due_at = self.serve_all_but_the_last_shard()
        out = self.pass_time(due_at + LATE_S)
        self.assertEqual([], [o for o in out if isinstance(o, MergedAnswer)])
        self.assertLess(self.exchange.answered, 0.95 * SHARDS)
        out = []
        for number in range(len(self.asks)):
            last = len(self.sends[number]) - 1
            actions = self.reply(number, last, last + 1, due_at + LATE_S)
            out += self.deliver(actions, due_at + LATE_S + 0.01)
        out += self.pass_time(due_at + LATE_S + 0.1)
        answer = next(one for one in out if isinstance(one, MergedAnswer))
        # The target has passed: it is sent as soon as the route allows it.
        self.assertGreaterEqual(len(answer.stamps), 0.95 * SHARDS)
        self.assertEqual(len(answer.stamps), len(set(answer.stamps)))
        merged = records(answer.body)
        self.assertEqual(sorted(set(merged), reverse=True), merged)

    def test_answer_at_the_target_ends_the_work_of_helpers(self) -> None:
        for number in range(len(self.asks)):
            last = len(self.sends[number]) - (number == 0)
            self.deliver(self.reply(number, 0, last, NOW + 0.02), NOW + 0.03)
        out = self.pass_time(self.exchange.partial_answer_at + 0.001)
        answer = only(out, MergedAnswer)
        self.assertEqual(1, answer.missing)
        cancel = next(
            one
            for one in out
            if isinstance(one, SendGatherMessage)
            and isinstance(one.message, GatherCancel)
        )
        helper = self.helpers[cancel.address]
        self.assertEqual(1, len(helper.exchanges))
        dropped = helper.handle_peer_message(cancel.message, NOW + 0.3)
        self.assertEqual({}, helper.exchanges)
        # The reply is due soon, and its connection is used again.
        closed = [getattr(one, "close_connection", False) for one in dropped]
        self.assertNotIn(True, closed)

    def test_helper_that_stops_after_an_update_is_given_up(self) -> None:
        due_at = self.serve_all_but_the_last_shard()
        self.pass_time(due_at + 0.01)
        for helper in self.helpers.values():
            helper.exchanges.clear()
        self.pass_time(due_at + 1.0)
        self.assertTrue(self.exchange.finished)
        self.assertLess(due_at + 1.0, self.exchange.give_up_at)

    # Guards against records that are merged without their signatures, because
    # an update was overtaken by a later one.
    def test_overtaken_update_is_ignored(self) -> None:
        group = self.exchange.groups[0]
        names = [part.service for part in group.parts]
        self.assertGreater(len(names), 2)
        for count in (2, 1):
            stamps = {name: f"{name}.a" for name in names[:count]}
            body = bytes([count]) * 16
            reply = GatherReply(
                group.gather_id,
                stamps,
                body,
                is_final=False,
                max_records=self.exchange.route.max_records,
            )
            self.entry.handle_peer_message(reply, NOW + 0.05)
        self.assertEqual(
            bytes([2]) * 16, self.exchange.peer_bodies[group.gather_id]
        )
        self.assertEqual(2, self.exchange.answered)

    def test_request_sent_after_the_target_is_still_served(self) -> None:
        late = self.exchange.partial_answer_at + 0.01
        ask = self.asks[0]
        ask.message.answer_in_s = 0.0
        helper = self.helpers[ask.address]
        helper.exchanges.clear()
        actions = helper.handle_peer_message(ask.message, late)
        replies = [
            one.message
            for one in actions
            if isinstance(one, SendGatherMessage)
            and isinstance(one.message, GatherReply)
        ]
        self.assertEqual([False], [one.is_final for one in replies])
        sends = sends_of(actions)
        self.assertEqual(len(ask.message.services), len(sends))
        out = helper.replies([result(one, 1) for one in sends], late + 0.02)
        final = only(out, SendGatherMessage).message
        self.assertTrue(final.is_final)
        self.assertEqual(len(sends), len(final.stamps))

    def test_one_shard_without_upstreams_does_not_end_the_others(self) -> None:
        # Whether the others suffice is decided by the entry.
        helper = self.helpers[self.asks[0].address]
        sends = self.sends[0]
        refused = ended(sends[1], AttemptEnd.FAILED, status=404, stamp="x")
        out = helper.replies([result(sends[0], 1), refused], NOW + 0.02)
        self.assertEqual(
            [], [o for o in out if isinstance(o, SendGatherMessage)]
        )
        self.assertNotEqual({}, helper.exchanges)

    def test_acknowledgement_after_the_target_leaves_time_to_reply(
        self,
    ) -> None:
        late = self.exchange.partial_answer_at + 0.01
        group = self.exchange.groups[0]
        group.acknowledged = False
        self.entry.handle_peer_message(GatherAck(group.gather_id), late)
        self.assertEqual(late + PEER_REPLY_GRACE_S, group.check_at)

    def test_peer_of_the_oldest_build_gets_one_reply(self) -> None:
        ask = self.asks[0]
        data = encode_message(ask.message, OLDEST_PROTOCOL)
        message = decode_message(data)
        helper = self.helpers[ask.address]
        helper.exchanges.clear()
        helper.handle_peer_message(message, NOW)
        (exchange,) = helper.exchanges.values()
        out = helper.handle_timer(exchange.request, exchange.partial_answer_at)
        self.assertTrue(only(out, SendGatherMessage).message.is_final)
        self.assertEqual({}, helper.exchanges)
