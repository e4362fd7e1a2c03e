"""A forwarder with announced upstreams, driven by hand."""

from __future__ import annotations

import random
import struct

from arbutusbridge.forwarding import (
    Announcement,
    AttemptEnd,
    CallerRequest,
    Forwarder,
    Locality,
    RetryBudgetLimits,
    Route,
    RoutingConfiguration,
    SendAttempt,
    UpstreamReply,
    WeightedService,
)

HOST = "desk.example"
REGIONS = {"north": "n", "central": "c", "south": "s"}
BOUNDS = RetryBudgetLimits(0.2, 50.0, 10.0)
TARGET_S = 0.2
TIMEOUT_S = 2.0


def sharded(shards: int = 4, **fields) -> Route:
    """A route over shards s0, s1 and so on."""
    values = {
        "name": "search",
        "host": HOST,
        "prefix": "/search/",
        "idempotent": True,
        "timeout_s": TIMEOUT_S,
        "target_s": TARGET_S,
        "most_upstreams": 2,
        "shards": tuple(f"s{number}" for number in range(shards)),
        "most_records": 3,
        "least_coverage": 0.75,
    }
    return Route(**(values | fields))


def plain(**fields) -> Route:
    """A route to one service."""
    values = {
        "name": "fetch",
        "host": HOST,
        "prefix": "/fetch/",
        "idempotent": True,
        "timeout_s": TIMEOUT_S,
        "target_s": TARGET_S,
        "most_upstreams": 2,
        "services": (WeightedService("records"),),
    }
    return Route(**(values | fields))


def upstream(name: str, service: str, place: str = "north", **fields):
    """An announcement of an upstream."""
    address = ("10.9.0.1", 8000 + abs(hash(name)) % 1000)
    return Announcement(name, service, address, place, 2, **fields)


def make_forwarder(
    routes: list[Route],
    upstreams: list[Announcement],
    place: str = "north",
    seed: int = 1,
) -> Forwarder:
    """A forwarder that knows routes and upstreams since long ago."""
    forwarder = Forwarder(Locality(place, REGIONS), BOUNDS, random.Random(seed))
    forwarder.configure(RoutingConfiguration(1, tuple(routes)))
    for announcement in upstreams:
        forwarder.announce(announcement, 0.0)
    return forwarder


def shard_upstreams(shards: int, places=("north", "central")):
    """One upstream of each shard in each place."""
    return [
        upstream(f"s{number}-{place}", f"s{number}", place)
        for number in range(shards)
        for place in places
    ]


def request(number: int = 1, target: str = "/search/x", at: float = 100.0):
    """A caller's request."""
    return CallerRequest(
        f"r{number}", "GET", target, HOST, [], b"", at + 5.0, at
    )


def sends_of(actions) -> list[SendAttempt]:
    """The attempts among actions."""
    return [action for action in actions if isinstance(action, SendAttempt)]


def only(actions, kind):
    """The one action of a kind."""
    (found,) = [action for action in actions if isinstance(action, kind)]
    return found


def result(send: SendAttempt, *numbers: int, stamp: str = "") -> UpstreamReply:
    """A success with records that sort as the numbers."""
    body = b"".join(struct.pack(">Q8x", number) for number in numbers)
    return UpstreamReply(
        send.attempt_id,
        AttemptEnd.RESULT,
        200,
        body=body,
        stamp=stamp or f"stamp-{send.upstream.upstream}",
    )


def ended(send: SendAttempt, end: AttemptEnd, **fields) -> UpstreamReply:
    """An attempt that ended in another way."""
    return UpstreamReply(send.attempt_id, end, **fields)


def records(body: bytes) -> list[int]:
    """The numbers of merged records."""
    return [
        struct.unpack(">Q8x", body[start : start + 16])[0]
        for start in range(0, len(body), 16)
    ]
