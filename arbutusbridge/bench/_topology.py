"""Small configurations for measurements on virtual time."""

from __future__ import annotations

from arbutusbridge.core.model import (
    KEY_SPACE_SIZE,
    Configuration,
    Layout,
    Policy,
    Rules,
    Shard,
    Upstream,
)

SERVICE = "lease-desk"
DATA_CENTRES = ("north", "central", "south")


def make_configuration(
    shards: int,
    replicas: int,
    policy: Policy,
    slots: int = 2,
    connections: int = 25,
) -> Configuration:
    """Returns a configuration of one service with shards of equal size.

    The replicas of each shard are spread over the data centres.

    Args:
      shards: Number of shards.
      replicas: Number of replicas of each shard.
      policy: Default policy.
      slots: Number of attempts that one replica serves concurrently.
      connections: Number of connections that one replica accepts.
    """
    listed = []
    upstreams: dict[str, Upstream] = {}
    for shard in range(shards):
        names = tuple(f"u{shard}-{replica}" for replica in range(replicas))
        for replica, name in enumerate(names):
            place = DATA_CENTRES[(shard + replica) % len(DATA_CENTRES)]
            port = 1000 + len(upstreams)
            upstreams[name] = Upstream(
                name, "127.0.0.1", port, place, slots, connections, 1.0
            )
        low = shard * KEY_SPACE_SIZE // shards
        high = (shard + 1) * KEY_SPACE_SIZE // shards
        listed.append(Shard(f"s{shard}", low, high, 1, names))
    layout = Layout.of(SERVICE, 1, tuple(listed))
    rules = Rules(policy)
    return Configuration(1, "bench", {SERVICE: (layout,)}, upstreams, rules)
