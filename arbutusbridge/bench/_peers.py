"""Instances that gossip on virtual time, under a lagging instance list."""

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

LIST_LAG_S = 10.0
LOSS_SHARE = 0.01
"""Share of messages that are lost."""

LEAST_DELAY_S = 0.0005
MOST_DELAY_S = 0.012

STOP_WORD_S = 1.0
"""Time that a process lives on after it said that it stopped."""


class Peer:
    """One instance's gossip, driven on virtual time.

    Attributes:
      gossip: The real decisions.
      running: Whether its process runs.
    """

    def __init__(self, net: PeerNet, identity: Identity) -> None:
        self.net = net
        self.gossip = Gossip(
            Membership(identity), random.Random(net.rng.random())
        )
        self.running = True

    @property
    def name(self) -> str:
        """Its name."""
        return self.gossip.membership.me.name

    @property
    def place(self) -> str:
        """Its data centre."""
        return self.gossip.membership.me.data_centre

    def round(self) -> None:
        """Reads the list, makes one round and schedules the next."""
        if not self.running:
            return
        now = self.net.now
        if self.net.list_is_up(self):
            self.gossip.membership.take_list(self.net.read_list(), now)
        self.carry_out(self.gossip.round(now))
        wait = ROUND_INTERVAL_S * self.gossip.rng.uniform(0.9, 1.1)
        self.net.schedule.after(wait, self.round)

    def take(self, message: PeerMessage) -> None:
        """Takes a message off the wire."""
        if self.running:
            self.carry_out(self.gossip.take(message, self.net.now))

    def carry_out(self, actions: list[GossipAction]) -> None:
        """Sends what the gossip wants sent; tells the rest."""
        for action in actions:
            if isinstance(action, SendPeerMessage):
                self.net.send(self, action)
            else:
                self.on_action(action)

    def on_action(self, action: GossipAction) -> None:
        """Takes what peers said, for subclasses."""

    def say_stopped(self) -> None:
        """Tells its peers that it has stopped, and ends soon after."""
        self.gossip.state = MemberState.STOPPED
        self.gossip.urgent_at = 0.0
        self.carry_out(self.gossip.spread_urgently(self.net.now))
        self.net.schedule.after(STOP_WORD_S, self.end)

    def end(self) -> None:
        """Ends its process."""
        self.running = False


@dataclass
class PeerNet:
    """The wire between instances and the platform's lagging list.

    Attributes:
      peers: Every instance ever started, by address port.
      parted: Data centre that is cut off, None when none is.
      entries: Changes of the list: time, name, and who, None when dropped.
    """

    rng: random.Random
    schedule: Schedule = field(default_factory=Schedule)
    peers: dict[int, Peer] = field(default_factory=dict)
    parted: str | None = None
    entries: list[tuple[float, str, Identity | None]] = field(
        default_factory=list
    )

    @property
    def now(self) -> float:
        """The current virtual time, in seconds."""
        return self.schedule.now

    def running(self) -> list[Peer]:
        """Returns the instances whose processes run."""
        return [peer for peer in self.peers.values() if peer.running]

    def identity(self, name: str, place: str) -> Identity:
        """Returns who the next instance to start is."""
        number = len(self.peers) + 1
        return Identity(name, place, "127.0.0.1", number, number)

    def start(self, peer: Peer) -> None:
        """Starts an instance and lists it."""
        me = peer.gossip.membership.me
        self.peers[me.port] = peer
        self.entries.append((self.now, me.name, me))
        peer.round()

    def drop(self, peer: Peer) -> None:
        """Takes an instance off the list."""
        self.entries.append((self.now, peer.name, None))

    def read_list(self) -> list[ListedInstance]:
        """Returns the list as it was a while ago."""
        seen: dict[str, Identity | None] = {}
        for at, name, who in self.entries:
            if at <= self.now - LIST_LAG_S:
                seen[name] = who
        # The platform does not know incarnations.
        return [
            ListedInstance(
                Identity(who.name, who.data_centre, who.ip, who.port)
            )
            for who in seen.values()
            if who is not None
        ]

    def list_is_up(self, peer: Peer) -> bool:
        """Tells whether an instance reaches the platform."""
        return peer.place != self.parted

    def send(self, sender: Peer, action: SendPeerMessage) -> None:
        """Carries a message, unless it is lost or the way is cut."""
        receiver = self.peers.get(action.address[1])
        if receiver is None or self.rng.random() < LOSS_SHARE:
            return
        is_cut = self.parted in (sender.place, receiver.place)
        if is_cut and sender.place != receiver.place:
            return
        delay = self.rng.uniform(LEAST_DELAY_S, MOST_DELAY_S)
        self.schedule.after(delay, receiver.take, action.message)
