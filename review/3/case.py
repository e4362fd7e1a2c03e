"""The store comes back from a copy some seconds old, and the next version of
the configuration never takes effect."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from fleet import (  # noqa: E402
    TROUBLE, Client, Instance, Replica, free_port, main, route, service,
)

CONTACT_S, APPLY_S = 4.0, 3.0
COPY_AGE_S, AWAY_S = 4.0, 1.0
PEER_PORT = free_port("127.0.0.3")


async def play(fleet):
    store, record = fleet.store, fleet.record
    for name in ("desk-a", "desk-b"):
        for number in range(8):
            await fleet.add(
                Replica(f"i-{name}{number}", name, "north", store, record)
            )
    services = [service("desk-a"), service("desk-b")]

    def version(number, target):
        store.configure(
            number, [route("desk", "/desk/", target)], services
        )

    version(3, "desk-a")
    instances = [
        Instance(f"front-{one}", "north", fleet.folder, store,
                 ip=f"127.0.0.{one + 1}", peer_port=PEER_PORT)
        for one in range(2)
    ]
    await fleet.start(*instances)
    fleet.tasks.append(asyncio.create_task(fleet.beats()))
    await asyncio.sleep(2)
    copy = store.copy()
    record("copy of the store", revision=store.revision)
    await asyncio.sleep(COPY_AGE_S - 0.5)
    version(4, "desk-a")  # another version, with the same route
    await asyncio.sleep(0.5 + APPLY_S * (not TROUBLE))
    if TROUBLE:
        # Both instances know version 4 before the store goes away.
        record("store away", revision=store.revision)
        store.down()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        await store.listen()
        record("store back", revision=store.revision, era=store.era)
        # What the operator and the replicas wrote is written again.
        await asyncio.sleep(0.3)
        version(4, "desk-a")
        for replica in fleet.replicas:
            replica.announce()
    back = record.now()
    await asyncio.sleep(1.0)
    version(5, "desk-b")
    acknowledged = record.now()
    # A machine that starts now, as after a planned stop, joins them.
    late = Instance("front-2", "north", fleet.folder, store, ip="127.0.0.3",
                    peer_port=PEER_PORT,
                    seeds=[one.settings["peers"] for one in instances])
    await fleet.start(late)
    instances.append(late)
    # In touch again, and the version is due.
    due = max(back, record.now()) + CONTACT_S + 0.5
    await asyncio.sleep(due - record.now())
    old, served, where = [], 0, {}
    for number in range(100):
        instance = instances[number % 3]
        client = Client(instance, record)
        answer = await client.request(f"q{number:03d}", f"/desk/{number}")
        client.close()
        if answer is not None and answer.status == 200:
            served += 1
            if "i-desk-a" in answer.headers["x-server-stamp"]:
                old.append(f"q{number:03d}")
                where[instance.name] = where.get(instance.name, 0) + 1
        await asyncio.sleep(0.1)
    seconds = round(record.now() - acknowledged, 1)
    record("version in force", at_s=seconds, old=len(old), served=served,
           **where)
    assert served >= 50, f"only {served} served"
    if old:
        return f"{len(old)} of 100 requests were run by the old service, " \
               f"up to {seconds} s after version 5 was acknowledged"
    return ""


main("3", play)
