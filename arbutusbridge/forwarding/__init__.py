"""Decisions on requests that are forwarded by route, free of sockets."""

from __future__ import annotations

from arbutusbridge.forwarding.budget import ExtraBounds
from arbutusbridge.forwarding.choice import Place
from arbutusbridge.forwarding.forwarder import Forwarder
from arbutusbridge.forwarding.messages import (
    AttemptEnd,
    Drop,
    Load,
    Merged,
    Prepare,
    Refusal,
    Refused,
    Relayed,
    Send,
    UpstreamReply,
    WakeAt,
)
from arbutusbridge.forwarding.model import (
    Announcement,
    CallerBounds,
    CallerRequest,
    Route,
    RoutingConfiguration,
    WeightedService,
)

__all__ = [
    "Announcement",
    "AttemptEnd",
    "CallerBounds",
    "CallerRequest",
    "Drop",
    "ExtraBounds",
    "Forwarder",
    "Load",
    "Merged",
    "Place",
    "Prepare",
    "Refusal",
    "Refused",
    "Relayed",
    "Route",
    "RoutingConfiguration",
    "Send",
    "UpstreamReply",
    "WakeAt",
    "WeightedService",
]
