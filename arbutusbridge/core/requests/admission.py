"""Admission control of callers' requests by urgency and deadline.

An adaptive concurrency limit bounds the requests in flight. It follows the
ratio of their baseline latency to their current latency, as TCP Vegas does.
Requests over the limit wait in a bounded priority queue; those that can no
longer meet their deadline are refused at once.
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
"""Initial value and bounds of the limit on an instance's requests in flight."""

MAX_QUEUED_REQUESTS = 512
"""Maximum number of requests that wait for admission."""

LATENCY_SMOOTHING_FACTOR = 0.1
"""Weight of a new sample in the smoothed latency and its deviation."""

LIMIT_SMOOTHING_FACTOR = 0.05
"""Part of the gap to its target by which the limit moves with each sample."""

LATENCY_TOLERANCE_FACTOR = 1.5
"""Multiple of the baseline latency above which the limit shrinks."""

MIN_GRADIENT = 0.5
"""Lower bound of the factor that latency applies to the target of the limit."""

BASELINE_DRIFT_FRACTION = 0.0001
"""Part of the gap to the smoothed latency by which the baseline rises with each
sample."""

MIN_UTILISATION_FRACTION = 0.5
"""Requests in flight, as a part of the limit, below which it is not adapted."""

LATENCY_DEVIATION_FACTOR = 1.0
"""Multiple of the mean deviation that is added to the smoothed latency to
estimate what most requests stay under."""

ESTIMATE_DECAY_FRACTION = 0.1
"""Part by which one early refusal lowers the deviation and the gap to the
baseline."""

INTERVAL_SMOOTHING_FACTOR = 0.05
"""Weight of a new sample in the smoothed interval between two admissions."""

MIN_LATENCY_S = 1e-6
"""Lower bound of the smoothed latency, which prevents a division by zero."""

INITIAL_LATENCY_S = 0.01
"""Latency assumed of a service without samples."""

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 5000
"""Bounds of the retry delay that a refused caller is given."""


class LatencyEstimate:
    """Smoothed latency and its mean deviation, as in TCP's RTT estimator.

    Attributes:
      smoothed: Smoothed latency, in seconds.
      deviation: Smoothed absolute deviation from it, in seconds.
      baseline: Smoothed latency under low load, in seconds.
    """

    def __init__(self, seconds: float) -> None:
        self.smoothed = seconds
        self.deviation = 0.0
        self.baseline = seconds

    def observe(self, seconds: float) -> None:
        """Adds one sample."""
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
        """Lowers the estimate towards the baseline after an early refusal.

        Without the decay, an estimate so high that every request is refused
        would never change, as no request is admitted that could correct it.
        """
        self.smoothed += (
            self.baseline - self.smoothed
        ) * ESTIMATE_DECAY_FRACTION
        self.deviation -= self.deviation * ESTIMATE_DECAY_FRACTION

    @property
    def upper_estimate(self) -> float:
        """Estimated latency that most requests stay under, in seconds."""
        return self.smoothed + LATENCY_DEVIATION_FACTOR * self.deviation


class GradientLimiter:
    """Adapts the limit on requests in flight to their latency.

    Attributes:
      limit: Maximum number of requests in flight.
      estimates: Latency estimates by service and urgency.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.estimates: dict[tuple[str, int], LatencyEstimate] = {}

    def expected_latency(self, service: str, urgency: int) -> float:
        """Returns the latency expected of a request, in seconds."""
        estimate = self.estimates.get((service, urgency))
        return (
            INITIAL_LATENCY_S if estimate is None else estimate.upper_estimate
        )

    def on_early_refusal(self, service: str, urgency: int) -> None:
        """Lowers the estimate for which a request was refused."""
        estimate = self.estimates.get((service, urgency))
        if estimate is not None:
            estimate.decay()

    def observe(
        self, service: str, urgency: int, seconds: float, in_flight: int
    ) -> None:
        """Adapts the limit to the latency of one finished request."""
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


class FixedLimiter:
    """Keeps a constant limit on requests in flight.

    Attributes:
      limit: Maximum number of requests in flight.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit

    def expected_latency(self, _service: str, _urgency: int) -> float:
        """Returns 0, so that no request is refused early."""
        return 0.0

    def on_early_refusal(self, service: str, urgency: int) -> None:
        """Does nothing, as no latency is estimated."""

    def observe(
        self, service: str, urgency: int, seconds: float, in_flight: int
    ) -> None:
        """Does nothing, as the limit does not depend on latency."""


@dataclass(slots=True, eq=False)
class Ticket:
    """Admission state of one scatter or record.

    Attributes:
      owner: The scatter or record that starts once it is admitted.
      service: Service that it is sent to.
      urgency: Priority in the queue; a lower number is more urgent.
      arrival_number: Sequence number of its arrival.
      deadline: Time by which it must be answered.
      queued: Whether it waits in the queue.
      admitted_at: Time of its admission, None while not in flight.
    """

    owner: Query | Record
    service: str
    urgency: int
    arrival_number: int
    deadline: float
    queued: bool = False
    admitted_at: float | None = None


class Admission:
    """Admits requests up to the limit and queues the others.

    Attributes:
      limiter: Sets the limit on requests in flight.
      in_flight: Number of requests admitted and not yet finished.
      queued_by_urgency: Number of waiting requests, by urgency.
      heap: Queue entries by urgency and arrival number. Entries of tickets
        that left the queue stay until they are popped or the heap is rebuilt.
      last_admitted_at: Time of the last admission from the queue, by urgency.
        Dropped when no request of that urgency waits any more.
      admission_intervals: Smoothed interval between admissions from the queue,
        in seconds, by urgency.
      last_arrival_number: Number of the last arrival.
    """

    def __init__(self, limiter: GradientLimiter | FixedLimiter) -> None:
        self.limiter = limiter
        self.in_flight = 0
        self.queued_by_urgency: dict[int, int] = {}
        self.heap: list[tuple[int, int, Ticket]] = []
        self.last_admitted_at: dict[int, float] = {}
        self.admission_intervals: dict[int, float] = {}
        self.last_arrival_number = 0

    @classmethod
    def adaptive(cls) -> Admission:
        """Builds admission control whose limit follows latency."""
        return cls(GradientLimiter())

    @classmethod
    def unlimited(cls) -> Admission:
        """Builds admission control without a limit, for comparison."""
        return cls(FixedLimiter())

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return sum(self.queued_by_urgency.values())

    def next_arrival_number(self) -> int:
        """Returns the sequence number of a new arrival."""
        self.last_arrival_number += 1
        return self.last_arrival_number

    def admit(self, ticket: Ticket, now: float) -> bool:
        """Admits a ticket at once if possible.

        Returns:
          False if the limit is reached or other requests precede it.
        """
        if self.in_flight >= self.limiter.limit or self.queued_ahead_of(ticket):
            return False
        self.mark_in_flight(ticket, now)
        return True

    def mark_in_flight(self, ticket: Ticket, now: float) -> None:
        """Counts a ticket as in flight."""
        ticket.admitted_at = now
        self.in_flight += 1

    def queued_ahead_of(self, ticket: Ticket) -> int:
        """Returns how many waiting requests precede a new ticket."""
        return sum(
            count
            for urgency, count in self.queued_by_urgency.items()
            if urgency <= ticket.urgency
        )

    def expected_wait(self, ticket: Ticket) -> float:
        """Returns the expected queueing time of a new ticket, in seconds.

        It follows from the interval between admissions, if requests of the
        same urgency wait and it is known, else from Little's law.
        """
        waiting = self.queued_by_urgency.get(ticket.urgency, 0)
        interval = self.admission_intervals.get(ticket.urgency)
        if waiting and interval is not None:
            return (waiting + 1) * interval
        seconds = self.expected_latency(ticket)
        return (self.queued_ahead_of(ticket) + 1) * seconds / self.limiter.limit

    def expected_latency(self, ticket: Ticket) -> float:
        """Returns the expected latency after admission, in seconds."""
        return self.limiter.expected_latency(ticket.service, ticket.urgency)

    def can_meet_deadline(
        self, ticket: Ticket, now: float, wait: float = 0.0
    ) -> bool:
        """Returns whether a ticket can meet its deadline after a wait."""
        return now + wait <= self.latest_start(ticket)

    def latest_start(self, ticket: Ticket) -> float:
        """Returns the latest start at which a ticket can meet its deadline."""
        return ticket.deadline - self.expected_latency(ticket)

    def enqueue(self, ticket: Ticket) -> None:
        """Adds a ticket to the queue."""
        ticket.queued = True
        self.queued_by_urgency[ticket.urgency] = (
            self.queued_by_urgency.get(ticket.urgency, 0) + 1
        )
        if len(self.heap) >= 2 * MAX_QUEUED_REQUESTS:
            self.heap = [entry for entry in self.heap if entry[2].queued]
            heapq.heapify(self.heap)
        heapq.heappush(
            self.heap, (ticket.urgency, ticket.arrival_number, ticket)
        )

    def remove(self, ticket: Ticket) -> None:
        """Removes a ticket from the queue."""
        if ticket.queued:
            ticket.queued = False
            remaining = self.queued_by_urgency[ticket.urgency] - 1
            self.queued_by_urgency[ticket.urgency] = remaining
            if not remaining:
                self.last_admitted_at.pop(ticket.urgency, None)

    def raise_urgency(self, ticket: Ticket, urgency: int) -> None:
        """Moves a queued ticket to a greater urgency, a lower number."""
        if ticket.queued and urgency < ticket.urgency:
            self.remove(ticket)
            ticket.urgency = urgency
            self.enqueue(ticket)

    def find_displaceable(self, ticket: Ticket) -> Ticket | None:
        """Returns the newest queued ticket that is less urgent, if any."""
        waiting = (entry[2] for entry in self.heap if entry[2].queued)
        less_urgent = [
            other for other in waiting if other.urgency > ticket.urgency
        ]
        return max(
            less_urgent, key=lambda other: other.arrival_number, default=None
        )

    def dequeue(self, now: float) -> Ticket | None:
        """Removes and returns the first ticket.

        Returns:
          The ticket, None if the limit is reached or the queue is empty.
        """
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
        """Updates the smoothed interval between admissions of one urgency."""
        last = self.last_admitted_at.get(urgency)
        self.last_admitted_at[urgency] = now
        if last is None:
            return
        interval = self.admission_intervals.setdefault(urgency, now - last)
        interval += (now - last - interval) * INTERVAL_SMOOTHING_FACTOR
        self.admission_intervals[urgency] = interval

    def observe_latency(self, ticket: Ticket, now: float) -> None:
        """Passes the latency of an answered ticket to the limiter."""
        if ticket.admitted_at is not None:
            seconds = now - ticket.admitted_at
            self.limiter.observe(
                ticket.service, ticket.urgency, seconds, self.in_flight
            )

    def end(self, ticket: Ticket) -> None:
        """Removes a ticket from the requests in flight."""
        if ticket.admitted_at is not None:
            ticket.admitted_at = None
            self.in_flight -= 1

    def retry_after_ms(self, ticket: Ticket) -> int:
        """Returns the retry delay of a refused caller, in milliseconds."""
        wait_ms = math.ceil(self.expected_wait(ticket) * 1000)
        return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
