"""Tests of the bound on the requests to cold upstreams, over all instances."""

from __future__ import annotations

import bisect
import dataclasses

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    RoutingConfiguration,
    allocation,
    limits,
    warmup,
)
from arbutusbridge.forwarding.limitbook import ReportedDemand
from arbutusbridge.forwarding.model import WarmUp
from arbutusbridge.forwarding.ratelimit import GRANT_TTL_S
from arbutusbridge.forwarding.terms import UpstreamTerms
from tests.test_forwarding.fixtures import (
    make_forwarder,
    plain,
    request,
    sends_of,
    upstream,
)
from tests.test_forwarding.fleet import Fleet

START = 100.0
COLD_AT = START + warmup.ALLOCATOR_HOLD_S + 1.0
"""Time at which an upstream becomes cold; an allocator grants by then."""

WARM_UP_S = 15.0
MAX_RATE = 20.0


def bound_of(rate: float) -> float:
    """Returns the bound of the users in any one second."""
    return rate * 1.5 + 5


def most_in_a_second(times: list[float]) -> int:
    """Returns the most of some times that lie within any one second."""
    return max(
        (
            bisect.bisect_left(times, at + 1.0) - index
            for index, at in enumerate(times)
        ),
        default=0,
    )


class ColdFleet(Fleet):
    """Fleet with a service of which upstreams become cold."""

    def __init__(self, instances: int, rate: float, upstreams: int = 6) -> None:
        places = ("north", "central", "south")
        announcements = [
            upstream(f"u{number}", "records", places[number % 3])
            for number in range(upstreams)
        ]
        counts = {
            place: instances // 3 + (index < instances % 3)
            for index, place in enumerate(places)
        }
        super().__init__([plain()], announcements, counts)
        self.configuration = RoutingConfiguration(
            2, self.configuration.routes, warm_ups={"records": WarmUp(15, rate)}
        )
        for forwarder in self.instances.values():
            forwarder.configure(self.configuration)

    def start(self, name: str) -> None:
        """Starts an instance that hears from the store."""
        super().start(name)
        self.instances[name].get_confirmed_at = lambda: self.now

    def become_cold(self, name: str, seconds: float = WARM_UP_S) -> None:
        """Announces to all instances that an upstream is cold."""
        one = self.upstreams[name]
        one.announcement = dataclasses.replace(
            one.announcement, warm_up_s=seconds
        )
        for instance, forwarder in self.instances.items():
            forwarder.announce(one.announcement, self.now)
            self.carry_out(instance, forwarder.update_cold(self.now))

    def arrivals_in(self, name: str, since: float, until: float) -> list[float]:
        """Returns when requests arrived at an upstream within a time."""
        times = self.times_of_arrivals(name)
        return [at for at in times if since <= at < until]


class BoundTest(testtools.TestCase):
    """No second has more requests than the bound, whatever fails."""

    def run_fleet(
        self,
        instances=20,
        cold=("u0", "u3"),
        rate=MAX_RATE,
        per_s=300.0,
        act=None,
    ) -> ColdFleet:
        """Runs heavy demand while upstreams are cold, and checks the bound.

        Requests sent before the announcement may arrive within 50 ms of it.

        Args:
          instances: Number of instances.
          cold: Upstreams that become cold, by default all of a data centre.
          rate: Maximum rate of a cold one.
          per_s: Requests per second.
          act: Called with the fleet before it runs.
        """
        fleet = ColdFleet(instances, rate)
        until = COLD_AT + WARM_UP_S
        fleet.at(
            COLD_AT - 1.0,
            lambda: fleet.send_series(
                lambda n: f"/fetch/{n}", 1.0 / per_s, until
            ),
        )
        for name in cold:
            fleet.at(COLD_AT, lambda name=name: fleet.become_cold(name))
        if act is not None:
            act(fleet)
        fleet.run_until(until)
        for name in cold:
            times = fleet.arrivals_in(name, COLD_AT + 0.05, until)
            self.assertLessEqual(most_in_a_second(times), bound_of(rate), name)
        return fleet

    def check_used(self, fleet: ColdFleet) -> None:
        """Checks that cold upstreams still get a part of their rate."""
        end = COLD_AT + WARM_UP_S
        for name in ("u0", "u3"):
            got = len(fleet.arrivals_in(name, end - 8.0, end))
            self.assertGreater(got, 8.0 * MAX_RATE * 0.2)

    def test_data_centre_comes_back_cold(self) -> None:
        """Guards against instances that each use the whole rate."""
        self.check_used(self.run_fleet())

    def test_many_instances(self) -> None:
        """Guards against full buckets of 83 instances in one second."""
        self.check_used(self.run_fleet(instances=83))

    def test_low_rate(self) -> None:
        """Guards against buckets that hold more than a low rate allows."""
        self.run_fleet(rate=2.0)

    def test_all_upstreams_are_cold(self) -> None:
        """Guards against the last resort of upstreams without an alternative.

        What is beyond their rate is refused.
        """
        fleet = self.run_fleet(cold=[f"u{number}" for number in range(6)])
        kinds = fleet.outcomes("/fetch/")
        self.assertGreater(kinds["limited"], 0)
        self.assertGreater(kinds["served"], 0)

    def test_allocator_dies(self) -> None:
        """Guards against a successor that grants what is still in use."""

        def act(fleet: ColdFleet) -> None:
            def stop() -> None:
                north = [one for one in fleet.instances if "north" in one]
                for name in north[:4]:
                    fleet.stop(name)
                    for forwarder in fleet.instances.values():
                        table = forwarder.gather.peer_table
                        left = [
                            one
                            for one in table.peers.values()
                            if one.name != name
                        ]
                        table.update(left)

            fleet.at(COLD_AT + 4.0, stop)

        self.run_fleet(act=act)

    def test_allocators_start_again(self) -> None:
        """Guards against grants of an instance without a memory of others."""

        def act(fleet: ColdFleet) -> None:
            def start_again() -> None:
                for name in [one for one in fleet.places if "north" in one]:
                    fleet.stop(name)
                    fleet.start(name)

            fleet.at(COLD_AT + 4.0, start_again)

        self.run_fleet(act=act)

    def test_lost_messages(self) -> None:
        """Guards against shares that move before their holder knows."""

        def act(fleet: ColdFleet) -> None:
            fleet.is_cut = lambda _name, _peer: fleet.rng.random() < 0.4

        self.run_fleet(act=act)

    def test_cold_again(self) -> None:
        """Guards against a bucket that is still full from before."""

        def act(fleet: ColdFleet) -> None:
            for seconds in (3.0, 5.0, 7.0):
                fleet.at(COLD_AT + seconds, lambda: fleet.become_cold("u0"))

        self.run_fleet(act=act)


class FallbackTest(testtools.TestCase):
    """Shares without a grant."""

    def test_many_instances_share_little(self) -> None:
        """Guards against 300 buckets with one request each."""
        fleet = ColdFleet(300, MAX_RATE, upstreams=1)
        fleet.become_cold("u0")
        shares = [
            forwarder.directory.by_name["u0"].cold_limit.fallback_share
            for forwarder in fleet.instances.values()
        ]
        positive = [one for one in shares if one > 0.0]
        self.assertEqual(warmup.FALLBACK_INSTANCES, len(positive))
        self.assertAlmostEqual(warmup.FALLBACK_FRACTION, sum(positive))

    def test_unknown_others(self) -> None:
        """Guards against many instances without peers that each send."""
        forwarder = make_forwarder([plain()], [])
        forwarder.instances = 300
        one = upstream("u0", "records", warm_up_s=10.0)
        forwarder.configure(
            RoutingConfiguration(
                2, (plain(),), warm_ups={"records": WarmUp(10, 5)}
            )
        )
        forwarder.announce(one, START)
        limit = forwarder.directory.by_name["u0"].cold_limit
        self.assertEqual(0.0, limit.fallback_share)


class AllocationTest(testtools.TestCase):
    """What the allocator of a cold upstream grants."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = ColdFleet(20, MAX_RATE)
        self.fleet.run_until(COLD_AT)
        self.fleet.become_cold("u0")

    def allocators(self) -> list[str]:
        """Returns the instances that divide the rate of the cold upstream."""
        return [
            name
            for name, forwarder in self.fleet.instances.items()
            if allocation.divides_alone(
                forwarder.directory.by_name["u0"], forwarder, self.fleet.now
            )
        ]

    def test_shares_that_move(self) -> None:
        """Guards against a share that two instances use at the same time.

        One whose message was lost keeps the earlier grant until it expires.
        """
        forwarder = self.fleet.instances["north-0"]
        one = forwarder.directory.by_name["u0"]
        granted: list[tuple[float, str, float]] = []
        for step in range(40):
            now = COLD_AT + 0.5 * step
            demands = {
                f"i{number}": ReportedDemand(
                    None, self.fleet.rng.uniform(0.0, 9.0), now
                )
                for number in range(30)
            }
            shares = warmup.divide(one, demands, forwarder.limits, now)
            granted += [(now, name, got) for name, got in shares.items()]
            in_use: dict[str, float] = {}
            for at, name, share in granted:
                if now - at < GRANT_TTL_S and share > 0.0:
                    in_use[name] = max(share, in_use.get(name, 0.0))
            self.assertLessEqual(sum(in_use.values()), 1.0 + 1e-9)
            self.assertLessEqual(
                len(in_use), 1 + warmup.HOLDERS_PER_RATE * MAX_RATE
            )

    def test_one_allocator(self) -> None:
        """Guards against a second one that has just started or moved up."""
        (first,) = self.allocators()
        self.fleet.stop(first)
        self.assertEqual([], self.allocators())
        for name, forwarder in self.fleet.instances.items():
            table = forwarder.gather.peer_table
            left = [one for one in table.peers.values() if one.name != first]
            table.update(left)
            self.fleet.carry_out(name, forwarder.maintain(self.fleet.now))
        self.assertEqual([], self.allocators())
        self.fleet.run_until(COLD_AT + warmup.ALLOCATOR_HOLD_S + 0.1)
        self.assertEqual(1, len(self.allocators()))

    def test_allocator_without_store(self) -> None:
        """Guards against one that goes on after others have replaced it."""
        (first,) = self.allocators()
        since = self.fleet.now
        self.fleet.instances[first].get_confirmed_at = lambda: since
        self.fleet.run_until(since + warmup.MAX_STORE_AGE_S + 0.1)
        self.assertEqual([], self.allocators())

    def test_announcement_that_comes_later(self) -> None:
        """Guards against shares of an allocator that takes it for warm.

        An instance that knows better would use them beside reserved ones.
        """
        (first,) = self.allocators()
        forwarder = self.fleet.instances[first]
        one = forwarder.directory.by_name["u0"]
        demands = {"i0": ReportedDemand(None, 9.0, COLD_AT)}
        one.cold_limit = None
        shares = allocation.divide_limit(one, demands, forwarder, COLD_AT)
        self.assertEqual({"i0": allocation.NO_GRANT}, shares)
        limits.learn_terms(
            one, UpstreamTerms(9.0), COLD_AT, "", "", forwarder, COLD_AT, []
        )
        forwarder.update_cold(COLD_AT)
        shares = allocation.divide_limit(one, demands, forwarder, COLD_AT)
        self.assertEqual({"i0": allocation.NO_GRANT}, shares)
        later = COLD_AT + warmup.RESERVATION_S
        shares = allocation.divide_limit(one, demands, forwarder, later)
        self.assertGreater(shares["i0"], 0.0)

    def test_allocator_that_starts_again(self) -> None:
        """Guards against grants without a memory of earlier ones."""
        (first,) = self.allocators()
        self.fleet.start(first)
        self.assertEqual([], self.allocators())


class EndTest(testtools.TestCase):
    """When the limit of a cold upstream begins and ends at one instance."""

    def make(self, rate: float = 4.0):
        """Returns the only instance of a fleet, with one cold upstream."""
        one = upstream("u0", "records", warm_up_s=10.0)
        forwarder = make_forwarder([plain()], [])
        warm_ups = {"records": WarmUp(10, rate)}
        forwarder.configure(
            RoutingConfiguration(2, (plain(),), warm_ups=warm_ups)
        )
        forwarder.announce(one, START)
        return forwarder, one

    def count(self, forwarder, at: float) -> int:
        """Returns how many of fifty requests at once are sent."""
        return sum(
            len(
                sends_of(
                    forwarder.handle_request(
                        request(number, f"/fetch/{at}", at), at
                    )
                )
            )
            for number in range(50)
        )

    def test_announced_end(self) -> None:
        """Guards against a limit that outlasts the announced end."""
        forwarder, one = self.make()
        self.assertLessEqual(self.count(forwarder, START + 1.0), 2)
        warm = dataclasses.replace(one, warm_up_s=0.0)
        forwarder.announce(warm, START + 2.0)
        forwarder.update_cold(START + 2.0)
        self.assertEqual(50, self.count(forwarder, START + 2.0))

    def test_time_has_passed(self) -> None:
        """Guards against a limit that only an announcement ends."""
        forwarder, _ = self.make()
        self.assertEqual(50, self.count(forwarder, START + 10.1))
        actions = forwarder.update_cold(START + 10.2)
        self.assertIn(
            "upstream_warm",
            [one.what for one in actions if isinstance(one, Decision)],
        )
        self.assertEqual({}, forwarder.limits.limited)

    def test_no_maximum_rate(self) -> None:
        """Guards against a limit that the configuration does not name."""
        forwarder, _ = self.make(0.0)
        self.assertEqual(50, self.count(forwarder, START + 1.0))

    def test_lower_limit_binds(self) -> None:
        """Guards against a named limit that the cold one replaces."""
        forwarder, _ = self.make(1000.0)
        one = forwarder.directory.by_name["u0"]
        out: list[object] = []
        limits.learn_terms(
            one, UpstreamTerms(1.0), START, "test", "", forwarder, START, out
        )
        self.assertLessEqual(self.count(forwarder, START + 3.0), 2)
