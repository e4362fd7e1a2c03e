"""A request that must not be repeated has run and is answered 503.

Twice for 6.5 s, one of seven replicas fails 0.45 of its requests: it begins to
work on a request, fails in the middle of it and answers 503 with its signature
and without ``X-Not-Executed``. Without the disruption it does its work.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet3 import (
    BROKEN,
    HELD,
    NOT_RUN,
    Answer,
    Fleet,
    Message,
    Replica,
    Run,
    configuration,
    encode,
    main,
    now,
    route,
    send,
)

HOST = "crew.example"
REGIONS = {
    "north-arima": "north",
    "central-chag": "central",
    "south-sando": "south",
}
REPLICAS = {"north-arima": 3, "central-chag": 2, "south-sando": 2}
FAILED_SHARE = 0.45
FAULT_S = 6.5
FAULTS_AT_S = (0.0, 12.0)
PLAY_S = 20.0


async def play(fleet: Fleet, trouble: bool) -> int:
    """Plays the case."""
    record = fleet.record
    began = [float("inf")]

    def is_failing() -> bool:
        """Returns whether the replica fails part of its requests now."""
        elapsed_s = now() - began[0]
        return any(at <= elapsed_s < at + FAULT_S for at in FAULTS_AT_S)

    async def run_and_fail(
        replica: Replica, message: Message, run: Run
    ) -> bytes | None:
        """Fails a part of the requests after they have run."""
        if not is_failing() or random.random() >= FAILED_SHARE:
            return None
        await asyncio.sleep(replica.work_s)
        run.ended = "503"
        headers = {
            "X-Request-Id": run.request_id,
            "X-Server-Stamp": f"{random.getrandbits(32):08x}.{replica.name}",
        }
        return encode(503, headers, b"", "Service Unavailable")

    await fleet.store.start()
    for zone, count in REPLICAS.items():
        for _ in range(count):
            await fleet.add_replica("crew-mobile", zone=zone, work_s=0.16)
    fleet.replicas[0].behaviour = run_and_fail
    routes = [
        route("swap-out", "/swap/", "crew-mobile", kind="non_idempotent", max_attempts=2)
    ]
    await fleet.configure(configuration(5, routes, ["crew-mobile"]))
    zones = ["north-arima", "central-chag", "south-sando"]
    if not await fleet.start_instances(zones):
        return NOT_RUN
    await asyncio.sleep(5.0)
    answers: list[tuple[str, Answer]] = []

    async def one(number: int) -> None:
        instance = fleet.instances[number % len(fleet.instances)]
        answer = await send(
            instance.callers,
            HOST,
            f"/swap/{number}",
            "POST",
            b"unit 7: swapped out",
        )
        answers.append((instance.name, answer))

    start = now()
    if trouble:
        began[0] = start
        record.line(f"{fleet.replicas[0].name} fails part of its requests")
    sent = []
    while now() - start < PLAY_S:
        sent.append(asyncio.ensure_future(one(len(sent))))
        await asyncio.sleep(0.016)
    await asyncio.gather(*sent)
    untrue = served = 0
    for name, answer in answers:
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
            f"POST {answer.request_id} at {name}: status {answer.status}, "
            f"run {len(runs)} times ({', '.join(run.replica for run in runs)})"
            + (" REFUSED BUT RUN" if promised and runs else "")
        )
    record.line(
        f"{served} of {len(answers)} served, "
        f"REFUSED: {untrue} answered 503 and run"
    )
    if served < len(answers) // 2:
        return NOT_RUN
    return BROKEN if untrue else HELD


if __name__ == "__main__":
    main(play, REGIONS)
