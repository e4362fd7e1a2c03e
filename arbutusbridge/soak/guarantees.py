"""Checks of the guarantees against what callers and upstreams observed."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.core.httpstatus import is_valid_status
from arbutusbridge.forwarding.merge import merge_greatest

if TYPE_CHECKING:
    from arbutusbridge.forwarding.model import Account, Route
    from arbutusbridge.soak.record import SentRequest, SoakRecord, UpstreamRun

SETTLING_TIME_S = 4.0
"""Time without a disturbance after which time bounds apply, as specified by the
users."""

LEAVE_PROPAGATION_S = 3.0
"""Time after which a draining upstream gets no new requests; the shortest time
limit that the users specify."""

EVACUATION_S = 5.0
"""Time after the request of operators after which the upstreams of an evacuated
data centre get no requests, as specified by the users."""

ANSWER_GRACE_S = 0.5
"""Grace period past a caller's deadline in which an answer still counts."""

MAX_REQUESTS_OVER_LIMIT = 3
"""Maximum number of requests of a soak run that may run at more upstreams than
their route allows, counted in the same way as by the users. An instance that
was cut off may not learn in time that another one queries its shards."""

RECOVERY_TIMEOUT_S = 6.0
"""Time after the last disturbance within which requests are served again; the
users allow 12 s."""

MIN_SERVED_FRACTION = 0.9
"""Minimum fraction of the requests that are served after the recovery."""

CRASHES_UNTIL_KNOWN = 3
"""Crashes after which a request must be known as their cause."""

MAX_LATE_SENDS = 3
"""Maximum number of sends of such a request later than SETTLING_TIME_S."""

MAX_CRASHES_PER_REQUEST = 9
"""Maximum number of upstreams that one request may crash; users want them
counted in ones, not by the number of shards."""

QUOTA_WINDOW_S = 5.0
"""Window in which the requests of an account are counted."""

QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20.0
"""Fraction of the rate and burst of an account, and number of requests, that
may start in a window in addition to these."""

LIMIT_WINDOW_S = 4.0
"""Window in which the requests at a limited upstream are counted."""

LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
"""Requests that a limited upstream may get, as a multiple of what its limit
allows, and in addition, as specified by the users."""

PAUSE_GRACE_S = 0.5
"""Time after a rejection after which the pause that it asks for counts."""

MAX_REQUESTS_IN_PAUSE = 2
"""Maximum number of requests of one instance in a pause, as specified by the
users."""

MIN_CUT_OFF_RATIO = 2 / 3
FAILED_SLACK = 10
FAILED_RATIO = 1 / 50
"""Requests that may fail at cut-off instances, as specified by the users."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a request did not run and never will."""

CONNECTION_ENDING_KINDS = ("kill", "pause", "stop", "caller path")
"""Kinds of disturbances of an instance that may close connections."""


@dataclass(frozen=True, slots=True)
class Breach:
    """Breach of a guarantee.

    Attributes:
      guarantee: Name of the guarantee.
      request_id: Id of the request, empty if several are affected.
      detail: What was observed.
    """

    guarantee: str
    request_id: str
    detail: str


def runs_once(record: SoakRecord) -> Iterator[Breach]:
    """Checks that a non-idempotent request runs at most once."""
    counts = Counter(run.request_id for run in record.runs if not run.shed)
    for asked in record.asked.values():
        count = counts[asked.request_id]
        if count > 1 and not route_of(record, asked).idempotent:
            detail = f"ran {count} times"
            yield Breach("runs_once", asked.request_id, detail)


def refusal_is_true(record: SoakRecord) -> Iterator[Breach]:
    """Checks that a non-idempotent request refused as not run did not run."""
    ran = {run.request_id for run in record.runs if not run.shed}
    for asked in record.asked.values():
        answer = asked.answer
        if answer is None or answer.status not in NOT_RUN_STATUSES:
            continue
        idempotent = route_of(record, asked).idempotent
        if asked.request_id in ran and not idempotent:
            detail = f"status {answer.status} although it ran"
            yield Breach("refusal_is_true", asked.request_id, detail)


def answer_is_the_upstream_s(record: SoakRecord) -> Iterator[Breach]:
    """Checks that an unmerged success is one upstream's complete response."""
    runs = runs_by_request(record)
    for asked in record.asked.values():
        answer = asked.answer
        if (
            answer is None
            or not answer.is_success
            or route_of(record, asked).shards
        ):
            continue
        if not any(
            run.stamp and (run.stamp, run.body) == (answer.stamp, answer.body)
            for run in runs[asked.request_id]
        ):
            detail = f"signature {answer.stamp or 'none'}"
            yield Breach("answer_is_the_upstream_s", asked.request_id, detail)


def status_is_valid(record: SoakRecord) -> Iterator[Breach]:
    """Checks that no caller receives a status that HTTP does not have."""
    for asked in record.asked.values():
        answer = asked.answer
        if answer is not None and not is_valid_status(answer.status):
            detail = f"status {answer.status}"
            yield Breach("status_is_valid", asked.request_id, detail)


def merged_answer_is_whole(record: SoakRecord) -> Iterator[Breach]:
    """Checks that a merged success names its parts and holds their records."""
    runs = runs_by_request(record)
    for asked in record.asked.values():
        answer = asked.answer
        routes = [route for _, route in record.routes(asked.route)]
        if answer is None or not answer.is_success or not routes[0].shards:
            continue
        parts = {run.stamp: run for run in runs[asked.request_id] if run.stamp}
        named_runs = [parts[one] for one in answer.stamps if one in parts]
        services = [run.service for run in named_runs]
        problem = ""
        if len(named_runs) != len(answer.stamps) or not named_runs:
            problem = "signature of no run of the request"
        elif len(set(services)) != len(services):
            problem = "the same shard twice"
        elif not any(
            covers_shards(route, services, answer.missing) for route in routes
        ):
            problem = f"{len(named_runs)} parts, {answer.missing} missing"
        elif answer.body != merge_greatest(
            [run.body for run in named_runs], routes[0].max_records
        ):
            problem = "other records than those of the parts"
        if problem:
            yield Breach("merged_answer_is_whole", asked.request_id, problem)


def covers_shards(route: Route, services: list[str], missing: int) -> bool:
    """Returns whether the parts and the missing ones make up a route's shards.

    Args:
      route: Route with shards.
      services: Shards that answered.
      missing: Number of shards that the answer reports as missing.
    """
    shards = set(route.shards)
    coverage_met = len(services) >= route.least_coverage * len(shards) - 1e-9
    return (
        set(services) <= shards
        and len(services) + missing == len(shards)
        and coverage_met
    )


def nothing_unasked(record: SoakRecord) -> Iterator[Breach]:
    """Checks that upstreams run only requests that callers sent, unchanged."""
    for run in record.runs:
        asked = record.asked.get(run.request_id)
        if asked is None or asked.target != run.target:
            detail = f"{run.target} at {run.upstream}"
            yield Breach("nothing_unasked", run.request_id, detail)


def answered_in_time(record: SoakRecord) -> Iterator[Breach]:
    """Checks that each request to an undisturbed instance gets an answer."""
    for asked in record.asked.values():
        answer_deadline = asked.at + asked.timeout_s + ANSWER_GRACE_S
        if asked.abandoned or answer_deadline > record.soak_ended_at:
            continue
        if record.has_disturbance(
            asked.instance,
            asked.at - SETTLING_TIME_S,
            answer_deadline,
            *CONNECTION_ENDING_KINDS,
        ):
            continue
        if asked.answer is None:
            detail = f"no answer from {asked.instance}"
            yield Breach("answered_in_time", asked.request_id, detail)


def stop_answers_forwarded_requests(record: SoakRecord) -> Iterator[Breach]:
    """Checks that a graceful stop answers each request already forwarded."""
    ran = {run.request_id for run in record.runs if not run.shed}
    for asked in record.asked.values():
        answer_deadline = asked.at + asked.timeout_s
        stopped = record.has_disturbance(
            asked.instance, asked.at, answer_deadline, "stop"
        )
        # All kinds except "stop", which is the one under test.
        otherwise_disturbed = record.has_disturbance(
            asked.instance,
            asked.at - SETTLING_TIME_S,
            answer_deadline,
            *CONNECTION_ENDING_KINDS[:2],
            CONNECTION_ENDING_KINDS[3],
        )
        if (
            not stopped
            or otherwise_disturbed
            or asked.abandoned
            or answer_deadline > record.soak_ended_at
        ):
            continue
        if asked.answer is None and asked.request_id in ran:
            detail = f"forwarded by {asked.instance} and not answered"
            yield Breach("stop_answers", asked.request_id, detail)


def valid_request_is_not_denied(record: SoakRecord) -> Iterator[Breach]:
    """Checks that instances themselves answer no request with a 4xx.

    All requests are for routes that every version has; 408, 421 and 429 are
    allowed, and 401 if a version does not have the caller's key.
    """
    for asked in record.asked.values():
        answer = asked.answer
        if answer is None or answer.stamp:
            continue
        if answer.status == 401 and may_be_unauthorized(record, asked):
            continue
        if 400 <= answer.status < 500 and answer.status not in (408, 421, 429):
            detail = f"status {answer.status}"
            yield Breach("not_denied", asked.request_id, detail)


def version_is_in_force(record: SoakRecord) -> Iterator[Breach]:
    """Checks that undisturbed instances use a version that may be in force."""
    for run in record.runs:
        asked = record.asked.get(run.request_id)
        if asked is None or not is_undisturbed(record, asked):
            continue
        routes = record.routes(asked.route)
        first_allowed = max(
            (
                n
                for n, (at, _) in enumerate(routes)
                if at < asked.at - record.changes_s
            ),
            default=0,
        )
        allowed = {
            name
            for _, route in routes[first_allowed:]
            for name in services_of(route)
        }
        if run.service not in allowed:
            detail = f"run by {run.service}"
            yield Breach("version_in_force", run.request_id, detail)


def leaving_upstream_gets_no_requests(record: SoakRecord) -> Iterator[Breach]:
    """Checks that undisturbed instances send a leaving upstream no requests."""
    for run in record.runs:
        asked = record.asked.get(run.request_id)
        leaving_since = record.leaving.get(run.upstream)
        if (
            asked is None
            or leaving_since is None
            or run.at < leaving_since + LEAVE_PROPAGATION_S
        ):
            continue
        if asked.at > leaving_since + LEAVE_PROPAGATION_S and is_undisturbed(
            record, asked
        ):
            detail = (
                f"{run.upstream}, {run.at - leaving_since:.1f} s after leaving"
            )
            yield Breach("leaving_is_left", run.request_id, detail)


def evacuated_upstreams_get_no_requests(
    record: SoakRecord,
) -> Iterator[Breach]:
    """Checks that nothing reaches upstreams of an evacuated data centre.

    Requests count from EVACUATION_S after the write on, whenever they came from
    their callers. Those at instances that were disturbed do not; neither do
    searches, which peers may send, while any instance was.
    """
    for evacuation in record.evacuations:
        since = evacuation.since + EVACUATION_S
        for run in record.runs:
            asked = record.asked.get(run.request_id)
            if asked is None or not since < run.at < evacuation.until:
                continue
            if record.places.get(run.upstream) != evacuation.data_centre:
                continue
            is_sharded = bool(route_of(record, asked).shards)
            begun = asked.at - SETTLING_TIME_S
            if not is_undisturbed(record, asked) or (
                is_sharded and is_any_instance_disturbed(record, begun, run.at)
            ):
                continue
            detail = (
                f"{run.upstream}, {run.at - evacuation.since:.1f} s after the "
                f"evacuation of {evacuation.data_centre}"
            )
            yield Breach("evacuated_is_left", run.request_id, detail)


def sent_directly(
    record: SoakRecord, run: UpstreamRun, since: float, until: float
) -> str:
    """Returns the instance that sent a request to its upstream, if known.

    Empty for parts of searches, which peers may send, and for instances that
    were disturbed or cut off in an interval.
    """
    asked = record.asked.get(run.request_id)
    if asked is None or route_of(record, asked).shards:
        return ""
    cut = any(
        one.target == asked.instance and one.since < until and one.until > since
        for one in record.link_cuts
    )
    if cut or record.has_disturbance(asked.instance, since, until):
        return ""
    return asked.instance


def upstream_that_says_so_is_left(record: SoakRecord) -> Iterator[Breach]:
    """Checks the requests at upstreams that have said that they are leaving.

    One that a caller sent later than LEAVE_PROPAGATION_S after its instance got
    such a response must not reach the upstream, whatever the store says.
    """
    told: dict[tuple[str, str], float] = {}
    for run in record.runs:
        at = run.said_leaving_at
        name = sent_directly(record, run, run.at - SETTLING_TIME_S, at)
        if name and at < told.get((name, run.upstream), math.inf):
            told[name, run.upstream] = at
    for run in record.runs:
        asked = record.asked.get(run.request_id)
        if asked is None:
            continue
        since = told.get((asked.instance, run.upstream), math.inf)
        if asked.at <= since + LEAVE_PROPAGATION_S:
            continue
        if sent_directly(record, run, since, run.at):
            detail = f"{run.upstream}, {run.at - since:.1f} s after it said so"
            yield Breach("said_leaving_is_left", run.request_id, detail)


def pauses_are_kept(record: SoakRecord) -> Iterator[Breach]:
    """Checks the requests of an instance at upstreams that asked for none."""
    for pause in record.pauses:
        since = pause.since + PAUSE_GRACE_S
        asked = record.asked.get(pause.request_id)
        late = [
            run
            for run in record.runs
            if asked is not None
            and run.upstream == pause.upstream
            and since < run.at < pause.until
            and record.asked.get(run.request_id)
            and record.asked[run.request_id].instance == asked.instance
            and sent_directly(record, run, pause.since, run.at)
        ]
        if len(late) > MAX_REQUESTS_IN_PAUSE:
            detail = f"{pause.upstream}: {len(late)} requests in its pause"
            yield Breach("pauses_are_kept", pause.request_id, detail)


def extra_arrivals_are_bounded(record: SoakRecord) -> Iterator[Breach]:
    """Checks that arrivals beyond a request's first fit the retry budget."""
    first_arrivals: dict[str, list[float]] = defaultdict(list)
    extras: dict[str, list[float]] = defaultdict(list)
    seen = set()
    for run in sorted(record.runs, key=lambda one: one.at):
        key = (run.request_id, run.service)
        (extras if key in seen else first_arrivals)[run.service].append(run.at)
        seen.add(key)
    for service, times in extras.items():
        for since in times:
            until = since + record.window_s
            extra = sum(since <= at < until for at in times)
            # The budget depends on the number of requests in this window or
            # in the previous one, whichever is greater.
            begin = since - record.window_s
            before = sum(begin <= at < since for at in first_arrivals[service])
            inside = sum(since <= at < until for at in first_arrivals[service])
            limit = record.retry_ratio * max(before, inside)
            if extra > limit + record.retry_slack:
                detail = f"{extra} extra in {record.window_s} s at {service}"
                yield Breach("extra_arrivals", "", detail)
                break


def upstreams_are_bounded(record: SoakRecord) -> Iterator[Breach]:
    """Checks how many upstreams run one shard of a request.

    Up to MAX_REQUESTS_OVER_LIMIT requests may exceed the limit of their route.
    """
    ran: dict[tuple[str, str], set[str]] = defaultdict(set)
    for run in record.runs:
        if not run.shed:
            ran[run.request_id, run.service].add(run.upstream)
    over_limit = {}
    for (request_id, service), upstreams in ran.items():
        asked = record.asked.get(request_id)
        if asked is None:
            continue
        limit = route_of(record, asked).most_upstreams
        if len(upstreams) > limit:
            over_limit[request_id] = f"{len(upstreams)} of {limit} at {service}"
    if len(over_limit) > MAX_REQUESTS_OVER_LIMIT:
        for request_id, detail in over_limit.items():
            yield Breach("upstreams_bounded", request_id, detail)


def crashing_request_is_stopped(record: SoakRecord) -> Iterator[Breach]:
    """Checks the sends of a request after it has crashed three upstreams.

    Sends by disturbed instances, and all within SETTLING_TIME_S, do not count.
    """
    times: dict[str, list[float]] = defaultdict(list)
    for crash in sorted(record.crashes, key=lambda one: one.at):
        times[crash.target].append(crash.at)
    for target, crashes in times.items():
        if len(crashes) < CRASHES_UNTIL_KNOWN:
            continue
        known_at = crashes[CRASHES_UNTIL_KNOWN - 1] + SETTLING_TIME_S
        late = [
            run
            for run in record.runs
            if run.target == target
            and run.at > known_at
            and is_undisturbed(record, record.asked[run.request_id])
        ]
        if len(late) > MAX_LATE_SENDS:
            detail = f"{target}: {len(late)} late sends, {len(crashes)} crashes"
            yield Breach("crashing_request_is_stopped", "", detail)


def request_crashes_few_upstreams(record: SoakRecord) -> Iterator[Breach]:
    """Checks how many upstreams a single request has crashed."""
    counts = Counter(crash.request_id for crash in record.crashes)
    for request_id, count in counts.items():
        if count > MAX_CRASHES_PER_REQUEST:
            detail = f"{count} upstreams"
            yield Breach("request_crashes_few", request_id, detail)


def only_crashing_requests_are_quarantined(
    record: SoakRecord,
) -> Iterator[Breach]:
    """Checks that no other request was refused as crashing upstreams."""
    for request_id in record.quarantine_refusals:
        asked = record.asked.get(request_id)
        if asked is not None and not asked.crashing:
            detail = f"refused by {asked.instance}"
            yield Breach("only_crashing_quarantined", request_id, detail)


def limits_hold(record: SoakRecord) -> Iterator[Breach]:
    """Checks the requests at upstreams that name rate limits.

    A limit counts from SETTLING_TIME_S after it was first named, in windows
    before and in which no instance was killed, stopped or paused.
    """
    for limit in record.limits:
        allowed = LIMIT_RATIO * limit.max_rate * LIMIT_WINDOW_S + LIMIT_SLACK
        times = sorted(
            run.at for run in record.runs if run.upstream == limit.upstream
        )
        until = min(limit.until, record.soak_ended_at)
        for index, start in enumerate(times):
            end = start + LIMIT_WINDOW_S
            settled = start >= limit.since + SETTLING_TIME_S and end <= until
            if not settled or is_any_instance_disturbed(
                record, start - SETTLING_TIME_S, end
            ):
                continue
            count = bisect_left(times, end) - index
            if count > allowed:
                detail = f"{limit.upstream}: {count} of {allowed:.1f} requests"
                yield Breach("limits_hold", "", detail)
                break


def is_any_instance_disturbed(
    record: SoakRecord, since: float, until: float
) -> bool:
    """Returns whether an instance was killed, stopped or paused."""
    return any(
        one.kind in ("kill", "stop", "pause")
        and one.since < until
        and one.until > since
        for one in record.disturbances
    )


def cut_off_instances_serve(record: SoakRecord) -> Iterator[Breach]:
    """Checks the requests at instances that are cut off from all upstreams.

    From SETTLING_TIME_S after the cut, they are served at least
    MIN_CUT_OFF_RATIO times as often as those at the other instances, unless
    only a few fail. Disturbed instances do not count.
    """
    for cut in record.link_cuts:
        here, elsewhere = [], []
        for asked in record.asked.values():
            since, until = cut.since + SETTLING_TIME_S, cut.until
            ended_at = asked.ended_at or asked.at + asked.timeout_s
            if asked.crashing or asked.abandoned:
                continue
            if may_be_unauthorized(record, asked):
                continue
            if asked.at < since or ended_at > until:
                continue
            if not is_undisturbed(record, asked):
                continue
            if not has_connected_instance(record, asked.at):
                continue
            if has_quota(record, asked):
                continue
            served = bool(asked.answer and asked.answer.is_success)
            if asked.instance == cut.target:
                here.append(served)
            elif not is_cut_off(record, asked.instance, asked.at):
                elsewhere.append(served)
        if not here or not elsewhere:
            continue
        failed = here.count(False)
        allowed = FAILED_SLACK + FAILED_RATIO * (len(here) + len(elsewhere))
        ratio = here.count(True) * len(elsewhere)
        least = MIN_CUT_OFF_RATIO * elsewhere.count(True) * len(here)
        if failed > allowed and ratio < least:
            detail = (
                f"{cut.target}: {here.count(True)} of {len(here)} served, "
                f"{elsewhere.count(True)} of {len(elsewhere)} elsewhere"
            )
            yield Breach("cut_off_instances_serve", "", detail)


def has_quota(record: SoakRecord, asked: SentRequest) -> bool:
    """Returns whether a request belongs to an account with a rate.

    Its callers send many requests for one service, and more after each refusal,
    so that they say little of how the others are served.
    """
    return any(
        account.rate and asked.key in account.keys
        for _, configuration in record.configurations
        for account in configuration.accounts or ()
    )


def quotas_hold(record: SoakRecord) -> Iterator[Breach]:
    """Checks that few requests of an account start within any window.

    Those count that were sent and ran in it. It holds for disturbed instances,
    too.
    """
    accounts = {
        account.name: account
        for _, configuration in record.configurations
        for account in configuration.accounts or ()
        if account.rate
    }
    for name, account in accounts.items():
        began: dict[str, float] = {}
        for run in record.runs:
            if run.accounts == (name,) and run.request_id in record.asked:
                at = began.get(run.request_id, math.inf)
                began[run.request_id] = min(at, run.at)
        limit = QUOTA_WINDOW_S * account.rate + account.burst
        limit = limit * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK
        ends = [(record.asked[one].at, at) for one, at in began.items()]
        for since in sorted(sent for sent, _ in ends):
            until = since + QUOTA_WINDOW_S
            count = sum(sent >= since and at <= until for sent, at in ends)
            if count > limit:
                detail = f"{name}: {count} from {since:.2f} s, limit {limit}"
                yield Breach("quotas_hold", "", detail)
                break


def has_connected_instance(record: SoakRecord, at: float) -> bool:
    """Returns whether an instance could serve the requests of the others.

    It must have been undisturbed, and not cut off, for SETTLING_TIME_S.
    """
    since = at - SETTLING_TIME_S
    return any(
        not record.has_disturbance(name, since, at)
        and not any(
            cut.target == name and cut.since <= at and cut.until > since
            for cut in record.link_cuts
        )
        for name in {asked.instance for asked in record.asked.values()}
    )


def is_cut_off(record: SoakRecord, name: str, at: float) -> bool:
    """Returns whether an instance is cut off from all upstreams at a time."""
    return any(
        cut.target == name and cut.since <= at < cut.until
        for cut in record.link_cuts
    )


def accounts_in_force(
    record: SoakRecord, asked: SentRequest
) -> list[tuple[Account, ...] | None]:
    """Returns the accounts of the versions that may decide on a request.

    This holds for undisturbed instances.
    """
    first = max(
        (
            n
            for n, (at, _) in enumerate(record.configurations)
            if at < asked.at - record.changes_s
        ),
        default=0,
    )
    until = asked.ended_at or asked.at + asked.timeout_s
    return [
        configuration.accounts
        for at, configuration in record.configurations[first:]
        if at <= until
    ]


def has_key(accounts: tuple[Account, ...], key: str) -> bool:
    """Returns whether one of the accounts has a key."""
    return any(key in account.keys for account in accounts)


def may_be_unauthorized(record: SoakRecord, asked: SentRequest) -> bool:
    """Returns whether a version up to a request's end lacks its key."""
    until = asked.ended_at or asked.at + asked.timeout_s
    return any(
        at <= until
        and configuration.accounts is not None
        and not has_key(configuration.accounts, asked.key)
        for at, configuration in record.configurations
    )


def invalid_key_is_refused(record: SoakRecord) -> Iterator[Breach]:
    """Checks that requests with a revoked key, or with none, are not run.

    This holds for undisturbed instances, from the bound on after the version
    that revokes the key.
    """
    ran = {run.request_id for run in record.runs}
    for asked in record.asked.values():
        if asked.request_id not in ran or not is_undisturbed(record, asked):
            continue
        if not any(
            accounts is None or has_key(accounts, asked.key)
            for accounts in accounts_in_force(record, asked)
        ):
            detail = f"key {asked.key or 'none'} at {asked.instance}"
            yield Breach("invalid_key_refused", asked.request_id, detail)


def upstreams_get_the_account(record: SoakRecord) -> Iterator[Breach]:
    """Checks that upstreams get the account of the key, and never a key.

    Callers claim another account. Without accounts, both are passed on.
    """
    for run in record.runs:
        asked = record.asked.get(run.request_id)
        if asked is None or not is_undisturbed(record, asked):
            continue
        versions = accounts_in_force(record, asked)
        names = {
            account.name
            for accounts in versions
            for account in accounts or ()
            if asked.key in account.keys
        }
        if None in versions or not names:
            continue
        if (
            run.has_key
            or len(run.accounts) != 1
            or run.accounts[0] not in names
        ):
            detail = f"{run.accounts}, with a key: {run.has_key}"
            yield Breach("account_of_the_key", run.request_id, detail)


def recovers(record: SoakRecord) -> Iterator[Breach]:
    """Checks that requests are served again after the last disturbance."""
    ends = (one.until for one in [*record.disturbances, *record.link_cuts])
    since = max(ends, default=0.0) + RECOVERY_TIMEOUT_S
    after_recovery = [
        asked
        for asked in record.asked.values()
        if asked.at >= since
        and not asked.abandoned
        and not asked.crashing
        and not may_be_unauthorized(record, asked)
        and not has_quota(record, asked)
        and asked.at + asked.timeout_s < record.soak_ended_at
    ]
    served = sum(
        bool(one.answer and one.answer.is_success) for one in after_recovery
    )
    if after_recovery and served < MIN_SERVED_FRACTION * len(after_recovery):
        yield Breach(
            "recovers", "", f"{served} of {len(after_recovery)} served"
        )


def processes_live(record: SoakRecord) -> Iterator[Breach]:
    """Checks that processes exit only when told to, and then in time."""
    for detail in record.process_failures:
        yield Breach("processes_live", "", detail)


GUARANTEES: tuple[Callable[[SoakRecord], Iterator[Breach]], ...] = (
    runs_once,
    refusal_is_true,
    answer_is_the_upstream_s,
    status_is_valid,
    merged_answer_is_whole,
    nothing_unasked,
    answered_in_time,
    stop_answers_forwarded_requests,
    valid_request_is_not_denied,
    version_is_in_force,
    leaving_upstream_gets_no_requests,
    evacuated_upstreams_get_no_requests,
    upstream_that_says_so_is_left,
    pauses_are_kept,
    extra_arrivals_are_bounded,
    upstreams_are_bounded,
    crashing_request_is_stopped,
    request_crashes_few_upstreams,
    only_crashing_requests_are_quarantined,
    limits_hold,
    cut_off_instances_serve,
    invalid_key_is_refused,
    upstreams_get_the_account,
    quotas_hold,
    recovers,
    processes_live,
)


def check(record: SoakRecord) -> list[Breach]:
    """Returns all breaches of the guarantees."""
    return [breach for guarantee in GUARANTEES for breach in guarantee(record)]


def is_undisturbed(record: SoakRecord, asked: SentRequest) -> bool:
    """Returns whether time bounds apply to a request.

    They do if neither its instance nor the store was disturbed during the
    request and SETTLING_TIME_S before.
    """
    since = asked.at - SETTLING_TIME_S
    until = asked.ended_at or asked.at + asked.timeout_s
    return not (
        record.has_disturbance(asked.instance, since, until)
        or record.has_disturbance("store", since, until)
    )


def route_of(record: SoakRecord, asked: SentRequest) -> Route:
    """Returns the first version of a request's route.

    Whether a route is idempotent and has shards is the same in each version.
    """
    return record.routes(asked.route)[0][1]


def services_of(route: Route) -> tuple[str, ...]:
    """Returns the services that a route may forward to."""
    return route.shards or tuple(one.name for one in route.services)


def runs_by_request(record: SoakRecord) -> dict[str, list[UpstreamRun]]:
    """Returns the runs at upstreams by request id."""
    found: dict[str, list[UpstreamRun]] = defaultdict(list)
    for run in record.runs:
        found[run.request_id].append(run)
    return found
