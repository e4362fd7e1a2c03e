"""Command ``serve``: run one entry instance until a signal stops it."""

from __future__ import annotations

from pathlib import Path

from arbutusbridge.daemon.instance import EntryInstance
from arbutusbridge.daemon.logs import start_logging
from arbutusbridge.settings import EntrySettings, load_model


def serve(settings: Path) -> int:
    """Run one entry instance.

    Args:
      settings: Settings file of the instance.

    Returns:
      The exit code.
    """
    loaded_settings = load_model(settings, EntrySettings)
    handler = start_logging(loaded_settings.log_level)
    EntryInstance.from_config(loaded_settings).run()
    handler.close()
    return 0
