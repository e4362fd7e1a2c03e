"""Claims on idempotency keys, kept in pages written by compare-and-swap.

A page is one value of the key-value store. All changes of one instance that
wait for the same page go into one write. A page that another writer changed
is read again and the changes are applied to what it then holds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.budget import TokenBucket
from arbutusbridge.core.claims.claimpage import (
    MAX_CLAIMED_PAGE_BYTES,
    ChangeOutcome,
    ClaimChange,
    ClaimState,
    Entries,
    apply_change,
    decode_page,
    encode_page,
    encoded_size,
    fit_result,
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
"""Writes a second that claims of all instances together aim to stay under."""

MAX_WRITE_BURST = 20.0
"""Writes that an instance may make at once before it holds changes."""

MAX_BATCH_DELAY_S = 0.100
"""Longest wait of a change for others that share its write, in seconds."""

RETRY_DELAY_S = 0.050
"""Wait before a store call that failed is followed by another, in seconds."""

MAX_CLAIM_FAILURES = 4
"""Failed store calls after which a claim is given up."""

MAX_CACHED_PAGES = 512
"""Pages remembered between two writes."""


@dataclass(slots=True)
class CachedPage:
    """What an instance knows of one page.

    Attributes:
      entries: What it held when last seen, None when it must be read.
      index: Its index then; 0 for a page that did not exist.
      waiting: Changes not yet confirmed, oldest first.
      busy: Whether a store call for it is open.
      held: Whether a timer will look at it again.
      calls: Store calls begun for it.
      seen: Number of the call that told what it holds, 0 for a guess.
      written: Changes in the open write.
      proposed: What the open write makes of the page.
    """

    entries: Entries | None = None
    index: int = 0
    waiting: list[ClaimChange] = field(default_factory=list)
    busy: bool = False
    held: bool = False
    calls: int = 0
    seen: int = 0
    written: list[ClaimChange] = field(default_factory=list)
    proposed: Entries = field(default_factory=dict)


class ClaimWriter:
    """Carries an instance's changes into pages and settles each one.

    Attributes:
      pages: Pages with waiting changes, and those seen lately.
      apply: Decides whether an entry may change.
      writes: Compare-and-swap calls made.
      guess_new: Whether a page not seen before is taken to be new.
      trust: Whether a page seen before is taken to be unchanged.
    """

    def __init__(self, instances: int = 1) -> None:
        self.pages: dict[str, CachedPage] = {}
        self.apply: Callable[[Entries, ClaimChange], ChangeOutcome | None] = (
            apply_change
        )
        rate = MAX_STORE_WRITES_PER_S / instances
        self.budget = TokenBucket(rate, MAX_WRITE_BURST, MAX_BATCH_DELAY_S)
        self.writes = 0
        self.guess_new = True
        self.trust = True

    def recount(self, instances: int) -> None:
        """Divides the writes among the instances that are live."""
        self.budget.rate = MAX_STORE_WRITES_PER_S / max(1, instances)

    def submit(
        self, change: ClaimChange, now: float, out: list[Action]
    ) -> None:
        """Takes a change; its verdict comes later."""
        name = change.key.page
        page = self.pages.get(name)
        if page is None:
            page = self.add_page(name)
        change.after = page.calls
        page.waiting.append(change)
        self.begin(name, page, now, out)

    def begin(
        self, name: str, page: CachedPage, now: float, out: list[Action]
    ) -> None:
        """Starts on the waiting changes, later when writes are too many."""
        if page.busy or page.held or not page.waiting:
            return
        wait = self.budget.take(now)
        if wait > 0:
            self.hold(name, page, now + wait, out)
        else:
            self.doubt(page)
            self.advance(name, page, now, out)

    def add_page(self, name: str) -> CachedPage:
        """Starts to remember a page, and forgets idle ones beyond the cap."""
        if len(self.pages) >= MAX_CACHED_PAGES:
            idle = [n for n, p in self.pages.items() if not p.waiting]
            for old in idle[: MAX_CACHED_PAGES // 2]:
                del self.pages[old]
        page = CachedPage()
        if self.guess_new:
            page.entries = {}
        self.pages[name] = page
        return page

    def doubt(self, page: CachedPage) -> None:
        """Has a page seen before read again while others write such pages."""
        if not self.trust and page.seen:
            page.entries = None

    def hold(
        self, name: str, page: CachedPage, until: float, out: list[Action]
    ) -> None:
        """Looks at a page again at a time."""
        page.held = True
        out.append(SetTimer(until, (PAGE_TIMER, name)))

    def wake(self, name: str, now: float, out: list[Action]) -> None:
        """Takes the timer of a page."""
        page = self.pages.get(name)
        if page is not None and page.held:
            page.held = False
            self.doubt(page)
            self.advance(name, page, now, out)

    def advance(
        self, name: str, page: CachedPage, now: float, out: list[Action]
    ) -> None:
        """Makes the next store call that the waiting changes need."""
        self.give_up(page, now, out)
        if page.busy or page.held or not page.waiting:
            return
        if page.entries is None:
            self.read(name, page, out)
            return
        known = page.entries
        proposed = dict(known)
        settled = self.propose(page, known, proposed)
        if page.written:
            self.write(name, page, proposed, out)
        elif page.waiting:
            self.read(name, page, out)
        for change, verdict in settled:
            standing = known.get(change.key.entry)
            change.on_outcome(verdict, standing, now, out)

    def propose(
        self, page: CachedPage, known: Entries, proposed: Entries
    ) -> list[tuple[ClaimChange, ChangeOutcome]]:
        """Applies the waiting changes; returns those settled at once.

        A change is only settled by what the page holds for certain: not by
        a guess, by a call older than the change or by a change in the same
        write.
        """
        settled = []
        written: list[ClaimChange] = []
        deferred: list[ClaimChange] = []
        size = len(encode_page(proposed))
        for change in page.waiting:
            entry = change.key.entry
            change.claim = fit_result(change.claim, size)
            decided = None
            if proposed.get(entry) is not known.get(entry):
                deferred.append(change)
                continue
            if is_claim(change) and size > MAX_CLAIMED_PAGE_BYTES:
                decided = (
                    ChangeOutcome.TAKEN
                    if entry in known
                    else ChangeOutcome.FULL
                )
            else:
                decided = self.apply(proposed, change)
            if decided is None:
                written.append(change)
                size += encoded_size(change.claim)
            elif decided is ChangeOutcome.TAKEN and page.seen <= change.after:
                deferred.append(change)
            else:
                settled.append((change, decided))
        page.written = written
        page.waiting = written + deferred
        return settled

    def read(self, name: str, page: CachedPage, out: list[Action]) -> None:
        """Reads a page."""
        page.entries = None
        page.busy = True
        page.calls += 1
        out.append(StoreGet((PAGE_READ, name), name))

    def write(
        self, name: str, page: CachedPage, proposed: Entries, out: list[Action]
    ) -> None:
        """Writes a page if it is still as it was last seen."""
        page.busy = True
        page.calls += 1
        page.proposed = proposed
        self.writes += 1
        value = encode_page(proposed)
        out.append(StoreCas((PAGE_WRITE, name), name, value, page.index))

    def give_up(self, page: CachedPage, now: float, out: list[Action]) -> None:
        """Settles the changes that can't wait for the store any longer."""
        late = [c for c in page.waiting if is_given_up(c, now)]
        page.waiting = [c for c in page.waiting if not is_given_up(c, now)]
        for change in late:
            change.on_outcome(ChangeOutcome.UNAVAILABLE, None, now, out)

    def on_store(
        self, result: StoreResult, now: float, out: list[Action]
    ) -> None:
        """Takes the result of a page's store call."""
        step, name = result.token
        page = self.pages[name]
        page.busy = False
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
        """Takes what a page holds."""
        entries = None
        if result.status is StoreStatus.DONE:
            entries = decode_page(result.value)
        if entries is None:
            self.on_failure(name, page, now, out)
            return
        page.entries = entries
        page.seen = page.calls
        if page.index and page.index == result.index:
            self.trust = True
        page.index = result.index
        self.guess_new = not entries
        self.advance(name, page, now, out)

    def on_written(
        self,
        name: str,
        page: CachedPage,
        result: StoreResult,
        now: float,
        out: list[Action],
    ) -> None:
        """Takes the result of a write; without one the page is read."""
        written, page.written = page.written, []
        if result.status is not StoreStatus.DONE:
            page.entries = None
            if result.status is StoreStatus.UNAVAILABLE:
                self.on_failure(name, page, now, out)
                return
            if page.seen:
                self.trust = False
            else:
                self.guess_new = False
            self.budget.take(now)
            self.advance(name, page, now, out)
            return
        page.entries = page.proposed
        page.seen = page.calls
        page.index = result.index
        page.waiting = [c for c in page.waiting if c not in written]
        for change in written:
            change.on_outcome(ChangeOutcome.APPLIED, change.claim, now, out)
        self.begin(name, page, now, out)

    def on_failure(
        self, name: str, page: CachedPage, now: float, out: list[Action]
    ) -> None:
        """Waits before the next call after one without a usable reply."""
        for change in page.waiting:
            change.failures += 1
        self.give_up(page, now, out)
        if page.waiting:
            self.hold(name, page, now + RETRY_DELAY_S, out)


def is_claim(change: ClaimChange) -> bool:
    """Tells whether a change claims a key."""
    return change.claim.state is ClaimState.CLAIMED


def is_given_up(change: ClaimChange, now: float) -> bool:
    """Tells whether a change waits no longer."""
    if now >= change.deadline:
        return True
    return is_claim(change) and change.failures >= MAX_CLAIM_FAILURES
