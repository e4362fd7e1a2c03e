"""Case 9: an instance grants all to an account that it does not know."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet2  # noqa: E402
import quota2  # noqa: E402

RATE_PER_S, BURST = 20.0, 10.0
USUAL_PER_S = RATE_PER_S / quota2.USUAL_RATIO
CUT_S = 5.5
"""core_cut: how long one machine is partitioned from the store."""

CONFIGURED_AFTER_S, HOT_AFTER_S = 0.2, 0.3


async def main(folder, trouble):
    """Runs the case; returns the exit code."""
    fleet = quota2.build_fleet(folder)
    poll = None
    try:
        old = quota2.tenant("old", "key-of-old-1", RATE_PER_S, BURST)
        new = quota2.tenant(quota2.TENANT, quota2.KEY, RATE_PER_S, BURST)
        both = {"routes": quota2.ROUTES, "services": quota2.SERVICES}
        fleet.configure(7, tenants=[old], **both)
        await fleet.start()
        traffic = quota2.Traffic(fleet)
        poll = asyncio.create_task(traffic.entry.poll())
        await asyncio.sleep(1.0)
        ledger = quota2.find_ledger(fleet.instances)
        if trouble:
            ledger.door.cut()
            fleet.record.write("cut_from_store", name=ledger.name)
        await asyncio.sleep(CONFIGURED_AFTER_S)
        fleet.configure(9, tenants=[old, new], **both)
        asyncio.get_running_loop().call_later(
            CUT_S - CONFIGURED_AFTER_S, ledger.door.heal
        )
        await asyncio.sleep(HOT_AFTER_S)
        await traffic.send(USUAL_PER_S * quota2.HOT_X, quota2.HOT_S)
        await traffic.send(USUAL_PER_S, 2.0)
        return traffic.judge(RATE_PER_S, BURST)
    finally:
        if poll is not None:
            poll.cancel()
        await fleet.stop()


if __name__ == "__main__":
    fleet2.run_case(main, FOLDER)
