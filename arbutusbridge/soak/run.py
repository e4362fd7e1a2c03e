"""One run of the soak: an environment, its faults and the result."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.soak import faults
from arbutusbridge.soak.environment import (
    EXPECTED_START_S,
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
    STOP_TIMEOUT_S + STOP_GRACE_S + EXPECTED_START_S + RECOVERY_TIMEOUT_S + 3.0
)
"""Time after the last fault: a stop that begins then ends, the instance starts
again, and what is served after the recovery is seen for some seconds."""

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
"""Deployments that seeds draw from: of the users' kinds, of one instance, and
large data centres whose instances share searches and follow each other."""


LARGE_SHAPE = SoakShape(
    {"north": 70, "central": 70, "south": 60},
    callers=40,
    shards=(30, 40),
    capacity=0.1,
    changes_ms=5000,
)
"""A run at the limits of one machine."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """How a run went.

    Attributes:
      seed: Its seed.
      breaches: Promises that were not kept.
      requests: Requests of callers.
      served: Those with a success.
      plan: The faults.
      shape: The deployment.
    """

    seed: int
    breaches: list[Breach]
    requests: int
    served: int
    plan: list[str]
    shape: SoakShape


def run_soak(
    seed: int,
    folder: Path,
    fault_count: int = 10,
    fault_window_s: float = 12.0,
    shape: SoakShape | None = None,
) -> SoakResult:
    """Plays one run.

    Args:
      seed: Decides the deployment, the faults and the requests; the timing of
        the processes differs from run to run.
      folder: Where settings and logs go.
      fault_count: Faults.
      fault_window_s: Time within which they begin.
      shape: The deployment, drawn if None.
    """
    if shape is None:
        shape = random.Random(seed).choice(SHAPES)
    environment = SoakEnvironment(seed, shape, folder)
    planned_faults: list[str] = []

    def begin_faults() -> None:
        planned_faults.extend(
            faults.plan(environment, fault_count, fault_window_s)
        )
        environment.schedule(fault_window_s + OBSERVATION_TAIL_S, finish)

    def finish() -> None:
        environment.record.run_ended_at = environment.clock()
        environment.record_missing_instances()
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
    """Returns the verdict on what was seen."""
    answers = [one.answer for one in record.asked.values()]
    return SoakResult(
        seed,
        check(record),
        len(answers),
        sum(bool(one and one.is_success) for one in answers),
        planned_faults,
        shape,
    )
