"""Tests of the slopes that the capacity measurement is based on."""

from __future__ import annotations

import pytest

from arbutusbridge.bench import _gossip, _state
from arbutusbridge.bench._slopes import Slope


def test_fit_of_points_on_a_line_is_exact() -> None:
    slope = Slope.from_measurements(
        "x", "s", "y", (1, 2, 4), lambda n: 3.0 * n + 1
    )
    assert slope.slope == pytest.approx(3.0)
    assert slope.at(10) == pytest.approx(31.0)


def test_two_sizes_are_too_few_for_a_slope() -> None:
    with pytest.raises(ValueError, match="only 2 sizes"):
        Slope.from_measurements("x", "s", "y", (1, 2), float)


def test_small_fleet_sends_messages() -> None:
    traffic = _gossip.measure_traffic(12, 1)
    assert traffic.messages_per_s > 1
    assert traffic.bytes_per_s > 100


def test_version_size_grows_with_upstreams() -> None:
    assert _state.version_bytes(100) > _state.version_bytes(50)
