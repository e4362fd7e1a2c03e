"""Tests of the decoding of the operators' configuration.

Guards against one entry that costs all others (issue 57).
"""

from __future__ import annotations

import json
import random

import testtools
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from arbutusbridge.forwarding.model import Account, RequestLimits
from arbutusbridge.forwarding.routes import RouteTable
from arbutusbridge.platform.configuration import (
    decode_configuration,
    read_version,
)
from arbutusbridge.platform.configurationdocuments import MAX_COUNT
from arbutusbridge.platform.standins import (
    add_invalid_entry,
    encode_configuration,
)

ROUTE = {
    "name": "search",
    "host": "Desk.example",
    "prefix": "/a/",
    "kind": "idempotent",
    "timeout_ms": 2000,
    "target_latency_ms": 233,
    "priority": 1,
    "max_attempts": 2,
    "fanout_services": ["s0", "s1"],
    "top_k": 50,
    "min_shard_ratio": 0.89,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s0", "max_conns": 26, "tls": False}],
    "limits": {"idle_timeout_ms": 5000, "new_field": 1},
}


class ConfigurationTest(testtools.TestCase):
    """Decoding of the operators' configuration."""

    def decode(self, **changes):
        value = json.dumps(CONFIGURATION | changes).encode()
        return decode_configuration(value)

    def test_accounts_are_decoded(self) -> None:
        route = ROUTE | {"allow_anonymous": True, "allowed_regions": ["n"]}
        tenants = [
            {"name": "a", "api_keys": ["k1", "k2"], "allowed_regions": ["n"]},
            {"name": "b", "priority": 3, "rate_per_s": 9, "burst": 2.5},
        ]
        found = self.decode(routes=[route], tenants=tenants).ok_value
        expected = (
            Account("a", ("k1", "k2"), homes=frozenset({"n"})),
            Account("b", (), 3, 9.0, 2.5),
        )
        self.assertEqual(expected, found.accounts)
        self.assertTrue(found.routes[0].allows_anonymous)
        self.assertEqual(frozenset({"n"}), found.routes[0].homes)
        self.assertNotIn("k1", repr(found))
        self.assertIsNone(self.decode().ok_value.accounts)

    # Guards against a soak whose accounts differ from those that it checks.
    def test_stand_in_writes_what_is_decoded(self) -> None:
        tenants = [
            {"name": "a", "api_keys": ["k1", "k2"], "allowed_regions": ["n"]},
            {"name": "b", "priority": 0, "rate_per_s": 9.5, "burst": 2},
        ]
        route = ROUTE | {"allow_anonymous": True, "allowed_regions": ["n"]}
        for changes in ({}, {"tenants": []}, {"tenants": tenants}):
            configuration = self.decode(routes=[route], **changes).ok_value
            again = decode_configuration(encode_configuration(configuration))
            self.assertEqual(configuration.accounts, again.ok_value.accounts)
            (found,) = again.ok_value.routes
            self.assertTrue(found.allows_anonymous)
            self.assertEqual(frozenset({"n"}), found.homes)

    # Guards against keys in the log line of an invalid entry.
    def test_mistakes_have_no_key(self) -> None:
        account = {"name": "a", "api_keys": ["secret-1"]}
        for tenants in (
            [account | {"name": ""}],
            [account | {"name": "a\r\nx: y"}],
            [account | {"priority": "secret-1"}],
            [account | {"rate_per_s": -1}],
            [account | {"api_keys": "secret-1"}],
            [account | {"api_keys": {"secret-1": 1}}],
            [account | {"api_keys": [["secret-1"]]}],
            [account | {"api_keys": ["secret-1", 7]}],
            ["secret-1"],
            {"secret-1": account},
            "secret-1",
        ):
            found = self.decode(tenants=tenants).ok_value
            (invalid,) = found.invalid.entries
            self.assertIn("tenants", invalid.entry)
            self.assertEqual((), found.accounts)
            self.assertNotIn("secret-1", repr(found))
        text = json.dumps(CONFIGURATION | {"tenants": [account]})
        for cut in range(text.index("secret-1"), len(text)):
            found = decode_configuration(text[:cut].encode())
            self.assertNotIn("secret", found.err_value)

    def test_fields_are_renamed_and_converted_to_seconds(self) -> None:
        configuration = self.decode().ok_value
        (route,) = configuration.routes
        self.assertEqual(("desk.example", 2.0), (route.host, route.timeout_s))
        self.assertEqual(("s0", "s1"), route.shards)
        self.assertEqual((), route.services)
        self.assertEqual({"s0": 26}, configuration.connections)
        self.assertEqual(5.0, configuration.bounds.idle_timeout_s)

    def test_weighted_route(self) -> None:
        parts = [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]
        route = {**ROUTE, "fanout_services": [], "weighted_backends": parts}
        (found,) = self.decode(routes=[route]).ok_value.routes
        self.assertEqual([3, 1], [one.weight for one in found.services])

    # Guards against a version that is never applied (review/15).
    def test_weight_of_0_is_valid(self) -> None:
        parts = [{"service": "a", "weight": 100}, {"service": "b", "weight": 0}]
        route = {**ROUTE, "fanout_services": [], "weighted_backends": parts}
        (found,) = self.decode(routes=[route]).ok_value.routes
        self.assertEqual([100, 0], [one.weight for one in found.services])

    def test_mistake_states_the_field(self) -> None:
        found = self.decode(routes=[ROUTE, {**ROUTE, "kind": "odd"}]).ok_value
        (invalid,) = found.invalid.entries
        self.assertEqual("routes[1] search", invalid.entry)
        self.assertIn("kind: ", invalid.mistake)

    @given(st.binary(max_size=60))
    def test_damage_is_an_error_fuzz(self, value: bytes) -> None:
        self.assertIsInstance(decode_configuration(value), Err)


PLAIN = {
    "name": "plain",
    "host": "desk.example",
    "prefix": "/p/",
    "kind": "idempotent",
    "timeout_ms": 2000,
    "target_latency_ms": 200,
    "service": "old",
}
"""Route beside the one that is invalid."""

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
"""What an entry or one of its fields may be."""

DEEP = "[" * 200_000 + "]" * 200_000

INVALID_ROUTE_FIELDS = {
    "kind": ["stream", None, 3],
    "timeout_ms": [-1, "2000", None, [], True],
    "target_latency_ms": [-1, "200", None],
    "priority": ["1", 1.5, [], True],
    "max_attempts": ["2", -1, 1.5],
    "service": [5, ["s0"]],
    "weighted_backends": [
        "s0",
        [{"service": "a", "weight": -1}],
        [{"service": "a", "weight": "3"}],
        [{"service": "a", "weight": None}],
        [{"service": "a"}],
        [{"service": "", "weight": 1}],
        [{"weight": 1}],
        [["a", 1]],
        {"a": 1},
    ],
    "fanout_services": ["s0", [1], [""], {"s0": 1}],
    "top_k": [-1, "5", None],
    "min_shard_ratio": [1.5, -0.1, "1"],
    "allow_anonymous": ["true", 1, []],
    "allowed_regions": ["north", [1], {"north": 1}, [""], True],
    "name": [None, 5, "\ud800"],
}
"""Values that no page allows, by field of a route."""

VALID_ROUTE_FIELDS = {
    "timeout_ms": [2000.0, 0, 1e300],
    "target_latency_ms": [0, 1e300],
    "priority": [1.0, -3, None, 10**30],
    "max_attempts": [2.0, 0, None, 10**30],
    "service": [None, ""],
    "weighted_backends": [None, []],
    "fanout_services": [["s0", "s0", "s1"]],
    "top_k": [50.0, 0, 10**30],
    "min_shard_ratio": [1, 0, None],
    "allow_anonymous": [None, False],
    "allowed_regions": [None, []],
    "more": [{"a": [None]}, "\ud800"],
}
"""Values that the pages leave open, by field of a route."""


class InvalidEntriesTest(testtools.TestCase):
    """Configurations with entries that cannot be decoded."""

    def decode(self, **changes):
        row = CONFIGURATION | {"routes": [ROUTE, PLAIN]} | changes
        return decode_configuration(json.dumps(row).encode()).ok_value

    def test_invalid_route_costs_only_itself(self) -> None:
        for name, values in INVALID_ROUTE_FIELDS.items():
            for value in values:
                odd = ROUTE | {name: value}
                found = self.decode(routes=[odd, PLAIN])
                first, second = found.routes
                self.assertEqual(1, len(found.invalid.entries), (name, value))
                self.assertTrue(first.mistake)
                self.assertFalse(first.is_servable)
                self.assertEqual("", second.mistake)
                self.assertEqual("/a/", first.prefix)
                self.assertEqual(7, found.version)
                self.assertFalse(found.invalid.hosts or found.invalid.any_host)

    def test_values_that_the_pages_leave_open_are_valid(self) -> None:
        for name, values in VALID_ROUTE_FIELDS.items():
            for value in values:
                found = self.decode(routes=[ROUTE | {name: value}, PLAIN])
                self.assertEqual((), found.invalid.entries, (name, value))
        (route, _) = self.decode(
            routes=[ROUTE | {"top_k": 10**400, "max_attempts": 2.0}, PLAIN]
        ).routes
        self.assertEqual(MAX_COUNT, route.max_records)
        self.assertEqual(2, route.most_upstreams)

    def test_route_without_a_valid_place(self) -> None:
        for value in (None, 5, "\ud800"):
            found = self.decode(routes=[ROUTE | {"prefix": value}, PLAIN])
            self.assertEqual({"desk.example"}, found.invalid.hosts)
            found = self.decode(routes=[ROUTE | {"host": value}, PLAIN])
            self.assertTrue(found.invalid.any_host)
            self.assertEqual(["plain"], [one.name for one in found.routes])
        found = self.decode(routes=[ROUTE | {"prefix": "a"}, PLAIN])
        self.assertEqual("/a/", found.routes[0].prefix)
        self.assertEqual({"desk.example"}, found.invalid.hosts)
        for odd in (None, 5, [], "route"):
            found = self.decode(routes=[odd, PLAIN])
            self.assertTrue(found.invalid.any_host)
            self.assertEqual(["plain"], [one.name for one in found.routes])

    def test_routes_that_are_no_list(self) -> None:
        for value in (None, {}, "routes", 5):
            found = self.decode(routes=value)
            self.assertTrue(found.invalid.any_host)
            self.assertEqual(7, found.version)

    # Guards against a soak whose invalid entries are valid.
    def test_invalid_entry_of_the_stand_in_costs_only_itself(self) -> None:
        row = CONFIGURATION | {"routes": [PLAIN], "tenants": []}
        value = json.dumps(row).encode()
        rng = random.Random(1)
        sound = decode_configuration(value).ok_value
        for _ in range(50):
            found = decode_configuration(add_invalid_entry(value, rng)).ok_value
            self.assertEqual(1, len(found.invalid.entries))
            self.assertIn(sound.routes[0], found.routes)
            self.assertEqual(sound.connections, found.connections)
            self.assertEqual(sound.accounts, found.accounts)

    def test_weight_of_many_digits(self) -> None:
        parts = [
            {"service": "a", "weight": 10**400},
            {"service": "b", "weight": 1},
        ]
        route = {**PLAIN, "weighted_backends": parts}
        (found,) = self.decode(routes=[route]).routes
        self.assertEqual(["a", "b"], [one.name for one in found.services])
        self.assertLess(sum(one.weight for one in found.services), 1e200)

    # Guards against an account whose limit or homes are lifted, or whose keys
    # are taken for unknown ones.
    def test_invalid_account_costs_only_itself(self) -> None:
        sound = {"name": "a", "api_keys": ["k1"]}
        account = {"name": "b", "api_keys": ["k2"], "rate_per_s": 9}
        for change in (
            {"burst": -1},
            {"burst": "9"},
            {"rate_per_s": "9"},
            {"rate_per_s": -1},
            {"rate_per_s": None},
            {"rate_per_s": [9]},
            {"priority": "1"},
            {"priority": 1.5},
            {"allowed_regions": "north"},
            {"allowed_regions": [1]},
            {"allowed_regions": [""]},
        ):
            found = self.decode(tenants=[account | change, sound])
            self.assertEqual((Account("a", ("k1",)),), found.accounts, change)
            self.assertEqual({"k2"}, found.invalid.keys)
            self.assertEqual({"b"}, found.invalid.account_names)
            self.assertFalse(found.invalid.any_key)
        for keys, known in (("k2", set()), (["k2", 7], {"k2"}), ({}, set())):
            found = self.decode(tenants=[account | {"api_keys": keys}, sound])
            self.assertEqual((Account("a", ("k1",)),), found.accounts)
            self.assertEqual(known, found.invalid.keys)
            self.assertTrue(found.invalid.any_key)
        self.assertTrue(self.decode(tenants=["b", sound]).invalid.any_key)

    def test_accounts_that_the_pages_leave_open(self) -> None:
        row = {"name": "a", "api_keys": None, "priority": 1.0, "burst": None}
        found = self.decode(tenants=[row, {"name": "b", "rate_per_s": 1e300}])
        self.assertEqual((), found.invalid.entries)
        self.assertEqual(1, found.accounts[0].urgency)
        self.assertGreater(found.accounts[1].rate, 0.0)

    def test_accounts_that_are_no_list(self) -> None:
        for value in (None, {}, "a", 5):
            found = self.decode(tenants=value)
            self.assertTrue(found.invalid.accounts)
            self.assertEqual((), found.accounts)

    def test_invalid_service_costs_only_itself(self) -> None:
        for change in (
            {"max_conns": 0},
            {"max_conns": "26"},
            {"max_conns": 26.5},
            {"warmup_s": -1},
            {"warmup_per_s": "1"},
            {"warmup_per_s": -1},
        ):
            services = [{"name": "s0"} | change, {"name": "s1"}]
            found = self.decode(services=services)
            self.assertEqual({"s0"}, found.invalid.services, change)
            self.assertEqual({"s1": 64}, found.connections)
        for odd in (5, {"max_conns": 9}, {"name": 5}, {"name": ""}):
            found = self.decode(services=[odd, {"name": "s0"}])
            self.assertEqual({"s1", "old"}, found.invalid.services)
        found = self.decode(services={"s0": {}})
        self.assertEqual({"s0", "s1", "old"}, found.invalid.services)
        found = self.decode(services=[{"name": "s0", "max_conns": 26.0}])
        self.assertEqual({"s0": 26}, found.connections)
        self.assertEqual(frozenset(), found.invalid.services)

    def test_invalid_limit_costs_only_itself(self) -> None:
        limits = {"max_body_bytes": "9", "idle_timeout_ms": 5000.0}
        found = self.decode(limits=limits)
        self.assertEqual({"body_bytes"}, found.invalid.limits)
        self.assertEqual(5.0, found.bounds.idle_timeout_s)
        self.assertEqual(RequestLimits().body_bytes, found.bounds.body_bytes)
        self.assertEqual(4, len(self.decode(limits=[]).invalid.limits))
        self.assertEqual((), self.decode(limits=None).invalid.entries)

    def test_unknown_version(self) -> None:
        for value in (None, "7", 7.5, True, []):
            found = self.decode(version=value)
            self.assertFalse(found.is_numbered)
            self.assertEqual(
                ["version"], [one.entry for one in found.invalid.entries]
            )
            self.assertEqual(2, len(found.routes))
            self.assertIsNone(
                read_version(
                    json.dumps({"version": value, "routes": []}).encode()
                )
            )
        for value in (7.0, 10**90):
            self.assertEqual(value, self.decode(version=value).version)
            self.assertEqual(
                value,
                read_version(
                    json.dumps({"version": value, "routes": []}).encode()
                ),
            )

    def test_text_that_other_parsers_refuse(self) -> None:
        row = CONFIGURATION | {"routes": [ROUTE, PLAIN]}
        text = json.dumps(row, ensure_ascii=False)
        deep = text.replace('"search"', '"search", "more": ' + DEEP)
        found = decode_configuration(deep.encode()).ok_value
        self.assertEqual((), found.invalid.entries)
        deep = text.replace('"max_attempts": 2', '"allowed_regions": ' + DEEP)
        found = decode_configuration(deep.encode()).ok_value
        self.assertTrue(found.routes[0].mistake)
        self.assertEqual("", found.routes[1].mistake)
        for odd in (b"NaN", b"1e999", b"Infinity"):
            value = text.encode().replace(b"2000", odd, 1)
            found = decode_configuration(value).ok_value
            self.assertEqual("", found.routes[1].mistake, odd)
        value = text.encode().replace(b"search", b"se\xffrch")
        found = decode_configuration(value).ok_value
        self.assertTrue(found.routes[0].mistake)
        self.assertEqual("", found.routes[1].mistake)

    # Guards against a value that raises instead of costing its entry.
    @given(
        st.sampled_from(["routes", "services", "tenants"]),
        st.sampled_from(sorted({*ROUTE, *PLAIN, "warmup_s", "api_keys"})),
        JSON_VALUES,
    )
    def test_any_value_costs_only_its_entry_fuzz(
        self, part: str, field: str, value: object
    ) -> None:
        sound = {
            "routes": PLAIN,
            "services": {"name": "old"},
            "tenants": {"name": "a", "api_keys": ["k1"]},
        }
        entries = {name: [one] for name, one in sound.items()}
        odd = {"routes": ROUTE, "services": {"name": "s0"}}.get(
            part, {"name": "b", "api_keys": ["k2"]}
        )
        entries[part].append(odd | {field: value})
        found = self.decode(**entries)
        self.assertIn("plain", [one.name for one in found.routes])
        self.assertNotIn("old", found.invalid.services)
        self.assertIn("a", [one.name for one in found.accounts])
        self.assertLessEqual(len(found.invalid.entries), 1)
        self.assertTrue(RouteTable(found).accounts)

    @given(JSON_VALUES)
    def test_any_value_of_a_list_is_described_fuzz(self, value: object) -> None:
        for part in ("routes", "services", "tenants", "limits", "version"):
            RouteTable(self.decode(**{part: value}))
