"""Fraction of the work that is sent away from a data centre that is too slow.

Each instance decides by itself, from the delays that it observes. A fraction
belongs to a data centre that work would normally go to and to a route. It
follows the expected gain in limited steps, and each request is sent away at
random with it. docs/design/overflow.md has the reasons.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding.overflowstate import (
    UPDATE_INTERVAL_S,
    Outflow,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.shared import SharedState

INCREASE_STEP = 0.05
"""Maximum increase of a fraction per interval."""

DECREASE_STEP = 2 * INCREASE_STEP
"""Maximum decrease of a fraction per interval."""

FULL_OCCUPANCY = 0.85
"""Requests per slot at which a data centre is full; queues grow from about this
on. Work returns only as far as the occupancy stays below."""

MIN_COST_S = 0.005
"""Time added to the cost of each data centre, so that one in the own region
does not get everything."""

MARGIN_RATIO = 0.1
"""Gain that sending work away must bring, as a fraction of the target time."""

FULL_GAIN_MARGINS = 4.0
"""Gain beyond the margin, in margins, at which the maximum fraction is wanted.
A fraction in proportion to the gain settles where a little delay is left; one
that only depends on its sign would swing between its bounds."""

OTHER_REGION_ROUND_TRIP_S = 0.024
"""Round trip to another region until one was measured; the users' regions are
at most 12 ms apart one way."""

OWN_REGION_ROUND_TRIP_S = 0.002
"""Round trip to another data centre of the own region; they are 0.5 to 0.9 ms
apart one way."""

MAX_LAG_S = 0.1
"""Maximum lag that is counted; a longer one is a pause of the process."""

REQUEST_MEMORY_S = 30.0
"""Time after its last request in which a fraction is kept up to date."""

LOGGED_CHANGE = 0.1
"""Change of a fraction from which on it is logged."""

MIN_LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines about one fraction."""


def round_trip(data_centre: str, shared: SharedState) -> float:
    """Returns the network time to a data centre and back."""
    place = shared.place
    if data_centre == place.data_centre:
        return 0.0
    if place.is_in_own_region(data_centre):
        return OWN_REGION_ROUND_TRIP_S
    measured = shared.overflow.round_trips.get(data_centre)
    return OTHER_REGION_ROUND_TRIP_S if measured is None else measured.low_s


def expected_gain(
    origin: str, other: str, shared: SharedState, now: float
) -> float:
    """Returns how much sooner a caller gets an answer from elsewhere.

    Work that was not sent there recently takes a new connection, which is
    another round trip.

    Args:
      origin: Data centre that the work would go to.
      other: Data centre that it could be sent to instead.
      shared: State of this instance.
      now: The time.

    Returns:
      The gain in seconds; it is minus infinity if the delay at the origin is
      not known.
    """
    state = shared.overflow
    here_s = state.delay(origin, now)
    if here_s is None:
        return -math.inf
    there_s = state.delay(other, now)
    added_s = round_trip(other, shared)
    if there_s is None:
        there_s = added_s
    return here_s - there_s - (added_s - round_trip(origin, shared))


def cost(data_centre: str, shared: SharedState, now: float) -> float:
    """Returns the time that work at another data centre takes in addition."""
    delay_s = shared.overflow.delay(data_centre, now) or 0.0
    return delay_s + round_trip(data_centre, shared) + MIN_COST_S


def is_worthwhile(
    outflow: Outflow, other: str, shared: SharedState, now: float
) -> bool:
    """Returns whether a data centre may take the fraction that is sent away.

    Once the origin has become faster because of it, there is no gain left; the
    fraction then stays as long as the other one is no slower than usual.
    """
    delay_s = shared.overflow.delay(other, now) or 0.0
    if delay_s < MARGIN_RATIO * outflow.target_s:
        return True
    return expected_gain(outflow.data_centre, other, shared, now) > 0


def has_room(data_centre: str, shared: SharedState, now: float) -> bool:
    """Returns whether a data centre is known not to be full.

    Slow replies then come from single upstreams that pause or are slow, for
    which hedges go elsewhere; sending whole requests away gains nothing.
    """
    occupancy = shared.overflow.occupancy(data_centre, now)
    return occupancy is not None and 0.0 < occupancy < FULL_OCCUPANCY


def needed_fraction(outflow: Outflow, shared: SharedState, now: float) -> float:
    """Returns the fraction without which the origin would be full again.

    It is at most the present one, and 0 if the upstreams do not report their
    occupancy: then only the delay shows whether there is room.
    """
    occupancy = shared.overflow.occupancy(outflow.data_centre, now)
    if not occupancy:
        return 0.0
    kept = (1.0 - outflow.fraction) * FULL_OCCUPANCY / occupancy
    return min(max(1.0 - kept, 0.0), outflow.fraction)


def choose(
    exchange: Exchange,
    own_option: str,
    other_options: Collection[str],
    shared: SharedState,
    now: float,
) -> str:
    """Returns the data centre that the work of a request goes to.

    A request decides once for each data centre that its work would go to.

    Args:
      exchange: The request.
      own_option: Data centre that the work goes to without overflow.
      other_options: Data centres that may take it instead.
      shared: State of this instance.
      now: The time.
    """
    state = shared.overflow
    if not state.is_on:
        return own_option
    decided = exchange.destinations.get(own_option)
    if decided is not None:
        is_possible = decided == own_option or decided in other_options
        return decided if is_possible else own_option
    route = exchange.route
    key = (own_option, route.name)
    outflow = state.outflows.get(key)
    if outflow is None:
        outflow = Outflow(own_option, route.target_s)
        state.outflows[key] = outflow
    outflow.target_s = route.target_s
    outflow.record_request(other_options, now)
    destination = own_option
    if outflow.fraction > 0 and shared.rng.random() < outflow.fraction:
        options = [
            one
            for one in sorted(other_options)
            if is_worthwhile(outflow, one, shared, now)
        ]
        if options:
            # Not all choose the best one, which would soon be no better.
            weights = [1.0 / cost(one, shared, now) for one in options]
            (destination,) = shared.rng.choices(options, weights)
    exchange.destinations[own_option] = destination
    return destination


def update(shared: SharedState, now: float, out: list[object]) -> None:
    """Moves each fraction one step towards the one that its gain calls for."""
    state = shared.overflow
    # The timer that calls this may be a little early.
    if not state.is_on or now - state.updated_at < 0.9 * UPDATE_INTERVAL_S:
        return
    if state.updated_at > -math.inf:
        # The timers of requests rarely become due while nothing is late, so
        # that they do not show the end of a lag.
        late_s = now - state.updated_at - UPDATE_INTERVAL_S
        state.own_lag.add(min(max(late_s, 0.0), MAX_LAG_S), now)
    state.updated_at = now
    for name, lag in list(state.helper_lags.items()):
        if now - lag.observed_at > REQUEST_MEMORY_S:
            del state.helper_lags[name]
    for key, outflow in list(state.outflows.items()):
        origin, route = key
        if now - outflow.asked_at > REQUEST_MEMORY_S:
            del state.outflows[key]
            continue
        best = max(
            outflow.options,
            key=lambda one: expected_gain(origin, one, shared, now),
            default=None,
        )
        wanted = 0.0
        if best is not None:
            if not has_room(origin, shared, now):
                gain_s = expected_gain(origin, best, shared, now)
                margin_s = MARGIN_RATIO * outflow.target_s
                excess = (gain_s - margin_s) / (FULL_GAIN_MARGINS * margin_s)
                wanted = state.max_fraction * min(max(excess, 0.0), 1.0)
            if is_worthwhile(outflow, best, shared, now):
                wanted = max(wanted, needed_fraction(outflow, shared, now))
        outflow.fraction = min(
            max(wanted, outflow.fraction - DECREASE_STEP),
            outflow.fraction + INCREASE_STEP,
        )
        log_change(route, outflow, best, shared, now, out)


def log_change(
    route: str,
    outflow: Outflow,
    best: str | None,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Logs a fraction that has changed noticeably since the last line."""
    change = abs(outflow.fraction - outflow.logged)
    returned = outflow.fraction == 0.0 and outflow.logged > 0.0
    if not (change >= LOGGED_CHANGE - 1e-9 or returned):
        return
    if now - outflow.logged_at < MIN_LOG_INTERVAL_S:
        return
    outflow.logged, outflow.logged_at = outflow.fraction, now
    state = shared.overflow
    origin = outflow.data_centre
    detail: dict[str, object] = {
        "route": route,
        "data_centre": origin,
        "fraction": round(outflow.fraction, 3),
        "to": best,
        "here_ms": in_ms(state.delay(origin, now)),
        "here_age_ms": in_ms(state.age(origin, now)),
        "occupancy": state.occupancy(origin, now),
    }
    if best is not None:
        detail["there_ms"] = in_ms(state.delay(best, now))
        detail["there_age_ms"] = in_ms(state.age(best, now))
        detail["added_ms"] = in_ms(round_trip(best, shared))
    out.append(Decision("", "overflow", detail))


def in_ms(seconds: float | None) -> float | None:
    """Returns a time in milliseconds, None if it is not known."""
    if seconds is None or math.isinf(seconds):
        return None
    return round(seconds * 1000, 1)
