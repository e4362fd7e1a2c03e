"""First attempts, retries and hedges of the parts of a request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding.choice import cheapest
from arbutusbridge.forwarding.messages import (
    ARRIVED_ENDS,
    NOT_RUN_ENDS,
    AttemptEnd,
    DropAttempt,
    PrepareConnection,
    SendAttempt,
)
from arbutusbridge.forwarding.upstreams import OpenAttempt, overdue_after

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange, Part
    from arbutusbridge.forwarding.messages import UpstreamReply
    from arbutusbridge.forwarding.shared import SharedState
    from arbutusbridge.forwarding.upstreams import Upstream

MAX_ATTEMPTS_PER_PART = 4
"""Attempts of one part at most, those that an upstream refused included."""

RECHECK_INTERVAL_S = 0.02
"""Time between two looks at a part that could not be helped."""

MIN_RETRY_TIME_S = 0.02
"""Time to the final answer in which another attempt can't reply."""

MIN_SERVER_ERROR_STATUS = 500
"""Lowest status that says that the upstream failed, not the request."""

MIN_STRAGGLER_LIMIT = 3.0
MAX_STRAGGLER_RATIO = 0.4
"""Overdue parts of one request, as a number and as a share of its parts, up
to which their upstreams are taken to be slow, not this instance."""

MIN_REPLY_TIME_RATIO = 0.7
"""Part of the usual reply time in which an upstream replies at best."""

PREPARE_INTERVAL_S = 2.0
"""Time between two looks for a connection to the second choice; upstreams
close idle connections after some seconds."""

HEDGE_MAX_SLOWNESS = 3.0
"""Multiple of the usual reply time from which an upstream gets no hedges."""


def begin_part(
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Sends the first attempt of a part, or gives it up."""
    shared.budget(part.service, now).note_request(now)
    upstream = pick(exchange, part, shared, now)
    if upstream is None:
        part.given_up = True
        return
    launch(exchange, part, upstream, shared, now, out, extra=False)
    if exchange.route.shards:
        prepare(exchange, part, upstream, shared, now, out)


def prepare(
    exchange: Exchange,
    part: Part,
    asked: Upstream,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Has a connection ready to the upstream that a hedge would go to.

    The way there and back that opening one takes is most of the time that a
    hedge to another region has.
    """
    if asked.second_seen_at + PREPARE_INTERVAL_S > now:
        return
    asked.second_seen_at = now
    second = pick(exchange, part, shared, now)
    if second is not None and second.fit(now):
        out.append(PrepareConnection(second.announcement))


def pick(
    exchange: Exchange, part: Part, shared: SharedState, now: float
) -> Upstream | None:
    """Returns the best upstream for the next attempt of a part.

    One that was not asked yet goes first, as long as the route allows
    another one.
    """
    usable = shared.directory.usable(part.service, now)
    waiting = [attempt.upstream for attempt in part.open]
    options = [one for one in usable if one not in waiting]
    fresh = [one for one in options if one not in part.asked]
    asked = len(part.asked) + part.asked_elsewhere
    known = part.asked or part.asked_elsewhere > 1
    if known and asked >= exchange.route.most_upstreams:
        fresh = []
    return cheapest(
        fresh or [one for one in options if one in part.asked],
        exchange.route,
        shared.times,
        shared.place,
        now,
        shared.rng.random(),
    )


def launch(
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
    usual = shared.times.usual(route, data_centre)
    attempt_id = shared.last_attempt = shared.last_attempt + 1
    attempt = OpenAttempt(
        attempt_id,
        exchange,
        part,
        upstream,
        now,
        now + overdue_after(usual),
        usual,
        extra=extra,
    )
    shared.attempts[attempt_id] = attempt
    upstream.open[attempt_id] = attempt
    part.open.append(attempt)
    part.look_at = attempt.due_at
    part.sends += 1
    if upstream not in part.asked:
        part.asked.append(upstream)
    if extra:
        shared.budget(part.service, now).note_extra(now)
    out.append(
        SendAttempt(
            attempt_id,
            upstream.announcement,
            exchange.request,
            exchange.attempt_deadline(now),
            route.idempotent,
        )
    )


def on_end(
    exchange: Exchange,
    part: Part,
    reply: UpstreamReply,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Takes the end of an attempt into its part."""
    if reply.end in ARRIVED_ENDS:
        part.arrivals += 1
    if reply.end not in NOT_RUN_ENDS:
        part.may_have_run = True
    if reply.end is AttemptEnd.RESULT:
        part.reply = reply
        part.look_at = math.inf
        drop_open(part, False, shared, out)
        return
    part.failure = reply
    if (
        reply.end is AttemptEnd.FAILED
        and reply.status < MIN_SERVER_ERROR_STATUS
    ):
        # Every upstream would find the same mistake in the request.
        part.given_up = True
        drop_open(part, False, shared, out)
    elif not part.open:
        retry(exchange, part, shared, now, out)


def retry(
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Sends a part again that has no attempt on its way.

    What may have run is sent again only if that is allowed. A part that the
    budget has no room for is looked at again later.
    """
    if part.may_have_run and not exchange.route.idempotent:
        part.given_up = True
        return
    if part.may_have_run and now < exchange.second_from:
        part.look_at = exchange.second_from
        return
    upstream = pick(exchange, part, shared, now)
    late = exchange.give_up_at - now < MIN_RETRY_TIME_S
    if upstream is None or late or part.sends >= MAX_ATTEMPTS_PER_PART:
        part.given_up = True
        return
    again = upstream in part.asked and part.failure is not None
    if again and part.look_at == math.inf:
        # The same upstream has just failed; a short wait helps it most.
        part.look_at = now + RECHECK_INTERVAL_S
        return
    extra = part.arrivals > 0
    if extra and is_too_late(exchange, upstream, shared, now):
        part.given_up = True
        return
    budget = shared.budget(part.service, now)
    if extra and budget.left(shared.allowance(part.service), now) < 1.0:
        shared.count("retry_refused")
        part.look_at = now + RECHECK_INTERVAL_S
        if now >= exchange.answer_by:
            # The caller is better off elsewhere than waiting for a budget.
            part.given_up = True
        return
    exchange.retries += 1
    launch(exchange, part, upstream, shared, now, out, extra)
    out.append(decision("retry", exchange, part, shared, now))


def hedge(
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Sends a second attempt beside one that is overdue, if it may help."""
    part.look_at = now + RECHECK_INTERVAL_S
    if now < exchange.second_from:
        part.look_at = exchange.second_from
        return
    if not exchange.route.idempotent or part.sends >= MAX_ATTEMPTS_PER_PART:
        part.look_at = math.inf
        return
    upstream = pick(exchange, part, shared, now)
    if upstream is None or not upstream.fit(now):
        return
    if upstream.slowness >= HEDGE_MAX_SLOWNESS:
        # Two slow upstreams get slower still by work done twice.
        return
    if is_too_late(exchange, upstream, shared, now):
        part.look_at = math.inf
        return
    budget = shared.budget(part.service, now)
    if not budget.allows_hedge(shared.allowance(part.service), now):
        shared.count("hedge_refused")
        return
    exchange.hedges += 1
    launch(exchange, part, upstream, shared, now, out, extra=True)
    out.append(decision("hedge", exchange, part, shared, now))


def is_too_late(
    exchange: Exchange, upstream: Upstream, shared: SharedState, now: float
) -> bool:
    """Tells whether the answer goes out before an upstream can reply."""
    if not exchange.covers(exchange.answered):
        return False
    data_centre = upstream.announcement.data_centre
    usual = shared.times.usual(exchange.route, data_centre)
    return now + MIN_REPLY_TIME_RATIO * usual > exchange.answer_by


def look(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Helps the parts that are due for a look.

    Stragglers are few by nature. Where many replies are overdue at once, this
    instance or its network is slow, and doubled work would make it slower.
    """
    due = [
        part
        for part in exchange.parts
        if part.pending and part.look_at <= now and part.group is None
    ]
    overdue = sum(bool(part.open) for part in due)
    few = max(MIN_STRAGGLER_LIMIT, MAX_STRAGGLER_RATIO * len(exchange.parts))
    for part in due:
        if not part.open:
            retry(exchange, part, shared, now, out)
        elif overdue <= few:
            hedge(exchange, part, shared, now, out)
        else:
            part.look_at = now + RECHECK_INTERVAL_S
    if overdue > few:
        shared.count("hedge_of_many_refused")


def look_later(exchange: Exchange, now: float) -> None:
    """Puts off the look at parts that are due for one."""
    for part in exchange.parts:
        if part.look_at <= now:
            part.look_at = now + RECHECK_INTERVAL_S


def drop_open(
    part: Part, at_once: bool, shared: SharedState, out: list[object]
) -> None:
    """Stops waiting for the open attempts of a part."""
    for attempt in part.open:
        attempt.dropped = True
        out.append(
            DropAttempt(attempt.attempt_id, attempt.upstream.name, at_once)
        )
    part.open.clear()


def decision(
    what: str,
    exchange: Exchange,
    part: Part,
    shared: SharedState,
    now: float,
) -> Decision:
    """Builds the log line of an attempt beyond the first."""
    attempt = part.open[-1]
    budget = shared.budget(part.service, now)
    failure = part.failure
    return Decision(
        exchange.request.request_id,
        what,
        {
            "service": part.service,
            "upstream": attempt.upstream.name,
            "asked": [one.name for one in part.asked],
            "after": failure.end.value if failure else "overdue",
            "detail": failure.detail if failure else "",
            "age_ms": round((now - exchange.request.arrived) * 1000),
            "budget_left": round(
                budget.left(shared.allowance(part.service), now), 1
            ),
        },
    )
