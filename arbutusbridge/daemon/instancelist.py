"""Decodes the instance list of the platform, in the API format of Consul."""

from __future__ import annotations

from typing import Any

import orjson

from arbutusbridge.core.membership.members import Identity, ListedInstance

MAINTENANCE_CHECK_PREFIX = "_service_maintenance"
"""Prefix of the id of the check that marks a service as being removed."""


MAX_PORT = 65_535


def instance_list_path(namespace: str) -> str:
    """Returns the URL path of the instance list of a deployment."""
    return f"/v1/health/service/{namespace}"


def decode_instance_list(body: bytes) -> list[ListedInstance]:
    """Decodes an instance list; malformed entries are skipped.

    Raises:
      ValueError: The body is not a JSON list.
    """
    entries = orjson.loads(body)
    if not isinstance(entries, list):
        raise ValueError("the instance list is not a JSON list")
    found = [decode_entry(entry) for entry in entries]
    return [entry for entry in found if entry is not None]


def decode_entry(entry: Any) -> ListedInstance | None:
    """Decodes one entry; returns None if it is malformed."""
    try:
        service = entry["Service"]
        identity = Identity(
            str(service["ID"]),
            str(entry["Node"]["Datacenter"]),
            str(service["Address"] or entry["Node"]["Address"]),
            int(service["Port"]),
        )
        checks = entry.get("Checks") or []
        leaving = any(
            check["CheckID"].startswith(MAINTENANCE_CHECK_PREFIX)
            for check in checks
        )
    except (
        AttributeError,
        LookupError,
        OverflowError,
        TypeError,
        ValueError,
    ):
        return None
    if not 0 < identity.port <= MAX_PORT:
        return None
    return ListedInstance(identity, leaving)
