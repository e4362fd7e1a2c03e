"""Command ``demo``: a complete deployment on loopback in one process."""

from __future__ import annotations

from arbutusbridge.standins.demonstration import run_demonstration


def demo() -> int:
    """Serve searches and a record with two instances and simulated upstreams.

    Returns:
      0 if every check passed, else 1.
    """
    return run_demonstration()
