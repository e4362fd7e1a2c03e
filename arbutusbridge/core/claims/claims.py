"""Claims on idempotency keys, stored in pages written by compare-and-swap.

A page is one value of the key-value store. All changes that wait in an
instance for the same page are batched into one write. If another writer
changed the page, it is read again and the changes are applied to its new
content.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.budget import TokenBucket
from arbutusbridge.core.claims.claimpage import (
    MAX_PAGE_BYTES_FOR_CLAIMS,
    ChangeOutcome,
    ClaimChange,
    ClaimState,
    Entries,
    apply_change,
    decode_page,
    drop_oversized_result,
    encode_page,
    encoded_size,
)
from arbutusbridge.core.messages import (
    SetTimer,
    StoreCas,
    StoreGet,
    StoreResult,
    StoreStatus,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.messages import Action

PAGE_WRITE = "page_write"
PAGE_READ = "page_read"
PAGE_TIMER = "page_timer"

MAX_STORE_WRITES_PER_S = 300.0
"""Target rate of page writes per second by all instances together."""

MAX_WRITE_BURST = 20.0
"""Writes that an instance may make in a burst before it delays changes."""

MAX_BATCH_DELAY_S = 0.100
"""Maximum delay of a change to batch it with others, in seconds."""

RETRY_DELAY_S = 0.050
"""Delay between a failed store call and the next one, in seconds."""

MAX_CLAIM_FAILURES = 4
"""Failed store calls after which a claim is abandoned."""

MAX_CACHED_PAGES = 512
"""Maximum number of pages cached between writes."""


@dataclass(slots=True)
class CachedPage:
    """Cached state of one page.

    Attributes:
      entries: Entries at the last read or write, None if the page must be
        read.
      index: Store index of these entries, 0 if the page did not exist.
      waiting: Changes not yet confirmed, oldest first.
      call_open: Whether a store call for the page is open.
      held: Whether a timer for the page is pending.
      call_count: Number of store calls started for the page.
      seen: Number of the store call that returned the entries, 0 if the
        entries are assumed.
      changes_in_write: Changes in the open write.
      proposed: Entries that the open write stores.
    """

    entries: Entries | None = None
    index: int = 0
    waiting: list[ClaimChange] = field(default_factory=list)
    call_open: bool = False
    held: bool = False
    call_count: int = 0
    seen: int = 0
    changes_in_write: list[ClaimChange] = field(default_factory=list)
    proposed: Entries = field(default_factory=dict)


class ClaimWriter:
    """Writes an instance's changes into pages and reports their outcomes.

    Attributes:
      pages: Pages with waiting changes, and recently used ones.
      apply: Decides whether an entry may change, and changes it.
      budget: Token bucket that limits the rate of writes.
      writes: Number of compare-and-swap calls made.
      assume_new: Whether a page that is not cached is assumed not to exist.
      trust_cached: Whether a cached page is assumed to be unchanged.
    """

    def __init__(self, instances: int = 1) -> None:
        self.pages: dict[str, CachedPage] = {}
        self.apply: Callable[[Entries, ClaimChange], ChangeOutcome | None] = (
            apply_change
        )
        rate = MAX_STORE_WRITES_PER_S / instances
        self.budget = TokenBucket(rate, MAX_WRITE_BURST, MAX_BATCH_DELAY_S)
        self.writes = 0
        self.assume_new = True
        self.trust_cached = True

    def set_instance_count(self, instances: int) -> None:
        """Divides the write rate by the number of live instances."""
        self.budget.rate = MAX_STORE_WRITES_PER_S / max(1, instances)

    def submit(
        self, change: ClaimChange, now: float, out: list[Action]
    ) -> None:
        """Queues a change; its outcome is reported by its callback."""
        name = change.key.page
        page = self.pages.get(name)
        if page is None:
            page = self.add_page(name)
        change.after = page.call_count
        page.waiting.append(change)
        self.begin(name, page, now, out)

    def begin(
        self, name: str, page: CachedPage, now: float, out: list[Action]
    ) -> None:
        """Starts to process a page's changes, after a delay at a high rate."""
        if page.call_open or page.held or not page.waiting:
            return
        wait = self.budget.take(now)
        if wait > 0:
            self.defer(name, page, now + wait, out)
        else:
            self.drop_untrusted(page)
            self.advance(name, page, now, out)

    def add_page(self, name: str) -> CachedPage:
        """Caches a page, and evicts idle ones if the cache is full."""
        if len(self.pages) >= MAX_CACHED_PAGES:
            idle = [n for n, p in self.pages.items() if not p.waiting]
            for old in idle[: MAX_CACHED_PAGES // 2]:
                del self.pages[old]
        page = CachedPage()
        if self.assume_new:
            page.entries = {}
        self.pages[name] = page
        return page

    def drop_untrusted(self, page: CachedPage) -> None:
        """Discards confirmed entries while cached pages are not trusted."""
        if not self.trust_cached and page.seen:
            page.entries = None

    def void_indexes(self) -> None:
        """Discards all cached pages after the store came back from a copy.

        Their indexes are given out again, so that a write on condition of one
        could replace claims that are not known here.
        """
        for page in self.pages.values():
            page.entries = None
            page.index = page.seen = 0
        self.assume_new = False

    def defer(
        self, name: str, page: CachedPage, until: float, out: list[Action]
    ) -> None:
        """Sets a timer after which the page is processed again."""
        page.held = True
        out.append(SetTimer(until, (PAGE_TIMER, name)))

    def on_timer(self, name: str, now: float, out: list[Action]) -> None:
        """Handles the timer of a page."""
        page = self.pages.get(name)
        if page is not None and page.held:
            page.held = False
            self.drop_untrusted(page)
            self.advance(name, page, now, out)

    def advance(
        self, name: str, page: CachedPage, now: float, out: list[Action]
    ) -> None:
        """Makes the next store call that the waiting changes require."""
        self.give_up(page, now, out)
        if page.call_open or page.held or not page.waiting:
            return
        if page.entries is None:
            self.read(name, page, out)
            return
        cached_entries = page.entries
        proposed = dict(cached_entries)
        settled = self.propose(page, cached_entries, proposed)
        if page.changes_in_write:
            self.write(name, page, proposed, out)
        elif page.waiting:
            self.read(name, page, out)
        for change, outcome in settled:
            existing = cached_entries.get(change.key.entry)
            change.on_outcome(outcome, existing, now, out)

    def propose(
        self, page: CachedPage, cached_entries: Entries, proposed: Entries
    ) -> list[tuple[ClaimChange, ChangeOutcome]]:
        """Applies the waiting changes to the proposed entries.

        A change is only settled by entries that are confirmed: not by an
        assumption, nor by a store call that is older than the change, nor by
        another change in the same write.

        Returns:
          The changes settled without a write, with their outcomes.
        """
        settled = []
        written: list[ClaimChange] = []
        deferred: list[ClaimChange] = []
        size = len(encode_page(proposed))
        for change in page.waiting:
            entry = change.key.entry
            change.claim = drop_oversized_result(change.claim, size)
            decision = None
            if proposed.get(entry) is not cached_entries.get(entry):
                deferred.append(change)
                continue
            if is_claim(change) and size > MAX_PAGE_BYTES_FOR_CLAIMS:
                decision = (
                    ChangeOutcome.TAKEN
                    if entry in cached_entries
                    else ChangeOutcome.FULL
                )
            else:
                decision = self.apply(proposed, change)
            if decision is None:
                written.append(change)
                size += encoded_size(change.claim)
            elif decision is ChangeOutcome.TAKEN and page.seen <= change.after:
                deferred.append(change)
            else:
                settled.append((change, decision))
        page.changes_in_write = written
        page.waiting = written + deferred
        return settled

    def read(self, name: str, page: CachedPage, out: list[Action]) -> None:
        """Starts to read a page."""
        page.entries = None
        page.call_open = True
        page.call_count += 1
        out.append(StoreGet((PAGE_READ, name), name))

    def write(
        self, name: str, page: CachedPage, proposed: Entries, out: list[Action]
    ) -> None:
        """Starts to write a page, on condition that its index is unchanged."""
        page.call_open = True
        page.call_count += 1
        page.proposed = proposed
        self.writes += 1
        value = encode_page(proposed)
        out.append(StoreCas((PAGE_WRITE, name), name, value, page.index))

    def give_up(self, page: CachedPage, now: float, out: list[Action]) -> None:
        """Reports expired changes as unavailable."""
        expired = [c for c in page.waiting if has_expired(c, now)]
        page.waiting = [c for c in page.waiting if not has_expired(c, now)]
        for change in expired:
            change.on_outcome(ChangeOutcome.UNAVAILABLE, None, now, out)

    def on_store(
        self, result: StoreResult, now: float, out: list[Action]
    ) -> None:
        """Handles the result of a store call for a page."""
        step, name = result.token
        page = self.pages[name]
        page.call_open = False
        if step == PAGE_READ:
            self.on_read(name, page, result, now, out)
        else:
            self.on_written(name, page, result, now, out)

    def on_read(
        self,
        name: str,
        page: CachedPage,
        result: StoreResult,
        now: float,
        out: list[Action],
    ) -> None:
        """Handles the result of a read."""
        entries = None
        if result.status is StoreStatus.DONE:
            entries = decode_page(result.value)
        if entries is None:
            self.on_failure(name, page, now, out)
            return
        page.entries = entries
        page.seen = page.call_count
        if page.index and page.index == result.index:
            self.trust_cached = True
        page.index = result.index
        self.assume_new = not entries
        self.advance(name, page, now, out)

    def on_written(
        self,
        name: str,
        page: CachedPage,
        result: StoreResult,
        now: float,
        out: list[Action],
    ) -> None:
        """Handles the result of a write; if it failed, the page is read."""
        written, page.changes_in_write = page.changes_in_write, []
        if result.status is not StoreStatus.DONE:
            page.entries = None
            if result.status is StoreStatus.UNAVAILABLE:
                self.on_failure(name, page, now, out)
                return
            if page.seen:
                self.trust_cached = False
            else:
                self.assume_new = False
            self.budget.take(now)
            self.advance(name, page, now, out)
            return
        page.entries = page.proposed
        page.seen = page.call_count
        page.index = result.index
        page.waiting = [c for c in page.waiting if c not in written]
        for change in written:
            change.on_outcome(ChangeOutcome.APPLIED, change.claim, now, out)
        self.begin(name, page, now, out)

    def on_failure(
        self, name: str, page: CachedPage, now: float, out: list[Action]
    ) -> None:
        """Delays the next store call after one without a usable reply."""
        for change in page.waiting:
            change.failures += 1
        self.give_up(page, now, out)
        if page.waiting:
            self.defer(name, page, now + RETRY_DELAY_S, out)


def is_claim(change: ClaimChange) -> bool:
    """Returns whether a change claims a key."""
    return change.claim.state is ClaimState.CLAIMED


def has_expired(change: ClaimChange, now: float) -> bool:
    """Returns whether a change has passed its deadline or failed too often."""
    if now >= change.deadline:
        return True
    return is_claim(change) and change.failures >= MAX_CLAIM_FAILURES
