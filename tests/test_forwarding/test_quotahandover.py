"""Tests of accounts whose ledger changes while it is asked for tokens."""

from __future__ import annotations

import dataclasses
import functools

from arbutusbridge.forwarding import RoutingConfiguration
from arbutusbridge.forwarding.gather import Peer
from arbutusbridge.forwarding.model import Account
from arbutusbridge.forwarding.quotamessages import (
    QuotaAsk,
    QuotaGrant,
    QuotaYield,
)
from arbutusbridge.forwarding.quotaranking import group_of
from arbutusbridge.forwarding.ranking import rank_of
from tests.test_forwarding.fixtures import request, sends_of
from tests.test_forwarding.fleet import Fleet
from tests.test_forwarding.test_quotas import (
    QuotaTestCase,
    give,
    load,
    make_fleet,
    most_starts,
    refused,
)

BUSY = Account("acme", ("k",), rate=80.0, burst=10.0)
USUAL, HOT = 50.0, 375.0
"""Requests per second: the usual number, and seven and a half times as many."""

SMALL = {"north": 4}
REGIONAL = {"north": 3, "central": 3, "south": 3}


def grants_of(actions) -> list[QuotaGrant]:
    """Returns the replies to token requests among actions."""
    messages = [getattr(action, "message", None) for action in actions]
    return [one for one in messages if isinstance(one, QuotaGrant)]


class HandoverTestCase(QuotaTestCase):
    """Callers of an account, and instances with different knowledge."""

    def ranked(self, fleet: Fleet, account: Account = BUSY) -> list[str]:
        """Returns the names of all instances in the order of an account."""
        key = str(group_of(account.name))
        peers = [
            Peer(name, place, ("", 0)) for name, place in fleet.places.items()
        ]
        peers.sort(key=lambda peer: rank_of(key, peer))
        return [peer.name for peer in peers]

    def tell(self, fleet: Fleet, names, known) -> None:
        """Tells some instances which instances the store names."""
        for name in names:
            if name in fleet.instances:
                table = fleet.instances[name].gather.peer_table
                table.update(
                    [fleet.peer(other) for other in known if other != name]
                )

    def check_hot(self, play, places, pick=None) -> None:
        """Checks the bound for an account that is hot, and one that is not.

        Args:
          play: Plays a hand-over, given a fleet.
          places: Number of instances by data centre.
          pick: Returns the instance that a request is sent to, given the fleet;
            any by default.
        """
        for seed in (1, 2):
            for hot in (True, False):
                fleet = make_fleet(BUSY, places, seed)
                play(fleet)
                choose = functools.partial(pick, fleet) if pick else None
                load(fleet, USUAL, 9.0, pick=choose)
                load(fleet, HOT if hot else USUAL, 16.0, 9.0, choose)
                fleet.run_until(118.0)
                self.check(fleet, BUSY)
                if not hot:
                    self.assertEqual([], refused(fleet))


class JoiningInstanceTest(HandoverTestCase):
    """An instance is added that precedes the ledger so far."""

    def join(self, fleet: Fleet, stale: list[str], at: float) -> None:
        """Adds the first in order; some instances do not learn of it."""
        added, *others = self.ranked(fleet)
        fleet.stop(added)
        self.tell(fleet, others, others)

        def add() -> None:
            fleet.start(added)
            self.tell(
                fleet, [one for one in others if one not in stale], fleet.places
            )

        fleet.at(100.0 + at, add)

    # Guards against two instances that both grant the whole rate, because the
    # former ledger is cut off from the store and does not know its successor.
    def test_ledger_that_does_not_know_its_successor(self) -> None:
        for places in (SMALL, REGIONAL):
            for at in (7.0, 10.0):
                self.check_hot(
                    lambda fleet, at=at: self.join(
                        fleet, self.ranked(fleet)[1:2], at
                    ),
                    places,
                )

    # Guards against the same if further instances are cut off from the store
    # and go on asking the former ledger.
    def test_most_instances_do_not_know_the_successor(self) -> None:
        self.check_hot(
            lambda fleet: self.join(fleet, self.ranked(fleet)[1:6], 10.0),
            REGIONAL,
        )

    # Guards against a hand-over that costs requests below the quota, or lets
    # more run, if all learn of the new ledger at once.
    def test_all_instances_know_the_successor(self) -> None:
        self.check_hot(lambda fleet: self.join(fleet, [], 10.0), REGIONAL)

    # Guards against requests below the quota that are refused, or two ledgers,
    # after the store has removed the key of one that is cut off from it.
    def test_key_of_the_ledger_is_removed(self) -> None:
        def remove(fleet: Fleet) -> None:
            first, *rest = self.ranked(fleet)
            forwarder = fleet.instances[first]
            forwarder.get_confirmed_at = lambda: 98.0
            fleet.at(109.5, lambda: self.tell(fleet, rest, rest))

        self.check_hot(remove, REGIONAL)

    # Guards against a former ledger that the new one does not reach and that
    # goes on granting the whole rate beside it.
    def test_former_ledger_is_cut_off_from_all(self) -> None:
        for at in (10.0, 12.5):
            fleet = make_fleet(BUSY, REGIONAL)
            former = self.ranked(fleet)[1]
            self.join(fleet, [former], at)
            fleet.is_cut = lambda one, other, fleet=fleet, former=former: (
                former in (one, other) and 109.5 <= fleet.now < 114.5
            )
            load(fleet, USUAL, 9.0)
            load(fleet, HOT, 18.0, 9.0)
            fleet.run_until(120.0)
            self.check(fleet, BUSY)

    # Guards against tokens that a hand-over creates, or against a debt that it
    # forgets.
    def test_tokens_are_handed_over(self) -> None:
        fleet = make_fleet(BUSY, REGIONAL)
        added, former = self.ranked(fleet)[:2]
        self.join(fleet, [former], 12.0)
        load(fleet, HOT, 14.0)
        fleet.run_until(111.99)
        bucket = fleet.instances[former].quotas.buckets["acme"]
        self.assertTrue(bucket.is_whole)
        fleet.run_until(112.1)
        self.assertFalse(bucket.is_whole)
        self.assertEqual(added, bucket.yielded_to)
        taken = fleet.instances[added].quotas.buckets["acme"]
        self.assertTrue(taken.is_whole)
        self.assertTrue(taken.metered)
        self.assertLess(taken.tokens, 2.0)

    # Guards against tokens for requests that have turned to another instance
    # while a claim was open.
    def test_token_requests_do_not_outlast_their_time(self) -> None:
        fleet = make_fleet(BUSY, REGIONAL)
        first, second = self.ranked(fleet)[:2]
        # The second in order is heard of, and its reply is lost.
        fleet.is_cut = lambda one, other: (one, other) == (second, first)
        forwarder = fleet.instances[first]
        forwarder.quotas.former[group_of("acme")] = second
        fleet.run_until(102.0)
        for number in range(1, 4):
            at = 102.0 + number / 10
            fleet.run_until(at)
            forwarder.quotas.silence.noticed(second, at)
            out = forwarder.handle_peer_message(
                QuotaAsk("north-9", ("10.8.0.9", 1), 5, number, "acme", 8), at
            )
            self.assertEqual([], grants_of(out))
        bucket = forwarder.quotas.buckets["acme"]
        self.assertIsNotNone(bucket.claim)
        self.assertEqual(1, len(forwarder.quotas.deferred))
        forwarder.handle_peer_message(
            QuotaYield(
                second, ("10.8.0.2", 1), "north", ["acme"], ["acme"], [20.0]
            ),
            102.6,
        )
        self.assertTrue(bucket.is_whole)
        self.assertEqual({}, forwarder.quotas.deferred)
        self.assertGreater(bucket.tokens, 15.0)

    # Guards against a ledger that was paused and grants the whole rate until it
    # has heard that another one has replaced it.
    def test_paused_ledger_grants_little(self) -> None:
        for pause_s, least, most in ((0.5, 20, 40), (6.0, 0, 5)):
            fleet = make_fleet(BUSY, REGIONAL)
            load(fleet, USUAL, 9.0)
            fleet.run_until(108.0)
            forwarder = fleet.instances[self.ranked(fleet)[0]]
            self.assertTrue(forwarder.quotas.buckets["acme"].is_whole)
            at = fleet.now + pause_s
            sent = 0
            for number in range(100):
                asked = request(number, "/fetch/x", at)
                asked.credentials = list(fleet.credentials)
                sent += len(sends_of(forwarder.handle_request(asked, at)))
            self.assertTrue(least <= sent <= most, f"{sent} after {pause_s}")

    # Guards against departed peers that are remembered for ever where no
    # account has a rate.
    def test_departed_peers_are_forgotten_without_quotas(self) -> None:
        fleet = make_fleet(dataclasses.replace(BUSY, rate=0.0), SMALL)
        gone, *rest = self.ranked(fleet)
        fleet.stop(gone)
        self.tell(fleet, rest, rest)
        fleet.run_until(110.0)
        for name in rest:
            table = fleet.instances[name].gather.peer_table
            self.assertEqual({}, table.departed)

    # Guards against a ledger that waits for instances that are gone.
    def test_successor_of_a_dead_ledger_serves(self) -> None:
        fleet = make_fleet(BUSY, REGIONAL)
        former = self.ranked(fleet)[0]
        rest = [one for one in fleet.places if one != former]
        load(fleet, USUAL, 30.0)
        fleet.at(109.0, lambda: fleet.stop(former))
        fleet.at(121.0, lambda: self.tell(fleet, rest, rest))
        fleet.run_until(132.0)
        for request_id, entered in fleet.entered.items():
            if entered == former:
                fleet.answers.setdefault(request_id, (0.0, None))
        self.check(fleet, BUSY)
        self.assertEqual([], refused(fleet, 22.0))


class StoppingLedgerTest(HandoverTestCase):
    """The ledger stops as planned; callers reach it for some time."""

    def setUp(self) -> None:
        super().setUp()
        self.left_at: dict[str, float] = {}

    def pick(self, fleet: Fleet) -> str:
        """Returns an instance that is not known to be stopping."""
        return fleet.rng.choice(
            [
                name
                for name in fleet.instances
                if fleet.now < self.left_at.get(name, fleet.now) + 2.0
            ]
        )

    def stop(self, fleet: Fleet, count: int = 1, told_after: float = 0.01):
        """Stops the first instances in order, one second apart."""
        order = self.ranked(fleet)
        self.left_at.clear()

        def leave(name: str, others: list[str]) -> None:
            self.left_at[name] = fleet.now
            fleet.instances[name].gather.accepts_requests = False
            fleet.after(told_after, lambda: self.tell(fleet, others, others))
            fleet.after(3.0, lambda: fleet.stop(name))

        for number in range(count):
            name, others = order[number], order[number + 1 :]
            fleet.at(
                110.0 + number,
                lambda name=name, others=others: leave(name, others),
            )

    # Guards against a ledger that stops and goes on granting the whole rate
    # beside its successor, and against requests that it refuses meanwhile.
    def test_stopping_ledger_leaves_the_account_to_the_next(self) -> None:
        for told_after in (0.01, 1.0, 2.5):
            self.check_hot(
                lambda fleet, told_after=told_after: self.stop(
                    fleet, told_after=told_after
                ),
                REGIONAL,
                self.pick,
            )

    # Guards against the same in a series of planned stops.
    def test_several_ledgers_stop_one_after_the_other(self) -> None:
        self.check_hot(
            lambda fleet: self.stop(fleet, 3, 0.2), REGIONAL, self.pick
        )

    # Guards against requests that wait for an instance that will not answer
    # when all of them stop.
    def test_all_instances_stop_at_once(self) -> None:
        fleet = make_fleet(BUSY, SMALL)
        load(fleet, USUAL, 9.0)
        load(fleet, HOT, 13.0, 9.0)

        def stop() -> None:
            for forwarder in fleet.instances.values():
                forwarder.gather.accepts_requests = False

        fleet.at(110.0, stop)
        fleet.run_until(115.0)
        self.check(fleet, BUSY)


class UnknownAccountTest(HandoverTestCase):
    """The first instance in order has an earlier configuration."""

    def add(self, fleet: Fleet, stale: list[str], learned_at: float) -> None:
        """Adds the account at second 5; some instances learn of it later."""
        old = dataclasses.replace(BUSY, name="old", keys=("o",))
        give(fleet, old)

        def configure(names) -> None:
            for name in names:
                fleet.instances[name].configure(
                    RoutingConfiguration(
                        9, fleet.configuration.routes, accounts=(old, BUSY)
                    )
                )

        rest = [one for one in fleet.places if one not in stale]
        fleet.at(105.0, lambda: configure(rest))
        fleet.at(100.0 + learned_at, lambda: configure(stale))

    def play(self, stale_count: int, rate: float, learned_at: float) -> Fleet:
        """Plays requests to the instances that know the account."""
        fleet = make_fleet(BUSY, REGIONAL)
        order = self.ranked(fleet)
        stale, rest = order[:stale_count], order[stale_count:]
        self.add(fleet, stale, learned_at)
        load(fleet, rate, 16.0, 5.3, pick=lambda: fleet.rng.choice(rest))
        fleet.run_until(118.0)
        return fleet

    # Guards against an instance that does not know an account and grants every
    # token of it, or counts none of its requests.
    def test_ledger_that_does_not_know_the_account(self) -> None:
        for stale_count in (1, 3):
            for learned_at in (10.0, 30.0):
                fleet = self.play(stale_count, HOT, learned_at)
                self.check(fleet, BUSY)
                served = len(fleet.sent) - len(refused(fleet))
                self.assertGreater(served, 0.9 * 80.0 * 10.0)

    # Guards against requests below the quota that are refused because the
    # first instances in order do not know the account.
    def test_nothing_is_refused_below_the_quota(self) -> None:
        for stale_count in (1, 3):
            for learned_at in (5.7, 10.0):
                fleet = self.play(stale_count, USUAL, learned_at)
                self.check(fleet, BUSY)
                self.assertEqual([], refused(fleet))

    # Guards against the same at an instance without any configuration.
    def test_ledger_without_a_configuration(self) -> None:
        fleet = make_fleet(BUSY, REGIONAL)
        first, *rest = self.ranked(fleet)
        load(fleet, HOT, 16.0, pick=lambda: fleet.rng.choice(rest))

        def start_again() -> None:
            fleet.stop(first)
            fleet.start(first)
            fleet.instances[first].table = None

        fleet.at(108.0, start_again)
        fleet.at(
            111.0, lambda: fleet.instances[first].configure(fleet.configuration)
        )
        fleet.run_until(118.0)
        self.check(fleet, BUSY)


class RepeatedHandoverTest(HandoverTestCase):
    """Changes of the ledger in series, with lost and late messages."""

    # Guards against a bound that holds for a single hand-over only.
    def test_stops_joins_and_lost_messages(self) -> None:
        for seed in range(1, 5):
            fleet = make_fleet(BUSY, REGIONAL, seed)
            order = self.ranked(fleet)

            def copies(_one, _other, fleet=fleet) -> list[float]:
                lost = fleet.rng.random() < 0.05
                return [] if lost else [fleet.rng.uniform(0.0, 0.02)]

            def leave(name, fleet=fleet) -> None:
                fleet.instances[name].gather.accepts_requests = False
                rest = [one for one in fleet.instances if one != name]
                for one in rest:
                    fleet.after(
                        fleet.rng.uniform(0.0, 2.0),
                        lambda one=one, rest=rest: self.tell(
                            fleet, [one], rest
                        ),
                    )
                fleet.after(2.5, lambda: fleet.stop(name))

            def join(name, fleet=fleet) -> None:
                fleet.start(name)
                names = list(fleet.instances)
                for one in names:
                    fleet.after(
                        fleet.rng.uniform(0.0, 2.0),
                        lambda one=one: self.tell(fleet, [one], names),
                    )

            fleet.copies = copies
            load(fleet, HOT, 30.0)
            for number, name in enumerate((order[0], order[1], order[0])):
                fleet.at(106.0 + 7 * number, lambda n=name: leave(n))
                fleet.at(110.0 + 7 * number, lambda n=name: join(n))
            fleet.run_until(132.0)
            self.assertLessEqual(most_starts(fleet), 471)
