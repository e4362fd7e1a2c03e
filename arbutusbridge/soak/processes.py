"""Real instances as processes of their own."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from typing import TYPE_CHECKING

from arbutusbridge.settings.forwarding import SETTINGS_ENV_VARIABLE

if TYPE_CHECKING:
    from pathlib import Path

PROBE_INTERVAL_S = 0.1
"""Time between two looks whether an instance that starts takes callers."""


class InstanceProcess:
    """One real process.

    Attributes:
      callers: Where it takes callers.
      process: The process, None while there is none.
      exit_expected: Whether it was told to end.
    """

    def __init__(
        self,
        name: str,
        callers: tuple[str, int],
        settings: Path,
        log: Path,
    ) -> None:
        self.name = name
        self.callers = callers
        self.settings = settings
        self.log = log
        self.process: subprocess.Popen[bytes] | None = None
        self.exit_expected = False

    def start(self) -> None:
        """Starts the process."""
        self.exit_expected = False
        process_env = {**os.environ, SETTINGS_ENV_VARIABLE: str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "arbutusbridge.cmd.forward"],
                env=process_env,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def is_listening(self) -> bool:
        """Whether it takes callers."""
        try:
            socket.create_connection(self.callers, PROBE_INTERVAL_S).close()
        except OSError:
            return False
        return True

    @property
    def has_exited(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def end(self) -> None:
        """Ends the process at once, also while it is paused."""
        self.exit_expected = True
        if self.process is not None:
            self.process.kill()
            self.process.wait()
