"""Choice of the ledger of each client account.

The ledger of an account is the first of all instances in a fixed pseudo-random
order. Instances that do not reach it turn to a substitute in their own region,
which has a small part of the rate.
"""

from __future__ import annotations

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
      is_first: Whether it is the ledger, and not a substitute.
      rate: Tokens per second.
      depth: Depth of the bucket, in tokens.
      initial: Tokens that a new ledger starts with.
      since: When it became the ledger, None for just now.
    """

    is_first: bool
    rate: float
    depth: float
    initial: float
    since: float | None = None


def group_of(account: str) -> int:
    """Returns the group of an account."""
    return zlib.crc32(account.encode()) % LEDGER_GROUPS


def find_account(name: str, shared: SharedState) -> Account | None:
    """Returns an account that has a rate, None if there is none."""
    if shared.table is None or shared.table.accounts is None:
        return None
    account = shared.table.accounts.by_name.get(name)
    return account if account is not None and account.rate > 0.0 else None


def known_instances(shared: SharedState) -> list[Peer]:
    """Returns the instances that may be ledgers, this one first."""
    own = shared.gather.own_peer
    assert own is not None
    peers = shared.gather.peer_table.peers.values()
    return [own, *(peer for peer in peers if peer.knows_accounts)]


def region_of(peer: Peer, shared: SharedState) -> str:
    """Returns the region of an instance."""
    return shared.place.regions.get(peer.data_centre, peer.data_centre)


def refresh_orders(shared: SharedState, now: float, out: list[object]) -> None:
    """Finds the ledgers again after the known instances have changed."""
    book = shared.quotas
    own = shared.gather.own_peer
    peers = shared.gather.peer_table.peers
    if own is None or book.ranked_for is peers:
        return
    book.ranked_for = peers
    book.orders.clear()
    found = known_instances(shared)
    led = {
        group
        for group in range(LEDGER_GROUPS)
        if min(found, key=lambda peer: rank_of(str(group), peer)) is own
    }
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


def choose_ledger(
    account: str, shared: SharedState, now: float, skipped: str = ""
) -> Peer | None:
    """Returns the instance to ask about an account, None if there is none.

    Instances that do not reach the first one choose in their own region, so
    that those of a region that is cut off agree at once.

    Args:
      account: Name of the account.
      shared: State of this instance.
      now: The time.
      skipped: Name of an instance that has not replied just now.
    """
    silence = shared.quotas.silence
    order = rank_ledgers(account, shared)
    first = order[0]
    if first.name != skipped and not silence.is_excluded(first.name, now):
        return first
    others = [
        peer
        for peer in order[1:]
        if peer.name != skipped and not silence.is_excluded(peer.name, now)
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


def find_standing(account: Account, shared: SharedState) -> Standing:
    """Returns what this instance may grant of an account as its ledger."""
    book = shared.quotas
    limits = book.limits
    own = shared.gather.own_peer
    excess = limits.overage * (limits.window_s * account.rate + account.burst)
    depth = account.burst + limits.slack / 2 + DEPTH_SHARE * excess
    initial = limits.slack / 4
    if own is None or not shared.gather.peer_table.peers:
        share = 1.0 / max(1, shared.instances)
        return Standing(
            True, account.rate * share, max(1.0, depth * share), initial * share
        )
    if rank_ledgers(account.name, shared)[0] is own:
        since = book.led_since.get(group_of(account.name))
        return Standing(True, account.rate, depth, initial, since)
    regions = len({region_of(peer, shared) for peer in known_instances(shared)})
    excess = SUBSTITUTE_SHARE * excess + limits.slack / 4
    fraction = substitute_fraction(account, regions, excess / limits.window_s)
    depth = max(1.0, limits.slack / 4 / regions)
    return Standing(False, account.rate * fraction, depth, depth)
