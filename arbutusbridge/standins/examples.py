"""Example files of both first users at their stated sizes, and a local one.

``python -m arbutusbridge.standins.examples`` writes them to ``examples/``.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from arbutusbridge.core.model import KEY_SPACE
from arbutusbridge.standins import deployment

EXAMPLES_FOLDER = Path("examples")
EVERYTHING = "everything"
"""Service whose shards are all the other services."""

UPSTREAM_PORT = 9000
LOCAL_UPSTREAM_PORT = 19000
LOCAL_PLATFORM_PORT = 18500
LOCAL_PORT_OFFSET = 10_000
LOCAL_SHAPE = deployment.DeploymentShape("leases", 8, 2, ("north", "south"))
SHARD_WEIGHT = 100_000
"""Documents of one replica set of the examples."""

NETWORKS = ("192.0.2", "198.51.100", "203.0.113")
"""First three bytes of the addresses of each data centre."""


@dataclass(frozen=True, slots=True)
class ServiceGroup:
    """Services of one size.

    Attributes:
      name: Name, numbered where there are several.
      count: Services of this size.
      replicas: Replicas of each.
      slots: Slots of each replica.
      connections: Connections of each replica.
      connect_ms: Time that a new connection takes.
    """

    name: str
    count: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float

    @property
    def names(self) -> list[str]:
        """Names of its services."""
        if self.count == 1:
            return [self.name]
        return [f"{self.name}-{n:02}" for n in range(1, self.count + 1)]


@dataclass(frozen=True, slots=True)
class UserDeployment:
    """One user's deployment.

    Attributes:
      name: Folder of its files.
      data_centres: One in each region, of the same name.
      groups: Services by size.
      rules: The rules file.
    """

    name: str
    data_centres: tuple[str, ...]
    groups: tuple[ServiceGroup, ...]
    rules: dict[str, Any]


SADDLEBACK = UserDeployment(
    "saddleback",
    ("north", "central", "south"),
    (
        ServiceGroup("lease-desk", 20, 2, 2, 25, 6.0),
        ServiceGroup("billing-run", 30, 2, 2, 25, 6.0),
        ServiceGroup("crew-mobile", 1, 4, 4, 110, 1.0),
        ServiceGroup("portal", 1, 3, 4, 110, 1.0),
    ),
    {
        "defaults": {
            "deadline_ms": 1000.0,
            "least_coverage": 0.9,
            "prefer": "latency",
            "urgency": "routine",
        },
        "callers": {
            "crew": {"urgency": "urgent", "deadline_ms": 500.0},
            "call-centre": {"deadline_ms": 800.0},
        },
    },
)

SURCO = UserDeployment(
    "surco",
    ("pampa", "cuyo", "northwest"),
    (
        ServiceGroup("campo-app", 20, 2, 2, 25, 6.0),
        ServiceGroup("coop-portal", 30, 2, 2, 25, 6.0),
        ServiceGroup("informe-viewer", 1, 3, 2, 35, 1.0),
        ServiceGroup("sync-agro", 1, 3, 2, 35, 1.0),
    ),
    {
        "defaults": {
            "deadline_ms": 3000.0,
            "least_coverage": 0.8,
            "prefer": "coverage",
            "urgency": "routine",
        },
        "callers": {"campaign": {"urgency": "urgent", "deadline_ms": 2000.0}},
    },
)

USERS = (SADDLEBACK, SURCO)


def make_register(user: UserDeployment) -> dict[str, Any]:
    """Returns a user's register export.

    Each of its services is one shard; a further service has them all as
    shards, for searches over everything.
    """
    upstreams: list[dict[str, Any]] = []
    services = []
    replica_sets: list[list[str]] = []
    for group in user.groups:
        for name in group.names:
            replicas = []
            for number in range(group.replicas):
                upstream = make_upstream(user, group, len(upstreams))
                upstream["name"] = f"{name}-r{number + 1}"
                replicas.append(upstream["name"])
                upstreams.append(upstream)
            replica_sets.append(replicas)
            services.append(make_service(name, [name], [replicas]))
    names = [service["name"] for service in services]
    services.append(make_service(EVERYTHING, names, replica_sets))
    return {"upstreams": upstreams, "services": services}


def make_upstream(
    user: UserDeployment, group: ServiceGroup, number: int
) -> dict[str, Any]:
    """Returns one replica; replicas take the data centres in turn."""
    place = number % len(user.data_centres)
    return {
        "name": "",
        "address": f"{NETWORKS[place]}.{1 + number // len(NETWORKS)}",
        "port": UPSTREAM_PORT,
        "data_centre": user.data_centres[place],
        "slots": group.slots,
        "connections": group.connections,
        "connect_ms": group.connect_ms,
    }


def make_service(
    name: str, shards: list[str], replica_sets: list[list[str]]
) -> dict[str, Any]:
    """Returns a service whose shards divide the key space evenly."""
    count = len(shards)
    return {
        "name": name,
        "layouts": [
            {
                "epoch": 1,
                "shards": [
                    {
                        "name": shard,
                        "low": number * KEY_SPACE // count,
                        "high": (number + 1) * KEY_SPACE // count,
                        "weight": SHARD_WEIGHT,
                        "replicas": replicas,
                    }
                    for number, (shard, replicas) in enumerate(
                        zip(shards, replica_sets, strict=True)
                    )
                ],
            }
        ],
    }


def make_settings(user: UserDeployment) -> dict[str, Any]:
    """Returns the settings of one entry instance."""
    place = user.data_centres[0]
    ip = f"{NETWORKS[0]}.201"
    return {
        "name": f"{place}-entry-1",
        "region": place,
        "data_centre": place,
        "callers": {"ip": ip, "port": 8080},
        "operators": {"ip": ip, "port": 8081},
        "peers": {"ip": ip, "port": 8082},
        "platform": [{"ip": f"{NETWORKS[0]}.250", "port": 8500}],
        "peer_secret": "replace-this-with-a-secret",
        "namespace": user.name,
        "log_level": "info",
        "balancer_lag_seconds": 5.0,
    }


def make_local_files() -> dict[str, Any]:
    """Returns the files of a deployment on loopback, with stand-ins."""
    register = deployment.make_register(
        LOCAL_SHAPE, lambda number: LOCAL_UPSTREAM_PORT + number
    )
    settings = make_settings(SADDLEBACK)
    for name in ("callers", "operators", "peers"):
        settings[name]["ip"] = deployment.LOOPBACK
        settings[name]["port"] += LOCAL_PORT_OFFSET
    settings["platform"] = [
        {"ip": deployment.LOOPBACK, "port": LOCAL_PLATFORM_PORT}
    ]
    settings["namespace"] = "local"
    rules = {"callers": {"crew": {"urgency": "urgent", "prefer": "latency"}}}
    return {
        "register.json": register,
        "rules.json": rules,
        "instance.json": settings,
    }


def make_files(user: UserDeployment) -> dict[str, Any]:
    """Returns what a user's files hold, by name."""
    return {
        "register.json": make_register(user),
        "rules.json": user.rules,
        "instance.json": make_settings(user),
    }


def render_files() -> dict[str, str]:
    """Returns the text of all files by path under the folder."""
    folders = {user.name: make_files(user) for user in USERS}
    folders["local"] = make_local_files()
    return {
        f"{folder}/{name}": json.dumps(content, indent=1) + "\n"
        for folder, files in folders.items()
        for name, content in files.items()
    }


def main() -> None:
    """Writes all files."""
    for path, text in render_files().items():
        target = EXAMPLES_FOLDER / path
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(text)


if __name__ == "__main__":
    main()
