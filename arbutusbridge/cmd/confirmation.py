"""Confirmation of a configuration version, from the view of one instance."""

from __future__ import annotations

import http.client
import json
import time
from typing import TYPE_CHECKING, Any

from arbutusbridge.daemon.storeclient import send_request
from arbutusbridge.errors import PlatformUnavailableError

if TYPE_CHECKING:
    from arbutusbridge.settings import EntrySettings
    from arbutusbridge.settings.forwarding import ForwardSettings

POLL_INTERVAL_S = 0.5
"""Interval between status requests."""


def read_status(
    settings: EntrySettings | ForwardSettings,
) -> dict[str, Any]:
    """Requests the status of an instance.

    Raises:
      PlatformUnavailableError: The instance gave no usable reply.
    """
    address = (settings.operators.ip, settings.operators.port)
    try:
        _, body = send_request(address, "GET", "/status", b"")
        found: dict[str, Any] = json.loads(body)
    except (OSError, http.client.HTTPException, ValueError) as err:
        raise PlatformUnavailableError(
            f"Instance {settings.name} does not answer: {err}.",
            "Check that it runs and that its address is correct.",
        ) from err
    return found


def find_newest_version(status: dict[str, Any]) -> int:
    """Returns the newest version that any instance has in force."""
    versions = [item["version"] for item in status["instances"]]
    return max(versions, default=status["config_version"])


def unconfirmed(status: dict[str, Any], version: int) -> list[str]:
    """Describes each instance that has not confirmed a version."""
    lines = []
    for item in status["instances"]:
        if item["version"] < version:
            lines.append(f"{item['name']}: {describe_state(item)}")
    return lines


def describe_state(item: dict[str, Any]) -> str:
    """Describes the last known state of an unconfirmed instance."""
    silent_s = item["heard_seconds_ago"]
    if silent_s is None:
        return "never heard from: starting, cut off or stopped"
    if not item["live"]:
        return f"version {item['version']}, silent for {silent_s} s"
    return f"version {item['version']}"


def wait_until_confirmed(
    settings: EntrySettings, version: int, seconds: float
) -> list[str]:
    """Waits until every instance confirms a version or the wait times out.

    Args:
      settings: Settings of the instance whose status is asked for.
      version: Version to confirm.
      seconds: Maximum wait.

    Returns:
      A description of each instance that has not confirmed.
    """
    end = time.monotonic() + seconds
    while True:
        try:
            missing = unconfirmed(read_status(settings), version)
        except PlatformUnavailableError as err:
            missing = [str(err)]
        if not missing or time.monotonic() >= end:
            return missing
        time.sleep(POLL_INTERVAL_S)
