"""Measurements, each a module of this package with ``measure(seed)``."""

from __future__ import annotations

import importlib
import pkgutil

from arbutusbridge.bench.report import Report

NOT_MEASUREMENTS = frozenset({"report"})
"""Public modules of the package that are not measurements."""


def list_measurements() -> list[str]:
    """Returns the names of all measurements, with dashes for underscores."""
    found = (module.name for module in pkgutil.iter_modules(__path__))
    return sorted(
        name.replace("_", "-") for name in found if is_measurement(name)
    )


def is_measurement(module: str) -> bool:
    """Returns whether a module of the package is a measurement."""
    return module not in NOT_MEASUREMENTS and not module.startswith("_")


def measure(name: str, seed: int) -> Report:
    """Runs one measurement by its name."""
    path = f"{__name__}.{name.replace('-', '_')}"
    report: Report = importlib.import_module(path).measure(seed)
    return report


__all__ = ["Report", "list_measurements", "measure"]
