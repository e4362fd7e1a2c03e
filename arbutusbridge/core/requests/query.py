"""Scatter of one search and the merge of its replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import (
    CRASH_KINDS,
    NOT_RUN_KINDS,
    Attempt,
    Decision,
    ReplyKind,
    Respond,
    SetTimer,
)
from arbutusbridge.core.model import Preference
from arbutusbridge.core.requests import (
    answers,
    canaries,
    charging,
    extras,
    limits,
)
from arbutusbridge.core.requests.coalescing import ScatterMember, coalescing_key
from arbutusbridge.core.requests.coverage import MergedReplies
from arbutusbridge.core.requests.index_versions import pick_unreported
from arbutusbridge.core.requests.pending_attempts import (
    PendingAttempt,
    ShardTask,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.messages import (
        Action,
        Answer,
        Reply,
        SearchRequest,
    )
    from arbutusbridge.core.model import Configuration, Policy
    from arbutusbridge.core.requests.hedging import HedgingState
    from arbutusbridge.core.requests.index_versions import (
        ServedVersion,
        VersionCatalogue,
    )
    from arbutusbridge.core.requests.observations import UpstreamView
    from arbutusbridge.core.requests.tier import Tier

STRAGGLER_CHECK_TOKEN = "straggler_check"
DEADLINE_TOKEN = "deadline"

MAX_CHECK_INTERVAL_S = 0.5
"""Upper bound of the time between two straggler checks."""


class Query:
    """One scatter of a search, from its start to its members' final answers.

    Attributes:
      request: The search, as sent by the first member that it started with.
      policy: Policy of its first member.
      configuration: Configuration in force at its arrival, kept until its end.
      catalogue: Index versions served under that configuration.
      deadline: Latest deadline of its members.
      members: The callers' requests that it answers, by request id.
      urgency: Urgency of its most urgent member.
      fingerprint: Digest of its service and content.
      coalescing_key: Key that a search must have to join it.
      canary_count: Shards asked before all others, 0 for all at once.
      held_back: Shards not sent before a canary has a result.
      hedging_state: Reply times and retry budget of the service.
      serving: The one index version that replies must be computed on.
      tasks: Progress of each shard.
      merged: Replies merged so far.
      fallback: Replies merged before a restart, all of one version.
      open_shards: Number of shards neither merged nor given up.
      open_weight: Weight of the open shards.
      unassigned_shards: Number of open shards that have no open attempt and
        are not queued or held back.
      sent: Number of attempts sent.
      refused: Number of attempts that surely did not run.
      straggler_checks: Number of straggler checks so far.
      check_interval: Initial interval between straggler checks, in seconds.
      next_check_at: Time of the next straggler check.
      finished: Whether no member waits for an answer any more.
    """

    def __init__(
        self,
        request: SearchRequest,
        policy: Policy,
        configuration: Configuration,
        catalogue: VersionCatalogue,
        deadline: float,
        fingerprint: str,
    ) -> None:
        self.request = request
        self.policy = policy
        self.configuration = configuration
        self.catalogue = catalogue
        self.deadline = deadline
        member = ScatterMember(request, policy, deadline)
        self.members = {request.request_id: member}
        self.urgency = int(policy.urgency)
        self.fingerprint = fingerprint
        self.coalescing_key = coalescing_key(fingerprint, configuration, policy)
        self.canary_count = 0
        self.held_back: list[ShardTask] = []
        self.hedging_state: HedgingState
        self.serving: ServedVersion | None = None
        self.tasks: list[ShardTask] = []
        self.merged: MergedReplies | None = None
        self.fallback: MergedReplies | None = None
        self.open_shards = 0
        self.open_weight = 0
        self.unassigned_shards = 0
        self.sent = 0
        self.refused = 0
        self.straggler_checks = 0
        self.check_interval = 0.0
        self.next_check_at = 0.0
        self.finished = False

    @property
    def prefers_latency(self) -> bool:
        """Whether the policy prefers latency to coverage."""
        return self.policy.prefer is Preference.LATENCY

    def start(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Chooses the index version and sends the first attempts.

        If no version suffices yet, the straggler checks try again. The query
        is refused at once if it prefers latency or no version is served.
        """
        service = self.request.service
        self.hedging_state = tier.hedging_states[service]
        self.check_interval = self.hedging_state.check_interval(self.policy)
        self.begin(tier, now, out)
        any_version_served = self.catalogue.served_versions.get(service)
        if self.serving is None and (
            self.prefers_latency or not any_version_served
        ):
            self.refuse(out)
        if not self.finished:
            self.schedule_straggler_check(now, out)

    def begin(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Scatters the search if a version may reach the minimum coverage."""
        service = self.request.service
        min_coverage = self.policy.least_coverage
        serving = self.catalogue.best_sufficient(
            service, min_coverage, tier.views, now
        )
        if serving is not None:
            self.scatter(serving, tier, now, out)

    def scatter(
        self, serving: ServedVersion, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Sends or queues one attempt for each shard of an index version.

        If canaries are used, only those are sent at first.
        """
        layout = serving.layout
        self.serving = serving
        self.merged = MergedReplies(layout, serving.version)
        self.tasks = [ShardTask(shard) for shard in layout.shards]
        self.open_shards = len(self.tasks)
        self.open_weight = layout.total_weight
        self.unassigned_shards = 0
        if not self.sent:
            earned = self.policy.extra_load * self.open_shards
            self.hedging_state.budget.earn(earned)
        out.append(self.decision("scatter", shards=len(self.tasks)))
        if self.canary_count:
            canaries.hold_back(self, tier, now, out)
        else:
            for task in self.tasks:
                if not self.send_or_queue(task, tier, now, out, False):
                    self.unassigned_shards += 1
        self.answer_if_done(tier, now, out)

    def send_or_queue(
        self,
        task: ShardTask,
        tier: Tier,
        now: float,
        out: list[Action],
        extra: bool,
    ) -> bool:
        """Sends one attempt for a shard, or queues it in backlogs.

        Args:
          task: The shard.
          tier: State of this instance.
          now: The time.
          out: Actions to carry out, appended to.
          extra: Whether it is a retry or hedge, which is never queued.

        Returns:
          False if no replica may take the attempt.
        """
        serving = self.serving
        assert serving is not None
        shard = task.shard
        asked = task.asked
        view = tier.pick_replica(
            serving.replica_sets[shard.name], asked, tier.rng, now
        )
        if view is None:
            view = pick_unreported(serving, task, tier.views, tier.rng, now)
        if view is None or (task.open_attempts and not view.is_available(now)):
            return False
        if view.in_flight >= view.limit:
            replica_set = serving.replica_sets[shard.name]
            other = limits.replica_with_capacity(replica_set, asked, now)
            if other is None:
                if extra:
                    return False
                limits.wait(
                    self, task, limits.unasked(replica_set, asked), tier
                )
                return True
            view = other
        if not extra:
            view.earn_extra_tokens()
        elif not view.spend_extra_token():
            return False
        self.send_attempt(task, view, tier, now, out)
        return True

    def send_attempt(
        self,
        task: ShardTask,
        view: UpstreamView,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Sends one attempt to a replica."""
        serving = self.serving
        assert serving is not None
        attempt_id = tier.last_attempt_id = tier.last_attempt_id + 1
        pending_attempt = PendingAttempt(attempt_id, self, task, view, now)
        tier.pending_attempts[attempt_id] = pending_attempt
        view.in_flight += 1
        task.open_attempts.append(pending_attempt)
        task.asked.append(view)
        self.sent += 1
        request = self.request
        out.append(
            Attempt(
                attempt_id,
                request.request_id,
                view.name,
                request.service,
                task.shard.name,
                serving.version,
                self.deadline,
                request.query,
            )
        )

    def send_queued_shard(
        self,
        task: ShardTask,
        view: UpstreamView,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Sends a queued shard to a replica that is below its limit again.

        A replica that is ejected or backing off gets it only if no other is
        available. Otherwise the shard is queued at the others.
        """
        assert self.serving is not None
        replica_set = self.serving.replica_sets[task.shard.name]
        task.waiting = False
        others = limits.available_replicas(
            replica_set, (*task.asked, view), now
        )
        can_send = view in replica_set and view not in task.asked
        if can_send and (view.is_available(now) or not others):
            view.earn_extra_tokens()
            self.send_attempt(task, view, tier, now, out)
        elif others:
            limits.wait(self, task, others, tier)
            tier.freed_views.extend(others)
        else:
            self.unassigned_shards += 1
            self.answer_if_done(tier, now, out)

    def settle(self, task: ShardTask) -> None:
        """Marks a shard as merged or given up."""
        task.settled = True
        self.open_shards -= 1
        self.open_weight -= task.shard.weight

    def on_reply(
        self,
        reply: Reply,
        task: ShardTask,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Handles the reply to one of this query's open attempts."""
        if reply.kind in NOT_RUN_KINDS:
            self.refused += 1
        if self.finished or task.settled:
            return
        if self.accepts(reply, task):
            assert self.merged is not None
            self.merged.add(task.shard, reply.hits)
            self.settle(task)
            if task.open_attempts:
                tier.cancel_attempts(task, now, out)
            if self.held_back:
                canaries.send_held_back(self, tier, now, out)
            if self.open_shards == self.unassigned_shards:
                self.answer_if_done(tier, now, out)
            return
        if reply.kind in CRASH_KINDS and charging.charge_search(
            self, task, reply, tier, now, out
        ):
            self.quarantine(tier, now, out)
            return
        if not task.open_attempts:
            self.unassigned_shards += 1
            if self.held_back:
                canaries.on_failure(self, task, tier, now, out)
            else:
                extras.retry_or_restart(self, task, tier, now, out)
        if self.open_shards == self.unassigned_shards or self.prefers_latency:
            self.answer_if_done(tier, now, out)

    def accepts(self, reply: Reply, task: ShardTask) -> bool:
        """Returns whether a reply is a result for this version and shard."""
        assert self.serving is not None
        return (
            reply.kind is ReplyKind.RESULT
            and reply.version == self.serving.version
            and reply.shard == task.shard.name
        )

    def schedule_straggler_check(self, now: float, out: list[Action]) -> None:
        """Sets the timer of the next straggler check, if before the deadline.

        The interval doubles with each check after the first, up to a bound.
        """
        factor = 2 ** max(0, self.straggler_checks - 1)
        delay = min(self.check_interval * factor, MAX_CHECK_INTERVAL_S)
        self.next_check_at = now + delay
        if now + delay < self.deadline:
            token = (STRAGGLER_CHECK_TOKEN, self.request.request_id)
            out.append(SetTimer(now + delay, token))

    def on_straggler_check(
        self, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Retries and hedges shards, or answers if no reply is likely soon."""
        if now < self.next_check_at:
            return
        self.straggler_checks += 1
        if self.serving is None:
            self.begin(tier, now, out)
        else:
            self.serving = self.catalogue.current(self.serving)
            extras.retry_unassigned(self, tier, now, out)
            if self.finished:
                return
            if self.held_back:
                canaries.on_straggler_check(self, tier, now, out)
            else:
                extras.hedge(self, tier, now, out)
            self.answer_if_sufficient(tier, now, out)
        if not self.finished:
            self.schedule_straggler_check(now, out)

    def open_tasks(self) -> list[ShardTask]:
        """Returns the shards neither merged nor given up."""
        return [task for task in self.tasks if not task.settled]

    def answer_if_sufficient(
        self, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Answers early if the policy prefers latency and coverage suffices.

        It waits on while a further reply is likely within a check interval.
        """
        merged = self.merged
        assert merged is not None
        if (
            self.prefers_latency
            and merged.coverage >= self.policy.least_coverage
        ):
            open_tasks = self.open_tasks()
            if not self.hedging_state.is_reply_likely(
                open_tasks, self.check_interval, now
            ):
                self.answer(tier, now, out)
                return
        self.answer_if_done(tier, now, out)

    def on_deadline(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Answers with the replies merged so far."""
        if self.merged is None:
            self.refuse(out)
        else:
            self.answer(tier, now, out)

    def answer_if_done(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Answers if no shard is open, or waiting on is of no use.

        The latter applies to a policy that prefers latency, if its minimum
        coverage is out of reach, or is reached and no open shard has an
        attempt.
        """
        merged = self.merged
        assert merged is not None
        if self.finished:
            return
        if self.open_shards == 0:
            self.answer(tier, now, out)
        elif self.prefers_latency:
            total = merged.layout.total_weight
            min_coverage = self.policy.least_coverage
            reachable = merged.weight + self.open_weight
            is_sufficient = merged.coverage >= min_coverage
            if reachable / total < min_coverage or (
                is_sufficient and self.open_shards == self.unassigned_shards
            ):
                self.answer(tier, now, out)

    def answer(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Sends each member its final answer."""
        self.finish(self.build_answer, tier, now, out)

    def build_answer(self, member: ScatterMember) -> Answer:
        """Builds a member's answer from the replies merged so far."""
        merged = self.merged
        request_id = member.request.request_id
        if merged is None:
            return answers.build_unserved_answer(request_id, self.configuration)
        if self.fallback and self.fallback.coverage > merged.coverage:
            merged = self.fallback
        return answers.build_merged_answer(
            request_id,
            member.policy,
            self.configuration,
            merged,
            self.refused == self.sent,
        )

    def quarantine(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Sends all members the answer that the request is quarantined."""

        def build_answer(member: ScatterMember) -> Answer:
            return answers.build_quarantine_answer(
                member.request.request_id, self.configuration
            )

        self.finish(build_answer, tier, now, out)

    def refuse(self, out: list[Action]) -> None:
        """Sends all members the answer that no index version was usable."""
        self.finished = True
        out.append(self.decision("unserved"))
        for request_id in self.members:
            answer = answers.build_unserved_answer(
                request_id, self.configuration
            )
            out.append(Respond(answer))

    def finish(
        self,
        build_answer: Callable[[ScatterMember], Answer],
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Cancels the open attempts and sends the final answers.

        Args:
          build_answer: Builds the answer of a member.
          tier: State of this instance.
          now: The time.
          out: Actions to carry out, appended to.
        """
        self.finished = True
        self.cancel_open(tier, now, out)
        for member in self.members.values():
            self.respond(build_answer(member), out)

    def respond(self, answer: Answer, out: list[Action]) -> None:
        """Sends one member its final answer and logs it."""
        detail = {
            "outcome": answer.outcome.value,
            "coverage": round(answer.coverage, 4),
            "attempts": self.sent,
        }
        decision = self.decision("answer", **detail)
        decision.request_id = answer.request_id
        out.append(decision)
        out.append(Respond(answer))

    def cancel_open(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Cancels all open attempts and queued shards."""
        if self.open_shards == self.unassigned_shards:
            return
        for task in self.tasks:
            task.waiting = False
            if task.open_attempts:
                tier.cancel_attempts(task, now, out)

    def decision(self, what: str, **detail: object) -> Decision:
        """Builds the log entry of one decision about this query."""
        version = self.serving.version if self.serving else None
        named = {"service": self.request.service, "version": version}
        return Decision(self.request.request_id, what, {**named, **detail})
