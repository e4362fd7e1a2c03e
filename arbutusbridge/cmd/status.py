"""Command ``status``: show the status of an instance and its peers."""

from __future__ import annotations

import json
from pathlib import Path

from arbutusbridge.cmd.confirmation import (
    find_newest_version,
    read_status,
    unconfirmed,
)
from arbutusbridge.settings import EntrySettings, load_model
from arbutusbridge.settings.forwarding import ForwardSettings


def status(settings: Path, *, all: bool = False, forward: bool = False) -> int:
    """Show the status of an instance.

    Args:
      settings: Settings file of the instance.
      forward: The instance is a forwarding instance. Its status includes its
        keys in the store and its view of the store.
      all: Show the state of every instance as this instance knows it, and
        list those that have not confirmed the newest version that any instance
        has in force.

    Returns:
      0, or 1 with ``--all`` if an instance has not confirmed.
    """
    if forward:
        found = read_status(load_model(settings, ForwardSettings))
        print(json.dumps(found, indent=2))
        return 0
    found = read_status(load_model(settings, EntrySettings))
    if not all:
        print(json.dumps(found, indent=2))
        return 0
    version = find_newest_version(found)
    missing = unconfirmed(found, version)
    summary = {
        "version": version,
        "instances": found["instances"],
        "unconfirmed": missing,
    }
    print(json.dumps(summary, indent=2))
    return 1 if missing else 0
