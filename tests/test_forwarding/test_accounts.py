"""Tests of client accounts, and of their requests at other instances.

Guards against requests that are served without a valid key, keys that leave the
instance, and peers that query shards without regard to the account.
"""

from __future__ import annotations

import dataclasses

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.daemon.forwardmetrics import (
    MAX_ACCOUNT_LABELS,
    ForwardMetrics,
)
from arbutusbridge.forwarding import (
    Forwarder,
    Refusal,
    RefusedAnswer,
    RoutingConfiguration,
    relay,
)
from arbutusbridge.forwarding.accounts import (
    MAX_CREDENTIAL_BYTES,
    AccountTable,
    find_homes,
)
from arbutusbridge.forwarding.gather import (
    DeclineReason,
    GatherAck,
    GatherRequest,
    Peer,
    SendGatherMessage,
)
from arbutusbridge.forwarding.gatherwire import (
    CURRENT_PROTOCOL,
    NUMBERED_PROTOCOL,
    OLDEST_PROTOCOL,
    encode_message,
)
from arbutusbridge.forwarding.model import Account
from arbutusbridge.forwarding.peermessages import (
    MAX_RELAY_LAG_S,
    MAX_URGENT_RELAY_LAG_S,
)
from arbutusbridge.forwarding.routes import RouteTable
from tests.test_forwarding.fixtures import (
    HOST,
    REGIONS,
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
KEY = "c1f0secret"
VALID = f"Token {KEY}".encode()
ACME = Account("acme", (KEY, "second-key"))
OTHER = Account("other", ("third-key",))
FETCH = plain()
OPEN = plain(name="open", prefix="/open/", allows_anonymous=True)
ROUTES = (FETCH, OPEN)
PEER = ("10.0.0.2", 7380)


def configured(
    accounts: tuple[Account, ...] | None, version: int = 2, routes=ROUTES
) -> RoutingConfiguration:
    """Returns a version of the configuration."""
    return RoutingConfiguration(version, tuple(routes), accounts=accounts)


def make_instance(accounts: tuple[Account, ...] | None = (ACME, OTHER)):
    """Returns an instance that reaches an upstream of the routes."""
    upstreams = [upstream(f"u-{place}", "records", place) for place in REGIONS]
    forwarder = make_forwarder([], upstreams)
    forwarder.configure(configured(accounts))
    return forwarder


def ask(
    forwarder: Forwarder, credentials: list[bytes], target: str = "/fetch/x"
):
    """Sends a request with headers of accounts; returns the actions."""
    asked = request(1, target, NOW)
    asked.credentials = credentials
    asked.identity_headers = [(b"identity", one) for one in credentials]
    return forwarder.handle_request(asked, NOW)


def refusal_of(actions) -> Refusal | None:
    """Returns the refusal among actions, None if there is none."""
    found = [one for one in actions if isinstance(one, RefusedAnswer)]
    return found[0].refusal if found else None


class AuthenticationTest(testtools.TestCase):
    """Requests with and without valid keys at one instance."""

    # Guards against a key that is accepted although its header is not valid,
    # also where none is needed, and against a key in a log line.
    def test_invalid_headers_are_unauthorized_on_every_route(self) -> None:
        too_long = b"Token " + b"k" * (MAX_CREDENTIAL_BYTES - 5)
        for why, credentials in (
            ("malformed", [VALID, VALID]),
            ("malformed", [VALID, b""]),
            ("malformed", [b""]),
            ("malformed", [b"Token"]),
            ("malformed", [b"Token "]),
            ("malformed", [too_long]),
            ("malformed", [VALID + b" more"]),
            ("malformed", [VALID + b"\x00"]),
            ("malformed", [VALID + b"\xff"]),
            ("malformed", [VALID.replace(b" ", b"")]),
            ("malformed", [VALID.replace(b"Token", b"Bearer")]),
            ("malformed", [VALID.replace(b"Token", b"Basic")]),
            ("malformed", [KEY.encode()]),
            ("unknown", [VALID + b"x"]),
            ("unknown", [VALID.upper()]),
            ("unknown", [b"Token acme"]),
        ):
            for target in ("/fetch/x", "/open/x"):
                out = ask(make_instance(), credentials, target)
                self.assertIs(Refusal.UNAUTHORIZED, refusal_of(out))
                self.assertEqual(2, len(out), out)
                self.assertEqual(why, only(out, Decision).detail["why"])
                self.assertNotIn(KEY, repr(out))

    def test_missing_key_is_unauthorized_unless_route_is_anonymous(
        self,
    ) -> None:
        out = ask(make_instance(), [])
        self.assertIs(Refusal.UNAUTHORIZED, refusal_of(out))
        self.assertEqual("missing", only(out, Decision).detail["why"])
        (send,) = sends_of(ask(make_instance(), [], "/open/x"))
        self.assertEqual("", send.request.account)

    def test_valid_keys_are_accepted_with_the_scheme_in_any_case(self) -> None:
        longest = "k" * (MAX_CREDENTIAL_BYTES - 6)
        accounts = (dataclasses.replace(ACME, keys=(KEY, longest)),)
        for value in (
            VALID,
            VALID.replace(b"Token", b"TOKEN"),
            VALID.replace(b"Token", b"tOkEn"),
            b" Token \t" + KEY.encode() + b" ",
            f"Token {longest}".encode(),
        ):
            for target in ("/fetch/x", "/open/x"):
                out = ask(make_instance(accounts), [value], target)
                (send,) = sends_of(out)
                self.assertEqual("acme", send.request.account)
                self.assertEqual([], send.request.headers)

    # Guards against a 401 of an instance that has no configuration yet, which
    # callers take as final.
    def test_without_a_configuration_the_request_is_not_run(self) -> None:
        forwarder = make_forwarder([], [])
        forwarder.table = None
        self.assertIs(Refusal.NOT_READY, refusal_of(ask(forwarder, [])))
        out = ask(make_instance(), [], "/nowhere/x")
        self.assertIs(Refusal.NO_ROUTE, refusal_of(out))

    def test_without_accounts_the_headers_are_passed_on(self) -> None:
        (send,) = sends_of(ask(make_instance(None), [VALID, b"x"]))
        passed = [(b"identity", VALID), (b"identity", b"x")]
        self.assertEqual(passed, send.request.headers)
        self.assertEqual("", send.request.account)

    # Guards against a key that is still accepted, or accepted for the previous
    # account, after a new version.
    def test_each_version_decides_on_all_later_requests(self) -> None:
        forwarder = make_instance()
        moved = (Account("acme", ()), Account("other", (KEY,)))
        for version, accounts, expected in (
            (3, (dataclasses.replace(ACME, keys=("second-key",)),), None),
            (4, (ACME, OTHER), "acme"),
            (5, moved, "other"),
            (6, (dataclasses.replace(ACME, name="acme-2"),), "acme-2"),
            (7, (OTHER,), None),
            (8, (ACME,), "acme"),
            (8, (OTHER,), "acme"),
            (7, (OTHER,), "acme"),
            (9, (OTHER,), None),
            (10, (ACME,), "acme"),
            (11, (), None),
            (12, None, ""),
        ):
            forwarder.configure(configured(accounts, version))
            out = ask(forwarder, [VALID])
            if expected is None:
                self.assertIs(Refusal.UNAUTHORIZED, refusal_of(out), version)
            else:
                (send,) = sends_of(out)
                self.assertEqual(expected, send.request.account, version)

    def test_a_key_is_looked_up_once_among_many(self) -> None:
        class CountingDict(dict):
            """Dictionary that can only be asked for single keys."""

            gets = 0

            def get(self, *arguments):
                self.gets += 1
                return super().get(*arguments)

            def __iter__(self):
                raise AssertionError("the table is searched")

            keys = values = items = __iter__

        accounts = [
            Account(f"a{number}", tuple(f"k{number}-{i}" for i in range(3)))
            for number in range(10_000)
        ]
        table = AccountTable(configured(accounts))
        self.assertEqual(30_000, len(table.by_digest))
        self.assertNotIn(b"k0-0", b"".join(table.by_digest))
        table.by_digest = CountingDict(table.by_digest)
        for credential, expected in (
            (b"Token k9999-2", accounts[-1]),
            (b"Token k0-0", accounts[0]),
            (b"Token k10000-0", Refusal.UNAUTHORIZED),
        ):
            table.by_digest.gets = 0
            found = table.authenticate(FETCH, [credential])
            self.assertIs(expected, found)
            self.assertEqual(1, table.by_digest.gets)

    def test_rank_of_the_account_precedes_that_of_the_route(self) -> None:
        route = plain(urgency=2)
        for account, expected in (
            (Account("a", (KEY,), 0), 0),
            (Account("a", (KEY,), 5), 5),
            (Account("a", (KEY,)), 2),
        ):
            forwarder = make_instance()
            forwarder.configure(configured((account,), 3, [route]))
            ask(forwarder, [VALID])
            (exchange,) = forwarder.exchanges.values()
            self.assertEqual(expected, exchange.urgency)
            # Otherwise tokens would be held back for requests that never come.
            self.assertEqual(expected, forwarder.table.top_urgency("records"))
        both = configured((Account("a", (KEY,), 5),), 3, [OPEN])
        self.assertEqual(0, RouteTable(both).top_urgency("records"))

    def test_labels_of_the_counter_by_account_are_bounded(self) -> None:
        metrics = ForwardMetrics()
        for _ in range(2):
            for number in range(2 * MAX_ACCOUNT_LABELS):
                metrics.record_account(f"a{number}")
        (family,) = metrics.account_requests.collect()
        counts = {
            one.labels["account"]: one.value
            for one in family.samples
            if one.name.endswith("_total")
        }
        self.assertEqual(MAX_ACCOUNT_LABELS + 1, len(counts))
        self.assertEqual(2 * MAX_ACCOUNT_LABELS, counts["other"])


class PeerTest(testtools.TestCase):
    """Requests that a peer sends to an instance with its own version."""

    def take(self, forwarder: Forwarder, **fields) -> DeclineReason | None:
        """Hands a peer's request to an instance; returns why it declines."""
        message = GatherRequest(
            len(forwarder.gather.taken) + 1,
            PEER,
            "r1",
            "GET",
            "/fetch/x",
            HOST,
            [],
            b"",
            ["records"],
            0.2,
            1.9,
        )
        message = dataclasses.replace(message, **fields)
        out = self.actions = forwarder.handle_peer_message(message, NOW)
        (ack,) = [
            one.message
            for one in out
            if isinstance(one, SendGatherMessage)
            and isinstance(one.message, GatherAck)
        ]
        return ack.declined

    def test_accounts_are_checked_by_the_version_of_the_peer(self) -> None:
        outdated = DeclineReason.OUTDATED
        for accounts, account, target, expected in (
            ((ACME,), "acme", "/fetch/x", None),
            ((ACME,), "other", "/fetch/x", outdated),
            ((ACME,), "other", "/open/x", outdated),
            ((ACME,), "", "/fetch/x", outdated),
            ((ACME,), "", "/open/x", None),
            (None, "acme", "/fetch/x", outdated),
            (None, "", "/fetch/x", None),
        ):
            forwarder = make_instance(accounts)
            declined = self.take(forwarder, account=account, target=target)
            self.assertIs(expected, declined, (accounts, account, target))
            self.assertEqual(expected is None, bool(forwarder.exchanges))

    # Guards against a helper that serves an account's request by the route's
    # rank, or outside the regions of either version.
    def test_account_and_homes_of_both_versions_apply(self) -> None:
        for own, named, expected in (
            ({"n", "c"}, ["c", "s"], {"c"}),
            ({"n"}, ["s"], set()),
            ({"n"}, [], {"n"}),
            (set(), ["s"], {"s"}),
            (set(), [], None),
        ):
            account = Account("acme", (KEY,), 3, homes=frozenset(own))
            forwarder = make_instance((account,))
            self.take(forwarder, account="acme", homes=named)
            sent = sends_of(self.actions)
            if expected == set():
                # Nothing may run it, so that it is given up at once.
                self.assertEqual([], sent)
                self.assertFalse(forwarder.exchanges)
                continue
            (exchange,) = forwarder.exchanges.values()
            (send,) = sent
            region = REGIONS[send.upstream.data_centre]
            self.assertIn(region, expected or {region})
            self.assertEqual(account, exchange.account)
            self.assertEqual("acme", exchange.request.account)
            self.assertEqual(3, exchange.urgency)
            self.assertEqual(expected, exchange.homes)

    def test_disjoint_homes_of_route_and_account_stay_disjoint(self) -> None:
        forwarder = make_instance()
        account = Account("acme", (KEY,), homes=frozenset({"n"}))
        route = plain(homes=frozenset({"s"}))
        forwarder.configure(configured((account,), 3, [route]))
        self.take(forwarder, account="acme", homes=["s"])
        self.assertEqual([], sends_of(self.actions))
        self.assertFalse(forwarder.exchanges)
        self.assertEqual(frozenset(), find_homes(route, account))

    def test_busy_instance_declines_by_the_rank_of_the_account(self) -> None:
        lag_s = (MAX_RELAY_LAG_S + MAX_URGENT_RELAY_LAG_S) / 2
        for urgency, expected in (
            (0, None),
            (1, DeclineReason.BUSY),
            (None, DeclineReason.BUSY),
        ):
            forwarder = make_instance()
            account = Account("acme", (KEY,), urgency)
            routes = [plain(urgency=1)]
            forwarder.configure(configured((account,), 3, routes))
            forwarder.lag_s = lag_s
            declined = self.take(forwarder, account="acme", relayed=True)
            self.assertIs(expected, declined)

    # Guards against requests with homes at peers that ignore them or are not
    # there; an empty list of homes would mean all.
    def test_requests_with_homes_stay_there(self) -> None:
        central = Peer("p", "central", PEER, protocol=CURRENT_PROTOCOL)
        for homes, protocol, expected in (
            (set(), OLDEST_PROTOCOL, 1),
            ({"c"}, CURRENT_PROTOCOL, 1),
            ({"c"}, NUMBERED_PROTOCOL, 0),
            ({"s"}, CURRENT_PROTOCOL, 0),
            ({"s", "c"}, CURRENT_PROTOCOL, 1),
        ):
            route = sharded(homes=frozenset(homes))
            forwarder = make_forwarder(
                [route], shard_upstreams(4, ("central",)), "north"
            )
            forwarder.gather.own_peer = Peer("own", "north", ("10.0.0.1", 1))
            peer = dataclasses.replace(central, protocol=protocol)
            forwarder.gather.peer_table.update([peer])
            out = forwarder.handle_request(request(at=NOW), NOW)
            asked = [
                one.message.homes
                for one in out
                if isinstance(one, SendGatherMessage)
            ]
            self.assertEqual([sorted(homes)] * expected, asked)
            if homes == {"s"}:
                # No upstream is there, so that it is refused at once.
                self.assertIs(Refusal.OUTSIDE_HOMES, refusal_of(out))
                continue
            (exchange,) = forwarder.exchanges.values()
            available = relay.available_peers(exchange, forwarder, NOW)
            self.assertEqual(expected, len(available))


PLACES = {"north": 4, "south": 3}
PLACES_NORTH = [f"north-{number}" for number in range(PLACES["north"])]
SHARDS = 45


class FleetTest(testtools.TestCase):
    """Requests of an account in a deployment with peers of several builds.

    Searches from the south are wide or narrow, with canaries, and their
    upstreams are in the north.
    """

    def start(self, protocols: dict[str, int]) -> None:
        """Starts the deployment and records the requests to peers."""
        routes = [
            sharded(SHARDS, least_coverage=1.0),
            sharded(4, name="few", prefix="/few/"),
            sharded(SHARDS, name="any", prefix="/any/", allows_anonymous=True),
            plain(),
        ]
        announcements = shard_upstreams(SHARDS, ("north",))
        announcements += [upstream(f"u{i}", "records") for i in range(2)]
        self.fleet = fleet = Fleet(routes, announcements, PLACES, capacity=0.3)
        fleet.protocols.update(protocols)
        fleet.configuration = configured((ACME,), 2, routes)
        for name in fleet.places:
            fleet.start(name)
        self.asked: list[tuple[str, GatherRequest]] = []
        deliver = fleet.send_message

        def record(name: str, action: SendGatherMessage) -> None:
            data = encode_message(action.message)
            self.assertNotIn(KEY.encode(), data)
            if isinstance(action.message, GatherRequest):
                (peer,) = [
                    one
                    for one in fleet.places
                    if fleet.address_of(one) == action.address
                ]
                self.asked.append((peer, action.message))
            deliver(name, action)

        fleet.send_message = record

    def play(self, prefix: str, *credentials: bytes, senders=("south",)):
        """Sends requests for two seconds; returns the share served."""
        fleet = self.fleet
        names = [one for one in fleet.places if one.startswith(senders)]
        since = fleet.now
        for number in range(40):
            fleet.send(
                names[number % len(names)],
                f"{prefix}{number}",
                credentials=credentials,
            )
            fleet.run_until(fleet.now + 0.05)
        fleet.run_until(fleet.now + 2.5)
        for arrival in fleet.arrivals:
            expected = "acme" if credentials else ""
            self.assertEqual(expected, arrival.request.account)
            self.assertEqual([], arrival.request.headers)
        return fleet.served_share(names, since, fleet.now)

    def peers_asked(self) -> set[str]:
        """Returns the peers that were sent requests of the account."""
        return {peer for peer, message in self.asked if message.account}

    def old(self, protocol: int, *new: str) -> dict[str, int]:
        """Returns the protocols if all but some instances are old."""
        return {
            f"{place}-{number}": protocol
            for place, count in PLACES.items()
            for number in range(count)
            if f"{place}-{number}" not in new
        }

    def test_old_peers_get_nothing_of_an_account(self) -> None:
        for protocol in (OLDEST_PROTOCOL, NUMBERED_PROTOCOL):
            for prefix in ("/search/", "/few/"):
                self.start(self.old(protocol, "north-3"))
                self.assertEqual(1.0, self.play(prefix, VALID))
                self.assertEqual({"north-3"}, self.peers_asked())
                self.start(self.old(protocol))
                self.assertEqual(1.0, self.play(prefix, VALID))
                self.assertEqual([], self.asked)

    def test_old_peers_still_get_anonymous_requests(self) -> None:
        self.start(self.old(OLDEST_PROTOCOL))
        self.assertEqual(1.0, self.play("/any/"))
        self.assertTrue(self.asked)

    def test_relays_of_an_account_go_to_new_peers_only(self) -> None:
        for protocol in (OLDEST_PROTOCOL, NUMBERED_PROTOCOL):
            self.start(self.old(protocol, "north-1"))
            self.fleet.cut(["north-0"], REFUSED)
            for prefix in ("/fetch/", "/few/"):
                # The instance finds out by these that it is cut off.
                self.play(prefix, VALID, senders=("north-0",))
                self.asked.clear()
                share = self.play(prefix, VALID, senders=("north-0",))
                self.assertEqual(1.0, share, prefix)
                self.assertEqual({"north-1"}, self.peers_asked())
                self.assertTrue(all(one.relayed for _, one in self.asked))

    # Guards against requests that fail while a new version spreads.
    def test_peers_with_another_version_decline(self) -> None:
        for accounts in ((OTHER,), None, ()):
            self.start({})
            routes = self.fleet.configuration.routes
            for name in PLACES_NORTH:
                forwarder = self.fleet.instances[name]
                forwarder.configure(configured(accounts, 3, routes))
            self.assertEqual(1.0, self.play("/search/", VALID))
            declined = sum(
                self.fleet.instances[name].decision_counts["declined_outdated"]
                for name in PLACES_NORTH
            )
            self.assertGreater(declined, 0)

    def test_peers_that_require_an_account_decline_without_one(self) -> None:
        self.start({})
        routes = self.fleet.configuration.routes
        for name, forwarder in self.fleet.instances.items():
            if name.startswith("south"):
                forwarder.configure(configured(None, 3, routes))
        self.assertEqual(1.0, self.play("/search/"))
        self.assertTrue(self.asked)
        self.assertEqual(
            {"south"}, {one.instance[:5] for one in self.fleet.arrivals}
        )
