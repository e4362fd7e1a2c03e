"""Tests of the gossip between instances."""

from __future__ import annotations

import random

import testtools

from arbutusbridge.core.membership.members import (
    Identity,
    ListedInstance,
    Member,
    MemberState,
)
from arbutusbridge.core.membership.membership import (
    REMOVAL_TIMEOUT_S,
    Membership,
)
from arbutusbridge.core.messages import Notice, NoticeKind
from arbutusbridge.core.peers.gossip import Gossip
from arbutusbridge.core.peers.peeractions import DeliverNotice, SendPeerMessage
from arbutusbridge.core.peers.peerwire import (
    PeerMessage,
    derive_key,
    seal,
    unseal,
)
from arbutusbridge.errors import ProtocolError

KEY = derive_key("a secret of enough length", "test")
LEAVING = Notice(NoticeKind.LEAVING, "u1")


def make_gossip(number: int, place: str = "dc", start: int = 1) -> Gossip:
    """Returns the gossip state of one instance."""
    me = Identity(f"i{number}", place, "127.0.0.1", number + 1, start)
    return Gossip(Membership(me), random.Random(number))


class Network:
    """Delivers messages between instances at once, encoded and decoded."""

    def __init__(self, *gossips: Gossip) -> None:
        self.gossips = {g.membership.me.port: g for g in gossips}
        self.sent: list[PeerMessage] = []
        self.heard: list[tuple[str, Notice]] = []
        entries = [ListedInstance(g.membership.me) for g in gossips]
        for gossip in gossips:
            gossip.membership.apply_list(entries, 0.0)

    def carry(self, actions: list, now: float) -> None:
        for action in actions:
            if isinstance(action, SendPeerMessage):
                self.sent.append(action.message)
                message = unseal(seal(action.message, KEY), KEY)
                gossip = self.gossips.get(action.address[1])
                if gossip is not None:
                    name = gossip.membership.me.name
                    taken = gossip.receive(message, now)
                    self.heard += [
                        (name, a.notice)
                        for a in taken
                        if isinstance(a, DeliverNotice)
                    ]
                    self.carry(taken, now)

    def run(self, start: int, end: int) -> None:
        for now in range(start, end):
            for gossip in list(self.gossips.values()):
                self.carry(gossip.run_round(float(now)), float(now))


class GossipTest(testtools.TestCase):
    """Gossip over a network without delay or loss."""

    def test_notice_reaches_each_instance_once(self) -> None:
        network = Network(*(make_gossip(n, f"dc{n % 3}") for n in range(8)))
        network.run(0, 5)
        network.carry(network.gossips[1].broadcast(LEAVING, 5.0), 5.0)
        network.run(5, 8)
        names = [name for name, _ in network.heard]
        self.assertEqual([f"i{n}" for n in range(1, 8)], sorted(names))

    def test_replayed_message_changes_nothing(self) -> None:
        network = Network(make_gossip(0), make_gossip(1))
        network.run(0, 3)
        network.carry(network.gossips[1].broadcast(LEAVING, 3.0), 3.0)
        with_notices = [m for m in network.sent if m.notices]
        receiver = network.gossips[2]
        self.assertEqual([], receiver.receive(with_notices[0], 4.0))
        self.assertEqual({"replayed": 1}, receiver.refused)
        restarted = make_gossip(1, start=2)
        answers = restarted.receive(with_notices[0], 4.0)
        self.assertEqual({SendPeerMessage}, {type(a) for a in answers})
        self.assertEqual({}, restarted.membership.members)

    def test_flood_from_one_peer_does_not_block_others(self) -> None:
        network = Network(*(make_gossip(n) for n in range(3)))
        network.run(0, 3)
        flooder, receiver, honest = network.gossips.values()
        for _ in range(500):
            message = flooder.send_update(
                Member(receiver.membership.me, 0.0), 3.0
            ).message
            receiver.receive(message, 3.0)
        self.assertEqual({"flood"}, set(receiver.refused))
        honest.notices.add_notice(LEAVING, 3.0)
        message = honest.send_update(
            Member(receiver.membership.me, 0.0), 3.0
        ).message
        heard = receiver.receive(message, 3.0)
        self.assertIn(DeliverNotice(LEAVING), heard)

    def test_forged_or_damaged_bytes_are_refused(self) -> None:
        gossip = make_gossip(0)
        data = seal(gossip.make_hello(), KEY)
        other_key = derive_key("another secret of length", "test")
        rng = random.Random(1)
        for _ in range(300):
            at = rng.randrange(len(data))
            flipped = bytes([data[at] ^ 1 << rng.randrange(8)])
            damaged = data[:at] + flipped + data[at + 1 :]
            self.assertRaises(ProtocolError, unseal, damaged, KEY)
            self.assertRaises(ProtocolError, unseal, data[:at], KEY)
        self.assertRaises(ProtocolError, unseal, data, other_key)

    def test_authenticated_invalid_message_is_refused(self) -> None:
        message = make_gossip(0).make_hello()
        message.beats = [b"\x00" * 9]
        receiver = make_gossip(1)
        receiver.membership.observe(message.sender, 0.0)
        message.receiver = receiver.membership.me.incarnation
        receiver.receive(unseal(seal(message, KEY), KEY), 0.0)
        self.assertEqual({"table": 1}, receiver.refused)
        for wrong in (-1, "x", 2**63, None):
            message.sequence = wrong  # type: ignore[assignment]
            data = seal(message, KEY)
            self.assertRaises(ProtocolError, unseal, data, KEY)

    def test_stopped_instance_no_longer_counts_and_a_silent_one_does(
        self,
    ) -> None:
        network = Network(*(make_gossip(n) for n in range(4)))
        network.run(0, 5)
        network.gossips[1].state = MemberState.STOPPED
        network.run(5, 9)
        del network.gossips[1], network.gossips[2]
        network.run(9, int(REMOVAL_TIMEOUT_S))
        watcher = network.gossips[3]
        self.assertEqual(3, watcher.membership.counted(REMOVAL_TIMEOUT_S))
        live = [
            ListedInstance(g.membership.me) for g in network.gossips.values()
        ]
        watcher.membership.apply_list(live, REMOVAL_TIMEOUT_S)
        network.run(int(REMOVAL_TIMEOUT_S), int(REMOVAL_TIMEOUT_S) + 20)
        counts = {g.membership.counted(999.0) for g in network.gossips.values()}
        self.assertEqual({2}, counts)

    def test_unreadable_list_removes_no_instance(self) -> None:
        membership = make_gossip(0).membership
        membership.observe(Identity("a", "dc", "127.0.0.1", 5, 1), 0.0)
        self.assertEqual([], membership.expire(50 * REMOVAL_TIMEOUT_S))
        membership.apply_list([], 50 * REMOVAL_TIMEOUT_S)
        self.assertEqual(2, membership.counted(0.0))
        membership.expire(50 * REMOVAL_TIMEOUT_S)
        self.assertEqual(1, membership.counted(0.0))
