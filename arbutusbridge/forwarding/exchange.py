"""State of one caller's request from its arrival to its final answer."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.forwarding.gather import GatherRequest, Peer
    from arbutusbridge.forwarding.messages import UpstreamReply
    from arbutusbridge.forwarding.model import CallerRequest, Route
    from arbutusbridge.forwarding.upstreams import OpenAttempt, Upstream

ANSWER_MARGIN_S = 0.009
"""Time before the target at which an answer goes out, besides its way; it
covers a late timer and other requests that are served just then."""

MERGE_TIME_PER_PART_S = 0.00006
"""Time that one more shard adds to the making of an answer on the slowest
machines, half a core."""

SHARD_DEADLINE_FACTOR = 1.5
"""Multiple of a route's target after which a shard's reply is not awaited."""

DEADLINE_MARGIN_S = 0.03
"""Time before a deadline at which the final answer goes out."""


@dataclass(slots=True, eq=False)
class Part:
    """One shard of a request, or the whole of it.

    Attributes:
      service: The service that runs it.
      open: Attempts that are waited for, the oldest first.
      asked: Upstreams that it was sent to.
      asked_elsewhere: Upstreams that a peer may have sent it to, unknown here.
      sends: Attempts so far.
      arrivals: Attempts that may have reached an upstream.
      may_have_run: Whether some attempt that ended may have run.
      reply: The success, None until then.
      failure: The last reply that was none.
      given_up: Whether nothing more is tried.
      look_at: When to see whether it needs another attempt.
      group: The group in which a peer asks it, None if it is asked from here.
    """

    service: str
    open: list[OpenAttempt] = field(default_factory=list)
    asked: list[Upstream] = field(default_factory=list)
    asked_elsewhere: int = 0
    sends: int = 0
    arrivals: int = 0
    may_have_run: bool = False
    reply: UpstreamReply | None = None
    failure: UpstreamReply | None = None
    given_up: bool = False
    look_at: float = math.inf
    group: DelegatedGroup | None = None

    @property
    def pending(self) -> bool:
        """Whether it may still get a success."""
        return self.reply is None and not self.given_up


@dataclass(slots=True, eq=False)
class Exchange:
    """One request on its way.

    Attributes:
      request: The caller's request.
      route: Its route when it arrived.
      version: Version of the configuration that the route is of.
      parts: Its shards, or one part for the whole.
      answer_by: When an answer that covers enough goes out as it is.
      give_up_at: When it gets its final answer whatever there is.
      wake_at: Time of the next timer that is set.
      hedges: Attempts made because another was overdue.
      retries: Attempts made because another failed.
      finished: Whether the final answer went out.
      gather: The peer's message that it comes from, None for a caller's.
      groups: Shards that peers ask.
      gathered: Merged records that came from peers.
      second_from: When a second upstream of a shard may be asked.
    """

    request: CallerRequest
    route: Route
    version: int
    parts: list[Part]
    answer_by: float
    give_up_at: float
    wake_at: float = math.inf
    hedges: int = 0
    retries: int = 0
    finished: bool = False
    gather: GatherRequest | None = None
    groups: list[DelegatedGroup] = field(default_factory=list)
    gathered: list[bytes] = field(default_factory=list)
    second_from: float = -math.inf

    @classmethod
    def begin(
        cls,
        request: CallerRequest,
        route: Route,
        version: int,
        services: tuple[str, ...],
        own_delay_s: float = 0.0,
    ) -> Exchange:
        """Builds the state of a request that has just arrived.

        Args:
          request: The caller's request.
          route: Its route.
          version: Version of the configuration that the route is of.
          services: Its shards, or the one service that runs it.
          own_delay_s: Time that this instance adds by being busy.
        """
        margin = request.way_s + ANSWER_MARGIN_S + own_delay_s
        margin += MERGE_TIME_PER_PART_S * (len(services) - 1)
        arrived = request.arrived
        limit = min(arrived + route.timeout_s, request.deadline)
        limit -= request.way_s
        return cls(
            request,
            route,
            version,
            [Part(service) for service in services],
            arrived + route.target_s - margin,
            max(limit - DEADLINE_MARGIN_S, arrived),
        )

    def attempt_deadline(self, now: float) -> float:
        """Returns when the reply to an attempt stops being of use.

        A shard that is late for the answer is left out of it, and its
        upstream is better off without the work. Once the target has passed,
        too few shards have replied, and every reply counts.
        """
        if not self.route.shards or now >= self.answer_by:
            return self.give_up_at
        wanted = (
            self.request.arrived + SHARD_DEADLINE_FACTOR * self.route.target_s
        )
        return min(wanted, self.give_up_at)

    @property
    def may_have_run(self) -> bool:
        """Whether some upstream may have run it, or may run it yet."""
        return bool(self.groups) or any(
            part.may_have_run or part.open for part in self.parts
        )

    @property
    def answered(self) -> int:
        """Parts with a success."""
        return sum(part.reply is not None for part in self.parts)

    @property
    def attainable(self) -> int:
        """Parts that have or may still get a success."""
        return sum(not part.given_up for part in self.parts)

    def covers(self, parts: int) -> bool:
        """Tells whether so many parts are enough for an answer."""
        least = self.route.least_coverage * len(self.parts)
        # Rounding must not ask for one shard more than the route does.
        return parts > 0 and parts >= least - 1e-9


@dataclass(slots=True, eq=False)
class DelegatedGroup:
    """Shards of a request that a peer asks.

    Attributes:
      gather_id: Names the message.
      exchange: The request.
      peer: Who asks them.
      parts: The shards.
      sent_at: When the message was sent.
      look_at: When to give the peer up.
      acknowledged: Whether the peer has taken the request.
      given_up: Whether the shards are asked directly meanwhile.
      superseded: Whether other peers ask them meanwhile, so that its reply
        must not count beside theirs.
      replied_at: When the reply came, infinite until then.
    """

    gather_id: int
    exchange: Exchange
    peer: Peer
    parts: list[Part]
    sent_at: float
    look_at: float
    acknowledged: bool = False
    given_up: bool = False
    superseded: bool = False
    replied_at: float = math.inf

    def describe(self) -> dict[str, object]:
        """Returns what the log says of it."""
        took = self.replied_at - self.sent_at
        return {
            "peer": self.peer.name,
            "parts": len(self.parts),
            "acknowledged": self.acknowledged,
            "ms": None if math.isinf(took) else round(took * 1000, 1),
        }
