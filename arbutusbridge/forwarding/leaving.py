"""Upstreams that say in their responses that they are leaving."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding.messages import WithdrawAttempt

if TYPE_CHECKING:
    from arbutusbridge.forwarding.upstreams import Upstream

LEAVING_SEND_S = 1.5
"""Time after which no waiting request is sent to an upstream that is leaving.
With the time in which its announcement is read, it has to stay below the
shortest drain period of the users."""


def learn_leaving(
    upstream: Upstream, request_id: str, now: float, out: list[object]
) -> None:
    """Stops using an upstream that has said that it is leaving.

    It holds until its next start. Requests that wait for a connection to it are
    sent elsewhere; those that it has are completed.

    Args:
      upstream: The upstream.
      request_id: Id of the request that it answered.
      now: The time.
      out: Actions, to which those of this function are appended.
    """
    if upstream.said_leaving or upstream.removed:
        return
    upstream.said_leaving = True
    announced = upstream.leaving_at < math.inf
    if not announced:
        upstream.leaving_at = now
    detail = {
        "upstream": upstream.name,
        "service": upstream.announcement.service,
        "announced": announced,
        "open": len(upstream.open_attempts),
    }
    out.append(Decision(request_id, "upstream_leaving", detail))
    withdraw_unsent(upstream, out)


def withdraw_unsent(upstream: Upstream, out: list[object]) -> None:
    """Withdraws the attempts that still wait for a connection."""
    out += [WithdrawAttempt(number) for number in upstream.open_attempts]


def latest_send(upstream: Upstream) -> float:
    """Returns the time after which an attempt is no longer sent."""
    return upstream.leaving_at + LEAVING_SEND_S
