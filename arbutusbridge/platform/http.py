"""HTTP headers and statuses between callers, instances and upstreams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from arbutusbridge.core.httpstatus import is_success_status, is_valid_status
from arbutusbridge.daemon.httpmessages import REASON_PHRASES
from arbutusbridge.forwarding.messages import (
    AttemptEnd,
    Load,
    MergedAnswer,
    Refusal,
    RefusedAnswer,
    RelayedAnswer,
    UpstreamReply,
)
from arbutusbridge.forwarding.model import CallerRequest
from arbutusbridge.forwarding.routes import normalise_host
from arbutusbridge.forwarding.terms import NO_TERMS, UpstreamTerms
from arbutusbridge.forwarding.wireformat import ResponseIdentity
from arbutusbridge.platform.fields import decode_count, decode_decimal

if TYPE_CHECKING:
    from arbutusbridge.forwarding.messages import Headers, SendAttempt

REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_HEADER = b"x-deadline-ms"
EXPECTED_UPSTREAM_HEADER = b"x-expect-instance"
STAMP_HEADER = b"x-server-stamp"
ACCOUNT_HEADER = b"x-tenant"
KEY_HEADER = b"authorization"
NOT_EXECUTED_HEADER = b"x-not-executed"
LOAD_HEADER = b"x-server-load"
RATE_LIMIT_HEADER = b"server-limit"
LEAVING_HEADER = b"server-leaving"
LEAVING_VALUE = b"1"
RETRY_AFTER_HEADER = b"retry-after"
CONTENT_ENCODING_HEADER = b"content-encoding"

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to a single connection only."""

REWRITTEN_HEADERS = frozenset({DEADLINE_HEADER, EXPECTED_UPSTREAM_HEADER})
"""Request headers that are set anew for each upstream."""

IDENTITY_HEADERS = frozenset({ACCOUNT_HEADER, KEY_HEADER})
"""Request headers that concern client accounts."""

MAX_DEADLINE_MS = 600_000.0
"""Maximum deadline that a caller may send."""

MAX_LIMITED_RATE = 1_000_000.0
"""Rate limit above which an upstream is not limited, in requests per second;
ten times what any one of them is sent."""

MAX_PAUSE_S = 600.0
"""Maximum time for which an upstream is taken to want no requests, in
seconds."""

REFUSAL_STATUSES = {
    Refusal.NO_ROUTE: 404,
    Refusal.UNAUTHORIZED: 401,
    Refusal.OVER_QUOTA: 429,
    Refusal.OUTSIDE_HOMES: 503,
    Refusal.INVALID_ENTRY: 503,
    Refusal.NOT_READY: 503,
    Refusal.STOPPING: 503,
    Refusal.UNSERVABLE: 503,
    Refusal.LIMITED: 503,
    Refusal.ISOLATED: 503,
    Refusal.QUARANTINED: 503,
    Refusal.SUSPECT: 503,
    Refusal.CRASHED: 502,
    Refusal.LOST: 502,
    Refusal.TIMED_OUT: 504,
}
"""HTTP status of each refusal; 503 guarantees that the request did not run.

A quarantined request is refused with it too. A client error would not be
repeated, but it would be final for a request that was quarantined wrongly, and
operators bound how many valid requests may get one.
"""


def decode_request(
    method: str, target: str, headers: Headers, body: bytes, arrived: float
) -> Result[CallerRequest, str]:
    """Decodes a caller's request; the error states what is wrong."""
    connection_tokens = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_tokens |= {
                token.strip().lower() for token in value.split(b",")
            }
    request_id = host = ""
    deadline = math.inf
    forwarded: Headers = []
    identity: Headers = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == REQUEST_ID_HEADER:
            request_id = value.decode("latin-1")
        elif lower_name == b"host":
            host = value.decode("latin-1")
        elif lower_name == DEADLINE_HEADER:
            try:
                remaining_ms = float(value)
            except ValueError:
                return Err("the deadline is no number of milliseconds")
            if not 0 <= remaining_ms <= MAX_DEADLINE_MS:
                return Err("the deadline is out of range")
            deadline = arrived + remaining_ms / 1000
        if (
            lower_name in HOP_BY_HOP_HEADERS
            or lower_name in REWRITTEN_HEADERS
            or lower_name in connection_tokens
        ):
            continue
        if lower_name in IDENTITY_HEADERS:
            identity.append((name, value))
            continue
        forwarded.append((name, value))
    if not request_id:
        return Err("the request has no id")
    return Ok(
        CallerRequest(
            request_id,
            method,
            target,
            normalise_host(host),
            forwarded,
            body,
            deadline,
            arrived,
            identity_headers=identity,
            credentials=[
                value for name, value in headers if name.lower() == KEY_HEADER
            ],
        )
    )


def encode_attempt(attempt: SendAttempt, now: float) -> bytes:
    """Encodes a caller's request for the upstream of an attempt."""
    request = attempt.request
    remaining_ms = max(
        1, int((min(attempt.deadline, request.deadline) - now) * 1000)
    )
    lines = [
        f"{request.method} {request.target} HTTP/1.1".encode("latin-1"),
        b"X-Deadline-Ms: %d" % remaining_ms,
        b"X-Expect-Instance: " + attempt.upstream.upstream.encode("latin-1"),
    ]
    if request.account:
        lines.append(b"X-Tenant: " + request.account.encode())
    lines += [name + b": " + value for name, value in request.headers]
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def read_identity(headers: dict[bytes, bytes]) -> ResponseIdentity:
    """Returns what a response says of the request that it belongs to.

    Args:
      headers: Headers of the response, by name in lower case.
    """
    echoed = headers.get(REQUEST_ID_HEADER)
    return ResponseIdentity(
        None if echoed is None else echoed.decode("latin-1"),
        headers.get(STAMP_HEADER, b"").decode("latin-1"),
    )


def decode_reply(
    attempt_id: int, status: int, headers: Headers, body: bytes
) -> UpstreamReply:
    """Decodes an upstream's response to an attempt.

    Nothing is taken from a response with an invalid status.
    """
    header_values = {name.lower(): value for name, value in headers}
    stamp = header_values.get(STAMP_HEADER, b"").decode("latin-1")
    load = decode_load(header_values.get(LOAD_HEADER))
    end, detail = classify_response(status, header_values, stamp)
    if not is_valid_status(status):
        return UpstreamReply(attempt_id, end, detail=detail)
    forwarded: Headers = []
    if end in (AttemptEnd.RESULT, AttemptEnd.FAILED):
        forwarded = [
            (name, value)
            for name, value in headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
    return UpstreamReply(
        attempt_id,
        end,
        status,
        forwarded,
        body,
        stamp,
        load,
        detail,
        terms=decode_terms(end, header_values),
        leaving=is_leaving(end, header_values),
        pause_s=decode_pause(end, status, header_values),
    )


def classify_response(
    status: int, header_values: dict[bytes, bytes], stamp: str
) -> tuple[AttemptEnd, str]:
    """Returns the outcome of an attempt and a description of the problem.

    An invalid status comes first: an upstream that sends one is in trouble, so
    its statement that the request has not run may be false, and the request
    would run twice. Lost promises nothing.
    """
    if not is_valid_status(status):
        return AttemptEnd.LOST, f"invalid status {status}"
    if status == MISDIRECTED_STATUS:
        return AttemptEnd.MISDIRECTED, "address belongs to another upstream"
    if NOT_EXECUTED_HEADER in header_values:
        return AttemptEnd.SHED, f"status {status}"
    if not stamp or "," in stamp:
        return AttemptEnd.LOST, f"status {status} without a signature"
    if not is_success_status(status):
        return AttemptEnd.FAILED, f"status {status}"
    if (
        header_values.get(CONTENT_ENCODING_HEADER, b"identity").lower()
        != b"identity"
    ):
        return (
            AttemptEnd.LOST,
            "body in a content encoding that was not asked for",
        )
    return AttemptEnd.RESULT, ""


def decode_load(value: bytes | None) -> Load | None:
    """Decodes a reported load; returns None if it is missing or invalid."""
    if value is None:
        return None
    counts = []
    for part in value.split(b","):
        count = decode_count(part)
        if count is None:
            return None
        counts.append(count)
    if len(counts) < 3:
        return None
    # The optional fourth number is the current processing time in percent of
    # the usual one.
    slowdown = counts[3] / 100 if len(counts) > 3 and counts[3] else 1.0
    return Load(counts[0], counts[1], counts[2], slowdown)


def decode_terms(
    end: AttemptEnd, header_values: dict[bytes, bytes]
) -> UpstreamTerms | None:
    """Decodes what a response says of the requests that its upstream takes.

    Returns None if it says nothing: it comes from another upstream, it is
    invalid and names no limit, or its limit is no decimal number. A negative
    limit is taken as 0, and one above MAX_LIMITED_RATE as none.
    """
    value = header_values.get(RATE_LIMIT_HEADER)
    if end is AttemptEnd.MISDIRECTED:
        return None
    if value is None:
        return None if end is AttemptEnd.LOST else NO_TERMS
    rate = decode_decimal(value)
    if rate is None:
        return None
    return (
        NO_TERMS if rate > MAX_LIMITED_RATE else UpstreamTerms(max(0.0, rate))
    )


def is_leaving(end: AttemptEnd, header_values: dict[bytes, bytes]) -> bool:
    """Returns whether the upstream of an attempt says that it is leaving.

    A misdirected request was answered by another upstream.
    """
    return (
        end is not AttemptEnd.MISDIRECTED
        and header_values.get(LEAVING_HEADER, b"").strip() == LEAVING_VALUE
    )


def decode_pause(
    end: AttemptEnd, status: int, header_values: dict[bytes, bytes]
) -> float:
    """Decodes for how long an upstream wants no requests, in seconds.

    Returns 0 for a value that is missing, negative or no decimal number (a
    date), and MAX_PAUSE_S for a greater one.
    """
    if status != UNAVAILABLE_STATUS or end is AttemptEnd.LOST:
        return 0.0
    seconds = decode_decimal(header_values.get(RETRY_AFTER_HEADER, b""))
    return min(max(0.0, seconds or 0.0), MAX_PAUSE_S)


def encode_answer(
    answer: object, keep_alive: bool, idle_timeout_s: int = 0
) -> bytes:
    """Encodes the final answer to a caller.

    Args:
      answer: The answer.
      keep_alive: Whether the connection stays open.
      idle_timeout_s: Time for which it may then be idle, 0 if not stated.
    """
    headers: Headers = []
    if isinstance(answer, RelayedAnswer):
        status, body = answer.reply.status, answer.reply.body
        headers = list(answer.reply.headers)
    elif isinstance(answer, MergedAnswer):
        status, body = 200, answer.body
        stamps = ", ".join(answer.stamps).encode("latin-1")
        headers = [
            (b"X-Shard-Stamps", stamps),
            (b"X-Shards-Missing", b"%d" % answer.missing),
            (b"Content-Type", b"application/octet-stream"),
        ]
    else:
        assert isinstance(answer, RefusedAnswer)
        status, body = REFUSAL_STATUSES[answer.refusal], b""
        if answer.retry_after_s is not None:
            headers = [(b"Retry-After", b"%.3f" % answer.retry_after_s)]
        if answer.refusal is Refusal.UNAUTHORIZED:
            headers.append((b"WWW-Authenticate", b"Token"))
    if not isinstance(answer, RelayedAnswer):
        request_id = answer.request.request_id.encode("latin-1")
        headers.append((b"X-Request-Id", request_id))
    phrase = REASON_PHRASES.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {phrase}".encode("latin-1")]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"Content-Length: %d" % len(body))
    if not keep_alive:
        lines.append(b"Connection: close")
    elif idle_timeout_s:
        lines.append(b"Keep-Alive: timeout=%d" % idle_timeout_s)
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    if answer.request.method == "HEAD":
        return head
    return head + body
