"""Forwarding of requests by route, without any I/O."""

from __future__ import annotations

from arbutusbridge.forwarding.budget import RetryBudgetLimits
from arbutusbridge.forwarding.choice import Locality
from arbutusbridge.forwarding.forwarder import Forwarder
from arbutusbridge.forwarding.messages import (
    AttemptEnd,
    CheckUpstream,
    DropAttempt,
    Load,
    MergedAnswer,
    PrepareConnection,
    ProbeUpstream,
    Refusal,
    RefusedAnswer,
    RelayedAnswer,
    SendAttempt,
    SetRequestTimer,
    UpstreamReply,
    WithdrawAttempt,
)
from arbutusbridge.forwarding.model import (
    Announcement,
    CallerRequest,
    RequestLimits,
    Route,
    RoutingConfiguration,
    WeightedService,
)

__all__ = [
    "Announcement",
    "AttemptEnd",
    "CallerRequest",
    "CheckUpstream",
    "DropAttempt",
    "Forwarder",
    "Load",
    "Locality",
    "MergedAnswer",
    "PrepareConnection",
    "ProbeUpstream",
    "Refusal",
    "RefusedAnswer",
    "RelayedAnswer",
    "RequestLimits",
    "RetryBudgetLimits",
    "Route",
    "RoutingConfiguration",
    "SendAttempt",
    "SetRequestTimer",
    "UpstreamReply",
    "WeightedService",
    "WithdrawAttempt",
]
