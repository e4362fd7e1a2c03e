"""Non-idempotent requests: claimed before the single send, never sent twice."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from arbutusbridge.core import keys
from arbutusbridge.core.claims.claimpage import (
    ChangeOutcome,
    Claim,
    ClaimChange,
    ClaimState,
)
from arbutusbridge.core.messages import (
    NOT_RUN_KINDS,
    Answer,
    Attempt,
    Decision,
    ExecutionStatus,
    Outcome,
    ReplyKind,
    Respond,
    SetTimer,
)
from arbutusbridge.core.requests.quarantine import fingerprint_of
from arbutusbridge.core.requests.refusals import (
    REMEDIES,
    RETRY_AFTER_MS,
    SAME_KEY_REMEDY,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.claims.claimpage import OutcomeCallback
    from arbutusbridge.core.messages import Action, RecordRequest, Reply
    from arbutusbridge.core.model import Configuration
    from arbutusbridge.core.requests.pending_attempts import ShardTask
    from arbutusbridge.core.requests.tier import Tier

RECORD_DEADLINE_TOKEN = "record_deadline"

OUTCOME_WRITE_GRACE_S = 30.0
"""Time beyond the deadline in which an outcome is still written."""


class Record:
    """One non-idempotent request from its claim to its final answer.

    Attributes:
      request: What the caller asked.
      deadline: When the caller must have its answer.
      repeated: Whether an earlier arrival may have run the key.
      finished: Whether the final answer was given.
      answer: The answer that waits for its outcome to be kept.
    """

    def __init__(
        self,
        request: RecordRequest,
        configuration: Configuration,
        deadline: float,
        repeated: bool,
    ) -> None:
        self.request = request
        self.configuration = configuration
        self.deadline = deadline
        self.repeated = repeated
        self.finished = False
        self.answer: Answer | None = None
        made_ms = keys.made_at_ms(request.key)
        assert made_ms is not None
        self.key = keys.ClaimKey.of(request.service, request.key, made_ms)

    @property
    def fingerprint(self) -> str:
        """Digest that records of equal content share, whatever their keys."""
        return fingerprint_of(self.request.service, self.request.record)

    def start(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Claims the key before anything is sent."""

        def on_claim(
            verdict: ChangeOutcome,
            existing: Claim | None,
            now: float,
            out: list[Action],
        ) -> None:
            self.on_claim(verdict, existing, tier, now, out)

        out.append(
            SetTimer(
                self.deadline, (RECORD_DEADLINE_TOKEN, self.request.request_id)
            )
        )
        self.change(ClaimState.CLAIMED, on_claim, tier, now, out)

    def change(
        self,
        state: ClaimState,
        on_outcome: OutcomeCallback,
        tier: Tier,
        now: float,
        out: list[Action],
        result: Any = None,
    ) -> None:
        """Brings a change of this record's claim on its way."""
        deadline = self.deadline
        if state is not ClaimState.CLAIMED:
            deadline += OUTCOME_WRITE_GRACE_S
        claim = Claim(self.request.request_id, state, result)
        change = ClaimChange(self.key, claim, deadline, on_outcome)
        tier.claims.submit(change, now, out)

    def on_claim(
        self,
        verdict: ChangeOutcome,
        existing: Claim | None,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Takes what became of the claim."""
        if verdict is ChangeOutcome.APPLIED:
            self.send(tier, now, out)
        elif self.finished:
            return
        elif verdict is ChangeOutcome.TAKEN:
            self.on_taken(existing, out)
        elif verdict is ChangeOutcome.FULL:
            self.refuse_unclaimed("page_full", out)
        elif now >= self.deadline:
            self.unknown("deadline", SAME_KEY_REMEDY, out)
        else:
            self.refuse_unclaimed("store_down", out)
        tier.forget_if_finished(self)

    def on_taken(self, existing: Claim | None, out: list[Action]) -> None:
        """Answers by the claim of an earlier arrival."""
        if existing is None or existing.state is ClaimState.CLAIMED:
            self.unknown("claimed_elsewhere", SAME_KEY_REMEDY, out)
        elif existing.state is ClaimState.VOID:
            self.refuse("key_void", out)
        else:
            answer = self.new_answer(
                Outcome.REFUSED_DUPLICATE, ExecutionStatus.YES
            )
            answer.result = existing.result
            answer.reason = "already_ran"
            answer.remedy = "Nothing to do; result holds what was kept of it."
            self.respond(answer, out)

    def send(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Makes the single send, unless there is no time or no upstream."""
        if self.finished or now >= self.deadline:
            self.void("deadline", tier, now, out)
            return
        if tier.intake.quarantine.quarantined(self.fingerprint, now):
            self.void("quarantined", tier, now, out)
            return
        serving = tier.best_version(self.request.service)
        if serving is None:
            self.void("no_upstream", tier, now, out)
            return
        shard = serving.layout.shard_at(keys.key_point(self.request.key))
        view = tier.pick(serving.replica_sets[shard.name], (), tier.rng, now)
        if view is None:
            self.void("no_upstream", tier, now, out)
            return
        attempt = Attempt(
            tier.next_attempt_id(),
            self.request.request_id,
            view.name,
            self.request.service,
            shard.name,
            serving.version,
            self.deadline,
            self.request.record,
            self.request.key,
        )
        view.in_flight += 1
        tier.track_record_attempt(attempt, self, view, shard, now)
        out.append(attempt)
        detail = {"upstream": view.name, "shard": shard.name}
        out.append(Decision(self.request.request_id, "record", detail))

    def on_reply(
        self,
        reply: Reply,
        task: ShardTask,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Takes the reply to the single send, also after the deadline."""
        task.open_attempts.clear()
        if reply.kind is ReplyKind.RESULT:
            self.write_outcome(reply.result, tier, now, out)
        elif reply.kind in NOT_RUN_KINDS:
            self.void("upstream_refused", tier, now, out)
        elif not self.finished:
            self.unknown("reply_lost", SAME_KEY_REMEDY, out)

    def write_outcome(
        self, result: Any, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Writes the outcome for resends, then tells it."""
        answer = self.new_answer(Outcome.COMPLETE, ExecutionStatus.YES)
        answer.coverage = 1.0
        answer.result = result
        self.answer = answer

        on_written = self.when_settled(
            tier,
            lambda out: self.respond(answer, out),
            lambda out: self.respond_not_kept(answer, out),
        )
        self.change(ClaimState.RAN, on_written, tier, now, out, result)

    def void(
        self, reason: str, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Voids the claim, so that the key can never run; then refuses."""
        on_void = self.when_settled(
            tier,
            lambda out: self.refuse(reason, out),
            lambda out: self.unknown("void_unconfirmed", SAME_KEY_REMEDY, out),
        )
        self.change(ClaimState.VOID, on_void, tier, now, out)

    def when_settled(
        self,
        tier: Tier,
        stands: Callable[[list[Action]], None],
        otherwise: Callable[[list[Action]], None],
    ) -> OutcomeCallback:
        """Returns the function that answers by what became of a change."""

        def on_outcome(
            verdict: ChangeOutcome,
            _existing: Claim | None,
            _now: float,
            out: list[Action],
        ) -> None:
            if self.finished:
                return
            if verdict is ChangeOutcome.APPLIED:
                stands(out)
            else:
                otherwise(out)
            tier.forget_if_finished(self)

        return on_outcome

    def on_deadline(self, out: list[Action]) -> None:
        """Gives the answer that is known at the deadline."""
        if self.finished:
            return
        if self.answer is not None:
            self.respond_not_kept(self.answer, out)
        else:
            self.unknown("deadline", SAME_KEY_REMEDY, out)

    def respond_not_kept(self, answer: Answer, out: list[Action]) -> None:
        """Tells a result that a resend may not be told."""
        answer.outcome = Outcome.UNKNOWN
        answer.reason = "outcome_not_kept"
        answer.remedy = "It ran; keep the result, a resend may not get it."
        self.respond(answer, out)

    def new_answer(self, outcome: Outcome, ran: ExecutionStatus) -> Answer:
        """Builds an answer to this record."""
        return Answer(
            self.request.request_id,
            outcome,
            ran,
            config_version=self.configuration.version,
        )

    def refuse_unclaimed(self, reason: str, out: list[Action]) -> None:
        """Refuses without a claim, which says nothing of other arrivals."""
        if self.repeated:
            self.unknown(reason, SAME_KEY_REMEDY, out)
        else:
            self.refuse(reason, out)

    def refuse(self, reason: str, out: list[Action]) -> None:
        """Answers that it was not run."""
        answer = self.new_answer(Outcome.NOT_RUN, ExecutionStatus.NO)
        answer.reason = reason
        answer.remedy = REMEDIES[reason]
        answer.retry_after_ms = RETRY_AFTER_MS
        self.respond(answer, out)

    def unknown(self, reason: str, remedy: str, out: list[Action]) -> None:
        """Answers that it may have run."""
        answer = self.new_answer(Outcome.UNKNOWN, ExecutionStatus.UNKNOWN)
        answer.reason = reason
        answer.remedy = remedy
        answer.retry_after_ms = RETRY_AFTER_MS
        self.respond(answer, out)

    def respond(self, answer: Answer, out: list[Action]) -> None:
        """Hands over the final answer."""
        self.finished = True
        out.append(Respond(answer))
