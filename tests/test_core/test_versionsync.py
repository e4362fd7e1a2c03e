"""Tests of the sync of configuration versions, on virtual time."""

from __future__ import annotations

import random

import testtools

from arbutusbridge.bench._publishing import Operators
from arbutusbridge.core.configuration import (
    RETAINED_VERSIONS,
    Head,
    compute_digest,
    decode_head_record,
    pack,
)
from arbutusbridge.core.peers.peeractions import SendPeerMessage
from arbutusbridge.core.peers.peerwire import Piece
from arbutusbridge.replay.fleet import Fleet, FleetNode
from arbutusbridge.settings import compile_version


class VersionSyncTest(testtools.TestCase):
    """Syncs six instances in two data centres."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(1, compile_version)
        for number in range(6):
            self.fleet.start(f"i{number}", "ab"[number % 2])
        self.operators = Operators(self.fleet)
        self.fleet.run_until(10.0)

    def publish(self, seconds: float = 10.0) -> None:
        self.operators.publish()
        self.fleet.run_until(self.fleet.now + seconds)

    def versions(self) -> list[int]:
        nodes = sorted(self.fleet.nodes.items())
        return [node.version_sync.head.version for _, node in nodes]

    def outcomes(self) -> list[str]:
        return sorted(told.outcome for told in self.operators.told)

    def heads(self) -> list[Head]:
        values = [value for _, value in self.fleet.platform.heads]
        return [decode_head_record(value).head for value in values]

    def test_of_two_operators_at_once_one_wins(self) -> None:
        self.operators.publish()
        self.publish()
        self.assertEqual(["accepted", "conflict"], self.outcomes())
        self.assertEqual([1] * 6, self.versions())

    def test_lost_reply_is_reported_as_accepted(self) -> None:
        self.fleet.platform.faults.reply_loss_ratio = 1.0
        self.operators.publish()
        self.fleet.run_until(self.fleet.now + 1.0)
        self.fleet.platform.faults.reply_loss_ratio = 0.0
        self.fleet.run_until(self.fleet.now + 20.0)
        self.assertEqual(["accepted"], self.outcomes())
        self.assertEqual([1] * 6, self.versions())

    def test_superseded_winner_is_not_reported_as_lost(self) -> None:
        self.operators.publish()
        self.fleet.run_until(self.fleet.now + 0.006)
        self.fleet.platform.faults.reply_loss_ratio = 1.0
        self.fleet.run_until(self.fleet.now + 0.004)
        self.assertEqual(1, len(self.heads()))
        self.assertEqual([], self.outcomes())
        self.fleet.platform.faults.reply_loss_ratio = 0.0
        self.publish(30.0)
        self.assertEqual(["accepted", "accepted"], self.outcomes())

    def test_version_is_found_without_watch_replies(self) -> None:
        self.fleet.platform.faults.watch_loss_ratio = 1.0
        self.publish(1.0)
        self.publish(17.0)
        self.assertEqual([2] * 6, self.versions())

    def test_new_instance_fetches_the_version_from_peers(self) -> None:
        self.publish()
        self.fleet.platform.faults.down = True
        self.fleet.stop("i0")
        node = self.fleet.start("i0", "a")
        self.assertFalse(node.version_sync.is_settled(self.fleet.now))
        self.fleet.run_until(self.fleet.now + 10.0)
        self.assertTrue(node.version_sync.is_settled(self.fleet.now))
        self.assertEqual([1] * 6, self.versions())

    def test_cut_off_data_centre_serves_on_and_catches_up(self) -> None:
        self.publish()
        self.fleet.partitioned.add("a")
        self.fleet.platform.cut_off.add("a")
        self.publish()
        self.assertEqual([1, 2, 1, 2, 1, 2], self.versions())
        self.fleet.stop("i0")
        node = self.fleet.start("i0", "a")
        self.fleet.run_until(self.fleet.now + 10.0)
        self.assertEqual(1, node.version_sync.head.version)
        self.fleet.partitioned.clear()
        self.fleet.run_until(self.fleet.now + 17.0)
        self.assertEqual([2] * 6, self.versions())

    def test_reverted_store_does_not_revert_instances(self) -> None:
        self.publish()
        first = self.fleet.platform.heads[0][1]
        self.publish()
        entry = self.fleet.platform.store.entries["config/head"]
        entry.value = first
        entry.index += 10
        self.fleet.run_until(self.fleet.now + 30.0)
        self.assertEqual([2] * 6, self.versions())
        watching = [
            n.version_sync.store_behind for n in self.fleet.nodes.values()
        ]
        self.assertIn(True, watching)

    def test_false_version_of_a_peer_neither_reverts_nor_blocks(self) -> None:
        self.publish()
        faulty_peer = self.fleet.nodes["i1"]
        faulty_peer.version_sync.head = Head(50, "lie", compute_digest(b"junk"))
        faulty_peer.version_sync.packed = b"junk"
        faulty_peer.gossip.head = faulty_peer.version_sync.head
        self.fleet.run_until(self.fleet.now + 5.0)
        refused = [n.version_sync.refused for n in self.fleet.nodes.values()]
        self.assertIn("lie", {h.publish_id for r in refused for h in r})
        self.publish(17.0)
        self.assertEqual([2, 50, 2, 2, 2, 2], self.versions())

    def test_unrequested_pieces_are_dropped(self) -> None:
        self.publish()
        sender, receiver = self.fleet.nodes["i0"], self.fleet.nodes["i2"]
        good = pack(self.operators.register, b"{}")
        piece = Piece(9, "x", 0, 1, good)
        self.send_piece(sender, receiver, piece)
        self.fleet.run_until(self.fleet.now + 5.0)
        self.assertEqual([1] * 6, self.versions())

    def send_piece(
        self, sender: FleetNode, receiver: FleetNode, piece: Piece
    ) -> None:
        name = receiver.identity.name
        actions = sender.gossip.serve(name, [piece], self.fleet.now)
        self.assertEqual(
            [SendPeerMessage], [type(action) for action in actions]
        )
        sender.carry_out(actions)

    def test_invalid_version_is_never_partly_applied(self) -> None:
        self.publish()
        operators = self.operators
        good, operators.register = operators.register, b'{"upstreams": 3}'
        self.publish()
        self.assertEqual([1] * 6, self.versions())
        self.assertTrue(all(n.version_sync.refused for n in self.watchers()))
        operators.register = good
        self.publish()
        self.assertEqual([3] * 6, self.versions())

    def watchers(self) -> list[FleetNode]:
        now = self.fleet.now
        nodes = self.fleet.nodes.values()
        return [n for n in nodes if n.membership.is_watcher(now)]

    def test_version_is_read_from_a_slow_store(self) -> None:
        self.publish()
        self.fleet.platform.faults.extra_delay_s = 4.0
        self.publish(40.0)
        self.assertEqual([2] * 6, self.versions())

    def test_others_read_the_store_for_cut_off_watchers(self) -> None:
        self.publish()
        disconnected = {node.identity.name for node in self.watchers()}
        self.assertEqual(4, len(disconnected))
        for name in disconnected:
            node = self.fleet.nodes[name]
            node.read_head = lambda action: None  # type: ignore[method-assign]
        self.publish(17.0)
        self.assertEqual([2] * 6, self.versions())

    def test_old_values_are_removed(self) -> None:
        for _ in range(RETAINED_VERSIONS + 5):
            self.publish(1.0)
        keys = self.fleet.platform.store.entries
        values = [key for key in keys if key.startswith("config/versions/")]
        self.assertEqual(RETAINED_VERSIONS, len(values))

    def test_large_version_arrives_in_pieces_over_lossy_links(self) -> None:
        self.fleet.message_loss_ratio = 0.1
        noise = random.Random(1).randbytes(200_000).hex()
        register = self.operators.register
        self.fleet.validate = lambda head, packed: None
        self.operators.register = register + noise.encode()
        self.publish(17.0)
        self.assertEqual([1] * 6, self.versions())
