"""Runs a soak: starts an environment, injects faults and checks the record."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.soak import faults
from arbutusbridge.soak.environment import (
    EXPECTED_START_TIME_S,
    STOP_GRACE_S,
    STOP_TIMEOUT_S,
    SoakEnvironment,
    SoakShape,
)
from arbutusbridge.soak.guarantees import RECOVERY_TIMEOUT_S, Breach, check

if TYPE_CHECKING:
    from pathlib import Path

    from arbutusbridge.soak.record import SoakRecord

OBSERVATION_TAIL_S = (
    STOP_TIMEOUT_S
    + STOP_GRACE_S
    + EXPECTED_START_TIME_S
    + RECOVERY_TIMEOUT_S
    + 3.0
)
"""Duration of a run after the time within which faults begin. It allows for a
graceful stop, a restart and the recovery, and then for some seconds of
requests."""

SHAPES = (
    SoakShape({"north": 2, "central": 2, "south": 2}),
    SoakShape({"north": 1}, callers=6),
    SoakShape({"north": 7}, capacity=0.05, changes_ms=5000),
    SoakShape(
        {"north": 6, "central": 1, "south": 1},
        capacity=0.05,
        changes_ms=5000,
    ),
    SoakShape({"north": 1, "central": 1}, shards=(2, 30), capacity=0.4),
)
"""Deployments that a seed selects from: one like the users', a single instance,
two with a large data centre whose instances divide searches among each other
and get configurations from each other, and one with a set of many shards."""


LARGE_SHAPE = SoakShape(
    {"north": 70, "central": 70, "south": 60},
    callers=40,
    shards=(30, 40),
    capacity=0.1,
    changes_ms=5000,
)
"""Deployment at the limits of one machine."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one soak run.

    Attributes:
      seed: Seed of the run.
      breaches: Breaches of guarantees.
      requests: Number of callers' requests.
      served: Number of requests that got a success.
      crashed: Number of upstreams that requests have crashed.
      plan: Description of each fault.
      shape: Size of the deployment.
    """

    seed: int
    breaches: list[Breach]
    requests: int
    served: int
    crashed: int
    plan: list[str]
    shape: SoakShape


def run_soak(
    seed: int,
    folder: Path,
    fault_count: int = 10,
    fault_window_s: float = 12.0,
    shape: SoakShape | None = None,
    other_build: Path | None = None,
    evacuates: bool = False,
) -> SoakResult:
    """Runs one deployment under faults.

    Args:
      seed: Selects the deployment, the faults and the requests; the timing of
        the processes still differs between runs.
      folder: Folder for settings and logs.
      fault_count: Number of faults.
      fault_window_s: Time within which the faults begin.
      shape: Size of the deployment, selected by the seed if None.
      other_build: Folder that holds the package of another build. Half of the
        instances start with it, and some are updated or rolled back.
      evacuates: Whether a data centre is evacuated during the faults.
    """
    if shape is None:
        shape = random.Random(seed).choice(SHAPES)
    environment = SoakEnvironment(seed, shape, folder, other_build)
    planned_faults: list[str] = []

    def begin_faults() -> None:
        planned_faults.extend(
            faults.plan(environment, fault_count, fault_window_s, evacuates)
        )
        environment.schedule(fault_window_s + OBSERVATION_TAIL_S, finish)

    def finish() -> None:
        environment.record.soak_ended_at = environment.clock()
        environment.record_failed_restarts()
        environment.read_quarantine_refusals()
        environment.end()
        environment.stop()

    environment.begin(
        lambda: environment.schedule(faults.FIRST_FAULT_DELAY_S, begin_faults)
    )
    try:
        environment.run()
    finally:
        environment.end()
    return summarize(seed, environment.record, planned_faults, shape)


def summarize(
    seed: int, record: SoakRecord, planned_faults: list[str], shape: SoakShape
) -> SoakResult:
    """Checks the record and returns the result of the run."""
    answers = [one.answer for one in record.asked.values()]
    return SoakResult(
        seed,
        check(record),
        len(answers),
        sum(bool(one and one.is_success) for one in answers),
        len(record.crashes),
        planned_faults,
        shape,
    )
