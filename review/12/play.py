"""A request that must not be repeated has run and is answered 503.

A replica begins to work on the request, fails in the middle of it and answers
503 with its signature and without ``X-Not-Executed``. Without the disruption
it does its work and answers 200.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet3 import (
    BROKEN,
    HELD,
    NOT_RUN,
    Fleet,
    Message,
    Replica,
    Run,
    configuration,
    encode,
    main,
    route,
    send,
)

HOST = "crew.example"
REGIONS = {"north-arima": "north", "central-chag": "central"}
REQUESTS = 200
FAILED_SHARE = 0.14


async def play(fleet: Fleet, trouble: bool) -> int:
    """Plays the case."""
    record = fleet.record
    done: dict[str, int] = {}

    async def run_and_fail(replica: Replica, message: Message, run: Run) -> bytes | None:
        """Fails part of the requests at one replica after they have run."""
        count = done["asked"] = done.get("asked", 0) + 1
        if not trouble or count % 7:
            return None
        await asyncio.sleep(replica.work_s)
        run.ended = "503"
        headers = {
            "X-Request-Id": run.request_id,
            "X-Server-Stamp": f"{count:08x}.{replica.name}",
        }
        return encode(503, headers, b"", "Service Unavailable")

    await fleet.store.start()
    for zone in REGIONS:
        await fleet.add_replica("crew-mobile", zone=zone, behaviour=run_and_fail)
    routes = [
        route("swap-out", "/swap/", "crew-mobile", kind="non_idempotent", max_attempts=2)
    ]
    await fleet.configure(configuration(5, routes, ["crew-mobile"]))
    if not await fleet.start_instances(["north-arima", "central-chag"]):
        return NOT_RUN
    await asyncio.sleep(1.0)
    untrue = served = 0
    for number in range(REQUESTS):
        instance = fleet.instances[number % len(fleet.instances)]
        answer = await send(
            instance.callers, HOST, "/swap/2f", "POST", b"unit 7: swapped out"
        )
        runs = [
            run
            for replica in fleet.replicas
            for run in replica.runs
            if run.request_id == answer.request_id and run.ran
        ]
        served += answer.status == 200
        promised = answer.status in (429, 503, 408, 421)
        untrue += promised and bool(runs)
        record.line(
            f"POST {answer.request_id} at {instance.name}: status {answer.status}, "
            f"run {len(runs)} times ({', '.join(run.replica for run in runs)})"
            + (" REFUSED BUT RUN" if promised and runs else "")
        )
        await asyncio.sleep(0.01)
    record.line(f"{served} of {REQUESTS} served, {untrue} answered 503 and run")
    if served < REQUESTS // 2:
        return NOT_RUN
    return BROKEN if untrue else HELD


if __name__ == "__main__":
    main(play, REGIONS)
