"""State of one request from its arrival to its final answer."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.forwarding.accounts import find_urgency
from arbutusbridge.forwarding.messages import AttemptEnd

if TYPE_CHECKING:
    from arbutusbridge.forwarding.gather import GatherRequest, Peer
    from arbutusbridge.forwarding.messages import UpstreamReply
    from arbutusbridge.forwarding.model import Account, CallerRequest, Route
    from arbutusbridge.forwarding.upstreams import OpenAttempt, Upstream

ANSWER_MARGIN_S = 0.009
"""Time before the target at which an answer is sent, in addition to its network
delay. It covers a late timer and other requests that are served at the same
time."""

MERGE_TIME_PER_PART_S = 0.00006
"""Time that each further shard adds to merging an answer, on the slowest
machines with half a core."""

SHARD_DEADLINE_FACTOR = 1.5
"""Multiple of a route's target time after which the reply of a shard is no
longer awaited."""

DEADLINE_MARGIN_S = 0.03
"""Time before a deadline at which the final answer is sent."""


@dataclass(slots=True, eq=False)
class Part:
    """One shard of a request, or the whole request if it is not sharded.

    Attributes:
      service: Service that runs it.
      open_attempts: Open attempts, oldest first.
      asked: Upstreams that were sent an attempt.
      asked_by_peers: Number of upstreams that peers may have tried and that are
        not known here.
      sends: Number of attempts so far.
      arrivals: Number of attempts that may have reached an upstream.
      may_have_run: Whether an attempt that ended may have run.
      reply: Successful reply, None until there is one.
      failure: Last unsuccessful reply.
      given_up: Whether no further attempts are made.
      check_at: When to check whether the part needs another attempt.
      group: Group delegated to a peer that the part belongs to, None if the
        part is sent from here.
      held_back: Whether it waits for the result of a canary.
      losses: Number of attempts that lost their connections.
      crash_check_until: Time until which a retry waits for the check whether
        an upstream has crashed.
      counted: Whether it was counted as a request for its service.
      limited: Whether the rate limits of its upstreams keep it from being sent.
      relays: Number of peers that it was relayed to and that did not decline.
      relayed_to: Names of all peers that it was relayed to.
      not_arrived: Whether no attempt is taken to have reached an upstream, as
        this instance was cut off before, or as homes or an evacuation allow
        none. It decides whether the part is sent again.
      is_unsure: Whether that is a guess, which no answer may rely on.
    """

    service: str
    open_attempts: list[OpenAttempt] = field(default_factory=list)
    asked: list[Upstream] = field(default_factory=list)
    asked_by_peers: int = 0
    sends: int = 0
    arrivals: int = 0
    may_have_run: bool = False
    reply: UpstreamReply | None = None
    failure: UpstreamReply | None = None
    given_up: bool = False
    check_at: float = math.inf
    group: DelegatedGroup | None = None
    held_back: bool = False
    losses: int = 0
    crash_check_until: float = -math.inf
    counted: bool = False
    limited: bool = False
    relays: int = 0
    relayed_to: set[str] = field(default_factory=set)
    not_arrived: bool = False
    is_unsure: bool = False

    @property
    def pending(self) -> bool:
        """Whether the part may still get a successful reply."""
        return self.reply is None and not self.given_up


@dataclass(slots=True, eq=False)
class Exchange:
    """State of one request.

    Attributes:
      request: Request of the caller.
      route: Route at the time of its arrival.
      version: Version of the configuration that the route comes from.
      parts: Its shards, or a single part if it is not sharded.
      partial_answer_at: When an answer that covers enough shards is sent even
        if others are missing.
      give_up_at: When the final answer is sent in any case.
      timer_at: Time of the next timer.
      hedges: Attempts made because another one was overdue.
      retries: Attempts made because another one failed.
      diverted: Parts that were not sent to the best upstream because of its
        rate limit.
      relayed: Whether its parts go to peers, as this instance is cut off.
      peer_retry_after_s: When a peer has told to retry, None if it has not.
      finished: Whether the final answer was sent.
      peer_request: Message of the peer that delegated the request, None for the
        request of a caller.
      groups: Groups of shards delegated to peers.
      peer_bodies: Merged records that peers returned, by the id of the group.
      next_update_at: When a further reply is sent to the peer that delegated
        the request; infinite if none is.
      updated_with: Number of shards in the last reply to that peer.
      is_cleared: Whether a peer has told that another shard has a result.
      second_upstream_at: When a second upstream of a shard may be tried.
      canary_count: Number of shards to query before the others, 0 for none.
      next_canary_at: When another canary is sent, as those so far have no
        result.
      canary_backoff: Multiple of the usual wait for the next canary.
      canary_group: Shards of the helper that sends the first canary, None if
        it is sent from here.
      backup_reply_s: Typical reply time of the upstreams that hedges go to, in
        seconds; None before it is first needed.
      account: Client account of the caller, None without one.
      homes: Regions that may run the request, None for all.
      destinations: Data centre that its work was sent to, by the one that it
        goes to without overflow.
      has_token: Whether it counts towards the quota of its account.
    """

    request: CallerRequest
    route: Route
    version: int
    parts: list[Part]
    partial_answer_at: float
    give_up_at: float
    timer_at: float = math.inf
    hedges: int = 0
    retries: int = 0
    diverted: int = 0
    relayed: bool = False
    peer_retry_after_s: float | None = None
    finished: bool = False
    peer_request: GatherRequest | None = None
    groups: list[DelegatedGroup] = field(default_factory=list)
    peer_bodies: dict[int, bytes] = field(default_factory=dict)
    next_update_at: float = math.inf
    updated_with: int = 0
    is_cleared: bool = False
    second_upstream_at: float = -math.inf
    canary_count: int = 0
    next_canary_at: float = math.inf
    canary_backoff: float = 1.0
    canary_group: DelegatedGroup | None = None
    backup_reply_s: float | None = None
    account: Account | None = None
    homes: frozenset[str] | None = None
    destinations: dict[str, str] = field(default_factory=dict)
    has_token: bool = False

    @property
    def urgency(self) -> int:
        """Rank of the request; that of its account precedes the route's."""
        return find_urgency(self.route, self.account)

    @classmethod
    def begin(
        cls,
        request: CallerRequest,
        route: Route,
        version: int,
        services: tuple[str, ...],
        own_delay_s: float = 0.0,
    ) -> Exchange:
        """Creates the state of a request that has just arrived.

        Args:
          request: Request of the caller.
          route: Route of the request.
          version: Version of the configuration that the route comes from.
          services: Its shards, or the one service that runs it.
          own_delay_s: Delay that this instance adds because it is busy.
        """
        margin_s = request.network_delay_s + ANSWER_MARGIN_S + own_delay_s
        margin_s += MERGE_TIME_PER_PART_S * (len(services) - 1)
        arrived = request.arrived
        latest_answer_at = min(arrived + route.timeout_s, request.deadline)
        latest_answer_at -= request.network_delay_s
        return cls(
            request,
            route,
            version,
            [Part(service) for service in services],
            arrived + route.target_s - margin_s,
            max(latest_answer_at - DEADLINE_MARGIN_S, arrived),
        )

    def attempt_deadline(self, now: float) -> float:
        """Returns when the reply to an attempt stops being useful.

        A shard that is late is left out of the answer, and cancelling its
        attempt relieves the upstream. A request that is still open after the
        target time lacks shards for a sufficient answer, so that every further
        reply counts.
        """
        if not self.route.shards or now >= self.partial_answer_at:
            return self.give_up_at
        wanted = (
            self.request.arrived + SHARD_DEADLINE_FACTOR * self.route.target_s
        )
        return min(wanted, self.give_up_at)

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request or may still run it."""
        return any(not group.not_run for group in self.groups) or any(
            part.may_have_run or part.is_unsure or part.open_attempts
            for part in self.parts
        )

    @property
    def answered(self) -> int:
        """Number of parts with a successful reply."""
        return sum(part.reply is not None for part in self.parts)

    @property
    def has_result(self) -> bool:
        """Whether an upstream ran the request to its end."""
        return self.is_cleared or any(
            part.reply is not None
            or (
                part.failure is not None
                and part.failure.end is AttemptEnd.FAILED
            )
            for part in self.parts
        )

    @property
    def awaits_canary(self) -> bool:
        """Whether shards are held back until a canary has a result."""
        return any(part.held_back for part in self.parts) and (
            not self.has_result
        )

    @property
    def pending_parts(self) -> list[Part]:
        """Parts that may still get a successful reply."""
        return [part for part in self.parts if part.pending]

    @property
    def attainable(self) -> int:
        """Number of parts that have or may still get a successful reply."""
        return sum(not part.given_up for part in self.parts)

    def is_sufficient(self, parts: int) -> bool:
        """Returns whether a number of parts is sufficient for an answer."""
        min_parts = self.route.least_coverage * len(self.parts)
        # The tolerance keeps a rounding error from requiring one more shard
        # than the route does.
        return parts > 0 and parts >= min_parts - 1e-9


@dataclass(slots=True, eq=False)
class DelegatedGroup:
    """Shards of a request that are delegated to a peer.

    Attributes:
      gather_id: Id of the request to the peer.
      exchange: Request that the shards belong to.
      peer: Peer that queries the shards.
      parts: The shards.
      sent_at: When the message was sent.
      check_at: When to give up the peer.
      acknowledged: Whether the peer has accepted the message.
      given_up: Whether the shards are queried from here instead.
      superseded: Whether other peers query the shards instead, so that the
        reply must be ignored.
      replied_at: When the reply arrived, infinite until then.
      not_run: Whether the peer has stated that nothing was run.
      covered: Number of shards in the last reply.
    """

    gather_id: int
    exchange: Exchange
    peer: Peer
    parts: list[Part]
    sent_at: float
    check_at: float
    acknowledged: bool = False
    given_up: bool = False
    superseded: bool = False
    replied_at: float = math.inf
    not_run: bool = False
    covered: int = 0

    def describe(self) -> dict[str, object]:
        """Returns the fields that describe the group in log lines."""
        elapsed_s = self.replied_at - self.sent_at
        return {
            "peer": self.peer.name,
            "parts": len(self.parts),
            "acknowledged": self.acknowledged,
            "ms": None if math.isinf(elapsed_s) else round(elapsed_s * 1000, 1),
        }
