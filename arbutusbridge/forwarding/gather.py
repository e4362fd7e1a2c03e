"""Scatter by an instance near the upstreams, for one that is far from them.

Where a request's shards are held in another region, one message to an
instance there takes the place of a sub-request a shard over the long link. It
asks the shards as its own, and sends back their signatures with the greatest
records of all of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

# Needed at run time, since messages are validated by these annotations.
from arbutusbridge.forwarding.messages import Headers

if TYPE_CHECKING:
    import random


MIN_GROUP_SHARDS = 3
"""Shards in another region from which one message is cheaper than several."""

INITIAL_ACK_TIMEOUT_S = 0.06
"""Time in which a peer says that it has taken a request, while no such time
is known; regions are 8 to 12 ms apart one way."""

ACK_TIMEOUT_FACTOR = 2.0
ACK_TIMEOUT_SLACK_S = 0.015
"""Multiple of the usual time to an acknowledgement, and time on top of it,
after which the shards are asked directly."""

ACK_SMOOTHING_WEIGHT = 0.2
"""Part of a new time in the smoothed time to an acknowledgement."""

PEER_EXCLUSION_S = 3.0
"""Time for which a peer that did not acknowledge is left out; it doubles each
time that it is silent again."""

MAX_PEER_EXCLUSION_S = 24.0
"""Longest such time."""

STOPPING_EXCLUSION_S = 10.0
"""Time for which a peer that is about to end is left out; its key in the store
is gone after that time."""

OUTDATED_EXCLUSION_S = 0.5
"""Time for which a peer that does not know the shards yet is left out; a new
version is in force everywhere within seconds."""

SIMILAR_COUNT_RATIO = 0.8
"""Part of the most shards near one data centre from which another data centre
does as well."""


@dataclass(slots=True)
class GatherRequest:
    """Ask shards for another instance.

    Attributes:
      gather_id: Unique at the instance that asks.
      reply_to: Where that instance takes messages.
      request_id: The caller's request.
      method: HTTP method.
      target: Path and query.
      host: Host that the caller named.
      headers: Headers to pass on.
      body: The whole body.
      services: Shards to ask.
      answer_in_s: Time after which a reply that covers enough is sent.
      give_up_in_s: Time after which the reply is sent as it is.
      asked_already: Upstreams of each shard that may have been asked before.
      alone_s: Time in which the instance that asks may yet turn to another
        peer; until then only one upstream of each shard may be asked.
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


@dataclass(slots=True)
class GatherAck:
    """Acknowledge a request, or decline it.

    Attributes:
      gather_id: The request.
      declined: Whether the shards have to be asked by another.
      stopping: Whether it is about to end; else it declined what its
        configuration does not know.
    """

    gather_id: int
    declined: bool
    stopping: bool = False


@dataclass(slots=True)
class GatherReply:
    """Signatures and the merged records of the shards that replied.

    Attributes:
      gather_id: The request.
      stamps: Signature of each reply by shard.
      body: The greatest records of all these replies.
      asked: Upstreams that were asked in vain, by shard.
    """

    gather_id: int
    stamps: dict[str, str]
    body: bytes
    asked: dict[str, list[str]] = field(default_factory=dict)


@dataclass(slots=True)
class GatherCancel:
    """Stop asking shards for another instance.

    Attributes:
      gather_id: The request.
      reply_to: Where the instance that asked takes messages.
    """

    gather_id: int
    reply_to: tuple[str, int]


GatherMessage = GatherRequest | GatherAck | GatherReply | GatherCancel


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to another instance, an action."""

    address: tuple[str, int]
    message: GatherMessage


@dataclass(slots=True, eq=False)
class Peer:
    """Another instance as seen from here.

    Attributes:
      name: Unique over the deployment.
      data_centre: Where it runs.
      address: Where it takes messages.
      capacity: Its processor, in cores.
      ack_s: Smoothed time to its acknowledgements.
      unfit_until: No request before this time.
      silences: Requests that it did not take since the last that it took.
    """

    name: str
    data_centre: str
    address: tuple[str, int]
    capacity: float = 1.0
    ack_s: float = INITIAL_ACK_TIMEOUT_S / ACK_TIMEOUT_FACTOR
    unfit_until: float = 0.0
    silences: int = 0

    def silent(self, now: float) -> None:
        """Leaves it out for a time, since it did not answer."""
        pause = min(PEER_EXCLUSION_S * 2.0**self.silences, MAX_PEER_EXCLUSION_S)
        self.unfit_until = now + pause
        self.silences += 1

    def ack_due(self, now: float) -> float:
        """Returns when an acknowledgement is overdue."""
        return now + self.ack_s * ACK_TIMEOUT_FACTOR + ACK_TIMEOUT_SLACK_S

    def acknowledged(self, seconds: float) -> None:
        """Takes the time that an acknowledgement took."""
        self.ack_s += (seconds - self.ack_s) * ACK_SMOOTHING_WEIGHT
        self.unfit_until = 0.0
        self.silences = 0


class PeerTable:
    """The other instances by data centre.

    Attributes:
      peers: Every known peer by name.
    """

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}

    def take(self, found: list[Peer]) -> None:
        """Takes a reading of the running instances."""
        known = self.peers
        self.peers = {}
        for peer in found:
            old = known.get(peer.name)
            same = old is not None and old.address == peer.address
            if old is not None and same:
                old.capacity = peer.capacity
                self.peers[peer.name] = old
            else:
                self.peers[peer.name] = peer

    def members(self, data_centre: str) -> list[Peer]:
        """Returns the peers of a data centre."""
        return [
            peer
            for peer in self.peers.values()
            if peer.data_centre == data_centre
        ]

    def pick(
        self, data_centre: str, now: float, rng: random.Random
    ) -> Peer | None:
        """Returns a fit peer of a data centre, if there is one."""
        fit = [
            peer
            for peer in self.members(data_centre)
            if peer.unfit_until <= now
        ]
        return rng.choice(fit) if fit else None
