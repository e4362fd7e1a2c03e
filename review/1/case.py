"""A late second copy of a rejection begins on an idle connection and ends after
a request that may run once was sent on it: that request runs twice."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from fleet import (  # noqa: E402
    TROUBLE, Client, Instance, Replica, main, route, service,
)

CLIENTS = 6
PERIOD_S = 0.1  # of one client: 60 requests a second in all
TROUBLES_AT_S, TROUBLE_S, LENGTH_S = (2.0, 10.0), 5.0, 17.0
COPY_EVERY = 25  # 0.04 of the answers, at half of the replicas
COPY_AFTER_S, PAUSE_S, PAUSE_EVERY_S = 0.005, 0.25, 6.0


class SheddingReplica(Replica):
    """Rejects a request now and then, as one whose queue is full.

    Some of its answers come a second time, late; the first one in each span is
    a rejection, and the replica pauses while it sends that copy.
    """

    copies = False
    begin = 0.0
    span = 0.0
    count = 0
    paused_at = -PAUSE_EVERY_S

    def rejection(self, request_id):
        return (
            f"HTTP/1.1 503 X\r\nX-Request-Id: {request_id}\r\n"
            f"X-Not-Executed: 1\r\nX-Server-Load: {self.slots},12,{self.slots}"
            "\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\n"
            "queue full\n"
        ).encode()

    async def wait_for_pause(self):
        """Waits while the replica pauses, on all of its connections."""
        left = self.paused_at + PAUSE_S - self.record.now()
        if left > 0:
            await asyncio.sleep(left)

    async def run(self, request_id, target, writer):
        now = self.record.now() - self.begin
        spans = [at for at in TROUBLES_AT_S if at <= now < at + TROUBLE_S]
        first = spans and self.span != spans[0]
        if first:
            self.span, self.count = spans[0], 0
        self.count += 1
        if first:
            # Rejected with or without the disruption.
            answer = self.rejection(request_id)
            self.record("rejects", replica=self.ident, id=request_id)
        else:
            self.runs.append((self.record.now(), request_id))
            self.record("runs", replica=self.ident, id=request_id)
            await asyncio.sleep(self.work_s)
            answer = self.answer(request_id, self.body_for(request_id))
        await self.wait_for_pause()
        writer.write(answer)
        await writer.drain()
        copied = spans and self.copies and self.count % COPY_EVERY == 1
        if not (TROUBLE and copied):
            return
        await asyncio.sleep(COPY_AFTER_S)
        self.record("copy begins", replica=self.ident, id=request_id)
        writer.write(answer[:-6])
        await writer.drain()
        if self.record.now() - self.paused_at >= PAUSE_EVERY_S:
            self.paused_at = self.record.now()
        await self.wait_for_pause()
        writer.write(answer[-6:])
        await writer.drain()
        self.record("copy ends", replica=self.ident, id=request_id)


async def play(fleet):
    store, record = fleet.store, fleet.record
    for number in range(4):
        replica = SheddingReplica(
            f"i-{number}", "swaps", "north", store, record
        )
        replica.copies = number < 2
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
        await asyncio.sleep(PERIOD_S * int(name[1:]) / CLIENTS)
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
            await asyncio.sleep(PERIOD_S)

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
