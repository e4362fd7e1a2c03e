"""Documents for the operators' configuration and the announcements."""

from __future__ import annotations

from typing import Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from arbutusbridge.forwarding.feed import KeyRules
from arbutusbridge.forwarding.model import (
    Account,
    Announcement,
    RequestLimits,
    Route,
    RoutingConfiguration,
    WarmUp,
    WeightedService,
)
from arbutusbridge.platform.fields import decode_address, is_upstream_id
from arbutusbridge.settings.loader import format_path

CONFIGURATION_KEY = "op/config"
UPSTREAMS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"

MAX_SLOTS = 1_000_000
MAX_WARM_UP_MS = 86_400_000.0
MAX_UNIX_MS = 2**53
"""Bounds of the numbers in an announcement. Greater ones are mistakes, and some
fit into no message to other instances."""

MAX_QUOTED_CHARACTERS = 100
"""Maximum length of an invalid value in a description."""


class Document(BaseModel):
    """Base class of the platform's documents; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class WeightedServiceDocument(Document):
    """Entry of ``weighted_backends``.

    Attributes:
      weight: Share of the requests; 0 for a part that gets none.
    """

    service: str
    weight: float = Field(ge=0, allow_inf_nan=False)


class RouteDocument(Document):
    """Entry of ``routes``.

    Attributes:
      priority: Rank; a lower value is more urgent.
      max_attempts: Maximum number of upstreams, not sends, per request.
      target_latency_ms: Time within which an answer is fully useful.
      timeout_ms: Maximum time that a caller is kept waiting.
      fanout_services: Shards; each is a service of its own.
      min_shard_ratio: Minimum fraction of the shards in an answer.
      allow_anonymous: Whether requests without a key are accepted.
      allowed_regions: Regions that may run its requests, empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: Literal["idempotent", "non_idempotent"]
    timeout_ms: float = Field(gt=0)
    target_latency_ms: float = Field(gt=0)
    priority: int = 0
    max_attempts: int = Field(default=1, ge=1)
    service: str | None = None
    weighted_backends: tuple[WeightedServiceDocument, ...] = ()
    fanout_services: tuple[str, ...] = ()
    top_k: int = Field(default=0, ge=0)
    min_shard_ratio: float = Field(default=1.0, ge=0, le=1)
    allow_anonymous: bool = False
    allowed_regions: tuple[str, ...] = ()

    def to_route(self) -> Route:
        """Returns the route that the entry describes."""
        services = tuple(
            WeightedService(part.service, part.weight)
            for part in self.weighted_backends
        )
        if not services and self.service is not None:
            services = (WeightedService(self.service),)
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            idempotent=self.kind == "idempotent",
            timeout_s=self.timeout_ms / 1000,
            target_s=self.target_latency_ms / 1000,
            urgency=self.priority,
            most_upstreams=self.max_attempts,
            services=() if self.fanout_services else services,
            shards=self.fanout_services,
            max_records=self.top_k,
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

    name: str
    max_conns: int = Field(default=64, ge=1)
    warmup_s: float = Field(default=0.0, ge=0)
    warmup_per_s: float = Field(default=0.0, ge=0)


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
    api_keys: tuple[str, ...] = Field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float = Field(default=0.0, ge=0)
    burst: float = Field(default=0.0, ge=0)
    allowed_regions: tuple[str, ...] = ()

    def to_account(self) -> Account:
        """Returns the account that the entry describes."""
        return Account(
            self.name,
            self.api_keys,
            self.priority,
            self.rate_per_s,
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
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms / 1000,
            self.idle_timeout_ms / 1000,
        )


class ConfigurationDocument(Document):
    """Value of ``op/config``."""

    version: int
    routes: tuple[RouteDocument, ...]
    services: tuple[ServiceDocument, ...] = ()
    limits: LimitsDocument = LimitsDocument()
    tenants: tuple[AccountDocument, ...] | None = None


class AnnouncementDocument(Document):
    """Value of a key under ``servers/``.

    Every upstream writes all fields but ``born``. An entry without one of them
    is of another writer and names no upstream.

    Attributes:
      addr: IP address and port.
      zone: Data centre.
      version: Version of its software.
      warmup_left_ms: Remaining time for which the upstream is slow after its
        start.
      seq: Number of the entry among those of one start.
      born: Wall-clock time of its start in ms since 1970; 0 from older writers.
    """

    service: str = Field(min_length=1)
    addr: str
    zone: str = Field(min_length=1)
    version: str
    slots: int = Field(ge=1, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    warmup_left_ms: float = Field(ge=0, le=MAX_WARM_UP_MS)
    seq: int = Field(ge=0, le=MAX_UNIX_MS)
    born: int = Field(default=0, ge=0, le=MAX_UNIX_MS)


def decode_configuration(value: bytes) -> Result[RoutingConfiguration, str]:
    """Decodes a configuration; the error states the field and the problem."""
    try:
        document = ConfigurationDocument.model_validate_json(value)
    except ValidationError as err:
        return Err(describe_first_error(err))
    return Ok(
        RoutingConfiguration(
            document.version,
            tuple(route.to_route() for route in document.routes),
            {one.name: one.max_conns for one in document.services},
            document.limits.to_limits(),
            None
            if document.tenants is None
            else tuple(one.to_account() for one in document.tenants),
            {
                one.name: WarmUp(one.warmup_s, one.warmup_per_s)
                for one in document.services
                if one.warmup_per_s > 0
            },
        )
    )


def decode_announcement(key: str, value: bytes) -> Result[Announcement, str]:
    """Decodes an announcement; the id of the upstream is only in the key.

    Anything can write under the keys of the announcements, so that a value may
    be wrong in any way.
    """
    upstream = key.removeprefix(UPSTREAMS_PREFIX)
    if not is_upstream_id(upstream):
        return Err("key: the id is not visible ASCII")
    try:
        document = AnnouncementDocument.model_validate_json(value)
    except ValidationError as err:
        return Err(describe_first_error(err))
    address = decode_address(document.addr)
    if address is None:
        quoted = repr(document.addr[:MAX_QUOTED_CHARACTERS])
        return Err(f"addr: {quoted} is not an IPv4 address and port")
    return Ok(
        Announcement(
            upstream=upstream,
            service=document.service,
            address=address,
            data_centre=document.zone,
            slots=document.slots,
            leaving=document.state == "draining",
            warm_up_s=document.warmup_left_ms / 1000,
            started_ms=document.born,
        )
    )


def is_older(key: str, value: bytes, other: bytes) -> bool:
    """Returns whether a value of a key was written before another one.

    Versions of the configuration are numbered, and so are the announcements of
    one start of an upstream.
    """
    if key == CONFIGURATION_KEY:
        name = "version"
    elif key.startswith(UPSTREAMS_PREFIX):
        name = "seq"
    else:
        return False
    try:
        row, other_row = orjson.loads(value), orjson.loads(other)
        if row.get("born") != other_row.get("born"):
            return False
        return bool(row[name] < other_row[name])
    except (ValueError, AttributeError, KeyError, TypeError):
        return False


KEY_RULES = KeyRules(
    is_older, frozenset({CONFIGURATION_KEY}), (EVACUATIONS_PREFIX,)
)
"""What the values of keys say of their age."""


def describe_first_error(err: ValidationError) -> str:
    """Returns the field and the message of the first validation error.

    The invalid value is left out, as it may be a key.
    """
    detail = err.errors()[0]
    return f"{format_path(detail['loc']) or 'top level'}: {detail['msg']}"
