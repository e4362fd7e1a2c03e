"""Generator of the sample traces of two small deployments.

``python -m arbutusbridge.replay.samples DIR`` writes them to a folder.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from arbutusbridge.core import keys
from arbutusbridge.core.model import KEY_SPACE_SIZE
from arbutusbridge.replay.world import START_WALL_TIME_MS

REPLICAS_PER_SHARD = 3
"""Number of upstreams that hold each shard."""

OLD_SHARD_COUNT = 12
"""Number of shards before the repartition."""

NEW_SHARD_COUNT = 16
"""Number of shards after the repartition."""

JsonObject = dict[str, Any]
"""JSON object: a line of a trace, a register or rules."""


@dataclass(frozen=True, slots=True)
class SampleDeployment:
    """Scaled-down deployment that the sample traces are made for.

    Attributes:
      name: Name of the folder that its files are written to.
      service: Service that is searched and recorded to.
      data_centres: Data centres, one for each region.
      urgent: Caller with urgent priority.
      routine: Caller without priority.
      rules: Content of rules.json.
    """

    name: str
    service: str
    data_centres: tuple[str, ...]
    urgent: str
    routine: str
    rules: JsonObject = field(default_factory=dict)


SADDLEBACK = SampleDeployment(
    "saddleback",
    "leases",
    ("north", "central", "south"),
    "crew-mobile",
    "billing-run",
    {
        "defaults": {
            "deadline_ms": 1500,
            "least_coverage": 0.9,
            "prefer": "latency",
            "max_hits": 10000,
        },
        "callers": {"crew-mobile": {"urgency": "urgent"}},
    },
)

SURCO = SampleDeployment(
    "surco",
    "reports",
    ("pampa", "cuyo", "northwest"),
    "campo-app",
    "coop-portal",
    {
        "defaults": {
            "deadline_ms": 2500,
            "least_coverage": 0.6,
            "prefer": "coverage",
            "extra_load": 0.1,
            "max_hits": 10000,
        },
        "callers": {"campo-app": {"urgency": "urgent"}},
    },
)


def make_layout(epoch: int, shards: int) -> JsonObject:
    """Returns a layout with equal key ranges over the upstreams."""
    return {
        "epoch": epoch,
        "shards": [
            {
                "name": f"e{epoch}s{number}",
                "low": number * KEY_SPACE_SIZE // shards,
                "high": (number + 1) * KEY_SPACE_SIZE // shards,
                "weight": 1000 + 10 * number,
                "replicas": [
                    make_upstream_name(number % OLD_SHARD_COUNT, replica)
                    for replica in range(REPLICAS_PER_SHARD)
                ],
            }
            for number in range(shards)
        ],
    }


def make_upstream_name(number: int, replica: int) -> str:
    """Returns the name of an upstream from its shard and replica numbers."""
    return f"u{number}-{replica}"


def make_register(deployment: SampleDeployment) -> JsonObject:
    """Returns the content of register.json for a deployment."""
    upstreams = [
        {
            "name": make_upstream_name(number, replica),
            "address": "127.0.0.1",
            "port": 20000 + number * REPLICAS_PER_SHARD + replica,
            "data_centre": deployment.data_centres[
                replica % len(deployment.data_centres)
            ],
            "slots": 2,
            "connections": 25,
            "connect_ms": 6.0,
        }
        for number in range(OLD_SHARD_COUNT)
        for replica in range(REPLICAS_PER_SHARD)
    ]
    layouts = [make_layout(1, OLD_SHARD_COUNT), make_layout(2, NEW_SHARD_COUNT)]
    service = {"name": deployment.service, "layouts": layouts}
    return {"upstreams": upstreams, "services": [service]}


def search(
    deployment: SampleDeployment,
    at_ms: float,
    number: int,
    query: Any,
    **extra: Any,
) -> JsonObject:
    """Returns the trace line of a search at an instance chosen by number."""
    place = deployment.data_centres[number % len(deployment.data_centres)]
    row = {
        "at_ms": at_ms,
        "id": f"q{number}",
        "instance": f"{place}-1",
        "caller": deployment.urgent if number % 3 == 0 else deployment.routine,
        "service": deployment.service,
        "kind": "search",
        "query": query,
    }
    return {**row, **extra}


def record(
    deployment: SampleDeployment,
    at_ms: float,
    name: str,
    place: str,
    key: str,
    **extra: Any,
) -> JsonObject:
    """Returns the trace line of a record at the instance of a data centre."""
    row = {
        "at_ms": at_ms,
        "id": name,
        "instance": f"{place}-1",
        "caller": deployment.urgent,
        "service": deployment.service,
        "kind": "record",
        "key": key,
        "query": {"swap": key},
    }
    return {**row, **extra}


def make_key(at_ms: float, number: int) -> str:
    """Returns an idempotency key created at a time of the trace."""
    return keys.make_key(START_WALL_TIME_MS + int(at_ms), number)


def event(
    at_ms: float, name: str, target: str = "", **extra: Any
) -> JsonObject:
    """Returns the trace line of an event."""
    return {"at_ms": at_ms, "event": name, "target": target, **extra}


def searches(
    deployment: SampleDeployment,
    first_ms: float,
    last_ms: float,
    step_ms: float,
    first_number: int = 0,
    searches_per_query: int = 0,
    expect: JsonObject | None = None,
) -> list[JsonObject]:
    """Returns the trace lines of evenly spaced searches.

    Args:
      deployment: Deployment that is searched.
      first_ms: Time of the first search.
      last_ms: Time before which the last search arrives.
      step_ms: Interval between two searches.
      first_number: Number of the first search.
      searches_per_query: Number of consecutive searches that share a query,
        0 to give each one its own.
      expect: Expectation on every answer.
    """
    rows = []
    count = int((last_ms - first_ms) / step_ms)
    for offset in range(count):
        number = first_number + offset
        query = {
            "unit": number // searches_per_query
            if searches_per_query
            else number
        }
        at_ms = first_ms + offset * step_ms
        rows.append(
            search(deployment, at_ms, number, query, expect=expect or {})
        )
    return rows


def ordinary_day(deployment: SampleDeployment) -> list[JsonObject]:
    """Returns the ordinary-day trace: one of each common fault and change."""
    done = {"outcome": "complete", "max_latency_ms": 1000}
    rows = searches(deployment, 0, 12000, 25, expect=done)
    for number in range(20):
        key = make_key(number * 500, number)
        place = deployment.data_centres[number % 3]
        rows.append(
            record(
                deployment,
                number * 500,
                f"r{number}",
                place,
                key,
                expect={"outcome": "complete"},
            )
        )
    rows += [
        event(1000, "slow", "u3-1", for_ms=3000, factor=15),
        event(2000, "misreport_load", "u4-0", for_ms=4000, load=0.0),
        event(3000, "crash", "u5-2", for_ms=2000),
        event(5000, "drain", "u6-0"),
        event(
            7000,
            "restart_instance",
            f"{deployment.data_centres[1]}-1",
            for_ms=2000,
        ),
        event(
            9000,
            "flip_snapshot",
            deployment.service,
            snapshot=2,
            for_ms=1000,
            keep_ms=1500,
        ),
    ]
    return rows


def outage_night(deployment: SampleDeployment) -> list[JsonObject]:
    """Returns the outage-night trace: an outage with many equal queries."""
    rows = searches(deployment, 0, 2000, 50, expect={"outcome": "complete"})
    answered = ["complete", "partial", "unknown", "not_run"]
    rows += searches(
        deployment,
        2000,
        7000,
        5,
        first_number=1000,
        searches_per_query=50,
        expect={"outcome": answered},
    )
    rows += searches(
        deployment,
        13000,
        16000,
        50,
        first_number=5000,
        expect={"outcome": "complete", "max_latency_ms": 1000},
    )
    for number in range(6):
        rows += [
            event(2000, "crash", make_upstream_name(number, 0), for_ms=5000),
            event(2000, "shed", make_upstream_name(number, 1), for_ms=5000),
        ]
    rows.append(event(3000, "store_down", for_ms=3000))
    return rows


def campaign(deployment: SampleDeployment) -> list[JsonObject]:
    """Returns the campaign trace: urgent searches during a routine overload."""
    rows = []
    urgent = {"outcome": ["complete", "partial"], "min_coverage": 0.6}
    routine = {"outcome": ["complete", "partial", "unknown", "not_run"]}
    for row in searches(deployment, 0, 8000, 4):
        is_urgent = row["caller"] == deployment.urgent
        rows.append({**row, "expect": urgent if is_urgent else routine})
    for number in range(4):
        rows.append(
            event(2000, "shed", make_upstream_name(number, 2), for_ms=2000)
        )
    rows.append(event(3000, "slow", "u7-0", for_ms=3000, factor=20))
    return rows


def flip_during_repartition(deployment: SampleDeployment) -> list[JsonObject]:
    """Returns a trace of index flips during a repartition of the shards."""
    answered = ["complete", "partial", "unknown", "not_run"]
    rows = searches(
        deployment, 0, 1000, 20, expect={"outcome": "complete", "snapshot": 1}
    )
    rows += searches(
        deployment,
        1000,
        6000,
        10,
        first_number=1000,
        expect={"outcome": answered},
    )
    rows += searches(
        deployment,
        9000,
        11000,
        20,
        first_number=5000,
        expect={"outcome": "complete", "snapshot": 3},
    )
    rows += [
        event(
            1200, "flip_snapshot", deployment.service, snapshot=2, for_ms=1500
        ),
        event(
            1500, "repartition", deployment.service, for_ms=1500, keep_ms=800
        ),
        event(
            3800, "flip_snapshot", deployment.service, snapshot=3, for_ms=1500
        ),
    ]
    return rows


def hasty_flip(deployment: SampleDeployment) -> list[JsonObject]:
    """Returns a trace of a flip in which the old snapshot is dropped early.

    For some time no snapshot is served by all upstreams. A deployment that
    prefers coverage over latency has the time to wait for the new one.
    """
    prefers_coverage = deployment.rules["defaults"]["prefer"] == "coverage"
    patient = {"outcome": "complete", "max_latency_ms": 2500}
    prompt = {
        "outcome": ["complete", "partial", "unknown"],
        "max_latency_ms": 1500,
    }
    expect = patient if prefers_coverage else prompt
    rows = searches(deployment, 0, 4000, 25, expect=expect)
    rows.append(
        event(
            1000, "flip_snapshot", deployment.service, snapshot=2, for_ms=1000
        )
    )
    return rows


def store_outage(deployment: SampleDeployment) -> list[JsonObject]:
    """Returns a trace of a store outage in which a publish fails."""
    stricter = {**deployment.rules}
    stricter["defaults"] = {**deployment.rules["defaults"], "deadline_ms": 1000}
    rows = searches(deployment, 0, 14000, 50, expect={"outcome": "complete"})
    rows += [
        event(500, "publish", rules=stricter),
        event(3000, "store_down", for_ms=4000),
        event(4000, "publish", rules=deployment.rules),
        event(8000, "publish", rules=deployment.rules),
        event(9000, "store_lose_replies", for_ms=2000),
        event(9500, "publish", rules=stricter),
    ]
    for number in range(14):
        at_ms = number * 1000 + 10
        is_down = 2900 < at_ms < 7000
        expect = {"outcome": "not_run"} if is_down else {}
        key = make_key(at_ms, number)
        place = deployment.data_centres[number % 3]
        rows.append(
            record(deployment, at_ms, f"r{number}", place, key, expect=expect)
        )
    return rows


def resent_records(deployment: SampleDeployment) -> list[JsonObject]:
    """Returns a trace of records that are resent at other data centres.

    One data centre is partitioned and an instance of another is paused.
    """
    rows = [event(1000, "partition", deployment.data_centres[0], for_ms=5000)]
    rows.append(
        event(
            2500,
            "pause_instance",
            f"{deployment.data_centres[1]}-1",
            for_ms=1500,
        )
    )
    settled = ["complete", "refused_duplicate", "unknown", "not_run"]
    for number in range(60):
        at_ms = number * 150
        key = make_key(at_ms, number)
        for resend, place in enumerate(deployment.data_centres):
            delay_ms = 0 if number % 2 else 700 * resend
            rows.append(
                record(
                    deployment,
                    at_ms + delay_ms,
                    f"r{number}-{resend}",
                    place,
                    key,
                    expect={"outcome": settled},
                )
            )
    return rows


def crashing_request(deployment: SampleDeployment) -> list[JsonObject]:
    """Returns a trace of a search that crashes upstreams, and its resends."""
    poison = {"text": "crash"}
    rows = searches(
        deployment,
        0,
        8000,
        25,
        expect={"outcome": ["complete", "partial"], "max_latency_ms": 1000},
    )
    rows.append(event(0, "poison", query=poison))
    for number, at_ms in enumerate((1000, 1200, 3500, 4000, 5000, 6000)):
        ended = ["quarantined", "unknown"] if at_ms < 3000 else "quarantined"
        rows.append(
            search(
                deployment,
                at_ms,
                9000 + number,
                poison,
                expect={"outcome": ended},
            )
        )
    return rows


TRACES = {
    "ordinary-day": ordinary_day,
    "outage-night": outage_night,
    "campaign": campaign,
    "flip-during-repartition": flip_during_repartition,
    "hasty-flip": hasty_flip,
    "store-outage": store_outage,
    "resent-records": resent_records,
    "crashing-request": crashing_request,
}
"""Functions that make the lines of the sample traces, by trace name."""


def write_samples(folder: Path) -> None:
    """Writes the register, rules and traces of both deployments."""
    for deployment in (SADDLEBACK, SURCO):
        place = folder / deployment.name
        place.mkdir(parents=True, exist_ok=True)
        register = json.dumps(make_register(deployment), indent=1) + "\n"
        (place / "register.json").write_text(register)
        rules = json.dumps(deployment.rules, indent=1) + "\n"
        (place / "rules.json").write_text(rules)
        for name, make in TRACES.items():
            rows = sorted(make(deployment), key=lambda row: row["at_ms"])
            text = "".join(json.dumps(row) + "\n" for row in rows)
            (place / f"{name}.jsonl").write_text(text)


if __name__ == "__main__":
    write_samples(Path(sys.argv[1]))
