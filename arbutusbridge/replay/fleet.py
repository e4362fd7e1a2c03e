"""Instances that exchange configuration and membership on virtual time."""

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

LOCAL_ONE_WAY_DELAY_S = 0.0003
"""One-way network delay within a data centre."""

REMOTE_ONE_WAY_DELAY_S = 0.006
"""One-way network delay between data centres."""

PEER_KEY = derive_key("the secret of a virtual fleet", "fleet")
"""Key of the messages between instances."""

PEER_PORT = 1_000
"""Port at which every instance listens for its peers."""

ADDRESSES_PER_SUBNET = 250
"""Number of addresses assigned in each 10.0.x.0 subnet."""

MAX_SEEDS = 3
"""Maximum number of peer addresses in the settings of an instance."""


class FleetNode:
    """Membership, gossip and version sync of one instance.

    Attributes:
      fleet: Fleet that the instance belongs to.
      identity: Name, data centre, address and incarnation of the instance.
      running: Whether the instance is running.
      membership: Membership as this instance knows it.
      gossip: Gossip protocol under test.
      version_sync: Version sync under test.
      adopted: Heads of the adopted versions, with their times.
      notices: Notices received, with their times.
      bytes_sent: Bytes of all messages sent.
      bytes_received: Bytes of all messages received.
    """

    def __init__(
        self, fleet: Fleet, identity: Identity, rng: random.Random
    ) -> None:
        self.fleet = fleet
        self.identity = identity
        self.running = True
        self.membership = Membership(identity)
        self.gossip = Gossip(self.membership, rng, fleet.seeds(identity))
        self.version_sync = VersionSync(self.gossip, rng)
        self.rng = rng
        self.adopted: list[tuple[float, Head]] = []
        self.notices: list[tuple[float, Notice]] = []
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def place(self) -> str:
        """The data centre of the instance."""
        return self.identity.data_centre

    def run_gossip_round(self) -> None:
        """Runs one gossip round and schedules the next one."""
        if self.running:
            self.fleet.schedule.after(self.gossip.wait(), self.run_gossip_round)
            # Connections are not simulated and count as within the shares.
            shares = self.gossip.shares
            shares.record_within_shares(shares.digest(self.fleet.now))
            self.carry_out(self.gossip.run_round(self.fleet.now))

    def tick(self) -> None:
        """Ticks the version sync and schedules the next tick."""
        if self.running:
            self.fleet.schedule.after(TICK_INTERVAL_S, self.tick)
            self.carry_out(self.version_sync.tick(self.fleet.now))

    def receive_message(self, data: bytes) -> None:
        """Receives a sealed message from the network."""
        if self.running:
            self.bytes_received += len(data)
            message = unseal(data, PEER_KEY)
            self.carry_out(self.gossip.receive(message, self.fleet.now))

    def broadcast_notice(self, notice: Notice) -> None:
        """Broadcasts a notice of this instance."""
        self.carry_out(self.gossip.broadcast(notice, self.fleet.now))

    def carry_out(self, actions: Sequence[GossipAction | SyncAction]) -> None:
        """Carries out actions of the gossip and of the version sync."""
        fleet = self.fleet
        for action in actions:
            match action:
                case SendPeerMessage():
                    fleet.deliver(self, action.address, action.message)
                case DeliverHead() | DeliverPiece() | DeliverPieceRequest():
                    self.carry_out(
                        self.version_sync.on_peer_report(action, fleet.now)
                    )
                case AdoptVersion():
                    self.adopt_version(action)
                case ReadHead():
                    self.read_head(action)
                case ReadVersion():
                    self.read_version(action)
                case ReadInstanceList():
                    self.read_instance_list()
                case DeliverNotice():
                    self.notices.append((fleet.now, action.notice))

    def adopt_version(self, action: AdoptVersion) -> None:
        """Adopts a version if it is valid, and refuses it otherwise."""
        now = self.fleet.now
        head = action.head
        version_sync = self.version_sync
        try:
            self.fleet.validate(head, action.packed)
        except SettingsError as err:
            self.carry_out(
                version_sync.refuse(head, str(err), action.source, now)
            )
            return
        self.adopted.append((now, head))
        self.carry_out(
            version_sync.confirm_adoption(
                head, action.packed, action.source, now
            )
        )

    def read_head(self, action: ReadHead) -> None:
        """Reads the head, or watches it for its next change."""

        def on_head(result: StoreResult) -> None:
            if self.running:
                now = self.fleet.now
                self.carry_out(
                    self.version_sync.on_head(action.number, result, now)
                )

        platform = self.fleet.platform
        platform.read_head(
            self.place, action.index, STORE_CALL_TIMEOUT_S, on_head
        )

    def read_version(self, action: ReadVersion) -> None:
        """Reads the value of a version from the store."""

        def on_result(result: StoreResult) -> None:
            now = self.fleet.now
            if self.running:
                self.carry_out(
                    self.version_sync.on_version(
                        action.number, action.head, result, now
                    )
                )

        step = StoreGet(("version", ""), action.head.key)
        platform = self.fleet.platform
        platform.call(self.place, step, STORE_CALL_TIMEOUT_S, on_result)

    def read_instance_list(self) -> None:
        """Reads the instance list and applies it to the membership."""
        entries = self.fleet.platform.read_instance_list(self.place)
        if entries is not None:
            self.membership.apply_list(entries, self.fleet.now)


class Fleet:
    """Instances and the simulated network between them.

    Attributes:
      rng: Source of all random choices.
      validate: Function that raises SettingsError for an invalid version.
      schedule: Virtual clock with the pending calls.
      platform: Key-value store and instance list.
      nodes: Running instances, by name.
      listeners: Running instances, by address.
      addresses: Address of each instance, by name; kept over restarts.
      data_centres: Data centre of each instance, by instance name.
      partitioned: Data centres cut off from the others.
      message_loss_ratio: Fraction of messages between instances that is lost.
      peer_network_down: Whether every message between instances is lost.
    """

    def __init__(
        self,
        seed: int,
        validate: Callable[[Head, bytes], object],
        list_lag_s: float = 10.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.validate = validate
        self.schedule = Schedule()
        self.platform = VirtualPlatform(self.schedule, self.rng, list_lag_s)
        self.nodes: dict[str, FleetNode] = {}
        self.listeners: dict[tuple[str, int], FleetNode] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.data_centres: dict[str, str] = {}
        self.partitioned: set[str] = set()
        self.message_loss_ratio = 0.0
        self.peer_network_down = False

    @property
    def now(self) -> float:
        """The current virtual time, in seconds."""
        return self.schedule.now

    def address(self, name: str) -> tuple[str, int]:
        """Returns the address of an instance, the same at every start."""
        if name not in self.addresses:
            subnet, host = divmod(len(self.addresses), ADDRESSES_PER_SUBNET)
            self.addresses[name] = (f"10.0.{subnet}.{host}", PEER_PORT)
        return self.addresses[name]

    def seeds(self, identity: Identity) -> tuple[tuple[str, int], ...]:
        """Returns the addresses of the seed peers in an instance's settings."""
        local_peers = [
            name
            for name, place in self.data_centres.items()
            if place == identity.data_centre and name != identity.name
        ]
        return tuple(self.addresses[name] for name in local_peers[:MAX_SEEDS])

    def start(self, name: str, data_centre: str) -> FleetNode:
        """Starts an instance that has only its settings."""
        address = self.address(name)
        self.data_centres[name] = data_centre
        incarnation = int(self.now * 1000) + 1
        identity = Identity(name, data_centre, *address, incarnation)
        rng = random.Random(self.rng.random())
        node = FleetNode(self, identity, rng)
        self.nodes[name] = node
        self.listeners[address] = node
        entry = InstanceEntry(name, data_centre, address)
        self.platform.instances.put(entry, self.now)
        self.schedule.after(
            rng.uniform(0.0, ROUND_INTERVAL_S), node.run_gossip_round
        )
        self.schedule.after(rng.uniform(0.0, TICK_INTERVAL_S), node.tick)
        return node

    def stop(self, name: str) -> None:
        """Stops an instance without notice to its peers."""
        node = self.nodes.pop(name)
        node.running = False
        del self.listeners[node.identity.address]

    def are_connected(self, first: str, other: str) -> bool:
        """Returns whether two data centres can reach each other."""
        return first == other or not {first, other} & self.partitioned

    def deliver(
        self, sender: FleetNode, address: tuple[str, int], message: PeerMessage
    ) -> None:
        """Delivers a message to the instance at an address, if not lost."""
        data = seal(message, PEER_KEY)
        sender.bytes_sent += len(data)
        receiver = self.listeners.get(address)
        if receiver is None or self.peer_network_down:
            return
        if self.rng.random() < self.message_loss_ratio:
            return
        if self.are_connected(sender.place, receiver.place):
            local = sender.place == receiver.place
            delay = LOCAL_ONE_WAY_DELAY_S if local else REMOTE_ONE_WAY_DELAY_S
            self.schedule.after(delay, receiver.receive_message, data)

    def run_until(self, end: float) -> None:
        """Runs the simulation up to a virtual time."""
        self.schedule.run_until(end)
