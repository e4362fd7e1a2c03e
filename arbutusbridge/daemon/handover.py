"""Get what the store holds from a peer at start, and hand it to others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.messages import StoreStatus
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.presence import peer_of
from arbutusbridge.errors import ProtocolError
from arbutusbridge.forwarding.handover import (
    MOST_WAITING,
    SOURCE_WAIT_S,
    Snapshot,
    SnapshotAsk,
    pack,
    sources,
    unpack,
)
from arbutusbridge.forwarding.presence import prefix_of

if TYPE_CHECKING:
    from arbutusbridge.core.messages import StoreResult
    from arbutusbridge.daemon.dialect import Dialect
    from arbutusbridge.daemon.gatherpeers import GatherPeers
    from arbutusbridge.daemon.platform import PlatformClient
    from arbutusbridge.daemon.storefeed import StoreFeed
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.forwarding.gather import Peer

logger = get_logger(__name__)

CALL_S = 0.4
"""Time that the store has to name the peers; the slowest store seen answers in
0.3 s, and a first load is tried after that in any case."""

NEXT_SOURCE = "next_source"


class Handover(BaseComponent):
    """Asks peers at start, then begins the feed; answers those that ask.

    Attributes:
      own: This instance.
      seeds: Addresses to ask if the store can't name peers; some may be down.
      left: Peers' addresses not asked yet.
      waiting: Addresses of those that asked before the first load.
      packed: What was last handed over, with its revision.
    """

    channel = "handover"

    def __init__(
        self,
        own: Peer,
        seeds: list[tuple[str, int]],
        feed: StoreFeed,
        peers: GatherPeers,
        store: PlatformClient,
        dialect: Dialect,
        timers: TimerService,
    ) -> None:
        super().__init__()
        self.own = own
        self.seeds = [one for one in seeds if one != own.address]
        self.feed = feed
        self.peers = peers
        self.timers = timers
        self.left: list[tuple[str, int]] = []
        self.waiting: list[tuple[str, int]] = []
        self.packed: tuple[int, bytes] = (0, b"")
        request = dialect.page(prefix_of(own.data_centre), "")
        token = (self.channel, "peers")
        store.ask(request, token, self.on_peers, CALL_S)

    def on_peers(self, result: StoreResult) -> None:
        """Takes the keys of the instances in this data centre."""
        if result.status is not StoreStatus.DONE or result.page is None:
            logger.warning(
                "peers not known",
                extra={
                    "seeds": len(self.seeds),
                    "remedy": "Asks the seeds and goes on asking the store.",
                },
            )
            self.left = list(self.seeds)
            self.feed.begin()
        else:
            found = [peer_of(item) for item in result.page.items]
            peers = [one for one in found if one and one.name != self.own.name]
            self.left = [one.address for one in sources(peers, self.own)]
        self.ask_next()

    def ask_next(self) -> None:
        """Asks the next peer, or the store once there is none."""
        if self.feed.loaded:
            return
        if not self.left:
            self.feed.begin()
            return
        address = self.left.pop(0)
        self.peers.send(address, SnapshotAsk(self.own.address))
        self.timers.after(SOURCE_WAIT_S, self.channel, NEXT_SOURCE)

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Turns to the next peer."""
        self.ask_next()

    @handler("peer_message")
    def on_peer_message(self, message: SnapshotAsk | Snapshot) -> None:
        """Takes a peer's question or what it hands over."""
        if isinstance(message, SnapshotAsk):
            self.on_ask(message)
        else:
            self.on_snapshot(message)

    def on_ask(self, message: SnapshotAsk) -> None:
        """Hands over what is known, once it is."""
        if self.feed.loaded:
            self.hand_over(message.reply_to)
        elif len(self.waiting) < MOST_WAITING:
            self.waiting.append(message.reply_to)

    @handler("announced", channel="*")
    def on_loaded(self, _items: Any) -> None:
        """Hands over to those that asked before the first load."""
        waiting, self.waiting = self.waiting, []
        for address in waiting:
            self.hand_over(address)

    def hand_over(self, address: tuple[str, int]) -> None:
        """Sends what is known to a peer."""
        feed = self.feed.feed
        if feed.revision is None:
            # A load is under way since the store forgot its history.
            return
        if self.packed[0] != feed.revision or not self.packed[1]:
            self.packed = (feed.revision, pack(feed.known()))
        age_s = max(0.0, self.timers.clock() - feed.confirmed_at)
        self.peers.send(
            address, Snapshot(*self.packed[:1], age_s, self.packed[1])
        )
        logger.info(
            "snapshot handed over",
            extra={
                "to": address,
                "revision": feed.revision,
                "age_ms": round(age_s * 1000),
                "bytes": len(self.packed[1]),
            },
        )

    def on_snapshot(self, message: Snapshot) -> None:
        """Takes what a peer knows, unless the store was quicker."""
        try:
            items = unpack(message.packed)
        except ProtocolError as err:
            logger.warning("snapshot refused", extra={"error": str(err)})
            return
        taken = self.feed.adopt(items, message.revision, message.age_s)
        logger.info(
            "snapshot taken" if taken else "snapshot not needed",
            extra={
                "revision": message.revision,
                "keys": len(items),
                "age_ms": round(message.age_s * 1000),
            },
        )
