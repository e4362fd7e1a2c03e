"""A late second copy of an answer begins on an idle connection and ends after
the next request was sent on it."""

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


class CopyingReplica(Replica):
    """Sends some answers a second time, late, on the same connection.

    The copy is the whole answer, byte by byte, with the id of its own request.
    The replica pauses once, while it sends one of the copies.
    """

    paused_at = -PAUSE_EVERY_S

    copies = False
    begin = 0.0
    count = 0
    span = 0.0

    async def work(self, request_id, target, writer):
        await asyncio.sleep(self.work_s)
        await self.wait_for_pause()
        answer = self.answer(request_id, self.body_for(request_id))
        writer.write(answer)
        await writer.drain()
        now = self.record.now() - self.begin
        spans = [at for at in TROUBLES_AT_S if at <= now < at + TROUBLE_S]
        if not (TROUBLE and self.copies and spans):
            return
        if self.span != spans[0]:
            self.span, self.count = spans[0], 0
        self.count += 1
        if self.count % COPY_EVERY != 1:
            return
        await asyncio.sleep(COPY_AFTER_S)
        self.record("copy begins", replica=self.ident, id=request_id)
        writer.write(answer[:-40])
        await writer.drain()
        if self.record.now() - self.paused_at >= PAUSE_EVERY_S:
            self.paused_at = self.record.now()
        await self.wait_for_pause()
        writer.write(answer[-40:])
        await writer.drain()
        self.record("copy ends", replica=self.ident, id=request_id)

    async def wait_for_pause(self):
        """Waits while the replica pauses, on all of its connections."""
        left = self.paused_at + PAUSE_S - self.record.now()
        if left > 0:
            await asyncio.sleep(left)


async def play(fleet):
    store, record = fleet.store, fleet.record
    for number in range(4):
        replica = CopyingReplica(f"i-{number}", "swaps", "north", store, record)
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
    broken, served = [], [0, 0]

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
            if answer is not None and answer.status == 200:
                served[0] += 1
                stamp = answer.headers.get("x-server-stamp", "")
                if f".{request_id}." not in stamp:
                    broken.append(f"{request_id} got the answer {stamp}")
            await asyncio.sleep(PERIOD_S)

    await asyncio.gather(*(call(f"c{one}") for one in range(CLIENTS)))
    record("served", of=f"{served[0]}/{served[1]}")
    assert served[0] > 0.9 * served[1], f"only {served} served"
    return broken


main("2", play)
