"""Terms of a route that instances of two configuration versions agree on.

Versions reach the instances one after the other, and an instance that is cut
off from the store keeps an old one. A peer finds another route for a request in
its version than the instance that delegated it, so that the message states what
the result depends on.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding.merge import RECORD_BYTES

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import DelegatedGroup
    from arbutusbridge.forwarding.gather import GatherReply, GatherRequest
    from arbutusbridge.forwarding.model import Route
    from arbutusbridge.forwarding.shared import SharedState

UNSTATED_MAX_RECORDS = 16_384
"""Number of records in the reply to a peer that does not state its own. It
discards those that it does not need; the message stays below its limit."""


def is_of_same_kind(message: GatherRequest, route: Route) -> bool:
    """Returns whether a route has shards exactly if the sender's route has.

    The reply to a request with shards has no response of an upstream, so that
    the sender of one without shards would take it not to have run.
    """
    if message.idempotent is None:
        return True
    return (message.max_records is not None) == bool(route.shards)


def apply_terms(message: GatherRequest, route: Route) -> Route:
    """Returns a route with the terms of the peer that delegated a request."""
    if message.idempotent is None or message.most_upstreams is None:
        max_records = max(route.max_records, UNSTATED_MAX_RECORDS)
        return dataclasses.replace(route, max_records=max_records)
    return dataclasses.replace(
        route,
        idempotent=message.idempotent,
        most_upstreams=message.most_upstreams,
        max_records=message.max_records or 0,
    )


def is_truncated(message: GatherReply, route: Route) -> bool:
    """Returns whether a reply may lack records that belong into the answer.

    A peer of an earlier build leaves out those beyond the number of its own
    version and does not state it.
    """
    wanted = route.max_records * RECORD_BYTES
    if not message.body or len(message.body) >= wanted:
        return False
    stated = message.max_records
    return stated is None or stated < route.max_records


def discard_truncated(
    message: GatherReply,
    group: DelegatedGroup,
    shared: SharedState,
    out: list[object],
) -> GatherReply:
    """Returns a truncated reply without its records.

    Its shards have each been sent to an upstream, and are sent again from here
    as far as the route and the retry budget allow.
    """
    shared.count("peer_reply_truncated")
    detail = {
        "peer": group.peer.name,
        "shards": len(message.stamps),
        "records": len(message.body) // RECORD_BYTES,
        "max_records": message.max_records,
        "wanted": group.exchange.route.max_records,
    }
    request_id = group.exchange.request.request_id
    out.append(Decision(request_id, "peer_reply_truncated", detail))
    if message.is_final:
        for part in group.parts:
            part.asked_by_peers += part.pending and (
                part.service in message.stamps
            )
    asked: dict[str, list[str]] = {
        service: [] for service in message.stamps
    } | message.asked
    return dataclasses.replace(message, stamps={}, body=b"", asked=asked)
