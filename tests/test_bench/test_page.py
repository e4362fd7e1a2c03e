"""Tests of the page of measurements."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from arbutusbridge.bench import Report
from arbutusbridge.bench._page import read_results, write_page
from arbutusbridge.errors import SettingsError


def test_page_shows_figures_bounds_and_a_chart(tmp_path: Path) -> None:
    report = Report("tail", 1, {"p99_ms": 70.0, "note": "x"})
    report.at_most("p99_ms", 65.0)
    page = write_page(tmp_path, [report.as_json()]).read_text()
    assert "| p99_ms | 70.0 | <= 65.0 |" in page
    assert "a bound FAILS" in page
    assert (tmp_path / "tail.png").stat().st_size > 0


def test_error_names_the_line_of_an_invalid_result(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    path.write_text(json.dumps(Report("a", 1).as_json()) + "\n{}\n")
    with pytest.raises(SettingsError, match=r"results\.jsonl:2"):
        read_results(path)
