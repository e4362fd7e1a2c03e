"""Settings of an entry instance."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from arbutusbridge.settings.base import IpAddress, Name, Port, StrictModel


class Address(StrictModel):
    """An IP address and a TCP port."""

    ip: IpAddress
    port: Port


class CallerLimits(StrictModel):
    """Limits on the requests and connections of callers."""

    body_bytes: int = Field(default=262_144, ge=1, le=16_777_216)
    header_bytes: int = Field(default=16_384, ge=256, le=1_048_576)
    header_count: int = Field(default=64, ge=4, le=1_000)
    nesting: int = Field(default=32, ge=1, le=200)
    connections: int = Field(default=1_000, ge=1, le=60_000)
    request_seconds: float = Field(default=10.0, gt=0, le=600)
    idle_seconds: float = Field(default=60.0, gt=0, le=3_600)


class EntrySettings(StrictModel):
    """Settings file of one entry instance.

    Attributes:
      name: Name, unique among the instances of a deployment.
      region: Region of its data centre.
      data_centre: Data centre in which it runs.
      callers: Address of the HTTP server for callers.
      operators: Address of the HTTP server for operators.
      peers: Address for messages of other instances.
      peer_seeds: Addresses of peers, used while the instance list can't be
        read and no peer is known.
      platform: Addresses of the platform's key-value service.
      peer_secret: Secret shared by the instances of a deployment.
      namespace: Prefix of all keys in the key-value store.
      log_level: Lowest level that is logged.
      caller_limits: Limits on the requests and connections of callers.
      balancer_lag_seconds: Time for which the load balancer may still send
        requests after the instance has stopped being ready.
    """

    name: Name
    region: Name
    data_centre: Name
    callers: Address
    operators: Address
    peers: Address
    platform: list[Address] = Field(min_length=1)
    peer_secret: str = Field(min_length=16)
    peer_seeds: list[Address] = Field(default=[], max_length=64)
    namespace: Name = "arbutusbridge"
    log_level: Literal["debug", "info", "notice", "warning", "error"] = "info"
    caller_limits: CallerLimits = CallerLimits()
    balancer_lag_seconds: float = Field(default=5.0, ge=0, le=60)
