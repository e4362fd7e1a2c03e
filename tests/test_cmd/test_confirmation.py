"""Tests of publishes that wait for confirmation, on loopback."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import time
from pathlib import Path
from typing import Any

import testtools

from arbutusbridge.cmd.main import main
from arbutusbridge.daemon.instance import EntryInstance
from arbutusbridge.settings import Address
from arbutusbridge.standins.demonstration import RULES, make_instance_settings
from arbutusbridge.standins.deployment import (
    LOOPBACK,
    DeploymentShape,
    StandIns,
    find_free_ports,
    make_register,
)

CONFIRMATION_TIMEOUT_S = "30"


class ConfirmationTest(testtools.TestCase):
    """Two instances, of which the second can't reach the platform."""

    def setUp(self) -> None:
        super().setUp()
        ports = find_free_ports(10)
        shape = DeploymentShape("leases", 1, 1, ("north",))
        self.register = make_register(shape, lambda number: ports[9])
        stand_ins = StandIns(self.register, (LOOPBACK, ports[0]), 0.0)
        stand_ins.start()
        self.addCleanup(stand_ins.stop)
        seeds = [Address(ip=LOOPBACK, port=ports[3])]
        self.settings = [
            make_instance_settings(0, ports[0], ports[1:]),
            # Nothing listens at the platform address of this instance.
            make_instance_settings(1, ports[8], ports[4:]).model_copy(
                update={"peer_seeds": seeds}
            ),
        ]
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.instances = []
        for one in self.settings:
            instance = EntryInstance.from_config(one)
            instance.start()
            self.addCleanup(instance.stop)
            self.instances.append(instance)

    def write(self, name: str, data: Any) -> str:
        path = self.folder / name
        path.write_text(json.dumps(data))
        return str(path)

    def run_command(self, *words: str) -> tuple[int, str]:
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = main([*words])
        return code, out.getvalue()

    def publish(self, base: int, wait: str) -> tuple[int, str]:
        settings = self.settings[0].model_dump(mode="json")
        return self.run_command(
            "config",
            "publish",
            self.write("settings.json", settings),
            self.write("register.json", self.register),
            self.write("rules.json", RULES),
            f"--base={base}",
            f"--wait={wait}",
        )

    def test_publish_reaches_the_second_through_its_peer(self) -> None:
        self.wait_for_peers()
        code, _ = self.publish(0, CONFIRMATION_TIMEOUT_S)
        self.assertEqual(0, code)
        versions = [i.adoption.version for i in self.instances]
        self.assertEqual([1, 1], versions)
        path = self.write("s.json", self.settings[0].model_dump(mode="json"))
        code, text = self.run_command("status", path, "--all")
        self.assertEqual((0, []), (code, json.loads(text)["unconfirmed"]))
        self.instances[1].stop()
        code, text = self.publish(1, "1")
        self.assertEqual(1, code)
        missing = json.loads(text.splitlines()[-1])["unconfirmed"]
        self.assertEqual(["entry-1: version 1"], missing)

    def wait_for_peers(self) -> None:
        end = time.monotonic() + float(CONFIRMATION_TIMEOUT_S)
        while time.monotonic() < end:
            if all(i.peers.counted == 2 for i in self.instances):
                return
            time.sleep(0.05)
        self.fail("the instances did not find each other")
