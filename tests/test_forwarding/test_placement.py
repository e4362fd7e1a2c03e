"""Tests of where requests may go: homes and evacuation."""

from __future__ import annotations

import dataclasses

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    AttemptEnd,
    MergedAnswer,
    RefusedAnswer,
    RoutingConfiguration,
)
from arbutusbridge.forwarding.gather import GatherRequest, SendGatherMessage
from arbutusbridge.forwarding.messages import Refusal
from arbutusbridge.forwarding.model import Account
from tests.test_forwarding.fixtures import (
    REGIONS,
    ended,
    make_forwarder,
    only,
    plain,
    request,
    sends_of,
    shard_upstreams,
    sharded,
    upstream,
)
from tests.test_forwarding.fleet import REFUSED, Fleet

NOW = 100.0
ALL_PLACES = ("north", "central", "south")
NORTH, CENTRAL = frozenset({"n"}), frozenset({"c"})
SHARDS = 12


class RecordingFleet(Fleet):
    """Fleet that records the requests that instances send to each other.

    Attributes:
      delegated: Data centre of the peer and target of each request.
    """

    def __init__(self, *args, **kwargs) -> None:
        self.delegated: list[tuple[str, str]] = []
        super().__init__(*args, **kwargs)

    def send_message(self, name: str, action: SendGatherMessage) -> None:
        """Delivers a message to a peer and records a request."""
        if isinstance(action.message, GatherRequest):
            (peer,) = [
                one
                for one in self.places
                if self.address_of(one) == action.address
            ]
            self.delegated.append((self.places[peer], action.message.target))
        super().send_message(name, action)

    def served_places(self, prefix: str, since: float = 0.0) -> set[str]:
        """Returns the data centres whose upstreams got requests of a path."""
        return {
            self.upstreams[one.upstream].announcement.data_centre
            for one in self.arrivals
            if one.request.target.startswith(prefix) and one.at >= since
        }

    def delegated_places(self, prefix: str) -> set[str]:
        """Returns the data centres whose peers got requests of a path."""
        return {
            place
            for place, target in self.delegated
            if target.startswith(prefix)
        }


def make_fleet(routes, places=None, capacity=1.0, seed=1) -> RecordingFleet:
    """Returns instances and upstreams of all services in three regions."""
    upstreams = shard_upstreams(SHARDS, ALL_PLACES)
    upstreams += [
        upstream(f"records-{place}-{number}", "records", place)
        for place in ALL_PLACES
        for number in range(2)
    ]
    places = places or dict.fromkeys(ALL_PLACES, 2)
    return RecordingFleet(routes, upstreams, places, seed, capacity)


def homes_of(route=frozenset(), account=None):
    """Returns a forwarder with homes, and the first actions of a request.

    Args:
      route: Homes of the route.
      account: Homes of the caller's account, None without accounts.
    """
    one = plain(homes=route)
    forwarder = make_forwarder(
        [one], [upstream(f"u-{place}", "records", place) for place in REGIONS]
    )
    started = request(1, "/fetch/x")
    if account is not None:
        accounts = (Account("desk", ("key-1",), homes=account),)
        configuration = RoutingConfiguration(2, (one,), accounts=accounts)
        forwarder.configure(configuration)
        started.credentials = [b"Token key-1"]
    return forwarder, forwarder.handle_request(started, NOW)


class HomesTest(testtools.TestCase):
    """Homes of routes and accounts decide which upstreams may be used."""

    def check_place(self, actions, place: str) -> None:
        """Checks that a request was sent to the upstream of a region."""
        (send,) = sends_of(actions)
        self.assertEqual(place, send.upstream.data_centre)

    def test_route(self) -> None:
        """Guards against the near upstream outside the route's homes."""
        self.check_place(homes_of(route=CENTRAL)[1], "central")

    def test_account(self) -> None:
        """Guards against an account's homes that the route's lack hides."""
        self.check_place(homes_of(account=CENTRAL)[1], "central")

    def test_both(self) -> None:
        """Guards against the union of both homes instead of the overlap."""
        actions = homes_of(NORTH | CENTRAL, CENTRAL | {"s"})[1]
        self.check_place(actions, "central")

    def test_no_common_region(self) -> None:
        """Guards against an empty overlap that is taken for no homes."""
        forwarder, actions = homes_of(NORTH, CENTRAL)
        self.assertEqual([], sends_of(actions))
        answer = only(actions, RefusedAnswer)
        self.assertIs(Refusal.OUTSIDE_HOMES, answer.refusal)
        decision = only(actions, Decision)
        self.assertEqual(
            {"records": "outside_homes"}, decision.detail["missing"]
        )
        self.assertEqual({}, forwarder.exchanges)

    def test_unknown_region(self) -> None:
        """Guards against a data centre without a region that counts as home."""
        forwarder = make_forwarder(
            [plain(homes=NORTH)], [upstream("u1", "records", "island")]
        )
        actions = forwarder.handle_request(request(1, "/fetch/x"), NOW)
        answer = only(actions, RefusedAnswer)
        self.assertIs(Refusal.OUTSIDE_HOMES, answer.refusal)

    def test_no_upstream_at_all(self) -> None:
        """Guards against homes that are blamed for a service without any."""
        forwarder = make_forwarder([plain(homes=NORTH)], [])
        actions = forwarder.handle_request(request(1, "/fetch/x"), NOW)
        answer = only(actions, RefusedAnswer)
        self.assertIs(Refusal.UNSERVABLE, answer.refusal)

    def test_draining_upstream_at_home(self) -> None:
        """Guards against refusals while the only home upstream drains.

        Others elsewhere are no reason to leave it out.
        """
        at_home = upstream("u1", "records")
        forwarder = make_forwarder(
            [plain(homes=NORTH)], [at_home, upstream("u2", "records", "south")]
        )
        forwarder.announce(dataclasses.replace(at_home, leaving=True), NOW)
        actions = forwarder.handle_request(request(1, "/fetch/x"), NOW)
        self.check_place(actions, "north")

    def test_retry(self) -> None:
        """Guards against a retry elsewhere once the upstreams at home fail."""
        forwarder, actions = homes_of(route=NORTH)
        for _ in range(3):
            (send,) = sends_of(actions)
            self.check_place(actions, "north")
            reply = ended(send, AttemptEnd.NOT_SENT)
            forwarder.replies([reply], NOW)
            actions = forwarder.handle_timer(send.request, NOW + 0.1)
            if not sends_of(actions):
                break

    def test_shards_elsewhere_are_left_out(self) -> None:
        """Guards against a wait for shards that no home upstream holds."""
        upstreams = shard_upstreams(3, ("north",))
        upstreams += [upstream("s3-south", "s3", "south")]
        forwarder = make_forwarder([sharded(homes=NORTH)], upstreams)
        sent = sends_of(forwarder.handle_request(request(), NOW))
        self.assertEqual(3, len(sent))
        replies = [
            ended(one, AttemptEnd.RESULT, status=200, stamp="x") for one in sent
        ]
        actions = forwarder.replies(replies, NOW + 0.01)
        self.assertEqual(1, only(actions, MergedAnswer).missing)
        decision = [one for one in actions if isinstance(one, Decision)][-1]
        self.assertEqual({"s3": "outside_homes"}, decision.detail["missing"])

    def test_too_few_shards(self) -> None:
        """Guards against a wait to the deadline for shards outside homes."""
        upstreams = shard_upstreams(2, ("north",))
        upstreams += shard_upstreams(4, ("south",))[2:]
        forwarder = make_forwarder([sharded(homes=NORTH)], upstreams)
        actions = forwarder.handle_request(request(), NOW)
        self.assertEqual([], sends_of(actions))
        answer = only(actions, RefusedAnswer)
        self.assertIs(Refusal.OUTSIDE_HOMES, answer.refusal)


class HomesOfFleetTest(testtools.TestCase):
    """No path of a request leaves its homes."""

    def check_stays(
        self, fleet: RecordingFleet, prefix: str, home: str
    ) -> None:
        """Checks the upstreams and peers that got requests of a path."""
        self.assertEqual({home}, fleet.served_places(prefix))
        self.assertLessEqual(fleet.delegated_places(prefix), {home})
        kinds = fleet.outcomes(prefix)
        self.assertGreater(kinds["served"], 0.9 * sum(kinds.values()))

    def run_searches(self, **fields) -> RecordingFleet:
        """Runs searches while upstreams crash and some of them are slow."""
        fleet = make_fleet([sharded(SHARDS, homes=NORTH)], **fields)
        fleet.work_range_s = (0.003, 0.08)
        fleet.send_series(lambda n: f"/search/{n}", 0.01, NOW + 4.0)
        for number in range(2):
            down = fleet.upstreams[f"s{number}-north"]
            fleet.at(NOW + 1.0, lambda down=down: fleet.crash(down))
        fleet.run_until(NOW + 8.0)
        return fleet

    def test_canaries_hedges_retries_and_delegated_shards(self) -> None:
        """Guards against any attempt or message to another region."""
        fleet = self.run_searches()
        self.check_stays(fleet, "/search/", "north")
        self.assertEqual({"north"}, fleet.delegated_places("/search/"))

    def test_wide_searches(self) -> None:
        """Guards against helpers outside the homes."""
        fleet = self.run_searches(
            places=dict.fromkeys(ALL_PLACES, 4), capacity=0.25
        )
        self.check_stays(fleet, "/search/", "north")
        self.assertEqual({"north"}, fleet.delegated_places("/search/"))

    def test_relay_of_a_cut_off_instance(self) -> None:
        """Guards against a cut-off instance that relays to any peer."""
        routes = [
            plain(homes=NORTH),
            sharded(SHARDS, homes=NORTH),
            plain(name="any", prefix="/any/"),
        ]
        fleet = make_fleet(routes)
        fleet.cut(["central-0"], REFUSED)
        for prefix in ("/any/", "/fetch/", "/search/"):
            fleet.send_series(
                lambda n, prefix=prefix: f"{prefix}{n}",
                0.02,
                NOW + 4.0,
                lambda: "central-0",
            )
        fleet.run_until(NOW + 8.0)
        self.assertTrue(fleet.instances["central-0"].isolation.isolated)
        for prefix in ("/fetch/", "/search/"):
            self.check_stays(fleet, prefix, "north")
            self.assertEqual({"north"}, fleet.delegated_places(prefix))

    def test_cut_off_without_peer_at_home(self) -> None:
        """Guards against a relay to a peer elsewhere for want of another."""
        fleet = make_fleet(
            [plain(homes=NORTH), plain(name="any", prefix="/any/")],
            {"central": 2, "south": 2},
        )
        fleet.cut(["central-0"], REFUSED)
        fleet.send_series(
            lambda n: f"/any/{n}", 0.02, NOW + 2.0, lambda: "central-0"
        )
        fleet.run_until(NOW + 2.5)
        fleet.delegated.clear()
        fleet.send("central-0", "/fetch/x")
        fleet.run_until(NOW + 5.0)
        self.assertEqual([], fleet.delegated)
        self.assertEqual(1, fleet.outcomes("/fetch/")["isolated"])
