"""Tests of requests between instances with two versions of a configuration.

The version of the entry adds a route with a longer prefix. The peer still has
the version before, in which another route serves the same requests.
"""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding import (
    MergedAnswer,
    RefusedAnswer,
    RoutingConfiguration,
    WeightedService,
)
from arbutusbridge.forwarding.gather import (
    ACCOUNTS_PROTOCOL,
    TERMS_PROTOCOL,
    DeclineReason,
    GatherAck,
    GatherReply,
    GatherRequest,
    Peer,
    SendGatherMessage,
)
from arbutusbridge.forwarding.gatherwire import (
    CURRENT_PROTOCOL,
    OLDEST_PROTOCOL,
    decode_message,
    encode_message,
)
from arbutusbridge.forwarding.messages import AttemptEnd, Refusal
from tests.test_forwarding.fixtures import (
    ended,
    make_forwarder,
    only,
    plain,
    records,
    request,
    result,
    sends_of,
    shard_upstreams,
    sharded,
    upstream,
)

NOW = 100.0
SHARDS = 4
FEW, MANY = 2, 6
"""Records in an answer of the route of both versions, and of the new one."""

OWN, NEAR = ("10.0.0.1", 7380), ("10.0.0.2", 7380)
TARGET = "/search/full/x"
BOTH = sharded(SHARDS, max_records=FEW)
ADDED = sharded(SHARDS, name="full", prefix="/search/full/", max_records=MANY)
FETCH = plain(services=(WeightedService("s0"),))


class TwoVersionsTest(testtools.TestCase):
    """An entry in one region, and a peer near the upstreams."""

    def start(self, old, new, protocol: int = CURRENT_PROTOCOL) -> None:
        """Starts both instances with the routes of their versions."""
        upstreams = shard_upstreams(SHARDS, ("north",))
        upstreams.append(upstream("s0-more", "s0", "north"))
        self.entry = make_forwarder(old, upstreams, "south")
        self.entry.configure(RoutingConfiguration(2, tuple(new)))
        self.peer = make_forwarder(old, upstreams, "north")
        self.entry.gather.own_peer = Peer("south-1", "south", OWN)
        self.peer.gather.own_peer = Peer("north-1", "north", NEAR)
        self.entry.gather.peer_table.update(
            [Peer("north-1", "north", NEAR, protocol=protocol)]
        )

    def delegate(self, target: str = TARGET, protocol: int = CURRENT_PROTOCOL):
        """Sends a request to the entry; returns its message to the peer."""
        out = self.entry.handle_request(request(target=target, at=NOW), NOW)
        message = only(out, SendGatherMessage).message
        self.assertIsInstance(message, GatherRequest)
        return decode_message(encode_message(message, protocol))

    def query(self, message: GatherRequest) -> GatherReply:
        """Lets the peer query all shards; each has four records."""
        sends = sends_of(self.peer.handle_peer_message(message, NOW + 0.01))
        self.assertEqual(SHARDS, len(sends))
        replies = [
            result(send, *range(10 * number, 10 * number + 4))
            for number, send in enumerate(sends)
        ]
        out = self.peer.replies(replies, NOW + 0.05)
        return only(out, SendGatherMessage).message

    # Guards against an answer that lacks records of its parts, since a peer
    # with an earlier version sends no more than its own route allows.
    def test_records_are_those_of_the_version_of_the_entry(self) -> None:
        self.start([BOTH], [BOTH, ADDED])
        reply = self.query(self.delegate())
        out = self.entry.handle_peer_message(reply, NOW + 0.06)
        answer = only(out, MergedAnswer)
        self.assertEqual([33, 32, 31, 30, 23, 22], records(answer.body))

    # Guards against the same where the peer's route allows more.
    def test_peer_with_more_records_sends_what_is_wanted(self) -> None:
        many = sharded(SHARDS, max_records=MANY)
        few = sharded(SHARDS, max_records=FEW)
        self.start([many], [few])
        reply = self.query(self.delegate())
        self.assertEqual([33, 32], records(reply.body))

    # Guards against an answer that lacks records because a peer of an earlier
    # build leaves them out and does not say so.
    def test_truncated_reply_of_an_earlier_build_is_not_merged(self) -> None:
        self.start([BOTH], [BOTH, ADDED], OLDEST_PROTOCOL)
        message = self.delegate(protocol=OLDEST_PROTOCOL)
        stamps = {f"s{number}": f"a.{number}" for number in range(SHARDS)}
        reply = GatherReply(message.gather_id, stamps, b"x" * 16 * FEW)
        reply = decode_message(encode_message(reply, OLDEST_PROTOCOL))
        out = self.entry.handle_peer_message(reply, NOW + 0.06)
        (exchange,) = self.entry.exchanges.values()
        self.assertEqual(0, exchange.answered)
        sends = sends_of(out)
        self.assertEqual(set(stamps), {one.upstream.service for one in sends})
        whole = [result(one, *range(4)) for one in sends]
        answer = only(self.entry.replies(whole, NOW + 0.08), MergedAnswer)
        self.assertEqual([3, 3, 3, 3, 2, 2], records(answer.body))

    # Guards against signatures without their records, because a reply that may
    # lack some replaced an earlier one that did not.
    def test_truncated_reply_after_an_update_keeps_the_update(self) -> None:
        self.start([BOTH], [BOTH, ADDED])
        message = self.delegate()
        sends = sends_of(self.peer.handle_peer_message(message, NOW + 0.01))
        stamps = {f"s{number}": f"a.{number}" for number in range(SHARDS)}
        first = GatherReply(
            message.gather_id,
            {"s0": "a.0"},
            result(sends[0], 9).body,
            is_final=False,
            max_records=MANY,
        )
        self.entry.handle_peer_message(first, NOW + 0.05)
        last = GatherReply(message.gather_id, stamps, b"x" * 16 * FEW)
        last = decode_message(encode_message(last, OLDEST_PROTOCOL))
        out = self.entry.handle_peer_message(last, NOW + 0.06)
        again = sends_of(out)
        self.assertEqual(
            {"s1", "s2", "s3"}, {one.upstream.service for one in again}
        )
        replies = [result(one, 1) for one in again]
        answer = only(self.entry.replies(replies, NOW + 0.08), MergedAnswer)
        self.assertIn("a.0", answer.stamps)
        self.assertEqual([9, 1, 1, 1], records(answer.body))

    # Guards against a reply that does not state what it leaves out, because the
    # key of the entry is not known yet. Its request shows what it understands.
    def test_reply_to_an_unknown_entry_states_its_records(self) -> None:
        self.start([BOTH], [BOTH, ADDED])
        reply = self.query(self.delegate())
        found = decode_message(encode_message(reply, 0))
        self.assertEqual(MANY, found.max_records)
        reply = self.query(self.delegate(protocol=OLDEST_PROTOCOL))
        self.assertIsNone(reply.max_records)

    # Guards against replies of an earlier build that are not used although
    # nothing can be missing.
    def test_complete_reply_of_an_earlier_build_is_merged(self) -> None:
        stamps = {f"s{number}": f"a.{number}" for number in range(SHARDS)}
        for count in (0, MANY):
            self.start([BOTH], [BOTH, ADDED], OLDEST_PROTOCOL)
            message = self.delegate(protocol=OLDEST_PROTOCOL)
            reply = GatherReply(message.gather_id, stamps, b"x" * 16 * count)
            out = self.entry.handle_peer_message(reply, NOW + 0.06)
            self.assertEqual(0, only(out, MergedAnswer).missing)

    # Guards against records that an entry of an earlier build lacks, since it
    # cannot state how many it needs.
    def test_entry_of_an_earlier_build_gets_all_records(self) -> None:
        self.start([BOTH], [BOTH, ADDED])
        message = self.delegate(protocol=OLDEST_PROTOCOL)
        self.assertIsNone(message.max_records)
        reply = self.query(message)
        self.assertEqual(4 * SHARDS, len(records(reply.body)))

    # Guards against a request that runs twice because a peer has a version in
    # which it may be repeated.
    def test_relayed_request_that_must_not_be_repeated_runs_once(self) -> None:
        once = plain(
            name="once",
            prefix="/fetch/once/",
            idempotent=False,
            services=FETCH.services,
        )
        self.start([FETCH], [FETCH, once])
        self.entry.isolation.isolated = True
        message = self.delegate("/fetch/once/x")
        (send,) = sends_of(self.peer.handle_peer_message(message, NOW + 0.01))
        lost = ended(send, AttemptEnd.LOST, connection_closed=True)
        out = self.peer.replies([lost], NOW + 0.02)
        for at in (0.03, 0.1, 0.5, 1.0):
            for exchange in list(self.peer.exchanges.values()):
                out += self.peer.handle_timer(exchange.request, NOW + at)
        self.assertEqual([], sends_of(out))
        reply = only(out, SendGatherMessage).message
        self.assertTrue(reply.may_have_run)

    # Guards against the same at a peer of an earlier build.
    def test_request_that_runs_once_is_not_relayed_to_earlier_builds(
        self,
    ) -> None:
        once = plain(idempotent=False, services=FETCH.services)
        for protocol in (ACCOUNTS_PROTOCOL, TERMS_PROTOCOL):
            self.start([FETCH], [once], protocol)
            self.entry.isolation.isolated = True
            out = self.entry.handle_request(
                request(target="/fetch/x", at=NOW), NOW
            )
            relays = [one for one in out if isinstance(one, SendGatherMessage)]
            if protocol == TERMS_PROTOCOL:
                self.assertEqual(1, len(relays))
            else:
                self.assertEqual([], relays)
                answer = only(out, RefusedAnswer)
                self.assertIs(Refusal.ISOLATED, answer.refusal)

    # Guards against a request that has run and is refused as not run, since a
    # peer answers it with the records of a shard.
    def test_peer_whose_route_has_shards_declines(self) -> None:
        fetch = plain(
            name="one", prefix="/search/one/", services=FETCH.services
        )
        self.start([BOTH], [BOTH, fetch])
        self.entry.isolation.isolated = True
        message = self.delegate("/search/one/x")
        out = self.peer.handle_peer_message(message, NOW + 0.01)
        self.assertEqual([], sends_of(out))
        ack = only(out, SendGatherMessage).message
        self.assertEqual(
            GatherAck(message.gather_id, DeclineReason.OUTDATED), ack
        )

    # Guards against more upstreams of a shard than the new version allows.
    def test_upstreams_are_those_of_the_version_of_the_entry(self) -> None:
        single = sharded(
            SHARDS, name="full", prefix="/search/full/", most_upstreams=1
        )
        self.start([BOTH], [BOTH, single])
        self.peer.handle_peer_message(self.delegate(), NOW + 0.01)
        (exchange,) = self.peer.exchanges.values()
        self.assertEqual(1, exchange.route.most_upstreams)
