"""Small deployment on loopback: register, free ports and stand-ins."""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent
from circuits.core.pollers import EPoll

from arbutusbridge.core.model import KEY_SPACE_SIZE
from arbutusbridge.daemon.hub import SocketHub
from arbutusbridge.daemon.timers import TimerService
from arbutusbridge.standins.platform import PlatformStandIn
from arbutusbridge.standins.upstream import (
    EntryUpstreamStandIn,
    UpstreamBehaviour,
)

if TYPE_CHECKING:
    from collections.abc import Callable

LOOPBACK = "127.0.0.1"

FIRST_FREE_PORT = 20_000
FREE_PORT_SPAN = 12_000
PORTS_PER_PROCESS = 1_009
"""Difference between the first port offsets of successive process ids."""

PORT_OFFSETS = itertools.count(os.getpid() * PORTS_PER_PROCESS)
"""Offsets at which this process looks for its next free port."""

FIRST_SNAPSHOT = 1
LISTEN_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class DeploymentShape:
    """Size of a small deployment.

    Attributes:
      service: Name of the only service.
      shards: Number of shards of the service.
      replicas: Number of replicas of each shard.
      data_centres: Names of the data centres; replicas are assigned to them in
        turn.
      slots: Number of slots of each upstream.
      connections: Maximum number of connections to each upstream.
    """

    service: str
    shards: int
    replicas: int
    data_centres: tuple[str, ...]
    slots: int = 2
    connections: int = 25


def find_free_ports(count: int) -> list[int]:
    """Returns TCP ports that are currently free.

    They are below the kernel's range for outgoing connections, so that no
    outgoing connection takes a port before a server listens on it. Processes
    begin at different offsets, and a process returns no port twice before all
    ports of the range have been tried.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_FREE_PORT + next(PORT_OFFSETS) % FREE_PORT_SPAN
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def wait_until_listening(address: tuple[str, int]) -> None:
    """Waits until a server accepts connections at an address.

    Raises:
      TimeoutError: No server accepted a connection in time.
    """
    end = time.monotonic() + LISTEN_TIMEOUT_S
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            socket.create_connection(address).close()
            return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"no server accepts connections at {address}")


def make_register(
    shape: DeploymentShape, port_of: Callable[[int], int]
) -> dict[str, Any]:
    """Returns the register export of a small deployment.

    Args:
      shape: Size of the deployment.
      port_of: Returns the port of an upstream by its number, from 0.
    """
    upstreams = []
    shards = []
    for shard in range(shape.shards):
        names = []
        for replica in range(shape.replicas):
            number = shard * shape.replicas + replica
            name = f"u{shard}-{replica}"
            names.append(name)
            place = shape.data_centres[replica % len(shape.data_centres)]
            upstreams.append(
                {
                    "name": name,
                    "address": LOOPBACK,
                    "port": port_of(number),
                    "data_centre": place,
                    "slots": shape.slots,
                    "connections": shape.connections,
                }
            )
        shards.append(
            {
                "name": f"s{shard}",
                "low": shard * KEY_SPACE_SIZE // shape.shards,
                "high": (shard + 1) * KEY_SPACE_SIZE // shape.shards,
                "weight": 1000 + shard,
                "replicas": names,
            }
        )
    layout = {"epoch": 1, "shards": shards}
    service = {"name": shape.service, "layouts": [layout]}
    return {"upstreams": upstreams, "services": [service]}


class StandIns(BaseComponent):
    """Simulated platform and upstreams under one circuits manager.

    Attributes:
      platform: Simulated platform, None if it runs elsewhere.
      upstreams: Simulated upstreams by name.
    """

    channel = "stand_ins"

    def __init__(
        self,
        register: dict[str, Any] | None,
        platform_address: tuple[str, int] | None,
        service_time_s: float = 0.0,
    ) -> None:
        super().__init__()
        self.poller = EPoll().register(self)
        self.timers = TimerService().register(self)
        self.hub = SocketHub().register(self)
        self.platform: PlatformStandIn | None = None
        if platform_address is not None:
            self.platform = PlatformStandIn(
                self.hub, self.timers, platform_address
            ).register(self)
        self.upstreams: dict[str, EntryUpstreamStandIn] = {}
        if register is not None:
            self.add_upstreams(register, service_time_s)

    def add_upstreams(
        self, register: dict[str, Any], service_time_s: float
    ) -> None:
        """Starts a simulated upstream for each one in the register."""
        held = {
            service["name"]: [
                (layout["epoch"], FIRST_SNAPSHOT)
                for layout in service["layouts"]
            ]
            for service in register["services"]
        }
        for item in register["upstreams"]:
            behaviour = UpstreamBehaviour(
                service_time_s, item["slots"], dict(held)
            )
            self.upstreams[item["name"]] = EntryUpstreamStandIn(
                item["name"],
                self.hub,
                self.timers,
                (item["address"], item["port"]),
                behaviour,
                item["connections"],
            ).register(self)
