"""Choice of the ledger of each client account.

The ledger of an account is the first of all instances in a fixed pseudo-random
order. Instances that do not reach it turn to a substitute in their own region,
which has a small part of the rate.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding.ranking import rank_of, rank_peers

if TYPE_CHECKING:
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.model import Account
    from arbutusbridge.forwarding.shared import SharedState

LEDGER_GROUPS = 32
"""Groups of accounts with a ledger each."""

MIN_BATCH_INTERVAL_S = 0.25
"""Interval of the batches in a small deployment."""

MAX_BATCH_INTERVAL_S = 1.0
"""Maximum interval of the batches."""

LARGE_DEPLOYMENT = 512
"""Number of instances with the maximum interval; it is proportional to their
number below."""

REPEAT_BATCHES = 4.0
"""Intervals of the batches after which a ledger repeats the notice of all
metered accounts. The notice is sent also without any, since instances admit
requests by themselves only if they have heard of the ledger lately."""

MAX_REPEAT_S = 2.5
"""Maximum interval of these notices."""

FRESH_REPEATS = 2.5
"""Intervals of a ledger's regular notices without any of them after which each
request asks for a token. Otherwise every instance of a region that is cut off
would admit its first requests."""

DEPTH_SHARE = 0.25
"""Share of the overage in the depth of a bucket. Requests are reported some at
a time, so that the bucket of an account with a high rate runs empty below its
quota without it (docs/design/quotas.md)."""

SUBSTITUTE_SHARE = 0.5
"""Share of the overage that all substitutes may grant together; the rest is
left to what is admitted until a notice arrives."""


@dataclass(frozen=True, slots=True)
class Standing:
    """What an instance may grant of an account as its ledger.

    Attributes:
      rate: Tokens per second.
      depth: Depth of the bucket, in tokens.
      initial: Tokens that it starts with.
    """

    rate: float
    depth: float
    initial: float


def group_of(account: str) -> int:
    """Returns the group of an account."""
    return zlib.crc32(account.encode()) % LEDGER_GROUPS


def find_account(name: str, shared: SharedState) -> Account | None:
    """Returns an account that has a rate, None if there is none."""
    if shared.table is None or shared.table.accounts is None:
        return None
    account = shared.table.accounts.by_name.get(name)
    return account if account is not None and account.rate > 0.0 else None


def batch_interval_s(shared: SharedState) -> float:
    """Returns the interval of the batches."""
    interval_s = MAX_BATCH_INTERVAL_S * shared.instances / LARGE_DEPLOYMENT
    return min(MAX_BATCH_INTERVAL_S, max(MIN_BATCH_INTERVAL_S, interval_s))


def repeat_interval_s(shared: SharedState) -> float:
    """Returns the interval of the regular notices."""
    return min(MAX_REPEAT_S, REPEAT_BATCHES * batch_interval_s(shared))


def known_peers(shared: SharedState) -> list[Peer]:
    """Returns the other instances that may be ledgers."""
    table = shared.gather.peer_table
    peers = [peer for peer in table.peers.values() if peer.knows_accounts]
    return [*peers, *table.introduced.values()]


def known_instances(shared: SharedState) -> list[Peer]:
    """Returns the instances that may be ledgers.

    This one is among them unless it is stopping and there are others.
    """
    own = shared.gather.own_peer
    assert own is not None
    peers = known_peers(shared)
    if peers and not shared.gather.accepts_requests:
        return peers
    return [own, *peers]


def region_of(peer: Peer, shared: SharedState) -> str:
    """Returns the region of an instance."""
    return shared.place.regions.get(peer.data_centre, peer.data_centre)


def refresh_orders(shared: SharedState, now: float, out: list[object]) -> None:
    """Finds the ledgers again after the known instances have changed."""
    book = shared.quotas
    own = shared.gather.own_peer
    peers = shared.gather.peer_table.peers
    if own is None:
        return
    found_for = (peers, shared.gather.accepts_requests)
    if book.ranked_for is not None and (
        book.ranked_for[0] is peers and book.ranked_for[1] == found_for[1]
    ):
        return
    book.ranked_for = found_for
    book.orders.clear()
    found = known_instances(shared)
    firsts = [
        min(found, key=lambda peer: rank_of(str(group), peer))
        for group in range(LEDGER_GROUPS)
    ]
    book.ranked_at = now
    for group, peer in enumerate(firsts):
        former = book.firsts.get(group, peer.name)
        if former != peer.name:
            book.former[group] = former
        book.firsts[group] = peer.name
    book.ledgers = {peer.name for peer in firsts}
    led = {group for group, peer in enumerate(firsts) if peer is own}
    gained, lost = led - book.led_since.keys(), book.led_since.keys() - led
    for group in lost:
        del book.led_since[group]
    book.led_since.update(dict.fromkeys(gained, now))
    if gained or lost:
        detail = {
            "instances": len(found),
            "gained": sorted(gained),
            "lost": sorted(lost),
        }
        out.append(Decision("", "quota_ledger", detail))


def rank_ledgers(account: str, shared: SharedState) -> list[Peer]:
    """Returns the instances that may be the ledger of an account, in order."""
    group = group_of(account)
    order = shared.quotas.orders.get(group)
    if order is None:
        order = rank_peers(str(group), known_instances(shared))
        shared.quotas.orders[group] = order
    return order


def active_ledgers(account: str, shared: SharedState, now: float) -> list[Peer]:
    """Returns those of the ranked instances that have not declined."""
    order = rank_ledgers(account, shared)
    declined = declined_ledgers(account, shared, now)
    if not declined:
        return order
    return [peer for peer in order if peer.name not in declined]


def declined_ledgers(
    account: str, shared: SharedState, now: float
) -> list[str]:
    """Returns the names of those that have declined to lead an account."""
    declined = shared.quotas.declined
    if not declined:
        return []
    return [
        peer.name
        for peer in rank_ledgers(account, shared)
        if declined.get((peer.name, account), -math.inf) > now
    ]


def is_heard(
    name: str, within_s: float, shared: SharedState, now: float
) -> bool:
    """Returns whether a ledger was heard of, or has just become known."""
    book = shared.quotas
    last_at = book.silence.last_at.get(name, book.ranked_at)
    return (
        name == shared.gather.own_name
        or now - max(last_at, book.ranked_at) <= within_s
    )


def update_majority(shared: SharedState, now: float) -> None:
    """Finds out whether this instance hears of most of the ledgers."""
    book = shared.quotas
    fresh_s = FRESH_REPEATS * repeat_interval_s(shared)
    heard = sum(is_heard(one, fresh_s, shared, now) for one in book.ledgers)
    book.has_majority = 2 * heard > len(book.ledgers)
    book.is_minority = 2 * heard < len(book.ledgers)


def takeover_delay_s(shared: SharedState) -> float:
    """Returns the time without a message after which a ledger is replaced."""
    return 2 * FRESH_REPEATS * repeat_interval_s(shared)


def is_entitled(account: str, shared: SharedState, now: float) -> bool:
    """Returns whether this instance takes itself for the ledger of an account.

    Others may do so, too; see quotahandover.
    """
    own = shared.gather.own_peer
    order = active_ledgers(account, shared, now)
    if order and order[0] is own:
        return not shared.quotas.is_minority
    return find_successor(account, shared, now) is own


def find_successor(
    account: str, shared: SharedState, now: float
) -> Peer | None:
    """Returns the ledger that replaces a first one that is gone, if any.

    An instance that hears of most ledgers knows that the first one hears of few
    if it is alive, and grants the fraction of a substitute by then. Every such
    instance chooses the first of the ledgers that it still hears of.
    """
    book = shared.quotas
    order = active_ledgers(account, shared, now)
    takeover_s = takeover_delay_s(shared)
    if (
        not book.has_majority
        or not order
        or is_heard(order[0].name, takeover_s, shared, now)
    ):
        return None
    return next(
        (
            peer
            for peer in order
            if peer.name in book.ledgers
            and is_heard(peer.name, takeover_s, shared, now)
        ),
        None,
    )


def choose_ledger(
    account: str, shared: SharedState, now: float, skipped: str = ""
) -> Peer | None:
    """Returns the instance to ask about an account, None if there is none.

    Instances that do not reach the first one choose in their own region, so
    that those of a region that is cut off agree at once. If all have declined,
    this one is asked, as a substitute.

    Args:
      account: Name of the account.
      shared: State of this instance.
      now: The time.
      skipped: Name of an instance that has not replied just now.
    """
    silence = shared.quotas.silence
    order = active_ledgers(account, shared, now)
    if not order:
        return shared.gather.own_peer
    first = find_successor(account, shared, now) or order[0]
    if first.name != skipped and not silence.is_excluded(first.name, now):
        return first
    others = [
        peer
        for peer in order
        if peer is not first
        and peer.name != skipped
        and not silence.is_excluded(peer.name, now)
    ]
    own = shared.place.is_in_own_region
    near = (peer for peer in others if own(peer.data_centre))
    return next(near, others[0] if others else None)


def substitute_fraction(account: Account, regions: int, excess: float) -> float:
    """Returns the fraction of the rate that a substitute grants.

    Args:
      account: The account.
      regions: Number of regions, each of which may have a substitute.
      excess: Requests per second that all substitutes may grant together.
    """
    fraction = excess / (account.rate * regions)
    return min(1.0 / regions, fraction)


def find_standing(
    account: Account,
    is_whole: bool,
    shared: SharedState,
    is_claiming: bool = False,
) -> Standing:
    """Returns what this instance may grant of an account.

    Args:
      account: The account.
      is_whole: Whether it is the ledger and grants the whole rate.
      shared: State of this instance.
      is_claiming: Whether it is about to be.
    """
    limits = shared.quotas.limits
    excess = limits.overage * (limits.window_s * account.rate + account.burst)
    depth = account.burst + limits.slack / 2 + DEPTH_SHARE * excess
    initial = limits.slack / 4
    if shared.gather.own_peer is None or not shared.gather.peer_table.peers:
        share = 1.0 / max(1, shared.instances)
        depth = max(1.0, depth * share)
        return Standing(account.rate * share, depth, initial * share)
    if is_whole:
        return Standing(account.rate, depth, initial)
    places = [shared.gather.own_peer, *known_peers(shared)]
    regions = len({region_of(peer, shared) for peer in places})
    excess = SUBSTITUTE_SHARE * excess + limits.slack / 4
    fraction = substitute_fraction(account, regions, excess / limits.window_s)
    depth = max(1.0, initial if is_claiming else initial / regions)
    return Standing(account.rate * fraction, depth, depth)
