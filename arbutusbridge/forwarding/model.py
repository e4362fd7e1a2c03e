"""Routes, announced upstreams and callers' requests as the decisions see them.

Times are seconds on the driver's monotonic clock unless a name says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a part of a route's requests.

    Attributes:
      name: The service.
      weight: Its part relative to the other services of the route.
    """

    name: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """What happens to the requests of one host and path prefix.

    Attributes:
      name: Unique within its configuration.
      host: Host that callers name, in lower case.
      prefix: Start of the path, with a slash at both ends.
      idempotent: Whether an upstream may run a request more than once.
      timeout_s: Longest time that a caller is kept waiting.
      target_s: Time within which an answer is of full use.
      urgency: Rank among the routes, 0 is served first.
      most_upstreams: Upstreams that one request may be sent to, for each
        shard if the route is sharded.
      services: Services that share the requests by weight, empty if sharded.
      shards: Services that each hold one shard, empty if not sharded.
      most_records: Records of a merged answer.
      least_coverage: Smallest share of the shards in an answer, 0 to 1.
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
    most_records: int = 0
    least_coverage: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on what a caller may send and how long it may take.

    Attributes:
      header_bytes: Request line and headers together.
      body_bytes: Body of one request.
      header_s: Time to send the request line and headers.
      idle_s: Time that a connection may carry nothing.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_s: float = 10.0
    idle_s: float = 60.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One whole version of the operators' configuration.

    Attributes:
      version: Greater for a newer one.
      routes: Every route.
      connections: Connections that one upstream of a service accepts from
        all instances together, by service.
      bounds: Bounds on callers.
    """

    version: int
    routes: tuple[Route, ...]
    connections: dict[str, int] = field(default_factory=dict)
    bounds: RequestLimits = RequestLimits()


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream says of itself in the store.

    Attributes:
      upstream: Its id, which is new for most starts of it.
      service: The service whose requests it runs.
      address: IP number and port.
      data_centre: Where it runs.
      slots: Requests that it runs at once.
      leaving: Whether it asks for no more requests.
      warm_up_s: How much longer it is slow after its start.
      started_ms: Wall time of its start in ms since 1970, 0 if untold. It
        tells two starts under one id apart.
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
    """One request of a caller.

    Attributes:
      request_id: The caller's id of this attempt.
      method: HTTP method.
      target: Path and query as the caller wrote them.
      host: Host that the caller named, in lower case without port.
      headers: Headers to pass on, those of the connection left out.
      body: The whole body.
      deadline: When the caller stops waiting.
      arrived: When its first byte was read.
      way_s: Time that the request, its answer and a connection opened for
        them spend on the way, 0 when unknown.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    deadline: float
    arrived: float
    way_s: float = 0.0
