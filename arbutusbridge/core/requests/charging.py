"""Charging of lost connections to the requests that may have caused them."""

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
    from collections.abc import Sequence

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
    """Charges a lost connection to a search.

    Returns:
      Whether the search is now quarantined.
    """
    quarantine = tier.intake.quarantine
    fingerprint = query.fingerprint
    stale = reply.kind is ReplyKind.STALE
    if stale and quarantine.excuse_stale_connection(fingerprint, now):
        return False
    had_result = query.merged is not None and bool(query.merged.answered)
    result = quarantine.charge(
        fingerprint, reply.upstream, task.shard.name, had_result, now
    )
    broadcast_charge_result(result, query, reply.upstream, out)
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
    broadcast_charge_result(result, record, reply.upstream, out)


def broadcast_charge_result(
    result: ChargeResult,
    owner: Query | Record,
    upstream: str,
    out: list[Action],
) -> None:
    """Sends the result of a charge to the other instances and logs it."""
    if result is ChargeResult.NOTHING:
        return
    fingerprint = owner.fingerprint
    out.append(BroadcastNotice(Notice(NoticeKind(result.value), fingerprint)))
    request_id = owner.request.request_id
    out.append(build_charge_decision(result, request_id, fingerprint, upstream))


def build_charge_decision(
    result: ChargeResult,
    request_id: str,
    fingerprint: str,
    upstream: str,
    evidence: Sequence[str] = (),
) -> Decision:
    """Returns the log entry of a loss that was charged to a request."""
    detail: dict[str, object] = {
        "fingerprint": fingerprint,
        "upstream": upstream,
    }
    if evidence:
        detail["evidence"] = list(evidence)
    return Decision(request_id, result.value, detail)


def on_notice(
    notice: Notice, tier: Tier, now: float, out: list[Action]
) -> None:
    """Applies another instance's notice of a suspect or a quarantine."""
    quarantine = tier.intake.quarantine
    if notice.kind is NoticeKind.SUSPECT:
        quarantine.on_peer_suspect(notice.subject, notice.age, now)
    elif notice.kind is NoticeKind.QUARANTINE:
        quarantine.on_peer_quarantine(notice.subject, notice.age, now)
        tier.intake.end_quarantined(notice.subject, None, tier, now, out)
