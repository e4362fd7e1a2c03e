"""Report of one measurement."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Report:
    """Figures of one measurement and their bounds.

    Attributes:
      name: Name of the measurement.
      seed: Seed of the run.
      figures: Measured values by name.
      bounds: Bound of a figure as text, by figure name.
      failures: Names of the figures whose bounds do not hold.
    """

    name: str
    seed: int
    figures: dict[str, Any] = field(default_factory=dict)
    bounds: dict[str, str] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)

    @property
    def holds(self) -> bool:
        """Whether every bound holds."""
        return not self.failures

    def at_most(self, figure: str, bound: float) -> None:
        """Adds an upper bound of a figure and checks it."""
        self.bounds[figure] = f"<= {bound}"
        if not self.figures[figure] <= bound:
            self.failures.append(figure)

    def at_least(self, figure: str, bound: float) -> None:
        """Adds a lower bound of a figure and checks it."""
        self.bounds[figure] = f">= {bound}"
        if not self.figures[figure] >= bound:
            self.failures.append(figure)

    def as_json(self) -> dict[str, Any]:
        """Returns the object that the command prints last."""
        return {
            "name": self.name,
            "seed": self.seed,
            "figures": self.figures,
            "bounds": self.bounds,
            "holds": self.holds,
        }
