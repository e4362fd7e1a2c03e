"""State of a watch on the keys under one prefix of the store."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import StoreItem

if TYPE_CHECKING:
    from collections.abc import Sequence

    from arbutusbridge.core.messages import StorePage

WATCH_DELAY_S = 0.8
"""Delay of the next watch after one that returned changes. Each watch that
returns is a charged call; changes must take effect within 3 s after the store
accepted them."""

INITIAL_RETRY_DELAY_S = 0.1
"""Delay after the first failed call."""

MAX_RETRY_DELAY_S = 0.8
"""Maximum delay between calls while the store is unreachable; it bounds how
soon after an outage changes are seen."""

REMOVAL_GRACE_S = 2.2
"""Grace period after an outage during which a missing key may come back; the
platform restores keys within about 2 s."""

MASS_REMOVAL_RATIO = 0.3
"""Fraction of all keys whose removal at once is taken for an outage that was
not noticed here."""

MIN_MASS_REMOVAL = 4
"""Minimum number of keys removed at once that counts as such an outage."""


class StoreCallKind(enum.Enum):
    """Kind of call to the store."""

    PAGE = "page"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class StoreCall:
    """Call to the store.

    Attributes:
      kind: Kind of call.
      after_key: Key after which the page starts.
      revision: Revision after which the watch starts.
      delay_s: Delay before the call.
    """

    kind: StoreCallKind
    after_key: str = ""
    revision: int = 0
    delay_s: float = 0.0


@dataclass(slots=True)
class KeyFeed:
    """State of the watched keys as far as it is known here.

    Attributes:
      items: Current items by key.
      revision: Revision up to which the items are known, None before the first
        load.
      loading: Items found by the load in progress.
      load_revision: Revision at which that load began.
      failures: Consecutive failed calls.
      recovered_at: When the store last became reachable again.
      held: Held removals: when to apply the removal of each key.
      confirmed_at: When the store last confirmed the items.
      reloads: Number of complete loads, including the first.
    """

    items: dict[str, StoreItem] = field(default_factory=dict)
    revision: int | None = None
    loading: dict[str, StoreItem] = field(default_factory=dict)
    load_revision: int | None = None
    failures: int = 0
    recovered_at: float = -REMOVAL_GRACE_S
    held: dict[str, float] = field(default_factory=dict)
    confirmed_at: float = 0.0
    reloads: int = 0

    def next_call(self, delay_s: float = 0.0) -> StoreCall:
        """Returns the next call, given what is known so far."""
        if self.revision is None:
            last_key = next(reversed(self.loading), "")
            return StoreCall(
                StoreCallKind.PAGE, after_key=last_key, delay_s=delay_s
            )
        return StoreCall(
            StoreCallKind.WATCH, revision=self.revision, delay_s=delay_s
        )

    def on_failure(self) -> StoreCall:
        """Records a failed call and returns the next one."""
        self.failures += 1
        delay = INITIAL_RETRY_DELAY_S * 2.0 ** min(self.failures - 1, 6)
        return self.next_call(min(delay, MAX_RETRY_DELAY_S))

    def on_history_lost(self) -> StoreCall:
        """Starts a new load after the store discarded its change history."""
        self.revision = None
        self.loading.clear()
        self.load_revision = None
        return self.next_call()

    def load_from_peer(
        self,
        items: Sequence[StoreItem],
        revision: int,
        confirmed_at: float,
        now: float,
    ) -> list[StoreItem]:
        """Loads the items of another instance instead of those of the store.

        Args:
          items: All items that it knows.
          revision: Revision up to which it knows them.
          confirmed_at: When the store last confirmed them to it.
          now: The time.

        Returns:
          The changes to apply now.
        """
        self.loading = {item.key: item for item in items}
        self.load_revision = revision
        return self.finish_load(confirmed_at, now)

    def apply_from_peer(
        self, items: Sequence[StoreItem], revision: int, confirmed_at: float
    ) -> list[StoreItem]:
        """Applies changes that another instance has already applied.

        Removals among them are applied at once.
        """
        self.confirmed_at = confirmed_at
        if self.revision is not None:
            self.revision = max(self.revision, revision)
        return self.apply(items, None)

    def confirmed_items(self) -> list[StoreItem]:
        """Returns the current items, except those with a pending removal."""
        return [
            item for key, item in self.items.items() if key not in self.held
        ]

    def on_page(
        self, page: StorePage, now: float
    ) -> tuple[list[StoreItem], StoreCall]:
        """Adds a page of a load and returns changes and the next call."""
        self.record_contact(now)
        if self.revision is not None:
            # A peer sent all keys while this page was being read.
            return [], self.next_call()
        if self.load_revision is None:
            # Pages do not form a snapshot: watch from before the first one.
            self.load_revision = page.revision
        for item in page.items:
            self.loading[item.key] = item
        if page.more and page.items:
            return [], self.next_call()
        self.reloads += 1
        return self.finish_load(now, now), self.next_call()

    def finish_load(self, confirmed_at: float, now: float) -> list[StoreItem]:
        """Completes a load: keys that it did not find were removed."""
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
        return self.apply(changes, self.compute_hold_until(changes, now))

    def on_changes(
        self, page: StorePage, now: float
    ) -> tuple[list[StoreItem], StoreCall]:
        """Applies the changes that a watch returned."""
        self.record_contact(now)
        self.confirmed_at = now
        if self.revision is not None:
            self.revision = max(self.revision, page.revision)
        delay = WATCH_DELAY_S if page.items else 0.0
        applied = self.apply(
            page.items, self.compute_hold_until(page.items, now)
        )
        return applied, self.next_call(delay)

    def record_contact(self, now: float) -> None:
        """Records a usable reply, which may be the first after an outage."""
        if self.failures:
            self.failures = 0
            self.recovered_at = now

    def compute_hold_until(
        self, changes: Sequence[StoreItem], now: float
    ) -> float | None:
        """Returns until when to hold removals, None to apply them now."""
        removals = sum(item.value is None for item in changes)
        mass_removal = removals >= max(
            MIN_MASS_REMOVAL, MASS_REMOVAL_RATIO * len(self.items)
        )
        if mass_removal or now - self.recovered_at < REMOVAL_GRACE_S:
            return now + REMOVAL_GRACE_S
        return None

    def apply(
        self, changes: Sequence[StoreItem], hold_until: float | None
    ) -> list[StoreItem]:
        """Applies changes and returns those to act on now.

        Args:
          changes: Changes of keys.
          hold_until: Until when to hold removals, None to apply them now.
        """
        applied = []
        for item in changes:
            current = self.items.get(item.key)
            if item.value is not None:
                if current is not None and current.revision > item.revision:
                    continue
                self.held.pop(item.key, None)
                self.items[item.key] = item
                applied.append(item)
            elif current is not None:
                if hold_until is not None:
                    self.held.setdefault(item.key, hold_until)
                else:
                    self.end(item.key)
                    applied.append(item)
        return applied

    def end(self, key: str) -> None:
        """Removes a key."""
        self.items.pop(key, None)
        self.held.pop(key, None)

    def release_held(self, now: float) -> list[StoreItem]:
        """Applies and returns the held removals that are due."""
        due = [key for key, until in self.held.items() if until <= now]
        removed = [
            StoreItem(key, None, self.items[key].revision) for key in due
        ]
        for key in due:
            self.end(key)
        return removed
