"""Replies to the peer that delegated shards or a request without shards.

A peer that accepts updates gets the shards that have replied at the target, and
those that reply later in further replies.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.forwarding.gather import (
    GatherReply,
    RelayedResponse,
    SendGatherMessage,
)
from arbutusbridge.forwarding.messages import AttemptEnd

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.messages import UpstreamReply

MIN_UPDATE_INTERVAL_S = 0.03
"""Minimum interval between two replies to a peer."""

UPDATE_RATIO = 0.2
"""Fraction of a route's target time between two replies to a peer."""

MIN_UPDATE_PERIOD_S = 0.5
"""Minimum time for which shards are queried after the first reply; upstreams
that pause are back, and those that have crashed are known, within it."""

UPDATE_TARGETS = 2.0
"""The same time as a multiple of a route's target time; the greater of the two
applies."""


def send_response(
    exchange: Exchange,
    reply: UpstreamReply | None,
    retry_after_s: float | None,
    out: list[object],
) -> None:
    """Sends the outcome of a request without shards to the peer it is from.

    Args:
      exchange: The request.
      reply: Response of an upstream, None if there is none.
      retry_after_s: Time after which to retry if it has not run.
      out: Actions, to which the message is appended.
    """
    gather_request = exchange.peer_request
    assert gather_request is not None
    message = GatherReply(gather_request.gather_id, {}, b"")
    message.may_have_run = exchange.may_have_run
    message.retry_after_s = retry_after_s
    if reply is not None:
        message.response = RelayedResponse(
            reply.end is AttemptEnd.RESULT,
            reply.status,
            reply.headers,
            reply.body,
            reply.stamp,
        )
    out.append(SendGatherMessage(gather_request.reply_to, message))


def update_interval_s(exchange: Exchange) -> float:
    """Returns the interval between two replies to a peer, in seconds."""
    return max(MIN_UPDATE_INTERVAL_S, UPDATE_RATIO * exchange.route.target_s)


def update_period_s(exchange: Exchange) -> float:
    """Returns how long shards are queried after the first update.

    The result is in seconds.
    """
    return max(MIN_UPDATE_PERIOD_S, UPDATE_TARGETS * exchange.route.target_s)


def send_reply(
    exchange: Exchange, body: bytes, out: list[object], is_final: bool = True
) -> None:
    """Sends the merged replies to the peer that delegated the request."""
    gather_request = exchange.peer_request
    assert gather_request is not None
    replies = {
        part.service: part.reply
        for part in exchange.parts
        if part.reply is not None
    }
    stamps = {service: one.stamp for service, one in replies.items()}
    asked = {
        part.service: [upstream.name for upstream in part.asked]
        for part in exchange.parts
        if part.reply is None and part.asked
    }
    unsent = [
        part.service
        for part in exchange.parts
        if (part.limited and not part.sends) or part.not_arrived
    ]
    held_back = [part.service for part in exchange.parts if part.held_back]
    message = GatherReply(
        gather_request.gather_id,
        stamps,
        body,
        asked,
        unsent,
        held_back,
        may_have_run=exchange.may_have_run,
        is_final=is_final,
    )
    if gather_request.max_records is not None:
        # A sender that states its number understands this one.
        message.max_records = exchange.route.max_records
    out.append(SendGatherMessage(gather_request.reply_to, message))
