"""Adoption of configuration versions by this instance."""

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
"""Interval at which due store reads and peer requests are sent."""


class ConfigAdoption(BaseComponent):
    """Fetches configuration versions and puts each in force as a whole.

    Attributes:
      version_sync: Decides what to read, which peers to ask and what to adopt.
      configuration: Configuration in force, None before the first.
      first_adopted_at: Time at which the first version came into force.
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
        self.version_sync = VersionSync(peers.gossip, rng)
        self.configuration: Configuration | None = None
        self.first_adopted_at: float | None = None

    @handler("started", channel="*")
    def on_started(self, _component: Any) -> None:
        """Schedules the first read."""
        self.timers.after(0.0, self.channel, "tick")

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Sends due reads and requests and schedules the next tick."""
        self.timers.after(TICK_INTERVAL_S, self.channel, "tick")
        self.carry_out(self.version_sync.tick(self.timers.clock()))

    @handler("config_message")
    def on_config_message(
        self, received: DeliverHead | DeliverPiece | DeliverPieceRequest
    ) -> None:
        """Handles a peer's message about configuration versions."""
        self.carry_out(
            self.version_sync.on_peer_report(received, self.timers.clock())
        )

    @property
    def version(self) -> int:
        """Number of the version in force, 0 before the first."""
        return self.version_sync.head.version

    def carry_out(self, actions: list[SyncAction]) -> None:
        """Performs the actions that the version sync returned."""
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
                        ("list", ""),
                        self.on_instance_list,
                        STORE_CALL_TIMEOUT_S,
                    )
                case AdoptVersion():
                    self.adopt(action)

    def read_head(self, action: ReadHead) -> None:
        """Reads the head, or watches it if its index is known."""

        def on_head(result: StoreResult) -> None:
            now = self.timers.clock()
            self.carry_out(
                self.version_sync.on_head(action.number, result, now)
            )

        token = ("head", "")
        if action.index:
            self.platform.watch(
                token, HEAD_KEY, action.index, on_head, STORE_CALL_TIMEOUT_S
            )
        else:
            self.platform.get(token, HEAD_KEY, on_head, STORE_CALL_TIMEOUT_S)

    def read_version(self, action: ReadVersion) -> None:
        """Reads the packed value of a version from the store."""
        head = action.head

        def on_value(result: StoreResult) -> None:
            now = self.timers.clock()
            self.carry_out(
                self.version_sync.on_version(action.number, head, result, now)
            )

        self.platform.get(
            ("version", ""), head.key, on_value, STORE_CALL_TIMEOUT_S
        )

    def on_instance_list(self, result: StoreResult) -> None:
        """Passes the instance list to the peers."""
        if result.status is not StoreStatus.DONE or result.value is None:
            return
        try:
            entries = decode_instance_list(result.value)
        except ValueError as err:
            logger.warning(
                "invalid instance list refused", extra={"error": str(err)}
            )
            return
        self.peers.update_instance_list(entries)

    def adopt(self, action: AdoptVersion) -> None:
        """Puts a version in force; refuses all of it if it is invalid."""
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
            "configuration version adopted",
            extra={"version": head.version, "source": action.source},
        )
        self.fire(configured(configuration))
        self.carry_out(
            self.version_sync.confirm_adoption(
                head, action.packed, action.source, now
            )
        )

    def refuse(self, head: Head, reason: str, source: str) -> None:
        """Refuses an invalid version, and counts and logs it.

        Args:
          head: Head of the version.
          reason: Why the version is invalid.
          source: Store or peer that the version came from.
        """
        self.metrics.versions_refused.inc()
        logger.error(
            "configuration version refused",
            extra={"version": head.version, "source": source, "error": reason},
        )
        now = self.timers.clock()
        self.carry_out(self.version_sync.refuse(head, reason, source, now))

    def status(self) -> dict[str, Any]:
        """Returns the status of the configuration versions for operators."""
        version_sync = self.version_sync
        confirmed_at = version_sync.gossip.head_confirmed_at
        age = (
            None if confirmed_at is None else self.timers.clock() - confirmed_at
        )
        return {
            "version": version_sync.head.version,
            "publish_id": version_sync.head.publish_id,
            "confirmed_seconds_ago": age if age is None else round(age, 1),
            "store_behind": version_sync.store_behind,
            "conflicts": version_sync.conflicts,
            "refused": [
                {
                    "version": head.version,
                    "publish_id": head.publish_id,
                    "reason": reason,
                }
                for head, reason in version_sync.refused.items()
            ],
        }
