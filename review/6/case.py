"""Case 6: a late second copy of a rejection is taken for that of the retry."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet2  # noqa: E402

LENGTH_S = 12.0
CLIENTS = 14
TROUBLE_FROM_S, TROUBLE_FOR_S = 3.0, 5.0
"""When one of the two replicas hands out second copies, and for how long."""

COPIED_SHARE = 0.03
"""Largest share of the answers that a replica gives twice (garble, "extra
late", x = 0.03)."""

PROMISES = (408, 421, 429, 503)


class Copying(fleet2.Replica):
    """Replica that sends a second copy of a few of its answers, late.

    The copy comes where the next response on that connection is expected.
    """

    trouble_from = trouble_until = 0.0
    answers = copies = 0

    @property
    def in_trouble(self):
        """Whether it hands out second copies now."""
        return self.trouble_from <= fleet2.now() < self.trouble_until

    async def after_rejection(self, request_id, writer):
        """Keeps a copy of the rejection for the next response."""
        allowed = COPIED_SHARE * self.answers
        if self.in_trouble and self.copies + 1 <= allowed:
            self.copies += 1
            head = {**self.head(request_id), "X-Not-Executed": "1"}
            data = fleet2.encode_answer(503, b"", head)
            writer.late_copy = request_id, data

    async def handle(self, request, writer):
        """Sends the late copy first, if there is one."""
        self.answers += self.in_trouble
        copy = getattr(writer, "late_copy", None)
        if copy is not None:
            writer.late_copy = None
            request_id = request.headers.get("x-request-id")
            self.record.write(
                "second_copy", at=self.name, of=copy[0], before=request_id
            )
            await self.reply(writer, copy[1])
        await super().handle(request, writer)


async def client(fleet, instance, until, answers, rng):
    """Sends one booking after the other."""
    connection = fleet2.Connection(instance.front)
    while fleet2.now() < until:
        request_id = fleet2.new_id()
        fleet.record.write("sent", id=request_id, to=instance.name)
        answer = await connection.send(
            "POST", "/book/1", "book.example", request_id, 6000, body=b"x" * 20
        )
        answers[request_id] = answer.status
        fleet.record.write("answered", id=request_id, status=answer.status)
        await asyncio.sleep(rng.uniform(0.0, 0.03))
    connection.close()


async def main(folder, trouble):
    """Runs the case; returns the exit code."""
    fleet = fleet2.Fleet(folder, {"zone-a": "north", "zone-b": "south"})
    rng = random.Random(6)
    try:
        for _ in range(2):
            fleet.add_replica(
                "book",
                "zone-b",
                kind=Copying,
                slots=2,
                queue=4,
                work_s=0.03,
                way_s=0.008,
            )
        instances = [fleet.add_instance("zone-a") for _ in range(2)]
        fleet.configure(
            7,
            routes=[
                {
                    "name": "book",
                    "host": "book.example",
                    "prefix": "/book/",
                    "kind": "non_idempotent",
                    "timeout_ms": 6000,
                    "target_latency_ms": 600,
                    "priority": 1,
                    "max_attempts": 1,
                    "service": "book",
                }
            ],
            services=[{"name": "book", "max_conns": 26}],
        )
        await fleet.start()
        began = fleet2.now()
        until = began + LENGTH_S
        if trouble:
            copying = fleet.replicas[0]
            copying.trouble_from = began + TROUBLE_FROM_S
            copying.trouble_until = copying.trouble_from + TROUBLE_FOR_S
        answers: dict[str, int] = {}
        await asyncio.gather(
            *(
                client(fleet, instances[n % 2], until, answers, rng)
                for n in range(CLIENTS)
            )
        )
        await asyncio.sleep(1.0)
        runs = Counter(one for each in fleet.replicas for one in each.runs)
        twice = [one for one, count in runs.items() if count > 1]
        refused = [
            one
            for one, status in answers.items()
            if status in PROMISES and runs[one]
        ]
        for one in twice:
            fleet.record.write("TWICE", id=one, runs=runs[one])
        for one in refused:
            fleet.record.write("REFUSED", id=one, status=answers[one])
        copies = sum(one.copies for one in fleet.replicas)
        total = sum(one.answers for one in fleet.replicas)
        print(
            f"{len(answers)} requests, statuses {dict(Counter(answers.values()))}; "
            f"{copies} of {total} answers copied in the trouble; "
            f"TWICE {len(twice)}, REFUSED {len(refused)}"
        )
        if not any(status == 200 for status in answers.values()):
            return fleet2.CANNOT_RUN
        return fleet2.BROKEN if twice or refused else fleet2.HELD
    finally:
        await fleet.stop()


if __name__ == "__main__":
    fleet2.run_case(main, FOLDER)
