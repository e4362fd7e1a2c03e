"""Test of an instance, the platform and upstreams as separate processes."""

from __future__ import annotations

import contextlib
import http.client
import json
import secrets
import signal
import subprocess
import tempfile
import threading
import time
from typing import Any

import testtools

from arbutusbridge.bench._processes import run_command, run_stand_ins
from arbutusbridge.core.keys import RANDOM_BIT_COUNT, make_key
from arbutusbridge.standins.demonstration import (
    SHAPE,
    make_instance_settings,
    publish,
    send_request,
    wait_until_ready,
)
from arbutusbridge.standins.deployment import (
    LOOPBACK,
    find_free_ports,
    make_register,
)

SERVICE_TIME_MS = 40.0
BALANCER_LAG_S = 1.5
EXIT_TIMEOUT_S = 60.0
BODY = {"caller": "crew", "service": SHAPE.service}


class Load:
    """Callers behind a load balancer, which sends until it notices the stop."""

    def __init__(self, callers_port: int, operators_port: int) -> None:
        self.ports = callers_port, operators_port
        self.statuses: list[Any] = []
        self.threads = [threading.Thread(target=self.call) for _ in range(4)]
        self.noticed = threading.Event()

    def call(self) -> None:
        """Sends searches on keep-alive connections until the balancer stops."""
        while not self.noticed.is_set():
            connection = http.client.HTTPConnection(LOOPBACK, self.ports[0])
            with contextlib.closing(connection):
                self.call_until_closed(connection)

    def call_until_closed(self, connection: http.client.HTTPConnection) -> None:
        """Sends searches until a response closes the connection."""
        body = json.dumps({**BODY, "query": {}})
        while not self.noticed.is_set():
            try:
                connection.request("POST", "/v1/search", body)
                response = connection.getresponse()
                response.read()
                self.statuses.append(response.status)
            except (OSError, http.client.HTTPException) as err:
                self.statuses.append(err)
                return
            if response.getheader("Connection") == "close":
                return


class ProcessesTest(testtools.TestCase):
    """A planned stop under load answers every request.

    Guards against requests that are cut off because the instance stops
    listening before the load balancer has noticed.
    """

    def test_served_then_stopped_under_load(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.serve_and_stop(number)

    def serve_and_stop(self, number: int) -> None:
        ports = find_free_ports(20)
        register = make_register(SHAPE, lambda number: ports[4 + number])
        settings = make_instance_settings(0, ports[0], ports[1:4]).model_copy(
            update={"balancer_lag_seconds": BALANCER_LAG_S}
        )
        with (
            tempfile.NamedTemporaryFile("w", suffix=".json") as file,
            run_stand_ins(register, ports[0], SERVICE_TIME_MS),
            contextlib.ExitStack() as stack,
        ):
            file.write(settings.model_dump_json())
            file.flush()
            process = stack.enter_context(run_command("serve", file.name))
            publish(register, ports[0])
            wait_until_ready(settings)
            self.check_answers(settings.callers.port)
            load = Load(settings.callers.port, settings.operators.port)
            self.stop_under_load(load, process, number)

    def check_answers(self, port: int) -> None:
        """Checks one search and one record over HTTP."""
        body: dict[str, Any] = {**BODY, "query": {"text": "x"}}
        status, answer = send_request(port, "POST", "/v1/search", body)
        self.assertEqual((200, 1.0), (status, answer["coverage"]))
        body = {**BODY, "record": {"unit": 7}}
        now_ms = time.time_ns() // 1_000_000
        key = make_key(now_ms, secrets.randbits(RANDOM_BIT_COUNT))
        headers = {"Idempotency-Key": key}
        status, answer = send_request(
            port, "POST", "/v1/records", body, headers
        )
        self.assertEqual((200, "yes"), (status, answer["ran"]))

    def stop_under_load(
        self, load: Load, process: subprocess.Popen[bytes], number: int
    ) -> None:
        """Stops the instance; the balancer notices before its lag ends."""
        for thread in load.threads:
            thread.start()
        while len(load.statuses) < 20:
            self.assertIs(None, process.poll())
        process.send_signal(number)
        before = len(load.statuses)
        while send_request(load.ports[1], "GET", "/ready")[0] != 503:
            pass
        threading.Timer(BALANCER_LAG_S * 0.6, load.noticed.set).start()
        self.assertEqual(0, process.wait(EXIT_TIMEOUT_S))
        for thread in load.threads:
            thread.join()
        self.assertEqual({200}, set(load.statuses))
        self.assertGreater(len(load.statuses), before)
