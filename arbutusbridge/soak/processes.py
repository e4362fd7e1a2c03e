"""Forwarding instances as separate processes."""

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
"""Interval, and connect timeout, of the probes for a starting instance."""


class InstanceProcess:
    """Process of one instance.

    Attributes:
      name: Name of the instance.
      callers: Address for callers.
      settings: Path of the settings file.
      log_path: Path of the file that receives its output.
      process: Process started last, None before the first start.
      exit_expected: Whether the process was told to exit, or its unexpected
        exit has been recorded.
      build: Folder that holds the package of the build that it runs, None for
        this one.
    """

    def __init__(
        self,
        name: str,
        callers: tuple[str, int],
        settings: Path,
        log_path: Path,
    ) -> None:
        self.name = name
        self.callers = callers
        self.settings = settings
        self.log_path = log_path
        self.process: subprocess.Popen[bytes] | None = None
        self.exit_expected = False
        self.build: Path | None = None

    def start(self) -> None:
        """Starts the process."""
        self.exit_expected = False
        process_env = {**os.environ, SETTINGS_ENV_VARIABLE: str(self.settings)}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "arbutusbridge.cmd.forward"],
                # The current folder comes first on the module search path.
                cwd=self.build,
                env=process_env,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections from callers."""
        try:
            socket.create_connection(self.callers, PROBE_INTERVAL_S).close()
        except OSError:
            return False
        return True

    @property
    def has_exited(self) -> bool:
        """Whether the process has exited or was never started."""
        return self.process is None or self.process.poll() is not None

    def end(self) -> None:
        """Kills the process, even while it is paused, and waits for it."""
        self.exit_expected = True
        if self.process is not None:
            self.process.kill()
            self.process.wait()
