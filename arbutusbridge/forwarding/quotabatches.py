"""Reports of an instance to the ledgers about what it has admitted.

A batch is repeated unchanged until it is acknowledged, so that a lost or
duplicate message changes nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import quotahandover, quotaledger
from arbutusbridge.forwarding.gather import SendGatherMessage
from arbutusbridge.forwarding.quotabook import AccountUse, SentBatch
from arbutusbridge.forwarding.quotamessages import QuotaBatch
from arbutusbridge.forwarding.quotaranking import (
    MIN_BATCH_INTERVAL_S,
    batch_interval_s,
    choose_ledger,
    find_account,
)

if TYPE_CHECKING:
    from collections.abc import Container

    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.model import Account
    from arbutusbridge.forwarding.quotamessages import QuotaAck
    from arbutusbridge.forwarding.shared import SharedState

NOTICE_TTL_S = 8.0
"""Time for which an account is taken to be metered after a notice."""

SILENCE_LIMIT_S = 0.5
"""Time without an answer after which a ledger is excluded."""

EXCLUSION_S = 10.0
"""Time for which a silent ledger is excluded."""

MIN_EARLY_BATCH = 2
"""Minimum number of unreported requests of an account that are reported before
the next regular batch."""


def early_batch(account: Account, shared: SharedState) -> int:
    """Returns the number of requests that are reported at once.

    It is above the usual number of this instance in an interval.
    """
    usual = account.rate * batch_interval_s(shared)
    return max(MIN_EARLY_BATCH, 1 + int(usual / max(1, shared.instances)))


def repeat_batches(shared: SharedState, now: float, out: list[object]) -> None:
    """Repeats batches that are not acknowledged, or gives up their ledgers."""
    book = shared.quotas
    for name, sent in list(book.batches.items()):
        if exclude_if_silent(name, shared, now, out):
            continue
        if now - sent.sent_at >= 0.9 * MIN_BATCH_INTERVAL_S:
            sent.sent_at = now
            out.append(SendGatherMessage(sent.address, sent.batch))


def exclude_if_silent(
    name: str, shared: SharedState, now: float, out: list[object]
) -> bool:
    """Excludes a ledger that no longer answers.

    The requests of its last batch are reported to the next one.
    """
    book = shared.quotas
    silent_s = book.silence.silent_s(name, now)
    if silent_s <= SILENCE_LIMIT_S:
        return False
    book.silence.exclude(name, now + EXCLUSION_S)
    sent = book.batches.pop(name, None)
    if sent is not None:
        report_again(sent.batch, sent.batch.accounts, shared)
    detail = {"peer": name, "silent_s": round(silent_s, 2)}
    out.append(Decision("", "quota_ledger_excluded", detail))
    return True


def report_again(
    batch: QuotaBatch, accounts: Container[str], shared: SharedState
) -> None:
    """Reports some accounts of a batch to their next ledgers."""
    book = shared.quotas
    for account, count in zip(batch.accounts, batch.counts, strict=True):
        if account in accounts:
            use = book.uses.setdefault(account, AccountUse())
            use.unreported += count
            book.unreported.add(account)


def send_batch(
    ledger: Peer, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends a ledger the counts of its accounts, unless a batch is open."""
    book = shared.quotas
    own = shared.gather.own_peer
    if ledger.name in book.batches or own is None:
        return
    batch = QuotaBatch(own.name, own.address, book.epoch, book.next_number())
    for name in sorted(book.unreported):
        if choose_ledger(name, shared, now) is not ledger:
            continue
        book.unreported.discard(name)
        use = book.uses[name]
        if use.unreported:
            batch.accounts.append(name)
            batch.counts.append(use.unreported)
            use.unreported = 0
    if not batch.accounts:
        return
    if ledger is own:
        count_here(batch, shared, now)
        return
    shared.count("quota_batches")
    book.batches[ledger.name] = SentBatch(batch, ledger.address, now)
    book.silence.sent(ledger.name, now)
    out.append(SendGatherMessage(ledger.address, batch))


def count_here(batch: QuotaBatch, shared: SharedState, now: float) -> None:
    """Counts requests that were admitted before this became the ledger."""
    for name, count in zip(batch.accounts, batch.counts, strict=True):
        account = find_account(name, shared)
        if account is not None:
            quotaledger.find_bucket(account, shared, now).count(count, now)


def on_ack(message: QuotaAck, shared: SharedState, now: float) -> None:
    """Handles that a ledger has counted a batch."""
    book = shared.quotas
    sent = book.batches.get(message.sender)
    if sent is None or sent.batch.number != message.number:
        return
    del book.batches[message.sender]
    book.silence.heard(message.sender, now)
    for name in message.declined:
        quotahandover.record_declined(message.sender, name, shared, now)
    report_again(sent.batch, message.declined, shared)
    for name in message.metered:
        if name in book.uses:
            book.uses[name].metered_until = now + NOTICE_TTL_S
