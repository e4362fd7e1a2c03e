"""Trace lines: requests with their expected outcome, faults and changes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Literal

from pydantic import Field, TypeAdapter, ValidationError

from arbutusbridge.core.messages import Outcome
from arbutusbridge.errors import SettingsError
from arbutusbridge.settings.base import Name, StrictModel
from arbutusbridge.settings.loader import format_path
from arbutusbridge.settings.rules import RulesFile

if TYPE_CHECKING:
    from pathlib import Path


class Expectation(StrictModel):
    """What a trace states of one request's outcome; all of it optional."""

    outcome: str | list[str] | None = None
    min_coverage: float | None = Field(default=None, ge=0, le=1)
    max_coverage: float | None = Field(default=None, ge=0, le=1)
    max_latency_ms: float | None = Field(default=None, gt=0)
    snapshot: int | None = None

    @property
    def outcomes(self) -> tuple[Outcome, ...]:
        """The outcomes allowed, empty for any."""
        if self.outcome is None:
            return ()
        named = self.outcome
        listed = [named] if isinstance(named, str) else named
        return tuple(Outcome(one) for one in listed)


class TraceRequest(StrictModel):
    """A caller's request.

    Attributes:
      at_ms: When it arrives.
      id: Its name; unique in the trace.
      instance: Where it arrives.
      caller: Name that the rules know.
      service: Service asked.
      kind: Whether it is a search or a non-idempotent record.
      key: Idempotency key, for records only.
      query: What is asked or recorded.
      deadline_ms: The caller's own limit, or None for the rules' one.
      expect: The stated outcome.
    """

    at_ms: float = Field(ge=0)
    id: str
    instance: Name
    caller: Name
    service: Name
    kind: Literal["search", "record"]
    key: str | None = None
    query: Any = None
    deadline_ms: float | None = Field(default=None, gt=0)
    expect: Expectation = Expectation()


EventName = Literal[
    "slow",
    "crash",
    "restart",
    "drain",
    "shed",
    "flip_snapshot",
    "repartition",
    "misreport_load",
    "poison",
    "store_down",
    "store_slow",
    "store_lose_replies",
    "partition",
    "pause_instance",
    "restart_instance",
    "publish",
]


class TraceEvent(StrictModel):
    """A fault or change.

    Attributes:
      at_ms: When it begins.
      event: What happens.
      target: Upstream, service, data centre or instance it happens to.
      for_ms: How long it lasts, to the end if left out; for flips and
        repartitions the time that they are spread over.
      factor: How many times slower.
      snapshot: Snapshot that is flipped to.
      epoch: Epoch that a repartition moves to.
      keep_ms: How long the version before is still served.
      load: Load that is reported falsely.
      query: Query that crashes the upstreams that run it.
      kill: Whether an instance restarts without a planned stop.
      rules: Rules to publish with the register of the start.
    """

    at_ms: float = Field(ge=0)
    event: EventName
    target: str = ""
    for_ms: float | None = Field(default=None, ge=0)
    factor: float = Field(default=10, gt=0)
    snapshot: int = Field(default=0, ge=0)
    epoch: int = Field(default=0, ge=0)
    keep_ms: float = Field(default=500, ge=0)
    load: float = Field(default=0, ge=0)
    query: Any = None
    kill: bool = False
    rules: RulesFile | None = None

    @property
    def seconds(self) -> float:
        """The time that it lasts or is spread over, 0 if left out."""
        return (self.for_ms or 0.0) / 1000


TraceLine = TraceRequest | TraceEvent


def load_trace(path: Path) -> list[TraceLine]:
    """Reads a trace.

    Raises:
      SettingsError: A line does not validate, or times do not rise.
    """
    lines: list[TraceLine] = []
    at_ms = 0.0
    try:
        text = path.read_text()
    except OSError as err:
        raise SettingsError(
            f"{path}: {err.strerror}.", "Name a trace that can be read."
        ) from err
    for number, row in enumerate(text.splitlines(), start=1):
        if not row.strip():
            continue
        line = parse_line(row, f"{path}:{number}")
        if line.at_ms < at_ms:
            raise SettingsError(
                f"{path}:{number}: at_ms {line.at_ms} is before {at_ms}.",
                "Sort the lines by at_ms.",
            )
        at_ms = line.at_ms
        lines.append(line)
    return lines


def parse_line(row: str, place: str) -> TraceLine:
    """Validates one line.

    Raises:
      SettingsError: It does not validate.
    """
    try:
        data = json.loads(row)
        is_event = isinstance(data, dict) and "event" in data
        model: Any = TraceEvent if is_event else TraceRequest
        line: TraceLine = TypeAdapter(model).validate_json(row)
    except ValidationError as err:
        detail = err.errors()[0]
        where = format_path(detail["loc"]) or "line"
        raise SettingsError(
            f"{place}: {where}: {detail['msg']}.", "Correct the line."
        ) from err
    except ValueError as err:
        raise SettingsError(f"{place}: {err}.", "Write it as JSON.") from err
    if isinstance(line, TraceRequest):
        check_request(line, place)
    return line


def check_request(line: TraceRequest, place: str) -> None:
    """Checks what the fields of a request say together."""
    if (line.kind == "record") != (line.key is not None):
        raise SettingsError(
            f"{place}: key: records have one, searches have none.",
            "Add or drop the key.",
        )
    try:
        _ = line.expect.outcomes
    except ValueError as err:
        raise SettingsError(
            f"{place}: expect.outcome: {err}.",
            f"Name one of {', '.join(Outcome)}.",
        ) from err
