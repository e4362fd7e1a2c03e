"""Tests of SIGHUP at the start of an instance."""

from __future__ import annotations

import subprocess
import sys

import testtools

SCRIPT = """
import atexit, runpy, signal, sys

def report():
    names = list(sys.modules)
    first = names.index("arbutusbridge.cmd.hangup")
    print(first < names.index("arbutusbridge.daemon.forwardinstance"))
    print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)

atexit.register(report)
runpy.run_module("arbutusbridge.cmd.forward", run_name="__main__")
"""
"""Runs the command without settings, which ends it after its imports."""


class HangupTest(testtools.TestCase):
    """SIGHUP before an instance has installed its handler."""

    # Guards against a start that SIGHUP ends, as its default action does until
    # the handler is installed after the long imports.
    def test_hangup_is_ignored_before_the_long_imports(self) -> None:
        run = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True
        )
        self.assertEqual(["True", "True"], run.stdout.split(), run.stderr)
