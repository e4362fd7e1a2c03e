"""Case 8: an instance that stops goes on granting an account's quota."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet2  # noqa: E402
import quota2  # noqa: E402

RATE_PER_S, BURST = 80.0, 10.0
USUAL_PER_S = RATE_PER_S / quota2.USUAL_RATIO
QUIET_S = 8.0
STOP_AFTER_S = 1.0
"""Time after the tenant has become hot at which the machine gets SIGTERM, at
the next moment at which all machines have just been asked for /ready."""


async def stop_and_start(instance, entry):
    """Stops a machine as planned and starts it again."""
    await asyncio.sleep(STOP_AFTER_S)
    polls = entry.polls
    while entry.polls == polls:
        await asyncio.sleep(0.01)
    instance.signal(signal.SIGTERM)
    while instance.process.poll() is None:
        await asyncio.sleep(0.05)
    instance.start()


async def main(folder, trouble):
    """Runs the case; returns the exit code."""
    fleet = quota2.build_fleet(folder)
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
        await fleet.start()
        traffic = quota2.Traffic(fleet)
        poll = asyncio.create_task(traffic.entry.poll())
        await traffic.send(USUAL_PER_S, QUIET_S)
        tasks = [traffic.send(USUAL_PER_S * quota2.HOT_X, quota2.HOT_S)]
        if trouble:
            ledger = quota2.find_ledger(fleet.instances)
            tasks.append(stop_and_start(ledger, traffic.entry))
        await asyncio.gather(*tasks)
        await traffic.send(USUAL_PER_S, 3.0)
        return traffic.judge(RATE_PER_S, BURST)
    finally:
        if poll is not None:
            poll.cancel()
        await fleet.stop()


if __name__ == "__main__":
    fleet2.run_case(main, FOLDER)
