"""Tests of the HTTP server for operators and of log levels."""

from __future__ import annotations

import http.client
import io

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.daemon.instance import EntryInstance
from arbutusbridge.daemon.logs import get_logger, log_decision, start_logging
from arbutusbridge.standins.demonstration import make_instance_settings
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports

PATHS = {"/live": 200, "/ready": 503, "/status": 200, "/metrics": 200}


class OperatorsTest(testtools.TestCase):
    """All paths for operators respond without a platform."""

    def test_every_path_by_get_and_head(self) -> None:
        settings = make_instance_settings(0, 1, find_free_ports(3))
        instance = EntryInstance.from_config(settings)
        thread, _ = instance.start()
        self.addCleanup(thread.join)
        self.addCleanup(instance.stop)
        port = settings.operators.port
        connection = http.client.HTTPConnection(LOOPBACK, port, timeout=20)
        for path, expected in {**PATHS, "/other": 404}.items():
            for method in ("GET", "HEAD", "GET"):
                connection.request(method, path)
                response = connection.getresponse()
                body = response.read()
                self.assertEqual((path, expected), (path, response.status))
                self.assertEqual(method == "HEAD", not body, path)


class LogsTest(testtools.TestCase):
    """Log lines of decisions below the level are not built."""

    def test_decision_below_the_level_is_not_built(self) -> None:
        expected = {
            ("info", "answer"): 1,
            ("warning", "answer"): 0,
            ("info", "scatter"): 0,
            ("debug", "scatter"): 1,
        }
        for (level, what), lines in expected.items():
            stream = io.StringIO()
            handler = start_logging(level, stream)
            log_decision(get_logger("test"), Decision("r", what, {"a": 1}))
            handler.close()
            handler.pop_application()
            self.assertEqual(lines, stream.getvalue().count('"a":1'), what)
