"""Command ``bench``: run one measurement, or write a report of many."""

from __future__ import annotations

import json as json_codec
import sys
from pathlib import Path

from arbutusbridge.bench import list_measurements, measure
from arbutusbridge.bench._page import read_results, write_page

EXIT_USAGE = 2


def bench(
    name: str,
    folder: Path | None = None,
    *,
    seed: int = 1,
    json: bool = False,
    results: Path | None = None,
) -> int:
    """Run one measurement and print its figures; the last line is JSON.

    ``bench list`` prints the names of all measurements. ``bench report FOLDER``
    writes a page with tables and charts. It runs every measurement, or uses
    the given results.

    Args:
      name: Name of the measurement, ``list`` or ``report``.
      folder: Folder to which ``report`` writes its page.
      seed: Seed of all random choices.
      json: Print only the last line.
      results: File with the last lines of earlier measurements, for ``report``.

    Returns:
      0 if all bounds hold, 1 if not, 2 for wrong usage.
    """
    if name == "list":
        print("\n".join(list_measurements()))
        return 0
    if name == "report":
        return report(folder, seed, results)
    if name not in list_measurements():
        print(
            f"No bench measurement is named {name}. Remedy: bench list.",
            file=sys.stderr,
        )
        return EXIT_USAGE
    measurement = measure(name, seed)
    if not json:
        for key, value in measurement.figures.items():
            print(f"{key}: {value}")
    print(json_codec.dumps(measurement.as_json()))
    return 0 if measurement.holds else 1


def report(folder: Path | None, seed: int, results: Path | None) -> int:
    """Writes the page of all measurements, or of earlier results."""
    if folder is None:
        print("No folder given. Remedy: bench report FOLDER.", file=sys.stderr)
        return EXIT_USAGE
    if results is not None:
        measured = read_results(results)
    else:
        measured = [
            measure(name, seed).as_json() for name in list_measurements()
        ]
    page = write_page(folder, measured)
    print(page)
    return 0 if all(result["holds"] for result in measured) else 1
