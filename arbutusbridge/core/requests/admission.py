"""Admission of callers' requests: by urgency, deadline and queue length.

An adaptive limit bounds the requests in flight; it follows the gradient of
their latency (a concurrency limit in the manner of TCP Vegas). Requests over
it wait in a bounded priority queue, and those that can no longer meet their
deadline are refused at once.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.core.requests.query import Query
    from arbutusbridge.core.requests.records import Record

INITIAL_LIMIT = 16.0
MIN_LIMIT = 2.0
MAX_LIMIT = 4096.0
"""Requests in flight at one instance."""

MAX_QUEUED_REQUESTS = 512
"""Requests that wait for admission at most."""

LATENCY_SMOOTHING_FACTOR = 0.1
"""Share of a new sample in the smoothed latency."""

LIMIT_SMOOTHING_FACTOR = 0.05
"""Share of a new target in the limit."""

LATENCY_TOLERANCE_FACTOR = 1.5
"""Smoothed latency over its least, above which the limit shrinks."""

MIN_GRADIENT = 0.5

BASELINE_DRIFT_FRACTION = 0.0001
"""Share by which the least latency follows the smoothed one up."""

MIN_UTILISATION_FRACTION = 0.5
"""Share of the limit in flight, below which it is not adapted."""

LATENCY_DEVIATIONS = 1.0
"""Mean deviations above the smoothed latency that most requests stay under."""

ESTIMATE_DECAY_FRACTION = 0.1
"""Share of an estimate that one early refusal takes away."""

INTERVAL_SMOOTHING_FACTOR = 0.05
"""Share of a new sample in the smoothed time between two admissions."""

MIN_LATENCY_S = 1e-6

INITIAL_LATENCY_S = 0.01
"""Latency assumed of a service without samples, in seconds."""

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 5000


class LatencyEstimate:
    """Smoothed latency and its mean deviation, as TCP keeps them.

    Attributes:
      smoothed: Smoothed latency, in seconds.
      deviation: Smoothed absolute difference to it, in seconds.
      baseline: Smoothed latency when hardly loaded, in seconds.
    """

    def __init__(self, seconds: float) -> None:
        self.smoothed = seconds
        self.deviation = 0.0
        self.baseline = seconds

    def observe(self, seconds: float) -> None:
        """Takes one more sample."""
        difference = seconds - self.smoothed
        self.smoothed += difference * LATENCY_SMOOTHING_FACTOR
        self.deviation += (
            abs(difference) - self.deviation
        ) * LATENCY_SMOOTHING_FACTOR
        self.baseline = min(self.baseline, self.smoothed)
        self.baseline += (
            self.smoothed - self.baseline
        ) * BASELINE_DRIFT_FRACTION

    def decay(self) -> None:
        """Forgets some of a latency for which a request was refused.

        Otherwise an estimate that refuses everything would stay for good,
        as nothing is admitted that could correct it.
        """
        self.smoothed += (
            self.baseline - self.smoothed
        ) * ESTIMATE_DECAY_FRACTION
        self.deviation -= self.deviation * ESTIMATE_DECAY_FRACTION

    @property
    def upper_estimate(self) -> float:
        """Latency that most requests stay under, in seconds."""
        return self.smoothed + LATENCY_DEVIATIONS * self.deviation


class GradientLimit:
    """A limit on requests in flight that follows their latency.

    Attributes:
      limit: Requests that may be in flight.
      estimates: Latency by service and urgency.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.estimates: dict[tuple[str, int], LatencyEstimate] = {}

    def expected_latency(self, service: str, urgency: int) -> float:
        """Returns the likely latency of a request, in seconds."""
        estimate = self.estimates.get((service, urgency))
        return (
            INITIAL_LATENCY_S if estimate is None else estimate.upper_estimate
        )

    def on_early_refusal(self, service: str, urgency: int) -> None:
        """Takes note that a request was refused for its likely latency."""
        estimate = self.estimates.get((service, urgency))
        if estimate is not None:
            estimate.decay()

    def observe(
        self, service: str, urgency: int, seconds: float, in_flight: int
    ) -> None:
        """Takes the latency of one request that ended."""
        key = (service, urgency)
        estimate = self.estimates.get(key)
        if estimate is None:
            estimate = self.estimates[key] = LatencyEstimate(seconds)
        estimate.observe(seconds)
        if in_flight < self.limit * MIN_UTILISATION_FRACTION:
            return
        smoothed = max(estimate.smoothed, MIN_LATENCY_S)
        gradient = LATENCY_TOLERANCE_FACTOR * estimate.baseline / smoothed
        gradient = max(MIN_GRADIENT, min(1.0, gradient))
        target = self.limit * gradient + math.sqrt(self.limit)
        self.limit += (target - self.limit) * LIMIT_SMOOTHING_FACTOR
        self.limit = max(MIN_LIMIT, min(MAX_LIMIT, self.limit))


class FixedLimit:
    """A limit that never changes.

    Attributes:
      limit: Requests that may be in flight.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit

    def expected_latency(self, _service: str, _urgency: int) -> float:
        """Returns no expectation, so that nothing is refused early."""
        return 0.0

    def on_early_refusal(self, service: str, urgency: int) -> None:
        """Takes no notice of refusals."""

    def observe(
        self, service: str, urgency: int, seconds: float, in_flight: int
    ) -> None:
        """Takes no notice of latency."""


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that wants to start.

    Attributes:
      owner: What starts once it is admitted.
      service: Service that it goes to.
      urgency: Order in the queue, lowest first.
      order: Place in the order of arrival.
      deadline: When its answer stops being of use.
      queued: Whether it waits.
      admitted_at: When it was admitted, None before.
    """

    owner: Query | Record
    service: str
    urgency: int
    order: int
    deadline: float
    queued: bool = False
    admitted_at: float | None = None


class Admission:
    """Requests in flight and those that wait for their turn.

    Attributes:
      limiter: Sets the limit on requests in flight.
      in_flight: Requests admitted and not yet ended.
      queued: Requests waiting, by urgency.
      last_admitted_at: Last admission from a queue still busy, by urgency.
      admission_intervals: Smoothed seconds between such admissions, by urgency.
    """

    def __init__(self, limiter: GradientLimit | FixedLimit) -> None:
        self.limiter = limiter
        self.in_flight = 0
        self.queued: dict[int, int] = {}
        self.heap: list[tuple[int, int, Ticket]] = []
        self.last_admitted_at: dict[int, float] = {}
        self.admission_intervals: dict[int, float] = {}
        self.last_order = 0

    @classmethod
    def adaptive(cls) -> Admission:
        """Builds an admission whose limit follows latency."""
        return cls(GradientLimit())

    @classmethod
    def unlimited(cls) -> Admission:
        """Builds an admission that admits everything, as a baseline."""
        return cls(FixedLimit())

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return sum(self.queued.values())

    def next_order(self) -> int:
        """Returns the place of a new arrival."""
        self.last_order += 1
        return self.last_order

    def admit(self, ticket: Ticket, now: float) -> bool:
        """Admits a ticket if there is room and nobody waits before it."""
        if self.in_flight >= self.limiter.limit or self.queued_ahead_of(ticket):
            return False
        self.start(ticket, now)
        return True

    def start(self, ticket: Ticket, now: float) -> None:
        """Counts a ticket as in flight."""
        ticket.admitted_at = now
        self.in_flight += 1

    def queued_ahead_of(self, ticket: Ticket) -> int:
        """Returns how many waiting requests go before a new ticket."""
        return sum(
            count
            for urgency, count in self.queued.items()
            if urgency <= ticket.urgency
        )

    def expected_wait(self, ticket: Ticket) -> float:
        """Returns the time until a new ticket starts, in seconds.

        Where no queue was seen to move, it follows from the limit by
        Little's law.
        """
        waiting = self.queued.get(ticket.urgency, 0)
        interval = self.admission_intervals.get(ticket.urgency)
        if waiting and interval is not None:
            return (waiting + 1) * interval
        seconds = self.expected_latency(ticket)
        return (self.queued_ahead_of(ticket) + 1) * seconds / self.limiter.limit

    def expected_latency(self, ticket: Ticket) -> float:
        """Returns the likely time from a ticket's start to its end."""
        return self.limiter.expected_latency(ticket.service, ticket.urgency)

    def can_meet_deadline(
        self, ticket: Ticket, now: float, wait: float = 0.0
    ) -> bool:
        """Tells whether a ticket started after a wait ends in time."""
        return now + wait <= self.latest_start(ticket)

    def latest_start(self, ticket: Ticket) -> float:
        """Returns the last time at which starting a ticket is of use."""
        return ticket.deadline - self.expected_latency(ticket)

    def enqueue(self, ticket: Ticket) -> None:
        """Lets a ticket wait."""
        ticket.queued = True
        self.queued[ticket.urgency] = self.queued.get(ticket.urgency, 0) + 1
        if len(self.heap) >= 2 * MAX_QUEUED_REQUESTS:
            self.heap = [entry for entry in self.heap if entry[2].queued]
            heapq.heapify(self.heap)
        heapq.heappush(self.heap, (ticket.urgency, ticket.order, ticket))

    def remove(self, ticket: Ticket) -> None:
        """Takes a ticket out of the queue."""
        if ticket.queued:
            ticket.queued = False
            left = self.queued[ticket.urgency] - 1
            self.queued[ticket.urgency] = left
            if not left:
                self.last_admitted_at.pop(ticket.urgency, None)

    def raise_urgency(self, ticket: Ticket, urgency: int) -> None:
        """Moves a waiting ticket to a greater urgency."""
        if ticket.queued and urgency < ticket.urgency:
            self.remove(ticket)
            ticket.urgency = urgency
            self.enqueue(ticket)

    def displaced_by(self, ticket: Ticket) -> Ticket | None:
        """Returns the newest less urgent ticket of a full queue."""
        waiting = (entry[2] for entry in self.heap if entry[2].queued)
        later = [other for other in waiting if other.urgency > ticket.urgency]
        return max(later, key=lambda other: other.order, default=None)

    def dequeue(self, now: float) -> Ticket | None:
        """Takes the first ticket out of the queue if there is room."""
        if self.in_flight >= self.limiter.limit:
            return None
        while self.heap:
            urgency, _, ticket = heapq.heappop(self.heap)
            if ticket.queued and urgency == ticket.urgency:
                self.record_interval(urgency, now)
                self.remove(ticket)
                return ticket
        return None

    def record_interval(self, urgency: int, now: float) -> None:
        """Learns the time between two admissions from a busy queue."""
        last = self.last_admitted_at.get(urgency)
        self.last_admitted_at[urgency] = now
        if last is None:
            return
        interval = self.admission_intervals.setdefault(urgency, now - last)
        interval += (now - last - interval) * INTERVAL_SMOOTHING_FACTOR
        self.admission_intervals[urgency] = interval

    def observe_latency(self, ticket: Ticket, now: float) -> None:
        """Takes the latency of an admitted ticket that was answered."""
        if ticket.admitted_at is not None:
            seconds = now - ticket.admitted_at
            self.limiter.observe(
                ticket.service, ticket.urgency, seconds, self.in_flight
            )

    def end(self, ticket: Ticket) -> None:
        """Frees a ticket's place."""
        if ticket.admitted_at is not None:
            ticket.admitted_at = None
            self.in_flight -= 1

    def retry_after_ms(self, ticket: Ticket) -> int:
        """Returns when a refused caller may come back with better luck."""
        wait_ms = math.ceil(self.expected_wait(ticket) * 1000)
        return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
