"""Entries of the users' bench, decoded into rounds."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from arbutusbridge.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class DayResult:
    """One day of a round.

    Attributes:
      name: Name of the day.
      worth: What its service was worth, less prices.
      served: Share of the credit owed that was earned.
      failed: Share of the requests that got no success.
      prices: Price of each matter, in worth.
    """

    name: str
    worth: float
    served: float
    failed: float
    prices: dict[str, float]


@dataclass(frozen=True, slots=True)
class MeasuredRound:
    """One measured round.

    Attributes:
      entry: Id of the journal's entry.
      at: When it began, as the journal has it.
      deployment: Name of the site.
      why: What was tried.
      days: The days played.
    """

    entry: str
    at: str
    deployment: str
    why: str
    days: tuple[DayResult, ...]


def read_rounds(folder: Path) -> list[MeasuredRound]:
    """Reads the entries of a journal that played days, the oldest first.

    Raises:
      SettingsError: An entry can't be read.
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
    """Decodes one day; prices come as name, amount and price."""
    # `G` is the credit less prices, printed as worth.
    return DayResult(
        day["name"],
        float(day["G"]),
        float(day["served"]),
        float(day["failed"]),
        {name: float(price) for name, _, price in day["prices"]},
    )
