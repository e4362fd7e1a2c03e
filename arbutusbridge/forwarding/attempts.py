"""Sending of first attempts, retries and hedges for the parts of a request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    hedgetiming,
    isolation,
    limits,
    overflowrouting,
    placement,
)
from arbutusbridge.forwarding.choice import pick_cheapest
from arbutusbridge.forwarding.leaving import latest_send
from arbutusbridge.forwarding.messages import (
    ARRIVED_ENDS,
    NOT_RUN_ENDS,
    AttemptEnd,
    DropAttempt,
    PrepareConnection,
    SendAttempt,
)
from arbutusbridge.forwarding.upstreams import OpenAttempt, overdue_timeout

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange, Part
    from arbutusbridge.forwarding.messages import UpstreamReply
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import Upstream

MAX_ATTEMPTS_PER_PART = 4
"""Maximum attempts of one part, including those that an upstream refused."""

RECHECK_INTERVAL_S = 0.02
"""Interval between two checks of a part for which no attempt could be sent."""

TIMER_MARGIN_S = 0.001
"""Time after a moment at which a timer is due that must be later than it."""

MIN_RETRY_TIME_S = 0.02
"""Minimum time that must remain until the final answer for a retry to be sent;
the reply to a later one could not arrive in time."""

MIN_SERVER_ERROR_STATUS = 500
"""Lowest status that blames the upstream rather than the request."""

MIN_STRAGGLER_LIMIT = 3.0
"""Minimum number of overdue parts of one request up to which the upstreams are
assumed to be slow; above the limit, this instance is."""

STRAGGLER_LIMIT_RATIO = 0.4
"""The same limit as a fraction of the parts; the greater of the two applies."""

BACKUP_CONNECTION_INTERVAL_S = 2.0
"""Minimum interval between two preparations of a connection to the backup
upstream; upstreams close idle connections after a few seconds."""

MAX_HEDGE_SLOWNESS = 3.0
"""Slowness, as a multiple of the typical reply time, from which on an upstream
gets no hedges."""


def send_first_attempt(
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Sends the first attempt of a part, or gives up the part.

    If the rate limits of its upstreams allow it soon, the part waits.
    """
    if not part.counted:
        part.counted = True
        shared.budget(part.service, now).record_request(now)
        record_demand(exchange, part, shared, now)
    upstream = pick_upstream(exchange, part, shared, now)
    if upstream is None:
        ready_at = limits.service_ready_at(exchange, part.service, shared, now)
        part.limited = now < ready_at
        if part.limited and ready_at <= limits.latest_wait(exchange):
            part.check_at = ready_at
        else:
            part.given_up = True
            if part.limited:
                shared.count("limit_given_up")
        return
    part.limited = False
    send_attempt(exchange, part, upstream, shared, now, out, extra=False)
    if exchange.route.shards:
        prepare_backup_connection(exchange, part, upstream, shared, now, out)


def record_demand(
    exchange: Exchange, part: Part, shared: SharedState, now: float
) -> None:
    """Counts a request for the upstream that would get it without limits."""
    if not shared.limits.limited:
        return
    wanted = pick_upstream(exchange, part, shared, now, ignore_limits=True)
    if wanted is None or limits.ready_at(exchange, wanted, shared, now) <= now:
        return
    # A request that is sent is counted when it is sent.
    wanted.demand.add(now)
    exchange.diverted += 1
    shared.count("limit_diverted")


def prepare_backup_connection(
    exchange: Exchange,
    part: Part,
    asked: Upstream,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Prepares a connection to the upstream that a hedge would go to.

    Opening a connection takes a round trip, which is most of the time available
    for a hedge in another region.
    """
    if asked.backup_prepared_at + BACKUP_CONNECTION_INTERVAL_S > now:
        return
    asked.backup_prepared_at = now
    backup = pick_upstream(exchange, part, shared, now)
    if backup is not None and backup.is_available(now):
        out.append(PrepareConnection(backup.announcement))


def pick_upstream(
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
    ignore_limits: bool = False,
) -> Upstream | None:
    """Returns the best upstream for the next attempt of a part.

    Prefers an upstream that has not had an attempt yet, as long as the route
    allows another one. An upstream whose rate limit does not allow a request
    now is left out.
    """
    usable = placement.eligible(exchange, part.service, shared, now)
    if shared.limits.limited and not ignore_limits:
        usable = [
            candidate
            for candidate in usable
            if limits.ready_at(exchange, candidate, shared, now) <= now
        ]
    waiting = [attempt.upstream for attempt in part.open_attempts]
    options = [candidate for candidate in usable if candidate not in waiting]
    untried = [
        candidate for candidate in options if candidate not in part.asked
    ]
    asked = len(part.asked) + part.asked_by_peers
    tried_before = part.asked or part.asked_by_peers > 1
    if tried_before and asked >= exchange.route.most_upstreams:
        untried = []
    candidates = untried or [
        candidate for candidate in options if candidate in part.asked
    ]
    candidates = overflowrouting.limit_upstreams(
        exchange, part, candidates, shared, now
    )
    return pick_cheapest(
        candidates,
        exchange.route,
        shared.reply_times,
        shared.place,
        now,
        shared.rng.random(),
    )


def send_attempt(
    exchange: Exchange,
    part: Part,
    upstream: Upstream,
    shared: SharedState,
    now: float,
    out: list[object],
    extra: bool,
) -> None:
    """Sends one attempt."""
    route = exchange.route
    data_centre = upstream.announcement.data_centre
    typical_s = shared.reply_times.typical(route, data_centre)
    # An idle connection may have died in the same outage as the first one.
    fresh = is_suspect(exchange, part, shared, now)
    attempt_id = shared.last_attempt_id = shared.last_attempt_id + 1
    attempt = OpenAttempt(
        attempt_id,
        exchange,
        part,
        upstream,
        now,
        now + overdue_timeout(typical_s),
        typical_s,
        extra=extra,
        # Only a suspect is sent on a connection that shows its upstream to be
        # up.
        alive_at=now if fresh else -math.inf,
        counted=upstream.limit is not None or upstream.cold_limit is not None,
    )
    upstream.demand.add(now)
    if upstream.limit is not None:
        upstream.limit.take(now)
    if upstream.cold_limit is not None:
        upstream.cold_limit.take(now)
    shared.attempts[attempt_id] = attempt
    upstream.open_attempts[attempt_id] = attempt
    part.open_attempts.append(attempt)
    part.check_at = hedgetiming.hedge_check_at(exchange, attempt, shared, now)
    part.sends += 1
    if upstream not in part.asked:
        part.asked.append(upstream)
    if extra:
        shared.budget(part.service, now).record_extra(now)
    out.append(
        SendAttempt(
            attempt_id,
            upstream.announcement,
            exchange.request,
            exchange.attempt_deadline(now),
            route.idempotent,
            fresh,
            latest_send(upstream),
        )
    )


def on_attempt_end(
    exchange: Exchange,
    part: Part,
    reply: UpstreamReply,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Updates a part with the outcome of one of its attempts."""
    if reply.end in ARRIVED_ENDS:
        part.arrivals += 1
    if reply.end not in NOT_RUN_ENDS:
        part.may_have_run = True
    if reply.end is AttemptEnd.RESULT:
        part.reply = reply
        part.check_at = math.inf
        drop_open_attempts(part, False, shared, out)
        return
    part.failure = reply
    if (
        reply.end is AttemptEnd.FAILED
        and reply.status < MIN_SERVER_ERROR_STATUS
    ):
        # Every upstream would report the same client error.
        part.given_up = True
        drop_open_attempts(part, False, shared, out)
    elif not part.open_attempts:
        retry(exchange, part, shared, now, out)


def retry(
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Retries a part that has no open attempt.

    A request that may have run is repeated only if its route is idempotent. If
    the retry budget is exhausted, the part is checked again later.
    """
    if part.may_have_run and not exchange.route.idempotent:
        part.given_up = True
        return
    if shared.is_quarantined(exchange.request, now):
        part.given_up = True
        return
    verdict_due_at = shared.verdict_due_at(exchange.request)
    if verdict_due_at is not None:
        part.check_at = verdict_due_at
        return
    if exchange.relayed or shared.isolation.isolated:
        # The timer relays all such parts of a request together.
        exchange.relayed = exchange.peer_request is None
        part.given_up = not exchange.relayed
        part.check_at = now
        return
    if part.crash_check_until > now:
        part.check_at = part.crash_check_until
        return
    if is_suspect(exchange, part, shared, now):
        outage_over_at = shared.outage_over_at(exchange.request)
        if now <= outage_over_at:
            part.check_at = outage_over_at + TIMER_MARGIN_S
            return
    if waits_for_other_canary(exchange, shared, now):
        part.check_at = now + RECHECK_INTERVAL_S
        return
    if part.may_have_run and now < exchange.second_upstream_at:
        part.check_at = exchange.second_upstream_at
        return
    if not part.sends and part.limited:
        send_first_attempt(exchange, part, shared, now, out)
        return
    upstream = pick_upstream(exchange, part, shared, now)
    too_late = exchange.give_up_at - now < MIN_RETRY_TIME_S
    if upstream is None and not too_late:
        ready_at = limits.service_ready_at(exchange, part.service, shared, now)
        if now < ready_at <= exchange.partial_answer_at:
            part.limited = True
            part.check_at = ready_at
            return
    if not too_late and isolation.relay_unreachable(
        exchange, part, shared, now
    ):
        return
    if upstream is None or too_late or part.sends >= MAX_ATTEMPTS_PER_PART:
        part.given_up = True
        return
    same_upstream = upstream in part.asked and part.failure is not None
    if same_upstream and part.check_at == math.inf:
        # The same upstream has just failed; a short delay gives it time to
        # recover.
        part.check_at = now + RECHECK_INTERVAL_S
        return
    extra = part.arrivals > 0
    if extra and hedgetiming.is_too_late(exchange, upstream, shared, now):
        part.given_up = True
        return
    budget = shared.budget(part.service, now)
    if extra and budget.remaining(shared.allowance(part.service), now) < 1.0:
        shared.count("retry_refused")
        part.check_at = now + RECHECK_INTERVAL_S
        if now >= exchange.partial_answer_at:
            # Refusing lets the caller try elsewhere sooner than waiting for
            # budget would.
            part.given_up = True
        return
    exchange.retries += 1
    send_attempt(exchange, part, upstream, shared, now, out, extra)
    out.append(build_decision("retry", exchange, part, shared, now))


def is_suspect(
    exchange: Exchange, part: Part, shared: SharedState, now: float
) -> bool:
    """Returns whether a part may crash its upstreams.

    A search with a result of another shard does so only at shards that have
    lost an upstream under it.
    """
    if exchange.has_result and not part.losses:
        return False
    return shared.suspicion(exchange.request, now) is not None


def waits_for_other_canary(
    exchange: Exchange, shared: SharedState, now: float
) -> bool:
    """Returns whether a retry of a suspect must wait for another attempt."""
    return (
        not exchange.has_result
        and any(
            part.open_attempts or part.crash_check_until > now
            for part in exchange.parts
        )
        and shared.suspicion(exchange.request, now) is not None
    )


def hedge(
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Sends a hedge beside an overdue attempt, if it is likely to help."""
    part.check_at = now + RECHECK_INTERVAL_S
    if now < exchange.second_upstream_at:
        part.check_at = exchange.second_upstream_at
        return
    if not exchange.route.idempotent or part.sends >= MAX_ATTEMPTS_PER_PART:
        part.check_at = math.inf
        return
    if exchange.awaits_canary or is_suspect(exchange, part, shared, now):
        # A suspect is sent to one upstream at a time; another canary goes to
        # another shard.
        return
    upstream = pick_upstream(exchange, part, shared, now)
    if upstream is None or not upstream.is_available(now):
        return
    if upstream.slowness >= MAX_HEDGE_SLOWNESS:
        # Duplicate work would slow two slow upstreams down further.
        return
    if hedgetiming.is_too_late(exchange, upstream, shared, now):
        part.check_at = math.inf
        return
    budget = shared.budget(part.service, now)
    if not budget.allows_hedge(shared.allowance(part.service), now):
        shared.count("hedge_refused")
        return
    exchange.hedges += 1
    send_attempt(exchange, part, upstream, shared, now, out, extra=True)
    out.append(build_decision("hedge", exchange, part, shared, now))


def check_parts(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends retries and hedges for the parts that are due for a check.

    Only a few parts of a request are usually stragglers. If many replies are
    overdue at once, this instance or its network is slow, and duplicate work
    would make it slower.
    """
    due = [
        part
        for part in exchange.parts
        if part.pending and part.check_at <= now and part.group is None
    ]
    overdue = sum(bool(part.open_attempts) for part in due)
    for part in due:
        for attempt in part.open_attempts:
            if attempt.overdue_at <= now:
                shared.isolation.record_failure(attempt)
    straggler_limit = max(
        MIN_STRAGGLER_LIMIT, STRAGGLER_LIMIT_RATIO * len(exchange.parts)
    )
    for part in due:
        if not part.open_attempts:
            retry(exchange, part, shared, now, out)
        elif overdue <= straggler_limit:
            hedge(exchange, part, shared, now, out)
        else:
            part.check_at = now + RECHECK_INTERVAL_S
    if overdue > straggler_limit:
        shared.count("hedge_of_many_refused")


def postpone_checks(exchange: Exchange, now: float) -> None:
    """Postpones the checks that are due."""
    for part in exchange.parts:
        if part.check_at <= now:
            part.check_at = now + RECHECK_INTERVAL_S


def drop_open_attempts(
    part: Part, close_connection: bool, shared: SharedState, out: list[object]
) -> None:
    """Stops waiting for the open attempts of a part.

    Args:
      part: The part.
      close_connection: Whether to close their connections now.
      shared: State of this instance.
      out: Actions, to which those of this function are appended.
    """
    for attempt in part.open_attempts:
        attempt.dropped = True
        attempt.cancelled = close_connection
        out.append(
            DropAttempt(
                attempt.attempt_id, attempt.upstream.name, close_connection
            )
        )
    part.open_attempts.clear()


def build_decision(
    what: str,
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
) -> Decision:
    """Returns the log entry of a retry or hedge."""
    attempt = part.open_attempts[-1]
    budget = shared.budget(part.service, now)
    failure = part.failure
    return Decision(
        exchange.request.request_id,
        what,
        {
            "service": part.service,
            "upstream": attempt.upstream.name,
            "asked": [candidate.name for candidate in part.asked],
            "after": failure.end.value if failure else "overdue",
            "detail": failure.detail if failure else "",
            "age_ms": round((now - exchange.request.arrived) * 1000),
            "budget_left": round(
                budget.remaining(shared.allowance(part.service), now), 1
            ),
        },
    )
