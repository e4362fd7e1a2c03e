"""Processor time of one sub-request on the whole path and in a bare loop.

The stand-ins run in separate processes. The time of the whole path is the
process's time without that of the caller's thread and of the bare loop's
thread, so it includes the logging thread. The time of the bare loop is that
of its own thread.
"""

from __future__ import annotations

import http.client
import json
import os
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from arbutusbridge.bench._bare import BareLoop, StockClient, make_thread_clock
from arbutusbridge.bench._processes import run_stand_ins
from arbutusbridge.bench.report import Report
from arbutusbridge.daemon.httpmessages import encode_post
from arbutusbridge.daemon.instance import EntryInstance
from arbutusbridge.daemon.logs import start_logging
from arbutusbridge.standins.demonstration import (
    make_instance_settings,
    publish,
    wait_until_ready,
)
from arbutusbridge.standins.deployment import (
    FIRST_SNAPSHOT,
    LOOPBACK,
    DeploymentShape,
    find_free_ports,
    make_register,
)

if TYPE_CHECKING:
    from arbutusbridge.settings import EntrySettings

SERVICE = "leases"
QUERY = {"text": "unit 7"}
REPLICAS = 2
CONNECTIONS = 100
MAX_CPU_RATIO = 3.0
"""Maximum processor time of the whole path over that of the bare loop."""

MICROSECONDS_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class LoadSize:
    """Amount of load that is measured.

    Attributes:
      width: Number of shards that one query is sent to.
      queries: Number of queries in one round.
      rounds: Number of rounds; the minimum of each path is reported.
      stock_requests: Number of requests of the stock client.
    """

    width: int = 230
    queries: int = 100
    rounds: int = 5
    stock_requests: int = 300


def measure(seed: int, size: LoadSize | None = None) -> Report:
    """Measures the whole path and the bare loop in alternating rounds."""
    size = size or LoadSize()
    shape = DeploymentShape(
        SERVICE, size.width, REPLICAS, ("north",), connections=CONNECTIONS
    )
    ports = find_free_ports(size.width * REPLICAS + 4)
    upstream_ports = ports[4:]
    register = make_register(shape, lambda number: upstream_ports[number])
    settings = make_instance_settings(0, ports[0], ports[1:4]).model_copy(
        update={"data_centre": "north", "log_level": "info"}
    )
    report = Report("fanout", seed)
    with (
        open(os.devnull, "w") as sink,
        run_stand_ins(register, ports[0], 0.0),
    ):
        publish(register, ports[0])
        handler = start_logging(settings.log_level, sink)
        addresses = [(LOOPBACK, port) for port in upstream_ports[::REPLICAS]]
        try:
            fill_figures(report, settings, addresses, size)
        finally:
            handler.close()
    report.at_most("ratio", MAX_CPU_RATIO)
    return report


def fill_figures(
    report: Report,
    settings: EntrySettings,
    addresses: list[tuple[str, int]],
    size: LoadSize,
) -> None:
    """Measures both paths in alternating rounds and sets the figures."""
    instance = EntryInstance.from_config(settings)
    threading.Thread(target=instance.run, daemon=True).start()
    requests = [encode_bare_request(number) for number in range(size.width)]
    bare = BareLoop(addresses, requests)
    bare.thread.start()
    wait_until_ready(settings)
    query_client = QueryClient(settings.callers.port, bare)
    query_client.make_queries(size.queries)
    bare.make_queries(size.queries)
    whole_s, bare_s = [], []
    for _ in range(size.rounds):
        whole_s.append(query_client.make_queries(size.queries))
        bare_s.append(bare.make_queries(size.queries))
    sub_requests = size.width * size.queries
    us_per_sub_request = MICROSECONDS_PER_S / sub_requests
    report.figures = {
        "width": size.width,
        "whole_path_us": round(min(whole_s) * us_per_sub_request, 2),
        "bare_loop_us": round(min(bare_s) * us_per_sub_request, 2),
        "ratio": round(min(whole_s) / min(bare_s), 3),
        "worst_round_ratio": round(
            max(w / b for w, b in zip(whole_s, bare_s, strict=True)), 3
        ),
        "extra_attempts": query_client.extra_attempts(instance, size),
        "incomplete": query_client.incomplete,
        "stock_client_us": measure_stock_client_us(
            addresses[0], size.stock_requests
        ),
    }
    bare.stop()
    instance.stop()


class QueryClient:
    """Sends queries to the instance one at a time on a kept-alive connection.

    Attributes:
      incomplete: Number of responses whose status is not 200, such as answers
        that lack a shard.
      queries: Number of queries sent.
    """

    def __init__(self, port: int, bare: BareLoop) -> None:
        self.connection = http.client.HTTPConnection(LOOPBACK, port)
        self.bare_clock = make_thread_clock(bare.thread)
        self.body = json.dumps(
            {"caller": "crew", "service": SERVICE, "query": QUERY}
        )
        self.incomplete = 0
        self.queries = 0

    def make_queries(self, count: int) -> float:
        """Sends queries and returns the instance's processor seconds."""
        before = self.read_clock()
        for _ in range(count):
            self.connection.request("POST", "/v1/search", self.body)
            response = self.connection.getresponse()
            response.read()
            self.incomplete += response.status != 200
        self.queries += count
        return self.read_clock() - before

    def read_clock(self) -> float:
        """Returns the process's processor seconds.

        The calling thread and the thread of the bare loop are excluded.
        """
        return time.process_time() - time.thread_time() - self.bare_clock()

    def extra_attempts(self, instance: EntryInstance, size: LoadSize) -> float:
        """Returns hedges and retries as a fraction of the shards queried."""
        asked = self.queries * size.width
        return round(instance.queries.tier.last_attempt_id / asked - 1, 4)


def encode_bare_request(number: int) -> bytes:
    """Returns the encoded sub-request of the bare loop for one shard."""
    fields = {
        "attempt": number + 1,
        "service": SERVICE,
        "shard": f"s{number}",
        "epoch": 1,
        "snapshot": FIRST_SNAPSHOT,
        "deadline_ms": 1000.0,
        "body": QUERY,
    }
    return encode_post("/v1/search", orjson.dumps(fields))


def measure_stock_client_us(address: tuple[str, int], count: int) -> float:
    """Returns the stock circuits.web client's time per request, in us."""
    url = f"http://{address[0]}:{address[1]}/v1/status"
    client = StockClient(url, b"")
    client.thread.start()
    seconds = client.make_requests(count)
    client.stop()
    return round(seconds / count * MICROSECONDS_PER_S, 2)
