"""Command ``replay``: replay a trace and check its expected outcomes."""

from __future__ import annotations

import json as json_codec
from pathlib import Path

from arbutusbridge.replay.player import Player
from arbutusbridge.replay.trace import load_trace
from arbutusbridge.settings import Register, RulesFile, load_model


def replay(
    trace: Path, *, config: Path, seed: int = 1, json: bool = False
) -> int:
    """Replay a trace in virtual time; the last line of output is JSON.

    Args:
      trace: Trace file, one JSON object a line.
      config: Folder with register.json and rules.json.
      seed: Seed of all random choices.
      json: Print only the last line.

    Returns:
      0 if every expected outcome and every guarantee held, else 1.
    """
    register = load_model(config / "register.json", Register)
    rules = load_model(config / "rules.json", RulesFile)
    totals = Player(register, rules, seed).play(load_trace(trace))
    if not json:
        for line in [*totals.unmet, *totals.findings.lines]:
            print(line)
    print(json_codec.dumps(totals.figures))
    return 0 if totals.holds else 1
