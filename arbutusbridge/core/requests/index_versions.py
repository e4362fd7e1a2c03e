"""Choice of the one index version that a query is answered from."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.requests.routing import ReplicaSet

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable, Mapping

    from arbutusbridge.core.messages import Version
    from arbutusbridge.core.model import Configuration, Layout, Shard
    from arbutusbridge.core.requests.observations import UpstreamView
    from arbutusbridge.core.requests.pending_attempts import ShardTask

SUFFICIENT_SPARE_FRACTION = 0.5
"""Part of the weight that must have a second replica before a newer version is
preferred."""


REPORT_FRESHNESS_S = 0.05
"""Age up to which an upstream's report of its versions counts as current."""


@dataclass(slots=True, eq=False)
class ServedVersion:
    """The replicas that serve one index version at present.

    Attributes:
      layout: Layout of the version.
      version: The index version.
      replica_sets: Replicas that serve it, by shard name.
      weight: Weight of the shards with at least one replica.
      spare_weight: Weight of the shards with at least two replicas.
    """

    layout: Layout
    version: Version
    replica_sets: dict[str, ReplicaSet] = field(default_factory=dict)
    weight: int = 0
    spare_weight: int = 0

    @classmethod
    def of(cls, layout: Layout, version: Version) -> ServedVersion:
        """Builds the entry of a version that no upstream serves yet."""
        serving = cls(layout, version)
        for shard in layout.shards:
            serving.replica_sets[shard.name] = ReplicaSet()
        return serving

    @property
    def share(self) -> float:
        """Coverage that replies can reach: weight over total weight, 0 to 1."""
        return self.weight / self.layout.total_weight

    @property
    def rank(self) -> tuple[float, float, Version]:
        """Sort key of preference: coverage, enough second replicas, version."""
        spare = self.spare_weight / self.layout.total_weight
        return (self.share, min(spare, SUFFICIENT_SPARE_FRACTION), self.version)

    def add(self, shard: Shard, view: UpstreamView) -> None:
        """Adds a replica of a shard."""
        replica_set = self.replica_sets[shard.name]
        replica_set.add(view)
        count = len(replica_set)
        if count == 1:
            self.weight += shard.weight
        elif count == 2:
            self.spare_weight += shard.weight

    def remove(self, shard: Shard, view: UpstreamView) -> None:
        """Removes a replica of a shard."""
        replica_set = self.replica_sets[shard.name]
        replica_set.remove(view)
        count = len(replica_set)
        if count == 0:
            self.weight -= shard.weight
        elif count == 1:
            self.spare_weight -= shard.weight


def possible_replicas(
    shard: Shard,
    asked: Collection[UpstreamView],
    views: Mapping[str, UpstreamView],
    now: float,
) -> list[UpstreamView]:
    """Returns replicas that may serve a version that they have not reported.

    Status reports lag. A replica without a recent report may hold a version
    by now. If not, its refusal is cheap and states the versions that it holds.
    """
    return [
        view
        for view in (views[name] for name in shard.replicas)
        if now - view.versions_reported_at >= REPORT_FRESHNESS_S
        and not view.leaving
        and view.is_available(now)
        and view not in asked
    ]


def pick_unreported(
    serving: ServedVersion,
    task: ShardTask,
    views: Mapping[str, UpstreamView],
    rng: random.Random,
    now: float,
) -> UpstreamView | None:
    """Picks a replica at random for a shard that none is known to serve.

    Returns:
      A replica that may serve it, None if there is none or one is known.
    """
    if len(serving.replica_sets[task.shard.name]):
        return None
    options = [
        view
        for view in possible_replicas(task.shard, task.asked, views, now)
        if view.in_flight < view.limit
    ]
    return rng.choice(options) if options else None


@dataclass(slots=True)
class ShardPlacement:
    """A shard and the layout that places it on its replicas."""

    layout: Layout
    shard: Shard


class VersionCatalogue:
    """Tracks the index versions that the upstreams of a configuration serve.

    Attributes:
      configuration: The configuration.
      served_versions: Entries of the versions served, by service and version.
      placements: Shards of each upstream, by upstream and service.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.served_versions: dict[str, dict[Version, ServedVersion]] = {}
        self.placements: dict[str, dict[str, list[ShardPlacement]]] = {}

    @classmethod
    def build(
        cls,
        configuration: Configuration,
        views: Mapping[str, UpstreamView],
    ) -> VersionCatalogue:
        """Builds a catalogue from the views of all upstreams."""
        catalogue = cls(configuration)
        for service, layouts in configuration.layouts.items():
            catalogue.served_versions[service] = {}
            for layout in layouts:
                for shard in layout.shards:
                    catalogue.place(ShardPlacement(layout, shard))
        for name in catalogue.placements:
            view = views[name]
            if not view.leaving:
                for service, held in view.held.items():
                    catalogue.add(service, view, held)
        return catalogue

    def place(self, place: ShardPlacement) -> None:
        """Adds a shard to the placements of its replicas."""
        for name in place.shard.replicas:
            services = self.placements.setdefault(name, {})
            services.setdefault(place.layout.service, []).append(place)

    def add(
        self, service: str, view: UpstreamView, versions: Iterable[Version]
    ) -> None:
        """Adds an upstream to the versions that it serves."""
        for version in versions:
            for place in self.placements.get(view.name, {}).get(service, ()):
                if place.layout.epoch != version[0]:
                    continue
                served_versions = self.served_versions[service]
                serving = served_versions.get(version)
                if serving is None:
                    serving = ServedVersion.of(place.layout, version)
                    served_versions[version] = serving
                serving.add(place.shard, view)

    def remove(
        self, service: str, view: UpstreamView, versions: Iterable[Version]
    ) -> None:
        """Removes an upstream from versions that it no longer serves."""
        for version in versions:
            serving = self.served_versions.get(service, {}).get(version)
            if serving is None:
                continue
            for place in self.placements.get(view.name, {}).get(service, ()):
                if place.layout.epoch == version[0]:
                    serving.remove(place.shard, view)
            if serving.weight == 0:
                del self.served_versions[service][version]

    def current(self, serving: ServedVersion) -> ServedVersion:
        """Returns the current entry of a version.

        The given entry is outdated if no upstream served the version for a
        time.
        """
        served_versions = self.served_versions[serving.layout.service]
        return served_versions.get(serving.version, serving)

    def best_sufficient(
        self,
        service: str,
        min_share: float,
        views: Mapping[str, UpstreamView],
        now: float,
    ) -> ServedVersion | None:
        """Returns the best version that may reach a minimum coverage.

        Versions that replicas have not reported count only if no reported one
        suffices.
        """
        serving = self.best(service)
        if serving is None or serving.share >= min_share:
            return serving
        best_possible = self.best_possible(service, views, now)
        return (
            best_possible[0]
            if best_possible and best_possible[1] >= min_share
            else None
        )

    def best_possible(
        self, service: str, views: Mapping[str, UpstreamView], now: float
    ) -> tuple[ServedVersion, float] | None:
        """Returns the version with the highest possible coverage.

        Shards also count as covered if a replica may serve the version
        without having reported it.

        Returns:
          The version and its possible coverage, None if none is served.
        """
        found: tuple[ServedVersion, float] | None = None
        for serving in self.served_versions.get(service, {}).values():
            weight = serving.weight
            for shard in serving.layout.shards:
                if not len(
                    serving.replica_sets[shard.name]
                ) and possible_replicas(shard, (), views, now):
                    weight += shard.weight
            share = weight / serving.layout.total_weight
            if found is None or (share, serving.rank) > (
                found[1],
                found[0].rank,
            ):
                found = (serving, share)
        return found

    def best(self, service: str) -> ServedVersion | None:
        """Returns the version that a new query uses.

        It is the one with the highest coverage. Among equals it is the one
        with enough second replicas, then the newest.
        """
        served_versions = self.served_versions.get(service)
        if not served_versions:
            return None
        if len(served_versions) == 1:
            return next(iter(served_versions.values()))
        return max(served_versions.values(), key=lambda serving: serving.rank)
