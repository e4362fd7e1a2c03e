"""Follow the keys under one prefix of the store, through its failures."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import StoreItem

if TYPE_CHECKING:
    from collections.abc import Sequence

    from arbutusbridge.core.messages import StorePage

WATCH_INTERVAL_S = 0.8
"""Pause between two watches that returned changes. A watch that returns is a
priced call; changes must be in force 3 s after the store took them."""

INITIAL_RETRY_DELAY_S = 0.1
"""Pause after a first call without a usable reply."""

MAX_RETRY_DELAY_S = 0.8
"""Longest pause between calls while the store can't be reached; it bounds
how soon after an outage changes are seen."""

REMOVAL_GRACE_S = 2.2
"""Time after an outage in which a missing entry may come back; the platform
restores them within about 2 s."""

MASS_REMOVAL_RATIO = 0.3
"""Part of all entries whose end at once is taken for an outage that was not
seen from here."""

MIN_MASS_REMOVAL = 4
"""Entries that must end at once for it."""


class StoreCallKind(enum.Enum):
    """What to ask the store for."""

    PAGE = "page"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class StoreCall:
    """A call to make.

    Attributes:
      kind: What to ask for.
      after_key: Key that the page starts behind.
      revision: Revision that the watch starts behind.
      delay_s: Time to wait before the call.
    """

    kind: StoreCallKind
    after_key: str = ""
    revision: int = 0
    delay_s: float = 0.0


@dataclass(slots=True)
class KeyFeed:
    """What is known of the followed keys.

    Attributes:
      items: The keys in force.
      revision: Revision up to which they are known, None before a first load.
      loading: Keys found by the load in progress.
      load_revision: Revision at which that load began.
      failures: Calls without a usable reply since the last good one.
      regained_at: When the store was last regained.
      held: Keys whose end is not believed yet, with the time until then.
      confirmed_at: When the store last confirmed the items.
      reloads: Whole loads, the first one included.
    """

    items: dict[str, StoreItem] = field(default_factory=dict)
    revision: int | None = None
    loading: dict[str, StoreItem] = field(default_factory=dict)
    load_revision: int | None = None
    failures: int = 0
    regained_at: float = -REMOVAL_GRACE_S
    held: dict[str, float] = field(default_factory=dict)
    confirmed_at: float = 0.0
    reloads: int = 0

    def next_call(self, delay_s: float = 0.0) -> StoreCall:
        """Returns the call that goes on from what is known."""
        if self.revision is None:
            last = next(reversed(self.loading), "")
            return StoreCall(
                StoreCallKind.PAGE, after_key=last, delay_s=delay_s
            )
        return StoreCall(
            StoreCallKind.WATCH, revision=self.revision, delay_s=delay_s
        )

    def on_failure(self) -> StoreCall:
        """Takes a call without a usable reply."""
        self.failures += 1
        delay = INITIAL_RETRY_DELAY_S * 2.0 ** min(self.failures - 1, 6)
        return self.next_call(min(delay, MAX_RETRY_DELAY_S))

    def on_history_lost(self) -> StoreCall:
        """Takes the word that changes were forgotten; loads all again."""
        self.revision = None
        self.loading.clear()
        self.load_revision = None
        return self.next_call()

    def adopt(
        self,
        items: Sequence[StoreItem],
        revision: int,
        confirmed_at: float,
        now: float,
    ) -> list[StoreItem]:
        """Takes all that another instance knows in place of a load.

        Args:
          items: Every key that it knows.
          revision: Revision up to which it knows them.
          confirmed_at: When the store last confirmed them there.
          now: The time.

        Returns:
          What to act on now.
        """
        self.loading = {item.key: item for item in items}
        self.load_revision = revision
        return self.end_load(confirmed_at, now)

    def relay(
        self, items: Sequence[StoreItem], revision: int, confirmed_at: float
    ) -> list[StoreItem]:
        """Takes changes that another instance has acted on itself.

        They are not doubted again.
        """
        self.confirmed_at = confirmed_at
        if self.revision is not None:
            self.revision = max(self.revision, revision)
        return self.apply(items, None)

    def known(self) -> list[StoreItem]:
        """Returns the keys in force, without those whose end is in doubt."""
        return [
            item for key, item in self.items.items() if key not in self.held
        ]

    def on_page(
        self, page: StorePage, now: float
    ) -> tuple[list[StoreItem], StoreCall]:
        """Takes one page of a load; returns changes and the next call."""
        self.note_contact(now)
        if self.revision is not None:
            # A peer has handed all keys over while this page was on its way.
            return [], self.next_call()
        if self.load_revision is None:
            # Pages are no snapshot: watch from before the first one.
            self.load_revision = page.revision
        for item in page.items:
            self.loading[item.key] = item
        if page.more and page.items:
            return [], self.next_call()
        self.reloads += 1
        return self.end_load(now, now), self.next_call()

    def end_load(self, confirmed_at: float, now: float) -> list[StoreItem]:
        """Takes the keys that a load has found as all there are."""
        assert self.load_revision is not None
        revision = self.load_revision
        changes = [
            item
            for key, item in self.loading.items()
            if self.items.get(key) != item
        ]
        changes += [
            StoreItem(key, None, revision)
            for key in self.items
            if key not in self.loading
        ]
        for key in self.loading:
            self.held.pop(key, None)
        self.revision = revision
        self.load_revision = None
        self.loading = {}
        self.confirmed_at = confirmed_at
        return self.apply(changes, self.doubt_until(changes, now))

    def on_changes(
        self, page: StorePage, now: float
    ) -> tuple[list[StoreItem], StoreCall]:
        """Takes the changes that a watch returned."""
        self.note_contact(now)
        self.confirmed_at = now
        if self.revision is not None:
            self.revision = max(self.revision, page.revision)
        delay = WATCH_INTERVAL_S if page.items else 0.0
        acted = self.apply(page.items, self.doubt_until(page.items, now))
        return acted, self.next_call(delay)

    def note_contact(self, now: float) -> None:
        """Notes a good reply, which may be the first after an outage."""
        if self.failures:
            self.failures = 0
            self.regained_at = now

    def doubt_until(
        self, changes: Sequence[StoreItem], now: float
    ) -> float | None:
        """Returns until when ends are not believed, None if they are now."""
        ends = sum(item.value is None for item in changes)
        many = ends >= max(
            MIN_MASS_REMOVAL, MASS_REMOVAL_RATIO * len(self.items)
        )
        if many or now - self.regained_at < REMOVAL_GRACE_S:
            return now + REMOVAL_GRACE_S
        return None

    def apply(
        self, changes: Sequence[StoreItem], doubt_until: float | None
    ) -> list[StoreItem]:
        """Takes changes in; returns those to act on now.

        Args:
          changes: Changes of keys.
          doubt_until: Until when ends are not believed, None if they are now.
        """
        acted = []
        for item in changes:
            known = self.items.get(item.key)
            if item.value is not None:
                if known is not None and known.revision > item.revision:
                    continue
                self.held.pop(item.key, None)
                self.items[item.key] = item
                acted.append(item)
            elif known is not None:
                if doubt_until is not None:
                    self.held.setdefault(item.key, doubt_until)
                else:
                    self.end(item.key)
                    acted.append(item)
        return acted

    def end(self, key: str) -> None:
        """Forgets a key."""
        self.items.pop(key, None)
        self.held.pop(key, None)

    def release(self, now: float) -> list[StoreItem]:
        """Returns the ends that are believed by now."""
        due = [key for key, until in self.held.items() if until <= now]
        ended = [StoreItem(key, None, self.items[key].revision) for key in due]
        for key in due:
            self.end(key)
        return ended
