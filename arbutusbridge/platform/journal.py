"""Decoding of the entries of the users' bench into rounds."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from arbutusbridge.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class DayResult:
    """Result of one day of a round.

    Attributes:
      name: Name of the day.
      worth: Value of its service, less prices.
      served: Fraction of the due credit that was earned.
      failed: Fraction of the requests without success.
      prices: Price of each item, in the unit of worth.
    """

    name: str
    worth: float
    served: float
    failed: float
    prices: dict[str, float]


@dataclass(frozen=True, slots=True)
class MeasuredRound:
    """Measured round.

    Attributes:
      entry: Id of the journal entry.
      at: Start time as recorded in the journal.
      deployment: Name of the site.
      why: Purpose of the round.
      days: Results of its days.
    """

    entry: str
    at: str
    deployment: str
    why: str
    days: tuple[DayResult, ...]


def read_rounds(folder: Path) -> list[MeasuredRound]:
    """Reads the journal entries that contain days, oldest first.

    Raises:
      SettingsError: An entry cannot be read.
    """
    rounds = []
    for path in sorted(folder.glob("*.json")):
        try:
            entry = json.loads(path.read_text())
            if entry.get("site") and entry.get("days"):
                rounds.append(decode_round(entry))
        except (OSError, ValueError, LookupError, TypeError) as err:
            raise SettingsError(
                f"{path}: {err!r}.", "Restore the entry as it was written."
            ) from err
    return rounds


def decode_round(entry: dict[str, Any]) -> MeasuredRound:
    """Decodes one entry."""
    return MeasuredRound(
        entry["id"],
        entry["at"][0],
        entry["site"],
        entry["why"] or "",
        tuple(decode_day(day) for day in entry["days"]),
    )


def decode_day(day: dict[str, Any]) -> DayResult:
    """Decodes one day; prices are lists of name, amount and price."""
    # `G` is the credit less prices, reported as worth.
    return DayResult(
        day["name"],
        float(day["G"]),
        float(day["served"]),
        float(day["failed"]),
        {name: float(price) for name, _, price in day["prices"]},
    )
