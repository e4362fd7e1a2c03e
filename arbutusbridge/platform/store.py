"""Encoding of the calls to the platform's metadata store."""

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
from arbutusbridge.daemon.dialect import (
    Dialect,
    StoreRequest,
    make_era_reader,
)

HISTORY_LOST_STATUS = 410
CONDITION_FAILED_STATUS = 412
NO_SUCH_LEASE_STATUS = 404


def page_request(prefix: str, after_key: str) -> StoreRequest:
    """Returns a call that reads a page of the keys under a prefix."""
    query = {"prefix": prefix}
    if after_key:
        query["after"] = after_key
    return StoreRequest(
        "GET", f"/kv-range?{urlencode(query)}", b"", decode_page
    )


def watch_request(prefix: str, revision: int, wait_s: float) -> StoreRequest:
    """Returns a call that waits for changes under a prefix after a revision."""
    query = urlencode(
        {"prefix": prefix, "after": revision, "wait_ms": int(wait_s * 1000)}
    )
    return StoreRequest("GET", f"/kv-watch?{query}", b"", decode_changes)


def write_request(key: str, value: bytes, lease: int) -> StoreRequest:
    """Returns a call that writes a key bound to a lease."""
    put = {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "lease": lease,
    }
    body = {"precondition": [], "puts": [put], "deletes": []}
    return StoreRequest(
        "POST", "/kv-txn", orjson.dumps(body), decode_write_result
    )


def create_lease_request(seconds: float) -> StoreRequest:
    """Returns a call that creates a lease.

    The index of the result is the number of the lease.
    """
    body = orjson.dumps({"ttl_ms": int(seconds * 1000)})
    return StoreRequest("POST", "/kv-lease", body, decode_lease)


def renew_lease_request(lease: int) -> StoreRequest:
    """Returns a call that renews a lease."""
    return StoreRequest("POST", f"/kv-keep/{lease}", b"", decode_write_result)


def end_lease_request(lease: int) -> StoreRequest:
    """Returns a call that ends a lease and removes its keys."""
    return StoreRequest(
        "DELETE", f"/kv-lease-end/{lease}", b"", decode_write_result
    )


def decode_item(row: dict[str, Any]) -> StoreItem:
    """Decodes an item or a deletion."""
    if row.get("deleted"):
        return StoreItem(row["key"], None, int(row["revision"]))
    try:
        value = base64.b64decode(row["value"] or "")
    except ValueError:
        # Other items of the same reply can still be read.
        value = b""
    return StoreItem(row["key"], value, int(row["revision"]))


def decode_page(
    token: tuple[str, str], status: int, body: bytes
) -> StoreResult:
    """Decodes a page of keys."""
    return decode_rows(token, status, body, "items")


def decode_changes(
    token: tuple[str, str], status: int, body: bytes
) -> StoreResult:
    """Decodes the changes that a watch returned."""
    return decode_rows(token, status, body, "events")


def decode_rows(
    token: tuple[str, str], status: int, body: bytes, field: str
) -> StoreResult:
    """Decodes a list of items.

    Raises:
      ValueError, LookupError, TypeError: The body violates the protocol.
    """
    if status == HISTORY_LOST_STATUS:
        return StoreResult(token, StoreStatus.HISTORY_LOST)
    if status != 200:
        return StoreResult(token, StoreStatus.UNAVAILABLE)
    data = orjson.loads(body)
    items = tuple(decode_item(row) for row in data[field])
    # `current_rev` is the revision of the whole store, not of these keys.
    revision = int(data["current_rev"])
    page = StorePage(items, bool(data.get("has_more", False)), revision)
    return StoreResult(token, StoreStatus.DONE, page=page)


def decode_lease(
    token: tuple[str, str], status: int, body: bytes
) -> StoreResult:
    """Decodes the number of a new lease."""
    if status != 200:
        return StoreResult(token, StoreStatus.UNAVAILABLE)
    lease = int(orjson.loads(body)["lease"])
    return StoreResult(token, StoreStatus.DONE, index=lease)


def decode_write_result(
    token: tuple[str, str], status: int, _body: bytes
) -> StoreResult:
    """Decodes the result of a write or a renewal."""
    if status == 200:
        return StoreResult(token, StoreStatus.DONE)
    if status in (NO_SUCH_LEASE_STATUS, CONDITION_FAILED_STATUS):
        return StoreResult(token, StoreStatus.CONFLICT)
    return StoreResult(token, StoreStatus.UNAVAILABLE)


DIALECT = Dialect(
    page_request,
    watch_request,
    write_request,
    create_lease_request,
    renew_lease_request,
    end_lease_request,
    make_era_reader(b"store-era"),
)
"""Calls of the platform's store."""
