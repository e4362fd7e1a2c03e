"""Intake of callers' requests: refusals, quotas, and the start of others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.core.requests.quarantine import FingerprintState
from arbutusbridge.forwarding import dispatch, quotas, quotatokens
from arbutusbridge.forwarding.accounts import explain_refusal, find_homes
from arbutusbridge.forwarding.exchange import Exchange
from arbutusbridge.forwarding.messages import Refusal, RefusedAnswer

if TYPE_CHECKING:
    from arbutusbridge.forwarding.model import Account, CallerRequest, Route
    from arbutusbridge.forwarding.routes import RouteTable
    from arbutusbridge.forwarding.shared import SharedState

LAGS_PER_REQUEST = 2.0
"""Number of times that the lag delays a request: when it is read and when it is
answered."""

OPERATOR_RETRY_AFTER_S = 5.0
"""Retry-after delay of what only a new version of the configuration can change:
no service gets the requests of a route, or an entry is invalid."""

SUSPECT_RETRY_AFTER_S = 0.3
"""Retry-after delay of a suspect while one with the same content is open here;
whether it crashes its upstream is known by then."""

NOT_READY_RETRY_AFTER_S = 0.5
"""Retry-after delay while the instance has no configuration yet."""

STOPPING_RETRY_AFTER_S = 0.1
"""Retry-after delay of an instance that is about to end; others are ready."""


def start_request(
    request: CallerRequest, shared: SharedState, now: float, out: list[object]
) -> None:
    """Starts a caller's request, refuses it, or lets it wait for a token."""
    table = shared.table
    if table is None:
        retry_s = NOT_READY_RETRY_AFTER_S
        refuse(request, Refusal.NOT_READY, retry_s, shared, now, out)
        return
    route = table.find(request.host, request.target)
    refused = find_route_refusal(route, request.host, table)
    if refused is not None:
        reason = describe_route_mistake(route)
        refuse_by_entry(request, refused, reason, shared, now, out)
        return
    assert route is not None
    account = None
    if table.accounts is None:
        request.headers += request.identity_headers
    else:
        found = table.accounts.authenticate(route, request.credentials)
        if isinstance(found, Refusal):
            reason = {"why": "account"}
            refuse_by_entry(request, found, reason, shared, now, out)
            return
        account = found
        request.account = account.name if account is not None else ""
    if refuse_unwanted(request, route, shared, now, out):
        return
    exchange = begin_exchange(request, route, account, shared, now)
    if refuse_invalid_services(exchange, shared, now, out):
        return
    if account is not None and account.rate > 0.0:
        decision = quotas.admit(exchange, account, shared, now, out)
        if decision is quotas.Admission.WAITING:
            return
        if not isinstance(decision, quotas.Admission):
            refuse_over_quota(exchange, decision, "", shared, now, out)
            return
    dispatch.start_exchange(exchange, shared, now, out)
    settle_quotas(shared, now, out)


def find_route_refusal(
    route: Route | None, host: str, table: RouteTable
) -> Refusal | None:
    """Returns why a request is refused because of its route, None if valid.

    Args:
      route: Route that it matches, None if it matches none.
      host: Host that its caller names.
      table: The routes.
    """
    if route is not None and not route.mistake:
        return None
    if route is None and table.is_complete(host):
        return Refusal.NO_ROUTE
    return Refusal.INVALID_ENTRY


def describe_route_mistake(route: Route | None) -> dict[str, object]:
    """Returns the log fields on a route that cannot be decoded.

    Args:
      route: The route, None if its host or prefix is unknown.
    """
    if route is None:
        return {"why": "unknown_route"}
    return {"why": "route", "route": route.name, "mistake": route.mistake}


def retry_after_of(refusal: Refusal) -> float | None:
    """Returns the retry-after delay of a refusal because of an entry.

    None if it is of a route or key that does not exist.
    """
    return OPERATOR_RETRY_AFTER_S if refusal is Refusal.INVALID_ENTRY else None


def refuse_by_entry(
    request: CallerRequest,
    refusal: Refusal,
    reason: dict[str, object],
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Refuses a request because an entry is invalid or does not exist.

    Args:
      request: The request.
      refusal: Reason for the refusal.
      reason: Further fields of the log entry if an entry is invalid.
      shared: State of this instance.
      now: The time.
      out: Actions, to which those of this function are appended.
    """
    retry_s = retry_after_of(refusal)
    further = None if retry_s is None else reason
    refuse(request, refusal, retry_s, shared, now, out, further)


def lacks_valid_services(exchange: Exchange, shared: SharedState) -> bool:
    """Returns whether too few services of a request have a valid entry.

    A search goes on without the shards of the others, as long as these cover
    enough.
    """
    invalid = shared.invalid_services
    if not invalid:
        return False
    valid = sum(part.service not in invalid for part in exchange.parts)
    return not exchange.is_sufficient(valid)


def refuse_invalid_services(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> bool:
    """Refuses a request of which too few services have a valid entry.

    Returns:
      Whether it is refused.
    """
    if not lacks_valid_services(exchange, shared):
        return False
    services = {part.service for part in exchange.parts}
    invalid = min(services & shared.invalid_services)
    reason: dict[str, object] = {"why": "service", "service": invalid}
    request, refusal = exchange.request, Refusal.INVALID_ENTRY
    refuse_by_entry(request, refusal, reason, shared, now, out)
    return True


def find_refusal(
    request: CallerRequest, route: Route, shared: SharedState, now: float
) -> tuple[Refusal, float] | None:
    """Returns why a request is refused before any upstream is looked at.

    Returns:
      The refusal and its retry-after delay in seconds, None if the request is
      accepted.
    """
    if now + route.target_s > shared.final_answers_at:
        return Refusal.STOPPING, STOPPING_RETRY_AFTER_S
    if not route.is_servable:
        return Refusal.UNSERVABLE, OPERATOR_RETRY_AFTER_S
    state = shared.suspicion(request, now)
    if state is FingerprintState.QUARANTINED:
        return Refusal.QUARANTINED, shared.quarantine_left_s(request, now)
    if state is FingerprintState.SUSPECT and (
        shared.verdict_due_at(request) is not None or is_open(request, shared)
    ):
        return Refusal.SUSPECT, SUSPECT_RETRY_AFTER_S
    return None


def is_open(request: CallerRequest, shared: SharedState) -> bool:
    """Returns whether a request with the same content is open here."""
    return any(
        other.fingerprint == request.fingerprint for other in shared.exchanges
    )


def refuse_unwanted(
    request: CallerRequest,
    route: Route,
    shared: SharedState,
    now: float,
    out: list[object],
) -> bool:
    """Refuses a request that is not to be sent to any upstream.

    Returns:
      Whether it is refused.
    """
    found = find_refusal(request, route, shared, now)
    if found is None:
        return False
    refusal, retry_s = found
    refuse(request, refusal, retry_s, shared, now, out)
    return True


def begin_exchange(
    request: CallerRequest,
    route: Route,
    account: Account | None,
    shared: SharedState,
    now: float,
) -> Exchange:
    """Returns the state of a request that is accepted.

    The next service of a weighted route is chosen.
    """
    table = shared.table
    assert table is not None
    services = route.shards or (table.next_service(route),)
    version = table.configuration.version
    exchange = Exchange.begin(
        request, route, version, services, LAGS_PER_REQUEST * shared.lag_s
    )
    exchange.account = account
    exchange.homes = find_homes(route, account)
    if route.shards:
        exchange.canary_count = shared.quarantine.canary_count(
            request.fingerprint, request.host, now
        )
    return exchange


def settle_quotas(shared: SharedState, now: float, out: list[object]) -> None:
    """Continues the requests that have got a token; rejects others."""
    book = shared.quotas
    while book.granted or book.rejected:
        rejected, book.rejected = book.rejected, []
        for exchange, retry_s, ledger in rejected:
            refuse_over_quota(exchange, retry_s, ledger, shared, now, out)
        granted, book.granted = book.granted, []
        for exchange in granted:
            request, route = exchange.request, exchange.route
            if refuse_unwanted(
                request, route, shared, now, out
            ) or refuse_invalid_services(exchange, shared, now, out):
                quotas.give_back(exchange, shared, now)
            else:
                dispatch.start_exchange(exchange, shared, now, out)


def refuse_over_quota(
    exchange: Exchange,
    retry_s: float,
    ledger: str,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Refuses a request over the quota of its account.

    Args:
      exchange: The request.
      retry_s: Time after which to retry, in seconds.
      ledger: Name of the ledger that was asked, empty for none.
      shared: State of this instance.
      now: The time.
      out: Actions, to which those of this function are appended.
    """
    assert exchange.account is not None
    name = exchange.account.name
    shared.quotas.record_refused(name)
    reason: dict[str, object] = {
        "account": name,
        "ledger": ledger or quotatokens.name_of_ledger(name, shared, now),
        "retry_s": round(retry_s, 2),
        "waited_ms": round((now - exchange.request.arrived) * 1000, 1),
    }
    request = exchange.request
    refuse(request, Refusal.OVER_QUOTA, retry_s, shared, now, out, reason)


def refuse(
    request: CallerRequest,
    refusal: Refusal,
    retry_after_s: float | None,
    shared: SharedState,
    now: float,
    out: list[object],
    reason: dict[str, object] | None = None,
) -> None:
    """Refuses a request of which nothing is sent.

    Args:
      request: The request.
      refusal: Reason for the refusal.
      retry_after_s: Time after which to retry, None if a retry is pointless.
      shared: State of this instance.
      now: The time.
      out: Actions, to which those of this function are appended.
      reason: Further fields of the log entry.
    """
    version = shared.table.configuration.version if shared.table else 0
    detail: dict[str, object] = {
        "outcome": refusal.value,
        "host": request.host,
        "target": request.target[:80],
        "version": version,
        **(reason or {}),
    }
    if refusal is Refusal.UNAUTHORIZED:
        detail["why"] = explain_refusal(request.credentials)
    if refusal in (Refusal.QUARANTINED, Refusal.SUSPECT):
        entry = shared.quarantine.entries[request.fingerprint]
        detail["fingerprint"] = request.fingerprint
        detail["evidence"] = entry.describe(now)
        detail["by"] = entry.quarantined_by or "this instance"
    out.append(Decision(request.request_id, "answer", detail))
    out.append(RefusedAnswer(request, refusal, retry_after_s))
