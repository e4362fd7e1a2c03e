"""What one instance knows of its own links to the upstreams."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.forwarding.model import Announcement
    from arbutusbridge.forwarding.upstreams import OpenAttempt


TRUST_S = 2.0
"""Time for which a new connection speaks for the links of this instance. It
limits the probes while many upstreams are down."""


@dataclass(slots=True)
class IsolationState:
    """What an instance knows of its links to the upstreams.

    Attributes:
      responded_at: When any upstream last responded.
      failed: Upstreams that have failed since then.
      isolated: Whether this instance is taken to be cut off.
      suspected_at: When it was first suspected to be, infinite if it is not.
      is_doubted: Whether new connections may not reach any upstream, whatever
        existing ones carry.
      trusted_until: Time until which a new connection that has stayed open
        speaks against that.
      deferred: Upstreams that refused a connection since then.
      ended_at: When it last stopped to be.
      probed_at: When it last tried to connect to upstreams.
      announced_at: When peers were last told that it is.
      connected: Upstreams that it has connected to since it was cut off.
      dead_services: Services that no peer could serve either, each with the
        time until which they are not relayed.
    """

    responded_at: float
    failed: set[str] = field(default_factory=set)
    isolated: bool = False
    suspected_at: float = math.inf
    is_doubted: bool = False
    trusted_until: float = -math.inf
    deferred: list[Announcement] = field(default_factory=list)
    ended_at: float = -math.inf
    probed_at: float = -math.inf
    announced_at: float = -math.inf
    connected: set[str] = field(default_factory=set)
    dead_services: dict[str, float] = field(default_factory=dict)

    def record_response(self, now: float) -> None:
        """Records that an upstream responded.

        The response may have come on a connection that has outlived a cut.
        """
        self.responded_at = now
        self.failed.clear()
        if not self.is_doubted:
            self.suspected_at = math.inf

    def record_connection(self, now: float) -> None:
        """Records that a new connection to an upstream has stayed open."""
        self.failed.clear()
        self.suspected_at = math.inf
        self.is_doubted = False
        self.trusted_until = now + TRUST_S

    def record_failure(self, attempt: OpenAttempt) -> None:
        """Records that an attempt has failed, or that its reply is overdue.

        One that was sent before the last response says nothing: its upstream
        may be slow.
        """
        if attempt.sent_at >= self.responded_at:
            self.failed.add(attempt.upstream.name)
