"""A replica leaves while the store is down and says so in all its answers; it
still gets requests, and those at work when it ends are lost."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from fleet import (  # noqa: E402
    TROUBLE, Client, Instance, Replica, main, route, service,
)

CLIENTS, PERIOD_S = 8, 0.05
STORE_DOWN_S = 4.5
DRAIN_S = 3.0
LONGER_S = 1.0  # it serves drain_ms and a little longer


class LeavingReplica(Replica):
    """Announces its end in its answers: Server-Leaving."""

    first_told = None

    async def work(self, request_id, target, writer):
        await asyncio.sleep(self.work_s)
        writer.write(self.answer(request_id, self.body_for(request_id)))
        await writer.drain()
        if self.extra_headers and self.first_told is None:
            self.first_told = self.record.now()
            self.record("says that it leaves", replica=self.ident)


async def play(fleet):
    store, record = fleet.store, fleet.record
    for number in range(3):
        replica = LeavingReplica(
            f"i-{number}", "swaps", "north", store, record
        )
        replica.work_s = 0.16
        await fleet.add(replica)
    store.configure(
        3,
        [route("swap", "/swap/", "swaps", kind="non_idempotent")],
        [service("swaps")],
    )
    instance = Instance("front-1", "north", fleet.folder, store)
    await fleet.start(instance)
    fleet.tasks.append(asyncio.create_task(fleet.beats()))
    leaving = fleet.replicas[0]
    sent, lost = {}, []
    end = record.now() + 9.0

    async def call(name):
        await asyncio.sleep(0.2 * int(name[1:]) / CLIENTS)
        client = Client(instance, record)
        number = 0
        while record.now() < end:
            number += 1
            request_id = f"{name}x{number:04d}"
            sent[request_id] = record.now()
            answer = await client.request(
                request_id, f"/swap/{request_id}", "POST", b"swap"
            )
            if answer is None or answer.status in (502, 504):
                lost.append(request_id)
            await asyncio.sleep(PERIOD_S)

    calls = [
        asyncio.create_task(call(f"c{one}")) for one in range(CLIENTS)
    ]
    await asyncio.sleep(2.0)
    if TROUBLE:
        record("store down")
        store.down()
    down_at = record.now()
    await asyncio.sleep(0.2)
    # It can't report its state while the store is down.
    leaving.state = "draining"
    leaving.extra_headers = "Server-Leaving: 1\r\n"
    if TROUBLE:
        leaving.announcing = False
    else:
        leaving.announce()
    await asyncio.sleep(DRAIN_S + LONGER_S)
    record("ends", replica=leaving.ident)
    ended_at = record.now()
    leaving.down()
    leaving.announcing = False
    if TROUBLE:
        await asyncio.sleep(down_at + STORE_DOWN_S - record.now())
        await store.listen()
        record("store back")
    store.delete(leaving.key)
    await asyncio.gather(*calls)
    assert leaving.first_told is not None, "no answer said that it leaves"
    late = [
        request_id for at, request_id in leaving.arrivals
        if sent[request_id] > leaving.first_told + DRAIN_S
    ]
    record("after drain_ms", requests=len(late), lost=len(lost))
    if late:
        return (
            f"{len(late)} requests that were sent later than drain_ms reached "
            f"the leaving replica; {len(lost)} requests were lost at its end"
        )
    return ""


main("5", play)
