"""Token requests of an instance, and the requests that wait for tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.forwarding import quotahandover, quotaledger
from arbutusbridge.forwarding.gather import SendGatherMessage
from arbutusbridge.forwarding.limits import MAX_RETRY_AFTER_S
from arbutusbridge.forwarding.messages import SetRequestTimer
from arbutusbridge.forwarding.quotabatches import (
    NOTICE_TTL_S,
    exclude_if_silent,
)
from arbutusbridge.forwarding.quotabook import TokenRequest, WaitingRequest
from arbutusbridge.forwarding.quotamessages import QuotaAsk, QuotaGrant
from arbutusbridge.forwarding.quotaranking import (
    choose_ledger,
    declined_ledgers,
    find_account,
)
from arbutusbridge.forwarding.ratelimit import spread_return

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.model import Account, CallerRequest
    from arbutusbridge.forwarding.quotabook import AccountUse
    from arbutusbridge.forwarding.shared import SharedState

ASK_TIMEOUT_S = 0.15
"""Time for which a ledger may reply to a token request."""

MIN_REFUSED_S = 0.25
"""Minimum time for which requests are rejected without asking after a ledger
has granted too few tokens."""

REFUSED_S_PER_INSTANCE = 1 / 500
"""That time per instance, which limits a ledger to about 500 messages of one
account per second."""

SPARE_TTL_S = 1.0
"""Time for which a returned token of a metered account may serve another
request; then it is returned to the ledger."""


def enqueue(
    exchange: Exchange,
    use: AccountUse,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Lets a request wait for a token."""
    account, request = exchange.account, exchange.request
    assert account is not None
    use.queue.append(request)
    shared.quotas.waiting[request] = WaitingRequest(account.name, now, exchange)
    out.append(SetRequestTimer(now + ASK_TIMEOUT_S, request))
    out.append(SetRequestTimer(now + 2 * ASK_TIMEOUT_S, request))
    ask(account.name, use, shared, now, out)


def spread_retry(
    use: AccountUse, account: Account, shared: SharedState, now: float
) -> float:
    """Returns the retry time of a request that is rejected without asking."""
    rate = account.rate / max(1, shared.instances)
    earliest = max(now + MIN_REFUSED_S, use.refused_until)
    at = spread_return(use.return_at, earliest, rate)
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
        if bucket.awaits_claim(len(use.queue)):
            shared.quotas.own_deferred.add(name)
            quotahandover.send_claims(shared, now, out)
            return
        grant.granted, grant.retry_s = quotaledger.grant_tokens(
            account, bucket, len(use.queue), shared, now, out
        )
        quotahandover.send_claims(shared, now, out)
        use_grant(grant, len(use.queue), use, shared, now, out)
        return
    book = shared.quotas
    number = book.next_number()
    tokens = len(use.queue)
    use.ask = TokenRequest(number, ledger.name, tokens, now, bool(skipped))
    book.silence.sent(ledger.name, now)
    shared.count("quota_asks")
    message = QuotaAsk(own.name, own.address, book.epoch, number, name, tokens)
    message.declined = declined_ledgers(name, shared, now)
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
            book.with_spares.add(grant.account)
    if grant.granted >= tokens:
        ask(grant.account, use, shared, now, out)
        return
    # The next ledger may not have told of the account yet.
    use.metered_until = now + NOTICE_TTL_S
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
    if message.declined:
        shared.count("quota_declined")
        quotahandover.record_declined(
            message.sender, message.account, shared, now
        )
        ask(message.account, use, shared, now, out)
        return
    use_grant(message, tokens, use, shared, now, out)
