"""Configuration versions under faults: time to take effect and guarantees."""

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

    The baseline is the same run without peer messages, in which every
    instance watches the store itself.
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
    """Returns quantiles of the seconds from reachable to in force.

    The store calls per second are included.
    """
    lags = sorted(run.seen.lags)
    return {
        "in_force_p50_s": round(lags[len(lags) // 2], 2),
        "in_force_p99_s": round(lags[len(lags) * 99 // 100], 2),
        "in_force_most_s": round(lags[-1], 2),
        "store_calls_per_s": round(run.calls_a_second, 2),
    }


def accepted_lost(run: PublishRun) -> int:
    """Counts accepted versions that were lost.

    A version is lost if it is missing from the chain of heads. An instance
    that does not end on the last version counts as one more.
    """
    chain = set(run.heads)
    lost = sum(
        told.head not in chain for told in run.told if told.head is not None
    )
    last = run.heads[-1].version
    return lost + sum(version != last for version in run.final_versions)


def double_winners(run: PublishRun) -> int:
    """Counts version numbers that were assigned more than once."""
    numbers = [head.version for head in run.heads]
    told = [told.head.version for told in run.told if told.head is not None]
    doubles = len(numbers) - len(set(numbers))
    return doubles + len(told) - len(set(told))


def told_false(run: PublishRun) -> int:
    """Counts publishes that were reported as failed but took effect."""
    chain = {head.publish_id for head in run.heads}
    return sum(
        told.outcome in ("conflict", "unavailable") and told.publish_id in chain
        for told in run.told
    )
