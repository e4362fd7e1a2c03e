"""Admission of the requests of accounts with a rate at one instance.

Open accounts are admitted at once and reported to their ledgers in batches. A
request of a metered account needs a token of its ledger.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

from arbutusbridge.forwarding import quotahandover, quotaledger
from arbutusbridge.forwarding.quotabatches import (
    NOTICE_TTL_S,
    early_batch,
    on_ack,
    repeat_batches,
    send_batch,
)
from arbutusbridge.forwarding.quotabook import (
    AccountUse,
)
from arbutusbridge.forwarding.quotamessages import (
    MeteredNotice,
    QuotaAck,
    QuotaAsk,
    QuotaBatch,
    QuotaClaim,
    QuotaGrant,
    QuotaMessage,
    QuotaYield,
)
from arbutusbridge.forwarding.quotaranking import (
    FRESH_REPEATS,
    batch_interval_s,
    choose_ledger,
    find_account,
    rank_ledgers,
    refresh_orders,
    repeat_interval_s,
)
from arbutusbridge.forwarding.quotatokens import (
    ASK_TIMEOUT_S,
    SPARE_TTL_S,
    ask,
    continue_first,
    enqueue,
    on_grant,
    spread_retry,
)

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.model import Account
    from arbutusbridge.forwarding.shared import SharedState

DOUBT_S = 0.1
"""Time without an answer of a ledger after which each request asks for a token;
what is admitted until a dead ledger is excluded is counted nowhere."""


class Admission(enum.Enum):
    """Whether a request runs at once or waits for a token."""

    ADMITTED = "admitted"
    WAITING = "waiting"


def admit(
    exchange: Exchange,
    account: Account,
    shared: SharedState,
    now: float,
    out: list[object],
) -> Admission | float:
    """Decides on a caller's request of an account with a rate.

    Returns:
      Whether it is admitted or waits, or the time after which to retry if it is
      rejected, in seconds.
    """
    book = shared.quotas
    refresh_accounts(shared, now)
    refresh_orders(shared, now, out)
    name = account.name
    use = book.uses.setdefault(name, AccountUse())
    exchange.has_token = True
    if shared.gather.own_peer is None:
        return admit_here(exchange, account, use, shared, now, out)
    ledger = choose_ledger(name, shared, now)
    if ledger is shared.gather.own_peer:
        return admit_here(exchange, account, use, shared, now, out)
    if ledger is not None and not needs_token(use, name, ledger, shared, now):
        use.unreported += 1
        book.unreported.add(name)
        if use.unreported >= early_batch(account, shared):
            send_batch(ledger, shared, now, out)
        return Admission.ADMITTED
    if use_spare(use, now):
        return Admission.ADMITTED
    if ledger is None or use.refused_until > now:
        exchange.has_token = False
        return spread_retry(use, account, shared, now)
    exchange.has_token = False
    enqueue(exchange, use, shared, now, out)
    return Admission.WAITING


def admit_here(
    exchange: Exchange,
    account: Account,
    use: AccountUse,
    shared: SharedState,
    now: float,
    out: list[object],
) -> Admission | float:
    """Decides on a request at the ledger of its account itself."""
    bucket = quotaledger.find_bucket(account, shared, now)
    if bucket.awaits_claim(1):
        exchange.has_token = False
        enqueue(exchange, use, shared, now, out)
        return Admission.WAITING
    granted, retry_s = quotaledger.grant_tokens(
        account, bucket, 1, shared, now, out
    )
    quotahandover.send_claims(shared, now, out)
    quotaledger.notify_changes(shared, now, out)
    return Admission.ADMITTED if granted else retry_s


def needs_token(
    use: AccountUse, name: str, ledger: Peer, shared: SharedState, now: float
) -> bool:
    """Returns whether a request has to ask its ledger.

    This holds for a metered account, for one with a substitute, and while the
    ledger may be unreachable.
    """
    silence = shared.quotas.silence
    fresh_s = FRESH_REPEATS * repeat_interval_s(shared)
    return (
        use.metered_until > now
        or ledger is not rank_ledgers(name, shared)[0]
        or not silence.was_heard(ledger.name, now - fresh_s)
        or silence.silent_s(ledger.name, now) > DOUBT_S
    )


def use_spare(use: AccountUse, now: float) -> bool:
    """Uses a returned token, if there is one."""
    if use.spares and use.spares[-1] > now:
        use.spares.pop()
        return True
    return False


def give_back(exchange: Exchange, shared: SharedState, now: float) -> None:
    """Returns the token of a request that has not run and will not."""
    if not exchange.has_token or exchange.account is None:
        return
    exchange.has_token = False
    name = exchange.account.name
    use = shared.quotas.uses.get(name)
    account = find_account(name, shared)
    if use is None or account is None:
        return
    shared.count("quota_returned")
    own = shared.gather.own_peer
    ledger = None
    if own is not None:
        ledger = choose_ledger(name, shared, now)
    if own is None or ledger is own:
        quotaledger.find_bucket(account, shared, now).count(-1, now)
    elif ledger is None or needs_token(use, name, ledger, shared, now):
        if use.queue:
            continue_first(use, shared)
        else:
            use.spares.append(now + SPARE_TTL_S)
            shared.quotas.with_spares.add(name)
    else:
        use.unreported -= 1
        shared.quotas.unreported.add(name)


def exchange(shared: SharedState, now: float, out: list[object]) -> None:
    """Sends batches and notices that are due."""
    book = shared.quotas
    table = shared.table
    if table is None:
        return
    refresh_accounts(shared, now)
    # Peers depart also where no account has a rate.
    quotahandover.forget_expired(shared, now)
    if not (book.has_rates or book.uses or book.buckets):
        return
    refresh_orders(shared, now, out)
    quotaledger.maintain(shared, now, out)
    continue_deferred(shared, now, out)
    if shared.gather.own_peer is None:
        return
    return_spares(shared, now)
    repeat_batches(shared, now, out)
    interval_s = batch_interval_s(shared)
    # The timer that calls this may be a little early.
    if now - book.batched_at < 0.9 * interval_s:
        return
    book.batched_at = now
    ledgers = {
        ledger.name: ledger
        for name in book.unreported
        if (ledger := choose_ledger(name, shared, now))
    }
    for ledger in ledgers.values():
        send_batch(ledger, shared, now, out)


def refresh_accounts(shared: SharedState, now: float) -> None:
    """Finds out which accounts a new version adds and removes."""
    book, table = shared.quotas, shared.table
    if table is None or book.configuration is table.configuration:
        return
    accounts = table.configuration.accounts or ()
    names = frozenset(account.name for account in accounts)
    invalid = table.configuration.invalid
    book.invalid_names = frozenset(invalid.account_names)
    if invalid.concerns_accounts:
        # The name of an invalid entry may be unknown.
        book.invalid_names |= book.names - names
    names |= book.invalid_names
    if book.configuration is not None:
        book.added_at.update(dict.fromkeys(names - book.names, now))
    for name in book.added_at.keys() - names:
        del book.added_at[name]
    book.names = names
    book.configuration = table.configuration
    book.has_rates = any(account.rate > 0.0 for account in accounts)
    forget_removed(shared)


def forget_removed(shared: SharedState) -> None:
    """Forgets accounts that no longer exist or have no rate any more."""
    book = shared.quotas
    for name, use in list(book.uses.items()):
        is_gone = find_account(name, shared) is None
        if is_gone and name not in book.invalid_names and not use.queue:
            del book.uses[name]
            book.unreported.discard(name)


def return_spares(shared: SharedState, now: float) -> None:
    """Returns tokens that have served no request in time."""
    book = shared.quotas
    for name in list(book.with_spares):
        use = book.uses.get(name)
        while use is not None and use.spares and use.spares[0] <= now:
            use.spares.popleft()
            use.unreported -= 1
            book.unreported.add(name)
        if use is None or not use.spares:
            book.with_spares.discard(name)


def on_message(
    message: QuotaMessage, shared: SharedState, now: float, out: list[object]
) -> None:
    """Handles a message of a ledger or to this one."""
    refresh_accounts(shared, now)
    match message:
        case QuotaBatch():
            quotaledger.on_batch(message, shared, now, out)
        case QuotaAsk():
            quotaledger.on_ask(message, shared, now, out)
        case QuotaAck():
            on_ack(message, shared, now)
        case QuotaGrant():
            on_grant(message, shared, now, out)
        case MeteredNotice():
            on_notice(message, shared, now, out)
        case QuotaClaim():
            refresh_orders(shared, now, out)
            if quotahandover.on_claim(message, shared, now, out):
                # Others may not know this instance either.
                quotaledger.send_notices([], shared, now, out)
        case QuotaYield():
            quotahandover.on_yield(message, shared, now, out)
    continue_deferred(shared, now, out)


def continue_deferred(
    shared: SharedState, now: float, out: list[object]
) -> None:
    """Decides on what has waited for a claim that is resolved.

    Whoever has sent a token request has turned to another instance by the time
    at which it is dropped here; its tokens would be lost.
    """
    book = shared.quotas
    if not (book.deferred or book.own_deferred):
        return
    deferred, book.deferred = book.deferred, {}
    for arrived, message in deferred.values():
        if now - arrived <= ASK_TIMEOUT_S:
            quotaledger.on_ask(message, shared, now, out, arrived)
    names, book.own_deferred = book.own_deferred, set()
    for name in names:
        if name in book.uses:
            ask(name, book.uses[name], shared, now, out)


def on_notice(
    message: MeteredNotice, shared: SharedState, now: float, out: list[object]
) -> None:
    """Handles which accounts are metered; only their own ledgers count."""
    book = shared.quotas
    if shared.gather.own_peer is None:
        return
    quotahandover.introduce(message, shared, now, out)
    for names, until in (
        (message.metered, now + NOTICE_TTL_S),
        (message.opened, -math.inf),
    ):
        for name in names:
            if find_account(name, shared) is None:
                continue
            if rank_ledgers(name, shared)[0].name == message.sender:
                use = book.uses.setdefault(name, AccountUse())
                use.metered_until = until
