"""Command ``rounds``: compare measured rounds."""

from __future__ import annotations

from pathlib import Path

from arbutusbridge.bench._rounds import choose_rounds, draw_chart, table
from arbutusbridge.platform.journal import read_rounds


def rounds(journal: Path, *entries: str, picture: Path | None = None) -> int:
    """Compare rounds of the users' bench, day by day.

    Args:
      journal: Folder of the entries of the bench.
      entries: Ids of the rounds, by default the last two.
      picture: File for a chart of the worth of each day.

    Returns:
      0.
    """
    chosen = choose_rounds(read_rounds(journal), list(entries))
    print("\n".join(table(chosen)))
    if picture is not None:
        draw_chart(chosen, picture)
    return 0
