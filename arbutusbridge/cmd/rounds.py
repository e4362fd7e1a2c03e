"""Command ``rounds``: set measured rounds beside each other."""

from __future__ import annotations

from pathlib import Path

from arbutusbridge.bench._rounds import choose, draw, table
from arbutusbridge.platform.journal import read_rounds


def rounds(journal: Path, *entries: str, picture: Path | None = None) -> int:
    """Set rounds of the users' bench beside each other, day by day.

    Args:
      journal: Folder of the bench's entries.
      entries: Ids of the rounds; the last two if none are given.
      picture: File for a picture of the days' worth.

    Returns:
      0.
    """
    chosen = choose(read_rounds(journal), list(entries))
    print("\n".join(table(chosen)))
    if picture is not None:
        draw(chosen, picture)
    return 0
