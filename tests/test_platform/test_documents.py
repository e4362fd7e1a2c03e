"""Tests of the platform's documents."""

from __future__ import annotations

import json

import testtools
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from arbutusbridge.forwarding.model import Account
from arbutusbridge.platform.documents import (
    decode_announcement,
    decode_configuration,
)
from arbutusbridge.platform.standins import encode_configuration

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
ENTRY = {
    "service": "s0",
    "addr": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 1500,
    "seq": 4,
    "born": 1700000000000,
}


class ConfigurationTest(testtools.TestCase):
    """Decoding of the operators' configuration."""

    def decode(self, **changes):
        return decode_configuration(json.dumps(CONFIGURATION | changes))

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

    # Guards against keys in the log line of a refused configuration.
    def test_errors_have_no_key(self) -> None:
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
            found = self.decode(tenants=tenants)
            self.assertIsInstance(found, Err)
            self.assertIn("tenants", found.err_value)
            self.assertNotIn("secret-1", found.err_value)
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

    def test_error_states_the_field(self) -> None:
        error = self.decode(routes=[ROUTE, {**ROUTE, "kind": "odd"}])
        self.assertIn("routes[1].kind", error.err_value)

    @given(st.binary(max_size=60))
    def test_damage_is_an_error_fuzz(self, value: bytes) -> None:
        self.assertIsInstance(decode_configuration(value), Err)
        self.assertIsInstance(decode_announcement("servers/i", value), Err)


class AnnouncementTest(testtools.TestCase):
    """Decoding of the announcements of upstreams."""

    def decode(self, **changes):
        value = json.dumps(ENTRY | changes).encode()
        return decode_announcement("servers/i-1", value)

    def test_id_comes_from_the_key(self) -> None:
        found = self.decode().ok_value
        self.assertEqual("i-1", found.upstream)
        self.assertEqual(("10.0.0.9", 8080), found.address)
        self.assertEqual(1.5, found.warm_up_s)
        self.assertFalse(found.leaving)
        self.assertTrue(self.decode(state="draining").ok_value.leaving)

    def test_invalid_announcements_are_errors(self) -> None:
        for changes in (
            {"state": "odd"},
            {"addr": "nowhere"},
            {"addr": 5},
            {"slots": "2"},
            {"service": None},
            {"version": 1},
            {"seq": "4"},
        ):
            self.assertIsInstance(self.decode(**changes), Err)

    # Guards against an entry of another writer that is used (review/11).
    def test_missing_fields_are_errors(self) -> None:
        for name in set(ENTRY) - {"born"}:
            row = {key: value for key, value in ENTRY.items() if key != name}
            found = decode_announcement("servers/i", json.dumps(row).encode())
            self.assertIsInstance(found, Err, name)
