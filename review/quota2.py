"""What the cases on quotas share: one tenant, its clients and the count."""

from __future__ import annotations

import asyncio
import zlib
from collections import Counter

import fleet2

TENANT, KEY = "hotel", "key-of-hotel-1"
CLIENTS = 30
GROUPS = 32
WINDOW_S, OVERAGE, SLACK = 5, 0.1, 20
"""quota_window_s, quota_overage and quota_slack of the pages."""

HOT_X, HOT_S = 7.5, 6.5
"""hot_tenant at its largest: times its usual, and for how long."""

USUAL_RATIO = 1.6
"""Limit of a tenant as a multiple of its usual, as on the site."""

ZONES = {"zone-a": "north", "zone-b": "north", "zone-c": "north"}

ROUTES = [
    {
        "name": "fetch",
        "host": "fetch.example",
        "prefix": "/fetch/",
        "kind": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
        "service": "fetch",
    }
]
SERVICES = [{"name": "fetch", "max_conns": 110}]


def build_fleet(folder):
    """Returns a fleet of three machines, each with a replica in its zone."""
    fleet = fleet2.Fleet(folder, ZONES)
    fleet.bounds |= {
        "quota_window_s": WINDOW_S,
        "quota_overage": OVERAGE,
        "quota_slack": SLACK,
    }
    for zone in ZONES:
        fleet.add_replica("fetch", zone, slots=8, queue=16, work_s=0.005)
        fleet.add_instance(zone)
    return fleet


def tenant(name, key, rate, burst):
    """Returns an entry of `tenants`."""
    return {
        "name": name,
        "api_keys": [key],
        "rate_per_s": rate,
        "burst": burst,
    }


def find_ledger(instances):
    """Returns the instance that keeps the tokens of the tenant.

    Each instance logs the groups that it keeps (quota_ledger); the order is
    that of forwarding/ranking.py.
    """
    group = zlib.crc32(TENANT.encode()) % GROUPS
    return min(
        instances, key=lambda one: zlib.crc32(f"{group} {one.name}".encode())
    )


class Entry:
    """The platform's address: which machines get new connections.

    It asks /ready once a second; two misses take a machine out.
    """

    def __init__(self, instances):
        self.instances = instances
        self.misses = dict.fromkeys(instances, 0)
        self.polls = 0

    async def poll(self):
        """Asks all machines once a second."""
        while True:
            await asyncio.gather(*(self.ask(one) for one in self.instances))
            self.polls += 1
            await asyncio.sleep(1.0)

    async def ask(self, instance):
        """Asks one machine."""
        ready = await instance.is_ready()
        self.misses[instance] = 0 if ready else self.misses[instance] + 1

    def pick(self, number):
        """Returns the machine of a client: in its zone, else the next."""
        home = number % len(self.instances)
        order = self.instances[home:] + self.instances[:home]
        return next((one for one in order if self.misses[one] < 2), order[0])


class Traffic:
    """Clients of the tenant.

    Attributes:
      sent: When each request was sent, by its id.
      statuses: Number of answers by status, 0 for none.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.entry = Entry(fleet.instances)
        self.sent = {}
        self.statuses = Counter()

    async def send(self, per_s, seconds):
        """Sends requests at a rate from all clients, for some time."""
        until = fleet2.now() + seconds
        rate = per_s / CLIENTS
        await asyncio.gather(
            *(self.run_client(n, rate, until) for n in range(CLIENTS))
        )

    async def run_client(self, number, rate, until):
        """Sends requests at a rate, on a connection that it keeps."""
        at = fleet2.now() + number / CLIENTS / rate
        connection = None
        while at < until:
            await asyncio.sleep(max(0.0, at - fleet2.now()))
            at += 1.0 / rate
            if connection is None or connection.writer is None:
                connection = fleet2.Connection(self.entry.pick(number).front)
            request_id = fleet2.new_id()
            self.sent[request_id] = fleet2.now()
            to = connection.address[0]
            self.fleet.record.write("sent", id=request_id, to=to)
            answer = await connection.send(
                "GET",
                "/fetch/1",
                "fetch.example",
                request_id,
                2000,
                {"Authorization": f"Token {KEY}"},
            )
            self.statuses[answer.status] += 1
            self.fleet.record.write(
                "answered", id=request_id, status=answer.status
            )
            if not answer.status:
                connection = None
        if connection is not None:
            connection.close()

    def worst_window(self):
        """Returns the most requests both sent and run within a window."""
        runs = {}
        for replica in self.fleet.replicas:
            for request_id, at, account in zip(
                replica.runs, replica.run_at, replica.accounts, strict=True
            ):
                if account == TENANT:
                    runs.setdefault(request_id, at)
        rows = sorted((self.sent[one], at) for one, at in runs.items())
        worst, worst_at = 0, 0.0
        for begin, _ in rows:
            count = sum(
                begin <= sent and at <= begin + WINDOW_S for sent, at in rows
            )
            if count > worst:
                worst, worst_at = count, begin
        return worst, worst_at

    def judge(self, rate, burst):
        """Prints and records the result; returns the exit code."""
        worst, at = self.worst_window()
        limit = (rate * WINDOW_S + burst) * (1 + OVERAGE) + SLACK
        self.fleet.record.write(
            "worst_window",
            requests=worst,
            limit=round(limit, 1),
            begins=round(at - self.fleet.record.began, 3),
        )
        print(
            f"{len(self.sent)} requests, statuses {dict(self.statuses)}; worst "
            f"window of {WINDOW_S} s: {worst} run, {limit:.0f} allowed"
        )
        if not self.statuses[200]:
            return fleet2.CANNOT_RUN
        return fleet2.BROKEN if worst > limit else fleet2.HELD
