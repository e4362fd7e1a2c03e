"""What an instance tells its peers, and what it takes from them.

Every instance sends to a few random peers of its data centre a second; the
first two by rank also send to one peer of another data centre. A message
carries whole tables of heartbeats and a bounded number of other items.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from arbutusbridge.core.configuration import NO_HEAD
from arbutusbridge.core.membership.members import MemberState, is_ip
from arbutusbridge.core.membership.shares import ConnectionShares
from arbutusbridge.core.peers.findings import ProbeFindings
from arbutusbridge.core.peers.gossipqueue import GossipQueue
from arbutusbridge.core.peers.heartbeats import encode_table, take_table
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
    local_targets,
    one_of_each_other,
    other_places,
    remote_targets,
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
"""Time between two rounds of messages."""

FULL_RATE_INSTANCES = 75
"""Instances of a data centre from which on rounds are further apart.

Tables grow with the instances; the bytes a second then do not.
"""

FANOUT = 2
"""Peers of the data centre that a round sends to."""

URGENT_FANOUT = 4
"""Peers of the data centre that a new notice is sent to at once."""

MIN_URGENT_INTERVAL_S = 0.05
"""Least time between two such sendings."""

REMOTE_TABLE_PERIOD = 4
"""Messages of which one carries the heartbeats of another data centre."""

MEMBER_TRANSMISSIONS = 6
"""Messages that carry the word of a new instance on from each instance."""

MAX_NEW_MEMBERS = 2_000
MAX_NOTICES_PER_MESSAGE = 16
MAX_MEMBERS_PER_MESSAGE = 4
MAX_FINDINGS_PER_MESSAGE = 8
MAX_UNKNOWN_PER_MESSAGE = 64
MAX_GREETING_ITEMS = 400
MAX_SHARE_REQUESTS_PER_ROUND = 32
"""Instances that a starting one asks for their word in one round at most."""

MIN_GREETING_INTERVAL_S = 1.0
"""Least time between two greetings to one instance."""

MAX_GREETINGS_PER_ROUND = 5
"""Greetings to all instances together between two rounds at most."""

MAX_PEER_MESSAGES_PER_ROUND = 100
"""Messages of one peer taken between two rounds at most."""


class Gossip:
    """Exchanges heartbeats and findings with a few peers a round.

    Attributes:
      membership: The instances known.
      notices: Findings about requests and upstreams.
      findings: What probes found, by any instance of the data centre.
      shares: This instance's part in the sharing of connections.
      state: What this instance says of itself.
      head: Configuration version in force here.
      head_known_at: When that head was last known to stand, or None.
      seeds: Peers' addresses from the settings, for a start without list.
      refused: Messages refused, by reason.
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
        self.head_known_at: float | None = None
        self.sequence = 0
        self.new_members: GossipQueue[str] = GossipQueue(MAX_NEW_MEMBERS)
        self.sequences: dict[str, tuple[int, int]] = {}
        self.taken: dict[str, int] = {}
        self.greeted: dict[str, float] = {}
        self.greetings = 0
        self.urgent_at = 0.0
        self.rounds = 0
        self.refused: dict[str, int] = {}

    def round(self, now: float) -> list[GossipAction]:
        """Returns the messages of one round."""
        self.rounds += 1
        self.taken.clear()
        self.greetings = 0
        for name in self.membership.expire(now):
            self.sequences.pop(name, None)
        self.forget_greeted(now)
        self.notices.drop_old(now)
        out: list[GossipAction] = []
        membership = self.membership
        targets = remote_targets(membership, self.rng, self.rounds, now)
        # Whoever tells another data centre tells one peer less of its own.
        count = FANOUT - len(targets)
        targets += local_targets(membership, self.rng, count, now)
        out += [self.news(member, now) for member in targets]
        self.shares.step(now)
        out += self.ask_for_shares(now)
        if not membership.live_others(now):
            out += [
                SendPeerMessage(address, self.hello()) for address in self.seeds
            ]
        return out

    def wait(self) -> float:
        """Returns the seconds until the next round."""
        place = self.membership.me.data_centre
        instances = 1 + len(self.membership.names_at(place))
        slower = max(1.0, instances / FULL_RATE_INSTANCES)
        return ROUND_INTERVAL_S * slower * self.rng.uniform(0.9, 1.1)

    def ask_for_shares(self, now: float) -> list[SendPeerMessage]:
        """Asks some of those whose word a starting instance waits for."""
        names = self.shares.unconfirmed(now)
        count = min(MAX_SHARE_REQUESTS_PER_ROUND, len(names))
        out = []
        for name in self.rng.sample(names, count):
            action = self.to_member(self.membership.members[name], now)
            share = action.message.share
            action.message.share = replace(share, asks=True)
            out.append(action)
        return out

    def forget_greeted(self, now: float) -> None:
        """Forgets greetings that no longer hold back another."""
        self.greeted = {
            name: at
            for name, at in self.greeted.items()
            if now - at < MIN_GREETING_INTERVAL_S
        }

    def hello(self) -> PeerMessage:
        """Returns a first contact, from which nothing but itself is taken."""
        self.sequence += 1
        return PeerMessage(
            self.membership.me, 0, self.sequence, self.state, self.head
        )

    def bare(self, receiver: Identity, now: float) -> PeerMessage:
        """Returns a message that carries nothing but its heartbeat."""
        message = self.hello()
        message.receiver = receiver.incarnation
        message.head_age = age_of(self.head_known_at, now)
        message.list_age = age_of(self.membership.list_read_at, now)
        message.counted = self.membership.known()
        message.share = self.shares.word(now)
        return message

    def to_member(self, member: Member, now: float) -> SendPeerMessage:
        """Returns a bare message to a member."""
        identity = member.identity
        return SendPeerMessage(identity.address, self.bare(identity, now))

    def news(self, member: Member, now: float) -> SendPeerMessage:
        """Returns a message with what a member should hear now."""
        action = self.to_member(member, now)
        message = action.message
        if not message.receiver:
            return action
        place = member.identity.data_centre
        message.beats = self.tables(place, now)
        message.notices = self.notices.take(MAX_NOTICES_PER_MESSAGE, now)
        names = self.new_members.take(MAX_MEMBERS_PER_MESSAGE)
        message.members = self.membership.identities(names, now)
        if place == self.membership.me.data_centre:
            message.findings = self.findings.take(MAX_FINDINGS_PER_MESSAGE, now)
        return action

    def tables(self, receiver_place: str, now: float) -> list[bytes]:
        """Returns the heartbeats that a peer in a data centre should hear."""
        own = self.membership.me.data_centre
        places = [own]
        others = other_places(self.membership)
        turn, rest = divmod(self.sequence, REMOTE_TABLE_PERIOD)
        if receiver_place == own and not rest and others:
            places.append(others[turn % len(others)])
        return [self.table(place, now) for place in places]

    def table(self, place: str, now: float) -> bytes:
        """Returns the heartbeats of one data centre."""
        membership = self.membership
        found = [membership.members[n] for n in membership.names_at(place)]
        members = [member for member in found if member.gone_at is None]
        return encode_table(members, self.head.version, now)

    def tell(self, notice: Notice, now: float) -> list[GossipAction]:
        """Spreads a finding of this instance at once."""
        if not self.notices.note(notice, now):
            return []
        out = self.spread_urgently(now)
        others = one_of_each_other(self.membership, self.rng, now)
        out += [self.news(member, now) for member in others]
        return out

    def spread_urgently(self, now: float) -> list[GossipAction]:
        """Returns messages to a few peers, not too soon after the last."""
        if now - self.urgent_at < MIN_URGENT_INTERVAL_S:
            return []
        self.urgent_at = now
        targets = local_targets(self.membership, self.rng, URGENT_FANOUT, now)
        return [self.news(member, now) for member in targets]

    def announce(self, now: float) -> list[SendPeerMessage]:
        """Tells a few peers at once that a version came into force here."""
        targets = local_targets(self.membership, self.rng, URGENT_FANOUT, now)
        if self.membership.is_watcher(now):
            targets += one_of_each_other(self.membership, self.rng, now)
        return [self.to_member(member, now) for member in targets]

    def ask(
        self, peer: str, version: int, first: int, now: float
    ) -> list[SendPeerMessage]:
        """Asks a peer for a window of pieces of a version."""
        member = self.membership.members.get(peer)
        if member is None:
            return []
        action = self.to_member(member, now)
        action.message.wanted = version
        action.message.wanted_from = first
        return [action]

    def serve(
        self, peer: str, pieces: list[Piece], now: float
    ) -> list[SendPeerMessage]:
        """Sends pieces, one a message, or without any just the head."""
        member = self.membership.members.get(peer)
        if member is None:
            return []
        if not pieces:
            return [self.to_member(member, now)]
        out = []
        for piece in pieces:
            action = self.to_member(member, now)
            action.message.pieces = [piece]
            out.append(action)
        return out

    def take(self, message: PeerMessage, now: float) -> list[GossipAction]:
        """Takes a peer's message that was unsealed."""
        sender = message.sender
        if sender.name == self.membership.me.name:
            return self.refuse("own_name")
        if not is_ip(sender.ip):
            return self.refuse("address")
        if message.receiver != self.membership.me.incarnation:
            return self.greet(message, now)
        if not self.is_new(sender, message.sequence):
            return self.refuse("replayed")
        self.taken[sender.name] = self.taken.get(sender.name, 0) + 1
        if self.taken[sender.name] > MAX_PEER_MESSAGES_PER_ROUND:
            return self.refuse("flood")
        return self.take_fresh(message, now)

    def refuse(self, reason: str) -> list[GossipAction]:
        """Counts a refused message."""
        self.refused[reason] = self.refused.get(reason, 0) + 1
        return []

    def is_new(self, sender: Identity, sequence: int) -> bool:
        """Tells whether a message was not taken before, and notes it."""
        last = self.sequences.get(sender.name, (0, 0))
        if (sender.incarnation, sequence) <= last:
            return False
        self.sequences[sender.name] = (sender.incarnation, sequence)
        return True

    def greet(self, message: PeerMessage, now: float) -> list[GossipAction]:
        """Answers a first contact with all that a newcomer should hear."""
        self.membership.outdo(message.receiver)
        sender = message.sender
        if sender.name in self.greeted:
            return []
        if self.greetings >= MAX_GREETINGS_PER_ROUND:
            return self.refuse("greetings")
        self.greetings += 1
        self.greeted[sender.name] = now
        return [
            SendPeerMessage(sender.address, answer)
            for answer in self.greeting(sender, now)
        ]

    def greeting(self, receiver: Identity, now: float) -> list[PeerMessage]:
        """Returns the messages that a newcomer is answered with."""
        messages = []
        members = self.membership.identities(list(self.membership.members), now)
        notices = self.notices.all(now)
        findings = []
        if receiver.data_centre == self.membership.me.data_centre:
            findings = self.findings.all(now)
        longest = max(len(members), len(notices), len(findings))
        for start in range(0, longest, MAX_GREETING_ITEMS):
            message = self.bare(receiver, now)
            end = start + MAX_GREETING_ITEMS
            message.members = members[start:end]
            message.notices = notices[start:end]
            message.findings = findings[start:end]
            messages.append(message)
        last = self.bare(receiver, now)
        places = self.membership.data_centres()
        last.beats = [self.table(place, now) for place in places]
        return [*messages, last]

    def take_fresh(
        self, message: PeerMessage, now: float
    ) -> list[GossipAction]:
        """Takes a message that is new and meant for this incarnation."""
        sender = message.sender
        head = message.head
        membership = self.membership
        self.meet(sender, now)
        membership.hear(sender.name, now, head.version, message.state)
        membership.hear_count(sender.name, message.counted, now)
        self.shares.hear(sender, message.share)
        if message.list_age is not None:
            membership.hear_list_read(now - message.list_age)
        for identity in message.members:
            if is_ip(identity.ip):
                self.meet(identity, now)
        out: list[GossipAction] = []
        if message.share.asks:
            answer = self.bare(sender, now)
            out.append(SendPeerMessage(sender.address, answer))
        try:
            self.take_tables(message, now, out)
        except ProtocolError:
            return self.refuse("table")
        if message.unknown:
            out.append(self.introduce(message, now))
        if head.version:
            out.append(DeliverHead(sender.name, head, message.head_age))
        self.take_notices(message.notices, now, out)
        for finding in message.findings:
            if self.findings.hear(finding, now):
                out.append(DeliverFinding(finding))
        if message.wanted:
            wanted = (message.wanted, message.wanted_from)
            out.append(DeliverPieceRequest(sender.name, *wanted))
        out += [DeliverPiece(sender.name, piece) for piece in message.pieces]
        return out

    def meet(self, identity: Identity, now: float) -> None:
        """Notes who an instance is, and tells it on when that is new."""
        known = self.membership.members.get(identity.name)
        member = self.membership.meet(identity, now)
        if member is None or member.identity.incarnation == 0:
            return
        if known is None or member.identity is identity:
            self.new_members.add(
                identity.name, identity.name, MEMBER_TRANSMISSIONS
            )

    def take_tables(
        self, message: PeerMessage, now: float, out: list[GossipAction]
    ) -> None:
        """Takes heartbeats told on; asks who unknown instances are."""
        unknown: list[bytes] = []
        for table in message.beats:
            version = message.head.version
            unknown += take_table(self.membership, table, version, now)
        member = self.membership.members.get(message.sender.name)
        if unknown and member is not None:
            action = self.to_member(member, now)
            action.message.unknown = unknown[:MAX_UNKNOWN_PER_MESSAGE]
            out.append(action)

    def introduce(self, message: PeerMessage, now: float) -> SendPeerMessage:
        """Tells a peer who the instances are that it does not know."""
        names = self.membership.names
        found = [names[key] for key in message.unknown if key in names]
        answer = self.bare(message.sender, now)
        answer.members = self.membership.identities(found, now)
        return SendPeerMessage(message.sender.address, answer)

    def take_notices(
        self, notices: list[Notice], now: float, out: list[GossipAction]
    ) -> None:
        """Takes notices and tells new ones on at once."""
        new = [notice for notice in notices if self.notices.note(notice, now)]
        out += [DeliverNotice(notice) for notice in new]
        if new:
            out += self.spread_urgently(now)


def age_of(at: float | None, now: float) -> float | None:
    """Returns the seconds since a time, None for never."""
    return None if at is None else max(0.0, now - at)
