"""Explanation of where a described request would go now, and why.

The request is started on a copy of the state (``dryrun``), so that the answer
is what the next such request does. Nothing is sent or changed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.forwarding import dryrun, placement
from arbutusbridge.forwarding.accounts import (
    explain_refusal,
    find_homes,
    find_urgency,
)
from arbutusbridge.forwarding.explaindetails import (
    MAX_LISTED,
    count_places,
    describe_overflow,
    describe_peers,
    describe_quota,
    describe_sent,
    describe_shards,
    describe_upstreams,
    to_ms,
)
from arbutusbridge.forwarding.intake import (
    NOT_READY_RETRY_AFTER_S,
    find_route_refusal,
    retry_after_of,
)
from arbutusbridge.forwarding.messages import Refusal

if TYPE_CHECKING:
    from arbutusbridge.forwarding.explaindetails import Section
    from arbutusbridge.forwarding.forwarder import Forwarder
    from arbutusbridge.forwarding.model import Account, Route
    from arbutusbridge.forwarding.routes import RouteTable

MAX_TARGET_SHOWN = 200
"""Maximum length of the part of the target that is repeated."""


@dataclass(frozen=True, slots=True)
class DescribedRequest:
    """Request to explain; it has no body.

    Attributes:
      host: Host in lower case.
      target: Path and query.
      account: Name of the client account, empty for a request without a key.
      method: HTTP method.
    """

    host: str
    target: str
    account: str = ""
    method: str = "GET"


def explain(
    forwarder: Forwarder, described: DescribedRequest, now: float
) -> Section:
    """Returns where a request would go, as data that JSON can express."""
    table = forwarder.table
    found: Section = {
        "request": {
            "host": described.host,
            "target": described.target[:MAX_TARGET_SHOWN],
            "method": described.method,
        },
        "instance": describe_instance(forwarder, now),
        "refusal": None,
    }
    if table is None:
        refusal = Refusal.NOT_READY
        found["refusal"] = build_refusal(refusal.value, NOT_READY_RETRY_AFTER_S)
        return found
    route = table.find(described.host, described.target)
    refused = find_route_refusal(route, described.host, table)
    if refused is not None:
        why = route.mistake if route is not None else None
        found["refusal"] = build_refusal(
            refused.value, retry_after_of(refused), why
        )
        return found
    assert route is not None
    found["route"] = describe_route(route)
    account, denied = find_account(table, route, described.account)
    if denied is not None:
        is_unknown = denied is Refusal.UNAUTHORIZED
        why = explain_missing(described.account) if is_unknown else None
        found["refusal"] = build_refusal(
            denied.value, retry_after_of(denied), why
        )
        return found
    homes = find_homes(route, account)
    found["account"] = describe_account(account, table)
    found["urgency"] = find_urgency(route, account)
    found["homes"] = None if homes is None else sorted(homes)
    found |= describe_trial(forwarder, described, route, account, now)
    found |= find_further_sections(forwarder, described, route, account, now)
    return found


def find_further_sections(
    forwarder: Forwarder,
    described: DescribedRequest,
    route: Route,
    account: Account | None,
    now: float,
) -> Section:
    """Returns the sections on the quota and on overflow, where they apply."""
    sections: Section = {}
    if account is not None and account.rate > 0.0:
        sections["quota"] = describe_quota(account, forwarder, now)
    if forwarder.overflow.is_on:
        sections["overflow"] = describe_overflow(route, forwarder, now)
    return sections


def find_account(
    table: RouteTable, route: Route, name: str
) -> tuple[Account | None, Refusal | None]:
    """Returns the account of a request, and why it would be refused."""
    if table.accounts is None:
        return None, None
    if not name:
        refused = table.accounts.authenticate(route, ())
        return None, refused if isinstance(refused, Refusal) else None
    account = table.accounts.by_name.get(name)
    if account is not None:
        return account, None
    invalid = table.invalid
    if invalid.accounts or name in invalid.account_names:
        return None, Refusal.INVALID_ENTRY
    return None, Refusal.UNAUTHORIZED


def explain_missing(name: str) -> str:
    """Returns why a request of an account, or without one, is unauthorized."""
    return "unknown" if name else explain_refusal(())


def describe_instance(forwarder: Forwarder, now: float) -> Section:
    """Describes what the instance bases its decisions on."""
    table = forwarder.table
    return {
        "data_centre": forwarder.place.data_centre,
        "config_version": table.configuration.version if table else 0,
        "store_age_ms": forwarder.store_age_ms(now),
        "response_age_ms": forwarder.response_age_ms(now),
        "cut_off": forwarder.isolation.isolated,
        "evacuated": sorted(forwarder.evacuated)[:MAX_LISTED],
        "instances": forwarder.instances,
    }


def describe_route(route: Route) -> Section:
    """Describes a route."""
    return {
        "name": route.name,
        "prefix": route.prefix,
        "idempotent": route.idempotent,
        "target_ms": to_ms(route.target_s),
        "urgency": route.urgency,
        "homes": sorted(route.homes),
        "shards": len(route.shards),
        "services": [
            {"name": one.name, "weight": one.weight} for one in route.services
        ][:MAX_LISTED],
    }


def describe_account(
    account: Account | None, table: RouteTable
) -> Section | None:
    """Describes an account without its keys, None if there are no accounts."""
    if table.accounts is None:
        return None
    if account is None:
        return {"name": None, "anonymous": True}
    return {
        "name": account.name,
        "urgency": account.urgency,
        "homes": sorted(account.homes),
    }


def describe_trial(
    forwarder: Forwarder,
    described: DescribedRequest,
    route: Route,
    account: Account | None,
    now: float,
) -> Section:
    """Describes what becomes of a request that has an account and a route."""
    trial = begin_trial(forwarder, described, route, account, now)
    exchange, state = trial.exchange, trial.state
    if exchange is None:
        assert trial.refusal is not None
        return {"refusal": build_refusal(trial.refusal, trial.retry_after_s)}
    found: Section = {}
    # The trial adds attempts of its own to what the costs are computed from.
    if route.shards:
        places = count_places(exchange, state, now)
    else:
        service = found["service"] = exchange.parts[0].service
        found["upstreams"] = describe_upstreams(exchange, service, state, now)
    canaries = exchange.canary_count
    dryrun.start(trial, now)
    if trial.refusal is not None:
        why = None
        if not route.shards:
            why = placement.find_obstacle(exchange, service, state)
        found["refusal"] = build_refusal(
            trial.refusal, trial.retry_after_s, why
        )
    if route.shards:
        found["shards"] = describe_shards(exchange, state, places)
    found["sent"] = describe_sent(exchange, now)
    if canaries and trial.refusal is None:
        later = begin_trial(
            forwarder, described, route, account, now, canaries=False
        )
        assert later.exchange is not None
        dryrun.start(later, now)
        found["canaries"] = canaries
        found["sent_after_canary"] = describe_sent(later.exchange, now)
    found["peers"] = describe_peers(exchange, state, now)
    return found


def begin_trial(
    forwarder: Forwarder,
    described: DescribedRequest,
    route: Route,
    account: Account | None,
    now: float,
    canaries: bool = True,
) -> dryrun.Trial:
    """Begins a described request on a new copy of the state."""
    state = dryrun.copy_state(forwarder, route, now)
    request = dryrun.describe_request(
        described.host, described.target, described.method, now
    )
    return dryrun.begin(state, request, route, account, now, canaries)


def build_refusal(
    outcome: str, retry_after_s: float | None, why: str | None = None
) -> Section:
    """Returns the section on a refusal."""
    retry_ms = None if retry_after_s is None else to_ms(retry_after_s)
    return {"outcome": outcome, "retry_after_ms": retry_ms, "why": why}
