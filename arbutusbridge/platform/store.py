"""Paths and bodies of the platform's metadata store."""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import urlencode

import orjson

from arbutusbridge.core.messages import (
    StoreItem,
    StorePage,
    StoreResult,
    StoreStatus,
)
from arbutusbridge.daemon.dialect import Dialect, StoreRequest

HISTORY_LOST_STATUS = 410
CONDITION_FAILED_STATUS = 412
NO_SUCH_LEASE_STATUS = 404


def page_request(prefix: str, after_key: str) -> StoreRequest:
    """Reads the keys under a prefix, behind a key."""
    query = {"prefix": prefix}
    if after_key:
        query["after"] = after_key
    return StoreRequest(
        "GET", f"/kv-range?{urlencode(query)}", b"", decode_page
    )


def watch_request(prefix: str, revision: int, wait_s: float) -> StoreRequest:
    """Waits for changes under a prefix, behind a revision."""
    query = urlencode(
        {"prefix": prefix, "after": revision, "wait_ms": int(wait_s * 1000)}
    )
    return StoreRequest("GET", f"/kv-watch?{query}", b"", decode_changes)


def write_request(key: str, value: bytes, lease: int) -> StoreRequest:
    """Writes a key that ends with a lease."""
    put = {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "lease": lease,
    }
    body = {"precondition": [], "puts": [put], "deletes": []}
    return StoreRequest("POST", "/kv-txn", orjson.dumps(body), decode_done)


def lease_request(seconds: float) -> StoreRequest:
    """Asks for a lease; the result's index is its number."""
    body = orjson.dumps({"ttl_ms": int(seconds * 1000)})
    return StoreRequest("POST", "/kv-lease", body, decode_lease)


def renew_request(lease: int) -> StoreRequest:
    """Renews a lease."""
    return StoreRequest("POST", f"/kv-keep/{lease}", b"", decode_done)


def end_request(lease: int) -> StoreRequest:
    """Ends a lease and with it its keys."""
    return StoreRequest("DELETE", f"/kv-lease-end/{lease}", b"", decode_done)


def item_of(row: dict[str, Any]) -> StoreItem:
    """Reads one key or the end of one."""
    if row.get("deleted"):
        return StoreItem(row["key"], None, int(row["revision"]))
    value = base64.b64decode(row["value"] or "")
    return StoreItem(row["key"], value, int(row["revision"]))


def decode_page(
    token: tuple[str, str], status: int, body: bytes
) -> StoreResult:
    """Reads the keys under a prefix."""
    return decode_rows(token, status, body, "items")


def decode_changes(
    token: tuple[str, str], status: int, body: bytes
) -> StoreResult:
    """Reads the changes under a prefix."""
    return decode_rows(token, status, body, "events")


def decode_rows(
    token: tuple[str, str], status: int, body: bytes, field: str
) -> StoreResult:
    """Reads a list of keys.

    Raises:
      ValueError, LookupError, TypeError: The body is off the protocol.
    """
    if status == HISTORY_LOST_STATUS:
        return StoreResult(token, StoreStatus.HISTORY_LOST)
    if status != 200:
        return StoreResult(token, StoreStatus.UNAVAILABLE)
    data = orjson.loads(body)
    items = tuple(item_of(row) for row in data[field])
    # `current_rev` is the revision of the whole store, not of these keys.
    revision = int(data["current_rev"])
    page = StorePage(items, bool(data.get("has_more", False)), revision)
    return StoreResult(token, StoreStatus.DONE, page=page)


def decode_lease(
    token: tuple[str, str], status: int, body: bytes
) -> StoreResult:
    """Reads a new lease."""
    if status != 200:
        return StoreResult(token, StoreStatus.UNAVAILABLE)
    lease = int(orjson.loads(body)["lease"])
    return StoreResult(token, StoreStatus.DONE, index=lease)


def decode_done(
    token: tuple[str, str], status: int, _body: bytes
) -> StoreResult:
    """Reads whether a write or renewal was done."""
    if status == 200:
        return StoreResult(token, StoreStatus.DONE)
    if status in (NO_SUCH_LEASE_STATUS, CONDITION_FAILED_STATUS):
        return StoreResult(token, StoreStatus.CONFLICT)
    return StoreResult(token, StoreStatus.UNAVAILABLE)


DIALECT = Dialect(
    page_request,
    watch_request,
    write_request,
    lease_request,
    renew_request,
    end_request,
)
"""The calls of the platform's store."""
