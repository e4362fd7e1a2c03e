"""Read the platform's instance list off the protocol that Consul publishes."""

from __future__ import annotations

from typing import Any

import orjson

from arbutusbridge.core.membership.members import Identity, ListedInstance

MAINTENANCE_CHECK_PREFIX = "_service_maintenance"
"""Start of the id of the check that marks a service as being taken away."""


def instance_list_path(namespace: str) -> str:
    """Returns the path of a deployment's instance list."""
    return f"/v1/health/service/{namespace}"


def decode_instance_list(body: bytes) -> list[ListedInstance]:
    """Reads an instance list; entries off the protocol are left out.

    Raises:
      ValueError: It is no list at all.
    """
    entries = orjson.loads(body)
    if not isinstance(entries, list):
        raise ValueError("the instance list is not a list")
    found = [decode_entry(entry) for entry in entries]
    return [entry for entry in found if entry is not None]


def decode_entry(entry: Any) -> ListedInstance | None:
    """Reads one entry, None if it is off the protocol."""
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
    except (LookupError, TypeError, ValueError, AttributeError):
        return None
    return ListedInstance(identity, leaving)
