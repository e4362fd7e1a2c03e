"""Instances that gossip on virtual time, with a lagging instance list."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.membership.members import (
    Identity,
    ListedInstance,
    MemberState,
)
from arbutusbridge.core.membership.membership import Membership
from arbutusbridge.core.peers.gossip import (
    ROUND_INTERVAL_S,
    Gossip,
    SendPeerMessage,
)
from arbutusbridge.replay.schedule import Schedule

if TYPE_CHECKING:
    from arbutusbridge.core.peers.gossip import GossipAction
    from arbutusbridge.core.peers.peerwire import PeerMessage

INSTANCE_LIST_LAG_S = 10.0
"""Time until a change of the instance list is visible to its readers."""

MESSAGE_LOSS_FRACTION = 0.01
"""Fraction of messages that are lost."""

MIN_ONE_WAY_DELAY_S = 0.0005
MAX_ONE_WAY_DELAY_S = 0.012
"""Maximum one-way network delay of a message between instances."""

STOPPED_LINGER_S = 1.0
"""Time that a process keeps running after it announced that it stopped."""


class Peer:
    """One instance that gossips on virtual time.

    Attributes:
      net: Network that carries its messages.
      gossip: Gossip protocol under measurement.
      running: Whether its process runs.
    """

    def __init__(self, net: PeerNetwork, identity: Identity) -> None:
        self.net = net
        self.gossip = Gossip(
            Membership(identity), random.Random(net.rng.random())
        )
        self.running = True

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.gossip.membership.me.name

    @property
    def place(self) -> str:
        """Data centre of the instance."""
        return self.gossip.membership.me.data_centre

    def run_next_round(self) -> None:
        """Reads the list, runs one gossip round and schedules the next."""
        if not self.running:
            return
        now = self.net.now
        if self.net.can_read_list(self):
            self.gossip.membership.apply_list(self.net.read_list(), now)
        self.carry_out(self.gossip.run_round(now))
        wait = ROUND_INTERVAL_S * self.gossip.rng.uniform(0.9, 1.1)
        self.net.schedule.after(wait, self.run_next_round)

    def receive(self, message: PeerMessage) -> None:
        """Receives a message from the network."""
        if self.running:
            self.carry_out(self.gossip.receive(message, self.net.now))

    def carry_out(self, actions: list[GossipAction]) -> None:
        """Sends peer messages and passes other actions to ``on_action``."""
        for action in actions:
            if isinstance(action, SendPeerMessage):
                self.net.send(self, action)
            else:
                self.on_action(action)

    def on_action(self, action: GossipAction) -> None:
        """Handles an action that sends no message; subclasses override it."""

    def announce_stopped(self) -> None:
        """Announces to its peers that it stopped, and ends soon after."""
        self.gossip.state = MemberState.STOPPED
        self.gossip.last_urgent_at = 0.0
        self.carry_out(self.gossip.send_urgent_updates(self.net.now))
        self.net.schedule.after(STOPPED_LINGER_S, self.end)

    def end(self) -> None:
        """Ends its process."""
        self.running = False


@dataclass
class PeerNetwork:
    """The network between instances and the platform's lagging list.

    Attributes:
      rng: Source of random choices.
      schedule: Virtual time.
      peers: Every instance ever started, by port.
      partitioned_data_centre: Data centre that is cut off from the others and
        the platform, None when none is.
      list_changes: Changes of the list as time, name and identity, which is
        None when the instance was removed.
    """

    rng: random.Random
    schedule: Schedule = field(default_factory=Schedule)
    peers: dict[int, Peer] = field(default_factory=dict)
    partitioned_data_centre: str | None = None
    list_changes: list[tuple[float, str, Identity | None]] = field(
        default_factory=list
    )

    @property
    def now(self) -> float:
        """The current virtual time, in seconds."""
        return self.schedule.now

    def list_running(self) -> list[Peer]:
        """Returns the instances whose processes run."""
        return [peer for peer in self.peers.values() if peer.running]

    def make_identity(self, name: str, place: str) -> Identity:
        """Returns the identity of the next instance to start."""
        number = len(self.peers) + 1
        return Identity(name, place, "127.0.0.1", number, number)

    def start(self, peer: Peer) -> None:
        """Starts an instance and lists it."""
        me = peer.gossip.membership.me
        self.peers[me.port] = peer
        self.list_changes.append((self.now, me.name, me))
        peer.run_next_round()

    def remove_from_list(self, peer: Peer) -> None:
        """Removes an instance from the list."""
        self.list_changes.append((self.now, peer.name, None))

    def read_list(self) -> list[ListedInstance]:
        """Returns the list as it was INSTANCE_LIST_LAG_S ago."""
        seen: dict[str, Identity | None] = {}
        for at, name, listed_identity in self.list_changes:
            if at <= self.now - INSTANCE_LIST_LAG_S:
                seen[name] = listed_identity
        # The platform's list holds no incarnations.
        return [
            ListedInstance(
                Identity(
                    listed_identity.name,
                    listed_identity.data_centre,
                    listed_identity.ip,
                    listed_identity.port,
                )
            )
            for listed_identity in seen.values()
            if listed_identity is not None
        ]

    def can_read_list(self, peer: Peer) -> bool:
        """Returns whether an instance can reach the platform's list."""
        return peer.place != self.partitioned_data_centre

    def send(self, sender: Peer, action: SendPeerMessage) -> None:
        """Delivers a message, unless it is lost or a partition stops it."""
        receiver = self.peers.get(action.address[1])
        if receiver is None or self.rng.random() < MESSAGE_LOSS_FRACTION:
            return
        is_partitioned = self.partitioned_data_centre in (
            sender.place,
            receiver.place,
        )
        if is_partitioned and sender.place != receiver.place:
            return
        delay = self.rng.uniform(MIN_ONE_WAY_DELAY_S, MAX_ONE_WAY_DELAY_S)
        self.schedule.after(delay, receiver.receive, action.message)
