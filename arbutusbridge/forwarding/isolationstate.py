"""What one instance knows of its own links to the upstreams."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.forwarding.model import Announcement
    from arbutusbridge.forwarding.upstreams import OpenAttempt


@dataclass(slots=True)
class IsolationState:
    """What an instance knows of its links to the upstreams.

    Attributes:
      responded_at: When any upstream last responded.
      failed: Upstreams that have failed since then.
      isolated: Whether this instance is taken to be cut off.
      suspected_at: When it was first suspected to be, infinite if it is not.
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
    deferred: list[Announcement] = field(default_factory=list)
    ended_at: float = -math.inf
    probed_at: float = -math.inf
    announced_at: float = -math.inf
    connected: set[str] = field(default_factory=set)
    dead_services: dict[str, float] = field(default_factory=dict)

    def record_response(self, now: float) -> None:
        """Records that an upstream responded."""
        self.responded_at = now
        self.clear_failures()

    def clear_failures(self) -> None:
        """Drops the failures, as a link works."""
        self.failed.clear()
        self.suspected_at = math.inf

    def record_failure(self, attempt: OpenAttempt) -> None:
        """Records that an attempt has failed, or that its reply is overdue.

        One that was sent before the last response says nothing: its upstream
        may be slow.
        """
        if attempt.sent_at >= self.responded_at:
            self.failed.add(attempt.upstream.name)
