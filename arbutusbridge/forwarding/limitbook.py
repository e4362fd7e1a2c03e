"""State of one instance concerning the rate limits of upstreams."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.forwarding.ranking import PeerSilence

if TYPE_CHECKING:
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.upstreams import Upstream


@dataclass(slots=True)
class ReportedDemand:
    """Demand of one instance for one limited upstream.

    Attributes:
      reply_to: Address of the instance, None for this one.
      rate: Its requests per second.
      at: When that was reported.
    """

    reply_to: tuple[str, int] | None
    rate: float
    at: float


@dataclass(slots=True)
class LimitBook:
    """State of this instance concerning the limits of upstreams.

    Attributes:
      limited: Upstreams with a limit, or with one that ended recently, by name.
      ended_at: When the limit of an upstream ended, by its name.
      report_due: Whether a limit has begun or ended since the last report.
      reported_at: Time of the last report.
      reported: Time of the last report on each upstream, by its name.
      silence: Allocators that do not answer reports.
      demands: Reported demand, by upstream and instance, of the upstreams that
        this instance allocates.
      grants_due: Whether an instance has reported demand for the first time.
      spread: Upstreams whose limit all peers have been told of.
      granted_at: Time of the last grants.
      cold: Upstreams that were announced as cold, by name.
      cold_grants: Recent grants of this instance for cold upstreams, by
        upstream and instance, each with its time.
      fallbacks: Share without a grant of each cold upstream, with the peers
        for which it was computed.
      members: Peers at the last check.
      departed: Peers that have left the list since, each with the time.
      return_times: Latest time at which a refused request was told to come
        back, by service.
    """

    limited: dict[str, Upstream] = field(default_factory=dict)
    report_due: bool = False
    ended_at: dict[str, float] = field(default_factory=dict)
    reported_at: float = -math.inf
    reported: dict[str, float] = field(default_factory=dict)
    silence: PeerSilence = field(default_factory=PeerSilence)
    demands: dict[str, dict[str, ReportedDemand]] = field(default_factory=dict)
    grants_due: bool = False
    granted_at: float = -math.inf
    spread: set[str] = field(default_factory=set)
    cold: dict[str, Upstream] = field(default_factory=dict)
    cold_grants: dict[str, dict[str, list[tuple[float, float]]]] = field(
        default_factory=dict
    )
    fallbacks: dict[str, tuple[dict[str, Peer], float]] = field(
        default_factory=dict
    )
    members: dict[str, Peer] = field(default_factory=dict)
    departed: dict[str, tuple[Peer, float]] = field(default_factory=dict)
    return_times: dict[str, float] = field(default_factory=dict)
