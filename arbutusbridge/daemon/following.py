"""Follow an instance that watches the store, or be followed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.messages import StoreStatus
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.presence import decode_peer
from arbutusbridge.errors import ProtocolError
from arbutusbridge.forwarding.following import (
    FOLLOW_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    MAX_SOURCE_AGE_S,
    MIN_CHANGE_BOUND_S,
    MIN_MEMBERS_TO_FOLLOW,
    SOURCE_TIMEOUT_S,
    FollowerState,
    FollowerTable,
    FollowRequest,
    StoreUpdate,
    pack,
    sources,
    unpack,
)
from arbutusbridge.forwarding.presence import prefix_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from arbutusbridge.core.messages import StoreItem, StoreResult
    from arbutusbridge.daemon.dialect import Dialect
    from arbutusbridge.daemon.peermessenger import PeerMessenger
    from arbutusbridge.daemon.platform import PlatformClient
    from arbutusbridge.daemon.storefeed import StoreFeed
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.forwarding.gather import Peer, PeerTable

logger = get_logger(__name__)

PEER_LIST_TIMEOUT_S = 0.4
"""Time that the store has to name the peers; the slowest store seen answers in
0.3 s, and a first load is tried after that in any case."""

NEXT_SOURCE = "next_source"
HEARTBEAT = "beat"
CHECK_SOURCE = "look"


class StoreFollower(BaseComponent):
    """Finds a source at start and later; keeps the feed going without one.

    Attributes:
      own: This instance.
      book: The other instances.
      seeds: Addresses to ask at start if the store can't name peers; some may
        be down.
      bound_s: Time that changes may take to be in force.
      following: What is known of the source.
      followers: Those that this instance tells what it learns.
      untried: Sources not tried yet.
      pending_source: The source whose answer is awaited.
      waiting: Followers that asked before the first load.
    """

    channel = "following"

    def __init__(
        self,
        own: Peer,
        book: PeerTable,
        seeds: list[tuple[str, int]],
        bound_s: float,
        feed: StoreFeed,
        peers: PeerMessenger,
        store: PlatformClient,
        dialect: Dialect,
        timers: TimerService,
    ) -> None:
        super().__init__()
        self.own = own
        self.book = book
        self.seeds = [one for one in seeds if one != own.address]
        self.bound_s = bound_s
        self.feed = feed
        self.peers = peers
        self.timers = timers
        self.following = FollowerState()
        self.followers = FollowerTable()
        self.untried: list[tuple[str, int]] = []
        self.pending_source: tuple[str, int] | None = None
        self.waiting: list[tuple[str, int]] = []
        feed.told = self.on_changes_applied
        request = dialect.page(prefix_of(own.data_centre), "")
        token = (self.channel, "peers")
        store.send_call(request, token, self.on_peer_list, PEER_LIST_TIMEOUT_S)
        timers.after(HEARTBEAT_INTERVAL_S, self.channel, HEARTBEAT)
        timers.after(FOLLOW_INTERVAL_S, self.channel, CHECK_SOURCE)

    def on_peer_list(self, result: StoreResult) -> None:
        """Takes the keys of the instances in this data centre."""
        if result.status is not StoreStatus.DONE or result.page is None:
            logger.warning(
                "peers not known",
                extra={
                    "seeds": len(self.seeds),
                    "remedy": "Asks the seeds and goes on asking the store.",
                },
            )
            self.untried = list(self.seeds)
            self.feed.begin()
        else:
            found = [decode_peer(item) for item in result.page.items]
            peers = [one for one in found if one and one.name != self.own.name]
            self.untried = [one.address for one in sources(peers, self.own)]
        self.try_next()

    def try_next(self) -> None:
        """Turns to the next source, or to the store once there is none."""
        self.pending_source = None
        if not self.untried:
            self.feed.begin()
            return
        self.pending_source = self.untried.pop(0)
        self.peers.send(
            self.pending_source, FollowRequest(self.own.address, True)
        )
        self.timers.after(SOURCE_TIMEOUT_S, self.channel, NEXT_SOURCE)

    @handler("due")
    def on_due(self, tokens: list[Any]) -> None:
        """Does what is due."""
        for token in tokens:
            if token == NEXT_SOURCE:
                if self.pending_source is not None:
                    self.try_next()
            elif token == HEARTBEAT:
                self.send_heartbeats()
                self.timers.after(HEARTBEAT_INTERVAL_S, self.channel, HEARTBEAT)
            else:
                self.check_source()
                self.timers.after(FOLLOW_INTERVAL_S, self.channel, CHECK_SOURCE)

    def send_heartbeats(self) -> None:
        """Tells followers that this instance lives; leaves a silent source."""
        if self.following.is_silent(self.timers.clock()):
            self.leave_source("silent")
        self.send_to_followers(b"")

    def check_source(self) -> None:
        """Looks for a source, or tells the present one to go on."""
        if self.pending_source is not None or not self.feed.loaded:
            return
        members = self.book.members(self.own.data_centre)
        near = [one.address for one in sources(members, self.own)]
        few = len(members) + 1 < MIN_MEMBERS_TO_FOLLOW
        if few or self.bound_s < MIN_CHANGE_BOUND_S:
            near = []
        source = self.following.source
        if source is None:
            self.untried = near
            if near:
                self.try_next()
        elif source in near:
            self.peers.send(source, FollowRequest(self.own.address, False))
        else:
            self.leave_source("not near")

    @handler("peer_message")
    def on_peer_message(self, message: FollowRequest | StoreUpdate) -> None:
        """Takes a follower's question or a source's answer."""
        if isinstance(message, FollowRequest):
            self.on_follow(message)
        else:
            self.on_news(message)

    def on_follow(self, message: FollowRequest) -> None:
        """Takes a follower; it gets all that is known, once that is."""
        address = message.reply_to
        if not self.followers.take(address, self.timers.clock()):
            logger.warning("follower refused", extra={"address": address})
        elif not message.begin:
            return
        elif self.feed.loaded and self.feed.feed.revision is not None:
            self.send_snapshot([address])
        else:
            self.waiting.append(address)

    def on_changes_applied(self, changes: list[StoreItem]) -> None:
        """Passes on what this instance has acted on."""
        if changes and self.followers.seen:
            self.followers.number += 1
            self.send_to_followers(pack(changes))
        waiting, self.waiting = self.waiting, []
        if waiting:
            self.send_snapshot(waiting)

    def send_snapshot(self, addresses: list[tuple[str, int]]) -> None:
        """Sends all that is known."""
        packed = pack(self.feed.feed.known())
        news = self.news(True, packed)
        for address in addresses:
            self.peers.send(address, news)
        logger.info(
            "store contents handed over",
            extra={
                "to": addresses,
                "revision": news.revision,
                "age_ms": round(news.age_s * 1000),
                "bytes": len(packed),
            },
        )

    def send_to_followers(self, packed: bytes) -> None:
        """Sends a change or a heartbeat to the followers."""
        if self.feed.feed.revision is None:
            # A load is under way; silence sends the followers to the store.
            return
        news = self.news(False, packed)
        waiting = set(self.waiting)
        for address in self.followers.current(self.timers.clock()):
            if address not in waiting:
                self.peers.send(address, news)

    def news(self, whole: bool, packed: bytes) -> StoreUpdate:
        """Returns a message of what is known now."""
        age_s = max(0.0, self.timers.clock() - self.feed.last_confirmed_at)
        return StoreUpdate(
            self.own.address,
            self.followers.number,
            whole,
            self.feed.feed.revision or 0,
            age_s,
            bool(self.feed.feed.held),
            packed,
        )

    def on_news(self, news: StoreUpdate) -> None:
        """Takes what a source knows or has learnt."""
        try:
            items = unpack(news.packed) if news.packed else []
        except ProtocolError as err:
            logger.warning("news refused", extra={"error": str(err)})
            return
        if news.whole:
            self.on_snapshot(news, items)
        elif news.source == self.following.source:
            self.on_changes(news, items)

    def on_snapshot(
        self, news: StoreUpdate, items: Sequence[StoreItem]
    ) -> None:
        """Takes all that a source knows, if it is of use."""
        known = self.feed.feed.revision
        behind = known is not None and news.revision < known
        old = self.feed.loaded and news.age_s > MAX_SOURCE_AGE_S
        taken = not behind and not old and news.source == self.pending_source
        if taken:
            self.pending_source = None
            self.following.begin(news, self.timers.clock())
            self.feed.adopt(items, news.revision, news.age_s)
            if news.age_s > MAX_SOURCE_AGE_S:
                self.leave_source("old")
            elif self.bound_s < MIN_CHANGE_BOUND_S:
                self.leave_source("not needed")
        logger.info(
            "store contents taken" if taken else "store contents not needed",
            extra={
                "source": news.source,
                "revision": news.revision,
                "keys": len(items),
                "age_ms": round(news.age_s * 1000),
            },
        )

    def on_changes(self, news: StoreUpdate, items: Sequence[StoreItem]) -> None:
        """Takes what the source has learnt, unless something was lost."""
        if self.following.misses(news):
            self.leave_source("gap")
            return
        if news.age_s > MAX_SOURCE_AGE_S:
            self.leave_source("old")
            return
        self.following.hear(news, self.timers.clock())
        self.feed.relay(items, news.revision, news.age_s)

    def leave_source(self, why: str) -> None:
        """Turns from the source to the store."""
        following = self.following
        logger.notice(
            "watches the store itself",
            extra={
                "why": why,
                "source": following.source,
                "revision": self.feed.feed.revision,
                "loads_again": following.doubtful,
            },
        )
        if following.doubtful:
            # An end that was awaited lies behind the revision known here.
            self.feed.invalidate()
        following.end()
        self.feed.begin()
