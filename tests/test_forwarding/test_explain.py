"""Tests of the explanation of where a request would go."""

from __future__ import annotations

import io
import pickle
import random
import types

import orjson
import testtools

from arbutusbridge.cmd import explaintext
from arbutusbridge.core.requests.quarantine import CrashReport, canary_always
from arbutusbridge.forwarding import RefusedAnswer, RoutingConfiguration
from arbutusbridge.forwarding.explain import DescribedRequest, explain
from arbutusbridge.forwarding.explaindetails import to_ms
from arbutusbridge.forwarding.gather import (
    GatherRequest,
    Peer,
    SendGatherMessage,
)
from arbutusbridge.forwarding.gatherwire import CURRENT_PROTOCOL
from arbutusbridge.forwarding.limits import learn_terms
from arbutusbridge.forwarding.messages import Load
from arbutusbridge.forwarding.model import Account, WarmUp, WeightedService
from arbutusbridge.forwarding.overflowstate import Outflow
from arbutusbridge.forwarding.pauses import learn_pause
from arbutusbridge.forwarding.quotabook import AccountUse
from arbutusbridge.forwarding.terms import UpstreamTerms
from tests.test_forwarding.fixtures import (
    HOST,
    make_forwarder,
    plain,
    request,
    sends_of,
    shard_upstreams,
    sharded,
    upstream,
)
from tests.test_forwarding.fleet import CRASHING, REFUSED, Fleet

PLACES = ("north", "central", "south")
SEEDS, ROUNDS = 20, 12
TARGETS = {
    "/search/x": 4,
    "/wide/x": 2,
    "/fetch/x": 5,
    "/one/x": 2,
    f"/fetch/{CRASHING}": 1,
    "/none/x": 1,
}
ACCOUNTS = (
    Account("desk", ("key-1",), urgency=2),
    Account("west", ("key-2",), homes=frozenset("n")),
    Account("far", ("key-3",), homes=frozenset("s")),
)
KEYS = {
    "": (),
    "desk": (b"Token key-1",),
    "west": (b"Token key-2",),
    "far": (b"Token key-3",),
    "other": (b"Token key-9",),
}


class StatePickler(pickle.Pickler):
    """Pickles a forwarder; functions that it calls are left out."""

    def persistent_id(self, obj):
        """Returns a name for functions, which have no state of interest."""
        kinds = (types.FunctionType, types.MethodType)
        return obj.__name__ if isinstance(obj, kinds) else None


def describe(forwarder) -> bytes:
    """Returns a deep description of the state of a forwarder."""
    stream = io.BytesIO()
    StatePickler(stream).dump(forwarder)
    return stream.getvalue()


def make_fleet(seed: int) -> Fleet:
    """Returns instances with routes of all kinds."""
    rng = random.Random(seed)
    services = (WeightedService("records", 2.0), WeightedService("spare", 1.0))
    routes = [
        sharded(8, homes=frozenset(rng.choice(["", "", "nc", "s"]))),
        sharded(40, name="wide", prefix="/wide/"),
        plain(services=services, homes=frozenset(rng.choice(["", "nc"]))),
        plain(name="one", prefix="/one/", allows_anonymous=True),
    ]
    found = [
        one
        for one in shard_upstreams(40, PLACES)
        if one.data_centre != "north" or rng.random() < 0.8
    ]
    found += [
        upstream(f"{service}-{place}-{number}", service, place)
        for service in ("records", "spare")
        for place in PLACES
        for number in range(2)
    ]
    fleet = Fleet(routes, found, dict.fromkeys(PLACES, 3), seed)
    if rng.random() < 0.5:
        fleet.configuration = RoutingConfiguration(
            2,
            tuple(routes),
            accounts=ACCOUNTS,
            warm_ups={"records": WarmUp(2.0, 5.0)},
        )
        for forwarder in fleet.instances.values():
            forwarder.configure(fleet.configuration)
    return fleet


def disturb(fleet: Fleet, name: str, rng: random.Random) -> None:
    """Changes what an instance knows, at random."""
    forwarder, now = fleet.instances[name], fleet.now
    upstreams = list(forwarder.directory.by_name.values())
    unsharded = upstreams[-12:]
    chosen = rng.sample(upstreams, 20) + rng.sample(unsharded, 4)
    if rng.random() < 0.2:
        chosen += unsharded
    for one in chosen:
        kind = rng.choice([4, 5]) if len(chosen) > 30 else rng.randrange(7)
        if kind == 0:
            one.load, one.load_reported_at = Load(rng.randrange(6), 2, 1.5), now
        elif kind == 1:
            one.unreachable_until = now + 0.5
        elif kind == 2:
            one.slowness, one.failure_rate = rng.uniform(1, 6), rng.random()
        elif kind == 3:
            one.warmed_up_at = now + rng.uniform(0.1, 2.0)
            forwarder.limits.cold[one.name] = one
        elif kind == 4:
            learn_pause(one, rng.uniform(0.1, 1.0), "", now, [])
        elif kind == 5:
            terms = UpstreamTerms(rng.choice([None, 0.1, 2.0, 20.0]))
            learn_terms(one, terms, now, "test", "", forwarder, now, [])
        else:
            leaving = rng.random() < 0.5
            forwarder.directory.update_leaving(one, leaving, now)
    for peer in rng.sample(list(forwarder.gather.peer_table.peers.values()), 3):
        peer.excluded_until = now + rng.uniform(-1, 1)
        peer.isolated_until = now + rng.uniform(-2, 0.5)
        peer.protocol = rng.choice([0x15, 0x16, 0x17])
    forwarder.evacuated = {one for one in PLACES if rng.random() < 0.15}
    forwarder.isolation.isolated = rng.random() < 0.1
    forwarder.isolation.ended_at = now - rng.uniform(0, 20)
    forwarder.quarantine.canary = rng.choice(
        [forwarder.quarantine.canary, canary_always]
    )
    forwarder.final_answers_at = now + (0.1 if rng.random() < 0.1 else 9.0)
    if rng.random() < 0.3:
        suspect(forwarder, rng.choice(list(TARGETS)), rng, now)
    if rng.random() < 0.2:
        fleet.cut_off[name] = REFUSED
    else:
        fleet.cut_off.pop(name, None)


def suspect(forwarder, target: str, rng: random.Random, now: float) -> None:
    """Adds evidence against a request, some of it old or just weighed."""
    fingerprint = request(target=target).fingerprint
    for number in range(rng.choice([1, 3])):
        report = CrashReport(
            fingerprint, f"u{number}@{now}", 1.0, number * 0.3, "peer", 0.0
        )
        forwarder.quarantine.on_crash_report(report, now)
    quarantine = forwarder.quarantine
    if fingerprint in quarantine.entries and rng.random() < 0.3:
        quarantine.entries[fingerprint].until = now - 0.1
    if fingerprint in quarantine.pending:
        quarantine.pending[fingerprint] = now + rng.choice([-0.01, 0.1])


def describe_start(actions, sent, forwarder) -> dict:
    """Returns what an explanation should say of the start of a request."""
    refused = [one for one in actions if isinstance(one, RefusedAnswer)]
    messages = [
        one
        for one in actions
        if isinstance(one, SendGatherMessage)
        and isinstance(one.message, GatherRequest)
        and one.message.request_id == sent.request_id
    ]
    names = {
        peer.address: name
        for name, peer in forwarder.gather.peer_table.peers.items()
    }
    return {
        "refusal": [
            (one.refusal.value, one.retry_after_s and to_ms(one.retry_after_s))
            for one in refused
        ],
        "upstreams": {}
        if refused
        else {
            one.upstream.service: one.upstream.upstream
            for one in sends_of(actions)
            if one.request is sent
        },
        "peers": [
            (names[one.address], len(one.message.services)) for one in messages
        ],
    }


def describe_explained(found: dict) -> dict:
    """Returns the same of an explanation."""
    refusal, sent = found["refusal"], found.get("sent", {})
    return {
        "refusal": [(refusal["outcome"], refusal["retry_after_ms"])]
        if refusal
        else [],
        "upstreams": sent.get("upstreams", {}),
        "peers": [
            (one["peer"], one["parts"]) for one in sent.get("to_peers", [])
        ],
    }


def get_cost(listed: dict) -> tuple[str | None, float]:
    """Returns why an upstream is excluded, and its cost."""
    return listed["why_not"], listed["cost_ms"]


class NextRequestTest(testtools.TestCase):
    """An explanation says what the next request does, and changes nothing."""

    def test_random_states(self) -> None:
        """Guards against an explanation that decides otherwise than requests.

        Also guards against one that takes tokens, draws random numbers, counts
        or advances a round robin.
        """
        self.outcomes: dict[str, int] = {}
        for seed in range(SEEDS):
            fleet, rng = make_fleet(seed), random.Random(seed)
            for _ in range(ROUNDS):
                name = rng.choice(list(fleet.instances))
                disturb(fleet, name, rng)
                for _ in range(rng.randrange(1, 6)):
                    self.check_next(fleet, name, rng)
                fleet.run_until(fleet.now + rng.choice([0.002, 0.05, 0.4]))
        for kind in ("upstreams", "peers", "limited", "outside_homes"):
            self.assertGreater(self.outcomes.get(kind, 0), 5, self.outcomes)

    def check_next(self, fleet: Fleet, name: str, rng) -> None:
        """Explains a random request, sends it and compares both."""
        (target,) = rng.choices(list(TARGETS), list(TARGETS.values()))
        account = rng.choice(list(KEYS))
        forwarder, now = fleet.instances[name], fleet.now
        before = describe(forwarder)
        found = explain(forwarder, DescribedRequest(HOST, target, account), now)
        self.assertEqual(before, describe(forwarder), (target, found))
        orjson.dumps(found)
        started: list = []

        def carry_out(_name, actions) -> None:
            started.extend(actions)

        fleet.carry_out = carry_out
        number = fleet.send(name, target, credentials=KEYS[account])
        del fleet.carry_out
        sent = fleet.sent[number]
        expected = describe_start(started, sent, forwarder)
        told = describe_explained(found)
        self.assertEqual(expected, told, found)
        if "upstreams" in found and told["upstreams"]:
            (chosen,) = told["upstreams"].values()
            listed = found["upstreams"]["listed"]
            (cost,) = [
                one["cost_ms"] for one in listed if one["upstream"] == chosen
            ]
            self.assertEqual((None, cost), get_cost(listed[0]))
        fleet.carry_out(name, started)
        for kind in (
            *(one for one, _ in told["refusal"]),
            *(one for one in ("upstreams", "peers") if told[one]),
        ):
            self.outcomes[kind] = self.outcomes.get(kind, 0) + 1

    def test_bounded(self) -> None:
        """Guards against an answer that grows with the deployment."""
        upstreams = [upstream(f"u{n}", "records") for n in range(2000)]
        routes = [plain(), sharded(2000)]
        forwarder = make_forwarder(routes, upstreams)
        forwarder.gather.peer_table.update(
            [
                Peer(f"p{n}", "north", ("10.0.0.1", n), excluded_until=200.0)
                for n in range(2000)
            ]
        )
        for target in ("/fetch/" + "x" * 4000, "/search/x"):
            found = explain(forwarder, DescribedRequest(HOST, target), 100.0)
            self.assertLess(len(orjson.dumps(found)), 100_000)
            self.assertEqual({"excluded": 2000}, found["peers"]["unavailable"])

    def test_unknown_account_is_not_repeated(self) -> None:
        """Guards against a key that was given as the name of an account."""
        forwarder = make_forwarder([plain()], [upstream("u1", "records")])
        forwarder.configure(
            RoutingConfiguration(2, (plain(),), accounts=ACCOUNTS)
        )
        for name, why in {"key-1": "unknown", "": "missing"}.items():
            described = DescribedRequest(HOST, "/fetch/x", name)
            found = explain(forwarder, described, 100.0)
            self.assertEqual(why, found["refusal"]["why"])
            self.assertNotIn(b"key-", orjson.dumps(found))

    # Guards against an explanation that takes tokens, or that leaves out why a
    # request of the account would wait or be sent elsewhere.
    def test_quota_and_overflow_are_shown_and_not_changed(self) -> None:
        now = 100.0
        account = Account("acme", ("key",), rate=9.0, burst=3.0)
        route = plain()
        forwarder = make_forwarder([], [upstream("u1", "records")])
        forwarder.configure(
            RoutingConfiguration(2, (route,), accounts=(account,))
        )
        forwarder.gather.own_peer = Peer("north-0", "north", ("10.0.0.1", 1))
        peers = [
            Peer(f"p{n}", "north", ("10.0.0.2", n), protocol=CURRENT_PROTOCOL)
            for n in range(5)
        ]
        forwarder.gather.peer_table.update(peers)
        forwarder.overflow.configure(0.5)
        forwarder.overflow.outflows["north", route.name] = Outflow("north", 0.2)
        forwarder.quotas.uses["acme"] = AccountUse(metered_until=now + 1.0)
        before = pickle.dumps(forwarder.quotas)
        found = explain(
            forwarder, DescribedRequest(HOST, "/fetch/x", "acme"), now
        )
        quota = found["quota"]
        self.assertEqual((9.0, 3.0), (quota["rate"], quota["burst"]))
        self.assertIn(quota["ledger"], {"north-0", *(p.name for p in peers)})
        if quota["ledger"] != "north-0":
            self.assertTrue(quota["metered"] and quota["asks_for_token"])
        (sent_away,) = found["overflow"]
        self.assertEqual(0.0, sent_away["fraction"])
        self.assertEqual(before, pickle.dumps(forwarder.quotas))
        orjson.dumps(found)
        labels = {one.split()[0] for one in explaintext.describe(found)}
        self.assertLessEqual({"quota", "overflow"}, labels)
