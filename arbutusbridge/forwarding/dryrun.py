"""Trial of a request on a copy of the state of an instance.

The functions that decide on a request also count, draw random numbers and take
tokens. Run on a copy, they decide exactly as for the next real request and
change nothing. The copy covers what the start of a request may change; the rest
is shared with the instance.
"""

from __future__ import annotations

import copy
import dataclasses
import math
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

from arbutusbridge.core.requests.quarantine import canary_never
from arbutusbridge.forwarding import dispatch, intake
from arbutusbridge.forwarding.gather import PeerTable
from arbutusbridge.forwarding.messages import Refusal, RefusedAnswer
from arbutusbridge.forwarding.model import CallerRequest

if TYPE_CHECKING:
    from arbutusbridge.core.requests.quarantine import Quarantine
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.forwarder import Forwarder
    from arbutusbridge.forwarding.model import Account, Route
    from arbutusbridge.forwarding.routes import RouteTable
    from arbutusbridge.forwarding.shared import GatherState
    from arbutusbridge.forwarding.upstreams import Upstream, UpstreamDirectory


@dataclasses.dataclass(slots=True)
class Trial:
    """Outcome of the start of a request on a copy.

    Attributes:
      state: The copy after the start.
      exchange: State of the request, None if it was refused before.
      refusal: Why the request was refused at once, None if it was not.
      retry_after_s: Retry-after delay of the refusal, None without one.
    """

    state: Forwarder
    exchange: Exchange | None = None
    refusal: str | None = None
    retry_after_s: float | None = None


def describe_request(
    host: str, target: str, method: str, now: float
) -> CallerRequest:
    """Returns a request without a body that arrives now."""
    return CallerRequest(
        "explain", method, target, host, [], b"", math.inf, now
    )


def list_services(route: Route) -> tuple[str, ...]:
    """Returns all services that a request of a route may be sent to."""
    return route.shards or tuple(one.name for one in route.services)


def copy_state(forwarder: Forwarder, route: Route, now: float) -> Forwarder:
    """Returns a copy on which a request of a route may be started.

    Verdicts that are due are settled on it, but neither do their notices reach
    peers nor do they end other open requests.
    """
    state = copy.copy(forwarder)
    state.rng = copy.copy(forwarder.rng)
    state.table = copy_table(forwarder.table)
    state.directory = copy_directory(forwarder.directory, list_services(route))
    # The start of a request counts in the budgets, and does not read them.
    state.budgets = {}
    state.attempts = {}
    state.exchanges = dict(forwarder.exchanges)
    state.gather = copy_gather(forwarder.gather)
    state.decision_counts = Counter(forwarder.decision_counts)
    state.limits = dataclasses.replace(
        forwarder.limits, return_times=dict(forwarder.limits.return_times)
    )
    state.quotas = dataclasses.replace(
        forwarder.quotas, orders=dict(forwarder.quotas.orders)
    )
    state.overflow = copy.deepcopy(forwarder.overflow)
    state.isolation = dataclasses.replace(
        forwarder.isolation,
        failed=set(forwarder.isolation.failed),
        dead_services=dict(forwarder.isolation.dead_services),
    )
    state.newly_quarantined = []
    state.quarantine = copy_quarantine(forwarder.quarantine)
    state.quarantine.settle(now)
    return state


def copy_table(table: RouteTable | None) -> RouteTable | None:
    """Returns routes whose weighted round robin may be advanced."""
    if table is None:
        return None
    copied = copy.copy(table)
    copied.owed_weights = {
        route: dict(owed) for route, owed in table.owed_weights.items()
    }
    return copied


def copy_directory(
    directory: UpstreamDirectory, services: tuple[str, ...]
) -> UpstreamDirectory:
    """Returns a directory in which the upstreams of services are copies."""
    copied = copy.copy(directory)
    copied.by_name = dict(directory.by_name)
    copied.services = dict(directory.services)
    for service in services:
        found = directory.services.get(service)
        if found:
            upstreams = {
                name: copy_upstream(one) for name, one in found.items()
            }
            copied.services[service] = upstreams
            copied.by_name.update(upstreams)
    return copied


def copy_upstream(upstream: Upstream) -> Upstream:
    """Returns a copy of an upstream with limits and demand of its own."""
    return dataclasses.replace(
        upstream,
        open_attempts=dict(upstream.open_attempts),
        limit=copy.copy(upstream.limit),
        cold_limit=copy.copy(upstream.cold_limit),
        demand=copy.copy(upstream.demand),
    )


def copy_gather(gather: GatherState) -> GatherState:
    """Returns a copy of what concerns peers, with copies of the peers."""
    table = PeerTable()
    table.peers = {
        name: copy.copy(peer) for name, peer in gather.peer_table.peers.items()
    }
    table.protocols = dict(gather.peer_table.protocols)
    table.ack_times = dict(gather.peer_table.ack_times)
    return dataclasses.replace(
        gather,
        peer_table=table,
        own_peer=copy.copy(gather.own_peer),
        groups=dict(gather.groups),
        taken=dict(gather.taken),
    )


def copy_quarantine(quarantine: Quarantine) -> Quarantine:
    """Returns a copy whose verdicts may be settled."""
    copied = copy.copy(quarantine)
    copied.entries = OrderedDict(quarantine.entries)
    copied.pending = dict(quarantine.pending)
    for fingerprint in quarantine.pending:
        entry = quarantine.entries.get(fingerprint)
        if entry is not None:
            copied.entries[fingerprint] = copy.copy(entry)
    return copied


def begin(
    state: Forwarder,
    request: CallerRequest,
    route: Route,
    account: Account | None,
    now: float,
    canaries: bool = True,
) -> Trial:
    """Chooses the service of a request on a copy, or refuses the request.

    Args:
      state: The copy.
      request: The request.
      route: Its route.
      account: Its account, None without one.
      now: The time.
      canaries: Whether canaries are sent first as usual; otherwise all shards
        are queried as after the result of a canary.
    """
    refused = intake.find_refusal(request, route, state, now)
    if refused is not None:
        return Trial(state, None, refused[0].value, refused[1])
    if not canaries:
        state.quarantine.canary = canary_never
    request.account = account.name if account is not None else ""
    exchange = intake.begin_exchange(request, route, account, state, now)
    if intake.lacks_valid_services(exchange, state):
        refusal = Refusal.INVALID_ENTRY.value
        return Trial(state, None, refusal, intake.OPERATOR_RETRY_AFTER_S)
    return Trial(state, exchange)


def start(trial: Trial, now: float) -> None:
    """Starts the request of a trial on the copy."""
    assert trial.exchange is not None
    out: list[object] = []
    dispatch.start_exchange(trial.exchange, trial.state, now, out)
    for action in out:
        if isinstance(action, RefusedAnswer):
            trial.refusal = action.refusal.value
            trial.retry_after_s = action.retry_after_s
