"""Tests of the pattern "hundreds of instances, each of which is seldom used".

Wide requests arrive at any instance, and each instance receives one only every
few seconds. Guards against requests whose first messages wait for connections.
"""

from __future__ import annotations

import random

import testtools

from arbutusbridge.core.requests.quarantine import (
    single_canary_for_unfamiliar,
)
from arbutusbridge.daemon.peerlinks import MAX_LINKS
from arbutusbridge.forwarding import Forwarder, Locality
from arbutusbridge.forwarding.gather import (
    UPDATES_PROTOCOL,
    GatherAck,
    GatherRelease,
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
    sharded,
    upstream,
)
from tests.test_forwarding.fleet import CRASHING, Fleet
from tests.test_forwarding.test_crashing_requests import (
    CONTACT_S,
    MAX_FIRST_CRASHES,
    MAX_LATE_SENDS,
    SEARCH,
)

SHARDS = 87
NOW = 100.0
PLACES = {
    f"{region}-{number}": region
    for region in ("north", "central", "south")
    for number in (1, 2)
}


def instances(small: int) -> list[Peer]:
    """Returns 3 strong and some small instances of each data centre."""
    return [
        Peer(
            f"{place}-i{number}",
            place,
            (f"10.{index}.0.{number}", 7380),
            2.15 if number < 3 else 0.516,
        )
        for index, place in enumerate(PLACES)
        for number in range(small + 3)
    ]


def make_instance(peers: list[Peer], number: int) -> Forwarder:
    """Returns an instance; each shard is held in two regions."""
    places = list(PLACES)
    upstreams = [
        upstream(f"s{shard}-{copy}", f"s{shard}", places[(shard + copy) % 6])
        for shard in range(SHARDS)
        for copy in (0, 1)
    ]
    own = peers[number]
    forwarder = make_forwarder([sharded(SHARDS)], upstreams, own.data_centre)
    forwarder.place = Locality(own.data_centre, PLACES)
    forwarder.gather.own_peer = own
    forwarder.gather.peer_table.update(
        [
            Peer(
                p.name,
                p.data_centre,
                p.address,
                p.capacity,
                protocol=p.protocol,
            )
            for p in peers
            if p is not own
        ]
    )
    forwarder.update_instance_count(len(peers))
    return forwarder


class PreconnectTest(testtools.TestCase):
    """Connections that are open before the first request."""

    def test_helpers_and_entries_are_connected_in_both_directions(
        self,
    ) -> None:
        peers = instances(29)
        rng = random.Random(1)
        for number in rng.sample(range(len(peers)), 12):
            entry = make_instance(peers, number)
            likely = {one.address for one in entry.find_likely_peers(NOW)}
            self.assertLess(len(likely), MAX_LINKS)
            out = entry.handle_request(request(at=NOW), NOW)
            asked = {
                one.address for one in out if isinstance(one, SendGatherMessage)
            }
            self.assertNotEqual(set(), asked)
            self.assertEqual(set(), asked - likely)
            for index, helper in enumerate(peers):
                if helper.address in asked:
                    back = make_instance(peers, index).find_likely_peers(NOW)
                    addresses = {one.address for one in back}
                    self.assertIn(peers[number].address, addresses)

    # Guards against links that are closed to open others, again and again.
    def test_all_links_fit_at_the_planned_size(self) -> None:
        peers = instances(92)
        followers = 94
        for number in (0, 3):
            likely = make_instance(peers, number).find_likely_peers(NOW)
            self.assertLess(len(likely) + followers, MAX_LINKS)
            self.assertEqual(len(likely), len({one.name for one in likely}))


class DelegatedCanaryTest(testtools.TestCase):
    """The canary of a wide search, sent over connections that are open."""

    def setUp(self) -> None:
        super().setUp()
        self.entry = make_instance(instances(29), 10)
        self.entry.quarantine.canary = single_canary_for_unfamiliar

    def messages(self, out):
        """Returns the requests to peers among actions, with their address."""
        return [
            one
            for one in out
            if isinstance(one, SendGatherMessage)
            and isinstance(one.message, GatherRequest)
        ]

    # Guards against a canary to an upstream that has paused, which its helper
    # knows, and against a helper that waits twice.
    def test_helper_chooses_the_canary_and_reports_its_reply(self) -> None:
        for peer in self.entry.gather.peer_table.peers.values():
            peer.protocol = UPDATES_PROTOCOL
        out = self.entry.handle_request(request(at=NOW), NOW)
        (action,) = self.messages(out)
        services = action.message.services
        self.assertGreater(len(services), 1)
        helper = make_instance(instances(29), 1)
        (send,) = sends_of(
            helper.handle_peer_message(action.message, NOW + 0.01)
        )
        out = helper.replies([result(send, 1)], NOW + 0.02)
        self.assertEqual(len(services) - 1, len(sends_of(out)))
        update = only(out, SendGatherMessage).message
        self.assertFalse(update.is_final)
        out = self.entry.handle_peer_message(update, NOW + 0.03)
        sent = [one for m in self.messages(out) for one in m.message.services]
        sent += [one.upstream.service for one in sends_of(out)]
        self.assertEqual(SHARDS - len(services), len(sent))
        self.assertEqual(set(), set(sent) & set(services))

    def test_result_elsewhere_releases_the_shards_of_the_helper(self) -> None:
        for peer in self.entry.gather.peer_table.peers.values():
            peer.protocol = UPDATES_PROTOCOL
        out = self.entry.handle_request(request(at=NOW), NOW)
        (action,) = self.messages(out)
        helper = make_instance(instances(29), 1)
        helper.handle_peer_message(action.message, NOW + 0.01)
        ack = GatherAck(action.message.gather_id)
        self.entry.handle_peer_message(ack, NOW + 0.003)
        (exchange,) = self.entry.exchanges.values()
        due_at = exchange.next_canary_at
        (canary,) = sends_of(self.entry.handle_timer(exchange.request, due_at))
        out = self.entry.replies([result(canary, 1)], due_at + 0.01)
        (release,) = [
            one.message
            for one in out
            if isinstance(one, SendGatherMessage)
            and isinstance(one.message, GatherRelease)
        ]
        out = helper.handle_peer_message(release, due_at + 0.02)
        waiting = len(action.message.services) - 1
        self.assertEqual(waiting, len(sends_of(out)))

    def test_one_helper_sends_the_canary_to_one_upstream(self) -> None:
        out = self.entry.handle_request(request(at=NOW), NOW)
        self.assertEqual([], sends_of(out))
        (action,) = self.messages(out)
        self.assertEqual(1, len(action.message.services))
        helper = make_instance(instances(29), 1)
        sends = sends_of(helper.handle_peer_message(action.message, NOW + 0.01))
        self.assertEqual(1, len(sends))
        (exchange,) = helper.exchanges.values()
        while not exchange.finished:
            more = helper.handle_timer(exchange.request, exchange.timer_at)
            self.assertEqual([], sends_of(more))

    # Guards against a search that is late because one upstream has paused.
    def test_next_canary_follows_soon_and_frees_the_shard(self) -> None:
        out = self.entry.handle_request(request(at=NOW), NOW)
        (action,) = self.messages(out)
        (exchange,) = self.entry.exchanges.values()
        ack = GatherAck(action.message.gather_id)
        self.entry.handle_peer_message(ack, NOW + 0.003)
        self.assertLess(exchange.next_canary_at, NOW + 0.05)
        due_at = exchange.next_canary_at
        (canary,) = sends_of(self.entry.handle_timer(exchange.request, due_at))
        self.assertNotIn(canary.upstream.service, action.message.services)
        out = self.entry.replies([result(canary, 1)], due_at + 0.01)
        sent = {one for m in self.messages(out) for one in m.message.services}
        sent |= {one.upstream.service for one in sends_of(out)}
        self.assertEqual(SHARDS - 1, len(sent))
        self.assertIn(action.message.services[0], sent)

    # Guards against helpers that may not use a second upstream in time, because
    # each of them is new to the entry.
    def test_peers_of_a_data_centre_are_expected_to_acknowledge_alike(
        self,
    ) -> None:
        table = self.entry.gather.peer_table
        first, second, *_ = table.members("south-1")
        table.record_ack(first, 0.004)
        table.estimate_ack(second)
        self.assertEqual(0.004, second.ack_s)
        table.record_ack(second, 0.008)
        table.estimate_ack(second)
        self.assertEqual(0.008, second.ack_s)


class CrashingWideSearchTest(testtools.TestCase):
    """A wide search that crashes the upstreams that run it."""

    def make_fleet(self, crash_after_s: float, seed: int) -> Fleet:
        """Returns 30 small instances that have served other searches."""
        places = ("north", "central", "south")
        upstreams = [
            upstream(
                f"s{shard}-{copy}", f"s{shard}", places[(shard + copy) % 3]
            )
            for shard in range(SHARDS)
            for copy in (0, 1)
        ]
        fleet = Fleet(
            [sharded(SHARDS)], upstreams, dict.fromkeys(places, 10), seed, 0.516
        )
        fleet.crash_after_s = crash_after_s
        fleet.send_series(
            lambda number: f"{SEARCH}other-{number}", 0.05, fleet.now + 12.0
        )
        fleet.run_until(fleet.now + 1.0)
        return fleet

    # Guards against helpers that each send a canary of their own.
    def test_first_sighting_crashes_few_upstreams(self) -> None:
        for crash_after_s in (0.0, 0.005, 0.03, 0.06):
            for seed in (1, 2, 3):
                fleet = self.make_fleet(crash_after_s, seed)
                fleet.send("north-0", f"{SEARCH}{CRASHING}")
                fleet.run_until(fleet.now + CONTACT_S)
                crashes = len(fleet.crashes)
                self.assertTrue(
                    crashes <= MAX_FIRST_CRASHES,
                    f"{crashes} crashes, {crash_after_s} s, seed {seed}",
                )

    # Guards against an entry that does not learn what its helper has lost.
    def test_resent_search_is_stopped(self) -> None:
        for crash_after_s in (0.0, 0.03):
            for seed in (1, 2):
                fleet = self.make_fleet(crash_after_s, seed)
                target = f"{SEARCH}{CRASHING}"
                fleet.send_series(
                    lambda _: f"{SEARCH}{CRASHING}", 0.4, fleet.now + 9.0
                )
                fleet.run_until(fleet.now + 10.0)
                late = fleet.late_sends(target, CONTACT_S)
                self.assertTrue(
                    late <= MAX_LATE_SENDS,
                    f"{late} late sends, {fleet.crash_count(target)} crashes",
                )
                served = fleet.outcomes(f"{SEARCH}other")
                self.assertEqual({"served"}, set(served) - {"none"}, served)
