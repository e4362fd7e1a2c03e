"""Losses at upstreams, and the rate of notices about them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange, Part
    from arbutusbridge.forwarding.model import CallerRequest
    from arbutusbridge.forwarding.upstreams import Upstream

BROADCAST_BURST = 10.0
"""Number of broadcasts that may follow each other immediately."""

RESERVED_FOR_VERDICTS = 4.0
"""Number of these that only new quarantines use; an outage makes much evidence
just before them."""

BROADCASTS_PER_S = 2.0
"""Further broadcasts per second. A crash of many upstreams makes many suspects,
which the exchanges spread."""


@dataclass(slots=True)
class Loss:
    """Request whose attempt was lost at an upstream.

    Attributes:
      request: The request.
      service: Service of the attempt.
      part: Its part, which waits for the check, or None.
      exchange: State of the request, which may have been answered since.
      at: Time of the loss.
      alive_at: Time at which the upstream was certainly up, minus infinity if
        that is not known.
      refuted: Whether the upstream accepted a connection afterwards.
    """

    request: CallerRequest
    service: str
    part: Part
    exchange: Exchange
    at: float
    alive_at: float
    refuted: bool = False


@dataclass(slots=True)
class CrashCheck:
    """Losses at one start of an upstream, until it is known why.

    Attributes:
      name: Name of the start, by which instances tell crashes apart.
      upstream: The upstream.
      since: Time of the first loss that is not refuted.
      losses: Requests that were lost there lately.
      crashed: Whether it has crashed, None while that is not known.
      crashed_at: When that became known, infinite before.
    """

    name: str
    upstream: Upstream
    since: float
    losses: list[Loss] = field(default_factory=list)
    crashed: bool | None = None
    crashed_at: float = math.inf


@dataclass(slots=True)
class NoticeState:
    """What an instance has sent to its peers.

    Attributes:
      tokens: Broadcasts that may be sent at once.
      refilled_at: Time at which the tokens were counted.
      exchanged_at: Time of the last exchange.
      results: Time of the last result of each former suspect.
    """

    tokens: float = BROADCAST_BURST
    refilled_at: float = 0.0
    exchanged_at: float = 0.0
    results: dict[str, float] = field(default_factory=dict)

    def take_token(self, now: float, reserved: float) -> bool:
        """Takes a token for a broadcast, if there are more than reserved."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.tokens = min(
            BROADCAST_BURST, self.tokens + elapsed_s * BROADCASTS_PER_S
        )
        self.refilled_at = now
        if self.tokens < 1.0 + reserved:
            return False
        self.tokens -= 1.0
        return True
