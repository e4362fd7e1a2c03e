"""After an answer a replica sends additional bytes, the first part of a second
copy; the next answer on that connection reaches a client mixed up with them."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from fleet import (  # noqa: E402
    TROUBLE, Client, Instance, Replica, main, route, service,
)

CLIENTS = 6
PERIOD_S = 0.1  # of one client: 60 requests a second in all
TROUBLES_AT_S, TROUBLE_S, LENGTH_S = (2.0, 10.0), 5.5, 18.0
EXTRA_EVERY = 50  # 0.02 of the answers, at one of three replicas
EXTRA_AFTER_S = 0.005


class GarblingReplica(Replica):
    """Sends additional bytes after some answers."""

    garbles = False
    begin = 0.0
    count = 0
    span = None

    def begin_count(self, now):
        """Returns whether the disruption is played; counts anew in each span."""
        for at in TROUBLES_AT_S:
            if at <= now < at + TROUBLE_S:
                if self.span != at:
                    self.span, self.count = at, 0
                return True
        return False

    async def work(self, request_id, target, writer):
        await asyncio.sleep(self.work_s)
        answer = self.answer(request_id, self.body_for(request_id))
        writer.write(answer)
        await writer.drain()
        now = self.record.now() - self.begin
        during = self.begin_count(now)
        if not (TROUBLE and self.garbles and during):
            return
        self.count += 1
        if self.count % EXTRA_EVERY != 1:
            return
        await asyncio.sleep(EXTRA_AFTER_S)
        writer.write(answer[:-40])
        await writer.drain()
        self.record("additional bytes", replica=self.ident, after=request_id)


async def play(fleet):
    store, record = fleet.store, fleet.record
    for number in range(3):
        replica = GarblingReplica(
            f"i-{number}", "swaps", "north", store, record
        )
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
                stamp = answer.headers.get("x-server-stamp", "-")
                whole = any(
                    answer.body == replica.body_for(request_id)
                    for replica in fleet.replicas
                )
                if f".{request_id}." not in stamp or not whole:
                    broken.append(f"{request_id} got the stamp {stamp}")
            await asyncio.sleep(PERIOD_S)

    await asyncio.gather(*(call(f"c{one}") for one in range(CLIENTS)))
    record("served", of=f"{served[0]}/{served[1]}")
    assert served[0] > 0.9 * served[1], f"only {served} served"
    return broken


main("2", play)
