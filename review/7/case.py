"""Case 7: an answer merged by two versions of the configuration."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet2  # noqa: E402

RATE_PER_S = 10.0
BEFORE_S, CUT_S, AFTER_S = 3.0, 5.5, 5.0
SHORT, LONG = 5, 50
"""Records in an answer of the first route, and of the one that is added."""

SHARDS = {
    "shard-0": "zone-a",
    "shard-1": "zone-a",
    "shard-2": "zone-b",
    "shard-3": "zone-b",
    "shard-4": "zone-b",
}


class Shard(fleet2.Replica):
    """Replica that answers with records of its own."""

    parts: dict[str, bytes] = {}

    def body_for(self, request_id, run):
        """Returns 30 random records and keeps them by signature."""
        body = os.urandom(30 * 16)
        stamp = fleet2.stamp_of(request_id, self.name, run)
        self.parts[stamp] = body
        return body


def greatest(bodies, count):
    """Returns the greatest records of some parts, falling."""
    records = [
        body[at : at + 16] for body in bodies for at in range(0, len(body), 16)
    ]
    return b"".join(sorted(records, reverse=True)[:count])


def judge(answer):
    """Returns what an answer is: right for which route, or wrong."""
    if answer.status != 200:
        return f"status {answer.status}"
    stamps = answer.headers["x-shard-stamps"].split(",")
    stamps = [one.strip() for one in stamps]
    missing = int(answer.headers.get("x-shards-missing", "0"))
    if len(stamps) + missing != len(SHARDS):
        return "wrong: parts"
    if any(one not in Shard.parts for one in stamps):
        return "wrong: signature"
    bodies = [Shard.parts[one] for one in stamps]
    for count in (SHORT, LONG):
        if answer.body == greatest(bodies, count):
            return f"right for top_k {count}"
    return "wrong: not the greatest records"


def route(name, prefix, top_k):
    """Returns a route over all shards."""
    return {
        "name": name,
        "host": "find.example",
        "prefix": prefix,
        "kind": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 250,
        "priority": 1,
        "max_attempts": 2,
        "fanout_services": list(SHARDS),
        "top_k": top_k,
        "min_shard_ratio": 0.8,
    }


async def ask(fleet, instance, verdicts):
    """Sends one request on a connection of its own."""
    connection = fleet2.Connection(instance.front)
    request_id = fleet2.new_id()
    fleet.record.write("sent", id=request_id, to=instance.name)
    answer = await connection.send(
        "GET", "/find/full/7", "find.example", request_id, 2000
    )
    connection.close()
    verdict = judge(answer)
    verdicts[verdict] += 1
    fleet.record.write(
        "answered",
        id=request_id,
        status=answer.status,
        records=len(answer.body) // 16,
        verdict=repr(verdict),
    )


async def main(folder, trouble):
    """Runs the case; returns the exit code."""
    zones = {"zone-a": "north", "zone-b": "south"}
    fleet = fleet2.Fleet(folder, zones)
    try:
        for service, zone in SHARDS.items():
            for _ in range(2):
                fleet.add_replica(service, zone, kind=Shard, work_s=0.01)
        entry = fleet.add_instance("zone-a")
        other = fleet.add_instance("zone-b")
        services = [{"name": one, "max_conns": 26} for one in SHARDS]
        first = route("find", "/find/", SHORT)
        fleet.configure(7, routes=[first], services=services)
        await fleet.start()
        verdicts: Counter[str] = Counter()
        tasks = []
        began = fleet2.now()
        steps = [
            (BEFORE_S, "cut"),
            (BEFORE_S + 0.5, "configure"),
            (BEFORE_S + CUT_S, "heal"),
        ]
        while fleet2.now() < began + BEFORE_S + CUT_S + AFTER_S:
            if steps and fleet2.now() >= began + steps[0][0]:
                step = steps.pop(0)[1]
                if step == "configure":
                    added = route("find-full", "/find/full/", LONG)
                    fleet.configure(9, routes=[first, added], services=services)
                elif trouble and step == "cut":
                    other.door.cut()
                    fleet.record.write("cut_from_store", name=other.name)
                elif trouble:
                    other.door.heal()
                    fleet.record.write("healed", name=other.name)
            tasks.append(asyncio.create_task(ask(fleet, entry, verdicts)))
            await asyncio.sleep(1.0 / RATE_PER_S)
        await asyncio.gather(*tasks)
        wrong = sum(n for one, n in verdicts.items() if one.startswith("wrong"))
        print(f"{sum(verdicts.values())} requests: {dict(verdicts)}")
        if not verdicts[f"right for top_k {SHORT}"]:
            return fleet2.CANNOT_RUN
        return fleet2.BROKEN if wrong else fleet2.HELD
    finally:
        await fleet.stop()


if __name__ == "__main__":
    fleet2.run_case(main, FOLDER)
