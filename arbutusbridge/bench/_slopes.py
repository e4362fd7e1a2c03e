"""Marginal costs as slopes of lines fitted to at least three sizes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_SIZES = 3


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line fitted to measured values.

    Attributes:
      name: Name of the measured quantity.
      unit: Unit of the values.
      per: Name of the item that the sizes count.
      sizes: Sizes at which the quantity was measured.
      values: Value at each size.
      slope: Increase of the value for one more item.
      intercept: Value at size 0.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float

    @classmethod
    def from_measurements(
        cls,
        name: str,
        unit: str,
        per: str,
        sizes: tuple[int, ...],
        value_at: Callable[[int], float],
    ) -> Slope:
        """Measures the value at each size and fits the least-squares line.

        Args:
          name: Name of the measured quantity.
          unit: Unit of the values.
          per: Name of the item that the sizes count.
          sizes: Sizes to measure at.
          value_at: Measures the value at one size.

        Raises:
          ValueError: There are fewer than three sizes.
        """
        if len(sizes) < MIN_SIZES:
            raise ValueError(f"{name} has only {len(sizes)} sizes")
        values = tuple(value_at(size) for size in sizes)
        slope, intercept = fit_line(sizes, values)
        return cls(name, unit, per, sizes, values, slope, intercept)

    def at(self, size: float) -> float:
        """Returns the line's value at a size."""
        return self.intercept + self.slope * size

    def text(self) -> str:
        """Returns the points and the line as one line of text."""
        points = ", ".join(
            f"{size}: {value:.4g}"
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return (
            f"{points} {self.unit}; {self.slope:.4g} {self.unit} "
            f"a {self.per}, {self.intercept:.4g} fixed"
        )


def fit_line(
    sizes: tuple[int, ...], values: tuple[float, ...]
) -> tuple[float, float]:
    """Returns the slope and the intercept of the least-squares line."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    numerator = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    denominator = sum((size - mean_size) ** 2 for size in sizes)
    slope = numerator / denominator
    return slope, mean_value - slope * mean_size
