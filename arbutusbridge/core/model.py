"""Data model of layouts, upstreams, policies and configurations."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

KEY_SPACE_SIZE = 65536
"""Number of points in the hashed key space that is split into shards."""


class Urgency(enum.IntEnum):
    """Admission priority of queued requests; the lowest value goes first."""

    URGENT = 0
    ROUTINE = 1


class Preference(enum.StrEnum):
    """What a policy preserves when shards are slow."""

    LATENCY = "latency"
    COVERAGE = "coverage"


@dataclass(frozen=True, slots=True)
class Shard:
    """One key range of a layout.

    Attributes:
      name: Name, unique within its layout.
      low: First point of the key range, inclusive.
      high: End of the key range, exclusive.
      weight: Number of documents, the unit of coverage.
      replicas: Names of the upstreams that hold the shard.
    """

    name: str
    low: int
    high: int
    weight: int
    replicas: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Layout:
    """The division of a service into shards in one epoch."""

    service: str
    epoch: int
    shards: tuple[Shard, ...]
    total_weight: int

    @classmethod
    def of(cls, service: str, epoch: int, shards: tuple[Shard, ...]) -> Layout:
        """Builds a layout and computes its total weight."""
        return cls(service, epoch, shards, sum(s.weight for s in shards))

    def shard_at(self, point: int) -> Shard:
        """Returns the shard whose key range contains a point.

        Raises:
          KeyError: No shard contains the point.
        """
        for shard in self.shards:
            if shard.low <= point < shard.high:
                return shard
        raise KeyError(point)


@dataclass(frozen=True, slots=True)
class Upstream:
    """One replica process that answers sub-requests.

    Attributes:
      name: Name, unique within the register.
      address: IP address.
      port: TCP port.
      data_centre: Data centre that it runs in.
      slots: Number of sub-requests that it processes concurrently.
      connections: Number of connections that it accepts from all instances
        together.
      connect_ms: Time to open a new connection, in milliseconds.
      leaving: Whether the register marks it for removal.
    """

    name: str
    address: str
    port: int
    data_centre: str
    slots: int
    connections: int
    connect_ms: float
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Policy:
    """What the rules require of a caller's requests to a service.

    Attributes:
      deadline_ms: Time from arrival to answer, in milliseconds.
      least_coverage: Minimum fraction of the weight that an answer covers.
      urgency: Admission priority.
      prefer: What to preserve when shards are slow.
      hedge_quantile: Latency quantile after which a shard is hedged.
      extra_load: Attempts beyond the first per shard, as a fraction of the
        shards queried.
      max_hits: Maximum number of hits returned.
    """

    deadline_ms: float = 1000.0
    least_coverage: float = 1.0
    urgency: Urgency = Urgency.ROUTINE
    prefer: Preference = Preference.COVERAGE
    hedge_quantile: float = 0.95
    extra_load: float = 0.05
    max_hits: int = 100


@dataclass(frozen=True, slots=True)
class Rules:
    """The operators' rules, resolved by caller and service."""

    default: Policy = field(default_factory=Policy)
    policies: dict[tuple[str, str], Policy] = field(default_factory=dict)

    def policy(self, caller: str, service: str) -> Policy:
        """Returns the policy for a caller and a service.

        The rules of the caller take precedence over those of the service.
        """
        found = self.policies.get((caller, service))
        if found is None:
            found = self.policies.get((caller, ""))
        if found is None:
            found = self.policies.get(("", service))
        return found if found is not None else self.default


@dataclass(frozen=True, slots=True)
class Configuration:
    """One compiled, immutable configuration version.

    Attributes:
      version: Position in the chain of accepted versions, from 1.
      publish_id: Identifier of the publish that created it.
      layouts: Layouts by service, the newest epoch first.
      upstreams: Upstreams by name.
      rules: Resolved policies.
    """

    version: int
    publish_id: str
    layouts: dict[str, tuple[Layout, ...]]
    upstreams: dict[str, Upstream]
    rules: Rules
