"""Tests of entries in the store that other writers have left, in real time."""

from __future__ import annotations

import json
import socket

import orjson
from circuits import BaseComponent, handler

from arbutusbridge.forwarding.model import (
    Announcement,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from arbutusbridge.standins.deployment import LOOPBACK
from tests.test_daemon.instancecase import InstanceCase
from tests.test_daemon.test_relaypools import RelayPoolsCase

HOST = "desk.example"
SHARDS = ("s0", "s1", "s2")
SOUND = {
    "service": "s1",
    "addr": f"{LOOPBACK}:9",
    "zone": "north",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "seq": 1,
    "born": 0,
}

ODD_FIELDS = {
    "port above 65535": {"addr": f"{LOOPBACK}:99999"},
    "port of many digits": {"addr": f"{LOOPBACK}:{10**30}"},
    "port of too many digits": {"addr": f"{LOOPBACK}:" + "9" * 5000},
    "port 0": {"addr": f"{LOOPBACK}:0"},
    "negative port": {"addr": f"{LOOPBACK}:-1"},
    "no address": {"addr": ":8080"},
    "host name": {"addr": "replica.invalid:8080"},
    "address out of range": {"addr": "10.0.0.999:8080"},
    "address with a zero byte": {"addr": "10.0.0.1\0:8080"},
    "digits of another script": {"addr": f"{LOOPBACK}:\u0664\u0665"},
    "slots too large": {"slots": 10**400},
    "start too large": {"born": 2**70},
    "start too large for a message": {"born": 2**64},
    "negative start": {"born": -1},
    "warm-up too large": {"warmup_left_ms": 1e300},
    "nested address": {"addr": [["x"]]},
    "odd state": {"state": "gone"},
    "no zone": {"zone": ""},
    "version that is a number": {"version": 1},
    "number that is a text": {"seq": "1"},
    "negative warm-up": {"warmup_left_ms": -1},
}

REQUIRED = ("service", "addr", "zone", "version", "slots", "state")
REQUIRED += ("warmup_left_ms", "seq")
"""Fields that every upstream writes."""


def odd_values() -> dict[str, bytes]:
    """Returns values that name no upstream, by what is wrong with them."""
    values = {
        what: encode_row(SOUND | fields) for what, fields in ODD_FIELDS.items()
    }
    for field in REQUIRED:
        row = {name: value for name, value in SOUND.items() if name != field}
        values[f"without {field}"] = encode_row(row)
    depth = 200_000
    values["deeply nested"] = b"[" * depth + b"]" * depth
    nested = b'{"a":' * depth + b"1" + b"}" * depth
    values["deeply nested field"] = orjson.dumps(SOUND)[:-1] + (
        b',"more":' + nested + b"}"
    )
    values["infinite number"] = orjson.dumps(SOUND).replace(
        b'"warmup_left_ms":0', b'"warmup_left_ms":1e999'
    )
    values["bytes"] = b"\xff\x00\xfe"
    values["nothing"] = b""
    return values


def encode_row(row: dict) -> bytes:
    """Encodes a row whose numbers may be greater than 64 bits."""
    return json.dumps(row).encode()


class Failures(BaseComponent):
    """Collects the exceptions in event handlers."""

    channel = "failures"

    def __init__(self) -> None:
        super().__init__()
        self.found = []

    @handler("exception", channel="*")
    def on_exception(self, _kind, value, *_rest, **_more) -> None:
        self.found.append(value)


class OddEntriesTest(InstanceCase):
    """An instance with upstreams of three shards, beside odd entries."""

    def setUp(self) -> None:
        super().setUp()
        self.start_instance()
        self.failures = Failures().register(self.instance)
        self.entries = {
            name: self.start_upstream(f"i-{name}", name)[1] for name in SHARDS
        }
        fields = {"timeout_s": 5.0, "target_s": 0.5, "most_upstreams": 2}
        routes = (
            Route(
                "fetch",
                HOST,
                "/fetch/",
                True,
                **fields,
                services=(WeightedService("s1"),),
            ),
            Route(
                "find",
                HOST,
                "/find/",
                True,
                **fields,
                shards=SHARDS,
                max_records=5,
            ),
        )
        self.configure(RoutingConfiguration(1, routes, {}))

    def check_served(self, what: str) -> None:
        """Checks that requests of both routes are served at once."""
        for path in ("/fetch/1", "/find/1"):
            with socket.create_connection(self.callers) as sock:
                sock.sendall(
                    f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Request-Id: r{path}{what}\r\n"
                    "X-Deadline-Ms: 3000\r\n\r\n".encode()
                )
                answer = self.receive(sock, 2.0)
                self.assertIn(b" 200 ", answer[:20], f"{what}: {answer[:60]}")
        self.assertEqual([], self.failures.found, what)

    def known(self) -> set[str]:
        """Returns the ids of the upstreams that the instance knows."""
        return set(self.instance.forwarding.forwarder.directory.by_name)

    # Guards against an odd entry that costs requests an answer, ends the
    # process, or keeps changes of other entries from being followed.
    def test_odd_entries_beside_sound_ones(self) -> None:
        for number, (what, value) in enumerate(odd_values().items()):
            self.store.put(f"servers/odd-{number}", value)
            added = f"i-s{number % 3}-{number}"
            _, entry = self.entries[f"s{number % 3}"]
            row = orjson.loads(entry) | {"born": 1}
            self.store.put(f"servers/{added}", orjson.dumps(row))
            self.run_until(lambda added=added: added in self.known(), 4.0)
            self.assertNotIn(f"odd-{number}", self.known(), what)
            self.check_served(what.replace(" ", "-"))
            self.store.delete(f"servers/{added}")

    # Guards against the same if the id cannot be sent in a header.
    def test_odd_ids(self) -> None:
        for name in ("i\u00e9", "i\u6f22", "i\r\nX-A: 1", "i 1", ""):
            self.store.put(f"servers/{name}", orjson.dumps(SOUND))
        self.run_for(1.2)
        self.assertEqual({f"i-{one}" for one in SHARDS}, self.known())
        self.check_served("ids")

    # Guards against an entry that turns odd in place and goes on being used,
    # or is not used again once it is sound.
    def test_entry_that_turns_odd_in_place(self) -> None:
        key, sound = self.entries["s1"]
        spare = orjson.loads(sound)
        for number, value in enumerate(odd_values().values()):
            self.store.put(key, value)
            self.run_until(lambda: "i-s1" not in self.known(), 4.0)
            self.store.put(key, orjson.dumps(spare | {"seq": number + 5}))
            self.run_until(lambda: "i-s1" in self.known(), 4.0)
        self.check_served("again")

    # Guards against many odd entries at once, in one reply of the store.
    def test_many_odd_entries_at_once(self) -> None:
        values = list(odd_values().values())
        for number in range(200):
            value = values[number % len(values)]
            if len(value) < 10_000:
                self.store.put(f"servers/odd-{number}", value)
        self.run_for(1.2)
        self.assertEqual({f"i-{one}" for one in SHARDS}, self.known())
        self.check_served("many")


class InvalidAddressTest(RelayPoolsCase):
    """Addresses that no connection can be opened to."""

    # Guards against an attempt that never ends, and a request without answer.
    def test_attempt_at_an_invalid_address_ends_at_once(self) -> None:
        for address in ((LOOPBACK, 99_999), (LOOPBACK, -1), ("a\0b", 80)):
            self.upstream = Announcement("i-9", "records", address, "north")
            self.send(1)
            self.relay_pools.flush()
            self.assertEqual("not_sent", self.reply().detail)
            self.relay_pools.ensure_connected(self.upstream)
            self.relay_pools.probe(self.upstream)
            self.assertEqual([], self.bench.failures)
            self.relay_pools.retire("i-9")
