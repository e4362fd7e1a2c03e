"""Models of the register export: upstreams, shards and services."""

from __future__ import annotations

from typing import Self

from pydantic import Field, model_validator

from arbutusbridge.core.model import KEY_SPACE_SIZE
from arbutusbridge.settings.base import IpAddress, Name, Port, StrictModel


class RegisterUpstream(StrictModel):
    """One upstream of the register, with its capacity."""

    name: Name
    address: IpAddress
    port: Port
    data_centre: Name
    slots: int = Field(ge=1, le=10_000)
    connections: int = Field(ge=1, le=100_000)
    connect_ms: float = Field(default=1.0, ge=0, le=10_000)
    leaving: bool = False


class RegisterShard(StrictModel):
    """One shard: its key range, its weight in documents and its replicas."""

    name: Name
    low: int = Field(ge=0, lt=KEY_SPACE_SIZE)
    high: int = Field(gt=0, le=KEY_SPACE_SIZE)
    weight: int = Field(ge=1)
    replicas: list[Name] = Field(min_length=1)


class RegisterLayout(StrictModel):
    """Division of a service into shards in one epoch."""

    epoch: int = Field(ge=1)
    shards: list[RegisterShard] = Field(min_length=1)

    @model_validator(mode="after")
    def check_ranges(self) -> Self:
        """Checks that the shards cover the key space without gap or overlap."""
        names = {shard.name for shard in self.shards}
        if len(names) != len(self.shards):
            raise ValueError("two shards of one epoch share a name")
        at = 0
        for shard in sorted(self.shards, key=lambda s: s.low):
            if shard.low != at or shard.high <= shard.low:
                raise ValueError(
                    f"shard {shard.name} covers {shard.low} to {shard.high} "
                    f"where a range from {at} is due"
                )
            at = shard.high
        if at != KEY_SPACE_SIZE:
            raise ValueError(
                f"the ranges end at {at} and not at {KEY_SPACE_SIZE}"
            )
        return self


class RegisterService(StrictModel):
    """One service, with two layouts during a repartition."""

    name: Name
    layouts: list[RegisterLayout] = Field(min_length=1, max_length=2)


class Register(StrictModel):
    """A complete register export."""

    upstreams: list[RegisterUpstream] = Field(min_length=1)
    services: list[RegisterService] = Field(min_length=1)

    @model_validator(mode="after")
    def check_references(self) -> Self:
        """Checks that names and addresses are unique and replicas exist."""
        upstreams = [upstream.name for upstream in self.upstreams]
        if len(set(upstreams)) != len(upstreams):
            raise ValueError("two upstreams share a name")
        endpoints = {(u.address, u.port) for u in self.upstreams}
        if len(endpoints) != len(upstreams):
            raise ValueError("two upstreams share an address and port")
        if len({s.name for s in self.services}) != len(self.services):
            raise ValueError("two services share a name")
        upstream_names = set(upstreams)
        for service in self.services:
            check_replicas(service, upstream_names)
        return self


def check_replicas(service: RegisterService, upstream_names: set[str]) -> None:
    """Checks the epochs and replicas of one service.

    Args:
      service: The service.
      upstream_names: Names of all upstreams.

    Raises:
      ValueError: An epoch or replica is listed twice, or a replica is not an
        upstream of the register.
    """
    epochs = {layout.epoch for layout in service.layouts}
    if len(epochs) != len(service.layouts):
        raise ValueError(f"service {service.name} lists one epoch twice")
    for layout in service.layouts:
        for shard in layout.shards:
            unknown = [
                name for name in shard.replicas if name not in upstream_names
            ]
            if unknown:
                raise ValueError(
                    f"shard {shard.name} of service {service.name} names "
                    f"upstream {unknown[0]}, which is not listed"
                )
            if len(set(shard.replicas)) != len(shard.replicas):
                raise ValueError(
                    f"shard {shard.name} of service {service.name} lists "
                    "a replica twice"
                )
