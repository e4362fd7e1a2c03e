"""Command ``soak``: run real instances under faults and check guarantees."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from arbutusbridge.daemon.logs import start_logging
from arbutusbridge.soak.run import LARGE_SHAPE, SoakResult, run_soak

EXIT_USAGE = 2


def soak(
    *seeds: int,
    folder: Path | None = None,
    faults: int = 10,
    seconds: float = 12.0,
    large: bool = False,
    other_build: Path | None = None,
    evacuate: bool = False,
) -> int:
    """Run deployments of real instances under faults, one for each seed.

    Args:
      seeds: Seeds, one for each run.
      folder: Folder for settings and logs, by default a temporary one.
      faults: Number of faults in each run.
      seconds: Number of seconds within which the faults begin.
      large: Run deployments of 200 instances; they need about 10 GB of memory.
      other_build: Folder that holds the package of another build, for example
        an export of the commit in production. Instances of both builds then
        run side by side, with updates and roll-backs as further faults.
      evacuate: Evacuate a data centre during the faults of each run.

    Returns:
      0 if every guarantee held, 1 if not, 2 for wrong usage.
    """
    if not seeds:
        print("No seeds given. Remedy: soak 1 2 3.", file=sys.stderr)
        return EXIT_USAGE
    if other_build is not None and not (other_build / "arbutusbridge").is_dir():
        print(
            f"No package in {other_build}. Remedy: export a commit there, "
            "git archive COMMIT arbutusbridge | tar -x -C FOLDER.",
            file=sys.stderr,
        )
        return EXIT_USAGE
    handler = start_logging("warning", sys.stderr)
    held = True
    for seed in seeds:
        with tempfile.TemporaryDirectory() as temporary:
            run_folder = (
                Path(temporary) if folder is None else folder / str(seed)
            )
            run_folder.mkdir(parents=True, exist_ok=True)
            shape = LARGE_SHAPE if large else None
            result = run_soak(
                seed,
                run_folder,
                faults,
                seconds,
                shape,
                other_build,
                evacuate,
            )
        report(result)
        held = held and not result.breaches
    handler.close()
    return 0 if held else 1


def report(result: SoakResult) -> None:
    """Prints the result of a run, with its faults if a guarantee failed."""
    instance_counts = "+".join(str(n) for n in result.shape.instances.values())
    print(
        f"seed {result.seed}: {instance_counts} instances, "
        f"{result.served} of {result.requests} requests served, "
        f"{result.crashed} upstreams crashed by requests, "
        f"{len(result.breaches)} promises broken",
        flush=True,
    )
    if result.breaches:
        for breach in result.breaches[:20]:
            print(f"  {breach.guarantee} {breach.request_id}: {breach.detail}")
        for line in result.plan:
            print(f"  {line}", flush=True)
