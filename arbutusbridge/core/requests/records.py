"""Non-idempotent requests, each claimed in the store before its only attempt.

A record is never sent to upstreams twice.
"""

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
    MANUAL_CHECK_REMEDY,
    RECORD_REMEDIES,
    RECORD_RETRY_AFTER_MS,
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
"""Time after the deadline in which the outcome of a record may still be written
to its claim."""


class Record:
    """One non-idempotent request, from its claim to its final answer.

    Attributes:
      request: The caller's request.
      configuration: Configuration in force when the request arrived.
      deadline: Time by which the caller must be answered.
      repeated: Whether another request with this key may have run.
      finished: Whether the final answer was given.
      answer: Answer with the result, sent once the outcome is written.
      key: Key of its claim.
      created_ms: Creation time of the key, in milliseconds since 1970.
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
        created_ms = keys.created_at_ms(request.key)
        assert created_ms is not None
        self.created_ms = created_ms
        self.key = keys.ClaimKey.of(request.service, request.key, created_ms)

    @property
    def fingerprint(self) -> str:
        """Digest of service and content, without the key."""
        return fingerprint_of(self.request.service, self.request.record)

    def start(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Claims the key in the store; the record is sent after that."""

        def on_claim(
            change_outcome: ChangeOutcome,
            existing: Claim | None,
            now: float,
            out: list[Action],
        ) -> None:
            self.on_claim(change_outcome, existing, tier, now, out)

        out.append(
            SetTimer(
                self.deadline, (RECORD_DEADLINE_TOKEN, self.request.request_id)
            )
        )
        self.change_claim(ClaimState.CLAIMED, on_claim, tier, now, out)

    def change_claim(
        self,
        state: ClaimState,
        on_outcome: OutcomeCallback,
        tier: Tier,
        now: float,
        out: list[Action],
        result: Any = None,
    ) -> None:
        """Submits a change to this record's claim.

        Args:
          state: New state of the claim.
          on_outcome: Called with the result of the change.
          tier: State of this instance.
          now: The time.
          out: Actions to carry out, appended to.
          result: Result to keep in the claim for resends.
        """
        deadline = self.deadline
        if state is not ClaimState.CLAIMED:
            deadline += OUTCOME_WRITE_GRACE_S
        claim = Claim(self.request.request_id, state, result)
        change = ClaimChange(self.key, claim, deadline, on_outcome)
        tier.claims.submit(change, now, out)

    def on_claim(
        self,
        change_outcome: ChangeOutcome,
        existing: Claim | None,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Sends or answers the record after the attempt to claim its key."""
        may_have_run = self.may_have_run(tier)
        if change_outcome is ChangeOutcome.APPLIED and not may_have_run:
            self.send(tier, now, out)
        elif self.finished:
            return
        elif change_outcome is ChangeOutcome.APPLIED:
            # The claim stays, so that the key never runs. A void would state
            # that it has not run.
            self.unknown("claim_lost", MANUAL_CHECK_REMEDY, out)
        elif change_outcome is ChangeOutcome.TAKEN:
            self.on_taken(existing, out)
        elif change_outcome is ChangeOutcome.FULL:
            self.refuse_unclaimed("page_full", out)
        elif now >= self.deadline:
            self.unknown("deadline", SAME_KEY_REMEDY, out)
        else:
            self.refuse_unclaimed("store_down", out)
        tier.discard_if_finished(self)

    def may_have_run(self, tier: Tier) -> bool:
        """Returns whether an earlier claim of a resent record may be lost."""
        return self.repeated and self.created_ms < tier.claims_lost_before_ms

    def on_taken(self, existing: Claim | None, out: list[Action]) -> None:
        """Answers according to the claim of an earlier request."""
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
        """Sends the record once, or voids its claim if that is not possible."""
        if self.finished or now >= self.deadline:
            self.void_claim("deadline", tier, now, out)
            return
        if tier.intake.quarantine.quarantined(self.fingerprint, now):
            self.void_claim("quarantined", tier, now, out)
            return
        serving = tier.best_version(self.request.service)
        if serving is None:
            self.void_claim("no_upstream", tier, now, out)
            return
        shard = serving.layout.shard_at(keys.key_point(self.request.key))
        view = tier.pick_replica(
            serving.replica_sets[shard.name], (), tier.rng, now
        )
        if view is None:
            self.void_claim("no_upstream", tier, now, out)
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
        """Handles the reply to the only attempt, even after the deadline."""
        task.open_attempts.clear()
        if reply.kind is ReplyKind.RESULT:
            self.write_outcome(reply.result, tier, now, out)
        elif reply.kind in NOT_RUN_KINDS:
            self.void_claim("upstream_refused", tier, now, out)
        elif not self.finished:
            self.unknown("reply_lost", SAME_KEY_REMEDY, out)

    def write_outcome(
        self, result: Any, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Writes the outcome to the claim, then answers with the result."""
        answer = self.new_answer(Outcome.COMPLETE, ExecutionStatus.YES)
        answer.coverage = 1.0
        answer.result = result
        self.answer = answer

        on_written = self.make_outcome_callback(
            tier,
            lambda out: self.respond(answer, out),
            lambda out: self.respond_not_kept(answer, out),
        )
        self.change_claim(ClaimState.RAN, on_written, tier, now, out, result)

    def void_claim(
        self, reason: str, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Voids the claim, so that its key can never run, then refuses."""
        on_void = self.make_outcome_callback(
            tier,
            lambda out: self.refuse(reason, out),
            lambda out: self.unknown("void_unconfirmed", SAME_KEY_REMEDY, out),
        )
        self.change_claim(ClaimState.VOID, on_void, tier, now, out)

    def make_outcome_callback(
        self,
        tier: Tier,
        stands: Callable[[list[Action]], None],
        otherwise: Callable[[list[Action]], None],
    ) -> OutcomeCallback:
        """Returns a callback that answers after a change to the claim.

        Args:
          tier: State of this instance.
          stands: Sends the answer if the change was applied.
          otherwise: Sends the answer if it was not, or if that is unknown.
        """

        def on_outcome(
            change_outcome: ChangeOutcome,
            _existing: Claim | None,
            _now: float,
            out: list[Action],
        ) -> None:
            if self.finished:
                return
            if change_outcome is ChangeOutcome.APPLIED:
                stands(out)
            else:
                otherwise(out)
            tier.discard_if_finished(self)

        return on_outcome

    def on_deadline(self, out: list[Action]) -> None:
        """Answers at the deadline with the result, if it is known by then."""
        if self.finished:
            return
        if self.answer is not None:
            self.respond_not_kept(self.answer, out)
        else:
            self.unknown("deadline", SAME_KEY_REMEDY, out)

    def respond_not_kept(self, answer: Answer, out: list[Action]) -> None:
        """Answers with a result that may not be stored for resends."""
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
        """Refuses a record without a claim.

        No claim shows whether another request with the key ran. Only a record
        that is not repeated is therefore answered as not run.
        """
        if self.repeated:
            self.unknown(reason, SAME_KEY_REMEDY, out)
        else:
            self.refuse(reason, out)

    def refuse(self, reason: str, out: list[Action]) -> None:
        """Answers that the record was not run."""
        answer = self.new_answer(Outcome.NOT_RUN, ExecutionStatus.NO)
        answer.reason = reason
        answer.remedy = RECORD_REMEDIES[reason]
        answer.retry_after_ms = RECORD_RETRY_AFTER_MS
        self.respond(answer, out)

    def unknown(self, reason: str, remedy: str, out: list[Action]) -> None:
        """Answers that the record may have run."""
        answer = self.new_answer(Outcome.UNKNOWN, ExecutionStatus.UNKNOWN)
        answer.reason = reason
        answer.remedy = remedy
        answer.retry_after_ms = RECORD_RETRY_AFTER_MS
        self.respond(answer, out)

    def respond(self, answer: Answer, out: list[Action]) -> None:
        """Sends the final answer."""
        self.finished = True
        out.append(Respond(answer))
