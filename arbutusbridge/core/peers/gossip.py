"""Gossip between instances: heartbeats, notices and findings.

Each round, every instance sends messages to a few random peers of its data
centre. The two with the lowest ranks also send one to a peer of another data
centre. A message carries complete heartbeat tables and a bounded number of
other items.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from arbutusbridge.core.configuration import NO_HEAD
from arbutusbridge.core.membership.members import MemberState, is_ip
from arbutusbridge.core.membership.shares import ConnectionShares
from arbutusbridge.core.peers.findings import ProbeFindings
from arbutusbridge.core.peers.gossipqueue import GossipQueue
from arbutusbridge.core.peers.heartbeats import apply_table, encode_table
from arbutusbridge.core.peers.notices import Notices
from arbutusbridge.core.peers.peeractions import (
    DeliverFinding,
    DeliverHead,
    DeliverNotice,
    DeliverPiece,
    DeliverPieceRequest,
    GossipAction,
    SendPeerMessage,
)
from arbutusbridge.core.peers.peerwire import PeerMessage
from arbutusbridge.core.peers.targets import (
    other_data_centres,
    pick_local_peers,
    pick_one_per_data_centre,
    pick_remote_peer,
)
from arbutusbridge.errors import ProtocolError

if TYPE_CHECKING:
    import random

    from arbutusbridge.core.configuration import Head
    from arbutusbridge.core.membership.members import Identity, Member
    from arbutusbridge.core.membership.membership import Membership
    from arbutusbridge.core.messages import Notice
    from arbutusbridge.core.peers.peerwire import Piece

ROUND_INTERVAL_S = 1.0
"""Interval between two rounds of messages."""

FULL_RATE_INSTANCES = 75
"""Number of instances of a data centre above which rounds slow down.

Tables grow with the number of instances. The longer interval keeps the bytes
per second from growing.
"""

FANOUT = 2
"""Number of peers that a round sends to."""

URGENT_FANOUT = 4
"""Number of peers of the data centre that a new notice is sent to at once."""

MIN_URGENT_INTERVAL_S = 0.05
"""Minimum interval between two urgent updates."""

REMOTE_TABLE_PERIOD = 4
"""Number of messages of which one carries another data centre's table."""

MEMBER_TRANSMISSIONS = 6
"""Number of messages in which each instance announces a new instance."""

MAX_QUEUED_MEMBERS = 2_000
MAX_NOTICES_PER_MESSAGE = 16
MAX_MEMBERS_PER_MESSAGE = 4
MAX_FINDINGS_PER_MESSAGE = 8
MAX_UNKNOWN_PER_MESSAGE = 64
MAX_GREETING_ITEMS_PER_MESSAGE = 400
"""Maximum number of items of one kind in a message that greets a newcomer."""

MAX_SHARE_REQUESTS_PER_ROUND = 32
"""Maximum number of share statuses that a starting instance asks for."""

MIN_GREETING_INTERVAL_S = 1.0
"""Minimum interval between two greetings to one instance."""

MAX_GREETINGS_PER_ROUND = 5
"""Maximum number of greetings to all instances together per round."""

MAX_PEER_MESSAGES_PER_ROUND = 100
"""Maximum number of messages accepted from one peer per round."""


class Gossip:
    """Exchanges heartbeats, notices and findings with a few peers per round.

    Attributes:
      membership: Known instances.
      seeds: Addresses of peers from the settings, for a start without the
        instance list.
      notices: Notices about requests and upstreams.
      findings: Findings of the probes by all instances of the data centre.
      shares: State of this instance in the division of connections.
      state: State that this instance reports of itself.
      head: Configuration version in force here.
      head_confirmed_at: Time at which that version was last known to be the
        newest, or None.
      sequence: Sequence number of the last message sent.
      new_members: Names of new instances that are yet to be announced.
      last_sequences: Incarnation and sequence number last accepted, by peer.
      taken: Number of messages accepted in this round, by peer.
      greeted_at: Time of the last greeting, by instance.
      greetings: Number of greetings sent in this round.
      last_urgent_at: Time of the last urgent update.
      rounds: Number of rounds so far.
      refused: Number of refused messages, by reason.
    """

    def __init__(
        self,
        membership: Membership,
        rng: random.Random,
        seeds: tuple[tuple[str, int], ...] = (),
    ) -> None:
        self.membership = membership
        self.rng = rng
        self.seeds = seeds
        self.notices = Notices()
        self.findings = ProbeFindings(membership, rng)
        self.shares = ConnectionShares(membership)
        self.state = MemberState.SERVING
        self.head: Head = NO_HEAD
        self.head_confirmed_at: float | None = None
        self.sequence = 0
        self.new_members: GossipQueue[str] = GossipQueue(MAX_QUEUED_MEMBERS)
        self.last_sequences: dict[str, tuple[int, int]] = {}
        self.taken: dict[str, int] = {}
        self.greeted_at: dict[str, float] = {}
        self.greetings = 0
        self.last_urgent_at = 0.0
        self.rounds = 0
        self.refused: dict[str, int] = {}

    def run_round(self, now: float) -> list[GossipAction]:
        """Runs one round and returns the messages to send."""
        self.rounds += 1
        self.taken.clear()
        self.greetings = 0
        for name in self.membership.expire(now):
            self.last_sequences.pop(name, None)
        self.drop_old_greetings(now)
        self.notices.drop_expired(now)
        out: list[GossipAction] = []
        membership = self.membership
        targets = pick_remote_peer(membership, self.rng, self.rounds, now)
        # A message to another data centre replaces one to a local peer.
        count = FANOUT - len(targets)
        targets += pick_local_peers(membership, self.rng, count, now)
        out += [self.send_update(member, now) for member in targets]
        self.shares.update(now)
        out += self.request_share_statuses(now)
        if not membership.has_live_peers(now):
            out += [
                SendPeerMessage(address, self.make_hello())
                for address in self.seeds
            ]
        return out

    def wait(self) -> float:
        """Returns the seconds until the next round."""
        place = self.membership.me.data_centre
        instances = 1 + len(self.membership.names_in(place))
        slower = max(1.0, instances / FULL_RATE_INSTANCES)
        return ROUND_INTERVAL_S * slower * self.rng.uniform(0.9, 1.1)

    def request_share_statuses(self, now: float) -> list[SendPeerMessage]:
        """Asks some instances for the confirmations that are missing.

        A starting instance needs them before it holds connections.
        """
        names = self.shares.unconfirmed(now)
        count = min(MAX_SHARE_REQUESTS_PER_ROUND, len(names))
        out = []
        for name in self.rng.sample(names, count):
            action = self.send_heartbeat(self.membership.members[name], now)
            share = action.message.share
            action.message.share = replace(share, asks=True)
            out.append(action)
        return out

    def drop_old_greetings(self, now: float) -> None:
        """Forgets greetings that are older than the minimum interval."""
        self.greeted_at = {
            name: at
            for name, at in self.greeted_at.items()
            if now - at < MIN_GREETING_INTERVAL_S
        }

    def make_hello(self) -> PeerMessage:
        """Returns a first message, which only introduces this instance."""
        self.sequence += 1
        return PeerMessage(
            self.membership.me, 0, self.sequence, self.state, self.head
        )

    def make_heartbeat(self, receiver: Identity, now: float) -> PeerMessage:
        """Returns a message with nothing but this instance's own state."""
        message = self.make_hello()
        message.receiver = receiver.incarnation
        message.head_age = age_of(self.head_confirmed_at, now)
        message.list_age = age_of(self.membership.list_read_at, now)
        message.counted = self.membership.count_known()
        message.share = self.shares.current_status(now)
        return message

    def send_heartbeat(self, member: Member, now: float) -> SendPeerMessage:
        """Returns the action that sends a member a heartbeat alone."""
        identity = member.identity
        return SendPeerMessage(
            identity.address, self.make_heartbeat(identity, now)
        )

    def send_update(self, member: Member, now: float) -> SendPeerMessage:
        """Returns the action that sends a member all pending items."""
        action = self.send_heartbeat(member, now)
        message = action.message
        if not message.receiver:
            return action
        place = member.identity.data_centre
        message.beats = self.make_tables(place, now)
        message.notices = self.notices.take(MAX_NOTICES_PER_MESSAGE, now)
        names = self.new_members.take(MAX_MEMBERS_PER_MESSAGE)
        message.members = self.membership.identities(names, now)
        if place == self.membership.me.data_centre:
            message.findings = self.findings.take(MAX_FINDINGS_PER_MESSAGE, now)
        return action

    def make_tables(self, receiver_place: str, now: float) -> list[bytes]:
        """Returns the heartbeat tables for a peer in a data centre."""
        own = self.membership.me.data_centre
        places = [own]
        others = other_data_centres(self.membership)
        turn, rest = divmod(self.sequence, REMOTE_TABLE_PERIOD)
        if receiver_place == own and not rest and others:
            places.append(others[turn % len(others)])
        return [self.table(place, now) for place in places]

    def table(self, place: str, now: float) -> bytes:
        """Returns the heartbeat table of one data centre."""
        membership = self.membership
        found = [membership.members[n] for n in membership.names_in(place)]
        members = [member for member in found if member.gone_at is None]
        return encode_table(members, self.head.version, now)

    def broadcast(self, notice: Notice, now: float) -> list[GossipAction]:
        """Sends a notice of this instance to a few peers at once."""
        if not self.notices.add_notice(notice, now):
            return []
        out = self.send_urgent_updates(now)
        others = pick_one_per_data_centre(self.membership, self.rng, now)
        out += [self.send_update(member, now) for member in others]
        return out

    def send_urgent_updates(self, now: float) -> list[GossipAction]:
        """Returns updates to a few peers, unless the last were just sent."""
        if now - self.last_urgent_at < MIN_URGENT_INTERVAL_S:
            return []
        self.last_urgent_at = now
        targets = pick_local_peers(
            self.membership, self.rng, URGENT_FANOUT, now
        )
        return [self.send_update(member, now) for member in targets]

    def announce_version(self, now: float) -> list[SendPeerMessage]:
        """Announces to a few peers that a version came into force here."""
        targets = pick_local_peers(
            self.membership, self.rng, URGENT_FANOUT, now
        )
        if self.membership.is_watcher(now):
            targets += pick_one_per_data_centre(self.membership, self.rng, now)
        return [self.send_heartbeat(member, now) for member in targets]

    def request_pieces(
        self, peer: str, version: int, first: int, now: float
    ) -> list[SendPeerMessage]:
        """Requests a window of pieces of a version from a peer.

        Args:
          peer: Name of the peer.
          version: Number of the version.
          first: Number of the first piece.
          now: Current time.
        """
        member = self.membership.members.get(peer)
        if member is None:
            return []
        action = self.send_heartbeat(member, now)
        action.message.wanted = version
        action.message.wanted_from = first
        return [action]

    def serve(
        self, peer: str, pieces: list[Piece], now: float
    ) -> list[SendPeerMessage]:
        """Sends pieces, one per message, or a heartbeat if there are none."""
        member = self.membership.members.get(peer)
        if member is None:
            return []
        if not pieces:
            return [self.send_heartbeat(member, now)]
        out = []
        for piece in pieces:
            action = self.send_heartbeat(member, now)
            action.message.pieces = [piece]
            out.append(action)
        return out

    def receive(self, message: PeerMessage, now: float) -> list[GossipAction]:
        """Handles a verified message from a peer."""
        sender = message.sender
        if sender.name == self.membership.me.name:
            return self.refuse("own_name")
        if not is_ip(sender.ip):
            return self.refuse("address")
        if message.receiver != self.membership.me.incarnation:
            return self.answer_first_contact(message, now)
        if not self.accept_sequence(sender, message.sequence):
            return self.refuse("replayed")
        self.taken[sender.name] = self.taken.get(sender.name, 0) + 1
        if self.taken[sender.name] > MAX_PEER_MESSAGES_PER_ROUND:
            return self.refuse("flood")
        return self.process_message(message, now)

    def refuse(self, reason: str) -> list[GossipAction]:
        """Counts a refused message and returns no actions."""
        self.refused[reason] = self.refused.get(reason, 0) + 1
        return []

    def accept_sequence(self, sender: Identity, sequence: int) -> bool:
        """Returns whether a sequence number is new, and records it."""
        last = self.last_sequences.get(sender.name, (0, 0))
        if (sender.incarnation, sequence) <= last:
            return False
        self.last_sequences[sender.name] = (sender.incarnation, sequence)
        return True

    def answer_first_contact(
        self, message: PeerMessage, now: float
    ) -> list[GossipAction]:
        """Answers a first message with all that a newcomer needs to know."""
        self.membership.supersede_incarnation(message.receiver)
        sender = message.sender
        if sender.name in self.greeted_at:
            return []
        if self.greetings >= MAX_GREETINGS_PER_ROUND:
            return self.refuse("greetings")
        self.greetings += 1
        self.greeted_at[sender.name] = now
        return [
            SendPeerMessage(sender.address, answer)
            for answer in self.make_greeting(sender, now)
        ]

    def make_greeting(
        self, receiver: Identity, now: float
    ) -> list[PeerMessage]:
        """Returns the messages that answer a newcomer's first message."""
        messages = []
        members = self.membership.identities(list(self.membership.members), now)
        notices = self.notices.all(now)
        findings = []
        if receiver.data_centre == self.membership.me.data_centre:
            findings = self.findings.all(now)
        item_count = max(len(members), len(notices), len(findings))
        for start in range(0, item_count, MAX_GREETING_ITEMS_PER_MESSAGE):
            message = self.make_heartbeat(receiver, now)
            end = start + MAX_GREETING_ITEMS_PER_MESSAGE
            message.members = members[start:end]
            message.notices = notices[start:end]
            message.findings = findings[start:end]
            messages.append(message)
        last = self.make_heartbeat(receiver, now)
        places = self.membership.data_centres()
        last.beats = [self.table(place, now) for place in places]
        return [*messages, last]

    def process_message(
        self, message: PeerMessage, now: float
    ) -> list[GossipAction]:
        """Handles a new message that is addressed to this incarnation."""
        sender = message.sender
        head = message.head
        membership = self.membership
        self.record_identity(sender, now)
        membership.record_heartbeat(
            sender.name, now, head.version, message.state
        )
        membership.record_reported_count(sender.name, message.counted, now)
        self.shares.record_status(sender, message.share)
        if message.list_age is not None:
            membership.record_list_read(now - message.list_age)
        for identity in message.members:
            if is_ip(identity.ip):
                self.record_identity(identity, now)
        out: list[GossipAction] = []
        if message.share.asks:
            answer = self.make_heartbeat(sender, now)
            out.append(SendPeerMessage(sender.address, answer))
        try:
            self.receive_tables(message, now, out)
        except ProtocolError:
            return self.refuse("table")
        if message.unknown:
            out.append(self.send_identities(message, now))
        if head.version:
            out.append(DeliverHead(sender.name, head, message.head_age))
        self.receive_notices(message.notices, now, out)
        for finding in message.findings:
            if self.findings.accept(finding, now):
                out.append(DeliverFinding(finding))
        if message.wanted:
            wanted = (message.wanted, message.wanted_from)
            out.append(DeliverPieceRequest(sender.name, *wanted))
        out += [DeliverPiece(sender.name, piece) for piece in message.pieces]
        return out

    def record_identity(self, identity: Identity, now: float) -> None:
        """Records an identity, and queues it for announcement if it is new."""
        existing = self.membership.members.get(identity.name)
        member = self.membership.observe(identity, now)
        if member is None or member.identity.incarnation == 0:
            return
        if existing is None or member.identity is identity:
            self.new_members.add(
                identity.name, identity.name, MEMBER_TRANSMISSIONS
            )

    def receive_tables(
        self, message: PeerMessage, now: float, out: list[GossipAction]
    ) -> None:
        """Applies heartbeat tables; requests unknown instances' identities."""
        unknown: list[bytes] = []
        for table in message.beats:
            version = message.head.version
            unknown += apply_table(self.membership, table, version, now)
        member = self.membership.members.get(message.sender.name)
        if unknown and member is not None:
            action = self.send_heartbeat(member, now)
            action.message.unknown = unknown[:MAX_UNKNOWN_PER_MESSAGE]
            out.append(action)

    def send_identities(
        self, message: PeerMessage, now: float
    ) -> SendPeerMessage:
        """Sends a peer the identities that it asked for."""
        names = self.membership.names_by_key
        found = [names[key] for key in message.unknown if key in names]
        answer = self.make_heartbeat(message.sender, now)
        answer.members = self.membership.identities(found, now)
        return SendPeerMessage(message.sender.address, answer)

    def receive_notices(
        self, notices: list[Notice], now: float, out: list[GossipAction]
    ) -> None:
        """Handles notices, and forwards new ones at once."""
        new = [
            notice for notice in notices if self.notices.add_notice(notice, now)
        ]
        out += [DeliverNotice(notice) for notice in new]
        if new:
            out += self.send_urgent_updates(now)


def age_of(at: float | None, now: float) -> float | None:
    """Returns the seconds since a time, None if there is none."""
    return None if at is None else max(0.0, now - at)
