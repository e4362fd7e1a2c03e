"""Tests of the simulated world."""

from __future__ import annotations

import random

import testtools

from arbutusbridge.core.keys import make_key
from arbutusbridge.core.messages import Outcome, RecordRequest
from arbutusbridge.replay import World
from tests.test_core.fixtures import (
    SERVICE,
    make_configuration,
    make_layout,
    make_search,
)


def sample_service_time(_name: str, rng: random.Random) -> float:
    """Returns a service time of one to two milliseconds, in seconds."""
    return rng.uniform(0.001, 0.002)


def make_world(seed: int = 1) -> World:
    """Returns a world of two instances and eight shards with two replicas."""
    world = World(make_configuration(make_layout(8, 2)), seed)
    world.add_upstreams(sample_service_time)
    world.add_instance("a", "dc")
    world.add_instance("b", "dc")
    return world


class WorldTest(testtools.TestCase):
    """Runs of the core on virtual time."""

    def run_searches(self, seed: int) -> list[float]:
        world = make_world(seed)
        for number in range(50):
            search = make_search(f"q{number}", number)
            world.schedule.at(
                number * 0.01, world.instances["a"].search, search
            )
        world.run_until(5.0)
        outcomes = {
            finished.answer.outcome for finished in world.finished_requests
        }
        self.assertEqual({Outcome.COMPLETE}, outcomes)
        return [finished.seconds for finished in world.finished_requests]

    def test_same_seed_gives_same_latencies(self) -> None:
        self.assertEqual(self.run_searches(3), self.run_searches(3))
        self.assertNotEqual(self.run_searches(3), self.run_searches(4))

    def test_record_resent_to_other_instance_runs_once(self) -> None:
        world = make_world()
        for name in ("a", "b"):
            key = make_key(world.wall_ms, 1)
            request = RecordRequest(f"r-{name}", "crew", SERVICE, key, {})
            world.instances[name].record(request)
        world.run_until(5.0)
        runs = [r for u in world.upstreams.values() for r in u.runs]
        self.assertEqual(1, len(runs))
