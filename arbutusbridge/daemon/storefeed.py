"""Follow the store's keys and report their changes by prefix."""

from __future__ import annotations

import functools
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, Event, handler

from arbutusbridge.core.messages import StoreItem, StoreStatus
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.forwarding.feed import KeyFeed, StoreCall, StoreCallKind

if TYPE_CHECKING:
    from arbutusbridge.core.messages import StoreResult
    from arbutusbridge.daemon.dialect import Dialect
    from arbutusbridge.daemon.platform import PlatformClient
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)

ALL_KEYS = ""
"""Prefix of every key."""

WATCH_WAIT_S = 3.0
"""Longest wait of one watch. One that a store swallows is noticed no sooner
than this and WATCH_SLACK_S, within the 4 s after which a version must be in
force again."""

WATCH_SLACK_S = 1.0
"""Time past its wait that a watch has to return; the slowest store seen
answers in 0.3 s."""

CALL_TIMEOUT_S = 1.5
"""Time that a call may take; the slowest store seen answers in 0.3 s."""

RELEASE_INTERVAL_S = 0.25
"""Time between two looks at entries whose end is not believed yet."""


Topic = tuple[str, Callable[[list[StoreItem]], Event]]
"""A prefix of keys, and the event that takes their changes."""


class StoreFeed(BaseComponent):
    """Keeps one feed going and fires events with each batch of changes.

    One watch serves all topics, since each watch that returns is priced.

    Attributes:
      feed: What is known.
      loaded: Whether all keys were read once.
      watch_call: Number of the open watch, 0 if there is none.
      reading: Whether the store is being read or watched.
      generation: Number of pauses so far; what was asked before one is void.
      told: Called with the changes that are acted on.
    """

    channel = "storefeed"

    def __init__(
        self,
        topics: list[Topic],
        store: PlatformClient,
        dialect: Dialect,
        timers: TimerService,
    ) -> None:
        super().__init__()
        self.topics = topics
        self.store = store
        self.dialect = dialect
        self.timers = timers
        self.feed = KeyFeed()
        self.loaded = False
        self.watch_call = 0
        self.reading = False
        self.generation = 0
        self.told: Callable[[list[StoreItem]], None] = lambda _changes: None
        self.timers.after(RELEASE_INTERVAL_S, self.channel, None)

    def begin(self) -> None:
        """Reads and watches the store, from what is known."""
        if self.reading:
            return
        self.reading = True
        call = (self.generation, self.feed.next_call())
        self.timers.after(0.0, self.channel, call)

    def invalidate(self) -> None:
        """Takes the word that ends may have been missed; loads all again."""
        self.feed.on_history_lost()

    def pause(self) -> None:
        """Leaves the store alone, since a peer tells its changes."""
        self.reading = False
        self.generation += 1
        if self.watch_call:
            self.store.cancel_call(self.watch_call)
            self.watch_call = 0

    def adopt(
        self, items: Sequence[StoreItem], revision: int, age_s: float
    ) -> None:
        """Takes all that a peer knows, and leaves the store alone."""
        now = self.timers.clock()
        self.pause()
        self.report(self.feed.adopt(items, revision, now - age_s, now))

    def relay(
        self, items: Sequence[StoreItem], revision: int, age_s: float
    ) -> None:
        """Takes what a peer has learnt."""
        confirmed_at = self.timers.clock() - age_s
        self.report(self.feed.relay(items, revision, confirmed_at))

    @property
    def last_confirmed_at(self) -> float:
        """When the store last confirmed what is known."""
        if self.reading:
            return max(self.store.last_reply_at, self.feed.confirmed_at)
        return self.feed.confirmed_at

    @handler("due")
    def on_due(self, tokens: list[Any]) -> None:
        """Makes the calls that are due."""
        for token in tokens:
            if token is not None:
                if token[0] == self.generation:
                    self.make_call(token[1])
            else:
                self.report(self.feed.release(self.timers.clock()))
                self.timers.after(RELEASE_INTERVAL_S, self.channel, None)

    def make_call(self, call: StoreCall) -> None:
        """Makes one call."""
        token = (self.channel, call.kind.value)
        take = functools.partial(self.on_result, self.generation)
        if call.kind is StoreCallKind.PAGE:
            request = self.dialect.page(ALL_KEYS, call.after_key)
            self.store.send_call(request, token, take, CALL_TIMEOUT_S)
            return
        request = self.dialect.watch(ALL_KEYS, call.revision, WATCH_WAIT_S)
        seconds = WATCH_WAIT_S + WATCH_SLACK_S
        self.watch_call = self.store.send_call(request, token, take, seconds)

    @handler("store_recovered", channel="*")
    def on_store_recovered(self) -> None:
        """Asks anew for what an outage may have swallowed."""
        if self.reading and self.watch_call:
            self.store.cancel_call(self.watch_call)
            self.watch_call = 0
            self.make_call(self.feed.next_call())

    def on_result(self, call_generation: int, result: StoreResult) -> None:
        """Takes a call's result and plans the next call."""
        if call_generation != self.generation:
            return
        now = self.timers.clock()
        feed = self.feed
        self.watch_call = 0
        changes: list[StoreItem] = []
        if result.status is StoreStatus.HISTORY_LOST:
            logger.notice(
                "store history lost", extra={"revision": feed.revision}
            )
            call = feed.on_history_lost()
        elif result.status is not StoreStatus.DONE or result.page is None:
            call = self.on_failure()
        else:
            if feed.failures:
                logger.notice(
                    "store regained",
                    extra={
                        "failures": feed.failures,
                        "revision": feed.revision,
                    },
                )
            if result.token[1] == StoreCallKind.PAGE.value:
                changes, call = feed.on_page(result.page, now)
            else:
                changes, call = feed.on_changes(result.page, now)
        self.report(changes)
        self.timers.after(call.delay_s, self.channel, (self.generation, call))

    def on_failure(self) -> StoreCall:
        """Takes a call that failed; the first of an outage is logged."""
        if not self.feed.failures:
            logger.warning(
                "store lost",
                extra={
                    "revision": self.feed.revision,
                    "remedy": "Serving goes on with what is known.",
                },
            )
        return self.feed.on_failure()

    def report(self, changes: list[StoreItem]) -> None:
        """Fires changes, and the end of the first load."""
        first = not self.loaded and self.feed.revision is not None
        self.loaded = self.loaded or first
        if changes or first:
            self.told(changes)
        for prefix, event in self.topics:
            found = [one for one in changes if one.key.startswith(prefix)]
            if found or first:
                self.fire(event(found), "*")
