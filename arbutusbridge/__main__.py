"""Entry point of ``python -m arbutusbridge``."""

from __future__ import annotations

from arbutusbridge.cmd import main

if __name__ == "__main__":
    raise SystemExit(main())
