"""Reports the failures listed in KNOWN-RED.txt as skipped and prints them."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import HealthCheck, settings

if TYPE_CHECKING:
    from collections.abc import Generator

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "


def read_known_failures() -> dict[str, str]:
    """Returns the lines of the listed tests by node id."""
    if not KNOWN_FAILURES_FILE.exists():
        return {}
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {
        line.removeprefix(ENTRY_PREFIX).split()[0]: line
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    }


KNOWN_FAILURES = read_known_failures()
OUTCOMES: dict[str, str] = {}


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: Any) -> Generator[None, Any, None]:
    """Reports the failure of a listed test as skipped."""
    outcome = yield
    report = outcome.get_result()
    if item.nodeid not in KNOWN_FAILURES or report.when != "call":
        return
    OUTCOMES[item.nodeid] = "still red" if report.failed else "GREEN: unlist it"
    if report.failed:
        report.outcome = "skipped"
        report.longrepr = (str(item.path), 0, "known red")


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Prints the outcome of each listed test that ran."""
    for nodeid, state in OUTCOMES.items():
        terminalreporter.write_line(f"KNOWN RED {nodeid}: {state}")


settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "long",
    deadline=None,
    max_examples=3000,
    stateful_step_count=80,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
