"""Tests of the assembly of a forwarding instance."""

from __future__ import annotations

import testtools

from arbutusbridge.daemon.forwardinstance import (
    CHECK_SETTINGS,
    RELOAD,
    ForwardInstance,
)
from arbutusbridge.platform import DIALECT, WIRE
from arbutusbridge.settings.forwarding import ForwardSettings
from arbutusbridge.standins.deployment import LOOPBACK, free_ports


class InstanceTest(testtools.TestCase):
    """One instance without peers, not turned."""

    def setUp(self) -> None:
        super().setUp()
        ports = free_ports(3)
        self.given = {
            "name": "n-0",
            "data_centre": "north",
            "callers": f"{LOOPBACK}:{ports[0]}",
            "operators": f"{LOOPBACK}:{ports[1]}",
            "store": f"{LOOPBACK}:{ports[2]}",
        }
        self.settings_mtime = 1
        self.instance = ForwardInstance.from_config(
            ForwardSettings.model_validate(self.given),
            WIRE,
            DIALECT,
            self.reload,
            lambda: self.settings_mtime,
        )
        self.addCleanup(self.instance.ingress.stop_listening)

    def reload(self) -> ForwardSettings:
        """The settings as they are now."""
        return ForwardSettings.model_validate(self.given)

    def slack(self) -> float:
        """The bound on extra arrivals in force."""
        return self.instance.forwarding.forwarder.bounds.slack

    def test_change_without_a_signal_is_noticed(self) -> None:
        self.given["extras"] = {"slack": 7.0}
        self.instance.on_due([CHECK_SETTINGS])
        self.assertEqual(50.0, self.slack())
        self.settings_mtime = 2
        self.instance.on_due([CHECK_SETTINGS])
        self.assertEqual(7.0, self.slack())

    def test_status_tells_what_it_keeps_in_the_store(self) -> None:
        store = self.instance.status()["store"]
        self.assertEqual("arbutusbridge/instances/-/n-0", store["own_key"])
        self.assertEqual(0, store["own_lease"])
        self.assertIsNone(store["source"])
        self.assertTrue(store["asked_from_here"])

    def test_signal_reads_them_in_any_case(self) -> None:
        self.given["extras"] = {"slack": 7.0}
        self.instance.on_due([RELOAD])
        self.assertEqual(7.0, self.slack())
