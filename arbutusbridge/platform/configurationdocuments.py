"""Documents of the entries of the operators' configuration.

Whole numbers that are written with a fraction of 0 have been converted by the
parser, and fields that are null have been left out.
"""

from __future__ import annotations

from typing import Literal, Self

from pydantic import Field, model_validator

from arbutusbridge.forwarding.model import (
    Account,
    RequestLimits,
    Route,
    WarmUp,
    WeightedService,
)
from arbutusbridge.forwarding.routes import normalise_host
from arbutusbridge.platform.schema import Document, Name, Text

MAX_COUNT = 2**31 - 1
"""Greater counts are decoded as this one, which fits into every message."""

MAX_DURATION_MS = 86_400_000.0
"""Longer durations are decoded as this one."""

MIN_TARGET_MS = 1.0
MIN_RATE = 1e-6
"""Shorter targets and smaller rates are decoded as these, except a rate of 0,
which stands for no limit."""


def cap_count(number: int) -> int:
    """Returns a count, at most MAX_COUNT in either direction."""
    return max(-MAX_COUNT, min(number, MAX_COUNT))


def cap_duration(duration_ms: float) -> float:
    """Returns a duration in seconds, at most that of MAX_DURATION_MS."""
    return min(duration_ms, MAX_DURATION_MS) / 1000


def round_rate(rate: float) -> float:
    """Returns a rate that is 0 or at least MIN_RATE."""
    return max(rate, MIN_RATE) if rate else 0.0


class WeightedServiceDocument(Document):
    """Entry of ``weighted_backends``.

    Attributes:
      weight: Share of the requests; 0 for a part that gets none.
    """

    service: Name
    weight: float = Field(ge=0)


class RouteDocument(Document):
    """Entry of ``routes``.

    Attributes:
      prefix: Path prefix, with a slash at both ends.
      priority: Rank; a lower value is more urgent.
      max_attempts: Maximum number of upstreams, not sends, per request.
      target_latency_ms: Time within which an answer is fully useful.
      timeout_ms: Maximum time that a caller is kept waiting.
      fanout_services: Shards; each is a service of its own.
      top_k: Number of records in an answer, which every route with shards
        states.
      min_shard_ratio: Minimum fraction of the shards in an answer.
      allow_anonymous: Whether requests without a key are accepted.
      allowed_regions: Regions that may run its requests, empty for all.
    """

    name: Text
    host: Text
    prefix: str = Field(pattern=r"(?s)^/(.*/)?$")
    kind: Literal["idempotent", "non_idempotent"]
    timeout_ms: float = Field(ge=0)
    target_latency_ms: float = Field(ge=0)
    priority: int = 0
    max_attempts: int = Field(default=1, ge=0)
    service: Text = ""
    weighted_backends: list[WeightedServiceDocument] = []
    fanout_services: list[Name] = []
    top_k: int | None = Field(default=None, ge=0)
    min_shard_ratio: float = Field(default=1.0, ge=0, le=1)
    allow_anonymous: bool = False
    allowed_regions: list[Name] = []

    @model_validator(mode="after")
    def check_records(self) -> Self:
        """Checks that a route with shards states the number of records."""
        if self.fanout_services and self.top_k is None:
            raise ValueError("a route with shards has no top_k")
        return self

    def to_route(self) -> Route:
        """Returns the route that the entry describes."""
        services = tuple(
            WeightedService(part.service, part.weight)
            for part in self.weighted_backends
        )
        if not services and self.service:
            services = (WeightedService(self.service),)
        return Route(
            name=self.name,
            host=normalise_host(self.host),
            prefix=self.prefix,
            idempotent=self.kind == "idempotent",
            timeout_s=cap_duration(self.timeout_ms),
            target_s=cap_duration(max(self.target_latency_ms, MIN_TARGET_MS)),
            urgency=cap_count(self.priority),
            most_upstreams=cap_count(self.max_attempts),
            services=() if self.fanout_services else services,
            shards=tuple(dict.fromkeys(self.fanout_services)),
            max_records=cap_count(self.top_k or 0),
            least_coverage=self.min_shard_ratio,
            allows_anonymous=self.allow_anonymous,
            homes=frozenset(self.allowed_regions),
        )


class ServiceDocument(Document):
    """Entry of ``services``.

    Attributes:
      max_conns: Connections that one upstream accepts from all callers
        together.
      warmup_s: Time for which an upstream is cold after its start.
      warmup_per_s: Requests per second that a cold one takes from all instances
        together, 0 for no limit.
    """

    name: Name
    max_conns: int = Field(default=64, ge=1)
    warmup_s: float = Field(default=0.0, ge=0)
    warmup_per_s: float = Field(default=0.0, ge=0)

    def to_warm_up(self) -> WarmUp | None:
        """Returns the warm-up of its upstreams, None if it has no limit."""
        rate = round_rate(self.warmup_per_s)
        return WarmUp(self.warmup_s, rate) if rate else None


class AccountDocument(Document):
    """Entry of ``tenants``.

    Attributes:
      name: Name, which is sent to upstreams in a header and therefore has no
        control characters.
      priority: Rank that takes precedence over that of a route.
      rate_per_s: Requests per second, 0 for no limit.
      burst: Requests beyond the rate that may come at once.
      allowed_regions: Regions that may run its requests, empty for all.
    """

    name: str = Field(pattern=r"^[^\x00-\x1f\x7f]+$")
    api_keys: list[Text] = Field(default=[], repr=False)
    priority: int | None = None
    rate_per_s: float = Field(default=0.0, ge=0)
    burst: float = Field(default=0.0, ge=0)
    allowed_regions: list[Name] = []

    def to_account(self) -> Account:
        """Returns the account that the entry describes."""
        urgency = None if self.priority is None else cap_count(self.priority)
        return Account(
            self.name,
            tuple(self.api_keys),
            urgency,
            round_rate(self.rate_per_s),
            self.burst,
            frozenset(self.allowed_regions),
        )


class LimitsDocument(Document):
    """Field ``limits``: limits on callers' requests."""

    max_header_bytes: int = Field(default=16_384, ge=1)
    max_body_bytes: int = Field(default=262_144, ge=0)
    header_timeout_ms: float = Field(default=10_000, gt=0)
    idle_timeout_ms: float = Field(default=60_000, gt=0)

    def to_limits(self) -> RequestLimits:
        """Returns the limits that the field describes."""
        return RequestLimits(
            cap_count(self.max_header_bytes),
            cap_count(self.max_body_bytes),
            cap_duration(self.header_timeout_ms),
            cap_duration(self.idle_timeout_ms),
        )


LIMIT_NAMES = {
    "max_header_bytes": "header_bytes",
    "max_body_bytes": "body_bytes",
    "header_timeout_ms": "header_timeout_s",
    "idle_timeout_ms": "idle_timeout_s",
}
"""Names of the limits in the model, by field of the document."""
