"""Tests of the error messages of invalid files."""

from __future__ import annotations

import json

import testtools

from arbutusbridge.errors import SettingsError
from arbutusbridge.settings import Register, RulesFile, parse_model
from arbutusbridge.standins.deployment import DeploymentShape, make_register


class LoaderTest(testtools.TestCase):
    """Error messages name the file, the path, the value and a remedy."""

    def test_unknown_field_is_named_with_its_path(self) -> None:
        text = json.dumps({"callers": {"crew": {"deadlin_ms": 5}}})
        error = self.assertRaises(
            SettingsError, parse_model, text, RulesFile, "rules.json"
        )
        self.assertIn("rules.json: callers.crew.deadlin_ms", str(error))
        self.assertIn("found 5", str(error))
        self.assertIn("Remedy:", str(error))

    def test_gap_in_the_key_space_is_refused(self) -> None:
        register = make_register(
            DeploymentShape("leases", 2, 1, ("dc",)),
            lambda number: 4000 + number,
        )
        register["services"][0]["layouts"][0]["shards"].pop()
        error = self.assertRaises(
            SettingsError,
            parse_model,
            json.dumps(register),
            Register,
            "register.json",
        )
        self.assertIn("services[0].layouts[0]", str(error))
