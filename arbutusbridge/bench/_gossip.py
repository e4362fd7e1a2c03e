"""Bytes and processor time of peer messages by fleet size."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from arbutusbridge.bench._targets import DATA_CENTRES, REPLICAS
from arbutusbridge.core.membership.members import Identity, ListedInstance
from arbutusbridge.core.membership.membership import Membership
from arbutusbridge.core.peers.gossip import ROUND_INTERVAL_S, Gossip
from arbutusbridge.core.peers.peeractions import GossipAction, SendPeerMessage
from arbutusbridge.core.peers.peerwire import Finding, derive_key, seal, unseal

MESSAGE_KEY = derive_key("capacity-secret-of-the-bench", "capacity")
PEER_PORT = 7000
SETTLING_ROUNDS = 6
"""Gossip rounds before the measurement, in which the fleet settles."""

MEASURED_ROUNDS = 10
PROBE_INTERVAL_ROUNDS = 2
"""Gossip rounds between two probes of an upstream."""

CHANGED_FRACTION = 0.001
"""Fraction of probe findings that differ from the previous finding."""


@dataclass(frozen=True, slots=True)
class Traffic:
    """Cost of peer messages at one instance.

    Attributes:
      bytes_per_s: Bytes sent per second.
      messages_per_s: Messages sent per second.
      core_fraction: Fraction of a core used to compose, seal, verify and
        receive messages.
    """

    bytes_per_s: float
    messages_per_s: float
    core_fraction: float


class GossipFleet:
    """The gossip of a whole fleet, which exchanges sealed messages.

    Attributes:
      bytes: Bytes of the messages sent.
      messages: Number of messages sent.
      seconds: Processor time used by all instances.
      upstreams: Data centre of each upstream.
      gossips: Gossip of each instance by address and port.
    """

    def __init__(self, nodes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.bytes = 0
        self.messages = 0
        self.seconds = 0.0
        self.upstreams = {
            f"u{number}": f"dc{number % DATA_CENTRES}"
            for number in range(REPLICAS)
        }
        identities = [self.make_identity(number) for number in range(nodes)]
        self.gossips = {
            (identity.ip, identity.port): Gossip(
                Membership(identity), random.Random(self.rng.random())
            )
            for identity in identities
        }
        listed = [ListedInstance(identity) for identity in identities]
        for gossip in self.gossips.values():
            gossip.membership.apply_list(listed, self.now)
            for member in gossip.membership.members.values():
                member.heard_at = self.now

    def make_identity(self, number: int) -> Identity:
        """Returns the identity of an instance."""
        place = f"dc{number % DATA_CENTRES}"
        ip = f"10.0.{number // 250}.{number % 250 + 1}"
        return Identity(f"{place}-{number}", place, ip, PEER_PORT, number + 1)

    def run(self, rounds: int) -> None:
        """Runs a number of gossip rounds at every instance."""
        for number in range(rounds):
            self.now += ROUND_INTERVAL_S
            if number % PROBE_INTERVAL_ROUNDS == 0:
                self.record_due_probes()
            for gossip in self.gossips.values():
                began = time.process_time()
                actions = gossip.run_round(self.now)
                self.seconds += time.process_time() - began
                self.deliver(actions)

    def record_due_probes(self) -> None:
        """Records findings of the probes that are due at each instance."""
        for gossip in self.gossips.values():
            began = time.process_time()
            due = [
                name
                for name, place in self.upstreams.items()
                if gossip.findings.probe_due(name, place, self.now)
            ]
            self.seconds += time.process_time() - began
            for name in due:
                load = 0.95 if self.rng.random() < CHANGED_FRACTION else 0.1
                finding = Finding(name, {"leases": [(1, 1)]}, load, False)
                gossip.findings.record(finding, self.now)

    def deliver(self, actions: list[GossipAction]) -> None:
        """Delivers messages and all messages sent in response to them."""
        waiting = list(actions)
        while waiting:
            action = waiting.pop()
            if not isinstance(action, SendPeerMessage):
                continue
            began = time.process_time()
            data = seal(action.message, MESSAGE_KEY)
            self.bytes += len(data)
            self.messages += 1
            receiver = self.gossips.get(action.address)
            if receiver is not None:
                waiting += receiver.receive(unseal(data, MESSAGE_KEY), self.now)
            self.seconds += time.process_time() - began


def measure_traffic(nodes: int, seed: int) -> Traffic:
    """Returns the mean cost for one node of a settled fleet."""
    fleet = GossipFleet(nodes, seed)
    fleet.run(SETTLING_ROUNDS)
    fleet.bytes = fleet.messages = 0
    fleet.seconds = 0.0
    fleet.run(MEASURED_ROUNDS)
    share = nodes * MEASURED_ROUNDS * ROUND_INTERVAL_S
    return Traffic(
        fleet.bytes / share, fleet.messages / share, fleet.seconds / share
    )
