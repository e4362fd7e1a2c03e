"""Comparison of measured rounds, as a table and as a chart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

    from arbutusbridge.platform.journal import DayResult, MeasuredRound

MIN_LISTED_PRICE = 0.005
"""Minimum price at which a cost item gets a row in the table."""

CHART_SIZE_IN = (9.0, 4.0)
CHART_DPI = 100


def choose_rounds(
    rounds: list[MeasuredRound], entry_ids: list[str]
) -> list[MeasuredRound]:
    """Returns the rounds with the given ids, in the given order.

    Args:
      rounds: All rounds.
      entry_ids: Ids of journal entries; without any, the last two rounds are
        returned.

    Raises:
      SettingsError: An id is unknown.
    """
    if not entry_ids:
        return rounds[-2:]
    rounds_by_id = {measured.entry: measured for measured in rounds}
    missing = [entry for entry in entry_ids if entry not in rounds_by_id]
    if missing:
        raise SettingsError(
            f"No round {', '.join(missing)}.",
            "Name entries of the journal that contain days.",
        )
    return [rounds_by_id[entry] for entry in entry_ids]


def table(rounds: list[MeasuredRound]) -> list[str]:
    """Returns the lines of a table with a row for each day and figure."""
    lines = [
        f"{measured.entry}  {measured.at}  {measured.deployment}  "
        f"{measured.why}"
        for measured in rounds
    ]
    head = "".join(f"{measured.entry:>12}" for measured in rounds)
    lines += ["", f"{'day':<12}{'figure':<34}{head}"]
    for name in list_day_names(rounds):
        days = [find_day(measured, name) for measured in rounds]
        rows: dict[str, list[float | None]] = {
            "worth": [day.worth if day else None for day in days],
            "served": [day.served if day else None for day in days],
            "failed": [day.failed if day else None for day in days],
        }
        for item in find_cost_items(days):
            rows[f"price of {item}"] = [
                day.prices.get(item) if day else None for day in days
            ]
        for figure, values in rows.items():
            cells = "".join(f"{format_cell(value):>12}" for value in values)
            lines.append(f"{name:<12}{figure:<34}{cells}")
    return lines


def list_day_names(rounds: list[MeasuredRound]) -> list[str]:
    """Returns the names of all days in the order of their first appearance."""
    return list(
        dict.fromkeys(day.name for measured in rounds for day in measured.days)
    )


def find_day(measured: MeasuredRound, name: str) -> DayResult | None:
    """Returns the day of a round by its name, None if it has none."""
    return next((day for day in measured.days if day.name == name), None)


def find_cost_items(days: list[DayResult | None]) -> list[str]:
    """Returns the cost items whose price is high enough on some day."""
    found = {
        item: None
        for day in days
        if day is not None
        for item, price in day.prices.items()
        if price >= MIN_LISTED_PRICE
    }
    return list(found)


def format_cell(value: float | None) -> str:
    """Returns a figure as text, ``-`` for None."""
    return "-" if value is None else f"{value:.3f}"


def draw_chart(rounds: list[MeasuredRound], path: Path) -> None:
    """Draws the worth of each day, with one bar for each round.

    Args:
      rounds: Rounds to compare.
      path: File that the chart is written to.

    Raises:
      SettingsError: The plotting library is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as err:
        raise SettingsError(
            "Charts need matplotlib.", "pip install arbutusbridge[report]"
        ) from err
    names = list_day_names(rounds)
    figure = Figure(figsize=CHART_SIZE_IN, dpi=CHART_DPI)
    axes = figure.subplots()
    width = 0.8 / len(rounds)
    for place, measured in enumerate(rounds):
        days = [find_day(measured, name) for name in names]
        axes.bar(
            [number + place * width for number in range(len(names))],
            [day.worth if day else 0.0 for day in days],
            width,
            label=f"{measured.entry} {measured.why[:40]}",
        )
    axes.set_xticks(range(len(names)), names)
    axes.set_ylabel("worth")
    axes.legend(fontsize="small")
    figure.savefig(path)
