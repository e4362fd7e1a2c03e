"""Messages and peers for the delegation of shards to other instances.

If the shards of a request are held in another region, one message to an
instance there replaces a subrequest per shard over the long link. That instance
queries the shards itself, and returns the signatures of their replies with the
merged greatest records.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

# Needed at run time, since messages are validated by these annotations.
from arbutusbridge.forwarding.messages import Headers

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from arbutusbridge.forwarding.limitmessages import DemandNotice, ShareNotice
    from arbutusbridge.forwarding.quarantinemessages import QuarantineNotice
    from arbutusbridge.forwarding.quotamessages import QuotaMessage


UPDATES_PROTOCOL = 0x16
"""Protocol of messages from which on an instance sends updates after its first
reply, and the first of them as soon as it has a result."""

CONFIRMATIONS_PROTOCOL = 0x17
"""Protocol from which on an instance understands that its acknowledgement has
arrived in time."""

ACCOUNTS_PROTOCOL = 0x17
"""Protocol from which on an instance respects client accounts and homes. One of
an earlier protocol would ignore these fields of a request."""

TERMS_PROTOCOL = 0x18
"""Protocol from which on an instance respects the terms of a request's route
where those of its own configuration differ."""

CLAIMS_PROTOCOL = 0x18
"""Protocol from which on an instance hands the quotas of accounts over."""

MIN_GROUP_SHARDS = 3
"""Minimum number of shards in another region for which one message is cheaper
than a subrequest each."""

INITIAL_ACK_TIMEOUT_S = 0.06
"""Timeout for the first acknowledgement of a peer; regions are 8 to 12 ms apart
one way."""

ACK_TIMEOUT_FACTOR = 2.0
"""Multiple of the typical acknowledgement time after which, together with
ACK_TIMEOUT_SLACK_S, the shards are queried directly."""

ACK_TIMEOUT_SLACK_S = 0.015
"""Time added to ACK_TIMEOUT_FACTOR times the typical acknowledgement time."""

ACK_SMOOTHING_WEIGHT = 0.2
"""Weight of a new acknowledgement time in the smoothed one."""

PEER_EXCLUSION_S = 3.0
"""Time for which a peer that did not acknowledge is excluded; it doubles with
each further timeout in a row."""

MAX_PEER_EXCLUSION_S = 24.0
"""Maximum time for which a peer that did not acknowledge is excluded."""

ISOLATION_TTL_S = 6.0
"""Time for which a peer is taken to be cut off after it said so; it repeats the
notice more often, and says when it no longer is."""

ISOLATED_EXCLUSION_S = 1.0
"""Time for which a peer is excluded that declined because it is cut off; its
notice may have been lost."""

BUSY_EXCLUSION_S = 0.2
"""Time for which a peer is excluded that declined because it is busy."""

STOPPING_EXCLUSION_S = 10.0
"""Time for which a peer that is stopping is excluded; its key in the store is
removed within that time."""

OUTDATED_EXCLUSION_S = 0.5
"""Time for which a peer that does not know the shards yet is excluded; a new
configuration takes effect everywhere within seconds."""

SIMILAR_COUNT_RATIO = 0.8
"""Fraction of the highest number of shards held in one data centre for which
another data centre counts as equal."""


@dataclass(slots=True)
class GatherRequest:
    """Request to query shards, or one service, for another instance.

    Attributes:
      gather_id: Id that is unique at the sender.
      reply_to: Address at which the sender accepts messages.
      request_id: Id of the caller's request.
      method: HTTP method.
      target: Path and query.
      host: Host that the caller named.
      headers: Headers to pass on.
      body: Complete body.
      services: Shards to query, or the service of a route without shards.
      answer_in_s: Time after which a reply that covers enough shards is sent.
      give_up_in_s: Time after which the reply is sent in any case.
      asked_already: Number of upstreams of each shard that may have been tried
        before.
      alone_s: Time in which the sender may still turn to another peer; until
        then only one upstream of each shard may be tried.
      canary_count: Number of shards to query before the others, 0 for none.
      relayed: Whether the sender is cut off from the upstreams, so that the
        message stands for a request that it would have sent itself.
      accepts_updates: Whether the sender accepts replies that lack shards and
        are followed by others.
      reports_first: Whether to send the first of them as soon as a shard has
        replied, because other shards wait for it.
      account: Name of the caller's account, empty for none.
      homes: Regions that may run the request, empty for all.
      idempotent: Whether an upstream may run the request more than once; None
        if the sender does not state the terms of its route.
      most_upstreams: Maximum number of upstreams of each shard, or of the
        request.
      max_records: Maximum number of records in the answer, None for a request
        without shards.
    """

    gather_id: int
    reply_to: tuple[str, int]
    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    services: list[str]
    answer_in_s: float
    give_up_in_s: float
    asked_already: int = 0
    alone_s: float = 0.0
    canary_count: int = 0
    relayed: bool = False
    accepts_updates: bool = False
    reports_first: bool = False
    account: str = ""
    homes: list[str] = field(default_factory=list)
    idempotent: bool | None = None
    most_upstreams: int | None = None
    max_records: int | None = None


class DeclineReason(enum.Enum):
    """Reason why an instance does not query shards for another one.

    STOPPING, OUTDATED (its configuration does not contain the shards, or has a
    route without shards for the request), ISOLATED (it is cut off from the
    upstreams) or BUSY.
    """

    STOPPING = "stopping"
    OUTDATED = "outdated"
    ISOLATED = "isolated"
    BUSY = "busy"


DECLINE_EXCLUSIONS_S = {
    DeclineReason.STOPPING: STOPPING_EXCLUSION_S,
    DeclineReason.OUTDATED: OUTDATED_EXCLUSION_S,
    DeclineReason.ISOLATED: ISOLATED_EXCLUSION_S,
    DeclineReason.BUSY: BUSY_EXCLUSION_S,
}
"""Time for which a peer is excluded after it declined, by reason."""


@dataclass(slots=True)
class GatherAck:
    """Acknowledgement or rejection of a request to query shards.

    Attributes:
      gather_id: Id of the request.
      declined: Why another instance has to query the shards, None if the peer
        does.
      lag_ms: Smoothed lag of the peer's timers; 0 also if it does not tell,
        because overflow is off there.
      occupancy: Requests per slot of the upstreams in its data centre, None if
        it is not known.
    """

    gather_id: int
    declined: DeclineReason | None = None
    lag_ms: int = 0
    occupancy: float | None = None


@dataclass(slots=True)
class RelayedResponse:
    """Response of an upstream as an instance passes it to another one.

    Attributes:
      is_result: Whether it is a success.
      status: HTTP status.
      headers: Headers to pass to the caller.
      body: Complete body.
      stamp: Signature of the response.
    """

    is_result: bool
    status: int
    headers: Headers
    body: bytes
    stamp: str


@dataclass(slots=True)
class GatherReply:
    """Signatures and merged records of the shards that replied.

    For a route without shards, it has the response of the upstream instead.

    Attributes:
      gather_id: Id of the request.
      stamps: Signature of each reply by shard.
      body: Greatest records of all these replies.
      asked: Upstreams that were tried without success, by shard.
      unsent: Shards for which nothing has reached an upstream.
      held_back: Shards that waited for the result of a canary.
      response: Response of an upstream to a request without shards, if any.
      may_have_run: Whether the request may have run.
      retry_after_s: Time after which to retry one that has not run, in
        seconds.
      is_final: Whether no further reply follows; the next one covers the shards
        of this one as well.
      max_records: Number of records beyond which the others were left out; None
        if the sender does not state it.
    """

    gather_id: int
    stamps: dict[str, str]
    body: bytes
    asked: dict[str, list[str]] = field(default_factory=dict)
    unsent: list[str] = field(default_factory=list)
    held_back: list[str] = field(default_factory=list)
    response: RelayedResponse | None = None
    may_have_run: bool = False
    retry_after_s: float | None = None
    is_final: bool = True
    max_records: int | None = None


@dataclass(slots=True)
class GatherCancel:
    """Request to stop querying shards for another instance.

    Attributes:
      gather_id: Id of the request.
      reply_to: Address at which the sender accepts messages.
    """

    gather_id: int
    reply_to: tuple[str, int]


@dataclass(slots=True)
class GatherRelease:
    """Message: another shard of a request has a result.

    The peer sends the shards that it holds back behind its canary.

    Attributes:
      gather_id: Id of the request.
      reply_to: Address at which the sender accepts messages.
    """

    gather_id: int
    reply_to: tuple[str, int]


@dataclass(slots=True)
class GatherConfirm:
    """Message: the acknowledgement of a request has arrived in time.

    The sender turns to no other peer from then on, so that the peer may try
    further upstreams of each shard.

    Attributes:
      gather_id: Id of the request.
      reply_to: Address at which the sender accepts messages.
    """

    gather_id: int
    reply_to: tuple[str, int]


@dataclass(slots=True)
class IsolationNotice:
    """Message: whether an instance is cut off from all upstreams.

    Attributes:
      sender: Name of the instance.
      isolated: Whether it is cut off.
    """

    sender: str
    isolated: bool


GatherMessage = (
    GatherRequest
    | GatherAck
    | GatherReply
    | GatherCancel
    | GatherRelease
    | GatherConfirm
    | IsolationNotice
)


@dataclass(slots=True)
class SendGatherMessage:
    """Action: send a message to another instance."""

    address: tuple[str, int]
    message: (
        GatherMessage
        | QuarantineNotice
        | DemandNotice
        | ShareNotice
        | QuotaMessage
    )


@dataclass(slots=True, eq=False)
class Peer:
    """State of another instance.

    Attributes:
      name: Name that is unique in the deployment.
      data_centre: Data centre in which it runs.
      address: Address at which it accepts messages.
      capacity: Its CPU capacity, in cores.
      ack_s: Smoothed time to its acknowledgements, or an estimate before the
        first.
      ack_measured: Whether an acknowledgement was received from it.
      excluded_until: Time before which it gets no requests.
      isolated_until: Time until which it is taken to be cut off from the
        upstreams.
      consecutive_timeouts: Requests without a timely acknowledgement or reply
        since its last acknowledgement.
      protocol: Latest protocol of messages that it understands, 0 for that of
        the oldest build.
    """

    name: str
    data_centre: str
    address: tuple[str, int]
    capacity: float = 1.0
    ack_s: float = INITIAL_ACK_TIMEOUT_S / ACK_TIMEOUT_FACTOR
    ack_measured: bool = False
    excluded_until: float = 0.0
    isolated_until: float = 0.0
    consecutive_timeouts: int = 0
    protocol: int = 0

    @property
    def sends_updates(self) -> bool:
        """Whether it replies to a request more than once."""
        return self.protocol >= UPDATES_PROTOCOL

    @property
    def knows_confirmations(self) -> bool:
        """Whether it understands that its acknowledgement has arrived."""
        return self.protocol >= CONFIRMATIONS_PROTOCOL

    @property
    def knows_accounts(self) -> bool:
        """Whether it respects client accounts and homes."""
        return self.protocol >= ACCOUNTS_PROTOCOL

    @property
    def knows_terms(self) -> bool:
        """Whether it respects the terms of a request's route."""
        return self.protocol >= TERMS_PROTOCOL

    @property
    def knows_claims(self) -> bool:
        """Whether it hands the quotas of accounts over."""
        return self.protocol >= CLAIMS_PROTOCOL

    def is_available(self, now: float) -> bool:
        """Returns whether it may be sent a request."""
        return self.excluded_until <= now and self.isolated_until <= now

    def silent(self, now: float) -> None:
        """Excludes the peer for a time after a missing answer.

        Several requests that were open at the same time count as one.
        """
        if self.excluded_until > now:
            return
        duration_s = min(
            PEER_EXCLUSION_S * 2.0**self.consecutive_timeouts,
            MAX_PEER_EXCLUSION_S,
        )
        self.excluded_until = now + duration_s
        self.consecutive_timeouts += 1

    def ack_deadline(self, now: float) -> float:
        """Returns when an acknowledgement becomes overdue."""
        return now + self.ack_s * ACK_TIMEOUT_FACTOR + ACK_TIMEOUT_SLACK_S

    def acknowledged(self, seconds: float) -> None:
        """Records the time that an acknowledgement took."""
        weight = ACK_SMOOTHING_WEIGHT if self.ack_measured else 1.0
        self.ack_s += (seconds - self.ack_s) * weight
        self.ack_measured = True
        self.excluded_until = 0.0
        self.consecutive_timeouts = 0


class PeerTable:
    """The other instances of the deployment.

    Attributes:
      peers: All known peers by name.
      introduced: Peers that are not known from the store but have sent a claim
        to a quota, by name.
      departed: Peers that the store has ceased to name, by name.
      protocols: Latest protocol of messages of each peer, by address.
      ack_times: Smoothed time to the acknowledgements of any peer, by data
        centre.
    """

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}
        self.introduced: dict[str, Peer] = {}
        self.departed: dict[str, Peer] = {}
        self.protocols: dict[tuple[str, int], int] = {}
        self.ack_times: dict[str, float] = {}

    def record_ack(self, peer: Peer, seconds: float) -> None:
        """Records the time that an acknowledgement of a peer took."""
        peer.acknowledged(seconds)
        previous_s = self.ack_times.get(peer.data_centre, seconds)
        change_s = (seconds - previous_s) * ACK_SMOOTHING_WEIGHT
        self.ack_times[peer.data_centre] = previous_s + change_s

    def estimate_ack(self, peer: Peer) -> None:
        """Estimates the time to a peer's first acknowledgement.

        It will take about as long as those of its data centre. An instance
        receives too few requests to learn it of each peer.
        """
        if not peer.ack_measured:
            peer.ack_s = self.ack_times.get(peer.data_centre, peer.ack_s)

    def update(self, found: list[Peer]) -> None:
        """Replaces the peers by those found in the store.

        The state of a peer is kept as long as its address stays the same.
        """
        previous_peers = self.peers
        self.peers = {}
        for peer in found:
            previous = previous_peers.get(peer.name)
            same_address = (
                previous is not None and previous.address == peer.address
            )
            if previous is not None and same_address:
                previous.capacity = peer.capacity
                previous.protocol = peer.protocol
                self.peers[peer.name] = previous
            else:
                self.peers[peer.name] = peer
        self.departed.update(
            (name, peer)
            for name, peer in previous_peers.items()
            if name not in self.peers
        )
        for name in self.peers:
            self.introduced.pop(name, None)
            self.departed.pop(name, None)
        self.update_protocols()

    def introduce(self, peer: Peer) -> None:
        """Adds a peer that the store here does not name yet."""
        self.introduced[peer.name] = peer
        self.update_protocols()

    def forget(self, name: str) -> None:
        """Removes a peer that is not known from the store."""
        self.introduced.pop(name, None)
        self.departed.pop(name, None)
        self.update_protocols()

    def update_protocols(self) -> None:
        """Collects the protocols of all peers that may get messages."""
        self.protocols = {
            peer.address: peer.protocol
            for peers in (self.departed, self.introduced, self.peers)
            for peer in peers.values()
        }

    def protocol_of(self, address: tuple[str, int]) -> int:
        """Returns the latest protocol that the peer at an address understands.

        Returns 0 for an unknown peer, which may be of the oldest build.
        """
        return self.protocols.get(address, 0)

    def members(self, data_centre: str) -> list[Peer]:
        """Returns the peers of a data centre."""
        return [
            peer
            for peer in self.peers.values()
            if peer.data_centre == data_centre
        ]

    def pick_peer(
        self,
        data_centre: str,
        now: float,
        rng: random.Random,
        accepts: Callable[[Peer], bool],
    ) -> Peer | None:
        """Returns a random available peer of a data centre, if any.

        Args:
          data_centre: The data centre.
          now: The time.
          rng: Source of random numbers.
          accepts: Returns whether a peer may be sent the request.
        """
        available = [
            peer
            for peer in self.members(data_centre)
            if peer.is_available(now) and accepts(peer)
        ]
        return rng.choice(available) if available else None
