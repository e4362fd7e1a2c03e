"""Refusals of records, and when one may say that it was not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core import keys
from arbutusbridge.core.messages import Answer, ExecutionStatus, Outcome

if TYPE_CHECKING:
    from arbutusbridge.core.messages import RecordRequest

RETRY_AFTER_MS = 1000
"""When a caller is told to come back after a refused record."""

MAX_CLAIMED_KEYS = 100_000
"""Keys remembered as claimed here."""

NEW_KEY_REMEDY = "Send it again with a new key."
SAME_KEY_REMEDY = "Resend with the same key; it will not run twice."
MANUAL_CHECK_REMEDY = "Look up whether it was recorded; a resend can't tell."
UUID7_KEY_REMEDY = "Send a UUID of version 7 as key, made when first sent."

REMEDIES = {
    "store_down": NEW_KEY_REMEDY,
    "upstream_refused": NEW_KEY_REMEDY,
    "no_upstream": NEW_KEY_REMEDY,
    "deadline": NEW_KEY_REMEDY,
    "key_void": NEW_KEY_REMEDY,
    "page_full": "Make keys at the moment of sending; send with a new key.",
    "malformed_key": UUID7_KEY_REMEDY,
    "key_from_future": "Set the clock that keys are made by, then a new key.",
    "no_configuration": "Ask another instance with a new key.",
    "queue_full": NEW_KEY_REMEDY,
    "deadline_too_near": NEW_KEY_REMEDY,
    "displaced": NEW_KEY_REMEDY,
    "quarantined": "Change the record; upstreams that ran it were lost.",
    "unknown_service": "Name a service of the register export.",
}
"""What a caller does after each reason for ``not_run``."""


class ClaimedKeys:
    """Keys that this instance has claimed or tried to, oldest dropped first.

    Attributes:
      keys: The keys, in the order in which they came.
    """

    def __init__(self) -> None:
        self.keys: dict[tuple[str, str], None] = {}

    def add(self, request: RecordRequest) -> None:
        """Remembers a request's key."""
        if len(self.keys) >= MAX_CLAIMED_KEYS:
            del self.keys[next(iter(self.keys))]
        self.keys[qualified_key(request)] = None

    def holds(self, request: RecordRequest) -> bool:
        """Tells whether a request's key came here before."""
        return qualified_key(request) in self.keys


def qualified_key(request: RecordRequest) -> tuple[str, str]:
    """Returns what tells a request's key from all others."""
    return request.service, keys.canonical(request.key)


def key_refusal_reason(request: RecordRequest) -> str:
    """Returns why a key can't be claimed, empty if it can be."""
    made_ms = keys.made_at_ms(request.key)
    if made_ms is None:
        return "malformed_key"
    age_ms = request.wall_ms - made_ms
    if age_ms > keys.ACCEPTANCE_WINDOW_MS:
        return "key_expired"
    if age_ms < -keys.MAX_CLOCK_SKEW_MS:
        return "key_from_future"
    return ""


def early_refusal(
    request: RecordRequest, reason: str, claimed: ClaimedKeys, version: int
) -> Answer:
    """Builds the answer to a record that is refused before any claim.

    It is ``not_run`` only for a key that no earlier arrival can have run:
    one that no instance takes, or a first send of a key not known here.
    """
    answer = Answer(
        request.request_id,
        Outcome.NOT_RUN,
        ExecutionStatus.NO,
        config_version=version,
    )
    answer.reason = reason
    if reason == "malformed_key":
        answer.remedy = UUID7_KEY_REMEDY
    elif reason == "key_expired":
        answer.outcome = Outcome.UNKNOWN
        answer.ran = ExecutionStatus.UNKNOWN
        answer.remedy = MANUAL_CHECK_REMEDY
    elif request.resend or claimed.holds(request):
        answer.outcome = Outcome.UNKNOWN
        answer.ran = ExecutionStatus.UNKNOWN
        answer.remedy = SAME_KEY_REMEDY
        answer.retry_after_ms = RETRY_AFTER_MS
    else:
        answer.remedy = REMEDIES.get(reason, NEW_KEY_REMEDY)
        answer.retry_after_ms = RETRY_AFTER_MS
    return answer
