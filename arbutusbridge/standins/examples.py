"""Generates the example files: two users' deployments and a local one.

The users' deployments have the sizes that the users stated.
``python -m arbutusbridge.standins.examples`` writes the files to ``examples/``.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from arbutusbridge.core.model import KEY_SPACE_SIZE
from arbutusbridge.standins import deployment

EXAMPLES_FOLDER = Path("examples")
EVERYTHING = "everything"
"""Name of the service whose shards are all other services."""

UPSTREAM_PORT = 9000
LOCAL_UPSTREAM_PORT = 19000
LOCAL_PLATFORM_PORT = 18500
LOCAL_PORT_OFFSET = 10_000
LOCAL_SHAPE = deployment.DeploymentShape("leases", 8, 2, ("north", "south"))
SHARD_WEIGHT = 100_000
"""Number of documents in each replica set of the examples."""

NETWORK_PREFIXES = ("192.0.2", "198.51.100", "203.0.113")
"""First three bytes of the IP addresses in each data centre."""


@dataclass(frozen=True, slots=True)
class ServiceGroup:
    """Group of services of the same size.

    Attributes:
      name: Name of the service, or prefix of the names of several.
      count: Number of services.
      replicas: Number of replicas of each service.
      slots: Number of slots of each replica.
      connections: Maximum number of connections to each replica.
      connect_ms: Time to set up a connection.
    """

    name: str
    count: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float

    @property
    def names(self) -> list[str]:
        """Names of the services."""
        if self.count == 1:
            return [self.name]
        return [f"{self.name}-{n:02}" for n in range(1, self.count + 1)]


@dataclass(frozen=True, slots=True)
class UserDeployment:
    """Deployment of one user.

    Attributes:
      name: Name of the folder with its files.
      data_centres: Names of the data centres, one in each region; the region
        has the same name.
      groups: Groups of services.
      rules: Content of the rules file.
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


def make_user_register(user: UserDeployment) -> dict[str, Any]:
    """Returns the register export of a user.

    Each service consists of one shard. A further service has all of these as
    its shards, for searches over everything.
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
    """Returns an unnamed replica; the data centres take turns by its number."""
    place = number % len(user.data_centres)
    return {
        "name": "",
        "address": f"{NETWORK_PREFIXES[place]}."
        f"{1 + number // len(NETWORK_PREFIXES)}",
        "port": UPSTREAM_PORT,
        "data_centre": user.data_centres[place],
        "slots": group.slots,
        "connections": group.connections,
        "connect_ms": group.connect_ms,
    }


def make_service(
    name: str, shards: list[str], replica_sets: list[list[str]]
) -> dict[str, Any]:
    """Returns a service whose shards divide the key space equally."""
    count = len(shards)
    return {
        "name": name,
        "layouts": [
            {
                "epoch": 1,
                "shards": [
                    {
                        "name": shard,
                        "low": number * KEY_SPACE_SIZE // count,
                        "high": (number + 1) * KEY_SPACE_SIZE // count,
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


def make_user_settings(user: UserDeployment) -> dict[str, Any]:
    """Returns the settings of an entry instance."""
    place = user.data_centres[0]
    ip = f"{NETWORK_PREFIXES[0]}.201"
    return {
        "name": f"{place}-entry-1",
        "region": place,
        "data_centre": place,
        "callers": {"ip": ip, "port": 8080},
        "operators": {"ip": ip, "port": 8081},
        "peers": {"ip": ip, "port": 8082},
        "platform": [{"ip": f"{NETWORK_PREFIXES[0]}.250", "port": 8500}],
        "peer_secret": "replace-this-with-a-secret",
        "namespace": user.name,
        "log_level": "info",
        "balancer_lag_seconds": 5.0,
    }


def make_local_files() -> dict[str, Any]:
    """Returns the files of a deployment on loopback with stand-ins, by name."""
    register = deployment.make_register(
        LOCAL_SHAPE, lambda number: LOCAL_UPSTREAM_PORT + number
    )
    settings = make_user_settings(SADDLEBACK)
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


def make_user_files(user: UserDeployment) -> dict[str, Any]:
    """Returns the contents of a user's files by name."""
    return {
        "register.json": make_user_register(user),
        "rules.json": user.rules,
        "instance.json": make_user_settings(user),
    }


def render_files() -> dict[str, str]:
    """Returns the text of all files by path below EXAMPLES_FOLDER."""
    folders = {user.name: make_user_files(user) for user in USERS}
    folders["local"] = make_local_files()
    return {
        f"{folder}/{name}": json.dumps(content, indent=1) + "\n"
        for folder, files in folders.items()
        for name, content in files.items()
    }


def main() -> None:
    """Writes all files below EXAMPLES_FOLDER."""
    for path, text in render_files().items():
        target = EXAMPLES_FOLDER / path
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(text)


if __name__ == "__main__":
    main()
