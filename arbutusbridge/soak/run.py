"""One run of the soak: a world, its faults and the verdict."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.soak import faults
from arbutusbridge.soak.observers import RECOVER_S, Breach, check
from arbutusbridge.soak.world import (
    READY_S,
    STOP_S,
    STOP_SLACK_S,
    Shape,
    World,
)

if TYPE_CHECKING:
    from pathlib import Path

    from arbutusbridge.soak.record import Record

AFTER_S = STOP_S + STOP_SLACK_S + READY_S + RECOVER_S + 3.0
"""Time after the last fault: a stop that begins then ends, the instance starts
again, and what is served after the recovery is seen for some seconds."""

SHAPES = (
    Shape({"north": 2, "central": 2, "south": 2}),
    Shape({"north": 1}, callers=6),
    Shape({"north": 7}, capacity=0.05, changes_ms=5000),
    Shape(
        {"north": 6, "central": 1, "south": 1},
        capacity=0.05,
        changes_ms=5000,
    ),
    Shape({"north": 1, "central": 1}, shards=(2, 30), capacity=0.4),
)
"""Deployments that seeds draw from: of the users' kinds, of one instance, and
large data centres whose instances share searches and follow each other."""


LARGE = Shape(
    {"north": 70, "central": 70, "south": 60},
    callers=40,
    shards=(30, 40),
    capacity=0.1,
    changes_ms=5000,
)
"""A run at the limits of one machine."""


@dataclass(frozen=True, slots=True)
class Verdict:
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
    shape: Shape


def play(
    seed: int,
    folder: Path,
    fault_count: int = 10,
    fault_s: float = 12.0,
    shape: Shape | None = None,
) -> Verdict:
    """Plays one run.

    Args:
      seed: Decides the deployment, the faults and the requests; the timing of
        the processes differs from run to run.
      folder: Where settings and logs go.
      fault_count: Faults.
      fault_s: Time within which they begin.
      shape: The deployment, drawn if None.
    """
    if shape is None:
        shape = random.Random(seed).choice(SHAPES)
    world = World(seed, shape, folder)
    planned: list[str] = []

    def begin_faults() -> None:
        planned.extend(faults.plan(world, fault_count, fault_s))
        world.later(fault_s + AFTER_S, finish)

    def finish() -> None:
        world.record.ended = world.clock()
        world.note_missing()
        world.end()
        world.stop()

    world.begin(lambda: world.later(faults.FIRST_S, begin_faults))
    try:
        world.run()
    finally:
        world.end()
    return judge(seed, world.record, planned, shape)


def judge(
    seed: int, record: Record, planned: list[str], shape: Shape
) -> Verdict:
    """Returns the verdict on what was seen."""
    answers = [one.answer for one in record.asked.values()]
    return Verdict(
        seed,
        check(record),
        len(answers),
        sum(bool(one and one.good) for one in answers),
        planned,
        shape,
    )
