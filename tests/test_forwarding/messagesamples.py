"""A message of each type, for the encodings that builds have to understand."""

from __future__ import annotations

import dataclasses

from arbutusbridge.core.requests.quarantine import CrashReport
from arbutusbridge.forwarding.following import FollowRequest, StoreUpdate
from arbutusbridge.forwarding.gather import (
    DeclineReason,
    GatherAck,
    GatherCancel,
    GatherConfirm,
    GatherRelease,
    GatherReply,
    GatherRequest,
    IsolationNotice,
    RelayedResponse,
)
from arbutusbridge.forwarding.limitmessages import (
    DemandNotice,
    ShareNotice,
    TermsReport,
)
from arbutusbridge.forwarding.quarantinemessages import (
    QuarantineNotice,
    QuarantineReport,
    ResultReport,
)
from arbutusbridge.forwarding.quotamessages import (
    MeteredNotice,
    QuotaAck,
    QuotaAsk,
    QuotaBatch,
    QuotaClaim,
    QuotaGrant,
    QuotaYield,
)

ADDRESS = ("10.0.0.1", 7380)
TERMS = TermsReport("i-1", 5, 0.25, None)

SAMPLES = {
    "request": GatherRequest(
        7,
        ADDRESS,
        "r1",
        "GET",
        "/leases/1?full",
        "desk.example",
        [(b"Accept", b"*/*")],
        b"\0\xff",
        ["s1", "s2"],
        0.2,
        1.9,
        1,
        0.05,
        1,
        True,
    ),
    "decline": GatherAck(7, DeclineReason.BUSY),
    "ack": GatherAck(8),
    "reply": GatherReply(
        7, {"s1": "a.1"}, b"x" * 32, {"s2": ["i-2"]}, ["s3"], ["s4"]
    ),
    "response": GatherReply(
        9,
        {},
        b"",
        response=RelayedResponse(True, 200, [(b"X-A", b"\xff")], b"\0", "a.1"),
        may_have_run=True,
        retry_after_s=0.5,
    ),
    "cancel": GatherCancel(7, ADDRESS),
    "follow": FollowRequest(ADDRESS, True),
    "update": StoreUpdate(ADDRESS, 4, True, 77, 0.5, False, b"\1\2"),
    "quarantine": QuarantineNotice(
        ADDRESS,
        True,
        [CrashReport("f", "i-1@5", 0.5, 0.25, "north-1", 0.75)],
        [QuarantineReport("f", 1.5, 600.0, "north-1", ["e"])],
        [ResultReport("g", 0.125)],
    ),
    "demand": DemandNotice("north-1", ADDRESS, [TERMS], [0.5]),
    "share": ShareNotice("north-1", [TERMS], [-1.0]),
    "isolation": IsolationNotice("north-1", True),
    "release": GatherRelease(7, ADDRESS),
}
"""Messages by name. An entry stays as it is; a new field gets a new entry."""

LATER_SAMPLES = {
    "account": dataclasses.replace(SAMPLES["request"], account="acme"),
    "homes": dataclasses.replace(SAMPLES["request"], homes=["eu", "us"]),
    "account and homes": dataclasses.replace(
        SAMPLES["request"],
        accepts_updates=True,
        reports_first=True,
        account="caf\u00e9 1",
        homes=["eu"],
    ),
    "confirm": GatherConfirm(7, ADDRESS),
}
"""Messages with the fields and of the types that protocol 0x17 added, by
name."""

TERMS_SAMPLES = {
    "search": dataclasses.replace(
        SAMPLES["request"], idempotent=True, most_upstreams=2, max_records=50
    ),
    "record": dataclasses.replace(
        SAMPLES["request"], idempotent=False, most_upstreams=1
    ),
    "reply": dataclasses.replace(SAMPLES["reply"], max_records=50),
}
"""Messages with the fields that protocol 0x18 added, by name."""

QUOTA_SAMPLES = {
    "batch": QuotaBatch(
        "north-1", ADDRESS, 2**61, 5, ["acme", "bolt"], [3, -1]
    ),
    "batch_ack": QuotaAck("north-2", 5, ["acme"]),
    "open_ack": QuotaAck("north-2", 6),
    "ask": QuotaAsk("north-1", ADDRESS, 2**61, 7, "acme", 4),
    "grant": QuotaGrant("north-2", 7, "acme", 3, 0.25),
    "denial": QuotaGrant("north-2", 8, "acme", retry_s=1.5),
    "metered": MeteredNotice("north-2", ["acme"], ["bolt"]),
}
"""Messages of protocol 0x17 about quotas, by name."""

CLAIM_SAMPLES = {
    "claim": QuotaClaim("north-1", ADDRESS, "north", ["acme", "bolt"]),
    "yield": QuotaYield(
        "north-2",
        ADDRESS,
        "north",
        ["acme", "bolt"],
        ["acme"],
        [-2.5],
        ["acme"],
        ["north-3"],
    ),
    "nothing to yield": QuotaYield("north-2", ADDRESS, "north", ["acme"]),
    "introduction": MeteredNotice("north-2", ["acme"], [], ADDRESS, "north"),
    "declined batch": QuotaAck("north-2", 7, declined=["bolt"]),
    "declined ask": QuotaGrant("north-2", 9, "acme", declined=True),
    "ask after a refusal": QuotaAsk(
        "north-1", ADDRESS, 2**61, 8, "acme", 2, ["north-2"]
    ),
}
"""Messages of protocol 0x18 about the hand-over of quotas, by name."""
