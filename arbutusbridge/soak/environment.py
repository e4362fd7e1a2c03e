"""Store, upstreams, proxies, callers and real instances of one run."""

from __future__ import annotations

import dataclasses
import json
import math
import random
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from arbutusbridge.daemon.hub import SocketHub
from arbutusbridge.daemon.timers import TimerService
from arbutusbridge.forwarding.model import (
    Announcement,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from arbutusbridge.platform.documents import CONFIGURATION_KEY
from arbutusbridge.platform.standins import (
    StoreFault,
    StoreStandIn,
    UpstreamStandIn,
    encode_announcement,
    encode_configuration,
)
from arbutusbridge.soak.callers import Caller
from arbutusbridge.soak.processes import PROBE_INTERVAL_S, InstanceProcess
from arbutusbridge.soak.proxy import Proxy
from arbutusbridge.soak.record import Disturbance, SoakRecord
from arbutusbridge.standins.deployment import LOOPBACK, free_ports

if TYPE_CHECKING:
    from pathlib import Path

HOST = "soak.example"
STOP_TIMEOUT_S = 4.0
"""Time that instances have for a planned stop."""

STOP_GRACE_S = 1.5
"""Time past it in which a process may still end."""

EXPECTED_START_S = 3.0
"""Time that an instance usually takes to start at most; a run waits longer if
it must."""

MONITOR_INTERVAL_S = 0.25
"""Time between two looks at leases and processes."""

OPERATOR_RETRY_INTERVAL_S = 0.3
"""Time after which operators write again to a store that did not take it."""

MAX_UPSTREAM_CONNECTIONS = 40
"""Connections that an upstream accepts."""


@dataclasses.dataclass(frozen=True, slots=True)
class SoakShape:
    """Size of a run.

    Attributes:
      instances: Instances of each data centre.
      callers: Callers.
      shards: Shards of the two sets that a search may be over.
      capacity: Processor that each instance believes to have; little makes
        it divide searches among its peers.
      changes_ms: Time in which versions must be in force.
    """

    instances: dict[str, int]
    callers: int = 12
    shards: tuple[int, int] = (6, 9)
    capacity: float = 1.0
    changes_ms: int = 3000


class SoakEnvironment(BaseComponent):
    """Everything of one run under one circuits manager.

    Attributes:
      record: What was seen and done.
      instances: Real processes by name.
      upstreams: Upstreams by the name of their place, which stays when
        another upstream takes it.
      proxies: Proxies by kind and target.
    """

    channel = "soak"

    def __init__(self, seed: int, shape: SoakShape, folder: Path) -> None:
        super().__init__()
        self.shape = shape
        self.folder = folder
        self.rng = random.Random(seed)
        self.poller = EPoll().register(self)
        self.timers = TimerService().register(self)
        self.hub = SocketHub().register(self)
        self.started_at = self.timers.clock()
        self.record = SoakRecord(apply_s=shape.changes_ms / 1000)
        self.store = StoreStandIn(
            self.hub, (LOOPBACK, 0), self.timers.clock, self.schedule
        )
        self.proxies: dict[tuple[str, str], Proxy] = {}
        self.upstreams: dict[str, UpstreamStandIn] = {}
        self.born = 0
        self.version = 0
        self.search_shard_set = 0
        self.desk_index = 0
        for service in self.services():
            self.add_upstreams(service)
        self.publish()
        self.instances = self.create_instances()
        self.callers: list[Caller] = []
        self.schedule(MONITOR_INTERVAL_S, self.monitor)

    def clock(self) -> float:
        """Returns seconds since the run began."""
        return self.timers.clock() - self.started_at

    def schedule(self, seconds: float, function: Callable[[], None]) -> None:
        """Calls a function after so many seconds."""
        self.timers.after(seconds, self.channel, function)

    @handler("due")
    def on_due(self, functions: list[Callable[[], None]]) -> None:
        """Calls the functions that are due."""
        for function in functions:
            function()

    def services(self) -> list[str]:
        """Returns every service."""
        shards = [
            f"{'st'[which]}{number}"
            for which, count in enumerate(self.shape.shards)
            for number in range(count)
        ]
        return [*shards, "desk-0", "desk-1", "once"]

    def add_upstreams(self, service: str) -> None:
        """Adds two upstreams of a service in different data centres."""
        places = sorted(self.shape.instances)
        first = self.rng.randrange(len(places))
        for number in range(2):
            place = places[(first + number) % len(places)]
            self.add_upstream(f"{service}.{number}", service, place)

    def add_upstream(
        self, slot: str, service: str, data_centre: str, port: int = 0
    ) -> None:
        """Starts an upstream behind a proxy and announces it."""
        self.born += 1
        upstream = UpstreamStandIn(
            Announcement(
                f"i-{self.born}", service, (LOOPBACK, 1), data_centre, 4
            ),
            self.hub,
            self.clock,
            self.schedule,
            self.rng,
            self.record.runs.append,
            (LOOPBACK, port),
        )
        forward_address = (LOOPBACK, upstream.server.port)
        proxy = self.proxies.get(("upstream", slot))
        if proxy is None:
            proxy = self.add_proxy("upstream", slot, forward_address)
        upstream.announcement = dataclasses.replace(
            upstream.announcement, address=proxy.address, started_ms=self.born
        )
        self.upstreams[slot] = upstream
        self.announce(upstream.announcement)

    def announce(self, announcement: Announcement) -> None:
        """Writes an announcement."""
        self.store.put(*encode_announcement(announcement))

    def add_proxy(
        self, kind: str, target: str, forward_address: tuple[str, int]
    ) -> Proxy:
        """Adds a proxy in front of an address."""
        new_proxy = Proxy(
            self.hub,
            (LOOPBACK, 0),
            forward_address,
            self.timers.clock,
            self.schedule,
        )
        self.proxies[kind, target] = new_proxy
        return new_proxy

    def publish(self) -> None:
        """Lets operators write the next version, once the store takes it."""
        if self.store.fault is not StoreFault.NONE:
            self.schedule(OPERATOR_RETRY_INTERVAL_S, self.publish)
            return
        self.version += self.rng.randint(1, 3)
        shards = tuple(
            f"{'st'[self.search_shard_set]}{number}"
            for number in range(self.shape.shards[self.search_shard_set])
        )
        common: dict[str, Any] = {
            "host": HOST,
            "timeout_s": 1.5,
            "target_s": 0.3,
            "most_upstreams": 2,
        }
        desk = WeightedService(f"desk-{self.desk_index}")
        routes = (
            Route(
                "search",
                prefix="/search/",
                idempotent=True,
                shards=shards,
                most_records=5,
                least_coverage=0.6,
                **common,
            ),
            Route(
                "desk",
                prefix="/desk/",
                idempotent=True,
                services=(desk,),
                **common,
            ),
            Route(
                "once",
                prefix="/once/",
                idempotent=False,
                services=(WeightedService("once"),),
                **common,
            ),
        )
        connections = dict.fromkeys(self.services(), MAX_UPSTREAM_CONNECTIONS)
        configuration = RoutingConfiguration(self.version, routes, connections)
        self.record.configurations.append((self.clock(), configuration))
        self.store.put(CONFIGURATION_KEY, encode_configuration(configuration))

    def create_instances(self) -> dict[str, InstanceProcess]:
        """Writes the settings of all instances; each has an IP of its own."""
        ports = free_ports(4)
        regions = {place: f"r-{place}" for place in self.shape.instances}
        instance_places = [
            (f"{place}-{number}", place)
            for place, count in sorted(self.shape.instances.items())
            for number in range(count)
        ]
        ips = [
            f"127.77.0.{number}"
            for number in range(1, len(instance_places) + 1)
        ]
        instances = {}
        for (name, place), ip in zip(instance_places, ips, strict=True):
            callers, operators, metrics, peers = (
                f"{ip}:{port}" for port in ports
            )
            store = self.add_proxy(
                "store", name, (LOOPBACK, self.store.server.port)
            )
            settings = {
                "name": name,
                "data_centre": place,
                "regions": regions,
                "callers": callers,
                "operators": operators,
                "metrics": metrics,
                "peers": peers,
                "seeds": [f"{one}:{ports[3]}" for one in ips[:3]],
                "store": "{}:{}".format(*store.address),
                "processor": {"share": self.shape.capacity},
                "changes_ms": self.shape.changes_ms,
                "stop_seconds": STOP_TIMEOUT_S,
                "balancer_lag_seconds": 1.0,
            }
            path = self.folder / f"{name}.json"
            path.write_text(json.dumps(settings))
            self.add_proxy("caller", name, (ip, ports[0]))
            log = self.folder / f"{name}.log"
            instances[name] = InstanceProcess(name, (ip, ports[0]), path, log)
        return instances

    def begin(self, ready: Callable[[], None]) -> None:
        """Starts the processes; calls back once all take callers."""
        for instance in self.instances.values():
            instance.start()

        def poll_ready() -> None:
            if all(one.is_listening for one in self.instances.values()):
                self.start_callers()
                ready()
            else:
                self.schedule(PROBE_INTERVAL_S, poll_ready)

        self.schedule(PROBE_INTERVAL_S, poll_ready)

    def start_callers(self) -> None:
        """Starts the callers."""
        routes = [
            ("search", "GET", "/search/"),
            ("search", "GET", "/search/"),
            ("desk", "GET", "/desk/"),
            ("once", "POST", "/once/"),
        ]
        addresses = {
            name: self.proxies["caller", name].address
            for name in self.instances
        }
        self.callers = [
            Caller(
                f"c{number}",
                HOST,
                addresses,
                routes,
                self.record,
                self.hub,
                self.clock,
                self.schedule,
                self.rng,
            )
            for number in range(self.shape.callers)
        ]

    def record_disturbance(
        self, kind: str, target: str, seconds: float
    ) -> Disturbance:
        """Notes something that is done now and lasts so long."""
        now = self.clock()
        done = Disturbance(kind, target, now, now + seconds)
        self.record.disturbances.append(done)
        return done

    def monitor(self) -> None:
        """Ends what has lapsed; notes processes that ended unasked."""
        if self.store.fault is StoreFault.NONE:
            self.store.expire_leases()
        for instance in self.instances.values():
            if (
                instance.has_exited
                and not instance.exit_expected
                and instance.process
            ):
                code = instance.process.returncode
                detail = f"{instance.name} ended by itself with {code}"
                self.record.process_failures.append(detail)
                instance.exit_expected = True
        self.schedule(MONITOR_INTERVAL_S, self.monitor)

    def record_missing_instances(self) -> None:
        """Notes instances that did not take callers again."""
        for done in self.record.disturbances:
            if math.isinf(done.until):
                detail = f"{done.target} did not come back"
                self.record.process_failures.append(detail)
                done.until = self.clock()

    def end(self) -> None:
        """Ends every process that was started here, by its id."""
        for caller in self.callers:
            caller.stopped = True
        for instance in self.instances.values():
            instance.end()

    def kill(
        self, name: str, down_s: float, signal_number: int = signal.SIGKILL
    ) -> None:
        """Kills an instance, or asks it to stop, and starts it again."""
        instance = self.instances[name]
        if instance.exit_expected:
            return
        kind = "kill" if signal_number == signal.SIGKILL else "stop"
        instance.exit_expected = True
        instance.signal(signal.SIGCONT)
        instance.signal(signal_number)
        restart_delay_s = (
            down_s if kind == "kill" else STOP_TIMEOUT_S + STOP_GRACE_S
        )
        done = self.record_disturbance(kind, name, math.inf)

        def restart() -> None:
            if not instance.has_exited:
                detail = f"{name} did not end in {restart_delay_s} s"
                self.record.process_failures.append(detail)
                instance.end()
            instance.start()
            poll_ready()

        def poll_ready() -> None:
            if instance.is_listening:
                done.until = self.clock()
            else:
                self.schedule(PROBE_INTERVAL_S, poll_ready)

        self.schedule(restart_delay_s, restart)
