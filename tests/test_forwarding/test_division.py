"""Load pattern: a scatter over more shards than one processor asks in time."""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding import AttemptEnd, MergedAnswer, division
from arbutusbridge.forwarding.forwarder import BUSY_LAG_THRESHOLD_S
from arbutusbridge.forwarding.gather import GatherAck, Peer, SendPeerMessage
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
    """Two strong and eleven small instances of one data centre."""
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
    """Who takes part, found alike by every instance."""

    def test_each_share_takes_about_the_time_aimed_at(self) -> None:
        among = division.helpers(fleet(), "south-1", SHARDS, NOW)
        shares = division.divide(range(SHARDS), among)
        for peer, share in shares:
            took = len(share) * division.SHARD_CPU_TIME_S / peer.capacity
            self.assertLess(took, 1.3 * division.TARGET_CPU_TIME_S)
        self.assertEqual(
            list(range(SHARDS)), [one for _, share in shares for one in share]
        )

    def test_strong_instances_take_most(self) -> None:
        among = division.helpers(fleet(), "south-1", SHARDS, NOW)
        self.assertEqual([STRONG, STRONG], [one.capacity for one in among[:2]])
        self.assertLess(len(among), 7)

    def test_unfit_instance_is_replaced_and_the_others_stay(self) -> None:
        peers = fleet()
        before = division.helpers(peers, "south-1", SHARDS, NOW)
        before[-1].unfit_until = NOW + 1
        after = division.helpers(peers, "south-1", SHARDS, NOW)
        self.assertEqual(before[:-1], after[: len(before) - 1])
        self.assertNotIn(before[-1], after)

    def test_many_instances_form_teams_that_all_know_alike(self) -> None:
        peers = [peer for n in range(7) for peer in fleet(f"north{n}")]
        formed = division.teams(peers, SHARDS)
        self.assertGreater(len(formed), 4)
        self.assertEqual(formed, division.teams(peers[::-1], SHARDS))
        strongest = [sum(p.capacity > 1 for p in team) for team in formed]
        self.assertLessEqual(max(strongest) - min(strongest), 1)

    def test_askers_of_a_shard_are_counted_by_themselves_alone(self) -> None:
        peers = fleet()
        core = division.members_asked(division.teams(peers, SHARDS)[0], SHARDS)
        for peer in peers:
            count = division.helper_count(peers, peer.name, SHARDS)
            self.assertEqual(len(core) if peer in core else 0, count)

    def test_few_shards_or_a_fast_processor_need_no_help(self) -> None:
        self.assertFalse(division.is_wide(30, 1.07))
        self.assertTrue(division.is_wide(SHARDS, SMALL))


class WideScatterTest(testtools.TestCase):
    """A request that is divided, from its arrival to its answer."""

    def setUp(self) -> None:
        super().setUp()
        self.route = sharded(SHARDS, least_coverage=0.95)
        upstreams = shard_upstreams(SHARDS)
        self.peers = fleet()
        self.entry = make_forwarder([self.route], upstreams, "south")
        self.entry.place.regions = {"north": "n", "south": "n", "central": "c"}
        self.entry.gather.own = Peer("s", "south", ("10.1.0.1", 7380), SMALL)
        self.entry.gather.book.take(self.peers)
        self.helpers = {}
        for peer in self.peers:
            helper = make_forwarder([self.route], upstreams, "north")
            helper.gather.own = peer
            self.helpers[peer.address] = helper

    def tells(self, out):
        """The messages to peers among actions."""
        return [one for one in out if isinstance(one, SendPeerMessage)]

    def asks(self):
        """Lets a request arrive; returns the messages to peers."""
        self.arrived = request(at=NOW)
        out = self.entry.arrive(self.arrived, NOW)
        self.assertEqual([], sends_of(out))
        return self.tells(out)

    def serve(self, tell, number: int):
        """Lets a helper ask its shards; returns the entry's actions."""
        helper = self.helpers[tell.address]
        out = helper.hear(tell.message, NOW + 0.01)
        sends = sends_of(out)
        self.assertEqual(len(tell.message.services), len(sends))
        replies = [result(one, number) for one in sends]
        for back in self.tells(helper.replies(replies, NOW + 0.03)):
            out = self.entry.hear(back.message, NOW + 0.04)
        return out

    def test_every_shard_is_asked_by_one_helper(self) -> None:
        asks = self.asks()
        self.assertLess(len(asks), 7)
        asked = [one for ask in asks for one in ask.message.services]
        self.assertEqual(sorted(self.route.shards), sorted(asked))
        for number, ask in enumerate(asks):
            out = self.serve(ask, number)
        answer = next(one for one in out if isinstance(one, MergedAnswer))
        self.assertEqual(0, answer.missing)
        self.assertEqual(SHARDS, len(answer.stamps))
        self.assertEqual([len(asks) - 1] * 3, records(answer.body))

    def test_helpers_get_most_of_the_allowance(self) -> None:
        self.entry.recount(81)
        strong = self.helpers[self.peers[0].address]
        strong.gather.book.take(self.peers[1:])
        strong.recount(81)
        self.assertEqual(0, self.entry.askers)
        self.assertGreater(strong.askers, 0)
        shares = [one.allowance("s0") for one in (self.entry, strong)]
        self.assertGreater(shares[1], 3 * shares[0])
        self.assertEqual(1 / 81, strong.allowance("records"))

    def test_strong_instance_knows_that_others_divide(self) -> None:
        # It would ask so few shards alone, and is asked for them all the same.
        route = sharded(30)
        strong = make_forwarder([route], shard_upstreams(30), "north")
        strong.gather.own = self.peers[0]
        strong.gather.book.take(self.peers[1:])
        strong.recount(13)
        self.assertEqual(frozenset(route.shards), strong.wide)

    def test_silent_helper_s_shards_go_to_another(self) -> None:
        asks = self.asks()
        exchange = self.entry.exchanges[self.arrived]
        silent = max(asks, key=lambda ask: len(ask.message.services))
        for ask in asks:
            if ask is not silent:
                self.serve(ask, 1)
        out = self.entry.wake(self.arrived, exchange.wake_at)
        again = [
            one for one in self.tells(out) if one.address != silent.address
        ]
        left = [one for ask in again for one in ask.message.services]
        left += [send.upstream.service for send in sends_of(out)]
        self.assertEqual(sorted(silent.message.services), sorted(left))
        for ask in again:
            self.assertEqual(1, ask.message.asked_already)

    def test_late_reply_of_a_replaced_helper_counts_not_twice(self) -> None:
        asks = self.asks()
        exchange = self.entry.exchanges[self.arrived]
        silent = max(asks, key=lambda ask: len(ask.message.services))
        for ask in asks:
            if ask is not silent:
                self.serve(ask, 1)
        again = self.tells(self.entry.wake(self.arrived, exchange.wake_at))
        self.serve(silent, 99)
        out = []
        for ask in again:
            if ask.address != silent.address:
                out = self.serve(ask, 2)
        answer = next(one for one in out if isinstance(one, MergedAnswer))
        self.assertEqual(SHARDS, len(answer.stamps))
        self.assertNotIn(99, records(answer.body))

    def test_helper_asks_no_more_upstreams_than_the_route_allows(self) -> None:
        ask = self.asks()[0]
        ask.message.asked_already = 1
        helper = self.helpers[ask.address]
        sends_of(helper.hear(ask.message, NOW + 0.01))
        exchange = next(iter(helper.exchanges.values()))
        out = helper.wake(exchange.request, exchange.wake_at)
        self.assertEqual([], sends_of(out))

    def test_helper_that_is_behind_is_asked_again_soon(self) -> None:
        ask = self.asks()[0]
        helper = self.helpers[ask.address]
        ask.message.services = ["of-another-version"]
        out = helper.hear(ask.message, NOW + 0.01)
        taken = self.tells(out)[0].message
        self.assertEqual((True, False), (taken.declined, taken.stopping))
        self.entry.hear(taken, NOW + 0.01)
        peer = next(p for p in self.peers if p.address == ask.address)
        self.assertLess(peer.unfit_until, NOW + 1.0)
        helper.gather.accepting = False
        taken = self.tells(helper.hear(ask.message, NOW + 1.0))[0].message
        self.assertTrue(taken.stopping)

    def test_busy_helper_hears_its_peer_before_it_asks_more(self) -> None:
        # The peer may have given it up, and another helper asks by now.
        ask = self.asks()[0]
        helper = self.helpers[ask.address]
        sends = sends_of(helper.hear(ask.message, NOW + 0.01))
        exchange = next(iter(helper.exchanges.values()))
        helper.replies([result(one, 1) for one in sends[1:]], NOW + 0.02)
        late = exchange.wake_at + 2 * BUSY_LAG_THRESHOLD_S
        self.assertEqual([], sends_of(helper.wake(exchange.request, late)))
        again = exchange.wake_at
        self.assertGreater(again, late)
        out = helper.wake(exchange.request, again)
        self.assertNotEqual([], sends_of(out))

    def test_helper_asks_one_upstream_while_it_may_be_given_up(self) -> None:
        # Its acknowledgement may be late, and another helper asks one too.
        ask = self.asks()[0]
        exchange = self.entry.exchanges[self.arrived]
        self.assertGreater(ask.message.alone_s, exchange.wake_at - NOW)
        helper = self.helpers[ask.address]
        sends = sends_of(helper.hear(ask.message, NOW))
        helper.replies([result(one, 1) for one in sends[1:-1]], NOW + 0.01)
        lost = ended(sends[-1], AttemptEnd.LOST)
        self.assertEqual([], sends_of(helper.replies([lost], NOW + 0.01)))
        own = next(iter(helper.exchanges.values()))
        alone_until = NOW + ask.message.alone_s
        while own.wake_at < alone_until:
            out = helper.wake(own.request, own.wake_at)
            self.assertEqual([], sends_of(out))
        out = helper.wake(own.request, own.wake_at)
        self.assertEqual(2, len(sends_of(out)))

    def test_declined_part_goes_to_another_without_an_attempt(self) -> None:
        asks = self.asks()
        wide = max(asks, key=lambda ask: len(ask.message.services))
        taken = GatherAck(wide.message.gather_id, True)
        out = self.entry.hear(taken, NOW + 0.01)
        self.assertNotIn(wide.address, [one.address for one in self.tells(out)])
        for ask in self.tells(out):
            self.assertEqual(0, ask.message.asked_already)
