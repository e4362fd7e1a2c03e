"""What callers and upstreams saw during a run, and what was done to it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.forwarding.model import Route, RoutingConfiguration
    from arbutusbridge.standins.observations import CallerAnswer, UpstreamRun


@dataclass(slots=True)
class CallerRequest:
    """One request of a caller.

    Attributes:
      request_id: Unique in a run.
      instance: Who was asked.
      route: Name of the route that it is for.
      target: Path and query.
      at: When its last byte was sent, seconds.
      timeout_s: How long the caller waits.
      answer: What came, None if nothing whole did.
      ended_at: When the answer came or the connection ended, None until then.
      abandoned: Whether the caller itself gave it up.
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


@dataclass(slots=True)
class Disturbance:
    """Something that was done to a part of the system.

    Attributes:
      kind: What was done.
      target: An instance, an upstream, or ``store``.
      since: When it began, seconds.
      until: When it ended.
    """

    kind: str
    target: str
    since: float
    until: float


@dataclass(slots=True)
class SoakRecord:
    """One whole run.

    Attributes:
      configurations: Versions with the time at which the store took them.
      asked: Requests by id.
      runs: Runs at upstreams.
      disturbances: What was done.
      leaving: When an upstream was announced to leave, by its id.
      extra_ratio: Extra arrivals allowed per request.
      extra_allowance: Extra arrivals allowed besides.
      window_s: Window in which they are counted.
      apply_s: Time after which a version must be in force.
      process_failures: Processes that ended by themselves or did not end in
        time.
      run_ended_at: When the run ended.
    """

    configurations: list[tuple[float, RoutingConfiguration]] = field(
        default_factory=list
    )
    asked: dict[str, CallerRequest] = field(default_factory=dict)
    runs: list[UpstreamRun] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    leaving: dict[str, float] = field(default_factory=dict)
    extra_ratio: float = 0.2
    extra_allowance: float = 50.0
    window_s: float = 10.0
    apply_s: float = 3.0
    process_failures: list[str] = field(default_factory=list)
    run_ended_at: float = 0.0

    def has_disturbance(
        self, target: str, since: float, until: float, *kinds: str
    ) -> bool:
        """Tells whether something was done to a part within a time.

        Args:
          target: The part.
          since: Begin of the time.
          until: End of it.
          kinds: What counts; everything if there are none.
        """
        return any(
            one.target == target
            and one.since < until
            and one.until > since
            and (not kinds or one.kind in kinds)
            for one in self.disturbances
        )

    def routes(self, name: str) -> list[tuple[float, Route]]:
        """Returns the route of a name in each version, with its time."""
        return [
            (at, route)
            for at, configuration in self.configurations
            for route in configuration.routes
            if route.name == name
        ]
