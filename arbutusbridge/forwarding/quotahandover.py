"""Hand-over of accounts from one ledger to the next.

Two instances may take themselves for the ledger of one account: their lists of
instances or their configurations differ, or one of them is stopping. An
instance grants the whole rate only once it has claimed the account: it tells
all others, and the one that has kept the bucket until then yields it with the
tokens left. An instance that is not the ledger, because it is stopping or does
not know the account, declines, so that the next one in order is asked.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding.gather import (
    CLAIMS_PROTOCOL,
    Peer,
    SendGatherMessage,
)
from arbutusbridge.forwarding.quotabook import Claim
from arbutusbridge.forwarding.quotamessages import (
    MeteredNotice,
    QuotaClaim,
    QuotaYield,
)
from arbutusbridge.forwarding.quotaranking import (
    FRESH_REPEATS,
    active_ledgers,
    find_account,
    find_standing,
    find_successor,
    group_of,
    is_entitled,
    known_peers,
    rank_ledgers,
    repeat_interval_s,
    takeover_delay_s,
)

if TYPE_CHECKING:
    from arbutusbridge.forwarding.quotabook import Bucket
    from arbutusbridge.forwarding.shared import SharedState

REPLY_TIMEOUT_S = 0.1
"""Time after which a claim needs the replies of most instances only; the others
are busy or gone."""

DECLINED_S = 1.0
"""Time for which an instance is not asked about an account that it declined; a
new configuration takes effect everywhere within seconds."""

UNKNOWN_S = 10.0
"""Time after which all others know a new instance, unless they are cut off from
the store."""

MAX_STORE_AGE_S = 3.0
"""Time since the store last confirmed its contents after which it may have
removed the key of this instance."""

ADDED_S = 5.0
"""Time for which an account is new; most likely it has had no ledger before."""

MAX_CLAIMED_ACCOUNTS = 512
"""Maximum number of accounts in one claim."""


def update_claim(name: str, shared: SharedState, now: float) -> None:
    """Begins, ends or resolves the claim of this instance to an account."""
    book = shared.quotas
    bucket = book.buckets[name]
    if not may_lead(name, shared, now):
        bucket.claim = None
        book.claiming.discard(name)
        if bucket.is_whole:
            bucket.is_whole = False
            bucket.refill(bucket.rate, bucket.depth, now)
            bucket.kept, bucket.kept_at = bucket.tokens, now
            bucket.yielded_to = ""
        return
    if bucket.is_whole:
        return
    if bucket.claim is None:
        bucket.claim = Claim(now, bucket.tokens)
        book.claiming.add(name)
        # Its own list of instances may have named the former ledger.
        bucket.claim.awaited = {
            one: now for one in find_ledgers(name, shared, now)
        }
    if is_resolved(bucket.claim, shared, now):
        take_over(name, bucket, shared, now)


def may_lead(name: str, shared: SharedState, now: float) -> bool:
    """Returns whether this instance may claim an account, or keep it.

    After a pause it has to hear of the other ledgers first, as one of them may
    have replaced it meanwhile.
    """
    gather = shared.gather
    if gather.own_peer is None or not gather.peer_table.peers:
        return False
    lapse_s = FRESH_REPEATS * repeat_interval_s(shared)
    was_paused = now - shared.quotas.maintained_at > lapse_s
    return not was_paused and is_entitled(name, shared, now)


def find_ledgers(name: str, shared: SharedState, now: float) -> set[str]:
    """Returns the other instances that may grant tokens of an account.

    These are the first one in order, the one before it, and the one that has
    replaced it, as far as they were heard of lately.
    """
    book = shared.quotas
    found = {rank_ledgers(name, shared)[0].name}
    found.add(book.former.get(group_of(name), ""))
    successor = find_successor(name, shared, now)
    if successor is not None:
        found.add(successor.name)
    fresh_s = FRESH_REPEATS * repeat_interval_s(shared)
    last_at = book.silence.last_at
    return {
        one
        for one in found
        if one in last_at
        and now - last_at[one] <= fresh_s
        and one != shared.gather.own_name
    }


def is_resolved(claim: Claim, shared: SharedState, now: float) -> bool:
    """Returns whether no other instance can be the ledger any more.

    One that cannot be reached grants a small part of the rate by the time at
    which nobody hears of it.
    """
    if claim.yielded is not None:
        return True
    lapse_s = FRESH_REPEATS * repeat_interval_s(shared)
    for name, named_at in claim.awaited.items():
        if name not in claim.replied and now - named_at <= lapse_s:
            return False
    peers = {peer.name for peer in known_peers(shared) if peer.knows_claims}
    missing = len(peers - claim.replied)
    if not missing:
        return True
    if now - claim.since <= REPLY_TIMEOUT_S:
        return False
    return 2 * missing <= len(peers) + 1 or now - claim.since > lapse_s


def take_over(
    name: str, bucket: Bucket, shared: SharedState, now: float
) -> None:
    """Makes this instance the ledger of an account.

    It continues with the tokens of the one before it. Without one, the account
    has rested since this instance became the first in order, or since ever if
    it is new.
    """
    book = shared.quotas
    claim, account = bucket.claim, find_account(name, shared)
    if claim is None or account is None:
        return
    standing = find_standing(account, True, shared)
    spent = max(0.0, claim.tokens - bucket.tokens)
    left = [] if claim.yielded is None else [claim.yielded]
    if bucket.kept is not None and not bucket.yielded_to:
        left.append(count_kept(name, bucket, shared, now))
    if not left and now - book.added_at.get(name, -math.inf) <= ADDED_S:
        left.append(standing.depth)
    elif not left:
        since = book.led_since.get(group_of(name), now)
        left = [standing.initial + (now - since) * standing.rate]
    bucket.refill(standing.rate, standing.depth, now)
    bucket.tokens = min(standing.depth, *left) - spent
    bucket.claim = bucket.kept = None
    bucket.is_whole = True
    book.claiming.discard(name)
    detail = {
        "account": name,
        "tokens": round(bucket.tokens, 1),
        "yielded": claim.yielded is not None,
        "replied": len(claim.replied),
        "awaited": sorted(claim.awaited),
        "ms": round((now - claim.since) * 1000),
        "store_age_ms": shared.store_age_ms(now),
    }
    book.taken_over.append(Decision("", "quota_taken_over", detail))


def count_kept(
    name: str, bucket: Bucket, shared: SharedState, now: float
) -> float:
    """Returns the tokens kept of an account, refilled to now."""
    account = find_account(name, shared)
    if bucket.kept is None or account is None:
        return 0.0
    standing = find_standing(account, True, shared)
    refilled = bucket.kept + (now - bucket.kept_at) * standing.rate
    return min(standing.depth, refilled)


def send_claims(
    shared: SharedState, now: float, out: list[object], repeat: bool = False
) -> None:
    """Tells the other instances of claims.

    Args:
      shared: State of this instance.
      now: The time.
      out: Actions, to which those of this function are appended.
      repeat: Whether to tell those again that have not replied.
    """
    book = shared.quotas
    out += book.taken_over
    book.taken_over.clear()
    own = shared.gather.own_peer
    claims = {
        name: claim
        for name in sorted(book.claiming)
        if (bucket := book.buckets.get(name)) is not None
        and (claim := bucket.claim) is not None
        and (repeat or not claim.sent)
    }
    if not claims or own is None:
        return
    departed = shared.gather.peer_table.departed.values()
    for peer in (*known_peers(shared), *departed):
        if not peer.knows_claims:
            continue
        names = [
            name
            for name, claim in claims.items()
            if peer.name not in claim.replied
        ]
        for start in range(0, len(names), MAX_CLAIMED_ACCOUNTS):
            part = names[start : start + MAX_CLAIMED_ACCOUNTS]
            message = QuotaClaim(own.name, own.address, own.data_centre, part)
            out.append(SendGatherMessage(peer.address, message))
            shared.count("quota_claims")
    for sent in claims.values():
        sent.sent = True


def on_claim(
    message: QuotaClaim, shared: SharedState, now: float, out: list[object]
) -> bool:
    """Yields the buckets of accounts that another instance claims.

    Returns:
      Whether this instance remains the ledger of any of them, since it precedes
      the sender.
    """
    book = shared.quotas
    own = shared.gather.own_peer
    if own is None:
        return False
    reply = QuotaYield(own.name, own.address, own.data_centre)
    reply.accounts = message.accounts
    ledgers = set()
    for name in message.accounts:
        # Before the sender is known here, since it takes their place.
        ledgers |= find_ledgers(name, shared, now)
    introduce(message, shared, now, out)
    for name in message.accounts:
        book.declined.pop((message.sender, name), None)
        book.claimed_at[message.sender, name] = now
        bucket = book.buckets.get(name)
        if bucket is None:
            continue
        update_claim(name, shared, now)
        if bucket.is_whole:
            # The sender does not know this instance, which precedes it.
            ledgers.add(own.name)
        elif bucket.kept is not None and bucket.yielded_to in (
            "",
            message.sender,
        ):
            kept = count_kept(name, bucket, shared, now)
            bucket.yielded_to = message.sender
            reply.held.append(name)
            reply.tokens.append(round(kept, 3))
            if bucket.metered:
                reply.metered.append(name)
    ledgers.discard(message.sender)
    reply.ledgers = sorted(ledgers)
    if reply.held:
        detail = {
            "to": message.sender,
            "accounts": reply.held[:20],
            "tokens": reply.tokens[:20],
            "store_age_ms": shared.store_age_ms(now),
        }
        out.append(Decision("", "quota_yielded", detail))
    out.append(SendGatherMessage(message.reply_to, reply))
    send_claims(shared, now, out)
    return own.name in ledgers


def is_misdirected(name: str, shared: SharedState, now: float) -> bool:
    """Returns whether a ledger precedes this one that the store does not name.

    Whoever asks this instance does not know that ledger yet.
    """
    order = active_ledgers(name, shared, now)
    return bool(order) and order[0].name in shared.gather.peer_table.introduced


def on_yield(
    message: QuotaYield, shared: SharedState, now: float, out: list[object]
) -> None:
    """Records the reply to a claim."""
    book = shared.quotas
    introduce(message, shared, now, out)
    yielded = dict(zip(message.held, message.tokens, strict=False))
    metered = set(message.metered)
    for name in message.accounts:
        bucket = book.buckets.get(name)
        claim = bucket.claim if bucket is not None else None
        if bucket is None or claim is None:
            continue
        if message.sender not in message.ledgers:
            claim.replied.add(message.sender)
        for ledger in message.ledgers:
            if ledger != shared.gather.own_name:
                claim.awaited[ledger] = now
        if name in yielded:
            tokens = yielded[name]
            if claim.yielded is not None:
                tokens = min(tokens, claim.yielded)
            claim.yielded = tokens
            if name in metered and not bucket.metered:
                bucket.metered = True
                book.changed.add(name)
        update_claim(name, shared, now)
    send_claims(shared, now, out)


def is_little_known(shared: SharedState, now: float) -> bool:
    """Returns whether other instances may not know this one from the store.

    It is new, or its key may have been removed while it is cut off.
    """
    since = max(shared.quotas.led_since.values(), default=-math.inf)
    confirmed_at = shared.get_confirmed_at()
    return now - since <= UNKNOWN_S or now - confirmed_at > MAX_STORE_AGE_S


def introduce(
    message: QuotaClaim | QuotaYield | MeteredNotice,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Records that another instance runs, even if the store does not name it.

    An instance that is cut off from the store does not know those that have
    started meanwhile, and would go on as the ledger in their place. They may
    cease to know it themselves.
    """
    book, table = shared.quotas, shared.gather.peer_table
    book.silence.noticed(message.sender, now)
    is_known = message.sender in table.peers
    if (
        is_known
        or message.sender in table.introduced
        or message.reply_to is None
    ):
        return
    if isinstance(message, QuotaYield) and (
        message.sender not in message.ledgers
    ):
        # One that is stopping is only asked for what it has kept.
        return
    table.introduce(
        Peer(
            message.sender,
            message.data_centre,
            message.reply_to,
            protocol=CLAIMS_PROTOCOL,
        )
    )
    book.orders.clear()
    book.ranked_for = None
    detail = {
        "peer": message.sender,
        "store_age_ms": shared.store_age_ms(now),
    }
    out.append(Decision("", "quota_peer_introduced", detail))


def record_declined(
    ledger: str, account: str, shared: SharedState, now: float
) -> None:
    """Records that an instance is not the ledger of an account.

    One that has claimed it since knows it by now.
    """
    book = shared.quotas
    if ledger == shared.gather.own_name:
        return
    claimed_at = book.claimed_at.get((ledger, account))
    if claimed_at is None or now - claimed_at > DECLINED_S:
        book.declined[ledger, account] = now + DECLINED_S


def forget_expired(shared: SharedState, now: float) -> None:
    """Forgets instances and refusals that no longer matter."""
    book, table = shared.quotas, shared.gather.peer_table
    for key, until in list(book.declined.items()):
        if until <= now:
            del book.declined[key]
    for key, at in list(book.claimed_at.items()):
        if now - at > DECLINED_S:
            del book.claimed_at[key]
    takeover_s = takeover_delay_s(shared)
    last_at = book.silence.last_at
    for name in [*table.introduced, *table.departed]:
        heard_at = max(last_at.get(name, 0.0), book.ranked_at)
        if now - heard_at > takeover_s:
            table.forget(name)
            book.orders.clear()
            book.ranked_for = None
