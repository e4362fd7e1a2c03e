"""Tests of replica selection, ejections and the versions served."""

from __future__ import annotations

import random
from collections import Counter

import testtools

from arbutusbridge.core.model import Policy
from arbutusbridge.core.requests.index_versions import VersionCatalogue
from arbutusbridge.core.requests.observations import (
    RAMP_UP_DURATION_S,
    UpstreamView,
)
from arbutusbridge.core.requests.routing import ReplicaSet, pick_by_cost
from arbutusbridge.core.requests.upstream_updates import withdraw_upstream
from tests.test_core.fixtures import (
    SERVICE,
    make_configuration,
    make_layout,
    make_tier,
)


def views_of(*local: bool) -> tuple[ReplicaSet, list[UpstreamView]]:
    """Returns replicas, local or remote as given, as a set and as a list."""
    replica_set = ReplicaSet()
    views = [UpstreamView(f"u{i}", here) for i, here in enumerate(local)]
    for view in views:
        replica_set.add(view)
    return replica_set, views


def pick_counts(
    replica_set: ReplicaSet, now: float, count: int = 400
) -> Counter[str]:
    """Returns how often each replica is picked."""
    rng = random.Random(1)
    return Counter(
        view.name
        for _ in range(count)
        if (view := pick_by_cost(replica_set, (), rng, now)) is not None
    )


class PickTest(testtools.TestCase):
    """Selection of one replica."""

    def test_local_first_unless_far_slower(self) -> None:
        replica_set, views = views_of(True, False, False)
        self.assertEqual({"u0": 400}, pick_counts(replica_set, 0.0))
        views[0].latency = 0.1
        self.assertNotIn("u0", pick_counts(replica_set, 0.0))

    def test_ejections_are_bounded_by_the_shard(self) -> None:
        replica_set, views = views_of(True, True, True)
        for view in views:
            view.eject(0.0)
        self.assertEqual(2, len(pick_counts(replica_set, 0.5)))

    def test_last_replica_is_asked_even_if_ejected(self) -> None:
        replica_set, views = views_of(True)
        views[0].eject(0.0)
        self.assertEqual({"u0": 400}, pick_counts(replica_set, 0.5))

    def test_own_observations_override_a_misleading_report(self) -> None:
        replica_set, views = views_of(True, True)
        views[0].reported_load = 0.0
        views[0].observe(0.5)
        views[1].reported_load = 9.0
        self.assertEqual({"u1": 400}, pick_counts(replica_set, 0.0))

    def test_share_grows_after_an_ejection(self) -> None:
        replica_set, views = views_of(True, True, True)
        views[0].eject(0.0)
        views[0].on_status_report(0.5)
        end = views[0].ejected_until
        early = pick_counts(replica_set, end + RAMP_UP_DURATION_S * 0.1)["u0"]
        late = pick_counts(replica_set, end + RAMP_UP_DURATION_S * 0.9)["u0"]
        self.assertLess(early, 40)
        self.assertLess(2 * early, late)

    def test_overdue_upstream_stays_ejected_until_it_reports(self) -> None:
        view = UpstreamView("u")
        for _ in range(3):
            view.on_overdue(0.0)
        self.assertFalse(view.is_available(5.0))
        view.on_status_report(5.0)
        self.assertTrue(view.is_available(5.0))
        view.on_overdue(5.1)
        self.assertFalse(view.is_available(5.2))


class VersionCatalogueTest(testtools.TestCase):
    """Versions served while upstreams switch versions or layouts change."""

    def test_gradual_flip_switches_when_enough_replicas_serve(self) -> None:
        tier = make_tier(make_configuration(make_layout(2, 3)))
        chosen = []
        for name in ("u0-0", "u1-0", "u0-1", "u1-1", "u0-2", "u1-2"):
            tier.report(name, {SERVICE: ((1, 2),)}, 0.0, False)
            serving = tier.best_version(SERVICE)
            assert serving is not None
            chosen.append((serving.version[1], serving.share))
        self.assertEqual([1, 1, 1, 2, 2, 2], [version for version, _ in chosen])
        self.assertEqual({1.0}, {share for _, share in chosen})

    def test_leaving_upstream_is_no_replica(self) -> None:
        tier = make_tier(make_configuration(make_layout(1, 2)))
        withdraw_upstream(tier, tier.views["u0-0"])
        serving = tier.best_version(SERVICE)
        assert serving is not None
        replica_set = serving.replica_sets["s0"]
        self.assertEqual(["u0-1"], [view.name for view in replica_set.local])

    def test_incremental_catalogue_equals_a_rebuilt_one(self) -> None:
        layouts = (make_layout(3, 2, 2), make_layout(2, 2, 1))
        configuration = make_configuration(*layouts, policy=Policy())
        tier = make_tier(configuration)
        rng = random.Random(5)
        versions = [(1, 1), (1, 2), (2, 1), (2, 2)]
        for _ in range(200):
            name = rng.choice(sorted(configuration.upstreams))
            held = tuple(rng.sample(versions, rng.randrange(3)))
            tier.report(name, {SERVICE: held}, 0.0, False)
        rebuilt = VersionCatalogue.build(configuration, tier.views)
        assert tier.catalogue is not None
        self.assertEqual(summary(rebuilt), summary(tier.catalogue))


def summary(catalogue: VersionCatalogue) -> dict[object, object]:
    """Returns weights and replicas by version, to compare catalogues by."""
    return {
        version: (
            serving.weight,
            serving.spare_weight,
            {
                shard: sorted(view.name for view in replica_set.local)
                for shard, replica_set in serving.replica_sets.items()
            },
        )
        for version, serving in catalogue.served_versions[SERVICE].items()
    }
