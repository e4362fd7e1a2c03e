"""Tests of requests that crash every upstream that runs them.

Such a request comes again with a new id, at any instance. Six instances in
three data centres have to stop sending it, although each sees only a part of
the crashes.
"""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding import Announcement, WeightedService
from tests.test_forwarding.fixtures import plain, sends_of, sharded
from tests.test_forwarding.fleet import CRASHING, Fleet

CONTACT_S = 4.0
"""Shortest time that the users allow until the third crash is known."""

MAX_LATE_SENDS = 3
"""Sends later than CONTACT_S after the third crash, as the users allow."""

MAX_FIRST_CRASHES = 4
"""Upstreams that the first sighting of a search may crash: a few, whatever the
number of shards."""

SHARDS = 20
PLACES = {"north": 2, "central": 2, "south": 2}
RESEND_INTERVAL_S = 0.1
DURATION_S = 30.0

SEARCH, FETCH, ONCE, SPLIT = "/search/", "/fetch/", "/once/", "/split/"
ROUTES = [
    sharded(SHARDS),
    plain(most_upstreams=3),
    plain(name="once", prefix=ONCE, idempotent=False, most_upstreams=3),
    plain(
        name="split",
        prefix=SPLIT,
        services=(WeightedService("records"), WeightedService("archive", 2.0)),
    ),
]


def make_upstreams() -> list[Announcement]:
    """Returns two upstreams a shard, and four of each other service."""
    services = [(f"s{number}", 2) for number in range(SHARDS)]
    services += [("records", 4), ("archive", 4)]
    announcements = []
    places = list(PLACES)
    for index, (service, count) in enumerate(services):
        for number in range(count):
            place = places[(index + number) % len(places)]
            address = ("10.9.0.1", 2000 + len(announcements))
            announcements.append(
                Announcement(f"{service}-{number}", service, address, place, 2)
            )
    return announcements


def make_fleet(seed: int = 1) -> Fleet:
    """Returns six instances in three data centres."""
    return Fleet(ROUTES, make_upstreams(), PLACES, seed)


class ResentRequestTest(testtools.TestCase):
    """A crashing request that is resent ten times a second."""

    def resend(self, prefix: str) -> tuple[Fleet, str]:
        fleet = make_fleet()
        target = f"{prefix}{CRASHING}"
        until = fleet.now + DURATION_S
        fleet.send_series(lambda _number: target, RESEND_INTERVAL_S, until)
        fleet.run_until(until + 2.0)
        return fleet, target

    def check(self, prefix: str) -> None:
        fleet, target = self.resend(prefix)
        late = fleet.late_sends(target, CONTACT_S)
        crashes = fleet.crash_count(target)
        self.assertTrue(
            late <= MAX_LATE_SENDS,
            f"{late} sends after the third crash was known; {crashes} crashes",
        )

    # Guards against a crashing request that is sent to upstreams as often as
    # its caller repeats it, because no instance remembers the crashes.
    def test_resent_search_stops_reaching_upstreams(self) -> None:
        self.check(SEARCH)

    # Guards against the same on a route to one service.
    def test_resent_fetch_stops_reaching_upstreams(self) -> None:
        self.check(FETCH)

    # Guards against the same on a route whose requests run at most once: each
    # resend is a new request.
    def test_resent_single_send_stops_reaching_upstreams(self) -> None:
        self.check(ONCE)

    # Guards against evidence that is kept by service, which a weighted route
    # would divide.
    def test_resent_weighted_request_stops_reaching_upstreams(self) -> None:
        self.check(SPLIT)


class FirstSightingTest(testtools.TestCase):
    """A crashing search that comes for the first time."""

    # Guards against a scatter that crashes an upstream of each shard before
    # the first loss is known, and another one with each retry.
    def test_first_sighting_of_a_search_crashes_few_upstreams(self) -> None:
        fleet = make_fleet()
        fleet.send("north-0", f"{SEARCH}{CRASHING}")
        fleet.run_until(fleet.now + 5.0)
        crashes = len(fleet.crashes)
        self.assertTrue(crashes <= MAX_FIRST_CRASHES, f"{crashes} crashes")

    # Guards against a busy instance that sends the other shards before it has
    # read that the canary's upstream was lost. However late its timers are, it
    # sends them after a result alone.
    def test_late_timer_holds_the_other_shards_back(self) -> None:
        fleet = make_fleet()
        forwarder = fleet.instances["north-0"]
        fleet.send("north-0", f"{SEARCH}other")
        (exchange,) = forwarder.exchanges.values()
        held = sum(part.held_back for part in exchange.parts)
        for number in range(1, 4):
            late_at = exchange.timer_at + 0.02
            out = forwarder.handle_timer(exchange.request, late_at)
            self.assertTrue(len(sends_of(out)) <= 1)
            left = sum(part.held_back for part in exchange.parts)
            self.assertTrue(left >= held - number, f"{left} of {held}")
