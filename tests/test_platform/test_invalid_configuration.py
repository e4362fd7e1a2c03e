"""Tests of an instance whose configuration has an invalid entry, in real time.

Guards against a version that is not applied because of one entry, and against
an instance that has no configuration after a restart (review/15, issue 57).
"""

from __future__ import annotations

import json
import socket

import logbook
from prometheus_client import generate_latest

from arbutusbridge.core.messages import StoreItem
from arbutusbridge.forwarding.following import pack_items, unpack_items
from arbutusbridge.platform.configuration import CONFIGURATION_KEY
from tests.test_daemon.instancecase import InstanceCase

HOST = "desk.example"


def route(name: str, service: str, **fields: object) -> dict[str, object]:
    """Returns the entry of a route."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "max_attempts": 2,
        "service": service,
        **fields,
    }


def weighted(weight: object) -> dict[str, object]:
    """Returns the entry of a route with two parts."""
    parts = [
        {"service": "old", "weight": 1},
        {"service": "new", "weight": weight},
    ]
    return route("split", "", weighted_backends=parts)


class InvalidConfigurationTest(InstanceCase):
    """An instance with upstreams of two services."""

    def setUp(self) -> None:
        super().setUp()
        self.start()
        routes = [route("moved", "old"), route("dropped", "old"), weighted(1)]
        self.publish(5, routes)
        self.run_until(lambda: self.instance.forwarding.ready)

    def start(self) -> None:
        """Starts an instance, the store, and an upstream of each service."""
        self.start_instance()
        for service in ("old", "new"):
            self.start_upstream(f"i-{service}", service)

    def publish(self, version: int, routes: list[object], **fields: object):
        """Publishes a version, which is in force 1.5 s later."""
        row = {"version": version, "routes": routes, **fields}
        self.value = json.dumps(row).encode()
        self.store.put(CONFIGURATION_KEY, self.value)

    def ask(self, name: str) -> tuple[int, str]:
        """Sends a request; returns its status and the service that ran it."""
        before = len(self.runs)
        with socket.create_connection(self.callers) as sock:
            sock.sendall(
                f"GET /{name}/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: r{before}{name}\r\n"
                "X-Deadline-Ms: 3000\r\n\r\n".encode()
            )
            answer = self.receive(sock, 2.0)
        services = {run.service for run in self.runs[before:]}
        return int(answer.split(b" ")[1]), ",".join(services)

    def check_version_7(self) -> None:
        """Checks that version 7 is in force but for the weighted route."""
        self.assertEqual((200, "new"), self.ask("moved"))
        self.assertEqual((404, ""), self.ask("dropped"))
        for _ in range(4):
            self.assertEqual((503, ""), self.ask("split"))

    def test_one_invalid_route(self) -> None:
        for number, weight in enumerate((-1, "1", None)):
            with logbook.TestHandler() as log:
                self.publish(
                    7 + number, [route("moved", "new"), weighted(weight)]
                )
                self.run_for(1.5)
            self.check_version_7()
            (line,) = [
                one
                for one in log.records
                if one.message == "invalid entry of the routing configuration"
            ]
            self.assertEqual("routes[1] split", line.extra["entry"])
            self.assertIn("weighted_backends", line.extra["mistake"])
        metrics = generate_latest(self.instance.metrics.registry).decode()
        self.assertIn('invalid_entries{entry="routes[1] split"', metrics)
        self.publish(20, [route("moved", "new"), weighted(0)])
        self.run_for(1.5)
        self.assertEqual((200, "old"), self.ask("split"))
        metrics = generate_latest(self.instance.metrics.registry).decode()
        self.assertNotIn("invalid_entries{", metrics)

    def test_instance_that_starts_with_an_invalid_route(self) -> None:
        value = json.dumps(
            {"version": 7, "routes": [route("moved", "new"), weighted(-1)]}
        ).encode()
        self.start()
        self.store.put(CONFIGURATION_KEY, value)
        self.run_until(lambda: self.instance.forwarding.ready)
        self.check_version_7()

    def test_version_that_a_peer_hands_on(self) -> None:
        row = {"version": 7, "routes": [route("moved", "new"), weighted(-1)]}
        key_feed = self.instance.feed.key_feed
        revision = key_feed.revision + 1
        items = [
            one
            for one in key_feed.confirmed_items()
            if one.key != CONFIGURATION_KEY
        ]
        value = json.dumps(row).encode()
        items.append(StoreItem(CONFIGURATION_KEY, value, revision))
        packed = unpack_items(pack_items(items))
        self.instance.feed.apply_snapshot(packed, revision, 0.0)
        self.run_for(0.2)
        self.check_version_7()

    def test_value_that_is_no_configuration(self) -> None:
        self.store.put(CONFIGURATION_KEY, b"\xff\x00")
        self.run_for(1.5)
        for name in ("moved", "dropped", "split"):
            self.assertEqual((503, ""), self.ask(name))
        self.assertFalse(self.instance.forwarding.ready)
        self.publish(6, [route("moved", "new")])
        self.run_for(1.5)
        self.assertTrue(self.instance.forwarding.ready)
        self.assertEqual((200, "new"), self.ask("moved"))
