"""Observations of the data centres, and what is sent away from them."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection

    from arbutusbridge.forwarding.model import Route

K = TypeVar("K")

UPDATE_INTERVAL_S = 0.25
"""Interval at which fractions change."""

MAX_AGE_S = 2.0
"""Age from which on an observation is ignored."""

SMOOTHING_TIME_S = 0.2
"""Time constant of the smoothed delays."""

MIN_SMOOTHING_WEIGHT = 0.1
"""Minimum weight of one observation; many arrive at the same time."""

MAX_SMOOTHING_WEIGHT = 0.5
"""Maximum weight of one observation, so that a single slow reply at an instance
with few requests sends nothing away."""

NORMAL_LAG_S = 0.02
"""Lag up to which a helper gets its whole share; a busy instance checks its
messages before it sends more from this lag on."""

LAGS_PER_GROUP = 2.0
"""Number of times that the lag of a helper delays a group: when it reads the
message and when it replies."""

EVENT_TIME_S = 0.0018
"""Processing time of an event at a helper: a shard takes 0.9 ms of a full core,
and the helpers have about half of one."""

MEAN_WEIGHT = 0.1
"""Weight of one reply time in the mean that a baseline follows."""

BASELINE_RECOVERY_TIME_S = 600.0
"""Time constant with which a baseline rises; it falls at once. Overload lasts
for seconds to minutes and must not become the baseline."""


class Source(enum.Enum):
    """What a delay was observed in.

    ATTEMPT is the reply time of an attempt, GROUP that of a delegated group,
    and LAG the lag that a helper reported.
    """

    ATTEMPT = "attempt"
    GROUP = "group"
    LAG = "lag"


@dataclass(slots=True)
class Signal:
    """Smoothed value of one kind of observation.

    Attributes:
      value: The value.
      observed_at: When it was last observed.
    """

    value: float = 0.0
    observed_at: float = -math.inf

    def add(self, value: float, now: float) -> None:
        """Adds an observation. An old value is replaced by 0 first."""
        elapsed_s = now - self.observed_at
        if elapsed_s > MAX_AGE_S:
            self.value = 0.0
        weight = 1.0 - math.exp(-elapsed_s / SMOOTHING_TIME_S)
        weight = min(max(weight, MIN_SMOOTHING_WEIGHT), MAX_SMOOTHING_WEIGHT)
        self.value += (value - self.value) * weight
        self.observed_at = now

    def is_fresh(self, now: float) -> bool:
        """Returns whether it was observed recently."""
        return now - self.observed_at <= MAX_AGE_S


@dataclass(slots=True)
class Baseline:
    """Time without load, in seconds.

    Attributes:
      mean_s: Smoothed time.
      low_s: Lowest smoothed time, which rises slowly.
      updated_at: When it was last updated.
    """

    mean_s: float
    low_s: float
    updated_at: float

    def add(self, seconds: float, now: float) -> None:
        """Adds a time."""
        self.mean_s += (seconds - self.mean_s) * MEAN_WEIGHT
        elapsed_s = now - self.updated_at
        self.updated_at = now
        rise = 1.0 - math.exp(-elapsed_s / BASELINE_RECOVERY_TIME_S)
        self.low_s += max(0.0, self.mean_s - self.low_s) * rise
        self.low_s = min(self.low_s, self.mean_s)


def add_to_baseline(
    baselines: dict[K, Baseline], key: K, seconds: float, now: float
) -> None:
    """Adds a time to a baseline, which starts with the first one."""
    known = baselines.get(key)
    if known is None:
        baselines[key] = Baseline(seconds, seconds, now)
    else:
        known.add(seconds, now)


@dataclass(slots=True)
class Outflow:
    """Work of one route that a data centre would get, and its fraction.

    Attributes:
      data_centre: The data centre.
      target_s: Target time of the route.
      options: When a request could last go to each other data centre.
      asked_at: When the latest request arrived.
      fraction: Fraction that is sent away.
      halved_at: When the fraction was last halved.
      logged: Fraction in the latest log line.
      logged_at: When that line was written.
    """

    data_centre: str
    target_s: float
    options: dict[str, float] = field(default_factory=dict)
    asked_at: float = -math.inf
    fraction: float = 0.0
    halved_at: float = -math.inf
    logged: float = 0.0
    logged_at: float = -math.inf

    def record_request(self, options: Collection[str], now: float) -> None:
        """Records a request and the data centres that it could go to.

        Requests of different accounts may go to different data centres, so
        that those of the last requests are kept.
        """
        self.asked_at = now
        self.options.update(dict.fromkeys(options, now))
        for one, at in list(self.options.items()):
            if now - at > MAX_AGE_S:
                del self.options[one]


@dataclass(slots=True)
class OverflowState:
    """Observations of the data centres, and the fractions that are sent away.

    Attributes:
      max_fraction: Maximum fraction; 0 switches overflow off.
      signals: Delays by data centre and source, beyond the baseline.
      baselines: Reply times without load, by source, route and data centre.
      round_trips: Time to the acknowledgements of helpers, by data centre.
      outflows: Fractions by data centre and route.
      occupancies: Running and waiting requests per slot of the upstreams, by
        data centre.
      own_lag: Lag of the timers of this instance.
      helper_lags: Lag that helpers reported, by name.
      updated_at: When the fractions were last updated.
    """

    max_fraction: float = 0.0
    signals: dict[tuple[str, Source], Signal] = field(default_factory=dict)
    baselines: dict[tuple[Source, str, str], Baseline] = field(
        default_factory=dict
    )
    round_trips: dict[str, Baseline] = field(default_factory=dict)
    outflows: dict[tuple[str, str], Outflow] = field(default_factory=dict)
    occupancies: dict[str, Signal] = field(default_factory=dict)
    own_lag: Signal = field(default_factory=Signal)
    helper_lags: dict[str, Signal] = field(default_factory=dict)
    updated_at: float = -math.inf

    @property
    def is_on(self) -> bool:
        """Whether any work may be sent away."""
        return self.max_fraction > 0.0

    def configure(self, max_fraction: float) -> None:
        """Applies the setting; nothing is kept when it is switched off."""
        self.max_fraction = max_fraction
        if not self.is_on:
            self.signals.clear()
            self.baselines.clear()
            self.round_trips.clear()
            self.outflows.clear()
            self.occupancies.clear()
            self.helper_lags.clear()

    def observe(
        self,
        data_centre: str,
        seconds: float,
        expected_s: float,
        now: float,
        source: Source = Source.ATTEMPT,
    ) -> None:
        """Records how long work at a data centre took.

        Args:
          data_centre: The data centre.
          seconds: Time that it took.
          expected_s: Time that it takes without load.
          now: The time.
          source: What was observed.
        """
        key = (data_centre, source)
        signal = self.signals.get(key)
        if signal is None:
            signal = self.signals[key] = Signal()
        signal.add(max(0.0, seconds - expected_s), now)

    def baseline(
        self, source: Source, route: Route, data_centre: str
    ) -> float | None:
        """Returns the reply time without load, None if it is not known."""
        known = self.baselines.get((source, route.name, data_centre))
        return known.low_s if known is not None else None

    def learn_baseline(
        self,
        source: Source,
        route: Route,
        data_centre: str,
        seconds: float,
        now: float,
    ) -> None:
        """Updates the reply time without load with a reply time."""
        key = (source, route.name, data_centre)
        add_to_baseline(self.baselines, key, seconds, now)

    def delay(self, data_centre: str, now: float) -> float | None:
        """Returns the delay at a data centre, None without a recent one.

        It is the greatest of the sources: each of them sees only a part of the
        way of a request, and all of the delay may be in that part.
        """
        fresh = [
            signal.value
            for source in Source
            if (signal := self.signals.get((data_centre, source)))
            and signal.is_fresh(now)
        ]
        return max(fresh, default=None)

    def lag(self, now: float) -> float:
        """Returns the lag of this instance, in seconds."""
        return self.own_lag.value if self.own_lag.is_fresh(now) else 0.0

    def occupancy(self, data_centre: str, now: float) -> float | None:
        """Returns how busy the upstreams or the helpers of a data centre are.

        That of the upstreams is in requests per slot. A processor with the
        occupancy u delays events by u / (1 - u) times the time that each takes,
        so that the lag of the helpers tells theirs. The greater one counts.
        """
        found = []
        of_upstreams = self.upstream_occupancy(data_centre, now)
        if of_upstreams is not None:
            found.append(of_upstreams)
        lag = self.signals.get((data_centre, Source.LAG))
        if lag is not None and lag.is_fresh(now):
            lag_s = lag.value / LAGS_PER_GROUP
            found.append(lag_s / (lag_s + EVENT_TIME_S))
        return max(found, default=None)

    def upstream_occupancy(self, data_centre: str, now: float) -> float | None:
        """Returns the requests per slot, None without a recent report."""
        signal = self.occupancies.get(data_centre)
        if signal is None or not signal.is_fresh(now):
            return None
        return signal.value

    def record_occupancy(
        self, data_centre: str, occupancy: float, now: float
    ) -> None:
        """Records the requests per slot of an upstream."""
        self.occupancies.setdefault(data_centre, Signal()).add(occupancy, now)

    def age(self, data_centre: str, now: float) -> float:
        """Returns the age of the latest observation, infinite without one."""
        return now - max(
            (
                signal.observed_at
                for source in Source
                if (signal := self.signals.get((data_centre, source)))
            ),
            default=-math.inf,
        )

    def record_failure(self, data_centre: str, now: float) -> None:
        """Halves the fractions that may be sent to a data centre that failed.

        Failures of the same interval count as one: a failed request fails for
        many shards at once.
        """
        for outflow in self.outflows.values():
            recent = now - outflow.halved_at < UPDATE_INTERVAL_S
            if data_centre in outflow.options and not recent:
                outflow.fraction /= 2
                outflow.halved_at = now

    def destinations(self) -> list[str]:
        """Returns the data centres that work may be sent away to."""
        found = {
            option
            for outflow in self.outflows.values()
            if outflow.fraction > 0
            for option in outflow.options
        }
        return sorted(found)

    def fractions(self) -> dict[str, float]:
        """Returns the greatest fraction of any route by data centre."""
        found: dict[str, float] = {}
        for outflow in self.outflows.values():
            name = outflow.data_centre
            found[name] = max(found.get(name, 0.0), outflow.fraction)
        return found
