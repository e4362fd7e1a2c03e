"""Entry point of the ``arbutusbridge`` command.

Exit codes: 0 for success, 1 when something that was checked does not hold or
an instance has not confirmed a configuration version in time,
2 for wrong use or files that do not validate, 3 when the platform can't be
reached, 4 for a publish that lost to another one.
"""

from __future__ import annotations

import sys

import defopt

from arbutusbridge.cmd import (
    bench,
    config,
    demo,
    forward,
    key,
    replay,
    rounds,
    serve,
    soak,
    standin,
    status,
)
from arbutusbridge.errors import (
    ArbutusbridgeError,
    PlatformUnavailableError,
    PublishConflictError,
)

EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
EXIT_CONFLICT = 4

EXIT_CODES = (
    "Exit codes: 0 success; 1 something checked does not hold; 2 wrong use or "
    "a file that does not validate; 3 the platform or instance can't be "
    "reached; 4 another publish came first."
)

COMMANDS = {
    "serve": serve.serve,
    "forward": forward.forward,
    "demo": demo.demo,
    "config": {
        "check": config.check,
        "publish": config.publish,
        "show": config.show,
    },
    "status": status.status,
    "key": key.key,
    "replay": replay.replay,
    "bench": bench.bench,
    "rounds": rounds.rounds,
    "soak": soak.soak,
    "standin": {
        "platform": standin.platform,
        "upstreams": standin.upstreams,
    },
}


def main(argv: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    try:
        code = defopt.run(
            COMMANDS,
            argv=argv,
            argparse_kwargs={"prog": "arbutusbridge", "epilog": EXIT_CODES},
        )
    except ArbutusbridgeError as err:
        print(f"arbutusbridge: {err}", file=sys.stderr)
        return exit_code(err)
    return code or 0


def exit_code(err: ArbutusbridgeError) -> int:
    """Returns the exit code of an error."""
    if isinstance(err, PublishConflictError):
        return EXIT_CONFLICT
    if isinstance(err, PlatformUnavailableError):
        return EXIT_UNAVAILABLE
    return EXIT_USAGE
