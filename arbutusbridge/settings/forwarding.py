"""Settings of a forwarding instance."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field

from arbutusbridge.settings.base import Name, StrictModel
from arbutusbridge.settings.instance import Address

SETTINGS_ENV_VARIABLE = "ARBUTUSBRIDGE_SETTINGS"
"""Environment variable that holds the path of the settings file."""


def split_address(value: Any) -> Any:
    """Splits ``IP:PORT`` into the fields of an address.

    Raises:
      ValueError: The port is missing or not a number.
    """
    if not isinstance(value, str):
        return value
    ip, _, port = value.rpartition(":")
    if not port.isdigit():
        raise ValueError(
            "an address is an IP address, a colon and a port number, "
            "for example 10.0.0.1:8080"
        )
    return {"ip": ip, "port": int(port)}


AddressText = Annotated[Address, BeforeValidator(split_address)]


class RetryBudgetSettings(StrictModel):
    """Bounds on the retries and hedges of each service.

    An extra arrival is a request that an upstream receives beyond the first
    attempt.

    Attributes:
      ratio: Extra arrivals allowed per request.
      slack: Extra arrivals allowed on top of the ratio, over all instances.
      window_s: Length of the sliding window in which requests and
        extra arrivals are counted.
    """

    ratio: float = Field(default=0.2, ge=0, le=10)
    slack: float = Field(default=50.0, ge=0)
    window_s: float = Field(default=10.0, gt=0, le=600)


class QuotaSettings(StrictModel):
    """Bound that the requests of a client account stay within.

    Attributes:
      window_s: Length of the sliding window in which requests are counted.
      overage: Fraction above rate and burst that may run in a window.
      slack: Requests that may run in addition, over all instances.
    """

    window_s: float = Field(default=5.0, gt=0, le=600)
    overage: float = Field(default=0.1, ge=0, le=10)
    slack: float = Field(default=20.0, ge=4)


class ProcessorSettings(StrictModel):
    """Processor time that an instance may use.

    Attributes:
      share: Maximum number of cores of the machine that it may use.
      speed: Speed of one core of the machine, as a multiple of a usual core.
    """

    share: float = Field(default=1.0, gt=0, le=1024)
    speed: float = Field(default=1.0, gt=0, le=1024)


class OverflowSettings(StrictModel):
    """Work that may be sent to another data centre.

    Attributes:
      max_fraction: Maximum fraction of the requests that is sent away from a
        data centre; 0 switches it off.
    """

    max_fraction: float = Field(default=0.0, ge=0, le=1)


class ForwardSettings(StrictModel):
    """Settings file of one forwarding instance.

    Attributes:
      name: Name, unique among the instances of a deployment.
      data_centre: Data centre in which it runs.
      regions: Region of each data centre.
      callers: Address of the HTTP server for callers.
      operators: Address of the HTTP server for operators.
      metrics: Second address with the same paths, for monitoring that expects
        a certain port.
      peers: Address for messages of other instances. Without it, this instance
        sends requests to all upstreams itself.
      seeds: Addresses of other instances, used for a start while the store is
        down. Only the IP address is used; the port is that of ``peers``.
      store: Address of the store.
      upstream_source_ip: IP address of this host that connections to upstreams
        come from, selected by the system if None.
      changes_ms: Time within which a change in the store must be in force.
      drain_ms: Time for which an upstream goes on serving after the store has
        removed its announcement; by default that of ``changes_ms``.
      stop_seconds: Time limit of a planned stop.
      balancer_lag_seconds: Time for which the load balancer may still send
        requests after the instance has stopped being ready.
      extras: Bounds on retries and hedges.
      quotas: Bounds on the requests of client accounts.
      processor: Processor time that it may use. Peers divide requests to many
        shards among each other in proportion to it.
      overflow: Work that may be sent to another data centre while the usual
        one is too slow.
      log_level: Lowest level that is logged.
    """

    name: Name
    data_centre: Name
    regions: dict[Name, Name] = {}
    callers: AddressText
    operators: AddressText
    metrics: AddressText | None = None
    peers: AddressText | None = None
    seeds: list[AddressText] = []
    store: AddressText
    upstream_source_ip: str | None = None
    changes_ms: int = Field(default=3000, ge=100, le=600_000)
    drain_ms: int | None = Field(default=None, ge=100, le=600_000)
    stop_seconds: float = Field(default=6.0, gt=0, le=600)
    balancer_lag_seconds: float = Field(default=2.5, ge=0, le=60)
    extras: RetryBudgetSettings = RetryBudgetSettings()
    quotas: QuotaSettings = QuotaSettings()
    processor: ProcessorSettings = ProcessorSettings()
    overflow: OverflowSettings = OverflowSettings()
    log_level: Literal["debug", "info", "notice", "warning", "error"] = "info"

    @property
    def changes_s(self) -> float:
        """Value of ``changes_ms`` in seconds."""
        return self.changes_ms / 1000

    @property
    def drain_s(self) -> float:
        """``drain_ms``, or ``changes_ms`` without it, in seconds."""
        return (self.drain_ms or self.changes_ms) / 1000

    @property
    def max_change_delay_s(self) -> float:
        """Time within which any change must take effect, in seconds."""
        return min(self.changes_s, self.drain_s)

    @property
    def capacity(self) -> float:
        """Processor time that it may use, in usual cores."""
        return self.processor.share * self.processor.speed
