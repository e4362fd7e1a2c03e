"""Tests of ``/explain``, with a running instance."""

from __future__ import annotations

import http.client
from urllib.parse import urlencode

import orjson
import testtools

from arbutusbridge.daemon.forwardinstance import ForwardInstance
from arbutusbridge.forwarding import RoutingConfiguration
from arbutusbridge.platform import DIALECT, WIRE
from arbutusbridge.settings.forwarding import ForwardSettings
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports
from tests.test_forwarding.fixtures import HOST, plain, upstream


class RunningInstanceCase(testtools.TestCase):
    """A forwarding instance without a store, with one upstream."""

    def setUp(self) -> None:
        super().setUp()
        ports = find_free_ports(3)
        settings = ForwardSettings.model_validate(
            {
                "name": "n-0",
                "data_centre": "north",
                "callers": f"{LOOPBACK}:{ports[0]}",
                "operators": f"{LOOPBACK}:{ports[1]}",
                "store": f"{LOOPBACK}:{ports[2]}",
            }
        )
        self.instance = ForwardInstance.from_config(
            settings, WIRE, DIALECT, lambda: None, lambda: 1
        )
        self.forwarder = self.instance.forwarding.forwarder
        self.forwarder.configure(RoutingConfiguration(3, (plain(),)))
        self.forwarder.announce(upstream("u1", "records"), 0.0)
        self.address = f"{LOOPBACK}:{ports[1]}"
        thread, _ = self.instance.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.instance.stop)


class ExplainPathTest(RunningInstanceCase):
    """Responses to valid and invalid parameters."""

    def ask(self, query: str) -> tuple[int, dict]:
        """Returns the status and the body of a response."""
        connection = http.client.HTTPConnection(self.address, timeout=20)
        self.addCleanup(connection.close)
        connection.request("GET", f"/explain?{query}")
        response = connection.getresponse()
        return response.status, orjson.loads(response.read())

    def test_explanation(self) -> None:
        """Guards against a port, case or escapes that change the request."""
        target = "/fetch/a%2Fb?x=1&y=%20"
        query = urlencode({"host": f"{HOST.upper()}:80", "target": target})
        status, found = self.ask(query)
        self.assertEqual((200, None), (status, found["refusal"]))
        self.assertEqual(target, found["request"]["target"])
        self.assertEqual({"records": "u1"}, found["sent"]["upstreams"])
        self.assertEqual(3, found["instance"]["config_version"])
        self.assertEqual({}, self.forwarder.attempts)

    def test_invalid_parameters(self) -> None:
        """Guards against unbounded or unclear parameters, and shown keys."""
        good = f"host={HOST}&target=/fetch/x"
        invalid = {
            "": "host is missing",
            f"host={HOST}&method=GET": "target is missing",
            f"host={HOST}&target=fetch": "target is not valid",
            f"host={HOST}&target=/{'x' * 4096}": "too long",
            f"{good}&host=other": "host is repeated",
            f"{good}&key=secret": "unknown",
            f"{good}&account={'secret' * 50}": "account is not valid",
            f"{good}&method=get": "method is not valid",
            f"{good}&account=%FF": "encoded",
            good + "&host=" * 9: "encoded",
        }
        for query, expected in invalid.items():
            status, body = self.ask(query)
            self.assertEqual(400, status, query)
            self.assertIn(expected, body["remedy"])
            self.assertNotIn("secret", body["remedy"])
