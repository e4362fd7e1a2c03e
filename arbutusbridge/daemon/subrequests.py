"""Write sub-requests for upstreams and read what they reply."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from arbutusbridge.core.messages import Reply, ReplyKind
from arbutusbridge.daemon.bodies import nesting_depth
from arbutusbridge.daemon.wire import encode_post, encode_request

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Attempt, Version

REPLY_KIND_BY_STATUS = {
    200: ReplyKind.RESULT,
    409: ReplyKind.NOT_HELD,
    410: ReplyKind.LEAVING,
    429: ReplyKind.SHED,
    499: ReplyKind.CANCELLED,
    504: ReplyKind.EXPIRED,
}
"""What an upstream's HTTP status says of an attempt."""

MAX_NESTING_DEPTH = 100
"""Deepest nesting in a reply; orjson can't write much deeper values."""

NONE_TYPE = type(None)
OPTIONAL_TEXT = (str, NONE_TYPE)
OPTIONAL_LIST = (list, NONE_TYPE)
OPTIONAL_NUMBER = (float, int, NONE_TYPE)

STATUS_REQUEST = encode_request("GET", "/v1/status", b"", "upstream")


@dataclass(slots=True)
class StatusReport:
    """What an upstream reports of itself.

    Attributes:
      upstream: Its name.
      held: Versions it serves, by service.
      load: Busy slots over slots.
      leaving: Whether it is being taken away.
      incarnation: Greater for each start of it, 0 when it tells none.
    """

    upstream: str
    held: dict[str, tuple[Version, ...]]
    load: float | None
    leaving: bool
    incarnation: int = 0


def encode_attempt(attempt: Attempt, body: bytes, now: float) -> bytes:
    """Writes an attempt as a request.

    Args:
      attempt: The attempt.
      body: Its body as JSON.
      now: The deadline goes along as the time that is left.

    Returns:
      The request's bytes.
    """
    fields = {
        "attempt": attempt.attempt_id,
        "service": attempt.service,
        "shard": attempt.shard,
        "epoch": attempt.version[0],
        "snapshot": attempt.version[1],
        "deadline_ms": max(0.0, (attempt.deadline - now) * 1000),
        "body": orjson.Fragment(body),
    }
    if attempt.key is None:
        return encode_post("/v1/search", orjson.dumps(fields))
    fields["key"] = attempt.key
    return encode_post("/v1/record", orjson.dumps(fields))


def encode_cancel(attempt_id: int) -> bytes:
    """Writes the cancellation of an attempt."""
    return encode_post("/v1/cancel", orjson.dumps({"attempt": attempt_id}))


def decode_reply(
    upstream: str, attempt_id: int, status: int, body: bytes
) -> Reply:
    """Reads a response; anything off the protocol is an invalid reply."""
    try:
        data = load_json(body)
        return build_reply(
            upstream, attempt_id, REPLY_KIND_BY_STATUS[status], data
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return Reply(attempt_id, upstream, ReplyKind.INVALID)


def build_reply(
    upstream: str, attempt_id: int, kind: ReplyKind, data: Any
) -> Reply:
    """Builds a reply from fields of the right kinds.

    The checks stand in one place, because calls cost more than they do and
    every sub-request pays for them.

    Raises:
      ValueError: A field is of another kind, or of another attempt.
    """
    get = data.get
    epoch, snapshot, shard = get("epoch", 0), get("snapshot", 0), get("shard")
    held, hits, load = get("held"), get("hits"), get("load")
    retry_after_ms = get("retry_after_ms")
    incarnation = get("incarnation", 0)
    if (
        data["attempt"] != attempt_id
        or type(epoch) is not int
        or type(snapshot) is not int
        or type(incarnation) is not int
        or type(shard) not in OPTIONAL_TEXT
        or type(hits) not in OPTIONAL_LIST
        or type(load) not in OPTIONAL_NUMBER
        or type(retry_after_ms) not in OPTIONAL_NUMBER
    ):
        raise ValueError("a field of another kind, or of another attempt")
    for hit in hits or ():
        if type(hit) is not dict:
            raise ValueError("a hit is not an object")
    return Reply(
        attempt_id,
        upstream,
        kind,
        (epoch, snapshot),
        shard or "",
        hits or [],
        None if held is None else parse_versions(held),
        load,
        retry_after_ms,
        get("result"),
        incarnation,
    )


def decode_status_report(upstream: str, body: bytes) -> StatusReport | None:
    """Reads a status response, None if it is off the protocol."""
    try:
        data = load_json(body)
        held = {
            service: parse_versions(versions)
            for service, versions in data["held"].items()
        }
        load = data.get("load")
        if type(load) not in OPTIONAL_NUMBER:
            return None
        leaving = data.get("leaving", False) is True
        incarnation = data.get("incarnation", 0)
        if type(incarnation) is not int:
            return None
        return StatusReport(upstream, held, load, leaving, incarnation)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def load_json(body: bytes) -> Any:
    """Reads JSON that can be written again.

    Raises:
      ValueError: It is not JSON, or nested too deep.
    """
    data = orjson.loads(body)
    # Counting brackets is much cheaper than walking, and nearly always enough.
    if len(body) <= 2 * MAX_NESTING_DEPTH:
        return data
    brackets = body.count(b"[") + body.count(b"{")
    if brackets > MAX_NESTING_DEPTH and nesting_depth(data) > MAX_NESTING_DEPTH:
        raise ValueError("nested too deep")
    return data


def parse_versions(value: Any) -> tuple[Version, ...]:
    """Returns versions held; raises ValueError for anything else."""
    versions = []
    for epoch, snapshot in value:
        if type(epoch) is not int or type(snapshot) is not int:
            raise ValueError("a version is not two whole numbers")
        versions.append((epoch, snapshot))
    return tuple(versions)
