"""Refusals of records, and whether they may state that a record did not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core import keys
from arbutusbridge.core.messages import Answer, ExecutionStatus, Outcome

if TYPE_CHECKING:
    from arbutusbridge.core.messages import RecordRequest

RECORD_RETRY_AFTER_MS = 1000
"""Retry delay given to a caller whose record may not have run."""

MAX_RECENT_KEYS = 100_000
"""Maximum number of recent keys kept."""

NEW_KEY_REMEDY = "Send it again with a new key."
SAME_KEY_REMEDY = "Resend with the same key; it will not run twice."
MANUAL_CHECK_REMEDY = "Look up whether it was recorded; a resend can't tell."
UUID7_KEY_REMEDY = "Send a UUID of version 7 as key, made when first sent."

RECORD_REMEDIES = {
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
"""Remedy for the caller by reason for the outcome ``not_run``."""


class RecentKeys:
    """Keys of the records that arrived at this instance.

    When full, the oldest key is dropped.

    Attributes:
      keys: Service and key, in order of arrival.
    """

    def __init__(self) -> None:
        self.keys: dict[tuple[str, str], None] = {}

    def add(self, request: RecordRequest) -> None:
        """Adds a request's key."""
        if len(self.keys) >= MAX_RECENT_KEYS:
            del self.keys[next(iter(self.keys))]
        self.keys[qualified_key(request)] = None

    def holds(self, request: RecordRequest) -> bool:
        """Returns whether a request's key arrived here before."""
        return qualified_key(request) in self.keys


def qualified_key(request: RecordRequest) -> tuple[str, str]:
    """Returns a request's service and canonical key."""
    return request.service, keys.canonical_key(request.key)


def key_refusal_reason(request: RecordRequest) -> str:
    """Returns the reason why a key cannot be claimed, empty if it can."""
    created_ms = keys.created_at_ms(request.key)
    if created_ms is None:
        return "malformed_key"
    age_ms = request.wall_ms - created_ms
    if age_ms > keys.ACCEPTANCE_WINDOW_MS:
        return "key_expired"
    if age_ms < -keys.MAX_CLOCK_SKEW_MS:
        return "key_from_future"
    return ""


def build_record_refusal(
    request: RecordRequest, reason: str, recent_keys: RecentKeys, version: int
) -> Answer:
    """Builds the answer to a record that is refused before its claim.

    It is ``not_run`` only if no earlier request can have run the key: if no
    instance accepts the key, or on the first send of a key that has not arrived
    here before.
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
    elif request.resend or recent_keys.holds(request):
        answer.outcome = Outcome.UNKNOWN
        answer.ran = ExecutionStatus.UNKNOWN
        answer.remedy = SAME_KEY_REMEDY
        answer.retry_after_ms = RECORD_RETRY_AFTER_MS
    else:
        answer.remedy = RECORD_REMEDIES.get(reason, NEW_KEY_REMEDY)
        answer.retry_after_ms = RECORD_RETRY_AFTER_MS
    return answer
