"""Choice of the upstream that an attempt goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from arbutusbridge.forwarding.model import Route
    from arbutusbridge.forwarding.upstreams import ReplyTimes, Upstream

OVERDUE_COST_S = 0.2
"""Wait expected at an upstream whose reply is overdue; pauses of upstreams
last 0.15 to 0.25 s."""

FAILURE_COST_S = 0.15
"""Wait that a failed attempt costs, with its repetition."""

UNREACHABLE_COST_S = 2.0
"""Cost of an upstream that lately refused a connection."""

OTHER_REGION_COST_S = 0.03
"""Cost of the bytes sent to another region, besides the time they take."""

OTHER_DATA_CENTRE_COST_S = 0.001
"""The same for another data centre of the region."""

WARM_UP_EXTRA_FRACTION = 0.6
"""Part by which work takes longer while an upstream warms up."""


class Locality:
    """Where this instance runs among the data centres.

    Attributes:
      data_centre: Its data centre.
      regions: Region of each data centre.
    """

    def __init__(self, data_centre: str, regions: dict[str, str]) -> None:
        self.data_centre = data_centre
        self.regions = regions

    @property
    def near(self) -> list[str]:
        """Data centres of this region, this one among them."""
        known = {*self.regions, self.data_centre}
        return sorted(one for one in known if self.is_near(one))

    def is_near(self, data_centre: str) -> bool:
        """Tells whether a data centre is in the region of this one."""
        if data_centre == self.data_centre:
            return True
        here = self.regions.get(self.data_centre)
        return here is not None and self.regions.get(data_centre) == here

    def transfer_cost(self, data_centre: str) -> float:
        """Returns the cost of bytes to and from a data centre, in seconds."""
        if data_centre == self.data_centre:
            return 0.0
        if self.is_near(data_centre):
            return OTHER_DATA_CENTRE_COST_S
        return OTHER_REGION_COST_S


def expected_cost(
    upstream: Upstream,
    route: Route,
    times: ReplyTimes,
    place: Locality,
    now: float,
) -> float:
    """Returns the expected time to a reply with what else it costs."""
    data_centre = upstream.announcement.data_centre
    usual = times.usual(route, data_centre)
    upstream.fade(now)
    factor = max(upstream.slowness, upstream.pace(now))
    if upstream.warm_at > now:
        factor = max(factor, 1.0 + WARM_UP_EXTRA_FRACTION)
    cost = usual * (factor + upstream.queue(now))
    cost += upstream.trouble * FAILURE_COST_S
    cost += place.transfer_cost(data_centre)
    if upstream.overdue(now):
        cost += OVERDUE_COST_S
    if upstream.unreachable_until > now:
        cost += UNREACHABLE_COST_S
    return cost


def cheapest(
    options: Collection[Upstream],
    route: Route,
    times: ReplyTimes,
    place: Locality,
    now: float,
    draw: float,
) -> Upstream | None:
    """Returns the upstream with the least expected cost.

    Args:
      options: Upstreams that may be asked.
      route: The request's route.
      times: Usual reply times.
      place: Where this instance runs.
      now: The time.
      draw: Random number from 0 to 1 that turns the order of equals.
    """
    if not options:
        return None
    ordered = list(options)
    turn = int(draw * len(ordered))
    ordered = ordered[turn:] + ordered[:turn]
    return min(
        ordered,
        key=lambda one: expected_cost(one, route, times, place, now),
    )
