"""Tests of the example files."""

from __future__ import annotations

import copy
import json
from pathlib import Path

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusbridge.cmd.config import compile_files
from arbutusbridge.errors import SettingsError
from arbutusbridge.settings import (
    EntrySettings,
    Register,
    RulesFile,
    compile_configuration,
    load_model,
    parse_model,
)
from arbutusbridge.standins.examples import (
    SURCO,
    USERS,
    make_user_files,
    render_files,
)

EXAMPLES = Path(__file__).parents[2] / "examples"
UNUSUAL_VALUES = (
    st.none() | st.booleans() | st.integers(-2, 70_000) | st.text(max_size=3)
)


class ExamplesTest(testtools.TestCase):
    """Tests the committed files, and generated ones with a wrong field."""

    def test_committed_files_match_generated_and_are_valid(self) -> None:
        for path, text in render_files().items():
            self.assertEqual(text, (EXAMPLES / path).read_text(), path)
        for user in USERS:
            folder = EXAMPLES / user.name
            register = folder / "register.json"
            found = compile_files(register, folder / "rules.json")
            self.assertEqual(52 + 1, len(found.layouts))
            load_model(folder / "instance.json", EntrySettings)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.data())
    def test_changed_field_is_accepted_or_named_in_error(
        self, data: st.DataObject
    ) -> None:
        files = make_user_files(copy.deepcopy(SURCO))
        register, rules = files["register.json"], files["rules.json"]
        node = data.draw(st.sampled_from([register, rules]))
        while isinstance(node, dict | list) and node:
            keys = list(node) if isinstance(node, dict) else range(len(node))
            key = data.draw(st.sampled_from(keys))
            if not isinstance(node[key], dict | list) or data.draw(
                st.booleans()
            ):
                node[key] = data.draw(UNUSUAL_VALUES)
                break
            node = node[key]
        try:
            compile_configuration(
                parse_model(json.dumps(register), Register, "register"),
                parse_model(json.dumps(rules), RulesFile, "rules"),
                1,
                "",
            )
        except SettingsError as err:
            self.assertTrue(str(err).startswith(("register: ", "rules: ")))
            self.assertIn("Remedy: ", str(err))
