"""Entry point of the ``arbutusbridge`` command.

Exit codes: 0 for success; 1 if a check failed, an instance has not confirmed
a configuration version in time or has no route for a request to explain; 2 for
wrong usage or a file that is not valid; 3 if the platform or an instance can't
be reached; 4 if another publish came first.
"""

from __future__ import annotations

import sys

import defopt

from arbutusbridge.cmd import (
    bench,
    config,
    demo,
    explain,
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

EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 a check failed, a version is not confirmed or no "
    "route matches; "
    "2 wrong usage or a file that is not valid; 3 the platform or instance "
    "can't be reached; 4 another publish came first."
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
    "explain": explain.explain,
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
            argparse_kwargs={
                "prog": "arbutusbridge",
                "epilog": EXIT_CODES_HELP,
            },
        )
    except ArbutusbridgeError as err:
        print(f"arbutusbridge: {err}", file=sys.stderr)
        return exit_code_for(err)
    return code or 0


def exit_code_for(err: ArbutusbridgeError) -> int:
    """Returns the exit code of an error."""
    if isinstance(err, PublishConflictError):
        return EXIT_CONFLICT
    if isinstance(err, PlatformUnavailableError):
        return EXIT_UNAVAILABLE
    return EXIT_USAGE
