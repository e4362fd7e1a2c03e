"""Environment of a soak run: store, upstreams, proxies, callers, instances."""

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
    Account,
    Announcement,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from arbutusbridge.platform.configuration import CONFIGURATION_KEY
from arbutusbridge.platform.documents import (
    EVACUATIONS_PREFIX,
    UPSTREAMS_PREFIX,
)
from arbutusbridge.platform.standins import (
    StoreFault,
    StoreStandIn,
    UpstreamStandIn,
    add_invalid_entry,
    encode_announcement,
    encode_configuration,
)
from arbutusbridge.soak.callers import Caller
from arbutusbridge.soak.processes import PROBE_INTERVAL_S, InstanceProcess
from arbutusbridge.soak.proxy import Proxy
from arbutusbridge.soak.record import (
    Disturbance,
    SoakRecord,
    UpstreamCrash,
)
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports

if TYPE_CHECKING:
    import socket
    from pathlib import Path

    from arbutusbridge.standins.observations import UpstreamRun

HOST = "soak.example"
STOP_TIMEOUT_S = 4.0
"""Time that instances have for a graceful stop."""

STOP_GRACE_S = 1.5
"""Grace period after STOP_TIMEOUT_S in which a process may still exit."""

EXPECTED_START_TIME_S = 3.0
"""Usual start time of an instance; a run waits longer if necessary."""

MONITOR_INTERVAL_S = 0.25
"""Interval between checks of leases and processes."""

OPERATOR_RETRY_INTERVAL_S = 0.3
"""Interval at which a publish is retried while the store is faulty."""

CRASH_DELAYS_S = (0.0, 0.005, 0.03, 0.06)
"""Times into a run at which requests crash their upstreams."""

CRASH_MARKER = "/crash-"
"""Part of the path of requests that crash the upstreams that run them."""

CRASH_DOWN_RANGE_S = (1.5, 4.0)
"""Minimum and maximum time after which a crashed upstream is back."""

ENTRY_EXPIRY_S = 1.5
"""Time after which the store entry of a crashed upstream is deleted."""

MAX_UPSTREAM_CONNECTIONS = 40
"""Maximum number of connections to one upstream, as configured."""

CALLER_ROUTES = [
    ("search", "GET", "/search/"),
    ("search", "GET", "/search/"),
    ("desk", "GET", "/desk/"),
    ("once", "POST", "/once/"),
]
"""Name, method and target prefix of the routes that callers choose from."""

REVOKED_KEY = "soak-0-b"
"""Key that is revoked during a run with accounts."""

ACCOUNTS = (
    Account("soak-0", ("soak-0-a", REVOKED_KEY)),
    Account("soak-1", ("soak-1-a",), urgency=1),
)
"""Accounts of a run with accounts."""

HOT_ACCOUNT = Account("soak-hot", ("soak-hot-a",), rate=15.0, burst=5.0)
"""Further account of such a run, whose callers send several times its rate."""

HOT_CALLERS = 6
HOT_ROUTES = [("desk", "GET", "/desk/")]


@dataclasses.dataclass(frozen=True, slots=True)
class SoakShape:
    """Size of the deployment of a soak run.

    Attributes:
      instances: Number of instances in each data centre, by its name.
      callers: Number of callers.
      shards: Number of shards in each of the two sets that searches may use.
      capacity: Processor share that each instance is configured with; a small
        one makes it divide searches among its peers.
      changes_ms: Time within which a published version must be in force.
    """

    instances: dict[str, int]
    callers: int = 12
    shards: tuple[int, int] = (6, 9)
    capacity: float = 1.0
    changes_ms: int = 3000


class SoakEnvironment(BaseComponent):
    """All parts of one soak run under one circuits manager.

    Attributes:
      record: Record of requests, runs and disturbances.
      proxies: Proxies by kind (``caller``, ``store`` or ``upstream``) and
        target.
      upstreams: Running upstreams by slot; a slot keeps its name when another
        upstream replaces the one in it.
      born: Number of upstreams started so far.
      crash_rng: Random numbers for crashes of upstreams.
      crash_time_rng: Random numbers for when in a run upstreams crash, and for
        outages of services.
      crash_delays: Time into a run at which each crashing target crashes its
        upstream, in seconds.
      contract_rng: Random numbers for limits of upstreams and cut links.
      platform_rng: Random numbers for restores of the store, and for what
        upstreams say of themselves.
      account_rng: Random numbers for accounts.
      quota_rng: Random numbers for the callers of an account with a rate.
      accounts: Accounts of the next version, None for none.
      evacuation_rng: Random numbers for evacuations of data centres.
      announced: Number of announcements written so far.
      cut_off: Instances that are cut off from all upstreams.
      version: Version of the configuration published last.
      search_shard_set_index: Index of the shard set that searches use, 0 or 1.
      desk_service_index: Index of the service of the ``desk`` route, 0 or 1.
      instances: Instance processes by name.
      other_build: Folder that holds the package of another build, which some
        instances run; None if all run this one.
      update_rng: Random numbers for which instances run the other build.
      invalid_statuses: Whether upstreams send invalid statuses at times.
      status_rng: Random numbers for these.
      entry_rng: Random numbers for invalid entries of the configuration.
    """

    channel = "soak"

    def __init__(
        self,
        seed: int,
        shape: SoakShape,
        folder: Path,
        other_build: Path | None = None,
        invalid_statuses: bool = False,
    ) -> None:
        super().__init__()
        self.other_build = other_build
        self.invalid_statuses = invalid_statuses
        self.status_rng = random.Random(f"statuses {seed}")
        self.update_rng = random.Random(f"updates {seed}")
        self.shape = shape
        self.folder = folder
        self.rng = random.Random(seed)
        # A stream of its own, so that seeds keep their other faults.
        self.crash_rng = random.Random(f"crashes {seed}")
        self.crash_time_rng = random.Random(f"crash times {seed}")
        self.crash_delays: dict[str, float] = {}
        self.contract_rng = random.Random(f"contracts {seed}")
        self.platform_rng = random.Random(f"platform {seed}")
        self.account_rng = random.Random(f"accounts {seed}")
        self.quota_rng = random.Random(f"quota {seed}")
        self.accounts: tuple[Account, ...] | None = None
        self.entry_rng = random.Random(f"entries {seed}")
        self.evacuation_rng = random.Random(f"evacuation {seed}")
        self.poller = EPoll().register(self)
        self.timers = TimerService().register(self)
        self.hub = SocketHub().register(self)
        self.started_at = self.timers.clock()
        self.record = SoakRecord(changes_s=shape.changes_ms / 1000)
        self.store = StoreStandIn(
            self.hub, (LOOPBACK, 0), self.timers.clock, self.schedule
        )
        self.proxies: dict[tuple[str, str], Proxy] = {}
        self.cut_off: set[str] = set()
        self.upstreams: dict[str, UpstreamStandIn] = {}
        self.born = 0
        self.announced = 0
        self.version = 0
        self.search_shard_set_index = 0
        self.desk_service_index = 0
        for service in self.services():
            self.add_upstreams(service)
        self.publish()
        self.instances = self.create_instances()
        self.callers: list[Caller] = []
        self.schedule(MONITOR_INTERVAL_S, self.monitor)

    def clock(self) -> float:
        """Returns the seconds since the environment was created."""
        return self.timers.clock() - self.started_at

    def schedule(self, seconds: float, function: Callable[[], None]) -> None:
        """Calls a function after a delay in seconds."""
        self.timers.after(seconds, self.channel, function)

    @handler("due")
    def on_due(self, functions: list[Callable[[], None]]) -> None:
        """Calls the scheduled functions that are due."""
        for function in functions:
            function()

    def services(self) -> list[str]:
        """Returns the names of all services; each shard is a service."""
        shards = [
            f"{'st'[set_index]}{number}"
            for set_index, count in enumerate(self.shape.shards)
            for number in range(count)
        ]
        return [*shards, "desk-0", "desk-1", "once"]

    def add_upstreams(self, service: str) -> None:
        """Adds two upstreams of a service in different data centres."""
        data_centres = sorted(self.shape.instances)
        first_index = self.rng.randrange(len(data_centres))
        for number in range(2):
            place = data_centres[(first_index + number) % len(data_centres)]
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
        upstream.crash_marker = CRASH_MARKER
        upstream.on_crash = self.on_crash
        upstream.announcement = dataclasses.replace(
            upstream.announcement, address=proxy.address, started_ms=self.born
        )
        self.upstreams[slot] = upstream
        self.record.places[upstream.announcement.upstream] = data_centre
        self.announce(upstream.announcement)

    def on_crash(self, upstream: UpstreamStandIn, run: UpstreamRun) -> None:
        """Crashes an upstream some time into the run of a request."""
        delay_s = self.crash_delays.get(run.target, 0.0)
        self.schedule(delay_s, lambda: self.crash_under(upstream, run))

    def crash_under(self, upstream: UpstreamStandIn, run: UpstreamRun) -> None:
        """Records that a request crashes an upstream, and crashes it.

        It may have ended during the run.
        """
        slots = [s for s, one in self.upstreams.items() if one is upstream]
        crash = UpstreamCrash(
            self.clock(), run.upstream, run.request_id, run.target
        )
        for slot in slots:
            self.record.crashes.append(crash)
            self.crash_slot(slot, self.crash_rng.uniform(*CRASH_DOWN_RANGE_S))

    def crash_slot(self, slot: str, down_s: float) -> None:
        """Crashes the upstream in a slot; a new start follows."""
        upstream = self.upstreams[slot]
        announcement = upstream.announcement
        proxy = self.proxies["upstream", slot]
        self.record_disturbance("crash", slot, down_s)
        proxy.close()
        upstream.server.close()

        def delete_entry() -> None:
            self.store.delete(UPSTREAMS_PREFIX + announcement.upstream)

        def restart() -> None:
            proxy.listen_again()
            if self.upstreams.get(slot) is upstream:
                self.add_upstream(
                    slot,
                    announcement.service,
                    announcement.data_centre,
                    upstream.server.port,
                )

        self.schedule(min(ENTRY_EXPIRY_S, down_s), delete_entry)
        self.schedule(down_s, restart)

    def start_crashing_caller(self, route: str, method: str) -> Caller:
        """Starts a caller that repeats one request that crashes upstreams."""
        number = len(self.callers)
        target = f"/{route}{CRASH_MARKER}{number}"
        delay_s = self.crash_time_rng.choice(CRASH_DELAYS_S)
        self.crash_delays[target] = delay_s
        caller = self.create_caller(
            f"crash{number}", [(route, method, f"/{route}/")], target
        )
        self.callers.append(caller)
        return caller

    def find_owner(self, client: socket.socket) -> str:
        """Returns the instance at the other end of a connection, if any."""
        try:
            ip, _ = client.getpeername()
        except OSError:
            return ""
        for name, instance in self.instances.items():
            if instance.callers[0] == ip:
                return name
        return ""

    def cut_links(self, names: list[str], how: str, seconds: float) -> None:
        """Cuts instances off from all upstreams for a duration.

        Args:
          names: Names of the instances.
          how: What becomes of their connections: ``stall``, ``reset`` or
            ``keep``. New ones are reset in any case.
          seconds: Duration.
        """
        now = self.clock()
        self.cut_off.update(names)
        for name in names:
            cut = Disturbance("links", name, now, now + seconds)
            self.record.link_cuts.append(cut)
        proxies = [
            proxy
            for (kind, _), proxy in self.proxies.items()
            if kind == "upstream"
        ]
        stalled = []
        for proxy in proxies:
            proxy.admits = self.admits_client
            for connection in list(proxy.connections):
                if how == "keep":
                    continue
                if self.find_owner(connection.client) not in names:
                    continue
                if how == "reset":
                    connection.end(with_reset=True)
                else:
                    connection.stalled = True
                    stalled.append(connection)

        def end() -> None:
            self.cut_off.difference_update(names)
            for connection in stalled:
                connection.stalled = False
                connection.flush()

        self.schedule(seconds, end)

    def admits_client(self, client: socket.socket) -> bool:
        """Returns whether a new connection to an upstream is forwarded."""
        return not self.cut_off or self.find_owner(client) not in self.cut_off

    def announce(self, announcement: Announcement) -> None:
        """Writes an announcement to the store."""
        self.announced += 1
        self.store.put(*encode_announcement(announcement, self.announced))

    def write_again(self) -> None:
        """Writes what the operator and the upstreams have written before."""
        _, configuration = self.record.configurations[-1]
        self.store.put(CONFIGURATION_KEY, encode_configuration(configuration))
        for upstream in self.upstreams.values():
            self.announce(upstream.announcement)
        for evacuation in self.record.evacuations:
            if math.isinf(evacuation.until):
                key = EVACUATIONS_PREFIX + evacuation.data_centre
                self.store.put(key, b"")
            else:
                self.store.delete(EVACUATIONS_PREFIX + evacuation.data_centre)

    def add_proxy(
        self, kind: str, target: str, forward_address: tuple[str, int]
    ) -> Proxy:
        """Starts a proxy that forwards to an address.

        Args:
          kind: ``caller``, ``store`` or ``upstream``.
          target: Instance or upstream slot that the proxy belongs to.
          forward_address: Address that connections are forwarded to.
        """
        new_proxy = Proxy(
            self.hub,
            (LOOPBACK, 0),
            forward_address,
            self.timers.clock,
            self.schedule,
        )
        self.proxies[kind, target] = new_proxy
        return new_proxy

    @property
    def search_shards(self) -> tuple[str, ...]:
        """Services that searches use at the moment."""
        index = self.search_shard_set_index
        return tuple(
            f"{'st'[index]}{number}"
            for number in range(self.shape.shards[index])
        )

    def publish(self) -> None:
        """Publishes the next version; retries while the store is faulty."""
        if self.store.fault is not StoreFault.NONE:
            self.schedule(OPERATOR_RETRY_INTERVAL_S, self.publish)
            return
        self.version += self.rng.randint(1, 3)
        shards = self.search_shards
        common_fields: dict[str, Any] = {
            "host": HOST,
            "timeout_s": 1.5,
            "target_s": 0.3,
            "most_upstreams": 2,
        }
        desk = WeightedService(f"desk-{self.desk_service_index}")
        routes = (
            Route(
                "search",
                prefix="/search/",
                idempotent=True,
                shards=shards,
                max_records=5,
                least_coverage=0.6,
                **common_fields,
            ),
            Route(
                "desk",
                prefix="/desk/",
                idempotent=True,
                services=(desk,),
                **common_fields,
            ),
            Route(
                "once",
                prefix="/once/",
                idempotent=False,
                services=(WeightedService("once"),),
                **common_fields,
            ),
        )
        connections = dict.fromkeys(self.services(), MAX_UPSTREAM_CONNECTIONS)
        configuration = RoutingConfiguration(
            self.version, routes, connections, accounts=self.accounts
        )
        self.record.configurations.append((self.clock(), configuration))
        value = encode_configuration(configuration)
        # An earlier build refuses a version with an invalid entry as a whole.
        if self.other_build is None and self.entry_rng.random() < 0.5:
            value = add_invalid_entry(value, self.entry_rng)
        self.store.put(CONFIGURATION_KEY, value)

    def create_instances(self) -> dict[str, InstanceProcess]:
        """Writes the settings of all instances, each with its own IP address.

        Returns:
          Instances by name, not started.
        """
        ports = find_free_ports(4)
        regions = {place: f"r-{place}" for place in self.shape.instances}
        placements = [
            (f"{place}-{number}", place)
            for place, count in sorted(self.shape.instances.items())
            for number in range(count)
        ]
        ips = [f"127.77.0.{number}" for number in range(1, len(placements) + 1)]
        instances = {}
        for (name, place), ip in zip(placements, ips, strict=True):
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
                "upstream_source_ip": ip,
                "changes_ms": self.shape.changes_ms,
                "stop_seconds": STOP_TIMEOUT_S,
                "balancer_lag_seconds": 1.0,
            }
            settings_path = self.folder / f"{name}.json"
            settings_path.write_text(json.dumps(settings))
            self.add_proxy("caller", name, (ip, ports[0]))
            log_path = self.folder / f"{name}.log"
            # The checks read the log, which must not hold an earlier run.
            log_path.unlink(missing_ok=True)
            instance = InstanceProcess(
                name, (ip, ports[0]), settings_path, log_path
            )
            instance.build = self.update_rng.choice((None, self.other_build))
            instances[name] = instance
        return instances

    def begin(self, ready: Callable[[], None]) -> None:
        """Starts the instances, and the callers once all instances listen.

        Args:
          ready: Called after the start of the callers.
        """
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
        self.callers = [
            self.create_caller(f"c{number}", CALLER_ROUTES)
            for number in range(self.shape.callers)
        ]

    def give_keys(self) -> None:
        """Gives all callers keys, before the configuration requires them.

        Two more callers follow: one sends a key that is revoked later, one
        sends none; then those of an account that exceeds its rate. The accounts
        are part of the next version.
        """
        for number, caller in enumerate(self.callers):
            caller.key = ACCOUNTS[number % len(ACCOUNTS)].keys[0]
        self.accounts = (*ACCOUNTS, HOT_ACCOUNT)
        for name, key in (("revoked", REVOKED_KEY), ("keyless", "")):
            caller = self.create_caller(name, CALLER_ROUTES)
            caller.key = key
            self.callers.append(caller)
        for number in range(HOT_CALLERS):
            name = f"hot{number}"
            caller = self.create_caller(name, HOT_ROUTES, rng=self.quota_rng)
            caller.key = HOT_ACCOUNT.keys[0]
            self.callers.append(caller)

    def revoke_key(self) -> None:
        """Publishes a version without REVOKED_KEY."""
        first, *others = ACCOUNTS
        kept = tuple(key for key in first.keys if key != REVOKED_KEY)
        accounts = (dataclasses.replace(first, keys=kept), *others)
        self.accounts = (*accounts, HOT_ACCOUNT)
        self.publish()

    def create_caller(
        self,
        name: str,
        routes: list[tuple[str, str, str]],
        crash_target: str | None = None,
        rng: random.Random | None = None,
    ) -> Caller:
        """Creates a caller, which starts to send requests."""
        if rng is None:
            rng = self.rng if crash_target is None else self.crash_rng
        addresses = {
            name: self.proxies["caller", name].address
            for name in self.instances
        }
        caller = Caller(
            name,
            HOST,
            addresses,
            routes,
            self.record,
            self.hub,
            self.clock,
            self.schedule,
            rng,
            crash_target,
        )
        if self.accounts is not None:
            caller.key = ACCOUNTS[0].keys[0]
        return caller

    def read_quarantine_refusals(self) -> None:
        """Records which requests the instances refused as quarantined."""
        for instance in self.instances.values():
            lines = instance.log_path.read_text(errors="replace").splitlines()
            for line in lines:
                if '"outcome":"quarantined"' in line.replace(": ", ":"):
                    self.record.quarantine_refusals.append(
                        json.loads(line)["request_id"]
                    )

    def record_disturbance(
        self, kind: str, target: str, seconds: float
    ) -> Disturbance:
        """Records a disturbance that begins now.

        Args:
          kind: Kind of the disturbance.
          target: Name of an instance, slot of an upstream, or ``store``.
          seconds: Duration, infinite while the end is unknown.
        """
        now = self.clock()
        done = Disturbance(kind, target, now, now + seconds)
        self.record.disturbances.append(done)
        return done

    def monitor(self) -> None:
        """Expires leases and records processes that exited unexpectedly."""
        if self.store.fault is StoreFault.NONE:
            self.store.expire_leases()
        for instance in self.instances.values():
            if (
                instance.has_exited
                and not instance.exit_expected
                and instance.process
            ):
                exit_code = instance.process.returncode
                detail = f"{instance.name} exited unexpectedly with {exit_code}"
                self.record.process_failures.append(detail)
                instance.exit_expected = True
        self.schedule(MONITOR_INTERVAL_S, self.monitor)

    def record_failed_restarts(self) -> None:
        """Records instances that accept no callers after a kill or stop."""
        for done in self.record.disturbances:
            if math.isinf(done.until):
                detail = f"{done.target} did not come back up"
                self.record.process_failures.append(detail)
                done.until = self.clock()

    def end(self) -> None:
        """Stops all callers and kills all instance processes by their ids."""
        for caller in self.callers:
            caller.stopped = True
        for instance in self.instances.values():
            instance.end()

    def update(self, name: str) -> None:
        """Replaces an instance by one of the other build, with a planned stop.

        One that is stopping or down starts with that build.
        """
        instance = self.instances[name]
        if instance.build is None:
            instance.build = self.other_build
        else:
            instance.build = None
        self.kill(name, 0.0, signal.SIGTERM)

    def kill(
        self, name: str, down_s: float, signal_number: int = signal.SIGKILL
    ) -> None:
        """Kills or gracefully stops an instance and restarts it.

        Args:
          name: Name of the instance.
          down_s: Time until the restart after a kill; a graceful stop waits
            for STOP_TIMEOUT_S and STOP_GRACE_S.
          signal_number: SIGKILL or SIGTERM.
        """
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
