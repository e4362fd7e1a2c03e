"""Command ``serve``: run one entry instance until a signal stops it."""

from __future__ import annotations

from pathlib import Path

from arbutusbridge.daemon.instance import EntryInstance
from arbutusbridge.daemon.logs import start_logging
from arbutusbridge.settings import InstanceSettings, load_model


def serve(settings: Path) -> int:
    """Run one entry instance.

    Args:
      settings: Settings file of the instance.

    Returns:
      The exit code.
    """
    checked = load_model(settings, InstanceSettings)
    handler = start_logging(checked.log_level)
    EntryInstance.from_config(checked).run()
    handler.close()
    return 0
