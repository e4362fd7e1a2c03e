"""Settings of an instance that forwards by route."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field

from arbutusbridge.settings.base import Name, StrictModel
from arbutusbridge.settings.instance import Address

SETTINGS_ENV_VARIABLE = "ARBUTUSBRIDGE_SETTINGS"
"""Environment variable with the path of the settings file."""


def split_address(value: Any) -> Any:
    """Turns ``IP:PORT`` into the fields of an address."""
    if not isinstance(value, str):
        return value
    ip, _, port = value.rpartition(":")
    if not port.isdigit():
        raise ValueError("an address is an IP number, a colon and a port")
    return {"ip": ip, "port": int(port)}


AddressText = Annotated[Address, BeforeValidator(split_address)]


class ExtraLimits(StrictModel):
    """Bound on arrivals beyond the first of each request, by service.

    Attributes:
      ratio: Extra arrivals per request.
      slack: Extra arrivals besides, over all instances.
      window_s: Length of the sliding window.
    """

    ratio: float = Field(default=0.2, ge=0, le=10)
    slack: float = Field(default=50.0, ge=0)
    window_s: float = Field(default=10.0, gt=0, le=600)


class Processor(StrictModel):
    """The processor that a process may use.

    Attributes:
      share: Part of the machine's processor.
      speed: Speed of the machine's processor, relative to one usual core.
    """

    share: float = Field(default=1.0, gt=0, le=1024)
    speed: float = Field(default=1.0, gt=0, le=1024)


class ForwardSettings(StrictModel):
    """What one process learns from its settings file.

    Attributes:
      name: Unique over the instances of a deployment.
      data_centre: Where it runs.
      regions: Region of each data centre.
      callers: Address of the callers' HTTP.
      operators: Address of ``/ready`` and the other operators' paths.
      metrics: Second address of the same, at a port known to monitoring.
      peers: Address that other instances reach it at, None to ask all
        upstreams from here.
      seeds: Addresses of other instances, for a start without the store. Only
        the IP number counts; they take peers' messages at the port of this
        one.
      store: Address of the store.
      changes_ms: Time in which what the store takes must be in force here.
      stop_seconds: Time that a planned stop may take at most.
      balancer_lag_seconds: How long the balancer may go on sending requests
        after readiness went false.
      extras: Bound on extra arrivals at upstreams.
      processor: What of a processor it may use; peers share wide scatters by
        it.
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
    changes_ms: int = Field(default=3000, ge=100, le=600_000)
    stop_seconds: float = Field(default=6.0, gt=0, le=600)
    balancer_lag_seconds: float = Field(default=2.5, ge=0, le=60)
    extras: ExtraLimits = ExtraLimits()
    processor: Processor = Processor()
    log_level: Literal["debug", "info", "notice", "warning", "error"] = "info"

    @property
    def changes_s(self) -> float:
        """The same time in seconds."""
        return self.changes_ms / 1000

    @property
    def capacity(self) -> float:
        """The processor that it may use, in cores."""
        return self.processor.share * self.processor.speed
