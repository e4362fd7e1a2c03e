"""What all requests of one instance share."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.forwarding.budget import (
    RetryBudgetLimits,
    ServiceBudget,
    allowance_share,
)
from arbutusbridge.forwarding.gather import Peer, PeerTable
from arbutusbridge.forwarding.upstreams import ReplyTimes, UpstreamDirectory

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from arbutusbridge.forwarding.choice import Locality
    from arbutusbridge.forwarding.exchange import DelegatedGroup, Exchange
    from arbutusbridge.forwarding.model import CallerRequest
    from arbutusbridge.forwarding.routes import RouteTable
    from arbutusbridge.forwarding.upstreams import OpenAttempt


@dataclass(slots=True)
class GatherState:
    """Requests of other instances, and of this one to others.

    Attributes:
      book: The other instances.
      own: This instance, None if it takes no messages.
      groups: Own groups without a final reply, by id.
      taken: Requests taken for others, by their address and id.
      accepting: Whether requests of others are taken.
    """

    book: PeerTable = field(default_factory=PeerTable)
    own: Peer | None = None
    groups: dict[int, DelegatedGroup] = field(default_factory=dict)
    taken: dict[tuple[tuple[str, int], int], Exchange] = field(
        default_factory=dict
    )
    accepting: bool = True
    last_id: int = 0


class SharedState:
    """State that the decisions on all requests read and change.

    Attributes:
      place: Where this instance runs.
      table: Routes in force, None before the first configuration.
      directory: Upstreams as announced.
      times: Usual reply times.
      budgets: Extra arrivals by service.
      attempts: Attempts without an end by id.
      exchanges: Requests without a final answer.
      gather: What instances ask of each other.
      instances: Instances that the extra arrivals are shared with.
      askers: Instances of this data centre that ask each shard of wide
        requests, 0 if this is none of them.
      wide: Shards of the widest route, if it is too wide for one instance.
      counts: Decisions by name, for the metrics.
      lag_s: Smoothed time by which timers come late, a measure of how busy
        this instance is.
      confirmed: Returns when the store last confirmed what is known.
    """

    def __init__(
        self,
        place: Locality,
        bounds: RetryBudgetLimits,
        rng: random.Random,
        started: float = 0.0,
    ) -> None:
        self.place = place
        self.bounds = bounds
        self.rng = rng
        self.started = started
        self.table: RouteTable | None = None
        self.directory = UpstreamDirectory()
        self.times = ReplyTimes()
        self.budgets: dict[str, ServiceBudget] = {}
        self.attempts: dict[int, OpenAttempt] = {}
        self.exchanges: dict[CallerRequest, Exchange] = {}
        self.gather = GatherState()
        self.instances = 1
        self.askers = 0
        self.wide: frozenset[str] = frozenset()
        self.counts: Counter[str] = Counter()
        self.confirmed: Callable[[], float] = lambda: started
        self.lag_s = 0.0
        self.last_attempt = 0

    def count(self, what: str) -> None:
        """Counts a decision that has no log line of its own."""
        self.counts[what] += 1

    def store_age_ms(self, now: float) -> int:
        """Returns the age of what the store last confirmed."""
        return round((now - self.confirmed()) * 1000)

    def budget(self, service: str, now: float) -> ServiceBudget:
        """Returns the extra arrivals of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = ServiceBudget(self.bounds, self.started)
            self.budgets[service] = budget
        return budget

    def allowance(self, service: str) -> float:
        """Returns this instance's part of a service's fixed allowance."""
        if service not in self.wide:
            return 1.0 / max(1, self.instances)
        places = {
            one.announcement.data_centre
            for one in self.directory.services.get(service, {}).values()
        }
        return allowance_share(self.instances, self.askers, len(places))

    def rebound(self, bounds: RetryBudgetLimits) -> None:
        """Takes another bound on extra arrivals."""
        self.bounds = bounds
        for budget in self.budgets.values():
            budget.bounds = bounds
