"""Tests of a complete forwarding instance."""

from __future__ import annotations

import orjson
import testtools
from prometheus_client import generate_latest

from arbutusbridge.core.messages import StoreItem
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

    # Guards against an instance that starts with the copy of a peer, or from
    # the store, and uses upstreams before it knows the evacuations.
    def test_evacuations_apply_before_upstreams(self) -> None:
        driver = self.instance.forwarding
        known_at_upstreams = []

        def announce(_announcement, _now) -> bool:
            known_at_upstreams.append(set(driver.forwarder.evacuated))
            return True

        driver.forwarder.announce = announce
        upstream = orjson.dumps(
            {
                "instance": "u1",
                "service": "records",
                "addr": "10.0.0.1:80",
                "zone": "north",
                "version": "v1",
                "slots": 1,
                "state": "ready",
                "warmup_left_ms": 0,
                "seq": 1,
            }
        )
        items = [
            StoreItem(f"{WIRE.upstreams_prefix}records/u1", upstream, 4),
            StoreItem(f"{WIRE.evacuations_prefix}north", b"any value", 3),
        ]
        self.instance.feed.apply_snapshot(items, 5, 0.0)
        self.instance.flush()
        self.assertTrue(driver.evacuations_loaded)
        self.assertEqual([{"north"}], known_at_upstreams)
        self.assertEqual(["north"], self.instance.status()["evacuated"])
        self.instance.collect_metrics()
        text = generate_latest(self.instance.metrics.registry).decode()
        self.assertIn("arbutusbridge_forward_evacuated_data_centres 1.0", text)
        removal = StoreItem(f"{WIRE.evacuations_prefix}north", None, 6)
        self.instance.feed.apply_changes([removal], 6, 0.0)
        self.instance.flush()
        self.assertEqual([], self.instance.status()["evacuated"])
