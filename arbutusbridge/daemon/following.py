"""Replication of the store's keys from a peer instead of from the store.

An instance either follows a source, which is a peer that watches the store, or
watches the store itself and sends its changes to followers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.messages import StoreStatus
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.platform import FIRST_ERA
from arbutusbridge.daemon.presence import decode_peer
from arbutusbridge.errors import ProtocolError
from arbutusbridge.forwarding.following import (
    FOLLOW_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    MAX_SOURCE_AGE_S,
    MIN_CHANGE_DELAY_LIMIT_S,
    MIN_MEMBERS_TO_FOLLOW,
    SOURCE_TIMEOUT_S,
    FollowerState,
    FollowerTable,
    FollowRequest,
    StoreUpdate,
    candidate_sources,
    pack_items,
    unpack_items,
)
from arbutusbridge.forwarding.presence import data_centre_prefix

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
"""Timeout of the read of the peer list at the start. The slowest store observed
answers in 0.3 s, and a load of the store is tried afterwards in any case."""

NEXT_SOURCE = "next_source"
HEARTBEAT = "beat"
CHECK_SOURCE = "look"


class StoreFollower(BaseComponent):
    """Supplies the store feed from a source, or from the store without one.

    Attributes:
      own: Name, address and capacity of this instance.
      peer_table: The other instances.
      seeds: Addresses of possible sources at the start if the store can't
        list the peers; some of them may be down.
      max_change_delay_s: Time within which a change must be in force, in
        seconds.
      source_state: State of the source, if there is one.
      followers: Instances that follow this one.
      untried_sources: Addresses of possible sources not requested yet.
      pending_source: Source that has not answered the follow request yet.
      waiting: Followers that subscribed before the first load was complete.
    """

    channel = "following"

    def __init__(
        self,
        own: Peer,
        peer_table: PeerTable,
        seeds: list[tuple[str, int]],
        max_change_delay_s: float,
        feed: StoreFeed,
        peers: PeerMessenger,
        store: PlatformClient,
        dialect: Dialect,
        timers: TimerService,
    ) -> None:
        super().__init__()
        self.own = own
        self.peer_table = peer_table
        self.seeds = [seed for seed in seeds if seed != own.address]
        self.max_change_delay_s = max_change_delay_s
        self.feed = feed
        self.peers = peers
        self.store = store
        self.timers = timers
        self.source_state = FollowerState()
        self.followers = FollowerTable()
        self.untried_sources: list[tuple[str, int]] = []
        self.pending_source: tuple[str, int] | None = None
        self.waiting: list[tuple[str, int]] = []
        feed.told = self.on_changes_applied
        request = dialect.page(data_centre_prefix(own.data_centre), "")
        token = (self.channel, "peers")
        store.send_call(request, token, self.on_peer_list, PEER_LIST_TIMEOUT_S)
        timers.after(HEARTBEAT_INTERVAL_S, self.channel, HEARTBEAT)
        timers.after(FOLLOW_INTERVAL_S, self.channel, CHECK_SOURCE)

    def on_peer_list(self, result: StoreResult) -> None:
        """Handles the list of the instances in this data centre."""
        if result.status is not StoreStatus.DONE or result.page is None:
            logger.warning(
                "list of peers unavailable",
                extra={
                    "seeds": len(self.seeds),
                    "remedy": "Check the store; seeds are asked from now on.",
                },
            )
            self.untried_sources = list(self.seeds)
            self.feed.key_feed.began_in_outage = True
            self.feed.begin()
        else:
            found = [decode_peer(item) for item in result.page.items]
            peers = [
                peer for peer in found if peer and peer.name != self.own.name
            ]
            self.untried_sources = [
                candidate.address
                for candidate in candidate_sources(peers, self.own)
            ]
            if not peers and (self.store.era or 0) > FIRST_ERA:
                # The store may have lost the keys of the peers, and a version
                # of the configuration that they still have.
                self.untried_sources = list(self.seeds)
                self.feed.begin()
        self.try_next_source()

    def try_next_source(self) -> None:
        """Asks the next possible source; reads the store if none is left."""
        self.pending_source = None
        if not self.untried_sources:
            self.feed.begin()
            return
        self.pending_source = self.untried_sources.pop(0)
        self.peers.send(
            self.pending_source, FollowRequest(self.own.address, True)
        )
        self.timers.after(SOURCE_TIMEOUT_S, self.channel, NEXT_SOURCE)

    @handler("due")
    def on_due(self, tokens: list[Any]) -> None:
        """Handles due timers: source timeout, heartbeat and source check."""
        for token in tokens:
            if token == NEXT_SOURCE:
                if self.pending_source is not None:
                    self.try_next_source()
            elif token == HEARTBEAT:
                self.send_heartbeats()
                self.timers.after(HEARTBEAT_INTERVAL_S, self.channel, HEARTBEAT)
            else:
                self.check_source()
                self.timers.after(FOLLOW_INTERVAL_S, self.channel, CHECK_SOURCE)

    def send_heartbeats(self) -> None:
        """Sends heartbeats to followers; leaves a source that sends none."""
        if self.source_state.is_silent(self.timers.clock()):
            self.leave_source("silent")
        self.send_to_followers(b"")

    def check_source(self) -> None:
        """Looks for a source, or renews the subscription to the current one.

        A source is only followed in a data centre with at least
        MIN_MEMBERS_TO_FOLLOW instances, and only if changes may take
        MIN_CHANGE_DELAY_LIMIT_S to come into force.
        """
        if self.pending_source is not None or not self.feed.loaded:
            return
        members = self.peer_table.members(self.own.data_centre)
        nearby = [
            candidate.address
            for candidate in candidate_sources(members, self.own)
        ]
        too_few = len(members) + 1 < MIN_MEMBERS_TO_FOLLOW
        if too_few or self.max_change_delay_s < MIN_CHANGE_DELAY_LIMIT_S:
            nearby = []
        source = self.source_state.source
        if source is None:
            self.untried_sources = nearby
            if nearby:
                self.try_next_source()
        elif source in nearby:
            self.peers.send(source, FollowRequest(self.own.address, False))
        else:
            self.leave_source("not near")

    @handler("peer_message")
    def on_peer_message(self, message: FollowRequest | StoreUpdate) -> None:
        """Handles a follow request or an update from a source."""
        if isinstance(message, FollowRequest):
            self.on_follow_request(message)
        else:
            self.on_store_update(message)

    def on_follow_request(self, message: FollowRequest) -> None:
        """Registers or renews a follower.

        A new follower is sent a snapshot once the first load is complete.
        """
        address = message.reply_to
        if not self.followers.register(address, self.timers.clock()):
            logger.warning("follower refused", extra={"address": address})
        elif not message.begin:
            return
        elif self.feed.loaded and self.feed.key_feed.revision is not None:
            self.send_snapshot([address])
        else:
            self.waiting.append(address)

    def on_changes_applied(self, changes: list[StoreItem]) -> None:
        """Sends changes that this instance has applied to the followers."""
        if changes and self.followers.seen:
            self.followers.number += 1
            self.send_to_followers(pack_items(changes))
        waiting, self.waiting = self.waiting, []
        if waiting:
            self.send_snapshot(waiting)

    def send_snapshot(self, addresses: list[tuple[str, int]]) -> None:
        """Sends the confirmed keys to the given followers."""
        packed = pack_items(self.feed.key_feed.confirmed_items())
        update = self.build_update(True, packed)
        for address in addresses:
            self.peers.send(address, update)
        logger.info(
            "store snapshot sent to followers",
            extra={
                "to": addresses,
                "revision": update.revision,
                "age_ms": round(update.age_s * 1000),
                "bytes": len(packed),
            },
        )

    def send_to_followers(self, packed: bytes) -> None:
        """Sends packed changes to the followers, or a heartbeat if empty."""
        if self.feed.key_feed.revision is None:
            # Nothing is sent during a load, so that the followers time out and
            # read the store.
            return
        update = self.build_update(False, packed)
        waiting = set(self.waiting)
        for address in self.followers.active(self.timers.clock()):
            if address not in waiting:
                self.peers.send(address, update)

    def build_update(self, whole: bool, packed: bytes) -> StoreUpdate:
        """Builds an update for followers.

        Args:
          whole: Whether it holds all keys or only changes.
          packed: The packed items, empty for a heartbeat.
        """
        age_s = max(0.0, self.timers.clock() - self.feed.last_confirmed_at)
        return StoreUpdate(
            self.own.address,
            self.followers.number,
            whole,
            self.feed.key_feed.revision or 0,
            age_s,
            bool(self.feed.key_feed.held),
            packed,
            self.feed.key_feed.era,
        )

    def on_store_update(self, update: StoreUpdate) -> None:
        """Handles an update from a source."""
        try:
            items = unpack_items(update.packed) if update.packed else []
        except ProtocolError as err:
            logger.warning(
                "invalid peer update refused", extra={"error": str(err)}
            )
            return
        if update.whole:
            self.on_snapshot(update, items)
        elif update.source == self.source_state.source:
            self.on_changes(update, items)

    def on_snapshot(
        self, update: StoreUpdate, items: Sequence[StoreItem]
    ) -> None:
        """Applies a snapshot from a source.

        It is ignored if it was not requested, if its revision is behind this
        instance, or if it is too old and this instance has already loaded the
        keys.
        """
        key_feed = self.feed.key_feed
        same_era = update.era is None or update.era == key_feed.era
        behind = key_feed.revision is not None and (
            update.revision < key_feed.revision
            if same_era
            else (update.era or 0) < (key_feed.era or 0)
        )
        too_old = self.feed.loaded and update.age_s > MAX_SOURCE_AGE_S
        taken = (
            not behind and not too_old and update.source == self.pending_source
        )
        if taken:
            self.pending_source = None
            self.source_state.begin(update, self.timers.clock())
            era = update.era
            if era is None and (self.store.era or 0) > FIRST_ERA:
                # A peer that does not know the protocol of this instance leaves
                # the era out. Its items may be of an earlier one.
                era = FIRST_ERA
            self.feed.apply_snapshot(items, update.revision, update.age_s, era)
            if update.age_s > MAX_SOURCE_AGE_S:
                self.leave_source("old")
            elif self.max_change_delay_s < MIN_CHANGE_DELAY_LIMIT_S:
                self.leave_source("not needed")
        logger.info(
            "store snapshot taken from a peer"
            if taken
            else "store snapshot from a peer ignored",
            extra={
                "source": update.source,
                "revision": update.revision,
                "era": update.era,
                "keys": len(items),
                "age_ms": round(update.age_s * 1000),
            },
        )

    def on_changes(
        self, update: StoreUpdate, items: Sequence[StoreItem]
    ) -> None:
        """Applies changes from the source.

        The source is left after a lost update, or if its keys are too old.
        """
        if self.source_state.has_gap(update):
            self.leave_source("gap")
            return
        now = self.timers.clock()
        if update.age_s > MAX_SOURCE_AGE_S:
            self.leave_source("old")
            return
        # A source of an earlier build does not name the era of its items.
        source_era = (
            self.feed.key_feed.era if update.era is None else update.era
        )
        if self.source_state.is_outdated(source_era, self.store.era, now):
            self.leave_source("store restored")
            return
        self.source_state.on_update(update, now)
        self.feed.apply_changes(
            items,
            update.revision,
            update.age_s,
            update.era,
            not update.doubtful,
        )

    def leave_source(self, why: str) -> None:
        """Stops following the source and watches the store.

        Args:
          why: Reason, for the log.
        """
        source_state = self.source_state
        logger.notice(
            "left the source; this instance now watches the store",
            extra={
                "why": why,
                "source": source_state.source,
                "revision": self.feed.key_feed.revision,
                "loads_again": source_state.doubtful,
            },
        )
        if source_state.doubtful:
            # The source was holding back the deletion of some keys. A watch
            # from the current revision would not report these deletions.
            self.feed.invalidate()
        source_state.end()
        self.feed.begin()
