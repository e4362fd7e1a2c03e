"""Gossip between instances over pynng sockets."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.membership.members import Identity, MemberState
from arbutusbridge.core.membership.membership import Membership
from arbutusbridge.core.peers.gossip import Gossip
from arbutusbridge.core.peers.peeractions import (
    DeliverFinding,
    DeliverHead,
    DeliverNotice,
    DeliverPiece,
    DeliverPieceRequest,
    SendPeerMessage,
)
from arbutusbridge.core.peers.peerwire import (
    MAX_MESSAGE_BYTES,
    Finding,
    ProtocolMismatchError,
    derive_key,
    seal,
    unseal,
)
from arbutusbridge.daemon.events import (
    allotted,
    config_message,
    counted,
    found_by_peers,
    notice_received,
)
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.peerlinks import PeerLinks, SendResult
from arbutusbridge.errors import ProtocolError

if TYPE_CHECKING:
    import pynng

    from arbutusbridge.core.membership.members import ListedInstance
    from arbutusbridge.core.messages import Notice
    from arbutusbridge.core.model import Configuration, Upstream
    from arbutusbridge.core.peers.peeractions import GossipAction
    from arbutusbridge.core.peers.peerwire import PeerMessage
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.metrics import Metrics
    from arbutusbridge.daemon.subrequests import StatusReport
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.settings import EntrySettings

logger = get_logger(__name__)

INCARNATION_RANDOM_BITS = 16
"""Number of random low bits of an incarnation, below its start time."""


def new_incarnation(rng: random.Random) -> int:
    """Returns an incarnation above those of earlier starts of this instance."""
    milliseconds = int(time.time() * 1000)
    low = rng.getrandbits(INCARNATION_RANDOM_BITS)
    return milliseconds << INCARNATION_RANDOM_BITS | low


class Peers(BaseComponent):
    """Owns the sockets to the peers and the gossip that runs over them.

    Attributes:
      gossip: Gossip protocol of this instance.
      membership: Known instances.
      counted: Instance count last reported.
      links: Sockets to and from the other instances.
    """

    channel = "peers"

    def __init__(
        self,
        settings: EntrySettings,
        hub: SocketHub,
        timers: TimerService,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.timers = timers
        self.metrics = metrics
        self.key = derive_key(settings.peer_secret, settings.namespace)
        own = Identity(
            settings.name,
            settings.data_centre,
            settings.peers.ip,
            settings.peers.port,
            new_incarnation(rng),
        )
        self.membership = Membership(own)
        seeds = tuple((seed.ip, seed.port) for seed in settings.peer_seeds)
        self.gossip = Gossip(self.membership, rng, seeds)
        self.gossip.shares.enforced = True
        self.counted = 0
        self.links = PeerLinks(
            (own.ip, own.port), MAX_MESSAGE_BYTES, hub, self.on_message
        )

    @classmethod
    def from_config(
        cls,
        settings: EntrySettings,
        hub: SocketHub,
        timers: TimerService,
        metrics: Metrics,
        rng: random.Random,
    ) -> Peers:
        """Creates the component from the settings of the instance."""
        return cls(settings, hub, timers, metrics, rng)

    @handler("started", channel="*")
    def on_started(self, _component: Any) -> None:
        """Starts the gossip rounds."""
        self.timers.after(0.0, self.channel, "round")

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Runs one gossip round and schedules the next."""
        self.timers.after(self.gossip.wait(), self.channel, "round")
        now = self.timers.clock()
        self.carry_out(self.gossip.run_round(now))
        self.report_instance_count()
        self.report_allotment(now)

    def report_allotment(self, now: float) -> None:
        """Fires ``allotted`` with this instance's shares and their digest."""
        shares = self.gossip.shares
        event = allotted(shares.allocation(now), shares.digest(now))
        self.fire(event, "queries")
        self.fire(allotted(*event.args), "upstreams")

    @handler("within")
    def on_within(self, digest: bytes) -> None:
        """Records that open connections are within the shares of a digest."""
        self.gossip.shares.record_within_shares(digest)

    def update_instance_list(self, entries: list[ListedInstance]) -> None:
        """Updates the membership from the instance list of the platform."""
        self.membership.apply_list(entries, self.timers.clock())
        self.report_instance_count()

    def report_instance_count(self) -> None:
        """Reports the number of counted instances if it has changed."""
        count = self.membership.counted(self.timers.clock())
        if count != self.counted:
            self.counted = count
            self.metrics.instances.set(count)
            self.fire(counted(count), "queries")

    def broadcast(self, notice: Notice) -> None:
        """Broadcasts a notice to the other instances."""
        self.carry_out(self.gossip.broadcast(notice, self.timers.clock()))

    def probe_due(self, upstream: Upstream) -> bool:
        """Returns whether this instance is to probe an upstream now."""
        now = self.timers.clock()
        return self.gossip.findings.probe_due(
            upstream.name, upstream.data_centre, now
        )

    def share(self, reports: list[StatusReport]) -> None:
        """Records status reports as findings for peers in the data centre."""
        now = self.timers.clock()
        for report in reports:
            held = {name: list(v) for name, v in report.held.items()}
            finding = Finding(
                report.upstream,
                held,
                report.load,
                report.leaving,
                incarnation=report.incarnation,
            )
            self.gossip.findings.record(finding, now)

    @handler("configured", channel="*")
    def on_configured(self, configuration: Configuration) -> None:
        """Discards findings about removed upstreams."""
        self.gossip.findings.retain(set(configuration.upstreams))

    def announce_state(self, state: MemberState) -> None:
        """Announces to the peers that this instance leaves or has stopped."""
        self.gossip.state = state
        now = self.timers.clock()
        self.gossip.last_urgent_at = 0.0
        self.carry_out(self.gossip.send_urgent_updates(now))

    def carry_out(self, actions: list[GossipAction]) -> None:
        """Performs the actions that the gossip protocol returned."""
        findings = [a.finding for a in actions if isinstance(a, DeliverFinding)]
        if findings:
            self.fire(found_by_peers(findings), "queries")
        for action in actions:
            match action:
                case SendPeerMessage():
                    self.send(action.address, action.message)
                case DeliverNotice():
                    self.fire(notice_received(action.notice), "queries")
                case DeliverHead() | DeliverPieceRequest() | DeliverPiece():
                    self.fire(config_message(action), "adoption")

    def send(self, address: tuple[str, int], message: PeerMessage) -> None:
        """Sends a message; it is dropped if the queue to the peer is full."""
        data = seal(message, self.key)
        if len(data) > MAX_MESSAGE_BYTES:
            logger.error("peer message too large", extra={"bytes": len(data)})
            return
        outcome, error = self.links.send(address, data)
        if outcome is SendResult.LINK_FULL:
            self.metrics.peer_refused.labels("link_full").inc()
            return
        if outcome is SendResult.FAILED:
            logger.warning(
                "message to peer not sent",
                extra={"address": address, "error": error},
            )
            return
        self.metrics.peer_bytes.labels("sent").inc(len(data))

    def on_message(self, raw: pynng.Message) -> None:
        """Handles a message; an invalid one closes its connection."""
        data = raw.bytes
        self.metrics.peer_bytes.labels("received").inc(len(data))
        try:
            message = unseal(data, self.key)
        except ProtocolMismatchError:
            self.refuse(raw, "protocol")
            return
        except ProtocolError:
            self.refuse(raw, "forged")
            return
        before = dict(self.gossip.refused)
        self.carry_out(self.gossip.receive(message, self.timers.clock()))
        for reason, count in self.gossip.refused.items():
            new = count - before.get(reason, 0)
            if new:
                self.metrics.peer_refused.labels(reason).inc(new)

    def refuse(self, raw: pynng.Message, reason: str) -> None:
        """Counts an invalid message and closes its connection."""
        self.metrics.peer_refused.labels(reason).inc()
        logger.warning(
            "invalid peer message refused",
            extra={"reason": reason, "from": str(raw.pipe.remote_address)},
        )
        raw.pipe.close()

    def status(self, version: int) -> list[dict[str, Any]]:
        """Returns the status of all instances for operators, this one first.

        Args:
          version: Configuration version in force on this instance.
        """
        now = self.timers.clock()
        own = {
            "name": self.membership.me.name,
            "data_centre": self.membership.me.data_centre,
            "version": version,
            "state": self.gossip.state.name.lower(),
            "live": True,
            "heard_seconds_ago": 0.0,
        }
        return [own] + [
            {
                "name": member.identity.name,
                "data_centre": member.identity.data_centre,
                "version": member.version,
                "state": member.state.name.lower(),
                "live": self.membership.is_live(member, now),
                "heard_seconds_ago": seconds_since(member.heard_at, now),
            }
            for member in self.membership.running_members()
        ]

    def close(self) -> None:
        """Closes every socket."""
        self.links.close()

    @handler("stopped", channel="*")
    def on_stopped(self, _manager: Any) -> None:
        """Closes the sockets when the process stops."""
        self.close()


def seconds_since(at: float | None, now: float) -> float | None:
    """Returns the seconds since a time, None if there is none."""
    return None if at is None else round(now - at, 1)
