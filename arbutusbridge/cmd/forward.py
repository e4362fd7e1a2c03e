"""Command ``forward``: run one forwarding instance.

The module can also be run as ``python -m arbutusbridge.cmd.forward``, which
does not import the other commands and so starts faster: an instance starts
several times a day, and callers wait for it.
"""

from __future__ import annotations

if __name__ == "__main__":
    # Imported first, as the imports below take most of the start.
    from arbutusbridge.cmd import hangup  # noqa: F401

import gc
import os
import signal
import sys
from pathlib import Path

from arbutusbridge.daemon.forwardinstance import ForwardInstance
from arbutusbridge.daemon.logs import get_logger, start_logging
from arbutusbridge.errors import SettingsError
from arbutusbridge.platform import DIALECT, WIRE
from arbutusbridge.settings.forwarding import (
    SETTINGS_ENV_VARIABLE,
    ForwardSettings,
)
from arbutusbridge.settings.loader import load_model

EXIT_USAGE = 2

logger = get_logger(__name__)


def forward(settings: Path) -> int:
    """Run one forwarding instance.

    Args:
      settings: Settings file of the instance.

    Returns:
      The exit code.
    """
    loaded_settings = load_model(settings, ForwardSettings)
    handler = start_logging(loaded_settings.log_level, sys.stdout)

    def load_changed_settings() -> ForwardSettings | None:
        try:
            return load_model(settings, ForwardSettings)
        except SettingsError as err:
            logger.error(
                "settings not loaded, keeping the previous settings",
                extra={"error": str(err)},
            )
            return None

    def read_settings_mtime() -> int:
        try:
            return settings.stat().st_mtime_ns
        except OSError as err:
            logger.warning(
                "settings file not found or not readable",
                extra={"error": str(err)},
            )
            return 0

    instance = ForwardInstance.from_config(
        loaded_settings,
        WIRE,
        DIALECT,
        load_changed_settings,
        read_settings_mtime,
    )
    signal.signal(signal.SIGHUP, instance._signal_handler)
    # What exists now lives as long as the process. A full collection of it
    # would come with the first requests, and takes 50 ms of a third of a core.
    gc.freeze()
    instance.run()
    handler.close()
    return 0


def main() -> int:
    """Runs the instance whose settings file is named by the environment."""
    path = os.environ.get(SETTINGS_ENV_VARIABLE, "")
    try:
        return forward(Path(path))
    except SettingsError as err:
        print(f"arbutusbridge: {err}", file=sys.stderr)
        return EXIT_USAGE


if __name__ == "__main__":
    raise SystemExit(main())
