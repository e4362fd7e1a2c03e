"""Tests of requests that an invalid entry of the configuration concerns.

Guards against requests that run by a mistaken entry, and against entries that
cost the requests of others (issue 57).
"""

from __future__ import annotations

import dataclasses
import json

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    Refusal,
    RefusedAnswer,
    RoutingConfiguration,
    WeightedService,
    intake,
)
from arbutusbridge.forwarding.explain import DescribedRequest, explain
from arbutusbridge.forwarding.gather import (
    DeclineReason,
    GatherAck,
    GatherRequest,
    SendGatherMessage,
)
from arbutusbridge.forwarding.model import InvalidParts
from arbutusbridge.forwarding.quotas import refresh_accounts
from arbutusbridge.platform.configuration import decode_configuration
from tests.test_forwarding.fixtures import (
    HOST,
    make_forwarder,
    only,
    plain,
    request,
    sends_of,
    shard_upstreams,
    sharded,
    upstream,
)

NOW = 100.0
OTHER = plain(
    name="other", prefix="/other/", services=(WeightedService("others"),)
)
ROUTES = (plain(), OTHER)
UPSTREAMS = (
    upstream("u-1", "records"),
    upstream("u-2", "others"),
    upstream("u-3", "parts"),
)


def encode(version: object, routes: list[object], **fields: object) -> bytes:
    """Returns a configuration as the operators write it."""
    row = {"version": version, "routes": routes, **fields}
    return json.dumps(row).encode()


def entry(path: str, service: str, **fields: object) -> dict[str, object]:
    """Returns the entry of a route."""
    return {
        "name": path.strip("/"),
        "host": HOST,
        "prefix": path,
        "kind": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "service": service,
        **fields,
    }


class InvalidEntriesCase(testtools.TestCase):
    """One instance with upstreams of three services."""

    def setUp(self) -> None:
        super().setUp()
        self.forwarder = make_forwarder(list(ROUTES), list(UPSTREAMS))

    def configure(self, value: bytes) -> None:
        """Applies a configuration as the operators write it."""
        configuration = decode_configuration(value).ok_value
        self.assertTrue(self.forwarder.configure(configuration))

    def ask(self, target: str, key: str = "", host: str = HOST) -> list[object]:
        """Sends a request; returns the actions."""
        asked = request(1, target, NOW)
        asked.host = host
        asked.credentials = [f"Token {key}".encode()] if key else []
        return self.forwarder.handle_request(asked, NOW)

    def service_of(self, target: str, **fields: str) -> str:
        """Returns the service that a request is sent to."""
        (send,) = sends_of(self.ask(target, **fields))
        return send.upstream.service

    def refusal_of(self, target: str, **fields: str) -> Refusal:
        """Returns why a request is refused at once."""
        actions = self.ask(target, **fields)
        self.assertEqual([], sends_of(actions))
        answer = only(actions, RefusedAnswer)
        if answer.refusal is Refusal.INVALID_ENTRY:
            expected = intake.OPERATOR_RETRY_AFTER_S
            self.assertEqual(expected, answer.retry_after_s)
        return answer.refusal


class InvalidRouteTest(InvalidEntriesCase):
    """Routes that cannot be decoded."""

    def test_other_routes_are_in_force(self) -> None:
        odd = entry("/fetch/", "records", kind="odd")
        self.configure(encode(2, [odd, entry("/moved/", "parts")]))
        self.assertEqual(Refusal.INVALID_ENTRY, self.refusal_of("/fetch/x"))
        self.assertEqual("parts", self.service_of("/moved/x"))
        self.assertEqual(Refusal.NO_ROUTE, self.refusal_of("/other/x"))

    def test_longest_prefix_is_refused(self) -> None:
        odd = entry("/fetch/deep/", "records", timeout_ms="1")
        self.configure(encode(2, [entry("/fetch/", "records"), odd]))
        self.assertEqual("records", self.service_of("/fetch/x"))
        refusal = self.refusal_of("/fetch/deep/x")
        self.assertEqual(Refusal.INVALID_ENTRY, refusal)

    # Guards against the service of the valid one of two entries for a prefix.
    def test_invalid_entry_prevails_over_a_valid_one(self) -> None:
        odd = entry("/fetch/", "records", allowed_regions="n")
        for entries in (
            [odd, entry("/fetch/", "parts")],
            [entry("/fetch/", "parts"), odd],
        ):
            self.forwarder = make_forwarder(list(ROUTES), list(UPSTREAMS))
            self.configure(encode(2, entries))
            refusal = self.refusal_of("/fetch/x")
            self.assertEqual(Refusal.INVALID_ENTRY, refusal)

    # Guards against 404 for a route that is there.
    def test_requests_without_a_route_may_belong_to_an_invalid_one(
        self,
    ) -> None:
        sound = entry("/moved/", "parts")
        for odd, refusal in (
            (entry("/fetch/", "records", prefix=5), Refusal.NO_ROUTE),
            (entry("/fetch/", "records", host=5), Refusal.INVALID_ENTRY),
            ("route", Refusal.INVALID_ENTRY),
        ):
            self.forwarder = make_forwarder(list(ROUTES), list(UPSTREAMS))
            self.configure(encode(2, [odd, sound]))
            self.assertEqual("parts", self.service_of("/moved/x"))
            found = self.refusal_of("/fetch/x")
            self.assertEqual(Refusal.INVALID_ENTRY, found)
            found = self.refusal_of("/fetch/x", host="else.example")
            self.assertEqual(refusal, found)

    def test_value_that_is_no_configuration_refuses_all(self) -> None:
        configuration = RoutingConfiguration.from_mistake("not JSON")
        self.assertTrue(self.forwarder.configure(configuration))
        for target in ("/fetch/x", "/other/x", "/else/x"):
            refusal = self.refusal_of(target)
            self.assertEqual(Refusal.INVALID_ENTRY, refusal)
        self.configure(encode(2, [entry("/fetch/", "parts")]))
        self.assertEqual("parts", self.service_of("/fetch/x"))

    def test_unknown_version_is_the_newest(self) -> None:
        self.configure(encode(5, [entry("/fetch/", "records")]))
        self.configure(encode("6", [entry("/fetch/", "parts")]))
        self.assertEqual("parts", self.service_of("/fetch/x"))
        self.configure(encode(7, [entry("/fetch/", "others")]))
        self.assertEqual("others", self.service_of("/fetch/x"))
        older = decode_configuration(encode(6, [])).ok_value
        self.assertFalse(self.forwarder.configure(older))

    def test_routes_without_any_send_are_refused_at_once(self) -> None:
        for field in ("timeout_ms", "max_attempts"):
            self.forwarder = make_forwarder(list(ROUTES), list(UPSTREAMS))
            odd = entry("/fetch/", "records", **{field: 0})
            self.configure(encode(2, [odd]))
            refusal = self.refusal_of("/fetch/x")
            self.assertEqual(Refusal.UNSERVABLE, refusal)

    # Guards against requests that run by a service of another route.
    def test_weighted_routes_of_one_name_keep_to_their_services(self) -> None:
        first = [
            {"service": "records", "weight": 5},
            {"service": "parts", "weight": 1},
        ]
        second = [
            {"service": "others", "weight": 1},
            {"service": "records", "weight": 1},
        ]
        self.configure(
            encode(
                2,
                [
                    entry("/a/", "", name="x", weighted_backends=first),
                    entry("/b/", "", name="x", weighted_backends=second),
                ],
            )
        )
        for _ in range(20):
            self.assertIn(self.service_of("/a/1"), ("records", "parts"))
            self.assertIn(self.service_of("/b/1"), ("others", "records"))

    def test_log_line_names_the_mistake(self) -> None:
        self.configure(encode(2, [entry("/fetch/", "records", kind="odd")]))
        line = only(self.ask("/fetch/x"), Decision)
        self.assertEqual("route", line.detail["why"])
        self.assertIn("kind", line.detail["mistake"])

    def test_explanation_names_the_mistake(self) -> None:
        self.configure(encode(2, [entry("/fetch/", "records", kind="odd")]))
        found = explain(self.forwarder, DescribedRequest(HOST, "/fetch/x"), NOW)
        self.assertEqual("invalid_entry", found["refusal"]["outcome"])
        self.assertIn("kind", found["refusal"]["why"])


class InvalidServiceTest(InvalidEntriesCase):
    """Services whose terms cannot be decoded."""

    def test_requests_to_it_are_refused(self) -> None:
        odd = {"name": "records", "max_conns": -1}
        routes = [entry("/fetch/", "records"), entry("/other/", "others")]
        self.configure(encode(2, routes, services=[odd]))
        self.assertEqual(Refusal.INVALID_ENTRY, self.refusal_of("/fetch/x"))
        self.assertEqual("others", self.service_of("/other/x"))

    # Guards against requests of one part that are moved to another.
    def test_share_of_a_weighted_route_is_refused(self) -> None:
        odd = {"name": "parts", "max_conns": "9"}
        parts = [
            {"service": "records", "weight": 1},
            {"service": "parts", "weight": 1},
        ]
        route = entry("/fetch/", "", weighted_backends=parts)
        self.configure(encode(2, [route], services=[odd]))
        actions = [self.ask("/fetch/x") for _ in range(10)]
        self.assertEqual(5, sum(len(sends_of(one)) for one in actions))
        refused = [
            one
            for all_ in actions
            for one in all_
            if isinstance(one, RefusedAnswer)
        ]
        self.assertEqual(
            [Refusal.INVALID_ENTRY] * 5, [one.refusal for one in refused]
        )

    def test_search_goes_on_without_its_shard(self) -> None:
        self.forwarder = make_forwarder([sharded(4)], shard_upstreams(4))
        configuration = RoutingConfiguration(
            2, (sharded(4),), invalid=InvalidParts(services=frozenset({"s1"}))
        )
        self.forwarder.configure(configuration)
        sends = sends_of(self.ask("/search/x"))
        services = {one.upstream.service for one in sends}
        self.assertEqual({"s0", "s2", "s3"}, services)

    def test_search_without_enough_shards_is_refused(self) -> None:
        self.forwarder = make_forwarder([sharded(4)], shard_upstreams(4))
        invalid = InvalidParts(services=frozenset({"s1", "s2"}))
        configuration = RoutingConfiguration(2, (sharded(4),), invalid=invalid)
        self.forwarder.configure(configuration)
        self.assertEqual(Refusal.INVALID_ENTRY, self.refusal_of("/search/x"))

    # Guards against a rounding error that requires one more valid shard.
    def test_search_with_just_enough_shards_goes_on(self) -> None:
        route = sharded(100, least_coverage=0.07)
        self.forwarder = make_forwarder([route], shard_upstreams(100))
        services = {f"s{number}" for number in range(7, 100)}
        invalid = InvalidParts(services=services)
        configuration = RoutingConfiguration(2, (route,), invalid=invalid)
        self.forwarder.configure(configuration)
        self.assertEqual(7, len(sends_of(self.ask("/search/x"))))

    # Guards against an older version of a peer that reaches it from here.
    def test_request_of_a_peer_is_declined(self) -> None:
        invalid = InvalidParts(services=frozenset({"s1"}))
        forwarder = make_forwarder([sharded(4)], shard_upstreams(4))
        forwarder.configure(
            RoutingConfiguration(2, (sharded(4),), invalid=invalid)
        )
        message = GatherRequest(
            1,
            ("10.0.0.2", 7380),
            "r1",
            "GET",
            "/search/x",
            HOST,
            [],
            b"",
            ["s0", "s1"],
            0.1,
            1.0,
        )
        actions = forwarder.handle_peer_message(message, NOW)
        taken = only(actions, SendGatherMessage).message
        self.assertIsInstance(taken, GatherAck)
        self.assertEqual(DeclineReason.OUTDATED, taken.declined)
        self.assertEqual([], sends_of(actions))


class InvalidAccountTest(InvalidEntriesCase):
    """Accounts that cannot be decoded."""

    def setUp(self) -> None:
        super().setUp()
        self.begin()

    def begin(self) -> None:
        """Starts an instance with two accounts."""
        self.forwarder = make_forwarder(list(ROUTES), list(UPSTREAMS))
        self.tenants = [
            {"name": "a", "api_keys": ["old", "kept"]},
            {"name": "b", "api_keys": ["b1"], "rate_per_s": 5, "burst": 5},
        ]
        self.routes = [entry("/fetch/", "records")]
        self.routes.append(entry("/open/", "parts", allow_anonymous=True))
        self.configure(encode(2, self.routes, tenants=self.tenants))

    def change(self, **fields: object) -> None:
        """Moves a key of the first account, and changes the second one."""
        moved = {"name": "a", "api_keys": ["new", "kept"]}
        tenants = [moved, self.tenants[1] | fields]
        self.configure(encode(3, self.routes, tenants=tenants))

    # Guards against withdrawn keys that are accepted on, and new ones that are
    # not, because of the entry of another account.
    def test_keys_of_other_accounts_are_in_force(self) -> None:
        for fields in ({"burst": -1}, {"rate_per_s": "5"}, {"priority": "1"}):
            self.begin()
            self.assertEqual("records", self.service_of("/fetch/x", key="old"))
            self.change(**fields)
            refusal = self.refusal_of("/fetch/x", key="old")
            self.assertEqual(Refusal.UNAUTHORIZED, refusal)
            self.assertEqual("records", self.service_of("/fetch/x", key="new"))
            self.assertEqual("records", self.service_of("/fetch/x", key="kept"))
            refusal = self.refusal_of("/fetch/x", key="b1")
            self.assertEqual(Refusal.INVALID_ENTRY, refusal)
            refusal = self.refusal_of("/open/x", key="b1")
            self.assertEqual(Refusal.INVALID_ENTRY, refusal)
            refusal = self.refusal_of("/fetch/x")
            self.assertEqual(Refusal.UNAUTHORIZED, refusal)

    def test_key_that_may_be_of_an_invalid_account(self) -> None:
        self.change(api_keys="b2")
        self.assertEqual("records", self.service_of("/fetch/x", key="new"))
        for key in ("b2", "old", "else"):
            refusal = self.refusal_of("/fetch/x", key=key)
            self.assertEqual(Refusal.INVALID_ENTRY, refusal)
        self.assertEqual(Refusal.UNAUTHORIZED, self.refusal_of("/fetch/x"))

    # Guards against a key that an invalid entry may have taken over.
    def test_key_of_an_invalid_account_is_of_no_other(self) -> None:
        self.change(api_keys=["new"], burst=-1)
        refusal = self.refusal_of("/fetch/x", key="new")
        self.assertEqual(Refusal.INVALID_ENTRY, refusal)

    # Guards against callers that are let in without a key.
    def test_accounts_that_are_no_list(self) -> None:
        for number, value in enumerate((None, "a", {}, 5)):
            self.configure(encode(3 + number, self.routes, tenants=value))
            for key in ("", "old", "b1", "else"):
                refusal = self.refusal_of("/fetch/x", key=key)
                self.assertEqual(Refusal.INVALID_ENTRY, refusal)
            self.assertEqual("parts", self.service_of("/open/x"))

    # Guards against a limit that is lifted by a version with an invalid entry,
    # after which the account has its whole burst again.
    def test_tokens_are_kept_until_the_entry_is_valid(self) -> None:
        def count_admitted(version: int, **fields: object) -> int:
            tenants = [self.tenants[0], self.tenants[1] | fields]
            self.configure(encode(version, self.routes, tenants=tenants))
            self.forwarder.maintain(NOW)
            actions = [self.ask("/fetch/x", key="b1") for _ in range(40)]
            return sum(len(sends_of(one)) for one in actions)

        first = count_admitted(3)
        self.assertGreater(first, 0)
        self.assertEqual(0, count_admitted(4, burst=-1))
        self.assertEqual(0, count_admitted(5))

    def test_name_of_an_invalid_account_stays_known(self) -> None:
        self.change(burst=-1)
        refresh_accounts(self.forwarder, NOW)
        self.assertIn("b", self.forwarder.quotas.names)
        self.assertEqual({}, self.forwarder.quotas.added_at)

    # Guards against requests of an invalid account that a peer sends here.
    def test_request_of_a_peer_is_declined(self) -> None:
        self.change(burst=-1)
        message = GatherRequest(
            1,
            ("10.0.0.2", 7380),
            "r1",
            "GET",
            "/fetch/x",
            HOST,
            [],
            b"",
            ["records"],
            0.1,
            1.0,
            account="b",
        )
        actions = self.forwarder.handle_peer_message(message, NOW)
        taken = only(actions, SendGatherMessage).message
        self.assertEqual(DeclineReason.OUTDATED, taken.declined)


class InvalidHomesTest(InvalidEntriesCase):
    """Homes that cannot be decoded."""

    def test_nothing_leaves_unknown_homes(self) -> None:
        odd = entry("/fetch/", "records", allowed_regions="n")
        account = {"name": "a", "api_keys": ["k"], "allowed_regions": 5}
        routes = [odd, entry("/other/", "others")]
        self.configure(encode(2, routes, tenants=[account]))
        for target in ("/fetch/x", "/other/x"):
            refusal = self.refusal_of(target, key="k")
            self.assertEqual(Refusal.INVALID_ENTRY, refusal)


class LimitsTest(testtools.TestCase):
    """Limits on callers' requests that cannot be decoded."""

    def test_unknown_limit_is_not_lifted(self) -> None:
        value = encode(2, [], limits={"max_body_bytes": "x"})
        found = decode_configuration(value).ok_value
        low = dataclasses.replace(found.bounds, body_bytes=9, header_bytes=9)
        bounds = found.bounds.tighten(low, found.invalid.limits)
        self.assertEqual(9, bounds.body_bytes)
        self.assertEqual(16_384, bounds.header_bytes)
