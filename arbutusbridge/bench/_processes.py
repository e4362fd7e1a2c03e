"""Stand-ins in separate processes, for measurements."""

from __future__ import annotations

import contextlib
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

from arbutusbridge.standins.deployment import LOOPBACK, wait_until_listening

if TYPE_CHECKING:
    from collections.abc import Iterator

STOP_TIMEOUT_S = 10.0


@contextlib.contextmanager
def run_command(*arguments: str) -> Iterator[subprocess.Popen[bytes]]:
    """Runs one ``arbutusbridge`` command for the duration of the block."""
    command = [sys.executable, "-m", "arbutusbridge", *arguments]
    process = subprocess.Popen(command)
    try:
        yield process
    finally:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


@contextlib.contextmanager
def run_stand_ins(
    register: dict[str, Any], platform_port: int, service_ms: float
) -> Iterator[None]:
    """Runs the stand-ins of a register for the duration of the block.

    The platform runs in one process and all upstreams in another. The block
    starts once all of them accept connections.

    Args:
      register: Register that lists the upstreams.
      platform_port: Port that the platform listens on.
      service_ms: Service time of each upstream.
    """
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = Path(folder) / "register.json"
        path.write_text(json.dumps(register))
        stack.enter_context(
            run_command("standin", "platform", str(platform_port))
        )
        stack.enter_context(
            run_command(
                "standin",
                "upstreams",
                str(path),
                "--service-ms",
                str(service_ms),
            )
        )
        wait_until_listening((LOOPBACK, platform_port))
        for upstream in register["upstreams"]:
            wait_until_listening((upstream["address"], upstream["port"]))
        yield
