"""Which instances confirm a configuration version, as one instance knows."""

from __future__ import annotations

import http.client
import json
import time
from typing import TYPE_CHECKING, Any

from arbutusbridge.daemon.storeclient import send_request
from arbutusbridge.errors import PlatformUnavailableError

if TYPE_CHECKING:
    from arbutusbridge.settings import InstanceSettings
    from arbutusbridge.settings.forwarding import ForwardSettings

POLL_INTERVAL_S = 0.5
"""Time between two questions for the status."""


def read_status(
    settings: InstanceSettings | ForwardSettings,
) -> dict[str, Any]:
    """Returns an instance's status.

    Raises:
      PlatformUnavailableError: It gave no usable reply.
    """
    address = (settings.operators.ip, settings.operators.port)
    try:
        _, body = send_request(address, "GET", "/status", b"")
        found: dict[str, Any] = json.loads(body)
    except (OSError, http.client.HTTPException, ValueError) as err:
        raise PlatformUnavailableError(
            f"Instance {settings.name} does not answer: {err}.",
            "Check that it runs and that the address is right.",
        ) from err
    return found


def newest_version(status: dict[str, Any]) -> int:
    """Returns the greatest version that any instance has in force."""
    versions = [item["version"] for item in status["instances"]]
    return max(versions, default=status["config_version"])


def unconfirmed(status: dict[str, Any], version: int) -> list[str]:
    """Names the instances that have not confirmed a version, and why."""
    lines = []
    for item in status["instances"]:
        if item["version"] < version:
            lines.append(f"{item['name']}: {describe_unconfirmed(item)}")
    return lines


def describe_unconfirmed(item: dict[str, Any]) -> str:
    """Says what is known of an instance that has not confirmed."""
    heard = item["heard_seconds_ago"]
    if heard is None:
        return "never heard; it starts, is cut off or is gone"
    if not item["live"]:
        return f"version {item['version']}, silent for {heard} s"
    return f"version {item['version']}"


def wait_until_confirmed(
    settings: InstanceSettings, version: int, seconds: float
) -> list[str]:
    """Waits until every instance confirms; returns those that do not."""
    end = time.monotonic() + seconds
    while True:
        try:
            missing = unconfirmed(read_status(settings), version)
        except PlatformUnavailableError as err:
            missing = [str(err)]
        if not missing or time.monotonic() >= end:
            return missing
        time.sleep(POLL_INTERVAL_S)
