"""Simulation of the core on virtual time, with fakes at its interfaces."""

from __future__ import annotations

from arbutusbridge.replay.upstream import FakeUpstream, UpstreamMode
from arbutusbridge.replay.world import FinishedRequest, VirtualInstance, World

__all__ = [
    "FinishedRequest",
    "FakeUpstream",
    "UpstreamMode",
    "VirtualInstance",
    "World",
]
