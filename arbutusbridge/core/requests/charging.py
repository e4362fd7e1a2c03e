"""Losses of upstreams charged to the requests that they ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import (
    BroadcastNotice,
    Decision,
    Notice,
    NoticeKind,
    ReplyKind,
)
from arbutusbridge.core.requests.quarantine import ChargeResult

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Action, Reply
    from arbutusbridge.core.requests.pending_attempts import ShardTask
    from arbutusbridge.core.requests.query import Query
    from arbutusbridge.core.requests.records import Record
    from arbutusbridge.core.requests.tier import Tier


def charge_search(
    query: Query,
    task: ShardTask,
    reply: Reply,
    tier: Tier,
    now: float,
    out: list[Action],
) -> bool:
    """Charges a lost connection to a search; True quarantines it."""
    quarantine = tier.intake.quarantine
    fingerprint = query.fingerprint
    stale = reply.kind is ReplyKind.STALE
    if stale and quarantine.excuse_stale_connection(fingerprint, now):
        return False
    had_result = query.merge is not None and bool(query.merge.answered)
    result = quarantine.charge(
        fingerprint, reply.upstream, task.shard.name, had_result, now
    )
    publish_finding(result, query, reply.upstream, out)
    if result is not ChargeResult.QUARANTINE:
        return False
    tier.intake.end_quarantined(fingerprint, query, tier, now, out)
    return True


def charge_record(
    record: Record,
    task: ShardTask,
    reply: Reply,
    tier: Tier,
    now: float,
    out: list[Action],
) -> None:
    """Charges a lost connection to a record, which is never resent."""
    result = tier.intake.quarantine.charge(
        record.fingerprint, reply.upstream, task.shard.name, False, now
    )
    publish_finding(result, record, reply.upstream, out)


def publish_finding(
    result: ChargeResult,
    owner: Query | Record,
    upstream: str,
    out: list[Action],
) -> None:
    """Tells the other instances and the log of a finding."""
    if result is ChargeResult.NOTHING:
        return
    fingerprint = owner.fingerprint
    out.append(BroadcastNotice(Notice(NoticeKind(result.value), fingerprint)))
    detail = {"fingerprint": fingerprint, "upstream": upstream}
    request_id = owner.request.request_id
    out.append(Decision(request_id, result.value, detail))


def on_notice(
    notice: Notice, tier: Tier, now: float, out: list[Action]
) -> None:
    """Takes another instance's finding about a request."""
    quarantine = tier.intake.quarantine
    if notice.kind is NoticeKind.SUSPECT:
        quarantine.on_peer_suspect(notice.subject, notice.age, now)
    elif notice.kind is NoticeKind.QUARANTINE:
        quarantine.on_peer_quarantine(notice.subject, notice.age, now)
        tier.intake.end_quarantined(notice.subject, None, tier, now, out)
