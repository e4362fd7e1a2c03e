"""State of a watch on the keys under one prefix of the store."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import StoreItem
from arbutusbridge.forwarding.removals import RemovalTiming

if TYPE_CHECKING:
    from collections.abc import Sequence

    from arbutusbridge.core.messages import StorePage

WATCH_DELAY_S = 0.8
"""Delay of the next watch after one that returned changes. Each watch that
returns is a charged call; changes must take effect within 3 s after the store
accepted them."""

SETTLING_WATCH_DELAY_S = 0.25
"""The same for an instance that started while the store was down. Most
upstreams announce themselves again in the seconds after the store is back, and
requests cannot be served until then."""

SETTLING_S = 3.0
"""Time after the first load for which that applies; the platform restores keys
within about 2 s."""

INITIAL_RETRY_DELAY_S = 0.1
"""Delay after the first failed call."""

MAX_RETRY_DELAY_S = 0.8
"""Maximum delay between calls while the store is unreachable; it bounds how
soon after an outage changes are seen."""

HELD_WATCH_DELAY_S = 0.4
"""The same while removals are held back, so that a key that comes back is read
before its removal is applied."""

MAX_REMOVED_KEYS = 256
"""Maximum number of removed keys whose last values are remembered."""


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
      is_brief: Whether the watch returns at once, so that its reply shows the
        state of the store after a failure.
    """

    kind: StoreCallKind
    after_key: str = ""
    revision: int = 0
    delay_s: float = 0.0
    is_brief: bool = False


@dataclass(frozen=True, slots=True)
class KeyRules:
    """What the values of keys say of their age.

    Attributes:
      is_older: Returns whether a value was written before another one, given
        the key, the value and the other one; False if that is not known.
      permanent: Keys that are never taken for removed.
      lasting_prefixes: Prefixes of keys that are in force until their removal
        is, also for instances that follow this one. The value of another key
        with a held removal is passed on to none.
    """

    is_older: Callable[[str, bytes, bytes], bool] = (
        lambda _key, _value, _other: False
    )
    permanent: frozenset[str] = frozenset()
    lasting_prefixes: tuple[str, ...] = ()


@dataclass(slots=True)
class KeyFeed:
    """State of the watched keys as far as it is known here.

    The store may come back from an older copy. It then names a later era, or a
    revision before the known one. Revisions are given out again, so that none
    is compared with one of an earlier era: the known items stay, all keys are
    loaded again, and an item that is older than the known one by its value is
    not used.

    Attributes:
      rules: What the values of keys say of their age.
      items: Current items by key.
      revision: Revision up to which the items are known, None before the first
        load.
      loading: Items found by the load in progress.
      load_revision: Revision at which that load began.
      load_began_at: When its first page was read.
      failures: Consecutive failed calls.
      timing: Decides how long removals are held back.
      held: Held removals: when to apply the removal of each key.
      confirmed_at: When the store last confirmed the items.
      reloads: Number of complete loads, including the first.
      era: Era of the store to which the revision belongs, None if unknown.
      revision_before: Revision before the load in progress, None before the
        first load and in a new era.
      restored: Whether the load in progress is the first one of an era.
      removed: Last values of the keys removed most recently.
      loaded_at: When all keys were known for the first time.
      began_in_outage: Whether the store was down when this instance started.
    """

    rules: KeyRules = field(default_factory=KeyRules)
    items: dict[str, StoreItem] = field(default_factory=dict)
    revision: int | None = None
    loading: dict[str, StoreItem] = field(default_factory=dict)
    load_revision: int | None = None
    load_began_at: float = 0.0
    failures: int = 0
    timing: RemovalTiming = field(default_factory=RemovalTiming)
    held: dict[str, float] = field(default_factory=dict)
    confirmed_at: float = 0.0
    reloads: int = 0
    era: int | None = None
    revision_before: int | None = None
    restored: bool = False
    removed: dict[str, bytes] = field(default_factory=dict)
    loaded_at: float = math.inf
    began_in_outage: bool = False

    def next_call(self, delay_s: float = 0.0) -> StoreCall:
        """Returns the next call, given what is known so far."""
        if self.revision is None:
            last_key = next(reversed(self.loading), "")
            return StoreCall(
                StoreCallKind.PAGE, after_key=last_key, delay_s=delay_s
            )
        return StoreCall(
            StoreCallKind.WATCH,
            revision=self.revision,
            delay_s=delay_s,
            is_brief=self.failures > 0,
        )

    def on_failure(
        self, now: float, open_s: float = 0.0, wait_s: float = 0.0
    ) -> StoreCall:
        """Records a failed call and returns the next one.

        Args:
          now: The time.
          open_s: Time for which it was open.
          wait_s: Time that a watch may wait for changes; 0 for another call.
        """
        is_first = not self.failures
        self.timing.on_failure(now, open_s, wait_s, is_first)
        self.failures += 1
        self.began_in_outage |= math.isinf(self.loaded_at)
        delay = INITIAL_RETRY_DELAY_S * 2.0 ** min(self.failures - 1, 6)
        return self.next_call(min(delay, MAX_RETRY_DELAY_S))

    def on_history_lost(self) -> StoreCall:
        """Starts a new load after the store discarded its change history."""
        if self.revision is not None:
            self.revision_before = self.revision
        self.revision = None
        self.loading.clear()
        self.load_revision = None
        return self.next_call()

    def on_restored(self, era: int | None, now: float) -> StoreCall:
        """Starts a new load after the store came back from an older copy.

        Items that are missing then may come back, as after an outage.

        Args:
          era: Era of the store, None if it names none.
          now: The time.
        """
        self.void_revisions(era, now)
        return self.on_history_lost()

    def void_revisions(self, era: int | None, now: float) -> None:
        """Begins an era: the revisions of the known items mean nothing in it.

        Args:
          era: The era, None if the store names none.
          now: The time.
        """
        self.era = era
        self.items = {
            key: replace(item, revision=0) for key, item in self.items.items()
        }
        self.revision = None
        self.revision_before = None
        self.restored = bool(self.items)
        self.timing.on_restored(now)
        self.failures = 0

    def load_from_peer(
        self,
        items: Sequence[StoreItem],
        revision: int,
        confirmed_at: float,
        now: float,
        era: int | None = None,
    ) -> list[StoreItem]:
        """Loads the items of another instance instead of those of the store.

        Args:
          items: All items that it knows.
          revision: Revision up to which it knows them.
          confirmed_at: When the store last confirmed them to it.
          now: The time.
          era: Era of that revision, None if it is not known.

        Returns:
          The changes to apply now.
        """
        if era is not None and era != self.era:
            self.void_revisions(era, now)
        self.loading = {item.key: item for item in items}
        self.load_revision = revision
        self.load_began_at = confirmed_at
        return self.finish_load(confirmed_at, now)

    def apply_from_peer(
        self,
        items: Sequence[StoreItem],
        revision: int,
        confirmed_at: float,
        era: int | None = None,
        is_complete: bool = True,
    ) -> list[StoreItem]:
        """Applies changes that another instance has already applied.

        Removals among them are applied at once.

        Args:
          items: The changes.
          revision: Revision up to which they are known.
          confirmed_at: When the store last confirmed them.
          era: Era of that revision, None if it is not known.
          is_complete: Whether that instance holds back no removals.

        Returns:
          The changes that were not known.
        """
        if era is not None and era < (self.era or 0):
            # The source has not noticed that the store was restored.
            return []
        self.confirmed_at = confirmed_at
        if is_complete:
            self.timing.quiet_at = max(self.timing.quiet_at, confirmed_at)
        if era is not None and self.era is None:
            # The source did not name it before.
            self.era = era
        elif era is not None and era != self.era:
            self.void_revisions(era, confirmed_at)
            self.restored = False
            self.revision = revision
        if self.revision is not None:
            self.revision = max(self.revision, revision)
        return self.apply(items, None)

    def confirmed_items(self) -> list[StoreItem]:
        """Returns the current items, except those with a pending removal.

        Those that last until then are returned too.
        """
        lasting = self.rules.lasting_prefixes
        return [
            item
            for key, item in self.items.items()
            if key not in self.held or key.startswith(lasting)
        ]

    def on_page(
        self, page: StorePage, now: float
    ) -> tuple[list[StoreItem], StoreCall]:
        """Adds a page of a load and returns changes and the next call."""
        self.failures = 0
        if self.revision is not None:
            # A peer sent all keys while this page was being read.
            return [], self.next_call()
        if self.load_revision is None:
            # Pages do not form a snapshot: watch from before the first one.
            self.load_revision = page.revision
            self.load_began_at = now
            if (self.revision_before or 0) > page.revision:
                self.void_revisions(self.era, now)
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
        self.loaded_at = min(self.loaded_at, now)
        self.discard_older()
        changes = [
            item
            for key, item in self.loading.items()
            if not self.is_known(key, item)
        ]
        changes += [
            StoreItem(key, None, revision)
            for key in self.items
            if key not in self.loading
        ]
        for key, item in self.loading.items():
            self.held.pop(key, None)
            if key in self.items and self.is_known(key, item):
                self.items[key] = item
        self.revision = revision
        self.restored = False
        self.revision_before = None
        self.load_revision = None
        self.loading = {}
        self.confirmed_at = confirmed_at
        hold_until = self.compute_hold_until(changes, now)
        self.timing.quiet_at = self.load_began_at
        return self.apply(changes, hold_until)

    def is_known(self, key: str, item: StoreItem) -> bool:
        """Returns whether a loaded item changes nothing.

        In a new era all revisions differ, so that only the values are compared.
        """
        known = self.items.get(key)
        if known is None or not self.restored:
            return known == item
        return known.value == item.value

    def discard_older(self) -> None:
        """Keeps known items instead of loaded ones that are older.

        In a new era this includes items that have been removed since.
        """
        for key, item in list(self.loading.items()):
            known = self.items.get(key)
            value = known.value if known is not None else None
            if known is None and self.restored:
                value = self.removed.get(key)
            if (
                value is None
                or item.value is None
                or value == item.value
                or not self.rules.is_older(key, item.value, value)
            ):
                continue
            if known is None:
                del self.loading[key]
            else:
                self.loading[key] = known

    def on_changes(
        self, page: StorePage, now: float
    ) -> tuple[list[StoreItem], StoreCall]:
        """Applies the changes that a watch returned."""
        if self.revision is not None and page.revision < self.revision:
            return [], self.on_restored(self.era, now)
        self.failures = 0
        self.confirmed_at = now
        if self.revision is not None:
            self.revision = max(self.revision, page.revision)
        hold_until = self.compute_hold_until(page.items, now)
        self.timing.quiet_at = now
        applied = self.apply(page.items, hold_until)
        delay = self.watch_delay_s(now) if page.items else 0.0
        return applied, self.next_call(delay)

    def watch_delay_s(self, now: float) -> float:
        """Returns the delay of the next watch after one with changes."""
        if self.began_in_outage and now - self.loaded_at < SETTLING_S:
            return SETTLING_WATCH_DELAY_S
        return HELD_WATCH_DELAY_S if self.held else WATCH_DELAY_S

    def compute_hold_until(
        self, changes: Sequence[StoreItem], now: float
    ) -> float | None:
        """Returns until when to hold removals, None to apply them now."""
        removals = sum(item.value is None for item in changes)
        return self.timing.compute_hold_until(removals, len(self.items), now)

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
                self.removed.pop(item.key, None)
                self.items[item.key] = item
                applied.append(item)
            elif current is not None and item.key not in self.rules.permanent:
                if hold_until is not None:
                    self.held.setdefault(item.key, hold_until)
                else:
                    self.end(item.key)
                    applied.append(item)
        return applied

    def end(self, key: str) -> None:
        """Removes a key."""
        item = self.items.pop(key, None)
        self.held.pop(key, None)
        if item is not None and item.value is not None:
            self.removed[key] = item.value
            if len(self.removed) > MAX_REMOVED_KEYS:
                del self.removed[next(iter(self.removed))]

    def release_held(self, now: float) -> list[StoreItem]:
        """Applies and returns the held removals that are due."""
        due = [key for key, until in self.held.items() if until <= now]
        removed = [
            StoreItem(key, None, self.items[key].revision) for key in due
        ]
        for key in due:
            self.end(key)
        return removed
