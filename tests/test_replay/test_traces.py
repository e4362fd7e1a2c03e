"""The sample traces of both deployments meet their expectations."""

from __future__ import annotations

from pathlib import Path

import pytest

from arbutusbridge.replay import samples
from arbutusbridge.replay.player import Player
from arbutusbridge.replay.trace import load_trace
from arbutusbridge.settings import Register, RulesFile, load_model

TRACES = Path(__file__).parent.parent / "traces"
SEED = 1


@pytest.mark.parametrize("deployment", ["saddleback", "surco"])
@pytest.mark.parametrize("name", sorted(samples.TRACES))
def test_trace_meets_expectations(deployment: str, name: str) -> None:
    folder = TRACES / deployment
    register = load_model(folder / "register.json", Register)
    rules = load_model(folder / "rules.json", RulesFile)
    lines = load_trace(folder / f"{name}.jsonl")
    result = Player(register, rules, SEED).play(lines)
    assert result.unmet == []
    assert result.findings.lines == []


def test_committed_traces_equal_generated_samples(
    tmp_path: Path,
) -> None:
    samples.write_samples(tmp_path)
    for generated in tmp_path.rglob("*.json*"):
        committed = TRACES / generated.relative_to(tmp_path)
        assert committed.read_text() == generated.read_text()
