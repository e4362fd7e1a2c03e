"""Results of measurements as a Markdown page with charts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from arbutusbridge.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

CHART_DPI = 100
CHART_WIDTH_IN = 7.0
ROW_HEIGHT_IN = 0.45
MARGIN_HEIGHT_IN = 1.2

Result = dict[str, Any]
"""Object that a measurement prints as its last line."""


def read_results(path: Path) -> list[Result]:
    """Reads a file with one result per line.

    Raises:
      SettingsError: The file cannot be read or a line is not a result.
    """
    remedy = "Collect the last line that each bench prints."
    try:
        rows = path.read_text().splitlines()
    except OSError as err:
        raise SettingsError(f"{path}: {err.strerror}.", remedy) from err
    found = []
    for number, row in enumerate(rows, start=1):
        try:
            result = json.loads(row)
            _ = result["name"], result["figures"], result["bounds"]
        except (ValueError, KeyError, TypeError) as err:
            raise SettingsError(f"{path}:{number}: {err!r}.", remedy) from err
        found.append(result)
    return found


def write_page(folder: Path, results: list[Result]) -> Path:
    """Writes ``index.md`` and one chart for each result.

    Returns:
      The path of ``index.md``.
    """
    folder.mkdir(parents=True, exist_ok=True)
    parts = ["# Measurements", ""]
    for result in results:
        parts += render_section(folder, result)
    page = folder / "index.md"
    page.write_text("\n".join(parts) + "\n")
    return page


def render_section(folder: Path, result: Result) -> list[str]:
    """Returns the page's lines for one result and draws its chart."""
    status = "every bound holds" if result["holds"] else "a bound FAILS"
    lines = [
        f"## {result['name']}",
        "",
        f"Seed {result['seed']}; {status}.",
        "",
        "| figure | value | bound |",
        "| --- | --- | --- |",
    ]
    for name, value in result["figures"].items():
        bound = result["bounds"].get(name, "")
        lines.append(f"| {name} | {json.dumps(value)} | {bound} |")
    picture = draw_chart(folder, result)
    if picture:
        lines += ["", f"![{result['name']}]({picture})"]
    return [*lines, ""]


def select_numbers(result: Result) -> dict[str, float]:
    """Returns the figures that are numbers, without booleans."""
    return {
        name: float(value)
        for name, value in result["figures"].items()
        if isinstance(value, int | float) and not isinstance(value, bool)
    }


def parse_bound(text: str) -> float | None:
    """Returns the number of a bound such as ``<= 3.0``."""
    try:
        return float(text.split()[-1])
    except (ValueError, IndexError):
        return None


def draw_chart(folder: Path, result: Result) -> str | None:
    """Draws the figures as bars with their bounds.

    Returns:
      The file name, None without numeric figures or a plotting library.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError:
        return None
    values = select_numbers(result)
    if not values:
        return None
    height = MARGIN_HEIGHT_IN + ROW_HEIGHT_IN * len(values)
    figure = Figure(
        figsize=(CHART_WIDTH_IN, height), dpi=CHART_DPI, layout="tight"
    )
    axes = figure.subplots()
    names = list(values)
    axes.barh(names, list(values.values()), color="steelblue")
    for row, name in enumerate(names):
        bound = parse_bound(result["bounds"].get(name, ""))
        if bound is not None:
            axes.plot([bound, bound], [row - 0.4, row + 0.4], color="red")
    axes.invert_yaxis()
    axes.set_xscale("symlog")
    axes.set_title(f"{result['name']}, bounds in red")
    picture = f"{result['name']}.png"
    figure.savefig(folder / picture)
    return picture
