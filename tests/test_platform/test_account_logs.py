"""Tests of the log lines and the metric of client accounts."""

from __future__ import annotations

import json
from types import SimpleNamespace

import logbook
import testtools

from arbutusbridge.core.messages import StoreItem
from arbutusbridge.daemon.forwarding import ForwardingDriver
from arbutusbridge.daemon.forwardmetrics import ForwardMetrics
from arbutusbridge.daemon.logs import format_line
from arbutusbridge.forwarding import Locality, RetryBudgetLimits
from arbutusbridge.platform import WIRE
from tests.test_daemon.fixtures import ComponentBench
from tests.test_platform.test_configuration import CONFIGURATION, ROUTE

KEYS = ("secret-1", "secret-2", "secret-3")
TENANTS = [
    {"name": "acme", "api_keys": KEYS[:2]},
    {"name": "other", "api_keys": KEYS[2:]},
]


class AccountLogTest(testtools.TestCase):
    """Log lines of one instance. Guards against keys in them."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.driver = ForwardingDriver(
            Locality("north", {}),
            RetryBudgetLimits(0.2, 50.0, 10.0),
            self.bench.timers,
            WIRE,
            ForwardMetrics(),
        )
        ingress = SimpleNamespace(
            set_limits=lambda _limits: None, answer=lambda _answer: None
        )
        pools = SimpleNamespace(share=lambda *_shares: None, flush=lambda: None)
        self.driver.attach(ingress, pools, None)

    def configure(self, version: int, **changes) -> None:
        """Applies a version of the configuration."""
        fields = CONFIGURATION | {"version": version} | changes
        value = json.dumps(fields).encode()
        item = StoreItem(WIRE.configuration_key, value, version)
        self.driver.on_routing_changed([item])

    def ask(self, *values: str) -> None:
        """Sends a request with headers that hold a key."""
        headers = [
            (b"Host", ROUTE["host"].encode()),
            (b"X-Request-Id", b"r1"),
            *((b"Authorization", value.encode()) for value in values),
        ]
        request = WIRE.decode_request("GET", "/a/1", headers, b"", 100.0)
        self.driver.on_request_arrived(request.ok_value)

    def test_log_lines_have_reasons_and_no_key(self) -> None:
        with logbook.TestHandler() as log:
            self.configure(1)
            self.configure(2, tenants=TENANTS)
            self.configure(3, tenants=[*TENANTS, {"name": KEYS}])
            self.ask()
            self.ask(f"Basic {KEYS[0]}")
            self.ask(f"Token {KEYS[0]}-old")
            self.ask(f"Token {KEYS[0]}")
            lines = [json.loads(format_line(one)) for one in log.records]
        counts = [(one.get("accounts"), one.get("keys")) for one in lines[:2]]
        self.assertEqual([(None, None), (2, 3)], counts)
        self.assertEqual("routing configuration applied", lines[2]["message"])
        self.assertEqual("tenants[2]", lines[3]["entry"])
        self.assertIn("name: ", lines[3]["mistake"])
        reasons = [one.get("why") for one in lines[4:7]]
        self.assertEqual(["missing", "malformed", "unknown"], reasons)
        self.assertEqual("unservable", lines[7]["outcome"])
        self.assertNotIn("secret", json.dumps(lines))

    def test_requests_are_counted_only_with_a_valid_key(self) -> None:
        def counted() -> dict[str, float]:
            (family,) = self.driver.metrics.account_requests.collect()
            return {
                one.labels["account"]: one.value
                for one in family.samples
                if one.name.endswith("_total")
            }

        self.configure(1)
        self.ask(f"Token {KEYS[0]}")
        self.assertEqual({}, counted())
        self.configure(2, tenants=TENANTS)
        for value in (*KEYS, KEYS[0], "unknown"):
            self.ask(f"Token {value}")
        self.ask()
        self.assertEqual({"acme": 3.0, "other": 1.0}, counted())
