"""Test that the commands in the README run as written."""

from __future__ import annotations

import re
import shutil
import subprocess
import tempfile
from pathlib import Path

import testtools

from arbutusbridge.standins.deployment import find_free_ports

ROOT = Path(__file__).parents[2]
PORT = re.compile(r"\b1[89]\d\d\d\b")
RUN_TIMEOUT_S = 60


class ReadmeTest(testtools.TestCase):
    """Runs the first search of the README on free ports."""

    def test_first_search_runs_as_written(self) -> None:
        if shutil.which("curl") is None:
            self.skipTest("curl is not installed")
        text = (ROOT / "README.md").read_text()
        script = re.findall(r"```sh\n(.*?)```", text, re.DOTALL)[0]
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            shutil.copytree(ROOT / "examples/local", folder / "examples/local")
            (folder / ".venv").symlink_to(ROOT / ".venv")
            (folder / "script").write_text("set -em\n" + script)
            replace_ports(folder)
            done = subprocess.run(
                ["bash", "script"],
                cwd=folder,
                capture_output=True,
                timeout=RUN_TIMEOUT_S,
                text=True,
            )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
        self.assertEqual(2, done.stdout.count('"outcome":"complete"'))


def replace_ports(folder: Path) -> None:
    """Replaces each port in the files by a free one."""
    files = [path for path in folder.glob("examples/*/*")]
    files.append(folder / "script")
    texts = {path: path.read_text() for path in files}
    names = sorted(set(PORT.findall("".join(texts.values()))))
    ports = dict(zip(names, map(str, find_free_ports(len(names))), strict=True))
    for path, text in texts.items():
        path.write_text(PORT.sub(lambda match: ports[match[0]], text))
