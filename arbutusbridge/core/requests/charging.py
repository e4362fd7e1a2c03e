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
from arbutusbridge.core.requests.quarantine import Verdict

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Action, Reply
    from arbutusbridge.core.requests.flights import ShardTask
    from arbutusbridge.core.requests.once import Record
    from arbutusbridge.core.requests.query import Query
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
    if stale and quarantine.excuses(fingerprint, now):
        return False
    proven = query.merge is not None and bool(query.merge.answered)
    verdict = quarantine.charge(
        fingerprint, reply.upstream, task.shard.name, proven, now
    )
    spread(verdict, query, reply.upstream, out)
    if verdict is not Verdict.QUARANTINE:
        return False
    tier.intake.stop(fingerprint, query, tier, now, out)
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
    verdict = tier.intake.quarantine.charge(
        record.fingerprint, reply.upstream, task.shard.name, False, now
    )
    spread(verdict, record, reply.upstream, out)


def spread(
    verdict: Verdict,
    owner: Query | Record,
    upstream: str,
    out: list[Action],
) -> None:
    """Tells the other instances and the log of a finding."""
    if verdict is Verdict.NOTHING:
        return
    fingerprint = owner.fingerprint
    out.append(BroadcastNotice(Notice(NoticeKind(verdict.value), fingerprint)))
    detail = {"fingerprint": fingerprint, "upstream": upstream}
    request_id = owner.request.request_id
    out.append(Decision(request_id, verdict.value, detail))


def hear(notice: Notice, tier: Tier, now: float, out: list[Action]) -> None:
    """Takes another instance's finding about a request."""
    quarantine = tier.intake.quarantine
    if notice.kind is NoticeKind.SUSPECT:
        quarantine.hear_suspect(notice.subject, notice.age, now)
    elif notice.kind is NoticeKind.QUARANTINE:
        quarantine.hear_quarantine(notice.subject, notice.age, now)
        tier.intake.stop(notice.subject, None, tier, now, out)
