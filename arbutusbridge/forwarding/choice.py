"""Selection of the upstream for an attempt by expected cost."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    from arbutusbridge.forwarding.model import Route
    from arbutusbridge.forwarding.upstreams import ReplyTimes, Upstream

OVERDUE_COST_S = 0.2
"""Expected delay at an upstream with an overdue reply; pauses of upstreams last
0.15 to 0.25 s."""

FAILURE_COST_S = 0.15
"""Delay that a failed attempt causes, including the retry."""

UNREACHABLE_COST_S = 2.0
"""Cost of an upstream that refused a connection recently."""

OTHER_REGION_COST_S = 0.03
"""Cost of the traffic to another region, in addition to its latency."""

OTHER_DATA_CENTRE_COST_S = 0.001
"""Cost of the traffic to another data centre of the same region."""

WARM_UP_EXTRA_FRACTION = 0.6
"""Fraction by which requests take longer while an upstream warms up."""


OPEN_ATTEMPT_RANK = 0.3
"""Part of a reply time that another attempt of this instance is likely to add,
although the upstream has a free slot for it."""

OTHER_REGION_RANK = 10.0
"""Typical reply times for which an upstream of this region is waited for rather
than one of another region."""

UNAVAILABLE_RANK = 2 * OTHER_REGION_RANK
"""The same for an upstream that does not respond."""


class Locality:
    """Location of this instance among the data centres.

    Attributes:
      data_centre: Data centre of this instance.
      regions: Region of each data centre.
    """

    def __init__(self, data_centre: str, regions: dict[str, str]) -> None:
        self.data_centre = data_centre
        self.regions = regions

    def is_in_own_region(self, data_centre: str) -> bool:
        """Returns whether a data centre is in the region of this instance."""
        if data_centre == self.data_centre:
            return True
        here = self.regions.get(self.data_centre)
        return here is not None and self.regions.get(data_centre) == here

    def transfer_cost(self, data_centre: str) -> float:
        """Returns the cost of traffic to and from a data centre, in seconds."""
        if data_centre == self.data_centre:
            return 0.0
        if self.is_in_own_region(data_centre):
            return OTHER_DATA_CENTRE_COST_S
        return OTHER_REGION_COST_S


class CostParts(NamedTuple):
    """Parts of the expected cost of an upstream, in seconds.

    Attributes:
      reply_s: Reply time, with the slowness and the queue of the upstream.
      failure_s: Delay by failed attempts.
      transfer_s: Cost of the traffic to its data centre.
      overdue_s: Delay at an upstream with an overdue reply.
      unreachable_s: Cost of one that refused a connection recently.
    """

    reply_s: float
    failure_s: float
    transfer_s: float
    overdue_s: float
    unreachable_s: float


def slowdown(upstream: Upstream, now: float) -> float:
    """Returns the factor by which an upstream is slower than a typical one."""
    factor = max(upstream.slowness, upstream.reported_slowdown(now))
    if upstream.warmed_up_at > now:
        factor = max(factor, 1.0 + WARM_UP_EXTRA_FRACTION)
    return factor


def cost_parts(
    upstream: Upstream,
    route: Route,
    times: ReplyTimes,
    place: Locality,
    now: float,
) -> CostParts:
    """Returns the parts of the expected cost of an upstream."""
    data_centre = upstream.announcement.data_centre
    typical_s = times.typical(route, data_centre)
    upstream.decay(now)
    factor = slowdown(upstream, now)
    return CostParts(
        typical_s * (factor + upstream.queue_per_slot(now)),
        upstream.failure_rate * FAILURE_COST_S,
        place.transfer_cost(data_centre),
        OVERDUE_COST_S if upstream.has_overdue_reply(now) else 0.0,
        UNREACHABLE_COST_S if upstream.unreachable_until > now else 0.0,
    )


def expected_cost(
    upstream: Upstream,
    route: Route,
    times: ReplyTimes,
    place: Locality,
    now: float,
) -> float:
    """Returns the expected reply time of an upstream plus its other costs.

    The result is in seconds.
    """
    reply_s, failure_s, transfer_s, overdue_s, unreachable_s = cost_parts(
        upstream, route, times, place, now
    )
    return reply_s + failure_s + transfer_s + overdue_s + unreachable_s


def reply_rank(upstream: Upstream, place: Locality, now: float) -> float:
    """Returns a number that is lower the sooner an upstream will reply.

    It is in typical reply times.
    """
    rank = upstream.pace * (1.0 + upstream.queue_per_slot(now))
    rank += OPEN_ATTEMPT_RANK * len(upstream.open_attempts)
    if not place.is_in_own_region(upstream.announcement.data_centre):
        rank += OTHER_REGION_RANK
    if not upstream.is_available(now):
        rank += UNAVAILABLE_RANK
    return rank


def pick_cheapest(
    options: Collection[Upstream],
    route: Route,
    times: ReplyTimes,
    place: Locality,
    now: float,
    random_value: float,
) -> Upstream | None:
    """Returns the upstream with the lowest expected cost.

    Args:
      options: Upstreams to choose from.
      route: Route of the request.
      times: Typical reply times.
      place: Location of this instance.
      now: The time.
      random_value: Random number from 0 to 1 that rotates the options, so that
        ties are broken at random.
    """
    if not options:
        return None
    ordered = list(options)
    offset = int(random_value * len(ordered))
    ordered = ordered[offset:] + ordered[:offset]
    return min(
        ordered,
        key=lambda candidate: expected_cost(
            candidate, route, times, place, now
        ),
    )
