"""Admission of the requests of accounts with a rate at one instance.

Open accounts are admitted at once and reported to their ledgers in batches. A
request of a metered account needs a token of its ledger.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

from arbutusbridge.forwarding import quotaledger
from arbutusbridge.forwarding.gather import SendGatherMessage
from arbutusbridge.forwarding.limits import MAX_RETRY_AFTER_S
from arbutusbridge.forwarding.messages import SetRequestTimer
from arbutusbridge.forwarding.quotabatches import (
    NOTICE_TTL_S,
    early_batch,
    exclude_if_silent,
    on_ack,
    repeat_batches,
    send_batch,
)
from arbutusbridge.forwarding.quotabook import (
    AccountUse,
    TokenRequest,
    WaitingRequest,
)
from arbutusbridge.forwarding.quotamessages import (
    MeteredNotice,
    QuotaAck,
    QuotaAsk,
    QuotaBatch,
    QuotaGrant,
    QuotaMessage,
)
from arbutusbridge.forwarding.quotaranking import (
    choose_ledger,
    find_account,
    rank_ledgers,
    refresh_orders,
)
from arbutusbridge.forwarding.ratelimit import spread_return

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.model import Account, CallerRequest
    from arbutusbridge.forwarding.shared import SharedState

ASK_TIMEOUT_S = 0.15
"""Time for which a ledger may reply to a token request."""

FRESH_REPEATS = 2.5
"""Intervals of a ledger's regular notices without any of them after which each
request asks for a token. Otherwise every instance of a region that is cut off
would admit its first requests."""

DOUBT_S = 0.1
"""Time without an answer of a ledger after which each request asks for a token;
what is admitted until a dead ledger is excluded is counted nowhere."""

MIN_REFUSED_S = 0.25
"""Minimum time for which requests are rejected without asking after a ledger
has granted too few tokens."""

REFUSED_S_PER_INSTANCE = 1 / 500
"""That time per instance, which limits a ledger to about 500 messages of one
account per second."""

SPARE_TTL_S = 1.0
"""Time for which a returned token of a metered account may serve another
request; then it is returned to the ledger."""


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
    refresh_orders(shared, now, out)
    name = account.name
    use = book.uses.setdefault(name, AccountUse())
    exchange.has_token = True
    if shared.gather.own_peer is None:
        return admit_here(account, shared, now, out)
    ledger = choose_ledger(name, shared, now)
    if ledger is shared.gather.own_peer:
        return admit_here(account, shared, now, out)
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
    request = exchange.request
    use.queue.append(request)
    book.waiting[request] = WaitingRequest(name, now, exchange)
    out.append(SetRequestTimer(now + ASK_TIMEOUT_S, request))
    out.append(SetRequestTimer(now + 2 * ASK_TIMEOUT_S, request))
    ask(name, use, shared, now, out)
    return Admission.WAITING


def admit_here(
    account: Account, shared: SharedState, now: float, out: list[object]
) -> Admission | float:
    """Decides on a request at the ledger of its account itself."""
    bucket = quotaledger.find_bucket(account, shared, now)
    granted, retry_s = quotaledger.grant_tokens(
        account, bucket, 1, shared, now, out
    )
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
    fresh_s = FRESH_REPEATS * quotaledger.repeat_interval_s(shared)
    return (
        use.metered_until > now
        or ledger is not rank_ledgers(name, shared)[0]
        or not silence.was_heard(ledger.name, now - fresh_s)
        or silence.silent_s(ledger.name, now) > DOUBT_S
    )


def use_spare(use: AccountUse, now: float) -> bool:
    """Uses a returned token, if there is one."""
    while use.spares:
        if use.spares.popleft() > now:
            return True
        use.unreported -= 1
    return False


def spread_retry(
    use: AccountUse, account: Account, shared: SharedState, now: float
) -> float:
    """Returns the retry time of a request that is rejected without asking."""
    rate = account.rate / max(1, shared.instances)
    at = spread_return(use.return_at, max(now, use.refused_until), rate)
    if at - now > MAX_RETRY_AFTER_S:
        return MAX_RETRY_AFTER_S * shared.rng.uniform(0.5, 1.0)
    use.return_at = at
    return at - now


def ask(
    name: str,
    use: AccountUse,
    shared: SharedState,
    now: float,
    out: list[object],
    skipped: str = "",
) -> None:
    """Asks for a token for each waiting request, unless a reply is due."""
    own = shared.gather.own_peer
    if use.ask is not None or not use.queue or own is None:
        return
    ledger = choose_ledger(name, shared, now, skipped)
    if ledger is None:
        return
    account = find_account(name, shared)
    if ledger is own and account is not None:
        grant = QuotaGrant(own.name, 0, name)
        bucket = quotaledger.find_bucket(account, shared, now)
        grant.granted, grant.retry_s = quotaledger.grant_tokens(
            account, bucket, len(use.queue), shared, now, out
        )
        use_grant(grant, len(use.queue), use, shared, now, out)
        return
    book = shared.quotas
    number = book.next_number()
    tokens = len(use.queue)
    use.ask = TokenRequest(number, ledger.name, tokens, now, bool(skipped))
    book.silence.sent(ledger.name, now)
    shared.count("quota_asks")
    message = QuotaAsk(own.name, own.address, book.epoch, number, name, tokens)
    out.append(SendGatherMessage(ledger.address, message))


def use_grant(
    grant: QuotaGrant,
    tokens: int,
    use: AccountUse,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Lets waiting requests continue, and rejects those without a token.

    Args:
      grant: The granted tokens.
      tokens: Number of tokens that were asked for.
      use: State of the account.
      shared: State of this instance.
      now: The time.
      out: Actions, to which those of this function are appended.
    """
    book = shared.quotas
    shared.count("quota_grants" if grant.granted else "quota_denials")
    for _ in range(grant.granted):
        if use.queue:
            continue_first(use, shared)
        else:
            use.spares.append(now + SPARE_TTL_S)
    if grant.granted >= tokens:
        ask(grant.account, use, shared, now, out)
        return
    refused_s = REFUSED_S_PER_INSTANCE * shared.instances
    use.refused_until = now + max(MIN_REFUSED_S, refused_s)
    account = find_account(grant.account, shared)
    rate = account.rate if account is not None else 0.0
    retry_s = grant.retry_s
    while use.queue:
        waiting = book.waiting.pop(use.queue.popleft())
        at_s = min(retry_s, MAX_RETRY_AFTER_S)
        book.rejected.append((waiting.exchange, at_s, grant.sender))
        retry_s = spread_return(retry_s, retry_s, rate)


def continue_first(use: AccountUse, shared: SharedState) -> None:
    """Lets the request that has waited longest continue."""
    waiting = shared.quotas.waiting.pop(use.queue.popleft())
    waiting.exchange.has_token = True
    shared.quotas.granted.append(waiting.exchange)


def on_timer(
    request: CallerRequest, shared: SharedState, now: float, out: list[object]
) -> None:
    """Asks another ledger for a request, or rejects it at its timeout."""
    book = shared.quotas
    waiting = book.waiting.get(request)
    if waiting is None:
        return
    name = waiting.account
    use = book.uses[name]
    pending = use.ask
    # The timer may be a little early.
    overdue = now + 0.001 - ASK_TIMEOUT_S
    if pending is not None and pending.sent_at <= overdue:
        use.ask = None
        if pending.ledger == name_of_ledger(name, shared, now):
            exclude_if_silent(pending.ledger, shared, now, out)
        skipped = "" if pending.is_second else pending.ledger
        ask(name, use, shared, now, out, skipped)
    if request in book.waiting and waiting.since <= overdue - ASK_TIMEOUT_S:
        ledger = use.ask.ledger if use.ask is not None else ""
        drop(request, shared)
        account = find_account(name, shared)
        retry_s = MAX_RETRY_AFTER_S
        if account is not None:
            retry_s = spread_retry(use, account, shared, now)
        book.rejected.append((waiting.exchange, retry_s, ledger))


def name_of_ledger(name: str, shared: SharedState, now: float) -> str:
    """Returns the name of the ledger that is asked now, if any."""
    if shared.gather.own_peer is None:
        return ""
    ledger = choose_ledger(name, shared, now)
    return ledger.name if ledger is not None else ""


def drop(request: CallerRequest, shared: SharedState) -> WaitingRequest | None:
    """Removes a waiting request; a token that arrives serves another one."""
    waiting = shared.quotas.waiting.pop(request, None)
    if waiting is not None:
        shared.quotas.uses[waiting.account].queue.remove(request)
    return waiting


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
    else:
        use.unreported -= 1
        shared.quotas.unreported.add(name)


def exchange(shared: SharedState, now: float, out: list[object]) -> None:
    """Sends batches and notices that are due."""
    book = shared.quotas
    table = shared.table
    if table is None:
        return
    if book.version != table.configuration.version:
        book.version = table.configuration.version
        accounts = table.configuration.accounts or ()
        book.has_rates = any(account.rate > 0.0 for account in accounts)
        forget_removed(shared)
    if not (book.has_rates or book.uses or book.buckets):
        return
    refresh_orders(shared, now, out)
    quotaledger.maintain(shared, now, out)
    if shared.gather.own_peer is None:
        return
    return_spares(shared, now)
    repeat_batches(shared, now, out)
    interval_s = quotaledger.batch_interval_s(shared)
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


def forget_removed(shared: SharedState) -> None:
    """Forgets accounts that no longer exist or have no rate any more."""
    book = shared.quotas
    for name, use in list(book.uses.items()):
        if find_account(name, shared) is None and not use.queue:
            del book.uses[name]
            book.unreported.discard(name)


def return_spares(shared: SharedState, now: float) -> None:
    """Returns tokens that have served no request in time."""
    book = shared.quotas
    for name, use in book.uses.items():
        while use.spares and use.spares[0] <= now:
            use.spares.popleft()
            use.unreported -= 1
            book.unreported.add(name)


def on_message(
    message: QuotaMessage, shared: SharedState, now: float, out: list[object]
) -> None:
    """Handles a message of a ledger or to this one."""
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
            on_notice(message, shared, now)


def on_grant(
    message: QuotaGrant, shared: SharedState, now: float, out: list[object]
) -> None:
    """Handles the reply to a token request."""
    book = shared.quotas
    use = book.uses.get(message.account)
    if use is None or use.ask is None or use.ask.ask_id != message.ask_id:
        return
    book.silence.heard(message.sender, now)
    tokens = use.ask.tokens
    use.ask = None
    use_grant(message, tokens, use, shared, now, out)


def on_notice(message: MeteredNotice, shared: SharedState, now: float) -> None:
    """Handles which accounts are metered; only their own ledgers count."""
    book = shared.quotas
    if shared.gather.own_peer is None:
        return
    book.silence.noticed(message.sender, now)
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
