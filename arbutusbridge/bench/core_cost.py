"""Processor time of the core per sub-request, with immediate replies."""

from __future__ import annotations

import gc
import random
import time
from typing import TYPE_CHECKING

from arbutusbridge.bench.report import Report
from arbutusbridge.core.messages import (
    Attempt,
    Reply,
    ReplyKind,
    Respond,
    SearchRequest,
)
from arbutusbridge.core.model import (
    KEY_SPACE_SIZE,
    Configuration,
    Layout,
    Rules,
    Shard,
    Upstream,
)
from arbutusbridge.core.requests.tier import Tier

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Action

SERVICE = "search"
SHARDS = 230
REPLICAS = 3
VERSION = (1, 1)
QUERIES_PER_ROUND = 40
ROUNDS = 15
REPLY_DELAY_S = 0.004


def measure(
    seed: int, queries: int = QUERIES_PER_ROUND, rounds: int = ROUNDS
) -> Report:
    """Runs complete queries through the core, without a bound on the cost."""
    tier = make_tier(seed)
    costs_us = [run_round(tier, i, queries) for i in range(rounds)]
    costs_us.sort()
    report = Report("core-cost", seed)
    report.figures["shards"] = SHARDS
    report.figures["least_us_a_sub_request"] = round(costs_us[0], 3)
    report.figures["median_us_a_sub_request"] = round(costs_us[rounds // 2], 3)
    return report


def make_tier(seed: int) -> Tier:
    """Returns a tier whose upstreams all serve one version."""
    shards = tuple(
        Shard(
            f"s{i}",
            i * KEY_SPACE_SIZE // SHARDS,
            (i + 1) * KEY_SPACE_SIZE // SHARDS,
            1000,
            tuple(f"u{i}-{j}" for j in range(REPLICAS)),
        )
        for i in range(SHARDS)
    )
    names = [name for shard in shards for name in shard.replicas]
    upstreams = {
        name: Upstream(name, "127.0.0.1", 1024 + i, "dc", 2, 25, 1.0)
        for i, name in enumerate(names)
    }
    layouts: dict[str, tuple[Layout, ...]] = {
        SERVICE: (Layout.of(SERVICE, VERSION[0], shards),)
    }
    tier = Tier("dc", random.Random(seed))
    tier.configure(Configuration(1, "p", layouts, upstreams, Rules()))
    for name in names:
        tier.report(name, {SERVICE: (VERSION,)}, 0.0, False)
    return tier


def run_round(tier: Tier, number: int, queries: int) -> float:
    """Runs queries and returns the core's microseconds per sub-request."""
    core_cpu_s = 0.0
    now = float(number * queries)
    gc.collect()
    for i in range(queries):
        now += 1.0
        name = f"q{number}-{i}"
        request = SearchRequest(name, "crew", SERVICE, name)
        began = time.process_time()
        out = tier.search(request, now)
        core_cpu_s += time.process_time() - began
        replied = 0
        while replies := [reply_to(a) for a in out if isinstance(a, Attempt)]:
            replied += len(replies)
            now += REPLY_DELAY_S
            began = time.process_time()
            out = tier.replies(replies, now)
            core_cpu_s += time.process_time() - began
        check_complete_answer(out, replied)
    return core_cpu_s * 1e6 / (queries * SHARDS)


def check_complete_answer(actions: list[Action], replies: int) -> None:
    """Checks that every shard was queried and that the answer is complete.

    Raises:
      RuntimeError: A reply is missing or the answer is incomplete.
    """
    answers = [a for a in actions if isinstance(a, Respond)]
    if replies != SHARDS or len(answers) != 1 or answers[0].answer.missing:
        raise RuntimeError("A query was not answered from the whole layout.")


def reply_to(attempt: Attempt) -> Reply:
    """Returns the correct result of an attempt."""
    return Reply(
        attempt.attempt_id,
        attempt.upstream,
        ReplyKind.RESULT,
        attempt.version,
        attempt.shard,
        [{"id": attempt.shard, "score": 1.0}],
        (VERSION,),
        0.5,
    )
