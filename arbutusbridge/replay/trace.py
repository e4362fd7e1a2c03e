"""Format of traces: requests with their expectations, and events."""

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
    """Expectation on the answer to a request; every field is optional.

    Attributes:
      outcome: Allowed outcome, or a list of them.
      min_coverage: Minimum coverage, 0 to 1.
      max_coverage: Maximum coverage, 0 to 1.
      max_latency_ms: Maximum latency, in milliseconds.
      snapshot: Snapshot that the answer must be computed on.
    """

    outcome: str | list[str] | None = None
    min_coverage: float | None = Field(default=None, ge=0, le=1)
    max_coverage: float | None = Field(default=None, ge=0, le=1)
    max_latency_ms: float | None = Field(default=None, gt=0)
    snapshot: int | None = None

    @property
    def outcomes(self) -> tuple[Outcome, ...]:
        """The allowed outcomes, empty if any is allowed."""
        if self.outcome is None:
            return ()
        allowed = self.outcome
        values = [allowed] if isinstance(allowed, str) else allowed
        return tuple(Outcome(value) for value in values)


class TraceRequest(StrictModel):
    """A caller's request.

    Attributes:
      at_ms: Time of arrival, in milliseconds from the start of the trace.
      id: Identifier, unique in the trace.
      instance: Instance that receives the request.
      caller: Caller name that the rules refer to.
      service: Service to search or to record to.
      kind: Whether it is a search or a non-idempotent record.
      key: Idempotency key, for records only.
      query: Query of a search, or content of a record.
      deadline_ms: The caller's own deadline in milliseconds, or None to use
        the one of the rules.
      expect: Expectation on the answer.
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
    """A fault, or a change of the configuration or of an index.

    Attributes:
      at_ms: Time at which it begins, in milliseconds from the start of the
        trace.
      event: Name of the event.
      target: Upstream, service, data centre or instance that is affected.
      for_ms: Duration in milliseconds, to the end of the trace if omitted;
        for flips and repartitions the time that they are spread over.
      factor: Factor by which an upstream or the store is slower.
      snapshot: Snapshot that a flip moves to.
      epoch: Layout epoch that a repartition moves to, 0 for the newest.
      keep_ms: Milliseconds for which the previous version is still served.
      load: False load that is reported.
      query: Query that crashes the upstreams that run it.
      kill: Whether an instance restarts without a graceful stop.
      rules: Rules to publish with the initial register.
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
        """The duration in seconds, 0 if it is omitted."""
        return (self.for_ms or 0.0) / 1000


TraceLine = TraceRequest | TraceEvent


def load_trace(path: Path) -> list[TraceLine]:
    """Reads and validates a trace file.

    Raises:
      SettingsError: The file is not readable, a line is invalid, or the lines
        are not sorted by time.
    """
    lines: list[TraceLine] = []
    at_ms = 0.0
    try:
        text = path.read_text()
    except OSError as err:
        raise SettingsError(
            f"{path}: {err.strerror}.",
            "Give the path of a readable trace file.",
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
    """Parses and validates one line.

    Args:
      row: Text of the line.
      place: Location of the line, for error messages.

    Raises:
      SettingsError: The line is invalid.
    """
    try:
        data = json.loads(row)
        is_event = isinstance(data, dict) and "event" in data
        model: Any = TraceEvent if is_event else TraceRequest
        line: TraceLine = TypeAdapter(model).validate_json(row)
    except ValidationError as err:
        detail = err.errors()[0]
        field_path = format_path(detail["loc"]) or "line"
        raise SettingsError(
            f"{place}: {field_path}: {detail['msg']}.",
            "Correct this line of the trace.",
        ) from err
    except ValueError as err:
        raise SettingsError(
            f"{place}: {err}.", "Write the line as a JSON object."
        ) from err
    if isinstance(line, TraceRequest):
        check_request(line, place)
    return line


def check_request(line: TraceRequest, place: str) -> None:
    """Checks the rules that involve several fields of a request.

    Raises:
      SettingsError: The request breaks one of them.
    """
    if (line.kind == "record") != (line.key is not None):
        raise SettingsError(
            f"{place}: key: records need one, searches must have none.",
            "Add or remove the key.",
        )
    try:
        _ = line.expect.outcomes
    except ValueError as err:
        raise SettingsError(
            f"{place}: expect.outcome: {err}.",
            f"Use one of {', '.join(Outcome)}.",
        ) from err
