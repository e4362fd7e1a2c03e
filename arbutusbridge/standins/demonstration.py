"""Demonstration of the complete request path that checks the guarantees."""

from __future__ import annotations

import http.client
import json
import secrets
import time
import uuid
from typing import Any

from arbutusbridge.core.configuration import pack, publish_steps
from arbutusbridge.core.keys import RANDOM_BIT_COUNT, make_key
from arbutusbridge.daemon.instance import EntryInstance
from arbutusbridge.daemon.logs import start_logging
from arbutusbridge.daemon.storeclient import run_steps
from arbutusbridge.settings import EntrySettings
from arbutusbridge.standins.deployment import (
    FIRST_SNAPSHOT,
    LOOPBACK,
    DeploymentShape,
    StandIns,
    find_free_ports,
    make_register,
)
from arbutusbridge.standins.platform import InstanceEntry

SHAPE = DeploymentShape("leases", 8, 2, ("north", "south"))
NAMESPACE = "demo"
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
SEARCH_COUNT = 4
RULES = {
    "defaults": {"deadline_ms": 2000, "least_coverage": 0.5},
    "callers": {"crew": {"urgency": "urgent", "prefer": "latency"}},
}


def make_instance_settings(
    number: int, platform_port: int, ports: list[int]
) -> EntrySettings:
    """Returns the settings of one instance of the demonstration."""
    place = SHAPE.data_centres[number % len(SHAPE.data_centres)]
    return EntrySettings.model_validate(
        {
            "name": f"entry-{number}",
            "region": place,
            "data_centre": place,
            "callers": {"ip": LOOPBACK, "port": ports[0]},
            "operators": {"ip": LOOPBACK, "port": ports[1]},
            "peers": {"ip": LOOPBACK, "port": ports[2]},
            "platform": [{"ip": LOOPBACK, "port": platform_port}],
            "peer_secret": "demonstration-secret",
            "namespace": NAMESPACE,
            "log_level": "warning",
            "balancer_lag_seconds": 0.0,
        }
    )


def send_request(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Sends an HTTP request to loopback; returns the status and JSON body."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=10)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    finally:
        connection.close()


def wait_until_ready(settings: EntrySettings) -> None:
    """Waits until an instance is ready.

    Raises:
      TimeoutError: The instance did not become ready in time.
    """
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        try:
            status, _ = send_request(settings.operators.port, "GET", "/ready")
            if status == 200:
                return
        except OSError:
            pass
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{settings.name} did not become ready in time")


def run_demonstration() -> int:
    """Runs the demonstration.

    Returns:
      Exit status: 0 if every guarantee held, 1 otherwise.
    """
    handler = start_logging("warning")
    upstream_count = SHAPE.shards * SHAPE.replicas
    ports = find_free_ports(upstream_count + 7)
    upstream_ports = ports[7:]
    register = make_register(SHAPE, lambda number: upstream_ports[number])
    settings = [
        make_instance_settings(number, ports[0], ports[1 + 3 * number :])
        for number in range(2)
    ]
    stand_ins = StandIns(register, (LOOPBACK, ports[0]), 0.002)
    for one in settings:
        register_instance(stand_ins, one)
    stand_ins.start()
    instances = [EntryInstance.from_config(one) for one in settings]
    for instance in instances:
        instance.start()
    try:
        publish(register, ports[0])
        for one in settings:
            wait_until_ready(one)
        broken = check_versions(settings)
        broken += check_requests(settings, stand_ins)
    finally:
        for instance in instances:
            instance.stop()
        stand_ins.stop()
        handler.close()
    for line in broken:
        print(f"BROKEN: {line}")
    print("broken promises:", len(broken))
    return 1 if broken else 0


def register_instance(stand_ins: StandIns, settings: EntrySettings) -> None:
    """Adds an instance to the platform's instance list."""
    assert stand_ins.platform is not None
    address = (settings.peers.ip, settings.peers.port)
    entry = InstanceEntry(settings.name, settings.data_centre, address)
    now = stand_ins.timers.clock()
    stand_ins.platform.instances.put(entry, now)


def publish(register: dict[str, Any], platform_port: int) -> None:
    """Publishes the register and the rules as version 1."""
    packed = pack(json.dumps(register).encode(), json.dumps(RULES).encode())
    steps = publish_steps(packed, 0, uuid.uuid4().hex)
    head = run_steps(steps, (LOOPBACK, platform_port), NAMESPACE)
    print("published version", head.version)


def check_versions(settings: list[EntrySettings]) -> list[str]:
    """Prints each instance's version in force; returns broken guarantees."""
    broken = []
    for one in settings:
        _, status = send_request(one.operators.port, "GET", "/status")
        print(f"version in force at {one.name}:", status["config_version"])
        if status["config_version"] != 1:
            broken.append(f"{one.name} has version {status['config_version']}")
    return broken


def check_requests(
    settings: list[EntrySettings], stand_ins: StandIns
) -> list[str]:
    """Sends searches and a record; returns broken guarantees."""
    broken = []
    for number in range(SEARCH_COUNT):
        one = settings[number % len(settings)]
        query = {"text": f"unit {number}"}
        body = {"caller": "crew", "service": SHAPE.service, "query": query}
        status, answer = send_request(
            one.callers.port, "POST", "/v1/search", body
        )
        print(
            f"search at {one.name}: {status} {answer['outcome']}",
            f"snapshot {answer['snapshot']} coverage {answer['coverage']}",
            f"hits {len(answer['hits'])}",
        )
        broken += check_search(status, answer, query)
    broken += check_record(settings, stand_ins)
    return broken


def check_search(
    status: int, answer: dict[str, Any], query: dict[str, Any]
) -> list[str]:
    """Returns the guarantees that the answer to a search breaks."""
    broken = []
    if status != 200 or answer["outcome"] != "complete":
        broken.append(f"search not complete: {answer}")
    snapshots = {hit["id"].split("-")[1] for hit in answer["hits"]}
    if snapshots != {str(FIRST_SNAPSHOT)}:
        broken.append(f"mixed snapshots: {snapshots}")
    shards = {hit["id"].split("-")[0] for hit in answer["hits"]}
    if answer["coverage"] != compute_coverage(shards):
        broken.append(f"false coverage: {answer['coverage']}")
    if any(hit["query"] != query for hit in answer["hits"]):
        broken.append("an answer to another request")
    return broken


def compute_coverage(shards: set[str]) -> float:
    """Returns the fraction of the total weight that the given shards hold."""
    register = make_register(SHAPE, lambda number: number + 1)
    all_shards = register["services"][0]["layouts"][0]["shards"]
    total = sum(shard["weight"] for shard in all_shards)
    return sum(s["weight"] for s in all_shards if s["name"] in shards) / total


def check_record(
    settings: list[EntrySettings], stand_ins: StandIns
) -> list[str]:
    """Sends a record and resends it; returns broken guarantees."""
    key = make_key(
        time.time_ns() // 1_000_000, secrets.randbits(RANDOM_BIT_COUNT)
    )
    body = {"caller": "crew", "service": SHAPE.service, "record": {"unit": 7}}
    for one, resend in zip(settings, ("false", "true"), strict=True):
        headers = {"Idempotency-Key": key, "Idempotency-Resend": resend}
        status, answer = send_request(
            one.callers.port, "POST", "/v1/records", body, headers
        )
        print(f"record at {one.name}: {status} {answer['outcome']}")
    runs = sum(
        upstream.record_runs.get(key, 0)
        for upstream in stand_ins.upstreams.values()
    )
    return [] if runs == 1 else [f"record ran {runs} times"]
