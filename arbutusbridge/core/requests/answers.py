"""Final answers to searches, labelled with outcome and coverage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Answer, ExecutionStatus, Outcome

if TYPE_CHECKING:
    from arbutusbridge.core.model import Configuration, Policy
    from arbutusbridge.core.requests.coverage import MergedReplies

SEARCH_RETRY_AFTER_MS = 1000
"""Retry delay given to a caller whose search failed or was not run."""


def build_merged_answer(
    request_id: str,
    policy: Policy,
    configuration: Configuration,
    merged: MergedReplies,
    nothing_ran: bool,
) -> Answer:
    """Builds the answer from the merged replies of one index version.

    Args:
      request_id: Request to answer.
      policy: Policy for the request.
      configuration: Configuration that the request was served with.
      merged: Merged replies.
      nothing_ran: Whether no upstream ran any attempt.
    """
    coverage = merged.coverage
    answer = Answer(
        request_id,
        Outcome.COMPLETE,
        ExecutionStatus.YES,
        merged.version[1],
        merged.version[0],
        coverage,
        merged.missing,
        config_version=configuration.version,
    )
    if not answer.missing:
        answer.hits = merged.top_hits(policy.max_hits)
    elif merged.weight and coverage >= policy.least_coverage:
        answer.outcome = Outcome.PARTIAL
        answer.hits = merged.top_hits(policy.max_hits)
        answer.reason = "shards_missing"
        answer.remedy = "Ask again if the missing shards matter."
    else:
        label_insufficient(answer, nothing_ran)
    return answer


def label_insufficient(answer: Answer, nothing_ran: bool) -> None:
    """Marks an answer whose coverage is below the policy's minimum."""
    answer.outcome = Outcome.NOT_RUN if nothing_ran else Outcome.UNKNOWN
    answer.ran = ExecutionStatus.NO if nothing_ran else ExecutionStatus.UNKNOWN
    answer.reason = "coverage_too_low"
    answer.remedy = "Ask again after the time given in retry_after_ms."
    answer.retry_after_ms = SEARCH_RETRY_AFTER_MS


def build_unserved_answer(
    request_id: str, configuration: Configuration
) -> Answer:
    """Builds the answer to a search for which no attempt was sent.

    No index version that upstreams serve covers enough of it.
    """
    return Answer(
        request_id,
        Outcome.NOT_RUN,
        ExecutionStatus.NO,
        config_version=configuration.version,
        reason="no_snapshot",
        remedy="Ask again after the time given in retry_after_ms.",
        retry_after_ms=SEARCH_RETRY_AFTER_MS,
    )


def build_quarantine_answer(
    request_id: str, configuration: Configuration
) -> Answer:
    """Builds the answer to a search that was quarantined after its start."""
    return Answer(
        request_id,
        Outcome.QUARANTINED,
        ExecutionStatus.UNKNOWN,
        config_version=configuration.version,
        reason="upstreams_lost",
        remedy="Change the query; upstreams that ran it were lost.",
    )
