"""Record of the requests, upstream runs and disturbances of a soak run."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.forwarding.model import Route, RoutingConfiguration
    from arbutusbridge.standins.observations import CallerAnswer, UpstreamRun


@dataclass(slots=True)
class SentRequest:
    """Request that a simulated caller sent.

    Attributes:
      request_id: Id, unique in a soak run.
      instance: Name of the instance that got the request.
      route: Name of the route.
      target: Path and query.
      at: Time at which its last byte was sent, in seconds.
      timeout_s: Time for which the caller waits.
      answer: Answer, None without a complete one.
      ended_at: Time at which the answer arrived or the connection was closed,
        None until then.
      abandoned: Whether the caller left before its timeout.
      crashing: Whether it crashes every upstream that runs it.
    """

    request_id: str
    instance: str
    route: str
    target: str
    at: float
    timeout_s: float
    answer: CallerAnswer | None = None
    ended_at: float | None = None
    abandoned: bool = False
    crashing: bool = False


@dataclass(slots=True)
class UpstreamCrash:
    """Crash of an upstream by a request.

    Attributes:
      at: Time of the crash, in seconds.
      upstream: Id of the upstream.
      request_id: Id of the request.
      target: Path and query of the request, the same whenever it comes again.
    """

    at: float
    upstream: str
    request_id: str
    target: str


@dataclass(slots=True)
class NamedLimit:
    """Rate limit that an upstream names for a time.

    Attributes:
      upstream: Id of the upstream.
      max_rate: Requests per second that it takes.
      since: Time from which it names the limit, in seconds.
      until: Time until which it does, infinite while that is not known.
    """

    upstream: str
    max_rate: float
    since: float
    until: float = math.inf


@dataclass(slots=True)
class Evacuation:
    """Evacuation of a data centre that the operators request.

    Attributes:
      data_centre: The data centre.
      since: Time of the write to the store, in seconds.
      until: Time of its withdrawal, infinite while that is not known.
    """

    data_centre: str
    since: float
    until: float = math.inf


@dataclass(slots=True)
class Pause:
    """Rejection of a request that asks for no requests for a time.

    Attributes:
      upstream: Id of the upstream.
      request_id: Id of the request that it rejected.
      since: Time of the rejection, in seconds.
      until: End of the time.
    """

    upstream: str
    request_id: str
    since: float
    until: float


@dataclass(slots=True)
class Disturbance:
    """Disturbance of a part of the system by a fault.

    Attributes:
      kind: Kind of the disturbance.
      target: Name of an instance, slot of an upstream, or ``store``.
      since: Time at which it began, in seconds.
      until: Time at which it ended, in seconds; infinite while unknown.
    """

    kind: str
    target: str
    since: float
    until: float


@dataclass(slots=True)
class SoakRecord:
    """Everything recorded in one soak run; times are in seconds.

    Attributes:
      configurations: Published versions, each with the time of its write to
        the store.
      asked: Requests by id.
      runs: Runs of requests at upstreams.
      disturbances: Disturbances by faults.
      link_cuts: Instances that were cut off from all upstreams. Time bounds
        apply to them nevertheless.
      limits: Rate limits that upstreams named.
      pauses: Rejections that asked for no requests for a time.
      crashes: Crashes of upstreams by requests.
      quarantine_refusals: Ids of requests that an instance refused because
        they crash upstreams, from its log.
      evacuations: Evacuations of data centres.
      places: Data centre of each upstream, by its id.
      leaving: Time at which each upstream was announced as leaving, by its id.
      retry_ratio: Extra arrivals allowed per request in a window.
      retry_slack: Extra arrivals allowed in a window on top of the ratio.
      window_s: Length of the window in which arrivals are counted.
      changes_s: Time after which a published version must be in force.
      process_failures: Descriptions of processes that exited unexpectedly, did
        not exit in time or did not start again.
      soak_ended_at: Time at which the soak run ended.
    """

    configurations: list[tuple[float, RoutingConfiguration]] = field(
        default_factory=list
    )
    asked: dict[str, SentRequest] = field(default_factory=dict)
    runs: list[UpstreamRun] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    link_cuts: list[Disturbance] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    pauses: list[Pause] = field(default_factory=list)
    crashes: list[UpstreamCrash] = field(default_factory=list)
    quarantine_refusals: list[str] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    places: dict[str, str] = field(default_factory=dict)
    leaving: dict[str, float] = field(default_factory=dict)
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    window_s: float = 10.0
    changes_s: float = 3.0
    process_failures: list[str] = field(default_factory=list)
    soak_ended_at: float = 0.0

    def has_disturbance(
        self, target: str, since: float, until: float, *kinds: str
    ) -> bool:
        """Returns whether a part was disturbed within an interval.

        Args:
          target: Name of an instance, slot of an upstream, or ``store``.
          since: Start of the interval.
          until: End of the interval.
          kinds: Kinds of disturbances that count; all if none are given.
        """
        return any(
            one.target == target
            and one.since < until
            and one.until > since
            and (not kinds or one.kind in kinds)
            for one in self.disturbances
        )

    def routes(self, name: str) -> list[tuple[float, Route]]:
        """Returns the versions of a named route, each with its publish time."""
        return [
            (at, route)
            for at, configuration in self.configurations
            for route in configuration.routes
            if route.name == name
        ]
