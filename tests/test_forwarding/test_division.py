"""Tests of the division of wide scatters.

Guards against a scatter over more shards than one processor can query in time,
and against shards that are queried twice or not at all when a helper fails.
"""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding import AttemptEnd, MergedAnswer, division
from arbutusbridge.forwarding.forwarder import BUSY_LAG_THRESHOLD_S
from arbutusbridge.forwarding.gather import (
    DeclineReason,
    GatherAck,
    Peer,
    SendGatherMessage,
)
from tests.test_forwarding.fixtures import (
    ended,
    make_forwarder,
    records,
    request,
    result,
    sends_of,
    shard_upstreams,
    sharded,
)

SHARDS = 45
NOW = 100.0
STRONG = 2.15
SMALL = 0.516


def fleet(place: str = "north") -> list[Peer]:
    """Returns two strong and eleven small instances of one data centre."""
    return [
        Peer(
            f"{place}-{number}",
            place,
            (f"10.0.0.{number}", 7380),
            STRONG if number < 2 else SMALL,
        )
        for number in range(13)
    ]


class TeamTest(testtools.TestCase):
    """Selection of helpers, which is the same at every instance."""

    def test_each_share_takes_about_the_target_time(self) -> None:
        selected = division.select_helpers(
            fleet(), "south-1", SHARDS, SHARDS, NOW
        )
        shares = division.divide_by_capacity(range(SHARDS), selected)
        for peer, share in shares:
            duration_s = len(share) * division.SHARD_CPU_TIME_S / peer.capacity
            self.assertLess(duration_s, 1.3 * division.TARGET_CPU_TIME_S)
        self.assertEqual(
            list(range(SHARDS)), [one for _, share in shares for one in share]
        )

    def test_strong_instances_get_most_shards(self) -> None:
        selected = division.select_helpers(
            fleet(), "south-1", SHARDS, SHARDS, NOW
        )
        self.assertEqual(
            [STRONG, STRONG], [one.capacity for one in selected[:2]]
        )
        self.assertLess(len(selected), 7)

    # Guards against searches with few shards in a data centre that use other
    # instances than those with many, which then hold more connections.
    def test_few_shards_go_to_members_of_the_team_for_many(self) -> None:
        peers = [peer for n in range(7) for peer in fleet(f"north{n}")]
        for name in ("south-1", "south-2", "south-3", "central-1"):
            many = division.select_helpers(peers, name, SHARDS, SHARDS, NOW)
            few = division.select_helpers(peers, name, 9, SHARDS, NOW)
            self.assertEqual(many[: len(few)], few)

    def test_unavailable_helper_is_replaced_and_the_others_stay(self) -> None:
        peers = fleet()
        before = division.select_helpers(peers, "south-1", SHARDS, SHARDS, NOW)
        before[-1].excluded_until = NOW + 1
        after = division.select_helpers(peers, "south-1", SHARDS, SHARDS, NOW)
        self.assertEqual(before[:-1], after[: len(before) - 1])
        self.assertNotIn(before[-1], after)

    def test_all_instances_compute_the_same_teams(self) -> None:
        peers = [peer for n in range(7) for peer in fleet(f"north{n}")]
        formed = division.form_teams(peers, SHARDS)
        self.assertGreater(len(formed), 4)
        self.assertEqual(formed, division.form_teams(peers[::-1], SHARDS))
        strongest = [sum(p.capacity > 1 for p in team) for team in formed]
        self.assertLessEqual(max(strongest) - min(strongest), 1)

    def test_helper_count_is_zero_for_other_instances(self) -> None:
        peers = fleet()
        core = division.select_members(
            division.form_teams(peers, SHARDS)[0], SHARDS
        )
        for peer in peers:
            count = division.count_primary_senders(peers, peer.name, SHARDS)
            self.assertEqual(len(core) if peer in core else 0, count)

    def test_only_wide_requests_need_helpers(self) -> None:
        self.assertFalse(division.is_wide(30, 1.07))
        self.assertTrue(division.is_wide(SHARDS, SMALL))


class WideScatterTest(testtools.TestCase):
    """A divided request, from its arrival to its answer."""

    def setUp(self) -> None:
        super().setUp()
        self.route = sharded(SHARDS, least_coverage=0.95)
        upstreams = shard_upstreams(SHARDS)
        self.peers = fleet()
        self.entry = make_forwarder([self.route], upstreams, "south")
        self.entry.place.regions = {"north": "n", "south": "n", "central": "c"}
        self.entry.gather.own_peer = Peer(
            "s", "south", ("10.1.0.1", 7380), SMALL
        )
        self.entry.gather.peer_table.update(self.peers)
        self.helpers = {}
        for peer in self.peers:
            helper = make_forwarder([self.route], upstreams, "north")
            helper.gather.own_peer = peer
            self.helpers[peer.address] = helper

    def peer_messages(self, out):
        """Returns the messages to peers among actions."""
        return [one for one in out if isinstance(one, SendGatherMessage)]

    def asks(self):
        """Starts a request and returns the messages to peers."""
        self.arrived = request(at=NOW)
        out = self.entry.handle_request(self.arrived, NOW)
        self.assertEqual([], sends_of(out))
        return self.peer_messages(out)

    def serve(self, send_action, number: int):
        """Lets a helper query its shards; returns the entry's actions."""
        helper = self.helpers[send_action.address]
        out = helper.handle_peer_message(send_action.message, NOW + 0.01)
        sends = sends_of(out)
        self.assertEqual(len(send_action.message.services), len(sends))
        replies = [result(one, number) for one in sends]
        for back in self.peer_messages(helper.replies(replies, NOW + 0.03)):
            out = self.entry.handle_peer_message(back.message, NOW + 0.04)
        return out

    def test_every_shard_is_queried_by_one_helper(self) -> None:
        asks = self.asks()
        self.assertLess(len(asks), 7)
        asked = [one for action in asks for one in action.message.services]
        self.assertEqual(sorted(self.route.shards), sorted(asked))
        for number, action in enumerate(asks):
            out = self.serve(action, number)
        answer = next(one for one in out if isinstance(one, MergedAnswer))
        self.assertEqual(0, answer.missing)
        self.assertEqual(SHARDS, len(answer.stamps))
        self.assertEqual([len(asks) - 1] * 3, records(answer.body))

    def test_helpers_get_most_of_the_allowance(self) -> None:
        self.entry.update_instance_count(81)
        strong = self.helpers[self.peers[0].address]
        strong.gather.peer_table.update(self.peers[1:])
        strong.update_instance_count(81)
        self.assertEqual(0, self.entry.primary_senders)
        self.assertGreater(strong.primary_senders, 0)
        shares = [one.allowance("s0") for one in (self.entry, strong)]
        self.assertGreater(shares[1], 3 * shares[0])
        self.assertEqual(1 / 81, strong.allowance("records"))

    def test_strong_instance_knows_the_shards_that_others_divide(self) -> None:
        # It would query so few shards itself, but weaker instances delegate
        # some to it.
        route = sharded(30)
        strong = make_forwarder([route], shard_upstreams(30), "north")
        strong.gather.own_peer = self.peers[0]
        strong.gather.peer_table.update(self.peers[1:])
        strong.update_instance_count(13)
        self.assertEqual(frozenset(route.shards), strong.wide_shards)

    def test_shards_of_a_silent_helper_go_to_another(self) -> None:
        asks = self.asks()
        exchange = self.entry.exchanges[self.arrived]
        silent = max(asks, key=lambda action: len(action.message.services))
        for action in asks:
            if action is not silent:
                self.serve(action, 1)
        out = self.entry.handle_timer(self.arrived, exchange.timer_at)
        again = [
            one
            for one in self.peer_messages(out)
            if one.address != silent.address
        ]
        left = [one for action in again for one in action.message.services]
        left += [send.upstream.service for send in sends_of(out)]
        self.assertEqual(sorted(silent.message.services), sorted(left))
        for action in again:
            self.assertEqual(1, action.message.asked_already)

    def test_late_reply_of_a_replaced_helper_is_ignored(self) -> None:
        asks = self.asks()
        exchange = self.entry.exchanges[self.arrived]
        silent = max(asks, key=lambda action: len(action.message.services))
        for action in asks:
            if action is not silent:
                self.serve(action, 1)
        again = self.peer_messages(
            self.entry.handle_timer(self.arrived, exchange.timer_at)
        )
        self.serve(silent, 99)
        out = []
        for action in again:
            if action.address != silent.address:
                out = self.serve(action, 2)
        answer = next(one for one in out if isinstance(one, MergedAnswer))
        self.assertEqual(SHARDS, len(answer.stamps))
        self.assertNotIn(99, records(answer.body))

    def test_helper_respects_the_upstream_limit_of_the_route(self) -> None:
        action = self.asks()[0]
        action.message.asked_already = 1
        helper = self.helpers[action.address]
        sends_of(helper.handle_peer_message(action.message, NOW + 0.01))
        exchange = next(iter(helper.exchanges.values()))
        out = helper.handle_timer(exchange.request, exchange.timer_at)
        self.assertEqual([], sends_of(out))

    def test_helper_with_an_old_configuration_is_excluded_briefly(self) -> None:
        action = self.asks()[0]
        helper = self.helpers[action.address]
        action.message.services = ["of-another-version"]
        out = helper.handle_peer_message(action.message, NOW + 0.01)
        taken = self.peer_messages(out)[0].message
        self.assertIs(DeclineReason.OUTDATED, taken.declined)
        self.entry.handle_peer_message(taken, NOW + 0.01)
        peer = next(p for p in self.peers if p.address == action.address)
        self.assertLess(peer.excluded_until, NOW + 1.0)
        helper.gather.accepts_requests = False
        taken = self.peer_messages(
            helper.handle_peer_message(action.message, NOW + 1.0)
        )[0].message
        self.assertIs(DeclineReason.STOPPING, taken.declined)

    def test_busy_helper_reads_messages_before_further_attempts(self) -> None:
        # The peer may have given it up and turned to another helper.
        action = self.asks()[0]
        helper = self.helpers[action.address]
        sends = sends_of(helper.handle_peer_message(action.message, NOW + 0.01))
        exchange = next(iter(helper.exchanges.values()))
        helper.replies([result(one, 1) for one in sends[1:]], NOW + 0.02)
        late = exchange.timer_at + 2 * BUSY_LAG_THRESHOLD_S
        self.assertEqual(
            [], sends_of(helper.handle_timer(exchange.request, late))
        )
        again = exchange.timer_at
        self.assertGreater(again, late)
        out = helper.handle_timer(exchange.request, again)
        self.assertNotEqual([], sends_of(out))

    def test_helper_tries_one_upstream_while_it_may_be_given_up(self) -> None:
        # If its acknowledgement is late, another helper tries an upstream too.
        action = self.asks()[0]
        exchange = self.entry.exchanges[self.arrived]
        self.assertGreater(action.message.alone_s, exchange.timer_at - NOW)
        helper = self.helpers[action.address]
        sends = sends_of(helper.handle_peer_message(action.message, NOW))
        helper.replies([result(one, 1) for one in sends[1:-1]], NOW + 0.01)
        lost = ended(sends[-1], AttemptEnd.LOST)
        self.assertEqual([], sends_of(helper.replies([lost], NOW + 0.01)))
        own = next(iter(helper.exchanges.values()))
        alone_until = NOW + action.message.alone_s
        while own.timer_at < alone_until:
            out = helper.handle_timer(own.request, own.timer_at)
            self.assertEqual([], sends_of(out))
        out = helper.handle_timer(own.request, own.timer_at)
        self.assertEqual(2, len(sends_of(out)))

    def test_declined_shards_go_to_another_helper(self) -> None:
        asks = self.asks()
        wide = max(asks, key=lambda action: len(action.message.services))
        taken = GatherAck(wide.message.gather_id, DeclineReason.OUTDATED)
        out = self.entry.handle_peer_message(taken, NOW + 0.01)
        self.assertNotIn(
            wide.address, [one.address for one in self.peer_messages(out)]
        )
        for action in self.peer_messages(out):
            self.assertEqual(0, action.message.asked_already)
