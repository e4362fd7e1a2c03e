"""Tests of shards in another region that are queried through a peer there.

Guards against shards that are counted twice, tried at too many upstreams or
never answered when the peer is silent, late, stopping or busy.
"""

from __future__ import annotations

import dataclasses

import testtools

from arbutusbridge.core.requests.quarantine import (
    single_canary_for_unfamiliar,
)
from arbutusbridge.forwarding import (
    MergedAnswer,
    ProbeUpstream,
    Refusal,
    RefusedAnswer,
    SetRequestTimer,
)
from arbutusbridge.forwarding.gather import (
    PEER_EXCLUSION_S,
    DeclineReason,
    GatherAck,
    GatherCancel,
    GatherReply,
    GatherRequest,
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


class PeerPair:
    """Instance without upstreams in its region, and a peer that has them."""

    def __init__(self) -> None:
        upstreams = shard_upstreams(SHARDS)
        route = sharded(SHARDS, least_coverage=0.5)
        self.far = make_forwarder([route], upstreams, "south")
        self.near = make_forwarder([route], upstreams, "north")
        self.far.gather.own_peer = Peer("south-1", "south", OWN)
        self.near.gather.own_peer = Peer("north-1", "north", NEAR)
        self.far.gather.peer_table.update(
            [Peer(f"{place}-1", place, NEAR) for place in ("north", "central")]
        )

    def start_request(self):
        """Starts a request; returns it and the message to the peer."""
        arrived = request(at=NOW)
        out = self.far.handle_request(arrived, NOW)
        self.first_actions = out
        return arrived, only(out, SendGatherMessage).message


class RegionalScatterTest(testtools.TestCase):
    """One message to a peer replaces a subrequest per shard."""

    def setUp(self) -> None:
        super().setUp()
        self.pair = PeerPair()

    # Guards against shards that a peer held back behind its canary and that are
    # all sent from here once its reply is empty.
    def test_shards_that_a_peer_held_back_wait_for_a_result(self) -> None:
        far, near = self.pair.far, self.pair.near
        far.quarantine.canary = single_canary_for_unfamiliar
        _, gather_request = self.pair.start_request()
        out = near.handle_peer_message(gather_request, NOW + 0.01)
        far.handle_peer_message(out[0].message, NOW + 0.02)
        (exchange,) = near.exchanges.values()
        due_at = exchange.partial_answer_at
        out = near.handle_timer(exchange.request, due_at)
        reply = only(out, SendGatherMessage).message
        self.assertIsInstance(reply, GatherReply)
        # A peer of the oldest build sends no further reply.
        self.assertFalse(reply.is_final)
        out = far.handle_peer_message(reply, due_at + 0.005)
        self.assertEqual([], sends_of(out))
        final = dataclasses.replace(reply, is_final=True)
        data = encode_message(final, OLDEST_PROTOCOL)
        out = far.handle_peer_message(decode_message(data), due_at + 0.01)
        sent = {send.upstream.service for send in sends_of(out)}
        self.assertEqual(set(reply.asked), sent)
        self.assertTrue(len(sent) < SHARDS)

    # Guards against an instance that never answers anybody again, if a peer
    # suspects a request that is not suspected here (soak 54011).
    def test_shards_held_back_by_a_peer_alone_are_sent(self) -> None:
        arrived, gather_request = self.pair.start_request()
        far = self.pair.far
        self.assertEqual(0, far.exchanges[arrived].canary_count)
        reply = GatherReply(
            gather_request.gather_id, {}, b"", held_back=gather_request.services
        )
        out = far.handle_peer_message(reply, NOW + 0.02)
        self.assertEqual(1, len(sends_of(out)))

    # Guards against a reply to an earlier start of this instance, which a link
    # has kept meanwhile and which names a group of this start.
    def test_reply_to_an_earlier_start_is_ignored(self) -> None:
        far = self.pair.far
        again = make_forwarder([sharded(SHARDS)], [], "south", seed=2)
        ids = {one.gather.last_gather_id for one in (far, again)}
        self.assertEqual(2, len(ids))
        arrived, gather_request = self.pair.start_request()
        old = GatherReply(
            gather_request.gather_id, {"t7": "other.1"}, b"x" * 16
        )
        out = far.handle_peer_message(old, NOW + 0.01)
        self.assertEqual([], sends_of(out))
        exchange = far.exchanges[arrived]
        self.assertEqual({}, exchange.peer_bodies)
        self.assertIn(gather_request.gather_id, far.gather.groups)

    # Guards against timers that are due at once without end, because a check
    # of a shard became due after it was delegated.
    def test_due_check_of_a_delegated_shard_sets_no_timer(self) -> None:
        arrived, _ = self.pair.start_request()
        far = self.pair.far
        exchange = far.exchanges[arrived]
        due_at = exchange.timer_at = NOW + 0.001
        exchange.parts[0].check_at = due_at
        out = far.handle_timer(arrived, due_at)
        timers = [one.at for one in out if isinstance(one, SetRequestTimer)]
        self.assertTrue(timers and all(at > due_at for at in timers), timers)

    def test_peer_queries_upstreams_in_its_region_and_merges(self) -> None:
        arrived, gather_request = self.pair.start_request()
        self.assertIsInstance(gather_request, GatherRequest)
        self.assertEqual([], sends_of(self.pair.first_actions))
        out = self.pair.near.handle_peer_message(gather_request, NOW + 0.01)
        taken = out[0].message
        self.assertEqual(GatherAck(gather_request.gather_id), taken)
        sends = sends_of(out)
        places = {send.upstream.data_centre for send in sends}
        self.assertEqual({"north"}, places)
        self.assertEqual(
            [], self.pair.far.handle_peer_message(taken, NOW + 0.02)
        )
        replies = [
            result(send, number, number + 10)
            for number, send in enumerate(sends)
        ]
        out = self.pair.near.replies(replies, NOW + 0.05)
        reply = only(out, SendGatherMessage).message
        out = self.pair.far.handle_peer_message(reply, NOW + 0.06)
        answer = only(out, MergedAnswer)
        self.assertIs(arrived, answer.request)
        self.assertEqual(0, answer.missing)
        self.assertEqual([13, 12, 11], records(answer.body))
        self.assertEqual(SHARDS, len(answer.stamps))

    def test_silent_peer_is_given_up_and_excluded(self) -> None:
        arrived, _ = self.pair.start_request()
        exchange = self.pair.far.exchanges[arrived]
        out = self.pair.far.handle_timer(arrived, exchange.timer_at)
        self.assertEqual(SHARDS, len(sends_of(out)))
        peer = exchange.groups[0].peer
        self.assertGreater(peer.excluded_until, exchange.timer_at)

    # Guards against a peer that is excluded for 24 s because of a few requests
    # that were open at the same time.
    def test_requests_at_the_same_time_exclude_a_peer_once(self) -> None:
        peer = Peer("north-9", "north", ("10.0.0.9", 1))
        for _ in range(6):
            peer.silent(NOW)
        self.assertEqual(NOW + PEER_EXCLUSION_S, peer.excluded_until)
        peer.silent(NOW + PEER_EXCLUSION_S)
        self.assertEqual(NOW + 3 * PEER_EXCLUSION_S, peer.excluded_until)

    def test_silent_peer_costs_no_extra_arrivals(self) -> None:
        # An instance that has just started may cause hardly any extra arrivals.
        self.pair.far.started_at = NOW
        arrived, _ = self.pair.start_request()
        exchange = self.pair.far.exchanges[arrived]
        self.pair.far.handle_timer(arrived, exchange.timer_at)
        extras = [budget.extras for budget in self.pair.far.budgets.values()]
        self.assertEqual([0] * SHARDS, extras)

    def test_late_acknowledgement_counts_as_extra_arrivals(self) -> None:
        arrived, gather_request = self.pair.start_request()
        exchange = self.pair.far.exchanges[arrived]
        self.pair.far.handle_timer(arrived, exchange.timer_at)
        self.pair.far.handle_peer_message(
            GatherAck(gather_request.gather_id), NOW + 0.2
        )
        extras = [budget.extras for budget in self.pair.far.budgets.values()]
        self.assertEqual([1] * SHARDS, extras)

    def test_declined_request_costs_no_extra_arrivals(self) -> None:
        self.pair.far.started_at = NOW
        _, gather_request = self.pair.start_request()
        taken = GatherAck(gather_request.gather_id, DeclineReason.OUTDATED)
        out = self.pair.far.handle_peer_message(taken, NOW + 0.02)
        self.assertEqual(SHARDS, len(sends_of(out)))
        self.assertGreater(
            self.pair.far.gather.peer_table.peers["north-1"].excluded_until
            + self.pair.far.gather.peer_table.peers["central-1"].excluded_until,
            NOW,
        )

    def test_late_peer_reply_replaces_direct_replies(self) -> None:
        arrived, gather_request = self.pair.start_request()
        exchange = self.pair.far.exchanges[arrived]
        sends = sends_of(self.pair.far.handle_timer(arrived, exchange.timer_at))
        self.pair.far.replies([result(sends[0], 99)], NOW + 0.1)
        stamps = {f"s{number}": f"by-peer-{number}" for number in range(3)}
        reply = GatherReply(
            gather_request.gather_id,
            stamps,
            result(sends[0], 5).body,
            max_records=exchange.route.max_records,
        )
        self.pair.far.handle_peer_message(reply, NOW + 0.11)
        last = [send for send in sends if send.upstream.service == "s3"]
        out = self.pair.far.replies([result(last[0], 7)], NOW + 0.12)
        answer = only(out, MergedAnswer)
        # The direct reply of s0 must not count in addition to the peer's.
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

    def test_peer_sends_a_partial_reply_in_time(self) -> None:
        _, gather_request = self.pair.start_request()
        out = self.pair.near.handle_peer_message(gather_request, NOW + 0.01)
        sends = sends_of(out)
        self.pair.near.replies([result(sends[0], 1)], NOW + 0.02)
        (asked,) = self.pair.near.exchanges.values()
        out = self.pair.near.handle_timer(
            asked.request, asked.partial_answer_at
        )
        while not any(isinstance(action, SendGatherMessage) for action in out):
            out = self.pair.near.handle_timer(asked.request, asked.timer_at)
        reply = only(out, SendGatherMessage).message
        self.assertEqual(["s0"], list(reply.stamps))
        target = NOW + sharded().target_s
        self.assertLess(asked.partial_answer_at, target)

    def accept_connections(self, out, now: float) -> None:
        """Lets upstreams that do not reply accept connections nevertheless."""
        for action in out:
            if isinstance(action, ProbeUpstream):
                self.pair.far.handle_probe(action.upstream, now)

    def test_no_third_upstream_is_tried_after_a_peer_tried_two(self) -> None:
        for number in range(SHARDS):
            third = upstream(f"s{number}-more", f"s{number}", "central")
            self.pair.far.announce(third, 0.0)
        arrived, gather_request = self.pair.start_request()
        asked = {
            f"s{number}": [f"s{number}-north", f"s{number}-central"]
            for number in range(SHARDS)
        }
        reply = GatherReply(gather_request.gather_id, {}, b"", asked)
        sends = sends_of(self.pair.far.handle_peer_message(reply, NOW + 0.1))
        for _ in range(20):
            exchange = self.pair.far.exchanges[arrived]
            at = exchange.timer_at
            out = self.pair.far.handle_timer(arrived, at)
            self.accept_connections(out, at)
            sends += sends_of(out)
        names = {send.upstream.upstream for send in sends}
        self.assertTrue(names)
        self.assertEqual(set(), {n for n in names if n.endswith("-more")})

    def test_silent_peer_is_cancelled_and_one_upstream_tried(self) -> None:
        arrived, _ = self.pair.start_request()
        exchange = self.pair.far.exchanges[arrived]
        out = self.pair.far.handle_timer(arrived, exchange.timer_at)
        self.assertIsInstance(
            only(out, SendGatherMessage).message, GatherCancel
        )
        sends = sends_of(out)
        for _ in range(20):
            at = exchange.timer_at
            out = self.pair.far.handle_timer(arrived, at)
            self.accept_connections(out, at)
            sends += sends_of(out)
        for part in exchange.parts:
            self.assertEqual(1, len(part.asked))

    def test_peer_that_replied_is_not_given_up_later(self) -> None:
        arrived, gather_request = self.pair.start_request()
        self.pair.far.handle_peer_message(
            GatherAck(gather_request.gather_id), NOW + 0.02
        )
        stamps = {"s0": "a.0"}
        self.pair.far.handle_peer_message(
            GatherReply(gather_request.gather_id, stamps, b""), NOW + 0.1
        )
        exchange = self.pair.far.exchanges[arrived]
        self.pair.far.handle_timer(arrived, exchange.partial_answer_at)
        self.pair.far.handle_timer(arrived, exchange.timer_at)
        self.assertFalse(exchange.groups[0].given_up)

    def test_peer_that_stops_after_its_acknowledgement_is_given_up(
        self,
    ) -> None:
        # The peer may have tried both upstreams that the route allows, so a
        # third one must not be tried; the caller learns at once that the
        # request may have run.
        arrived, gather_request = self.pair.start_request()
        self.pair.far.handle_peer_message(
            GatherAck(gather_request.gather_id), NOW + 0.02
        )
        exchange = self.pair.far.exchanges[arrived]
        at, out = NOW, []
        while not exchange.finished:
            at = exchange.timer_at
            out = self.pair.far.handle_timer(arrived, at)
            self.assertEqual([], sends_of(out))
        self.assertEqual(exchange.partial_answer_at + PEER_REPLY_GRACE_S, at)
        self.assertIs(Refusal.LOST, only(out, RefusedAnswer).refusal)
        self.assertGreater(exchange.groups[0].peer.excluded_until, at)

    def test_late_reply_of_a_busy_peer_is_used(self) -> None:
        arrived, gather_request = self.pair.start_request()
        self.pair.far.handle_peer_message(
            GatherAck(gather_request.gather_id), NOW + 0.02
        )
        exchange = self.pair.far.exchanges[arrived]
        late = exchange.partial_answer_at + PEER_REPLY_GRACE_S / 2
        self.pair.far.handle_timer(arrived, late)
        stamps = {f"s{number}": f"late-{number}" for number in range(SHARDS)}
        reply = GatherReply(gather_request.gather_id, stamps, b"")
        out = self.pair.far.handle_peer_message(reply, late)
        self.assertEqual(0, only(out, MergedAnswer).missing)

    def test_closed_caller_connection_cancels_the_peer(self) -> None:
        arrived, gather_request = self.pair.start_request()
        self.pair.near.handle_peer_message(gather_request, NOW + 0.01)
        out = self.pair.far.abandon(arrived, NOW + 0.02)
        cancel = only(out, SendGatherMessage).message
        self.assertEqual(GatherCancel(gather_request.gather_id, OWN), cancel)
        self.pair.near.handle_peer_message(cancel, NOW + 0.03)
        self.assertEqual({}, self.pair.near.exchanges)

    def test_stopping_peer_declines_requests(self) -> None:
        arrived, gather_request = self.pair.start_request()
        self.pair.near.gather.accepts_requests = False
        (ack_action,) = self.pair.near.handle_peer_message(
            gather_request, NOW + 0.01
        )
        out = self.pair.far.handle_peer_message(ack_action.message, NOW + 0.02)
        self.assertEqual(SHARDS, len(sends_of(out)))
        self.assertIn(arrived, self.pair.far.exchanges)
