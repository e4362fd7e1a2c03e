"""Command ``status``: show what an instance says of itself and its peers."""

from __future__ import annotations

import json
from pathlib import Path

from arbutusbridge.cmd.confirmation import (
    newest_version,
    read_status,
    unconfirmed,
)
from arbutusbridge.settings import InstanceSettings, load_model
from arbutusbridge.settings.forwarding import ForwardSettings


def status(settings: Path, *, all: bool = False, forward: bool = False) -> int:
    """Show an instance's status.

    Args:
      settings: The instance's settings file.
      forward: The instance is one that forwards by route; its status tells
        what it keeps in the store and what it knows of it.
      all: Show what it knows of every instance, and name those that have not
        confirmed the newest version that any of them has in force.

    Returns:
      0, or 1 with ``--all`` when an instance has not confirmed.
    """
    if forward:
        found = read_status(load_model(settings, ForwardSettings))
        print(json.dumps(found, indent=2))
        return 0
    found = read_status(load_model(settings, InstanceSettings))
    if not all:
        print(json.dumps(found, indent=2))
        return 0
    version = newest_version(found)
    missing = unconfirmed(found, version)
    summary = {
        "version": version,
        "instances": found["instances"],
        "unconfirmed": missing,
    }
    print(json.dumps(summary, indent=2))
    return 1 if missing else 0
