"""After a rejection a replica sends additional bytes, the first part of a second
copy; the next request on that connection, which may run once, runs twice."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from fleet import (  # noqa: E402
    TROUBLE, Client, Instance, Replica, main, route, service,
)

CLIENTS, SLOTS, WORK_S = 8, 2, 0.1
PAUSE_S = 0.05  # of a client, between two requests: 53 a second in all
TROUBLES_AT_S, TROUBLE_S, LENGTH_S = (2.0, 10.0), 5.5, 18.0
EVERY = 50  # 0.02 of the answers, at one of three replicas
EXTRA_AFTER_S = 0.005


class GarblingReplica(Replica):
    """Rejects a request now and then, as one whose queue is full.

    With the disruption, additional bytes follow after such an answer.
    """

    garbles = False
    begin = 0.0
    count = 0
    span = None

    def rejection(self, request_id):
        return (
            f"HTTP/1.1 503 X\r\nX-Request-Id: {request_id}\r\n"
            f"X-Not-Executed: 1\r\nX-Server-Load: {self.slots},12,{self.slots}"
            "\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\n"
            "queue full\n"
        ).encode()

    def begin_count(self, now):
        """Returns whether the disruption is played; counts anew in each span."""
        for at in TROUBLES_AT_S:
            if at <= now < at + TROUBLE_S:
                if self.span != at:
                    self.span, self.count = at, 0
                return True
        return False

    async def run(self, request_id, target, writer):
        now = self.record.now() - self.begin
        during = self.begin_count(now)
        self.count += self.garbles and during
        if not (self.garbles and during and self.count % EVERY == 1):
            self.runs.append((self.record.now(), request_id))
            self.record("runs", replica=self.ident, id=request_id)
            await self.work(request_id, target, writer)
            return
        answer = self.rejection(request_id)
        writer.write(answer)
        await writer.drain()
        self.record("rejects", replica=self.ident, id=request_id)
        if TROUBLE:
            await asyncio.sleep(EXTRA_AFTER_S)
            writer.write(answer[:-6])
            await writer.drain()
            self.record("additional bytes", replica=self.ident,
                        after=request_id)


async def play(fleet):
    store, record = fleet.store, fleet.record
    for number in range(3):
        replica = GarblingReplica(
            f"i-{number}", "swaps", "north", store, record, SLOTS
        )
        replica.work_s = WORK_S
        replica.garbles = number == 0
        await fleet.add(replica)
    store.configure(
        3,
        [route("swap", "/swap/", "swaps", kind="non_idempotent")],
        [service("swaps")],
    )
    instance = Instance("front-1", "north", fleet.folder, store)
    await fleet.start(instance)
    fleet.tasks.append(asyncio.create_task(fleet.beats()))
    begin = record.now()
    for replica in fleet.replicas:
        replica.begin = begin
    served = [0, 0]

    async def call(name):
        await asyncio.sleep(PAUSE_S * int(name[1:]) / CLIENTS)
        client = Client(instance, record)
        number = 0
        while record.now() - begin < LENGTH_S:
            number += 1
            request_id = f"{name}x{number:04d}"
            answer = await client.request(
                request_id, f"/swap/{request_id}", "POST", b"swap"
            )
            served[1] += 1
            served[0] += answer is not None and answer.status == 200
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(call(f"c{one}") for one in range(CLIENTS)))
    await asyncio.sleep(1.0)
    runs = {}
    for replica in fleet.replicas:
        for _, request_id in replica.runs:
            runs.setdefault(request_id, []).append(replica.ident)
    record("served", of=f"{served[0]}/{served[1]}")
    assert served[0] > 0.9 * served[1], f"only {served} served"
    return [
        f"{request_id} ran at {' and '.join(where)}"
        for request_id, where in runs.items()
        if len(where) > 1
    ]


main("1", play)
