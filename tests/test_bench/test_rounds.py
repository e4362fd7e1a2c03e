"""Tests of the comparison of measured rounds."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import testtools

from arbutusbridge.bench._rounds import choose_rounds, draw_chart, table
from arbutusbridge.errors import SettingsError
from arbutusbridge.platform.journal import read_rounds


def entry(number: str, worth: float, day: str = "scale-1") -> dict:
    """Returns a journal entry with one day, as the bench writes it."""
    return {
        "id": number,
        "at": [f"2026-12-04T0{number}:00:00Z", ""],
        "site": "somewhere",
        "why": "a change",
        "days": [
            {
                "name": day,
                "G": worth,
                "served": 0.9,
                "failed": 0.01,
                "prices": [["calls", 100.0, 0.02], ["memory", 1.0, 0.0]],
            }
        ],
    }


class RoundsTest(testtools.TestCase):
    """A journal with two rounds and an entry without days."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        entries = [
            entry("1", 0.5),
            entry("2", 0.7),
            {"id": "3", "at": ["", ""], "site": None, "days": []},
        ]
        for one in entries:
            path = self.folder / f"{one['id']}.json"
            path.write_text(json.dumps(one))

    def test_table_has_one_row_per_figure_of_a_day(self) -> None:
        lines = table(choose_rounds(read_rounds(self.folder), []))
        worth = next(line for line in lines if "worth" in line)
        self.assertEqual(["scale-1", "worth", "0.500", "0.700"], worth.split())
        self.assertTrue(any("price of calls" in line for line in lines))
        self.assertFalse(any("memory" in line for line in lines))

    def test_unknown_entry_is_named(self) -> None:
        rounds = read_rounds(self.folder)
        err = self.assertRaises(
            SettingsError, choose_rounds, rounds, ["1", "9"]
        )
        self.assertIn("No round 9", str(err))

    def test_damaged_entry_is_named(self) -> None:
        (self.folder / "4.json").write_text('{"site": "x", "days": [1]}')
        err = self.assertRaises(SettingsError, read_rounds, self.folder)
        self.assertIn("4.json", str(err))

    def test_chart_is_drawn(self) -> None:
        path = self.folder / "worth.png"
        draw_chart(read_rounds(self.folder), path)
        self.assertTrue(path.read_bytes().startswith(b"\x89PNG"))
