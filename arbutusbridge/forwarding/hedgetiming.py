"""When a hedge is sent, and when it would be too late."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import OpenAttempt, Upstream

MIN_REPLY_TIME_RATIO = 0.7
"""Fraction of the typical reply time below which no reply is expected."""

EARLY_HEDGE_FACTOR = 1.25
"""Multiple of the typical reply time before which no hedge is sent; by then
about three replies in four have arrived."""

BACKUP_REPLY_FACTOR = 1.2
"""Multiple of the typical reply time of another data centre that a hedge needs
to be answered in time. The work per request varies by about a third."""


def hedge_check_at(
    exchange: Exchange, attempt: OpenAttempt, shared: SharedState, now: float
) -> float:
    """Returns when to check whether an attempt needs a hedge.

    This is when its reply becomes overdue. If a hedge of a shard that is sent
    then would be answered too late, it is earlier, as late as still helps, but
    not before most replies have arrived.
    """
    if not exchange.route.shards or now >= exchange.partial_answer_at:
        return attempt.overdue_at
    earliest = now + EARLY_HEDGE_FACTOR * attempt.typical_s
    backup_s = backup_reply_time(exchange, attempt, shared)
    latest = exchange.partial_answer_at - BACKUP_REPLY_FACTOR * backup_s
    return min(attempt.overdue_at, max(earliest, latest))


def backup_reply_time(
    exchange: Exchange, attempt: OpenAttempt, shared: SharedState
) -> float:
    """Returns the typical reply time of the upstreams for a hedge, in seconds.

    It is that of the nearest other data centre of the shard; all shards of a
    request are mostly held by the same ones, so that it is looked up once.
    """
    if exchange.backup_reply_s is None:
        place = attempt.upstream.announcement.data_centre
        service = attempt.upstream.announcement.service
        others = shared.directory.data_centres(service) - {place}
        exchange.backup_reply_s = min(
            (shared.reply_times.typical(exchange.route, one) for one in others),
            default=attempt.typical_s,
        )
    return exchange.backup_reply_s


def is_too_late(
    exchange: Exchange, upstream: Upstream, shared: SharedState, now: float
) -> bool:
    """Returns whether the answer is due before an upstream can reply.

    An answer that does not cover enough shards yet is not due.
    """
    if not exchange.is_sufficient(exchange.answered):
        return False
    data_centre = upstream.announcement.data_centre
    typical_s = shared.reply_times.typical(exchange.route, data_centre)
    return now + MIN_REPLY_TIME_RATIO * typical_s > exchange.partial_answer_at
