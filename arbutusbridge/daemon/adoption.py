"""Carry out the spread of configuration versions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.configuration import HEAD_KEY, Head
from arbutusbridge.core.messages import StoreResult, StoreStatus
from arbutusbridge.core.peers.peeractions import SendPeerMessage
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
from arbutusbridge.daemon.events import configured
from arbutusbridge.daemon.instancelist import decode_instance_list
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.errors import SettingsError
from arbutusbridge.settings import compile_version

if TYPE_CHECKING:
    import random

    from arbutusbridge.core.model import Configuration
    from arbutusbridge.core.peers.peeractions import (
        DeliverHead,
        DeliverPiece,
        DeliverPieceRequest,
    )
    from arbutusbridge.core.peers.syncactions import SyncAction
    from arbutusbridge.daemon.metrics import Metrics
    from arbutusbridge.daemon.peers import Peers
    from arbutusbridge.daemon.platform import PlatformClient
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)

TICK_INTERVAL_S = 0.5
"""Time between two looks at what is due."""


class ConfigAdoption(BaseComponent):
    """Owns the spread of one instance and puts versions in force, whole.

    Attributes:
      spread: What is read, asked for and adopted.
      configuration: The version in force, None at first.
      first_adopted_at: When the first version was put in force.
    """

    channel = "adoption"

    def __init__(
        self,
        platform: PlatformClient,
        timers: TimerService,
        peers: Peers,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.platform = platform
        self.timers = timers
        self.peers = peers
        self.metrics = metrics
        self.spread = VersionSync(peers.gossip, rng)
        self.configuration: Configuration | None = None
        self.first_adopted_at: float | None = None

    @handler("started", channel="*")
    def on_started(self, _component: Any) -> None:
        """Starts to look for a version."""
        self.timers.after(0.0, self.channel, "tick")

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Does what is due and subscribes to the next look."""
        self.timers.after(TICK_INTERVAL_S, self.channel, "tick")
        self.carry_out(self.spread.tick(self.timers.clock()))

    @handler("config_message")
    def on_config_message(
        self, received: DeliverHead | DeliverPiece | DeliverPieceRequest
    ) -> None:
        """Takes what a peer said of versions."""
        self.carry_out(
            self.spread.on_peer_report(received, self.timers.clock())
        )

    @property
    def version(self) -> int:
        """The version in force, 0 at first."""
        return self.spread.head.version

    def carry_out(self, actions: list[SyncAction]) -> None:
        """Carries out what the spread decided."""
        for action in actions:
            match action:
                case SendPeerMessage():
                    self.peers.send(action.address, action.message)
                case ReadHead():
                    self.read_head(action)
                case ReadVersion():
                    self.read_version(action)
                case ReadInstanceList():
                    self.platform.list_instances(
                        ("list", ""), self.on_list, STORE_CALL_TIMEOUT_S
                    )
                case AdoptVersion():
                    self.adopt(action)

    def read_head(self, action: ReadHead) -> None:
        """Reads the head, or waits at the store for its next change."""

        def on_head(result: StoreResult) -> None:
            now = self.timers.clock()
            self.carry_out(self.spread.on_head(action.number, result, now))

        token = ("head", "")
        if action.index:
            self.platform.watch(
                token, HEAD_KEY, action.index, on_head, STORE_CALL_TIMEOUT_S
            )
        else:
            self.platform.get(token, HEAD_KEY, on_head, STORE_CALL_TIMEOUT_S)

    def read_version(self, action: ReadVersion) -> None:
        """Reads a version's value from the store."""
        head = action.head

        def on_value(result: StoreResult) -> None:
            now = self.timers.clock()
            self.carry_out(
                self.spread.on_version(action.number, head, result, now)
            )

        self.platform.get(
            ("version", ""), head.key, on_value, STORE_CALL_TIMEOUT_S
        )

    def on_list(self, result: StoreResult) -> None:
        """Takes a reading of the instance list."""
        if result.status is not StoreStatus.DONE or result.value is None:
            return
        try:
            entries = decode_instance_list(result.value)
        except ValueError as err:
            logger.warning("instance list refused", extra={"error": str(err)})
            return
        self.peers.update_instance_list(entries)

    def adopt(self, action: AdoptVersion) -> None:
        """Puts a version in force if it validates, else refuses it whole."""
        head = action.head
        now = self.timers.clock()
        try:
            configuration = compile_version(head, action.packed)
        except SettingsError as err:
            self.refuse(head, str(err), action.source)
            return
        self.configuration = configuration
        if self.first_adopted_at is None:
            self.first_adopted_at = now
        logger.notice(
            "version adopted",
            extra={"version": head.version, "source": action.source},
        )
        self.fire(configured(configuration))
        self.carry_out(
            self.spread.confirm_adoption(
                head, action.packed, action.source, now
            )
        )

    def refuse(self, head: Head, reason: str, source: str) -> None:
        """Says that a version did not validate here."""
        self.metrics.versions_refused.inc()
        logger.error(
            "version refused",
            extra={"version": head.version, "source": source, "error": reason},
        )
        now = self.timers.clock()
        self.carry_out(self.spread.refuse(head, reason, source, now))

    def status(self) -> dict[str, Any]:
        """Returns what operators see of configuration versions."""
        spread = self.spread
        known_at = spread.gossip.head_confirmed_at
        age = None if known_at is None else self.timers.clock() - known_at
        return {
            "version": spread.head.version,
            "publish_id": spread.head.publish_id,
            "confirmed_seconds_ago": age if age is None else round(age, 1),
            "store_behind": spread.store_behind,
            "conflicts": spread.conflicts,
            "refused": [
                {
                    "version": head.version,
                    "publish_id": head.publish_id,
                    "reason": reason,
                }
                for head, reason in spread.refused.items()
            ],
        }
