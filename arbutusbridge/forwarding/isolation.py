"""Detection that this instance is cut off from all upstreams.

An upstream that is down and a lost link look alike from one instance. Failures
at several upstreams while none responds, for a moment in which others would
have, are taken as a lost link. If all upstreams really are down, the only cost
is that requests are relayed to peers, which fail as well.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import placement
from arbutusbridge.forwarding.gather import (
    ISOLATION_TTL_S,
    IsolationNotice,
    SendGatherMessage,
)
from arbutusbridge.forwarding.messages import ProbeUpstream
from arbutusbridge.forwarding.notices import contacts

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange, Part
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.model import Announcement
    from arbutusbridge.forwarding.shared import SharedState

MAX_RELAYS = 3
"""Maximum number of peers that may have queried a part, one after the other. An
instance that reaches other services relays to one."""

MIN_FAILED_UPSTREAMS = 3
"""Number of upstreams that must have failed since the last response, as long as
there are more."""

MIN_UNREACHABLE_SERVICES = 3
"""Number of services, none of whose upstreams accepts connections, from which
the links of this instance are in doubt although others respond."""

CONFIRMATION_S = 0.25
"""Time in which a response, or a new connection that stays open, refutes the
suspicion; some round trips between regions, and the time for which it must."""

PROBE_INTERVAL_S = 0.5
"""Interval at which a cut-off instance tries to connect to upstreams."""

PROBED_UPSTREAMS = 3
"""Number of upstreams that it tries to connect to."""

MIN_CONNECTED_PROBES = 2
"""Number of upstreams to which connections must stay open, as long as there are
more, until it is taken to be connected again."""

REMINDER_INTERVAL_S = 2.0
"""Interval at which peers are reminded that this instance is cut off."""

RAMP_S = 2.0
"""Time after that in which it takes its requests back from its peers, so that
all instances do not return to the upstreams at once."""


def is_suspected(shared: SharedState) -> bool:
    """Returns whether failures may be those of this instance's own links.

    Without any peer, nothing better than the upstreams is known.
    """
    state = shared.isolation
    if not shared.gather.peer_table.peers:
        return False
    if state.isolated or state.is_doubted:
        return True
    if not state.failed:
        return False
    known, failed = len(shared.directory.by_name), len(state.failed)
    if shared.evacuated:
        # Those of an evacuated data centre may be stopped at any time.
        names = {one.name for one in placement.in_service(shared)}
        known, failed = len(names), len(names & state.failed)
    return failed >= min(MIN_FAILED_UPSTREAMS, max(1, known))


def doubt_links(unreachable: int, shared: SharedState, now: float) -> None:
    """Doubts the links if no upstream of several services accepts connections.

    Connections that exist may outlive a cut, so that responses on them do not
    speak against it.

    Args:
      unreachable: Number of these services.
      shared: State of this instance.
      now: The time.
    """
    state = shared.isolation
    if unreachable >= MIN_UNREACHABLE_SERVICES and now >= state.trusted_until:
        state.is_doubted = not state.isolated


def relays_requests(shared: SharedState, now: float) -> bool:
    """Returns whether the next request is to be relayed to a peer."""
    state = shared.isolation
    if state.isolated:
        return True
    since_s = now - state.ended_at
    return since_s < RAMP_S and shared.rng.random() > since_s / RAMP_S


def relay_unreachable(
    exchange: Exchange, part: Part, shared: SharedState, now: float
) -> bool:
    """Marks a request to be relayed if no upstream of its service accepts.

    The links of this instance to that service may be cut while it reaches
    others. A peer that could not serve it either shows that they are not.

    Returns:
      Whether it is to be relayed, to one peer.
    """
    if exchange.route.shards or exchange.peer_request is not None:
        return False
    if exchange.relayed or part.may_have_run or part.arrivals:
        return False
    if shared.suspicion(exchange.request, now) is not None:
        return False
    if shared.isolation.dead_services.get(part.service, -math.inf) > now:
        return False
    usable = placement.eligible(exchange, part.service, shared, now)
    if not usable or any(one.unreachable_until <= now for one in usable):
        return False
    exchange.relayed = True
    part.relays = MAX_RELAYS - 1
    # No attempt has reached an upstream.
    part.asked.clear()
    part.check_at = now
    return True


def update(shared: SharedState, now: float, out: list[object]) -> bool:
    """Decides whether this instance is cut off.

    Returns:
      Whether it has just been found to be.
    """
    state = shared.isolation
    if state.isolated:
        return False
    if not is_suspected(shared):
        state.suspected_at = math.inf
        return False
    if math.isinf(state.suspected_at):
        state.suspected_at = now
        state.connected.clear()
        send_probes(shared, now, out)
    if now - state.suspected_at < CONFIRMATION_S:
        return False
    state.isolated = True
    state.is_doubted = False
    state.deferred.clear()
    detail = {
        "failed": len(state.failed),
        "upstreams": len(shared.directory.by_name),
        "response_age_ms": shared.response_age_ms(now),
    }
    out.append(Decision("", "cut_off", detail))
    send_to_all(shared, now, out)
    return True


def send_notices(
    shared: SharedState, peers: list[Peer], out: list[object]
) -> None:
    """Tells peers whether this instance is cut off."""
    own = shared.gather.own_peer
    if own is None:
        return
    notice = IsolationNotice(own.name, shared.isolation.isolated)
    out += [SendGatherMessage(peer.address, notice) for peer in peers]


def send_to_all(shared: SharedState, now: float, out: list[object]) -> None:
    """Tells all peers of a change."""
    shared.isolation.announced_at = now
    send_notices(shared, list(shared.gather.peer_table.peers.values()), out)


def on_notice(
    notice: IsolationNotice, shared: SharedState, now: float, out: list[object]
) -> None:
    """Handles that a peer is cut off, or no longer."""
    peer = shared.gather.peer_table.peers.get(notice.sender)
    if peer is None:
        return
    was_isolated = peer.isolated_until > now
    peer.isolated_until = now + ISOLATION_TTL_S if notice.isolated else 0.0
    if was_isolated != notice.isolated:
        detail = {"peer": notice.sender, "cut_off": notice.isolated}
        out.append(Decision("", "peer_cut_off", detail))


def probe(shared: SharedState, now: float, out: list[object]) -> None:
    """Tries to connect to some upstreams while this instance is cut off.

    Some peers are reminded that it is.
    """
    state = shared.isolation
    # The timer that calls this may be a little early.
    if state.isolated and now - state.probed_at >= 0.9 * PROBE_INTERVAL_S:
        send_probes(shared, now, out)
    if state.isolated and now - state.announced_at >= REMINDER_INTERVAL_S:
        state.announced_at = now
        send_notices(shared, contacts(shared), out)


def send_probes(shared: SharedState, now: float, out: list[object]) -> None:
    """Tries to connect to some upstreams, preferably none that has failed.

    Those of evacuated data centres may be down and are left out.
    """
    state = shared.isolation
    state.probed_at = now
    upstreams = placement.in_service(shared)
    untried = [one for one in upstreams if one.name not in state.failed]
    if len(untried) < PROBED_UPSTREAMS:
        untried = upstreams
    count = min(PROBED_UPSTREAMS, len(untried))
    out += [
        ProbeUpstream(upstream.announcement)
        for upstream in shared.rng.sample(untried, count)
    ]


def on_connected(
    announcement: Announcement,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Handles that a connection to an upstream has stayed open."""
    state = shared.isolation
    if not state.isolated:
        state.record_connection(now)
        return
    state.connected.add(announcement.upstream)
    known = len(placement.in_service(shared))
    if len(state.connected) < min(MIN_CONNECTED_PROBES, known):
        return
    state.isolated = False
    state.ended_at = now
    state.record_connection(now)
    for upstream in shared.directory.by_name.values():
        upstream.forget_failures(now)
    out.append(Decision("", "connected_again", {}))
    send_to_all(shared, now, out)


def take_refusals(shared: SharedState) -> list[Announcement]:
    """Returns the upstreams that have refused connections themselves.

    A refusal while the links of this instance are in doubt is kept until they
    are known to work, and dropped if they do not.
    """
    state = shared.isolation
    if not state.deferred or is_suspected(shared):
        return []
    refusing, state.deferred = state.deferred, []
    return refusing
