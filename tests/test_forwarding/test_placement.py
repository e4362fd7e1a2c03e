"""Tests of where requests may go: homes and evacuation."""

from __future__ import annotations

import dataclasses
from collections import Counter

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    AttemptEnd,
    MergedAnswer,
    RefusedAnswer,
    RoutingConfiguration,
    WithdrawAttempt,
    isolation,
)
from arbutusbridge.forwarding.gather import (
    GatherReply,
    GatherRequest,
    SendGatherMessage,
)
from arbutusbridge.forwarding.messages import Refusal
from arbutusbridge.forwarding.model import Account
from tests.test_forwarding.fixtures import (
    HOST,
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
      evacuated: Data centres that are being evacuated.
      decisions: Number of decisions by name.
    """

    def __init__(self, *args, **kwargs) -> None:
        self.decisions: Counter[str] = Counter()
        self.delegated: list[tuple[str, str]] = []
        self.evacuated: set[str] = set()
        super().__init__(*args, **kwargs)

    def start(self, name: str) -> None:
        """Starts an instance, which reads the evacuations first."""
        super().start(name)
        for place in self.evacuated:
            self.carry_out(name, self.instances[name].evacuate(place, self.now))

    def carry_out(self, name: str, actions: list) -> None:
        """Performs the actions of an instance and counts its decisions."""
        self.decisions.update(
            one.what for one in actions if isinstance(one, Decision)
        )
        super().carry_out(name, actions)

    def evacuate(self, place: str) -> None:
        """Tells all instances to evacuate a data centre."""
        self.evacuated.add(place)
        for name, forwarder in self.instances.items():
            self.carry_out(name, forwarder.evacuate(place, self.now))

    def end_evacuation(self, place: str) -> None:
        """Tells all instances that an evacuation has ended."""
        self.evacuated.discard(place)
        for name, forwarder in self.instances.items():
            self.carry_out(name, forwarder.end_evacuation(place, self.now))

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

    def run_searches(
        self, homes=NORTH, silent=False, **fields
    ) -> RecordingFleet:
        """Runs searches while upstreams crash and some of them are slow."""
        fleet = make_fleet([sharded(SHARDS, homes=homes)], **fields)
        fleet.work_range_s = (0.003, 0.08)
        fleet.crashes_are_silent = silent
        fleet.send_series(lambda n: f"/search/{n}", 0.01, NOW + 4.0)
        for number in range(2):
            down = fleet.upstreams[f"s{number}-north"]
            fleet.at(NOW + 1.0, lambda down=down: fleet.crash(down))
        fleet.run_until(NOW + 8.0)
        return fleet

    def test_canaries_and_delegated_shards(self) -> None:
        """Guards against any attempt or message to another region."""
        fleet = self.run_searches()
        self.check_stays(fleet, "/search/", "north")
        self.assertEqual({"north"}, fleet.delegated_places("/search/"))

    def check_two_homes(self, fleet: RecordingFleet) -> None:
        """Checks that the third region got nothing."""
        for found in (
            fleet.served_places("/search/"),
            fleet.delegated_places("/search/"),
        ):
            self.assertEqual({"north", "central"}, found)

    def test_hedges(self) -> None:
        """Guards against hedges outside the homes of upstreams that hang."""
        fleet = self.run_searches(NORTH | CENTRAL, silent=True)
        self.assertGreater(fleet.decisions["hedge"], 0)
        self.check_two_homes(fleet)

    def test_retries(self) -> None:
        """Guards against retries outside the homes after a crash."""
        fleet = self.run_searches(NORTH | CENTRAL)
        self.assertGreater(fleet.decisions["retry"], 0)
        self.check_two_homes(fleet)

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


class EvacuationTest(testtools.TestCase):
    """Nothing is sent to the upstreams of an evacuated data centre."""

    def setUp(self) -> None:
        super().setUp()
        routes = [plain(), sharded(SHARDS)]
        self.fleet = make_fleet(routes)
        self.fleet.work_range_s = (0.003, 0.08)
        for prefix in ("/fetch/", "/search/"):
            self.fleet.send_series(
                lambda n, prefix=prefix: f"{prefix}{n}", 0.01, NOW + 6.0
            )
        self.fleet.run_until(NOW + 2.0)

    def run_and_check(self, places: set[str]) -> None:
        """Runs the traffic and checks the data centres that get requests.

        Requests already on their way at the change arrive within 50 ms.
        """
        since = self.fleet.now + 0.05
        self.fleet.run_until(self.fleet.now + 1.5)
        for prefix in ("/fetch/", "/search/"):
            found = self.fleet.served_places(prefix, since)
            self.assertEqual(places, found)

    def check_served(self) -> None:
        """Checks that no request was lost or refused."""
        self.fleet.run_until(NOW + 9.0)
        for prefix in ("/fetch/", "/search/"):
            self.assertEqual({"served"}, set(self.fleet.outcomes(prefix)))

    def test_one_data_centre(self) -> None:
        """Guards against requests there, and against lost running ones."""
        self.fleet.evacuate("north")
        self.fleet.crash(self.fleet.upstreams["s0-central"])
        self.run_and_check({"central", "south"})
        self.check_served()

    def test_two_of_three_regions(self) -> None:
        """Guards against requests to either of two evacuated regions."""
        self.fleet.evacuate("north")
        self.fleet.evacuate("central")
        self.run_and_check({"south"})
        self.check_served()

    def test_all_data_centres(self) -> None:
        """Guards against a wait for the deadline while nothing may be used."""
        for place in ALL_PLACES:
            self.fleet.evacuate(place)
        self.run_and_check(set())
        for prefix in ("/fetch/", "/search/"):
            number = self.fleet.send("north-0", f"{prefix}last")
            at, answer = self.fleet.answers[number]
            self.assertEqual(self.fleet.now, at)
            self.assertIs(Refusal.UNSERVABLE, answer.refusal)

    def test_withdrawn_evacuation(self) -> None:
        """Guards against a data centre that stays unused afterwards."""
        self.fleet.evacuate("north")
        self.run_and_check({"central", "south"})
        self.fleet.end_evacuation("north")
        self.fleet.run_until(NOW + 6.0)
        since = NOW + 3.6
        self.assertIn("north", self.fleet.served_places("/fetch/", since))
        self.assertIn("north", self.fleet.served_places("/search/", since))
        self.check_served()

    def test_instance_that_starts_meanwhile(self) -> None:
        """Guards against an instance that only applies later changes."""
        self.fleet.evacuate("north")
        self.fleet.stop("north-0")
        self.fleet.start("north-0")
        self.run_and_check({"central", "south"})

    def test_restarted_upstream(self) -> None:
        """Guards against an upstream that is used after its new start."""
        self.fleet.evacuate("north")
        for name in ("records-north-0", "s1-north"):
            self.fleet.restart(self.fleet.upstreams[name])
        self.run_and_check({"central", "south"})

    def test_peer_that_knows_before(self) -> None:
        """Guards against a message that reports unsent shards as run."""
        north = self.fleet.instances["north-0"]
        north.evacuate("north", self.fleet.now)
        north.evacuate("central", self.fleet.now)
        north.evacuate("south", self.fleet.now)
        own = self.fleet.address_of("central-0")
        message = GatherRequest(
            5, own, "r", "GET", "/search/x", HOST, [], b"", ["s0"], 0.2, 1.0, 0
        )
        actions = north.handle_peer_message(message, self.fleet.now)
        replies = [
            one.message
            for one in actions
            if isinstance(one, SendGatherMessage)
            and isinstance(one.message, GatherReply)
        ]
        self.assertEqual(["s0"], replies[0].unsent)


class EvacuatedForwarderTest(testtools.TestCase):
    """What one instance does when an evacuation begins."""

    def test_waiting_attempts_are_sent_elsewhere(self) -> None:
        """Guards against requests that are sent once they get a connection."""
        forwarder, actions = homes_of(route=NORTH | CENTRAL)
        (send,) = sends_of(actions)
        out = forwarder.evacuate("north", NOW)
        self.assertEqual(send.attempt_id, only(out, WithdrawAttempt).attempt_id)
        reply = ended(send, AttemptEnd.WITHDRAWN)
        (again,) = sends_of(forwarder.replies([reply], NOW))
        self.assertEqual("central", again.upstream.data_centre)

    def test_only_home_is_evacuated(self) -> None:
        """Guards against a request that leaves its homes instead."""
        forwarder, _ = homes_of(route=NORTH)
        forwarder.evacuate("north", NOW)
        actions = forwarder.handle_request(request(2, "/fetch/x"), NOW)
        self.assertEqual([], sends_of(actions))
        self.assertIs(Refusal.UNSERVABLE, only(actions, RefusedAnswer).refusal)
        decision = only(actions, Decision)
        self.assertEqual({"records": "evacuated"}, decision.detail["missing"])

    def test_change_is_logged_once(self) -> None:
        """Guards against a line for each value that the store repeats."""
        forwarder, _ = homes_of()
        first = forwarder.evacuate("south", NOW)
        self.assertEqual("evacuation_began", only(first, Decision).what)
        self.assertEqual([], forwarder.evacuate("south", NOW))
        last = forwarder.end_evacuation("south", NOW)
        self.assertEqual("evacuation_ended", only(last, Decision).what)
        self.assertEqual([], forwarder.end_evacuation("south", NOW))

    def test_probes(self) -> None:
        """Guards against an instance that waits for stopped upstreams."""
        forwarder, _ = homes_of()
        forwarder.evacuate("north", NOW)
        forwarder.isolation.isolated = True
        out: list[object] = []
        isolation.send_probes(forwarder, NOW, out)
        places = {one.upstream.data_centre for one in out}
        self.assertEqual({"central", "south"}, places)
