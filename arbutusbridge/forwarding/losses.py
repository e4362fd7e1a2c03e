"""Crashes of upstreams, told from other losses of connections.

A connection that closes under a running request may be reset on the way, by a
replica that fails, or because the upstream crashed. A new connection tells: an
upstream that has crashed refuses it. Only crashes are charged to the requests
that ran there. An upstream that is back under a new start has crashed too, even
if nobody was refused in between.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.core.requests.charging import build_charge_decision
from arbutusbridge.core.requests.quarantine import ChargeResult
from arbutusbridge.forwarding import isolation, notices
from arbutusbridge.forwarding.evidence import CrashCheck, Loss
from arbutusbridge.forwarding.exchange import Exchange
from arbutusbridge.forwarding.messages import CheckUpstream

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Part
    from arbutusbridge.forwarding.model import Announcement
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import OpenAttempt, Upstream

CHECK_TIMEOUT_S = 0.06
"""Time that a retry waits for the check of its lost upstream. A refused
connection takes a round trip, 24 ms between regions."""

CHECK_TTL_S = 10.0
"""Time for which a loss may still be explained by the announcement of a new
start; upstreams are back, or their announcements gone, within seconds."""

MAX_LOSSES = 64
"""Maximum number of losses kept for one upstream; the latest are."""

MAX_CHECKS = 256
"""Maximum number of upstreams with recent losses; the oldest is dropped."""


def start_name(announcement: Announcement) -> str:
    """Returns the name of one start of an upstream."""
    return f"{announcement.upstream}@{announcement.started_ms}"


def on_loss(
    attempt: OpenAttempt,
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Records an attempt without a reply and checks its upstream.

    A leaving upstream may close its connections; it is not checked.
    """
    upstream = attempt.upstream
    if upstream.removed or upstream.leaving_at < math.inf:
        return
    name = start_name(upstream.announcement)
    check = shared.crash_checks.get(name)
    if check is None:
        check = add_check(name, name, upstream, shared, now)
    elif attempt.sent_at > check.crashed_at:
        # It accepted this attempt after its crash: it has started again, and
        # its announcement is not known yet.
        check = add_check(name, f"{check.name}+", upstream, shared, now)
    if check.crashed is False:
        check.since = now
    loss = Loss(
        exchange.request, part.service, part, exchange, now, attempt.alive_at
    )
    add_loss(check, loss)
    fingerprint = exchange.request.fingerprint
    shared.quarantine.record_loss(check.name, fingerprint, check.since)
    if check.crashed:
        charge(check, [loss], shared, now, out)
        return
    check.crashed = None
    part.crash_check_until = now + CHECK_TIMEOUT_S
    out.append(CheckUpstream(upstream.announcement))


def on_silence(
    attempt: OpenAttempt,
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
) -> None:
    """Records an attempt whose upstream never replied.

    It is charged if the upstream turns out to have ended. Until then a request
    without any result is sent to one upstream at a time.
    """
    upstream = attempt.upstream
    planned = upstream.leaving_at < math.inf
    if upstream.removed or planned or exchange.has_result:
        return
    name = start_name(upstream.announcement)
    check = shared.crash_checks.get(name)
    if check is None:
        check = add_check(name, name, upstream, shared, now)
    loss = Loss(
        exchange.request, part.service, part, exchange, now, attempt.alive_at
    )
    loss.refuted = check.crashed is False
    add_loss(check, loss)
    shared.quarantine.get_or_add_entry(exchange.request.fingerprint, now)


def add_loss(check: CrashCheck, loss: Loss) -> None:
    """Adds a loss and drops those that are too old or too many."""
    earliest = loss.at - CHECK_TTL_S
    check.losses = [one for one in check.losses if one.at > earliest]
    check.losses = [*check.losses[1 - MAX_LOSSES :], loss]


def add_check(
    key: str,
    name: str,
    upstream: Upstream,
    shared: SharedState,
    now: float,
) -> CrashCheck:
    """Adds the check of an upstream and drops those that are too old."""
    checks = shared.crash_checks
    for known, check in list(checks.items()):
        if len(checks) < MAX_CHECKS and now - check.since < CHECK_TTL_S:
            break
        del checks[known]
    checks.pop(key, None)
    checks[key] = CrashCheck(name, upstream, now)
    return checks[key]


def on_checked(
    announcement: Announcement,
    reachable: bool,
    shared: SharedState,
    now: float,
    out: list[object],
) -> list[Loss]:
    """Processes the result of a check.

    Returns:
      The losses whose parts need not wait any longer.
    """
    if reachable:
        record_alive(announcement, shared)
    check = shared.crash_checks.get(start_name(announcement))
    if check is None or check.crashed:
        return []
    open_losses = [loss for loss in check.losses if not loss.refuted]
    if not reachable and isolation.is_suspected(shared):
        # The refusal may come from a link of this instance. Retries wait until
        # that is known, or for the rest of the check's time.
        shared.isolation.deferred.append(announcement)
        for loss in open_losses:
            loss.part.crash_check_until = now + isolation.CONFIRMATION_S
        return []
    if reachable:
        check.crashed = False
        shared.quarantine.retract_crash(check.name)
    else:
        check.crashed = True
        check.crashed_at = now
        charge(check, open_losses, shared, now, out)
    for loss in open_losses:
        loss.refuted = reachable
        loss.part.crash_check_until = -math.inf
    return open_losses


def check_open_attempts(
    fingerprint: str, shared: SharedState, now: float, out: list[object]
) -> None:
    """Checks the upstreams at which a new suspect is still running.

    Those that accept and crash later did so in a crash of their own.
    """
    for attempt in shared.attempts.values():
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        if (
            exchange.request.fingerprint == fingerprint
            and attempt.alive_at == -math.inf
            and attempt.checked_at is None
        ):
            attempt.checked_at = now
            out.append(CheckUpstream(attempt.upstream.announcement))


def record_alive(announcement: Announcement, shared: SharedState) -> None:
    """Records that an upstream accepted a connection.

    It was up at some time after the check began.
    """
    upstream = shared.directory.by_name.get(announcement.upstream)
    name = start_name(announcement)
    if upstream is None or start_name(upstream.announcement) != name:
        return
    for attempt in upstream.open_attempts.values():
        if attempt.checked_at is not None:
            attempt.alive_at = max(attempt.alive_at, attempt.checked_at)


def on_upstream_ended(
    upstream: Upstream,
    restarted: bool,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Charges the unexplained losses at an upstream that has ended.

    Args:
      upstream: The upstream, as known before.
      restarted: Whether it has started again. An announcement that is merely
        gone explains only losses whose check had no result.
      shared: State of this instance.
      now: The time.
      out: Actions, to which those of this function are appended.
    """
    check = shared.crash_checks.get(start_name(upstream.announcement))
    planned = upstream.leaving_at < math.inf
    if check is None or check.crashed or planned:
        return
    lost = [
        loss
        for loss in check.losses
        if now - loss.at < CHECK_TTL_S and (restarted or not loss.refuted)
    ]
    if not lost:
        return
    check.crashed = True
    check.crashed_at = now
    for loss in lost:
        fingerprint = loss.request.fingerprint
        shared.quarantine.record_loss(check.name, fingerprint, lost[0].at)
    charge(check, lost, shared, now, out)


def charge(
    check: CrashCheck,
    losses: list[Loss],
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Charges a crash to the requests that were lost in it.

    Peers are told of all of them, also of those against which the crash is no
    evidence yet: others may have lost one of them elsewhere.
    """
    quarantine = shared.quarantine
    name = check.name
    lost: list[str] = []
    for loss in losses:
        fingerprint = loss.request.fingerprint
        had_result = loss.exchange.has_result
        result = quarantine.charge(
            fingerprint, name, loss.service, had_result, now, loss.alive_at
        )
        entry = quarantine.entries[fingerprint]
        if not had_result and fingerprint not in lost:
            lost.append(fingerprint)
        if result is ChargeResult.NOTHING:
            detail: dict[str, object] = {
                "fingerprint": fingerprint,
                "upstream": name,
                "had_result": had_result,
                "evidence": entry.evidence,
            }
            request_id = loss.request.request_id
            out.append(Decision(request_id, "crash_not_charged", detail))
            continue
        out.append(
            build_charge_decision(
                result,
                loss.request.request_id,
                fingerprint,
                name,
                entry.describe(now),
            )
        )
    notices.broadcast(lost, shared, now, out)
    for loss in losses:
        notices.tell_delegating_peer(loss.exchange, shared, now, out)
