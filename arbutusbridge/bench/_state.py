"""Memory and processor time of the state that each instance keeps."""

from __future__ import annotations

import gc
import json
import random
import subprocess
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

from arbutusbridge.core.claims.claimpage import Claim, ClaimState
from arbutusbridge.core.configuration import Head, pack
from arbutusbridge.core.membership.membership import Identity, Membership
from arbutusbridge.core.requests.quarantine import Quarantine
from arbutusbridge.core.requests.tier import Tier
from arbutusbridge.daemon.adoption import compile_version
from arbutusbridge.standins.deployment import DeploymentShape, make_register

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.claims.claimpage import Entries

REPEATS = 3
RULES = {"defaults": {"deadline_ms": 65.0, "least_coverage": 0.9}}
SERVICE = "leases"
REPLICAS_PER_SHARD = 10
"""Replicas of one shard, close to the planned 2,500 over 230."""

FIRST_PORT = 1024
DIGEST_BYTES = 16
KIB_PER_MIB = 1024


def measure_min_cpu_s(function: Callable[[], Any]) -> float:
    """Returns the minimum processor time of REPEATS calls, in seconds."""
    times_s = []
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time()
        function()
        times_s.append(time.process_time() - began)
    return min(times_s)


def measure_retained_bytes(make: Callable[[], Any]) -> float:
    """Returns the memory that a function's result retains, in bytes."""
    gc.collect()
    tracemalloc.start()
    retained = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return float(size)


def make_packed_version(upstreams: int) -> bytes:
    """Returns a packed version with a number of upstreams."""
    shape = DeploymentShape(
        SERVICE, upstreams // REPLICAS_PER_SHARD, REPLICAS_PER_SHARD, ("a",)
    )
    register = make_register(shape, lambda number: FIRST_PORT + number)
    return pack(json.dumps(register).encode(), json.dumps(RULES).encode())


def version_bytes(upstreams: int) -> float:
    """Returns the size of a packed version, in bytes."""
    return float(len(make_packed_version(upstreams)))


def measure_adopt_s(upstreams: int) -> float:
    """Returns the processor time of unpacking, checking and compiling."""
    packed = make_packed_version(upstreams)
    head = Head(1, "capacity")
    return measure_min_cpu_s(lambda: compile_version(head, packed))


def measure_configure_s(upstreams: int) -> float:
    """Returns the processor time of configuring a tier with a version."""
    head = Head(1, "capacity")
    configuration = compile_version(head, make_packed_version(upstreams))
    return measure_min_cpu_s(
        lambda: Tier("a", random.Random(1)).configure(configuration)
    )


def measure_tier_bytes(upstreams: int) -> float:
    """Returns the memory of a tier with a number of upstreams, in bytes."""
    packed = make_packed_version(upstreams)

    def make() -> Tier:
        tier = Tier("a", random.Random(1))
        configuration = compile_version(Head(1, "capacity"), packed)
        tier.configure(configuration)
        for name in configuration.upstreams:
            tier.report(name, {SERVICE: ((1, 1),)}, 0.5, False)
        return tier

    return measure_retained_bytes(make)


def measure_report_s(upstreams: int) -> float:
    """Returns the processor time of one status report of each upstream."""
    tier = Tier("a", random.Random(1))
    configuration = compile_version(
        Head(1, "capacity"), make_packed_version(upstreams)
    )
    tier.configure(configuration)

    def report_all() -> None:
        for name in configuration.upstreams:
            tier.report(name, {SERVICE: ((1, 1),)}, 0.5, False)

    return measure_min_cpu_s(report_all)


def measure_member_bytes(members: int) -> float:
    """Returns the memory of a membership of instances, in bytes."""

    def make() -> Membership:
        membership = Membership(Identity("a-0", "a", "10.0.0.1", 7000, 1))
        for number in range(members):
            name = f"a-{number + 1}"
            membership.observe(Identity(name, "a", "10.0.0.1", 7000, 1), 0.0)
        return membership

    return measure_retained_bytes(make)


def measure_quarantine_bytes(fingerprints: int) -> float:
    """Returns the memory of quarantined fingerprints, in bytes."""

    def make() -> Quarantine:
        quarantine = Quarantine()
        for number in range(fingerprints):
            quarantine.on_peer_quarantine(f"{number:032x}", 0.0, 0.0)
        return quarantine

    return measure_retained_bytes(make)


def measure_claim_bytes(claims: int) -> float:
    """Returns the memory of a decoded page of claims, in bytes."""

    def make() -> Entries:
        return {
            number.to_bytes(DIGEST_BYTES, "big"): Claim(
                f"{number:032x}", ClaimState.RAN, {"recorded": True}
            )
            for number in range(claims)
        }

    return measure_retained_bytes(make)


def resident_mb() -> float:
    """Returns the resident memory of a process, in MiB.

    The process imports ``arbutusbridge.daemon.instance`` and does nothing else.
    """
    code = (
        "import arbutusbridge.daemon.instance\n"
        "rows = open('/proc/self/status').read().splitlines()\n"
        "print(next(r for r in rows if r.startswith('VmRSS')).split()[1])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True
    )
    return int(done.stdout) / KIB_PER_MIB
