"""Case 10: a cut-off holder of a quota and its successor both grant it."""

from __future__ import annotations

import asyncio
import sys
import zlib
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet2  # noqa: E402
import quota2  # noqa: E402

RATE_PER_S, BURST = 80.0, 10.0
USUAL_PER_S = RATE_PER_S / quota2.USUAL_RATIO
CUT_S = 5.5
"""core_cut: how long one machine is partitioned from the store."""

HOT_AFTER_S = 2.0
QUIET_S = 6.0


def choose_tenant(added, instances):
    """Returns a tenant whose tokens the added instance will keep."""
    for number in range(1000):
        name = f"hotel-{number}"
        group = zlib.crc32(name.encode()) % quota2.GROUPS
        order = sorted(
            instances,
            key=lambda one: zlib.crc32(f"{group} {one.name}".encode()),
        )
        if order[0] is added:
            return name
    raise fleet2.CannotRun("no tenant found")


async def main(folder, trouble):
    """Runs the case; returns the exit code."""
    fleet = quota2.build_fleet(folder)
    added = fleet.add_instance("zone-a")
    quota2.TENANT = choose_tenant(added, fleet.instances)
    present = [one for one in fleet.instances if one is not added]
    holder = quota2.find_ledger(present)
    poll = None
    try:
        fleet.configure(
            7,
            routes=quota2.ROUTES,
            services=quota2.SERVICES,
            tenants=[
                quota2.tenant(quota2.TENANT, quota2.KEY, RATE_PER_S, BURST)
            ],
        )
        await fleet.start(late=added)
        traffic = quota2.Traffic(fleet)
        traffic.entry.misses[added] = 2
        poll = asyncio.create_task(traffic.entry.poll())
        await traffic.send(USUAL_PER_S, QUIET_S)
        if trouble:
            holder.door.cut()
            fleet.record.write("cut_from_store", name=holder.name)
        asyncio.get_running_loop().call_later(CUT_S, holder.door.heal)
        added.start()
        await traffic.send(USUAL_PER_S, HOT_AFTER_S)
        await traffic.send(USUAL_PER_S * quota2.HOT_X, quota2.HOT_S)
        await traffic.send(USUAL_PER_S, 2.0)
        return traffic.judge(RATE_PER_S, BURST)
    finally:
        if poll is not None:
            poll.cancel()
        await fleet.stop()


if __name__ == "__main__":
    fleet2.run_case(main, FOLDER)
