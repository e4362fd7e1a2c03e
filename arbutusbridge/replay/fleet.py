"""Instances that share configuration and membership, on virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from arbutusbridge.core.membership.members import Identity
from arbutusbridge.core.membership.membership import Membership
from arbutusbridge.core.messages import StoreGet, StoreResult
from arbutusbridge.core.peers.gossip import ROUND_INTERVAL_S, Gossip
from arbutusbridge.core.peers.peeractions import (
    DeliverHead,
    DeliverNotice,
    DeliverPiece,
    DeliverPieceRequest,
    SendPeerMessage,
)
from arbutusbridge.core.peers.peerwire import derive_key, seal, unseal
from arbutusbridge.core.peers.syncactions import (
    AdoptVersion,
    ReadHead,
    ReadInstanceList,
    ReadVersion,
)
from arbutusbridge.core.peers.versionsync import (
    STORE_CALL_TIMEOUT_S,
    VersionSync,
)
from arbutusbridge.daemon.adoption import TICK_INTERVAL_S
from arbutusbridge.errors import SettingsError
from arbutusbridge.replay.platform import VirtualPlatform
from arbutusbridge.replay.schedule import Schedule
from arbutusbridge.standins.platform import InstanceEntry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from arbutusbridge.core.configuration import Head
    from arbutusbridge.core.messages import Notice
    from arbutusbridge.core.peers.peeractions import GossipAction
    from arbutusbridge.core.peers.peerwire import PeerMessage
    from arbutusbridge.core.peers.syncactions import SyncAction

LOCAL_ONE_WAY_S = 0.0003
REMOTE_ONE_WAY_S = 0.006
KEY = derive_key("the secret of a virtual fleet", "fleet")
PEER_PORT = 1_000
ADDRESSES_A_NET = 250
MOST_SEEDS = 3


class FleetNode:
    """One instance's membership, gossip and spread.

    Attributes:
      adopted: Versions put in force, with their times.
      notices: Notices heard, with their times.
      bytes_sent: Bytes of messages handed to the network.
      bytes_received: Bytes of messages that arrived.
    """

    def __init__(
        self, fleet: Fleet, identity: Identity, rng: random.Random
    ) -> None:
        self.fleet = fleet
        self.identity = identity
        self.alive = True
        self.membership = Membership(identity)
        self.gossip = Gossip(self.membership, rng, fleet.seeds(identity))
        self.spread = VersionSync(self.gossip, rng)
        self.rng = rng
        self.adopted: list[tuple[float, Head]] = []
        self.notices: list[tuple[float, Notice]] = []
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def place(self) -> str:
        """The data centre that it runs in."""
        return self.identity.data_centre

    def round(self) -> None:
        """Makes one round of messages."""
        if self.alive:
            self.fleet.schedule.after(self.gossip.wait(), self.round)
            # No connections are played here, so that they are always within.
            shares = self.gossip.shares
            shares.record_within_shares(shares.digest(self.fleet.now))
            self.carry_out(self.gossip.run_round(self.fleet.now))

    def tick(self) -> None:
        """Lets the spread do what is due."""
        if self.alive:
            self.fleet.schedule.after(TICK_INTERVAL_S, self.tick)
            self.carry_out(self.spread.tick(self.fleet.now))

    def take(self, data: bytes) -> None:
        """Takes a message off the network."""
        if self.alive:
            self.bytes_received += len(data)
            message = unseal(data, KEY)
            self.carry_out(self.gossip.receive(message, self.fleet.now))

    def tell(self, notice: Notice) -> None:
        """Spreads a finding of this instance."""
        self.carry_out(self.gossip.broadcast(notice, self.fleet.now))

    def carry_out(self, actions: Sequence[GossipAction | SyncAction]) -> None:
        """Carries out decisions."""
        fleet = self.fleet
        for action in actions:
            match action:
                case SendPeerMessage():
                    fleet.deliver(self, action.address, action.message)
                case DeliverHead() | DeliverPiece() | DeliverPieceRequest():
                    self.carry_out(
                        self.spread.on_peer_report(action, fleet.now)
                    )
                case AdoptVersion():
                    self.adopt(action)
                case ReadHead():
                    self.read_head(action)
                case ReadVersion():
                    self.read_version(action)
                case ReadInstanceList():
                    self.read_list()
                case DeliverNotice():
                    self.notices.append((fleet.now, action.notice))

    def adopt(self, action: AdoptVersion) -> None:
        """Puts a version in force if it validates."""
        now = self.fleet.now
        head = action.head
        spread = self.spread
        try:
            self.fleet.validate(head, action.packed)
        except SettingsError as err:
            self.carry_out(spread.refuse(head, str(err), action.source, now))
            return
        self.adopted.append((now, head))
        self.carry_out(
            spread.confirm_adoption(head, action.packed, action.source, now)
        )

    def read_head(self, action: ReadHead) -> None:
        """Reads the head, or waits at the store for its next change."""

        def on_head(result: StoreResult) -> None:
            if self.alive:
                now = self.fleet.now
                self.carry_out(self.spread.on_head(action.number, result, now))

        platform = self.fleet.platform
        platform.read_head(
            self.place, action.index, STORE_CALL_TIMEOUT_S, on_head
        )

    def read_version(self, action: ReadVersion) -> None:
        """Reads a version's value from the store."""

        def on_result(result: StoreResult) -> None:
            now = self.fleet.now
            if self.alive:
                self.carry_out(
                    self.spread.on_version(
                        action.number, action.head, result, now
                    )
                )

        step = StoreGet(("version", ""), action.head.key)
        platform = self.fleet.platform
        platform.call(self.place, step, STORE_CALL_TIMEOUT_S, on_result)

    def read_list(self) -> None:
        """Reads the instance list."""
        entries = self.fleet.platform.read_list(self.place)
        if entries is not None:
            self.membership.apply_list(entries, self.fleet.now)


class Fleet:
    """The instances and their network.

    Attributes:
      platform: Key-value store and instance list.
      nodes: Running instances by name.
      parted: Data centres cut off from the others.
      lose_messages: Share of messages between instances that are lost.
      without_peers: Whether no message between instances arrives.
      addresses: Where each instance listens, by name.
    """

    def __init__(
        self,
        seed: int,
        validate: Callable[[Head, bytes], object],
        list_lag_seconds: float = 10.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.validate = validate
        self.schedule = Schedule()
        self.platform = VirtualPlatform(
            self.schedule, self.rng, list_lag_seconds
        )
        self.nodes: dict[str, FleetNode] = {}
        self.listening: dict[tuple[str, int], FleetNode] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.places: dict[str, str] = {}
        self.parted: set[str] = set()
        self.lose_messages = 0.0
        self.without_peers = False

    @property
    def now(self) -> float:
        """The current virtual time, in seconds."""
        return self.schedule.now

    def address(self, name: str) -> tuple[str, int]:
        """Returns the address that an instance has at each of its starts."""
        if name not in self.addresses:
            net, host = divmod(len(self.addresses), ADDRESSES_A_NET)
            self.addresses[name] = (f"10.0.{net}.{host}", PEER_PORT)
        return self.addresses[name]

    def seeds(self, identity: Identity) -> tuple[tuple[str, int], ...]:
        """Returns the peers' addresses that an instance's settings name."""
        same = [
            name
            for name, place in self.places.items()
            if place == identity.data_centre and name != identity.name
        ]
        return tuple(self.addresses[name] for name in same[:MOST_SEEDS])

    def start(self, name: str, data_centre: str) -> FleetNode:
        """Starts an instance that knows nothing but its settings."""
        address = self.address(name)
        self.places[name] = data_centre
        incarnation = int(self.now * 1000) + 1
        identity = Identity(name, data_centre, *address, incarnation)
        rng = random.Random(self.rng.random())
        node = FleetNode(self, identity, rng)
        self.nodes[name] = node
        self.listening[address] = node
        entry = InstanceEntry(name, data_centre, address)
        self.platform.instances.put(entry, self.now)
        self.schedule.after(rng.uniform(0.0, ROUND_INTERVAL_S), node.round)
        self.schedule.after(rng.uniform(0.0, TICK_INTERVAL_S), node.tick)
        return node

    def stop(self, name: str) -> None:
        """Ends an instance without a word."""
        node = self.nodes.pop(name)
        node.alive = False
        del self.listening[node.identity.address]

    def connected(self, one: str, other: str) -> bool:
        """Tells whether two data centres reach each other."""
        return one == other or not {one, other} & self.parted

    def deliver(
        self, sender: FleetNode, address: tuple[str, int], message: PeerMessage
    ) -> None:
        """Carries a message to whoever listens at an address."""
        data = seal(message, KEY)
        sender.bytes_sent += len(data)
        receiver = self.listening.get(address)
        if receiver is None or self.without_peers:
            return
        if self.rng.random() < self.lose_messages:
            return
        if self.connected(sender.place, receiver.place):
            local = sender.place == receiver.place
            delay = LOCAL_ONE_WAY_S if local else REMOTE_ONE_WAY_S
            self.schedule.after(delay, receiver.take, data)

    def run_until(self, end: float) -> None:
        """Lets virtual time pass up to a time."""
        self.schedule.run_until(end)
