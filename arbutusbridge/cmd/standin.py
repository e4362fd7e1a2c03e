"""Commands ``standin``: run simulated services as separate processes."""

from __future__ import annotations

import json
from pathlib import Path

from arbutusbridge.standins.deployment import LOOPBACK, StandIns


def platform(port: int) -> int:
    """Run a simulated platform on loopback.

    Args:
      port: TCP port.

    Returns:
      The exit code.
    """
    StandIns(None, (LOOPBACK, port)).run()
    return 0


def upstreams(register: Path, *, service_ms: float = 1.0) -> int:
    """Run a simulated upstream on loopback for each upstream of a register.

    Args:
      register: Register export, whose addresses must be on loopback.
      service_ms: Service time of one request in milliseconds.

    Returns:
      The exit code.
    """
    listed = json.loads(register.read_text())
    StandIns(listed, None, service_ms / 1000).run()
    return 0
