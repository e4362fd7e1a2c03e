"""Tests of the command ``explain`` with a running instance."""

from __future__ import annotations

import contextlib
import io
import json

import testtools

from arbutusbridge.cmd.explaintext import describe
from arbutusbridge.cmd.main import main
from arbutusbridge.forwarding import RoutingConfiguration
from arbutusbridge.forwarding.explain import DescribedRequest, explain
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports
from tests.test_daemon.test_explainquery import RunningInstanceCase
from tests.test_forwarding.fixtures import (
    HOST,
    make_forwarder,
    plain,
    shard_upstreams,
    sharded,
)
from tests.test_forwarding.test_explain import ACCOUNTS, disturb, make_fleet

REQUEST = ["--host", HOST, "--target", "/fetch/x?a=b&c"]


class ExplainCommandTest(RunningInstanceCase):
    """Output and exit codes."""

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Returns the exit code and the output of the command."""
        out, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(errors),
        ):
            try:
                code = main(["explain", *arguments])
            except SystemExit as err:
                code = err.code
        return code, out.getvalue(), errors.getvalue()

    def test_explanation(self) -> None:
        """Guards against output without the upstream that is chosen."""
        code, text, errors = self.run_command(self.address, *REQUEST)
        self.assertEqual((0, ""), (code, errors))
        self.assertIn("sent to u1", text)
        code, text, _ = self.run_command(self.address, *REQUEST, "--json")
        found = json.loads(text)
        self.assertEqual("/fetch/x?a=b&c", found["request"]["target"])
        self.assertEqual({"records": "u1"}, found["sent"]["upstreams"])

    def test_errors(self) -> None:
        """Guards against errors that look like an explanation to a script."""
        (closed,) = find_free_ports(1)
        no_route = ["--host", HOST, "--target", "/none/x"]
        bad = ["--host", HOST, "--target", "fetch"]
        cases = [
            (1, [self.address, *no_route], "No route of configuration 3"),
            (2, [self.address, *bad], "target is not valid"),
            (2, ["nowhere", *REQUEST], "nowhere is not valid"),
            (2, [self.address], "--host"),
            (3, [f"{LOOPBACK}:{closed}", *REQUEST], "does not answer"),
        ]
        for expected, arguments, message in cases:
            code, text, errors = self.run_command(*arguments)
            self.assertEqual((expected, ""), (code, text), errors)
            self.assertIn(message, errors)

    def test_no_key_is_shown(self) -> None:
        """Guards against the key of an account in the output."""
        self.forwarder.configure(
            RoutingConfiguration(4, (plain(),), accounts=ACCOUNTS)
        )
        for account in ("desk", "key-1"):
            _, text, errors = self.run_command(
                self.address, *REQUEST, "--account", account, "--json"
            )
            self.assertNotIn("key-", text + errors)


class ExplainTextTest(testtools.TestCase):
    """Text of explanations of every kind."""

    def test_random_states(self) -> None:
        """Guards against explanations that can't be shown as text."""
        for seed in range(20):
            fleet = make_fleet(seed)
            for name, forwarder in fleet.instances.items():
                disturb(fleet, name, fleet.rng)
                for target in ("/search/x", "/wide/x", "/fetch/x", "/one/x"):
                    described = DescribedRequest(HOST, target, "desk")
                    found = explain(forwarder, described, fleet.now)
                    self.assertGreater(len(describe(found)), 4, found)

    def test_left_out_shards(self) -> None:
        """Guards against a partial answer that is shown as a complete one."""
        forwarder = make_forwarder([sharded()], shard_upstreams(3))
        found = explain(forwarder, DescribedRequest(HOST, "/search/x"), 100.0)
        text = "\n".join(describe(found))
        self.assertIn("3 of 4 can be served, 75% needed", text)
        self.assertIn("s3: no_upstream", text)
