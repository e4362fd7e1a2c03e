"""Load pattern: shards held in another region, asked through a peer there."""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding import MergedAnswer, Refusal, RefusedAnswer
from arbutusbridge.forwarding.gather import (
    GatherAck,
    GatherCancel,
    GatherReply,
    GatherRequest,
    Peer,
    SendPeerMessage,
)
from arbutusbridge.forwarding.helping import PEER_REPLY_GRACE_S
from tests.test_forwarding.fixtures import (
    make_forwarder,
    only,
    records,
    request,
    result,
    sends_of,
    shard_upstreams,
    sharded,
    upstream,
)

SHARDS = 4
OWN = ("10.0.0.1", 7380)
NEAR = ("10.0.0.2", 7380)
NOW = 100.0


class Pair:
    """An instance without near upstreams and a peer that has them."""

    def __init__(self) -> None:
        upstreams = shard_upstreams(SHARDS)
        route = sharded(SHARDS, least_coverage=0.5)
        self.far = make_forwarder([route], upstreams, "south")
        self.near = make_forwarder([route], upstreams, "north")
        self.far.gather.own = Peer("south-1", "south", OWN)
        self.near.gather.own = Peer("north-1", "north", NEAR)
        self.far.gather.book.take(
            [Peer(f"{place}-1", place, NEAR) for place in ("north", "central")]
        )

    def ask(self):
        """Lets a request arrive; returns it and the message to the peer."""
        arrived = request(at=NOW)
        out = self.far.arrive(arrived, NOW)
        self.first = out
        return arrived, only(out, SendPeerMessage).message


class RegionalScatterTest(testtools.TestCase):
    """One message takes the place of a sub-request a shard."""

    def setUp(self) -> None:
        super().setUp()
        self.pair = Pair()

    def test_peer_asks_near_upstreams_and_merges(self) -> None:
        arrived, ask = self.pair.ask()
        self.assertIsInstance(ask, GatherRequest)
        self.assertEqual([], sends_of(self.pair.first))
        out = self.pair.near.hear(ask, NOW + 0.01)
        taken = out[0].message
        self.assertEqual(GatherAck(ask.gather_id, False), taken)
        sends = sends_of(out)
        places = {send.upstream.data_centre for send in sends}
        self.assertEqual({"north"}, places)
        self.assertEqual([], self.pair.far.hear(taken, NOW + 0.02))
        replies = [
            result(send, number, number + 10)
            for number, send in enumerate(sends)
        ]
        out = self.pair.near.replies(replies, NOW + 0.05)
        reply = only(out, SendPeerMessage).message
        out = self.pair.far.hear(reply, NOW + 0.06)
        answer = only(out, MergedAnswer)
        self.assertIs(arrived, answer.request)
        self.assertEqual(0, answer.missing)
        self.assertEqual([13, 12, 11], records(answer.body))
        self.assertEqual(SHARDS, len(answer.stamps))

    def test_silent_peer_is_given_up_and_left_out(self) -> None:
        arrived, _ = self.pair.ask()
        exchange = self.pair.far.exchanges[arrived]
        out = self.pair.far.wake(arrived, exchange.wake_at)
        self.assertEqual(SHARDS, len(sends_of(out)))
        peer = exchange.groups[0].peer
        self.assertGreater(peer.unfit_until, exchange.wake_at)

    def test_silent_peer_costs_no_extra_arrivals(self) -> None:
        # An instance that has just started may cause hardly any.
        self.pair.far.started = NOW
        arrived, _ = self.pair.ask()
        exchange = self.pair.far.exchanges[arrived]
        self.pair.far.wake(arrived, exchange.wake_at)
        extras = [budget.extras for budget in self.pair.far.budgets.values()]
        self.assertEqual([0] * SHARDS, extras)

    def test_peer_that_was_late_is_counted(self) -> None:
        arrived, ask = self.pair.ask()
        exchange = self.pair.far.exchanges[arrived]
        self.pair.far.wake(arrived, exchange.wake_at)
        self.pair.far.hear(GatherAck(ask.gather_id, False), NOW + 0.2)
        extras = [budget.extras for budget in self.pair.far.budgets.values()]
        self.assertEqual([1] * SHARDS, extras)

    def test_declined_request_is_no_extra_arrival(self) -> None:
        self.pair.far.started = NOW
        _, ask = self.pair.ask()
        taken = GatherAck(ask.gather_id, True)
        out = self.pair.far.hear(taken, NOW + 0.02)
        self.assertEqual(SHARDS, len(sends_of(out)))
        self.assertGreater(
            self.pair.far.gather.book.peers["north-1"].unfit_until
            + self.pair.far.gather.book.peers["central-1"].unfit_until,
            NOW,
        )

    def test_late_reply_takes_the_place_of_direct_ones(self) -> None:
        arrived, ask = self.pair.ask()
        exchange = self.pair.far.exchanges[arrived]
        sends = sends_of(self.pair.far.wake(arrived, exchange.wake_at))
        self.pair.far.replies([result(sends[0], 99)], NOW + 0.1)
        stamps = {f"s{number}": f"by-peer-{number}" for number in range(3)}
        reply = GatherReply(ask.gather_id, stamps, result(sends[0], 5).body)
        self.pair.far.hear(reply, NOW + 0.11)
        last = [send for send in sends if send.upstream.service == "s3"]
        out = self.pair.far.replies([result(last[0], 7)], NOW + 0.12)
        answer = only(out, MergedAnswer)
        # The direct reply of s0 may not count beside the peer's of s0.
        self.assertEqual([7, 5], records(answer.body))
        self.assertEqual(
            [
                "by-peer-0",
                "by-peer-1",
                "by-peer-2",
                "stamp-" + last[0].upstream.upstream,
            ],
            answer.stamps,
        )

    def test_peer_replies_in_time_with_what_it_has(self) -> None:
        _, ask = self.pair.ask()
        out = self.pair.near.hear(ask, NOW + 0.01)
        sends = sends_of(out)
        self.pair.near.replies([result(sends[0], 1)], NOW + 0.02)
        (asked,) = self.pair.near.exchanges.values()
        out = self.pair.near.wake(asked.request, asked.answer_by)
        while not any(isinstance(action, SendPeerMessage) for action in out):
            out = self.pair.near.wake(asked.request, asked.wake_at)
        reply = only(out, SendPeerMessage).message
        self.assertEqual(["s0"], list(reply.stamps))
        target = NOW + sharded().target_s
        self.assertLess(asked.answer_by, target)

    def test_no_third_upstream_is_asked_after_a_peer_asked_two(self) -> None:
        for number in range(SHARDS):
            third = upstream(f"s{number}-more", f"s{number}", "central")
            self.pair.far.announce(third, 0.0)
        arrived, ask = self.pair.ask()
        asked = {
            f"s{number}": [f"s{number}-north", f"s{number}-central"]
            for number in range(SHARDS)
        }
        reply = GatherReply(ask.gather_id, {}, b"", asked)
        sends = sends_of(self.pair.far.hear(reply, NOW + 0.1))
        for _ in range(20):
            exchange = self.pair.far.exchanges[arrived]
            out = self.pair.far.wake(arrived, exchange.wake_at)
            sends += sends_of(out)
        names = {send.upstream.upstream for send in sends}
        self.assertTrue(names)
        self.assertEqual(set(), {n for n in names if n.endswith("-more")})

    def test_silent_peer_is_told_to_stop_and_one_upstream_asked(self) -> None:
        arrived, _ = self.pair.ask()
        exchange = self.pair.far.exchanges[arrived]
        out = self.pair.far.wake(arrived, exchange.wake_at)
        self.assertIsInstance(only(out, SendPeerMessage).message, GatherCancel)
        sends = sends_of(out)
        for _ in range(20):
            out = self.pair.far.wake(arrived, exchange.wake_at)
            sends += sends_of(out)
        for part in exchange.parts:
            self.assertEqual(1, len(part.asked))

    def test_peer_that_replied_is_not_given_up_later(self) -> None:
        arrived, ask = self.pair.ask()
        self.pair.far.hear(GatherAck(ask.gather_id, False), NOW + 0.02)
        stamps = {"s0": "a.0"}
        self.pair.far.hear(GatherReply(ask.gather_id, stamps, b""), NOW + 0.1)
        exchange = self.pair.far.exchanges[arrived]
        self.pair.far.wake(arrived, exchange.answer_by)
        self.pair.far.wake(arrived, exchange.wake_at)
        self.assertFalse(exchange.groups[0].given_up)

    def test_peer_that_ends_after_it_acknowledged_is_given_up(self) -> None:
        # It may have asked both upstreams that the route allows, a third one
        # must not be asked; the caller learns at once that it may have run.
        arrived, ask = self.pair.ask()
        self.pair.far.hear(GatherAck(ask.gather_id, False), NOW + 0.02)
        exchange = self.pair.far.exchanges[arrived]
        at, out = NOW, []
        while not exchange.finished:
            at = exchange.wake_at
            out = self.pair.far.wake(arrived, at)
            self.assertEqual([], sends_of(out))
        self.assertEqual(exchange.answer_by + PEER_REPLY_GRACE_S, at)
        self.assertIs(Refusal.LOST, only(out, RefusedAnswer).refusal)
        self.assertGreater(exchange.groups[0].peer.unfit_until, at)

    def test_busy_peer_s_late_reply_still_counts(self) -> None:
        arrived, ask = self.pair.ask()
        self.pair.far.hear(GatherAck(ask.gather_id, False), NOW + 0.02)
        exchange = self.pair.far.exchanges[arrived]
        late = exchange.answer_by + PEER_REPLY_GRACE_S / 2
        self.pair.far.wake(arrived, late)
        stamps = {f"s{number}": f"late-{number}" for number in range(SHARDS)}
        reply = GatherReply(ask.gather_id, stamps, b"")
        out = self.pair.far.hear(reply, late)
        self.assertEqual(0, only(out, MergedAnswer).missing)

    def test_caller_that_left_stops_the_peer(self) -> None:
        arrived, ask = self.pair.ask()
        self.pair.near.hear(ask, NOW + 0.01)
        out = self.pair.far.abandon(arrived, NOW + 0.02)
        cancel = only(out, SendPeerMessage).message
        self.assertEqual(GatherCancel(ask.gather_id, OWN), cancel)
        self.pair.near.hear(cancel, NOW + 0.03)
        self.assertEqual({}, self.pair.near.exchanges)

    def test_peer_that_stops_declines(self) -> None:
        arrived, ask = self.pair.ask()
        self.pair.near.gather.accepting = False
        (tell,) = self.pair.near.hear(ask, NOW + 0.01)
        out = self.pair.far.hear(tell.message, NOW + 0.02)
        self.assertEqual(SHARDS, len(sends_of(out)))
        self.assertIn(arrived, self.pair.far.exchanges)
