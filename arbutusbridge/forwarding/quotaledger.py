"""Decisions of the ledger of a client account.

It keeps the token bucket of the account, to which the other instances report
what they admit, and decides whether the account is open or metered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import quotahandover
from arbutusbridge.forwarding.gather import SendGatherMessage
from arbutusbridge.forwarding.limits import MAX_RETRY_AFTER_S
from arbutusbridge.forwarding.quotabook import Bucket
from arbutusbridge.forwarding.quotamessages import (
    MeteredNotice,
    QuotaAck,
    QuotaGrant,
)
from arbutusbridge.forwarding.quotaranking import (
    MIN_BATCH_INTERVAL_S,
    batch_interval_s,
    find_account,
    find_standing,
    group_of,
    known_peers,
    refresh_orders,
    repeat_interval_s,
    update_majority,
)
from arbutusbridge.forwarding.ratelimit import spread_return

if TYPE_CHECKING:
    from collections.abc import Iterable

    from arbutusbridge.forwarding.model import Account
    from arbutusbridge.forwarding.quotamessages import QuotaAsk, QuotaBatch
    from arbutusbridge.forwarding.shared import SharedState

NOTICE_DELAY_S = 0.03
"""Time that a batch and the notice after it take between two regions."""

NOTICE_SPACING = 0.4
"""Shortest time between two notices of changes, as a fraction of the interval
of the batches."""

MAX_NOTICE_ACCOUNTS = 512
"""Maximum number of accounts in one notice."""

OPEN_DEPTH = 0.5
"""Fraction of the depth of its bucket at which an account becomes open."""


def find_bucket(account: Account, shared: SharedState, now: float) -> Bucket:
    """Returns the bucket of an account, refilled to now."""
    bucket = shared.quotas.buckets.get(account.name)
    if bucket is None:
        standing = find_standing(account, False, shared, is_claiming=True)
        bucket = Bucket(
            standing.rate,
            standing.depth,
            min(standing.depth, standing.initial),
            now,
        )
        shared.quotas.buckets[account.name] = bucket
    quotahandover.update_claim(account.name, shared, now)
    is_claiming = bucket.claim is not None
    standing = find_standing(account, bucket.is_whole, shared, is_claiming)
    bucket.refill(standing.rate, standing.depth, now)
    return bucket


def update_state(
    account: Account,
    bucket: Bucket,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Decides whether an account is metered or open.

    It is metered before its bucket is empty: until the notice arrives, as many
    requests are admitted as its recent rate exceeds the refill. A claim does
    not show yet how many tokens are left.
    """
    if bucket.claim is not None:
        return
    delay_s = batch_interval_s(shared) + NOTICE_DELAY_S
    excess = max(0.0, bucket.meter.rate(now) - bucket.rate) * delay_s
    left = bucket.tokens - excess
    threshold = bucket.depth * OPEN_DEPTH if bucket.metered else 1.0
    metered = left < threshold
    if metered == bucket.metered:
        return
    bucket.metered = metered
    detail = {
        "account": account.name,
        "tokens": round(bucket.tokens, 1),
        "rate": round(bucket.rate, 2),
        "recent_rate": round(bucket.meter.rate(now), 1),
    }
    what = "quota_metered" if metered else "quota_open"
    out.append(Decision("", what, detail))
    shared.quotas.changed.add(account.name)


def on_batch(
    message: QuotaBatch, shared: SharedState, now: float, out: list[object]
) -> None:
    """Counts the requests that an instance has admitted by itself."""
    book = shared.quotas
    refresh_orders(shared, now, out)
    epoch, number = book.seen.get(message.sender, (message.epoch, -1))
    is_new = epoch != message.epoch or message.number > number
    if is_new:
        book.seen[message.sender] = (message.epoch, message.number)
    ack = QuotaAck(shared.gather.own_name, message.number)
    for name, count in zip(message.accounts, message.counts, strict=False):
        account = find_ledger_account(name, shared)
        if account is None:
            ack.declined.append(name)
            continue
        bucket = find_bucket(account, shared, now)
        if is_new:
            bucket.count(count, now)
            update_state(account, bucket, shared, now, out)
        if bucket.metered:
            ack.metered.append(name)
    out.append(SendGatherMessage(message.reply_to, ack))
    quotahandover.send_claims(shared, now, out)
    notify_changes(shared, now, out)


def find_ledger_account(name: str, shared: SharedState) -> Account | None:
    """Returns an account that this instance may be the ledger of, or None.

    An instance that is stopping leaves its accounts to the others. So does one
    whose configuration does not have an account yet or any more.
    """
    if not shared.gather.accepts_requests:
        return None
    return find_account(name, shared)


def on_ask(
    message: QuotaAsk,
    shared: SharedState,
    now: float,
    out: list[object],
    arrived: float | None = None,
) -> None:
    """Replies to a token request, or lets it wait for a claim.

    Args:
      message: The token request.
      shared: State of this instance.
      now: The time.
      out: Actions, to which those of this function are appended.
      arrived: When it arrived, None for just now.
    """
    refresh_orders(shared, now, out)
    account = find_ledger_account(message.account, shared)
    grant = QuotaGrant(
        shared.gather.own_name,
        message.ask_id,
        message.account,
        declined=account is None,
    )
    if account is not None:
        for name in message.declined:
            quotahandover.record_declined(name, account.name, shared, now)
        bucket = find_bucket(account, shared, now)
        epoch, last = bucket.answers.get(message.sender, (0, None))
        if last is not None and epoch == message.epoch:
            if message.ask_id < last.ask_id:
                return
            if message.ask_id == last.ask_id:
                out.append(SendGatherMessage(message.reply_to, last))
                return
        if quotahandover.is_misdirected(account.name, shared, now):
            grant.declined = True
            out.append(SendGatherMessage(message.reply_to, grant))
            return
        if bucket.awaits_claim(message.tokens):
            key = (message.sender, message.account)
            since = now if arrived is None else arrived
            shared.quotas.deferred[key] = (since, message)
            quotahandover.send_claims(shared, now, out)
            return
        grant.granted, grant.retry_s = grant_tokens(
            account, bucket, message.tokens, shared, now, out
        )
        bucket.answers[message.sender] = (message.epoch, grant)
    out.append(SendGatherMessage(message.reply_to, grant))
    quotahandover.send_claims(shared, now, out)
    notify_changes(shared, now, out)


def grant_tokens(
    account: Account,
    bucket: Bucket,
    tokens: int,
    shared: SharedState,
    now: float,
    out: list[object],
) -> tuple[int, float]:
    """Grants tokens.

    Returns:
      Their number, and the time after which the first request without one
      should come back, in seconds.
    """
    granted = bucket.take(tokens, now)
    update_state(account, bucket, shared, now, out)
    if granted == tokens:
        return granted, 0.0
    retry_s = spread_retry(bucket, tokens - granted, shared, now)
    return granted, retry_s


def spread_retry(
    bucket: Bucket, requests: int, shared: SharedState, now: float
) -> float:
    """Returns the retry time of rejected requests, in seconds.

    Beyond the longest time, the times are spread at random.
    """
    rate = bucket.rate
    earliest = now + (1.0 - bucket.tokens) / rate
    at = spread_return(bucket.return_at, earliest, rate)
    if at - now <= MAX_RETRY_AFTER_S:
        bucket.return_at = at + (requests - 1) / rate
        return at - now
    return MAX_RETRY_AFTER_S * shared.rng.uniform(0.5, 1.0)


def notify_changes(
    shared: SharedState, now: float, out: list[object], at_once: bool = False
) -> None:
    """Tells all instances which accounts became metered or open.

    Args:
      shared: State of this instance.
      now: The time.
      out: Actions, to which those of this function are appended.
      at_once: Whether also soon after the last notice.
    """
    book = shared.quotas
    if not book.changed:
        return
    spacing_s = NOTICE_SPACING * batch_interval_s(shared)
    if not at_once and now - book.noticed_at < spacing_s:
        return
    book.noticed_at = now
    names, book.changed = book.changed, set()
    send_notices(names, shared, now, out)


def send_notices(
    names: Iterable[str], shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends all instances the state of accounts that are led here."""
    book = shared.quotas
    if not book.led_since or not book.has_rates:
        return
    known = [one for one in names if one in book.buckets]
    led = sorted(one for one in known if group_of(one) in book.led_since)
    for start in range(0, max(1, len(led)), MAX_NOTICE_ACCOUNTS):
        part = led[start : start + MAX_NOTICE_ACCOUNTS]
        metered = [one for one in part if book.buckets[one].metered]
        opened = [one for one in part if not book.buckets[one].metered]
        notice = MeteredNotice(shared.gather.own_name, metered, opened)
        own = shared.gather.own_peer
        if own is not None and quotahandover.is_little_known(shared, now):
            notice.reply_to = own.address
            notice.data_centre = own.data_centre
        for peer in known_peers(shared):
            out.append(SendGatherMessage(peer.address, notice))
            shared.count("quota_notices")


def maintain(shared: SharedState, now: float, out: list[object]) -> None:
    """Opens accounts that have recovered, and repeats notices."""
    book = shared.quotas
    update_majority(shared, now)
    book.maintained_at = now
    metered = []
    for name, bucket in list(book.buckets.items()):
        account = find_account(name, shared)
        if account is None:
            if name not in book.invalid_names:
                del book.buckets[name]
                book.claiming.discard(name)
            continue
        quotahandover.update_claim(name, shared, now)
        if bucket.metered:
            update_state(
                account, find_bucket(account, shared, now), shared, now, out
            )
            metered.append(name)
    quotahandover.send_claims(shared, now, out, repeat=True)
    # The timer that calls this may be a little early.
    due_at = now - repeat_interval_s(shared) + 0.1 * MIN_BATCH_INTERVAL_S
    if book.repeated_at > due_at:
        notify_changes(shared, now, out, at_once=True)
        return
    book.repeated_at = now
    names, book.changed = book.changed | set(metered), set()
    send_notices(names, shared, now, out)


def count_metered(shared: SharedState) -> int:
    """Returns the number of accounts that are led here and metered."""
    book = shared.quotas
    return sum(
        bucket.metered and group_of(name) in book.led_since
        for name, bucket in book.buckets.items()
    )
