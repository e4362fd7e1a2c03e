"""Choice of the one index version that a query is answered from."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.requests.routing import Holders

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable, Mapping

    from arbutusbridge.core.messages import Version
    from arbutusbridge.core.model import Configuration, Layout, Shard
    from arbutusbridge.core.requests.flights import ShardTask
    from arbutusbridge.core.requests.observations import UpstreamView

ENOUGH_SPARE_SHARE = 0.5
"""Share of the weight with a second replica that a newer version needs."""


HEARD_LATELY_S = 0.05
"""Time in which what an upstream said of its versions is taken as it is."""


@dataclass(slots=True, eq=False)
class Serving:
    """Who serves one index version, kept current.

    Attributes:
      layout: The version's layout.
      version: The version.
      holders: Replicas that serve it, by shard name.
      weight: Weight of the shards with a replica.
      spare_weight: Weight of the shards with more than one.
    """

    layout: Layout
    version: Version
    holders: dict[str, Holders] = field(default_factory=dict)
    weight: int = 0
    spare_weight: int = 0

    @classmethod
    def of(cls, layout: Layout, version: Version) -> Serving:
        """Builds a serving that no upstream takes part in yet."""
        serving = cls(layout, version)
        for shard in layout.shards:
            serving.holders[shard.name] = Holders()
        return serving

    @property
    def share(self) -> float:
        """Weight that can be covered over weight total."""
        return self.weight / self.layout.total_weight

    @property
    def rank(self) -> tuple[float, float, Version]:
        """Order of preference: coverage, some spare replicas, newness."""
        spare = self.spare_weight / self.layout.total_weight
        return (self.share, min(spare, ENOUGH_SPARE_SHARE), self.version)

    def add(self, shard: Shard, view: UpstreamView) -> None:
        """Adds a replica of a shard."""
        holders = self.holders[shard.name]
        holders.add(view)
        count = len(holders)
        if count == 1:
            self.weight += shard.weight
        elif count == 2:
            self.spare_weight += shard.weight

    def remove(self, shard: Shard, view: UpstreamView) -> None:
        """Removes a replica of a shard."""
        holders = self.holders[shard.name]
        holders.remove(view)
        count = len(holders)
        if count == 0:
            self.weight -= shard.weight
        elif count == 1:
            self.spare_weight -= shard.weight


def may_hold(
    shard: Shard,
    asked: Collection[UpstreamView],
    views: Mapping[str, UpstreamView],
    now: float,
) -> list[UpstreamView]:
    """Returns replicas that may have taken up a version unnoticed.

    Status reports lag. A replica that said nothing for a while may hold a
    version by now, and a refusal tells what it holds at a low price.
    """
    return [
        view
        for view in (views[name] for name in shard.replicas)
        if now - view.heard_at >= HEARD_LATELY_S
        and not view.leaving
        and view.fit(now)
        and view not in asked
    ]


def pick_unreported(
    serving: Serving,
    task: ShardTask,
    views: Mapping[str, UpstreamView],
    rng: random.Random,
    now: float,
) -> UpstreamView | None:
    """Picks a replica that may serve a shard that none is known to serve."""
    if len(serving.holders[task.shard.name]):
        return None
    options = [
        view
        for view in may_hold(task.shard, task.asked, views, now)
        if view.in_flight < view.limit
    ]
    return rng.choice(options) if options else None


@dataclass(slots=True)
class Place:
    """A shard that an upstream is a replica of."""

    layout: Layout
    shard: Shard


class Catalogue:
    """Every version that the upstreams of one configuration serve.

    Attributes:
      configuration: The configuration version that it follows.
      servings: Versions seen, by service.
      places: Shards of each upstream, by upstream and service.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.servings: dict[str, dict[Version, Serving]] = {}
        self.places: dict[str, dict[str, list[Place]]] = {}

    @classmethod
    def build(
        cls,
        configuration: Configuration,
        views: Mapping[str, UpstreamView],
    ) -> Catalogue:
        """Builds the catalogue from what is known of all upstreams."""
        catalogue = cls(configuration)
        for service, layouts in configuration.layouts.items():
            catalogue.servings[service] = {}
            for layout in layouts:
                for shard in layout.shards:
                    catalogue.place(Place(layout, shard))
        for name in catalogue.places:
            view = views[name]
            if not view.leaving:
                for service, held in view.held.items():
                    catalogue.add(service, view, held)
        return catalogue

    def place(self, place: Place) -> None:
        """Notes the replicas of a shard."""
        for name in place.shard.replicas:
            services = self.places.setdefault(name, {})
            services.setdefault(place.layout.service, []).append(place)

    def add(
        self, service: str, view: UpstreamView, versions: Iterable[Version]
    ) -> None:
        """Adds an upstream to the versions that it serves."""
        for version in versions:
            for place in self.places.get(view.name, {}).get(service, ()):
                if place.layout.epoch != version[0]:
                    continue
                servings = self.servings[service]
                serving = servings.get(version)
                if serving is None:
                    serving = Serving.of(place.layout, version)
                    servings[version] = serving
                serving.add(place.shard, view)

    def remove(
        self, service: str, view: UpstreamView, versions: Iterable[Version]
    ) -> None:
        """Removes an upstream from versions that it no longer serves."""
        for version in versions:
            serving = self.servings.get(service, {}).get(version)
            if serving is None:
                continue
            for place in self.places.get(view.name, {}).get(service, ()):
                if place.layout.epoch == version[0]:
                    serving.remove(place.shard, view)
            if serving.weight == 0:
                del self.servings[service][version]

    def current(self, serving: Serving) -> Serving:
        """Returns a version's present holders, if it was away meanwhile."""
        servings = self.servings[serving.layout.service]
        return servings.get(serving.version, serving)

    def enough(
        self,
        service: str,
        least_share: float,
        views: Mapping[str, UpstreamView],
        now: float,
    ) -> Serving | None:
        """Returns the best version if it may cover a share of the weight."""
        serving = self.best(service)
        if serving is None or serving.share >= least_share:
            return serving
        likely = self.likely(service, views, now)
        return likely[0] if likely and likely[1] >= least_share else None

    def likely(
        self, service: str, views: Mapping[str, UpstreamView], now: float
    ) -> tuple[Serving, float] | None:
        """Returns the version that may cover most, and the share of it.

        Counts shards whose replicas may have taken it up unnoticed.
        """
        found: tuple[Serving, float] | None = None
        for serving in self.servings.get(service, {}).values():
            weight = serving.weight
            for shard in serving.layout.shards:
                if not len(serving.holders[shard.name]) and may_hold(
                    shard, (), views, now
                ):
                    weight += shard.weight
            share = weight / serving.layout.total_weight
            if found is None or (share, serving.rank) > (
                found[1],
                found[0].rank,
            ):
                found = (serving, share)
        return found

    def best(self, service: str) -> Serving | None:
        """Returns the version that a new query is answered from.

        It is the one that covers most; among equals one that leaves enough
        shards a second replica, then the newest.
        """
        servings = self.servings.get(service)
        if not servings:
            return None
        if len(servings) == 1:
            return next(iter(servings.values()))
        return max(servings.values(), key=lambda serving: serving.rank)
