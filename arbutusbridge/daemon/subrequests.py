"""Encodes sub-requests to upstreams and decodes their replies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from arbutusbridge.core.messages import Reply, ReplyKind
from arbutusbridge.daemon.bodies import nesting_depth
from arbutusbridge.daemon.httpmessages import encode_post, encode_request

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
"""Reply kind for each HTTP status of an upstream."""

MAX_NESTING_DEPTH = 100
"""Maximum nesting depth of a reply; orjson cannot encode values that are much
deeper."""

NONE_TYPE = type(None)
OPTIONAL_TEXT = (str, NONE_TYPE)
OPTIONAL_LIST = (list, NONE_TYPE)
OPTIONAL_NUMBER = (float, int, NONE_TYPE)

STATUS_REQUEST = encode_request("GET", "/v1/status", b"", "upstream")


@dataclass(slots=True)
class StatusReport:
    """Status that an upstream reports about itself.

    Attributes:
      upstream: Name of the upstream.
      held: Data versions that it serves, by service.
      load: Busy slots as a fraction of all slots.
      leaving: Whether the upstream is being removed.
      incarnation: Number that grows with each start of the upstream, 0 if it
        reports none.
    """

    upstream: str
    held: dict[str, tuple[Version, ...]]
    load: float | None
    leaving: bool
    incarnation: int = 0


def encode_attempt(attempt: Attempt, body: bytes, now: float) -> bytes:
    """Encodes an attempt as an HTTP request.

    Args:
      attempt: The attempt.
      body: Body of the attempt as JSON.
      now: Current time; the deadline is sent as the time remaining.

    Returns:
      The bytes of the request.
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
    """Encodes the cancellation of an attempt as an HTTP request."""
    return encode_post("/v1/cancel", orjson.dumps({"attempt": attempt_id}))


def decode_reply(
    upstream: str, attempt_id: int, status: int, body: bytes
) -> Reply:
    """Decodes a response; a malformed one becomes an ``INVALID`` reply."""
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
    """Builds a reply from decoded JSON after checking the field types.

    The checks are inlined, because they run for every sub-request and function
    calls would cost more than the checks.

    Raises:
      ValueError: A field has the wrong type, or the reply belongs to another
        attempt.
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
        raise ValueError(
            "a field has the wrong type, or the reply is to another attempt"
        )
    for hit in hits or ():
        if type(hit) is not dict:
            raise ValueError("a hit is not a JSON object")
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
    """Decodes a status response; returns None if it is malformed."""
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
    """Decodes JSON that is not nested too deeply to be encoded again.

    Raises:
      ValueError: The body is not JSON, or is nested too deeply.
    """
    data = orjson.loads(body)
    # Counting brackets is much cheaper than walking the value, and nearly
    # always sufficient.
    if len(body) <= 2 * MAX_NESTING_DEPTH:
        return data
    brackets = body.count(b"[") + body.count(b"{")
    if brackets > MAX_NESTING_DEPTH and nesting_depth(data) > MAX_NESTING_DEPTH:
        raise ValueError("JSON is nested too deeply")
    return data


def parse_versions(value: Any) -> tuple[Version, ...]:
    """Returns the data versions in a decoded list.

    Raises:
      ValueError: A version is not a pair of integers.
    """
    versions = []
    for epoch, snapshot in value:
        if type(epoch) is not int or type(snapshot) is not int:
            raise ValueError("a version is not a pair of whole numbers")
        versions.append((epoch, snapshot))
    return tuple(versions)
