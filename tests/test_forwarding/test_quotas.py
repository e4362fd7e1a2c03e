"""Tests of quotas of client accounts over all instances together."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import math
from collections.abc import Callable

import testtools

from arbutusbridge.forwarding import (
    Announcement,
    RefusedAnswer,
    RoutingConfiguration,
)
from arbutusbridge.forwarding.gatherwire import OLDEST_PROTOCOL
from arbutusbridge.forwarding.messages import Refusal
from arbutusbridge.forwarding.model import Account
from arbutusbridge.forwarding.quotabook import (
    MAX_COUNTED_ACCOUNTS,
    QuotaBook,
)
from arbutusbridge.forwarding.quotaranking import rank_ledgers
from tests.test_forwarding.fixtures import (
    make_forwarder,
    plain,
    request,
    sends_of,
    sharded,
)
from tests.test_forwarding.fleet import Fleet

WINDOW_S = 5.0
ALL = {"north": 28, "central": 28, "south": 27}
ACCOUNT = Account("acme", ("k",), rate=9.0)
BELOW, FULL, EXCESS = 5.4, 9.0, 90.0
"""Requests per second: six tenths of the rate, the rate, ten times the rate."""


def bound(account: Account = ACCOUNT) -> float:
    """Returns how many requests of an account may start in a window."""
    return (WINDOW_S * account.rate + account.burst) * 1.1 + 20.0


def make_fleet(account: Account = ACCOUNT, places=ALL, seed: int = 1) -> Fleet:
    """Returns instances that have known the account since their start."""
    upstreams = [
        Announcement(
            f"records-{number}",
            "records",
            ("10.9.0.1", 2000 + number),
            list(places)[number % len(places)],
            64,
        )
        for number in range(12)
    ]
    fleet = Fleet([plain()], upstreams, places, seed)
    fleet.credentials = [b"Token k"]
    fleet.maintenance_phase = lambda: fleet.rng.uniform(0.0, 0.25)
    give(fleet, account)
    for name in fleet.places:
        fleet.start(name)
    return fleet


def give(fleet: Fleet, *accounts: Account) -> None:
    """Applies a new configuration with these accounts."""
    previous = fleet.configuration
    fleet.configure(
        RoutingConfiguration(
            previous.version + 1, previous.routes, accounts=accounts
        )
    )


def load(
    fleet: Fleet,
    rate: float,
    until: float,
    since: float = 0.0,
    pick: Callable[[], str] | None = None,
    target: str = "/fetch/",
) -> None:
    """Sends requests at random times to random instances.

    Times are seconds since the start of the fleet.
    """
    at = 100.0 + since

    def send() -> None:
        names = list(fleet.instances)
        fleet.send(pick() if pick else fleet.rng.choice(names), target)

    while (at := at + fleet.rng.expovariate(rate)) < 100.0 + until:
        fleet.at(at, send)


def most_starts(fleet: Fleet) -> int:
    """Returns the most requests that started at upstreams in a window."""
    first: dict[str, float] = {}
    for arrival in fleet.arrivals:
        first.setdefault(arrival.request.request_id, arrival.at)
    times = sorted(first.values())
    return max(
        bisect.bisect_left(times, at + WINDOW_S) - index
        for index, at in enumerate(times)
    )


def refused(
    fleet: Fleet, since: float = 0.0, until: float = math.inf
) -> list[RefusedAnswer]:
    """Returns the refusals of requests that arrived in a time."""
    return [
        answer
        for _, answer in fleet.answers.values()
        if isinstance(answer, RefusedAnswer)
        and since <= answer.request.arrived - 100.0 < until
    ]


def longest_answer_s(fleet: Fleet) -> float:
    """Returns the longest time until an answer."""
    return max(
        at - fleet.sent[request_id].arrived
        for request_id, (at, _) in fleet.answers.items()
    )


def ledger_of(fleet: Fleet) -> str:
    """Returns the name of the ledger of the account."""
    return rank_ledgers("acme", next(iter(fleet.instances.values())))[0].name


class QuotaTestCase(testtools.TestCase):
    """Counts from outside what ran."""

    def check(self, fleet: Fleet, account: Account = ACCOUNT) -> None:
        """Checks the bound, and that every request got an answer."""
        self.assertLessEqual(most_starts(fleet), bound(account))
        self.assertEqual(fleet.sent.keys(), fleet.answers.keys())
        for answer in refused(fleet):
            self.assertIs(Refusal.OVER_QUOTA, answer.refusal)
            assert answer.retry_after_s is not None
            self.assertTrue(0.0 < answer.retry_after_s <= 5.0)


class UndisturbedTest(QuotaTestCase):
    """All instances and their links work."""

    # Guards against quotas that cost callers below their quota anything.
    def test_nothing_is_refused_or_delayed_below_the_quota(self) -> None:
        fleet = make_fleet()
        load(fleet, BELOW, 60.0)
        fleet.run_until(162.0)
        self.check(fleet)
        self.assertEqual([], refused(fleet))
        # Upstreams take up to 12 ms, the way to them and back up to 24 ms, and
        # the way to the ledger as much.
        self.assertLess(longest_answer_s(fleet), 0.065)

    # Guards against reports of some requests at a time that empty the bucket
    # of an account with a high rate.
    def test_nothing_is_refused_below_a_high_rate(self) -> None:
        account = dataclasses.replace(ACCOUNT, rate=1000.0)
        fleet = make_fleet(account)
        load(fleet, 600.0, 10.0)
        fleet.run_until(112.0)
        self.check(fleet, account)
        self.assertEqual([], refused(fleet))

    # Guards against instances that each grant the whole rate, and against
    # refusals that use little of it.
    def test_excess_stays_within_the_bound_and_uses_the_rate(self) -> None:
        for before in (BELOW, FULL):
            fleet = make_fleet()
            load(fleet, before, 20.0)
            load(fleet, EXCESS, 60.0, 20.0)
            fleet.run_until(162.0)
            self.check(fleet)
            served = len(fleet.sent) - len(refused(fleet))
            self.assertGreater(served, 0.8 * (before * 20 + 9.0 * 40))

    # Guards against a surge of an account with a high rate that runs before
    # the first regular reports.
    def test_surge_of_a_high_rate_stays_within_the_bound(self) -> None:
        account = dataclasses.replace(ACCOUNT, rate=1000.0)
        fleet = make_fleet(account)
        load(fleet, 900.0, 5.0)
        load(fleet, 10_000.0, 6.5, 5.0)
        fleet.run_until(108.0)
        self.check(fleet, account)

    # Guards against a burst that is refused although the account has rested.
    def test_burst_after_rest_is_served(self) -> None:
        account = dataclasses.replace(ACCOUNT, burst=40.0)
        fleet = make_fleet(account)
        load(fleet, 0.5, 20.0)
        for number in range(40):
            fleet.at(
                120.0 + number / 200, lambda: fleet.send("south-0", "/fetch/")
            )
        fleet.run_until(130.0)
        self.assertEqual([], refused(fleet))
        load(fleet, EXCESS, 50.0, 31.0)
        fleet.run_until(152.0)
        self.check(fleet, account)

    # Guards against retries that come back at once.
    def test_retry_times_are_spread(self) -> None:
        fleet = make_fleet()
        load(fleet, EXCESS, 30.0)
        fleet.run_until(132.0)
        tenths = {
            int(10 * (at + answer.retry_after_s))
            for at, answer in fleet.answers.values()
            if isinstance(answer, RefusedAnswer)
        }
        self.assertGreater(len(tenths), 250)

    # Guards against an account without a rate that is counted.
    def test_account_without_a_rate_costs_nothing(self) -> None:
        fleet = make_fleet(dataclasses.replace(ACCOUNT, rate=0.0))
        load(fleet, EXCESS, 10.0)
        fleet.run_until(112.0)
        self.assertEqual([], refused(fleet))
        for forwarder in fleet.instances.values():
            self.assertEqual({}, forwarder.quotas.uses)
            self.assertEqual({}, forwarder.quotas.buckets)
            self.assertEqual(0, forwarder.decision_counts["quota_notices"])


class FailureTest(QuotaTestCase):
    """Ledgers, links and instances fail, below the quota and in excess."""

    # Guards against instances that admit everything without a ledger, and
    # against an account that is not served without its first one.
    def test_dead_ledger(self) -> None:
        for rate in (BELOW, EXCESS):
            fleet = make_fleet()
            load(fleet, rate, 50.0)
            name = ledger_of(fleet)

            def stop(fleet=fleet, name=name) -> None:
                fleet.stop(name)

            def forget(fleet=fleet) -> None:
                for other in fleet.instances:
                    fleet.update_peers(other)

            fleet.at(115.0, stop)
            # Its key in the store lives for 12 s.
            fleet.at(127.0, forget)
            fleet.run_until(152.0)
            self.check_answered_but(fleet, name)
            if rate == BELOW:
                self.assertEqual([], refused(fleet, 28.0))
                self.assertLess(len(refused(fleet)), 0.65 * BELOW * 12)

    def check_answered_but(self, fleet: Fleet, name: str) -> None:
        """Checks the bound where an instance took requests with it."""
        for request_id, entered in fleet.entered.items():
            if entered == name:
                fleet.answers.setdefault(request_id, (0.0, None))
        self.check(fleet)

    # Guards against a ledger that does not reply, or too late, while its
    # notices still arrive.
    def test_silent_and_slow_ledger(self) -> None:
        for delay in ([], [0.2], [1.0]):
            for rate in (BELOW, EXCESS):
                fleet = make_fleet()
                load(fleet, rate, 60.0)
                name = ledger_of(fleet)

                def copies(one, other, name=name, fleet=fleet, delay=delay):
                    ill = 115.0 <= fleet.now < 145.0 and name in (one, other)
                    return delay if ill else [0.0]

                fleet.copies = copies
                fleet.run_until(162.0)
                self.check(fleet)
                self.assertLess(longest_answer_s(fleet), 0.4)
                if rate == BELOW:
                    self.assertEqual([], refused(fleet, 0.0, 15.0))
                    self.assertEqual([], refused(fleet, 56.5))
                if delay == [0.2] and rate == BELOW:
                    self.assertEqual([], refused(fleet))

    # Guards against two sides of a partition that each grant the whole rate.
    def test_region_cut_off_for_a_minute(self) -> None:
        for region in ALL:
            for rate in (BELOW, EXCESS):
                fleet = make_fleet()
                load(fleet, rate, 100.0)
                self.cut(fleet, region)
                fleet.run_until(202.0)
                self.check(fleet)
                if rate == BELOW:
                    self.assertEqual([], refused(fleet, 87.0))

    # Guards against instances that are cut off while the account rests, and
    # that each admit the first request of a later surge.
    def test_surge_while_a_region_is_cut_off(self) -> None:
        for region in ALL:
            fleet = make_fleet()
            load(fleet, FULL, 18.0)
            load(fleet, EXCESS, 50.0, 18.0)
            self.cut(fleet, region)
            fleet.run_until(152.0)
            self.check(fleet)

    def cut(self, fleet: Fleet, region: str) -> None:
        """Cuts a region off from the others from second 15 to 75."""
        fleet.is_cut = lambda one, other: (
            115.0 <= fleet.now < 175.0
            and one.startswith(region) != other.startswith(region)
        )

    # Guards against fresh instances that have forgotten what ran, or that
    # refuse requests below the quota.
    def test_all_instances_start_again(self) -> None:
        for rate in (BELOW, EXCESS):
            fleet = make_fleet()
            load(fleet, rate, 40.0)

            def lose_power(fleet=fleet) -> None:
                for name in fleet.places:
                    fleet.stop(name)
                for name in fleet.places:
                    fleet.start(name)

            fleet.at(120.0, lose_power)
            fleet.run_until(142.0)
            self.assertLessEqual(most_starts(fleet), bound())
            if rate == BELOW:
                self.assertEqual([], refused(fleet))

    # Guards against two ledgers of one account while instances learn of each
    # other one by one.
    def test_instances_come_and_go(self) -> None:
        for rate in (BELOW, EXCESS):
            fleet = make_fleet()
            load(fleet, rate, 60.0)

            def tell(names, fleet=fleet) -> None:
                for name in names:
                    fleet.after(
                        fleet.rng.uniform(0.0, 2.0),
                        lambda name=name: fleet.update_peers(name),
                    )

            def shrink(fleet=fleet) -> None:
                for name in list(fleet.instances):
                    if int(name.split("-")[1]) >= 7:
                        fleet.stop(name)
                tell(fleet.instances)

            def grow(fleet=fleet) -> None:
                known = list(fleet.instances)
                for name in fleet.places:
                    if name not in fleet.instances:
                        fleet.start(name)
                tell(known)

            fleet.at(120.0, shrink)
            fleet.at(140.0, grow)
            fleet.run_until(162.0)
            self.assertLessEqual(most_starts(fleet), bound())
            if rate == BELOW:
                self.assertLess(len(refused(fleet)), 0.02 * len(fleet.sent))

    # Guards against batches and token requests that count twice or never.
    def test_lost_and_duplicate_messages(self) -> None:
        for rate in (BELOW, EXCESS):
            fleet = make_fleet()
            load(fleet, rate, 60.0)

            def copies(_one, _other, fleet=fleet) -> list[float]:
                if fleet.rng.random() < 0.1:
                    return []
                further_s = fleet.rng.uniform(0.0, 0.1)
                return [0.0, further_s] if fleet.rng.random() < 0.1 else [0.0]

            fleet.copies = copies
            fleet.run_until(162.0)
            self.check(fleet)
            if rate == BELOW:
                self.assertLess(len(refused(fleet)), 0.02 * len(fleet.sent))


class ConfigurationTest(QuotaTestCase):
    """The operators change accounts under load."""

    # Guards against tokens of the old limit that outlast it.
    def test_lowered_limit(self) -> None:
        old = dataclasses.replace(ACCOUNT, rate=90.0, burst=50.0)
        new = dataclasses.replace(ACCOUNT, rate=9.0, burst=5.0)
        fleet = make_fleet(old)
        load(fleet, 60.0, 50.0)
        for name in fleet.instances:
            fleet.at(
                120.0 + fleet.rng.uniform(0.0, 5.0),
                lambda name=name: fleet.instances[name].configure(
                    RoutingConfiguration(
                        9, fleet.configuration.routes, accounts=(new,)
                    )
                ),
            )
        fleet.run_until(152.0)
        self.check(fleet, old)
        self.assertEqual([], refused(fleet, 0.0, 20.0))
        fleet.arrivals = [one for one in fleet.arrivals if one.at >= 130.0]
        self.check(fleet, new)

    # Guards against a change that fills the bucket or forgets its debt, and
    # against state of accounts that no longer exist.
    def test_configurations_in_quick_succession(self) -> None:
        fleet = make_fleet()
        load(fleet, EXCESS, 40.0)
        for number in range(100):
            fleet.at(110.0 + number / 5, lambda: give(fleet, ACCOUNT))
        fleet.run_until(142.0)
        self.check(fleet)
        other = Account("other", ("o",), rate=1.0)
        give(fleet, other)
        fleet.run_until(143.0)
        for forwarder in fleet.instances.values():
            self.assertEqual({}, forwarder.quotas.uses)
            self.assertEqual({}, forwarder.quotas.buckets)


class CountTest(QuotaTestCase):
    """A request counts once, and not at all if it has not run."""

    # Guards against requests that upstreams could not take and that use up the
    # quota nevertheless.
    def test_refusal_for_another_reason_returns_the_token(self) -> None:
        # Callers of one instance, whose ledger is another one; and all.
        for pick in (lambda: "north-1", None):
            fleet = make_fleet(places={"north": 3, "central": 3, "south": 3})
            for forwarder in fleet.instances.values():
                for upstream in fleet.upstreams:
                    forwarder.withdraw(upstream)
            load(fleet, EXCESS, 20.0, pick=pick)
            fleet.run_until(122.0)
            kinds = {answer.refusal for answer in refused(fleet)}
            self.assertIn(Refusal.UNSERVABLE, kinds)
            over = [
                answer
                for answer in refused(fleet)
                if answer.refusal is Refusal.OVER_QUOTA
            ]
            self.assertLess(len(over), 0.05 * len(fleet.sent))

    # Guards against shards, helpers, hedges and retries that are counted each.
    def test_divided_and_hedged_requests_count_once(self) -> None:
        places = {"north": 3, "central": 3, "south": 3}
        shards = 12
        upstreams = [
            Announcement(
                f"s{number}-{place}",
                f"s{number}",
                ("10.9.0.1", 2000 + 10 * number + index),
                place,
                8,
            )
            for number in range(shards)
            for index, place in enumerate(places)
            # Some shards are held in another region, and delegated.
            if (number + index) % 3
        ]
        fleet = Fleet([sharded(shards)], upstreams, places)
        fleet.credentials = [b"Token k"]
        give(fleet, ACCOUNT)
        for name in fleet.places:
            fleet.start(name)
        # Some shards take longer than usual, and are asked a second time.
        fleet.work_range_s = (0.003, 0.09)
        load(fleet, BELOW, 30.0, target="/search/x")
        fleet.run_until(132.0)
        hedges = [
            arrival
            for arrival, later in itertools.combinations(fleet.arrivals, 2)
            if arrival.request.request_id == later.request.request_id
            and arrival.upstream.split("-")[0] == later.upstream.split("-")[0]
        ]
        self.assertGreater(len(hedges), 10)
        self.check(fleet)
        self.assertEqual([], refused(fleet))
        (bucket,) = [
            forwarder.quotas.buckets["acme"]
            for name, forwarder in fleet.instances.items()
            if name == ledger_of(fleet)
        ]
        self.assertGreater(len(fleet.arrivals), 10 * len(fleet.sent))
        self.assertGreater(bucket.tokens, 0.0)

    # Guards against messages that an earlier build does not understand, and
    # against one of its instances that is taken for a ledger.
    def test_peers_of_an_earlier_protocol(self) -> None:
        places = {"north": 4, "central": 4, "south": 4}
        fleet = make_fleet(places=places)
        old = {name for name in fleet.places if name.endswith(("-0", "-1"))}
        fleet.protocols = dict.fromkeys(old, OLDEST_PROTOCOL)
        for name in fleet.places:
            fleet.start(name)
        self.assertNotIn(ledger_of(fleet), old)
        new = sorted(set(fleet.places) - old)
        load(fleet, EXCESS, 20.0, pick=lambda: fleet.rng.choice(new))
        fleet.run_until(122.0)
        self.check(fleet)

    # Guards against an instance without peers that grants the whole rate, as
    # the others do that it does not know.
    def test_instance_without_peers_grants_its_share(self) -> None:
        upstream = Announcement(
            "records-0", "records", ("10.9.0.1", 2000), "north", 64
        )
        forwarder = make_forwarder([plain()], [upstream])
        forwarder.configure(
            RoutingConfiguration(2, (plain(),), accounts=(ACCOUNT,))
        )
        forwarder.update_instance_count(10)
        sends = 0
        for number in range(500):
            now = 100.0 + number / 10
            one = request(number, "/fetch/x", now)
            one.credentials = [b"Token k"]
            actions = forwarder.handle_request(one, now)
            actions += forwarder.maintain(now)
            sends += len(sends_of(actions))
        self.assertGreater(sends, 44)
        self.assertLess(sends, 48)

    # Guards against one label of a metric for each of many accounts.
    def test_refused_requests_are_counted_under_few_names(self) -> None:
        book = QuotaBook()
        for number in range(1000):
            book.record_refused(f"a{number}")
            book.record_refused("a0")
        self.assertEqual(MAX_COUNTED_ACCOUNTS + 1, len(book.refused))
        self.assertEqual(2000, book.refused.total())
        self.assertEqual(1001, book.refused["a0"])

    # Guards against waiting requests without an answer, and against a token
    # that is lost with its request.
    def test_waiting_request_is_dropped_or_answered_at_a_stop(self) -> None:
        fleet = make_fleet(places={"north": 3, "central": 3, "south": 3})
        load(fleet, EXCESS, 5.0)
        fleet.run_until(104.9)
        name = next(one for one in fleet.instances if one != ledger_of(fleet))
        forwarder = fleet.instances[name]
        forwarder.quotas.uses["acme"].refused_until = 0.0
        fleet.is_cut = lambda _one, _other: True
        ids = [fleet.send(name, "/fetch/") for _ in range(3)]
        requests = [fleet.sent[one] for one in ids]
        self.assertEqual(set(requests), forwarder.quotas.waiting.keys())
        forwarder.abandon(requests[0], fleet.now)
        self.assertEqual(set(requests[1:]), forwarder.quotas.waiting.keys())
        answers = [
            action
            for action in forwarder.finish_all(fleet.now)
            if isinstance(action, RefusedAnswer)
        ]
        self.assertEqual(requests[1:], [one.request for one in answers])
        self.assertEqual({}, forwarder.quotas.waiting)
