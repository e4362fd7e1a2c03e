"""Command line of the package.

Nothing is imported here, so that a command whose module can be run on its own
loads only what it needs.
"""

from __future__ import annotations


def main(argv: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    from arbutusbridge.cmd.main import main as run

    return run(argv)


__all__ = ["main"]
