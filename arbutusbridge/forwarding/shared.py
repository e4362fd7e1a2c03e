"""State that all requests of one instance share."""

from __future__ import annotations

import math
import secrets
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.requests.quarantine import (
    FingerprintState,
    Quarantine,
    single_canary_for_unfamiliar,
)
from arbutusbridge.forwarding.budget import (
    RetryBudgetLimits,
    ServiceBudget,
    allowance_share,
)
from arbutusbridge.forwarding.evidence import NoticeState
from arbutusbridge.forwarding.gather import Peer, PeerTable
from arbutusbridge.forwarding.isolationstate import IsolationState
from arbutusbridge.forwarding.limitbook import LimitBook
from arbutusbridge.forwarding.overflowstate import OverflowState
from arbutusbridge.forwarding.quotabook import QuotaBook
from arbutusbridge.forwarding.upstreams import ReplyTimes, UpstreamDirectory

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Set

    from arbutusbridge.forwarding.choice import Locality
    from arbutusbridge.forwarding.evidence import CrashCheck
    from arbutusbridge.forwarding.exchange import (
        DelegatedGroup,
        Exchange,
    )
    from arbutusbridge.forwarding.model import CallerRequest
    from arbutusbridge.forwarding.routes import RouteTable
    from arbutusbridge.forwarding.upstreams import OpenAttempt


SETTLE_S = 0.1
"""Time for which a verdict waits for what other instances lost in the same
crashes; a check of an upstream and a notice to another region take half."""


GATHER_ID_BITS = 62
"""Bits of a random first id; ids stay below the greatest one on the wire."""


@dataclass(slots=True)
class GatherState:
    """Shards delegated to other instances, and accepted from them.

    Attributes:
      peer_table: The other instances.
      own_peer: This instance, None if it accepts no messages.
      groups: Delegated groups without a final reply, by id.
      taken: Requests accepted from others, by their address and id.
      accepts_requests: Whether requests of others are accepted.
      last_gather_id: Id of the last group that was delegated. It begins at
        random: replies to an earlier start of this instance may still arrive.
    """

    peer_table: PeerTable = field(default_factory=PeerTable)
    own_peer: Peer | None = None
    groups: dict[int, DelegatedGroup] = field(default_factory=dict)
    taken: dict[tuple[tuple[str, int], int], Exchange] = field(
        default_factory=dict
    )
    accepts_requests: bool = True
    last_gather_id: int = field(
        default_factory=lambda: secrets.randbits(GATHER_ID_BITS)
    )

    @property
    def own_name(self) -> str:
        """Name of this instance, empty if it accepts no messages."""
        return self.own_peer.name if self.own_peer is not None else ""


class SharedState:
    """State of one instance that all its requests read and change.

    Attributes:
      place: Location of this instance.
      table: Current routes, None before the first configuration.
      directory: Announced upstreams.
      reply_times: Typical reply times.
      budgets: Retry budgets by service.
      attempts: Attempts without an outcome, by id.
      exchanges: Requests without a final answer.
      gather: Shards delegated to and by other instances.
      instances: Number of instances that share the retry budgets.
      primary_senders: Instances of this data centre that query each shard of
        wide requests, 0 if this instance is not one of them.
      wide_shards: Shards of the widest route, if it is too wide for one
        instance.
      held_counts: Number of wide shards that each data centre holds.
      decision_counts: Decisions by name, for the metrics.
      lag_s: Smoothed lag of timers, a measure of how busy this instance is.
      get_confirmed_at: Returns when the store last confirmed its contents.
      quarantine: Requests that crash upstreams, and the evidence against them.
      crash_checks: Recent losses by upstream and its start.
      notices: What was sent to peers about these requests.
      newly_quarantined: Fingerprints whose open requests are to be ended.
      limits: Rate limits of upstreams.
      quotas: Quotas of client accounts.
      isolation: Whether this instance is cut off from all upstreams.
      evacuated: Data centres to whose upstreams nothing is sent.
      overflow: Delays at the data centres, and what is sent away from them.
      seed_addresses: Addresses of possible peers while none is known.
      final_answers_at: Time at which a planned stop answers all open requests;
        one that is due later is rejected.
    """

    def __init__(
        self,
        place: Locality,
        bounds: RetryBudgetLimits,
        rng: random.Random,
        started_at: float = 0.0,
    ) -> None:
        self.place = place
        self.bounds = bounds
        self.rng = rng
        self.started_at = started_at
        self.table: RouteTable | None = None
        self.directory = UpstreamDirectory()
        self.reply_times = ReplyTimes()
        self.budgets: dict[str, ServiceBudget] = {}
        self.attempts: dict[int, OpenAttempt] = {}
        self.exchanges: dict[CallerRequest, Exchange] = {}
        self.gather = GatherState()
        self.instances = 1
        self.primary_senders = 0
        self.wide_shards: frozenset[str] = frozenset()
        self.held_counts: Counter[str] = Counter()
        self.decision_counts: Counter[str] = Counter()
        self.get_confirmed_at: Callable[[], float] = lambda: started_at
        self.lag_s = 0.0
        self.last_attempt_id = 0
        self.quarantine = Quarantine(single_canary_for_unfamiliar, SETTLE_S)
        self.crash_checks: dict[str, CrashCheck] = {}
        self.notices = NoticeState(refilled_at=started_at)
        self.newly_quarantined: list[str] = []
        self.limits = LimitBook()
        self.quotas = QuotaBook()
        self.isolation = IsolationState(started_at)
        self.evacuated: set[str] = set()
        self.overflow = OverflowState()
        self.seed_addresses: list[tuple[str, int]] = []
        self.final_answers_at = math.inf

    @property
    def invalid_services(self) -> Set[str]:
        """Services whose entry in the configuration is invalid."""
        if self.table is None:
            return frozenset()
        return self.table.invalid.services

    def count(self, what: str) -> None:
        """Counts a decision that is not logged on its own."""
        self.decision_counts[what] += 1

    def suspicion(
        self, request: CallerRequest, now: float
    ) -> FingerprintState | None:
        """Returns the state of a request's fingerprint, None if it has none."""
        if not self.quarantine.entries:
            return None
        return self.quarantine.state_of(request.fingerprint, now)

    def is_quarantined(self, request: CallerRequest, now: float) -> bool:
        """Returns whether a request is quarantined."""
        return self.suspicion(request, now) is FingerprintState.QUARANTINED

    def verdict_due_at(self, request: CallerRequest) -> float | None:
        """Returns when the evidence against a request is weighed, if it is."""
        return self.quarantine.pending.get(request.fingerprint)

    def outage_over_at(self, request: CallerRequest) -> float:
        """Returns when a suspect may be sent again.

        A crash soon after another one may be of the same outage. The result is
        minus infinity without a crash.
        """
        entry = self.quarantine.entries.get(request.fingerprint)
        return entry.outage_over_at if entry is not None else -math.inf

    def quarantine_left_s(self, request: CallerRequest, now: float) -> float:
        """Returns the time until the quarantine of a request ends."""
        entry = self.quarantine.entries.get(request.fingerprint)
        return max(0.0, entry.until - now) if entry is not None else 0.0

    def store_age_ms(self, now: float) -> int:
        """Returns the time since the store last confirmed its contents."""
        return round((now - self.get_confirmed_at()) * 1000)

    def response_age_ms(self, now: float) -> int:
        """Returns the time since any upstream last responded."""
        return round((now - self.isolation.responded_at) * 1000)

    def budget(self, service: str, now: float) -> ServiceBudget:
        """Returns the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = ServiceBudget(self.bounds, self.started_at)
            self.budgets[service] = budget
        return budget

    def allowance(self, service: str) -> float:
        """Returns this instance's share of a service's fixed allowance."""
        if service not in self.wide_shards:
            return 1.0 / max(1, self.instances)
        data_centres = self.directory.data_centres(service)
        return allowance_share(
            self.instances, self.primary_senders, len(data_centres)
        )

    def set_budget_limits(self, bounds: RetryBudgetLimits) -> None:
        """Changes the limits of all retry budgets."""
        self.bounds = bounds
        for budget in self.budgets.values():
            budget.bounds = bounds
