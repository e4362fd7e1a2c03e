"""Request models and JSON responses of the caller API."""

from __future__ import annotations

from typing import Any, TypeVar

import orjson
from pydantic import Field, ValidationError
from result import Err, Ok, Result

from arbutusbridge.core.messages import Answer, ExecutionStatus, Outcome
from arbutusbridge.settings.base import Name, StrictModel
from arbutusbridge.settings.loader import format_path

ModelT = TypeVar("ModelT", bound=StrictModel)

HTTP_STATUS_BY_OUTCOME = {
    Outcome.COMPLETE: 200,
    Outcome.PARTIAL: 206,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
    Outcome.REFUSED_DUPLICATE: 409,
    Outcome.QUARANTINED: 422,
}
"""HTTP status of each outcome."""


class SearchBody(StrictModel):
    """Body of ``POST /v1/search``."""

    caller: Name
    service: Name
    query: Any
    deadline_ms: float | None = Field(default=None, gt=0, le=600_000)


class RecordBody(StrictModel):
    """Body of ``POST /v1/records``."""

    caller: Name
    service: Name
    record: Any
    deadline_ms: float | None = Field(default=None, gt=0, le=600_000)


def parse_body(
    body: bytes, model: type[ModelT], nesting: int
) -> Result[ModelT, str]:
    """Validates a request body.

    Args:
      body: The body as JSON.
      model: Model of the body.
      nesting: Maximum nesting depth.

    Returns:
      The validated body, or an error that names the field and the problem.
    """
    try:
        data = orjson.loads(body)
    except ValueError as err:
        return Err(f"not JSON: {err}")
    if nesting_depth(data) > nesting:
        return Err(f"nested more than {nesting} deep")
    try:
        return Ok(model.model_validate(data))
    except ValidationError as err:
        detail = err.errors()[0]
        return Err(f"{format_path(detail['loc'])}: {detail['msg']}")


def nesting_depth(value: Any) -> int:
    """Returns the nesting depth of lists and objects, 0 for a scalar."""
    depth = 0
    level = [value]
    while True:
        children: list[Any] = []
        for item in level:
            if isinstance(item, dict):
                children.extend(item.values())
            elif isinstance(item, list):
                children.extend(item)
        if not any(isinstance(item, dict | list) for item in level):
            return depth
        depth += 1
        level = children


def encode_answer(answer: Answer) -> bytes:
    """Encodes an answer as the JSON response to a caller."""
    fields: dict[str, Any] = {
        "request_id": answer.request_id,
        "outcome": answer.outcome.value,
        "ran": answer.ran.value,
        "snapshot": answer.snapshot,
        "epoch": answer.epoch,
        "coverage": answer.coverage,
        "missing": answer.missing,
        "hits": answer.hits,
        "config_version": answer.config_version,
    }
    if answer.result is not None:
        fields["result"] = answer.result
    if answer.reason:
        fields["reason"] = answer.reason
        fields["remedy"] = answer.remedy
    if answer.retry_after_ms is not None:
        fields["retry_after_ms"] = answer.retry_after_ms
    return orjson.dumps(fields)


def encode_error(
    reason: str,
    detail: str,
    remedy: str,
    ran: ExecutionStatus = ExecutionStatus.NO,
) -> bytes:
    """Encodes the JSON response to a request that was refused or failed."""
    outcome = Outcome.NOT_RUN if ran is ExecutionStatus.NO else Outcome.UNKNOWN
    return orjson.dumps(
        {
            "outcome": outcome.value,
            "ran": ran.value,
            "reason": reason,
            "detail": detail,
            "remedy": remedy,
        }
    )
