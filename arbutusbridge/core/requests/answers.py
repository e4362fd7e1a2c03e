"""Final answers to searches, labelled with what was achieved."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Answer, ExecutionStatus, Outcome

if TYPE_CHECKING:
    from arbutusbridge.core.model import Configuration, Policy
    from arbutusbridge.core.requests.coverage import MergedReplies

RETRY_AFTER_MS = 1000
"""When a caller is told to come back after a failed search."""


def merged_answer(
    request_id: str,
    policy: Policy,
    configuration: Configuration,
    merge: MergedReplies,
    nothing_ran: bool,
) -> Answer:
    """Builds the answer that the replies of one version make."""
    coverage = merge.coverage
    answer = Answer(
        request_id,
        Outcome.COMPLETE,
        ExecutionStatus.YES,
        merge.version[1],
        merge.version[0],
        coverage,
        merge.missing,
        config_version=configuration.version,
    )
    if not answer.missing:
        answer.hits = merge.top_hits(policy.max_hits)
    elif merge.weight and coverage >= policy.least_coverage:
        answer.outcome = Outcome.PARTIAL
        answer.hits = merge.top_hits(policy.max_hits)
        answer.reason = "shards_missing"
        answer.remedy = "Ask again if the missing shards matter."
    else:
        label_insufficient(answer, nothing_ran)
    return answer


def label_insufficient(answer: Answer, nothing_ran: bool) -> None:
    """Labels an answer whose coverage is under the least wanted."""
    answer.outcome = Outcome.NOT_RUN if nothing_ran else Outcome.UNKNOWN
    answer.ran = ExecutionStatus.NO if nothing_ran else ExecutionStatus.UNKNOWN
    answer.reason = "coverage_too_low"
    answer.remedy = "Ask again after the time given in retry_after_ms."
    answer.retry_after_ms = RETRY_AFTER_MS


def unserved_answer(request_id: str, configuration: Configuration) -> Answer:
    """Builds the answer that no version covers what is wanted."""
    return Answer(
        request_id,
        Outcome.NOT_RUN,
        ExecutionStatus.NO,
        config_version=configuration.version,
        reason="no_snapshot",
        remedy="Ask again after the time given in retry_after_ms.",
        retry_after_ms=RETRY_AFTER_MS,
    )


def quarantine_answer(request_id: str, configuration: Configuration) -> Answer:
    """Builds the answer to a request that keeps losing upstreams."""
    return Answer(
        request_id,
        Outcome.QUARANTINED,
        ExecutionStatus.UNKNOWN,
        config_version=configuration.version,
        reason="upstreams_lost",
        remedy="Change the query; upstreams that ran it were lost.",
    )
