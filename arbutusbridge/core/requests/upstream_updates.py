"""Updates of the views of upstreams after replies and status reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import ReplyKind
from arbutusbridge.core.requests import limits

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Reply
    from arbutusbridge.core.requests.observations import UpstreamView
    from arbutusbridge.core.requests.pending_attempts import PendingAttempt
    from arbutusbridge.core.requests.tier import Tier

MAX_HELD_VERSIONS = 16
"""Maximum number of versions of a service tracked for one upstream."""

DEFAULT_SHED_BACKOFF_S = 0.1
"""Backoff from an upstream that shed an attempt without a retry delay."""

EJECTION_KINDS = (ReplyKind.LOST, ReplyKind.NOT_SENT, ReplyKind.INVALID)
"""Replies after which an upstream is ejected."""


def observe_reply(
    tier: Tier, reply: Reply, pending_attempt: PendingAttempt, now: float
) -> None:
    """Updates the view of an upstream after the reply to an open attempt."""
    view = pending_attempt.view
    at_limit = view.in_flight >= view.limit
    view.in_flight -= 1
    if view.backlog:
        tier.freed_views.append(view)
    service = pending_attempt.owner.request.service
    if reply.held is not None and reply.held != view.held.get(service):
        update_held_versions(tier, view, service, reply.held)
    if reply.kind is ReplyKind.RESULT:
        if reply.load is not None:
            view.reported_load = reply.load
        seconds = now - pending_attempt.sent_at
        view.observe(seconds)
        if at_limit:
            limits.on_result(view)
        tier.hedging_states[service].window.add(seconds)
    else:
        observe_failure(tier, reply, view, now)


def observe_late_reply(tier: Tier, reply: Reply, now: float) -> None:
    """Updates the view of an upstream after a reply without an open attempt.

    Results are ignored.
    """
    view = tier.views.get(reply.upstream)
    if view is not None and reply.kind is not ReplyKind.RESULT:
        observe_failure(tier, reply, view, now)


def observe_failure(
    tier: Tier, reply: Reply, view: UpstreamView, now: float
) -> None:
    """Updates the view of an upstream after a refusal or loss."""
    if reply.kind is ReplyKind.NOT_HELD:
        view.versions_reported_at = now
    elif reply.kind is ReplyKind.LEAVING:
        if tier.drain_tracker.report_leaving(view.name, reply.incarnation):
            withdraw_upstream(tier, view)
    elif reply.kind is ReplyKind.SHED:
        wait_ms = reply.retry_after_ms or DEFAULT_SHED_BACKOFF_S * 1000
        view.back_off(now + wait_ms / 1000)
        limits.on_refusal(view)
    elif reply.kind in EJECTION_KINDS and view.ejected_until <= now:
        view.eject(now)


def update_held_versions(
    tier: Tier,
    view: UpstreamView,
    service: str,
    held: tuple[tuple[int, int], ...],
) -> None:
    """Updates the versions of a service that an upstream serves.

    Repeated versions are dropped, and only the newest ones are kept.
    """
    held = tuple(sorted(set(held), reverse=True)[:MAX_HELD_VERSIONS])
    before = view.held.get(service, ())
    view.held[service] = held
    if view.leaving:
        return
    removed = [version for version in before if version not in held]
    added = [version for version in held if version not in before]
    for catalogue in tier.catalogues:
        catalogue.remove(service, view, removed)
        catalogue.add(service, view, added)


def withdraw_upstream(tier: Tier, view: UpstreamView) -> None:
    """Marks an upstream as leaving and takes it out of use."""
    if view.leaving:
        return
    view.leaving = True
    view.backlog.clear()
    for catalogue in tier.catalogues:
        for service, held in view.held.items():
            catalogue.remove(service, view, held)


def restore_upstream(tier: Tier, view: UpstreamView) -> None:
    """Takes an upstream back into use that was marked as leaving."""
    view.leaving = False
    held, view.held = view.held, {}
    for service, versions in held.items():
        update_held_versions(tier, view, service, versions)
