"""Tests of a complete forwarding instance."""

from __future__ import annotations

import testtools
from prometheus_client import generate_latest

from arbutusbridge.daemon.forwardinstance import (
    CHECK_SETTINGS,
    RELOAD,
    ForwardInstance,
)
from arbutusbridge.forwarding.overflowstate import Outflow
from arbutusbridge.platform import DIALECT, WIRE
from arbutusbridge.settings.forwarding import ForwardSettings
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports


class ForwardInstanceTest(testtools.TestCase):
    """Settings and status of one instance without peers."""

    def setUp(self) -> None:
        super().setUp()
        ports = find_free_ports(3)
        self.fields = {
            "name": "n-0",
            "data_centre": "north",
            "callers": f"{LOOPBACK}:{ports[0]}",
            "operators": f"{LOOPBACK}:{ports[1]}",
            "store": f"{LOOPBACK}:{ports[2]}",
        }
        self.settings_mtime = 1
        self.instance = ForwardInstance.from_config(
            ForwardSettings.model_validate(self.fields),
            WIRE,
            DIALECT,
            self.reload,
            lambda: self.settings_mtime,
        )
        self.addCleanup(self.instance.ingress.stop_listening)

    def reload(self) -> ForwardSettings:
        """Returns the current settings."""
        return ForwardSettings.model_validate(self.fields)

    def slack(self) -> float:
        """Returns the retry budget slack in force."""
        return self.instance.forwarding.forwarder.bounds.slack

    def test_changed_file_is_reloaded_without_a_signal(self) -> None:
        self.fields["extras"] = {"slack": 7.0}
        self.instance.on_due([CHECK_SETTINGS])
        self.assertEqual(50.0, self.slack())
        self.settings_mtime = 2
        self.instance.on_due([CHECK_SETTINGS])
        self.assertEqual(7.0, self.slack())

    def test_status_shows_the_key_and_lease_in_the_store(self) -> None:
        store = self.instance.status()["store"]
        self.assertEqual("arbutusbridge/instances/-/n-0", store["own_key"])
        self.assertEqual(0, store["own_lease"])
        self.assertIsNone(store["source"])
        self.assertTrue(store["asked_from_here"])

    def test_signal_reloads_settings_without_a_change_of_time(self) -> None:
        self.fields["extras"] = {"slack": 7.0}
        self.instance.on_due([RELOAD])
        self.assertEqual(7.0, self.slack())

    # Guards against a setting that needs a restart of all instances.
    def test_overflow_is_switched_by_a_changed_file(self) -> None:
        overflow = self.instance.forwarding.forwarder.overflow
        self.assertFalse(overflow.is_on)
        self.fields["overflow"] = {"max_fraction": 0.5}
        self.instance.on_due([RELOAD])
        self.assertEqual(0.5, overflow.max_fraction)
        overflow.observe("north", 1.0, 0.0, 1.0)
        overflow.outflows["north", "search"] = Outflow("north", 0.1)
        self.instance.collect_metrics()
        text = generate_latest(self.instance.metrics.registry).decode()
        name = "arbutusbridge_forward_overflow_fraction"
        self.assertIn(f'{name}{{data_centre="north"}} 0.0', text)
        del self.fields["overflow"]
        self.instance.on_due([RELOAD])
        self.assertFalse(overflow.is_on)
        self.assertEqual({}, overflow.outflows)

    # Guards against a metric of a value that its owner no longer has, which
    # makes every scrape of the metrics fail.
    def test_metrics_can_be_read(self) -> None:
        self.instance.collect_metrics()
        text = generate_latest(self.instance.metrics.registry).decode()
        self.assertIn("arbutusbridge_forward_response_age_seconds", text)
