"""Data model of routes, announced upstreams and callers' requests.

Times are seconds on the driver's monotonic clock unless a name says otherwise.
"""

from __future__ import annotations

import dataclasses
import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.requests.quarantine import fingerprint_of

if TYPE_CHECKING:
    from collections.abc import Iterable

FINGERPRINT_SAMPLE_BYTES = 32_768
"""Number of bytes at each end of a body that its fingerprint covers, together
with its length, so that the cost of a fingerprint is bounded."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service that receives a weighted share of a route's requests.

    Attributes:
      name: Name of the service.
      weight: Its weight relative to the other services of the route; one of
        weight 0 gets no requests.
    """

    name: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Handling of the requests for one host and path prefix.

    Attributes:
      name: Name that is unique within its configuration.
      host: Host that callers name, in lower case.
      prefix: Path prefix, with a slash at both ends.
      idempotent: Whether an upstream may run a request more than once.
      timeout_s: Maximum time that a caller is kept waiting.
      target_s: Time within which an answer is fully useful.
      urgency: Rank among the routes; 0 is served first.
      most_upstreams: Maximum number of upstreams that one request may be sent
        to, per shard if the route is sharded.
      services: Services that share the requests by weight, empty if sharded.
      shards: Services that each hold one shard, empty if not sharded.
      max_records: Maximum number of records in a merged answer.
      least_coverage: Minimum fraction of the shards in an answer, 0 to 1.
      allows_anonymous: Whether requests without a key are accepted although
        the configuration names client accounts.
      homes: Regions that may run its requests, empty for all.
      mistake: What is wrong with its entry, empty for a valid one. Requests of
        a route with a mistake are refused; only its name, host and prefix are
        known.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    target_s: float
    urgency: int = 0
    most_upstreams: int = 1
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    max_records: int = 0
    least_coverage: float = 1.0
    allows_anonymous: bool = False
    homes: frozenset[str] = frozenset()
    mistake: str = ""

    @property
    def is_servable(self) -> bool:
        """Whether its terms allow any request to be answered by a service."""
        has_service = self.shards or any(one.weight for one in self.services)
        return bool(has_service and self.timeout_s and self.most_upstreams)


@dataclass(frozen=True, slots=True)
class Account:
    """Client account of the operators' configuration.

    Attributes:
      name: Name that is unique within its configuration.
      keys: API keys of its callers. They are not part of its representation,
        which may appear in logs.
      urgency: Rank of its requests, which takes precedence over that of their
        routes; None if the account has none.
      rate: Requests per second from all instances together, 0 for no limit.
      burst: Requests beyond the rate that may come at once.
      homes: Regions that may run its requests, empty for all.
    """

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    urgency: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    homes: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class WarmUp:
    """Warm-up of the upstreams of a service after their start.

    Attributes:
      duration_s: Time for which an upstream is cold.
      max_rate: Requests per second that a cold one takes from all instances
        together, 0 for no limit.
    """

    duration_s: float = 0.0
    max_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size and duration of a caller's request.

    Attributes:
      header_bytes: Request line and headers together.
      body_bytes: Body of one request.
      header_timeout_s: Time to send the request line and headers.
      idle_timeout_s: Time that a connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0

    def tighten(
        self, other: RequestLimits, names: Iterable[str]
    ) -> RequestLimits:
        """Returns these limits, with the named ones at most as in another."""
        lower = {
            name: min(getattr(self, name), getattr(other, name))
            for name in names
        }
        return dataclasses.replace(self, **lower)


@dataclass(frozen=True, slots=True)
class InvalidEntry:
    """Entry of a configuration that cannot be decoded.

    Attributes:
      entry: Where it is, and its name if that is known.
      mistake: Field and problem, without the invalid value, which may be a key.
    """

    entry: str
    mistake: str


@dataclass(slots=True)
class InvalidParts:
    """What the invalid entries of a configuration leave unknown.

    Requests that one of them may be about are refused. The decoder fills it;
    nothing changes it afterwards.

    Attributes:
      entries: The invalid entries.
      hosts: Hosts of which a route has no valid prefix. A request that no other
        route matches may belong to it.
      any_host: Whether the host of a route, or all routes, are unknown.
      services: Services whose entry is invalid.
      keys: Valid keys of accounts whose entry is invalid.
      any_key: Whether such an account has further keys, which are unknown.
      account_names: Names of the accounts whose entry is invalid.
      accounts: Whether it is unknown which accounts there are.
      limits: Names of the limits on callers' requests that are unknown.
    """

    entries: tuple[InvalidEntry, ...] = ()
    hosts: set[str] = field(default_factory=set)
    any_host: bool = False
    services: set[str] = field(default_factory=set)
    keys: set[str] = field(default_factory=set, repr=False)
    any_key: bool = False
    account_names: set[str] = field(default_factory=set)
    accounts: bool = False
    limits: set[str] = field(default_factory=set)

    @property
    def concerns_accounts(self) -> bool:
        """Whether the entry of any account is invalid."""
        return bool(
            self.accounts or self.any_key or self.keys or self.account_names
        )


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """Complete version of the operators' configuration.

    Attributes:
      version: Version number; a newer one is greater.
      routes: All routes.
      connections: Connections that one upstream of a service accepts from all
        instances together, by service.
      bounds: Limits on callers' requests.
      accounts: Client accounts, None if the configuration does not name any
        and serves every caller.
      warm_ups: Warm-up of the upstreams, by service.
      invalid: What could not be decoded.
      is_numbered: Whether the version is known. A configuration without one
        takes the number of the one before.
    """

    version: int
    routes: tuple[Route, ...]
    connections: dict[str, int] = field(default_factory=dict)
    bounds: RequestLimits = RequestLimits()
    accounts: tuple[Account, ...] | None = None
    warm_ups: dict[str, WarmUp] = field(default_factory=dict)
    invalid: InvalidParts = field(default_factory=InvalidParts)
    is_numbered: bool = True

    @classmethod
    def from_mistake(cls, mistake: str) -> RoutingConfiguration:
        """Returns the configuration of a value that cannot be decoded at all.

        It refuses all requests: what the value would allow is not known.
        """
        entry = InvalidEntry("configuration", mistake)
        invalid = InvalidParts((entry,), any_host=True, accounts=True)
        return cls(0, (), accounts=(), invalid=invalid, is_numbered=False)


@dataclass(frozen=True, slots=True)
class Announcement:
    """Announcement of an upstream in the store.

    Attributes:
      upstream: Id of the upstream, which is new after most restarts.
      service: Service whose requests it runs.
      address: IP address and port.
      data_centre: Data centre in which it runs.
      slots: Requests that it runs concurrently.
      leaving: Whether it is draining and wants no more requests.
      warm_up_s: Remaining time for which it is slow after its start.
      started_ms: Wall-clock time of its start in ms since 1970, 0 if unknown.
        It distinguishes two starts under the same id.
    """

    upstream: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int = 1
    leaving: bool = False
    warm_up_s: float = 0.0
    started_ms: int = 0


@dataclass(slots=True, eq=False)
class CallerRequest:
    """Request of a caller.

    Attributes:
      request_id: Id that the caller gave to this attempt.
      method: HTTP method.
      target: Path and query as the caller wrote them.
      host: Host that the caller named, in lower case and without port.
      headers: Headers to pass on, without hop-by-hop headers.
      body: Complete body.
      deadline: When the caller stops waiting.
      arrived: When its first byte was read.
      network_delay_s: Time on the network of the request, its answer and any
        connection opened for them, 0 if unknown.
      cached_fingerprint: Fingerprint, empty until it is first needed.
      identity_headers: Headers that concern client accounts, as received. They
        are passed on only if the configuration names no accounts.
      credentials: Values of the headers that hold the caller's key.
      account: Name of the client account, empty for none.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    deadline: float
    arrived: float
    network_delay_s: float = 0.0
    cached_fingerprint: str = ""
    identity_headers: list[tuple[bytes, bytes]] = field(
        default_factory=list, repr=False
    )
    credentials: list[bytes] = field(default_factory=list, repr=False)
    account: str = ""

    @property
    def fingerprint(self) -> str:
        """Digest of the content, equal for a request that is sent again.

        It covers host, method, target and body. The id and the headers differ
        between two attempts of a caller.
        """
        if not self.cached_fingerprint:
            sample = hashlib.blake2b(
                self.body[:FINGERPRINT_SAMPLE_BYTES], digest_size=16
            )
            sample.update(
                self.body[FINGERPRINT_SAMPLE_BYTES:][-FINGERPRINT_SAMPLE_BYTES:]
            )
            content = (
                self.method,
                self.target,
                len(self.body),
                sample.hexdigest(),
            )
            self.cached_fingerprint = fingerprint_of(self.host, content)
        return self.cached_fingerprint
