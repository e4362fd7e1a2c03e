"""Tests of the plans of faults."""

from __future__ import annotations

import random
import types

import testtools

from arbutusbridge.platform.standins import (
    INVALID_STATUSES,
    encode_invalid_response,
)
from arbutusbridge.soak import faults


def make_environment(seed: int, invalid_statuses: bool):
    """Returns what a plan needs of an environment."""
    names = (
        "rng",
        "crash",
        "crash_time",
        "contract",
        "platform",
        "status",
        "account",
        "evacuation",
    )
    streams = {
        "rng" if name == "rng" else f"{name}_rng": random.Random(
            f"{name} {seed}"
        )
        for name in names
    }
    return types.SimpleNamespace(
        **streams,
        other_build=None,
        invalid_statuses=invalid_statuses,
        schedule=lambda _at, _function: None,
    )


class PlanTest(testtools.TestCase):
    """Faults of a plan that are switched on by an option."""

    # Guards against seeds that failed once and then play other faults.
    def test_other_faults_of_a_seed_stay(self) -> None:
        for seed in range(20):
            without, plan = (
                faults.plan(make_environment(seed, is_on), 10, 12.0)
                for is_on in (False, True)
            )
            added = [line for line in plan if "send_invalid_statuses" in line]
            self.assertIn(len(added), range(1, faults.MAX_STATUS_FAULTS + 1))
            self.assertEqual(
                without, [line for line in plan if line not in added]
            )

    # The same for the evacuation of a data centre.
    def test_other_faults_stay_with_an_evacuation(self) -> None:
        for seed in range(20):
            without, plan = (
                faults.plan(make_environment(seed, False), 10, 12.0, is_on)
                for is_on in (False, True)
            )
            (added,) = [line for line in plan if " evacuate " in line]
            self.assertEqual(without, [line for line in plan if line != added])


class InvalidResponseTest(testtools.TestCase):
    """Responses of the upstreams' stand-in with an invalid status."""

    # Guards against a fault that plays only a part of what was seen.
    def test_all_kinds_are_sent(self) -> None:
        rng = random.Random(1)
        responses = [
            encode_invalid_response(b"body", "X-Server-Stamp: a.1\r\n", rng)
            for _ in range(500)
        ]
        found = {one.split(b" ")[1].decode() for one in responses}
        self.assertEqual(set(INVALID_STATUSES), found)
        for text in (b"Stamp", b"Not-Executed", b"Length", b"chunked"):
            count = sum(text in one for one in responses)
            self.assertTrue(0 < count < len(responses), text)
