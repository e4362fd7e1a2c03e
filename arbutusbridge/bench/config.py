"""Configuration versions among faults: time to be in force, and promises."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.bench._publishing import run_publishes
from arbutusbridge.bench.report import Report

if TYPE_CHECKING:
    from arbutusbridge.bench._publishing import PublishRun

PUBLISHES = 100
MAX_IN_FORCE_S = 17.0


def measure(seed: int) -> Report:
    """Publishes 100 versions to 8 instances in 3 data centres.

    The baseline is the same run without peers: every instance watches the
    store for itself.
    """
    report = Report("config", seed)
    run = run_publishes(seed, PUBLISHES)
    baseline = run_publishes(seed, PUBLISHES, peers=False)
    report.figures.update(compute_lag_figures(run))
    for name, value in compute_lag_figures(baseline).items():
        report.figures[f"baseline_{name}"] = value
    for outcome in ("accepted", "conflict", "unavailable", "unknown"):
        count = sum(told.outcome == outcome for told in run.told)
        report.figures[f"told_{outcome}"] = count
    report.figures["publishes"] = len(run.told)
    report.figures["versions"] = len(run.heads)
    report.figures["values_kept"] = run.values_kept
    report.figures["restarted_behind"] = run.seen.restarted_behind
    report.figures["reverts"] = run.seen.reverts
    report.figures["accepted_lost"] = accepted_lost(run)
    report.figures["double_winners"] = double_winners(run)
    report.figures["told_false"] = told_false(run)
    report.at_most("in_force_most_s", MAX_IN_FORCE_S)
    for figure in ("reverts", "accepted_lost", "double_winners", "told_false"):
        report.at_most(figure, 0)
    report.at_least("publishes", PUBLISHES)
    return report


def compute_lag_figures(run: PublishRun) -> dict[str, float]:
    """Returns the times from in reach to in force, and the calls made."""
    lags = sorted(run.seen.lags)
    return {
        "in_force_p50_s": round(lags[len(lags) // 2], 2),
        "in_force_p99_s": round(lags[len(lags) * 99 // 100], 2),
        "in_force_most_s": round(lags[-1], 2),
        "store_calls_per_s": round(run.calls_a_second, 2),
    }


def accepted_lost(run: PublishRun) -> int:
    """Counts accepted versions that no longer stand, or not everywhere."""
    chain = set(run.heads)
    lost = sum(
        told.head not in chain for told in run.told if told.head is not None
    )
    last = run.heads[-1].version
    return lost + sum(version != last for version in run.final_versions)


def double_winners(run: PublishRun) -> int:
    """Counts version numbers that were given out more than once."""
    numbers = [head.version for head in run.heads]
    told = [told.head.version for told in run.told if told.head is not None]
    doubles = len(numbers) - len(set(numbers))
    return doubles + len(told) - len(set(told))


def told_false(run: PublishRun) -> int:
    """Counts publishes that were told to have failed and took effect."""
    chain = {head.publish_id for head in run.heads}
    return sum(
        told.outcome in ("conflict", "unavailable") and told.publish_id in chain
        for told in run.told
    )
