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
from arbutusbridge.core.requests.pending_attempts import (
    PendingAttempt,
    ShardTask,
)
from arbutusbridge.core.requests.snapshots import pick_unreported

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
    from arbutusbridge.core.requests.observations import UpstreamView
    from arbutusbridge.core.requests.snapshots import (
        ServedVersion,
        VersionCatalogue,
    )
    from arbutusbridge.core.requests.tier import Tier

STRAGGLER_CHECK_TOKEN = "straggler_check"
DEADLINE_TOKEN = "deadline"

MAX_CHECK_INTERVAL_S = 0.5
"""Longest time between two looks for stragglers, in seconds."""


class Query:
    """One scatter from its first attempt to its members' final answers.

    Attributes:
      request: What is searched, as its first member asked it.
      policy: What the rules ask for it.
      configuration: The version in force when it began, kept to its end.
      deadline: When the last of its members must have its answer.
      members: The callers' requests that it answers, by request id.
      urgency: That of its most urgent member.
      fingerprint: Digest that equal searches share.
      coalescing_key: What a search must have in common to join it.
      canary_count: Shards asked before all others, 0 for all at once.
      held_back: Shards that wait until one of the first wave answered.
      catalogue: Index versions served under that configuration.
      serving: The one index version that replies must carry.
      merge: Replies merged so far.
      fallback: Replies merged before a restart, all of one version.
      open_shards: Shards neither merged nor given up.
      unassigned_shards: Open shards without an attempt on its way.
      open_weight: Weight of the open shards.
      sent: Attempts made.
      refused: Attempts that an upstream stated it did not run.
      straggler_checks: Looks for stragglers so far.
      finished: Whether the final answer was given.
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
        self.merge: MergedReplies | None = None
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
        """Whether the policy gives up coverage before latency."""
        return self.policy.prefer is Preference.LATENCY

    def start(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Fixes the version and sends the first attempt of each shard."""
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
        """Scatters once a version may cover what the policy asks for."""
        service = self.request.service
        least = self.policy.least_coverage
        serving = self.catalogue.best_sufficient(
            service, least, tier.views, now
        )
        if serving is not None:
            self.scatter(serving, tier, now, out)

    def scatter(
        self, serving: ServedVersion, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Sends one attempt for each shard of an index version."""
        layout = serving.layout
        self.serving = serving
        self.merge = MergedReplies(layout, serving.version)
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
                if not self.send(task, tier, now, out, False):
                    self.unassigned_shards += 1
        self.conclude(tier, now, out)

    def send(
        self,
        task: ShardTask,
        tier: Tier,
        now: float,
        out: list[Action],
        extra: bool,
    ) -> bool:
        """Sends one attempt; returns False when no replica may take it."""
        serving = self.serving
        assert serving is not None
        shard = task.shard
        asked = task.asked
        view = tier.pick(serving.replica_sets[shard.name], asked, tier.rng, now)
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
            view.earn_extra()
        elif not view.spend_extra():
            return False
        self.launch(task, view, tier, now, out)
        return True

    def launch(
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

    def resume(
        self,
        task: ShardTask,
        view: UpstreamView,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Sends an attempt that waited, now that a replica has room.

        A replica that is left out for a while gets it only when no other
        may take it.
        """
        assert self.serving is not None
        replica_set = self.serving.replica_sets[task.shard.name]
        task.waiting = False
        others = limits.available_replicas(
            replica_set, (*task.asked, view), now
        )
        can_send = view in replica_set and view not in task.asked
        if can_send and (view.is_available(now) or not others):
            view.earn_extra()
            self.launch(task, view, tier, now, out)
        elif others:
            limits.wait(self, task, others, tier)
            tier.freed_views.extend(others)
        else:
            self.unassigned_shards += 1
            self.conclude(tier, now, out)

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
        """Takes the reply to one of this query's open attempts."""
        if reply.kind in NOT_RUN_KINDS:
            self.refused += 1
        if self.finished or task.settled:
            return
        if self.accepts(reply, task):
            assert self.merge is not None
            self.merge.add(task.shard, reply.hits)
            self.settle(task)
            if task.open_attempts:
                tier.cancel_attempts(task, now, out)
            if self.held_back:
                canaries.release(self, tier, now, out)
            if self.open_shards == self.unassigned_shards:
                self.conclude(tier, now, out)
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
            self.conclude(tier, now, out)

    def accepts(self, reply: Reply, task: ShardTask) -> bool:
        """Tells whether a reply is a result of this version and shard."""
        assert self.serving is not None
        return (
            reply.kind is ReplyKind.RESULT
            and reply.version == self.serving.version
            and reply.shard == task.shard.name
        )

    def schedule_straggler_check(self, now: float, out: list[Action]) -> None:
        """Sets the timer of the next look, unless the deadline is sooner."""
        factor = 2 ** max(0, self.straggler_checks - 1)
        delay = min(self.check_interval * factor, MAX_CHECK_INTERVAL_S)
        self.next_check_at = now + delay
        if now + delay < self.deadline:
            token = (STRAGGLER_CHECK_TOKEN, self.request.request_id)
            out.append(SetTimer(now + delay, token))

    def on_straggler_check(
        self, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Asks again for stragglers, or answers if the rest is unlikely."""
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
        """Answers a policy for latency when the rest is unlikely soon."""
        merge = self.merge
        assert merge is not None
        if (
            self.prefers_latency
            and merge.coverage >= self.policy.least_coverage
        ):
            open_tasks = self.open_tasks()
            if not self.hedging_state.reply_is_likely(
                open_tasks, self.check_interval, now
            ):
                self.answer(tier, now, out)
                return
        self.conclude(tier, now, out)

    def on_deadline(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Gives the answer with what is merged by now."""
        if self.merge is None:
            self.refuse(out)
        else:
            self.answer(tier, now, out)

    def conclude(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Gives the answer once nothing is left that is worth a wait."""
        merge = self.merge
        assert merge is not None
        if self.finished:
            return
        if self.open_shards == 0:
            self.answer(tier, now, out)
        elif self.prefers_latency:
            total = merge.layout.total_weight
            least = self.policy.least_coverage
            reachable = merge.weight + self.open_weight
            is_sufficient = merge.coverage >= least
            if reachable / total < least or (
                is_sufficient and self.open_shards == self.unassigned_shards
            ):
                self.answer(tier, now, out)

    def answer(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Gives each member its final answer."""
        self.finish(self.answer_for, tier, now, out)

    def answer_for(self, member: ScatterMember) -> Answer:
        """Builds a member's answer, labelled with the coverage achieved."""
        merge = self.merge
        request_id = member.request.request_id
        if merge is None:
            return answers.unserved_answer(request_id, self.configuration)
        if self.fallback and self.fallback.coverage > merge.coverage:
            merge = self.fallback
        return answers.merged_answer(
            request_id,
            member.policy,
            self.configuration,
            merge,
            self.refused == self.sent,
        )

    def quarantine(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Gives up a request that keeps losing the upstreams that run it."""

        def answer_for(member: ScatterMember) -> Answer:
            return answers.quarantine_answer(
                member.request.request_id, self.configuration
            )

        self.finish(answer_for, tier, now, out)

    def refuse(self, out: list[Action]) -> None:
        """Gives the answers that nothing was sent anywhere."""
        self.finished = True
        out.append(self.decision("unserved"))
        for request_id in self.members:
            answer = answers.unserved_answer(request_id, self.configuration)
            out.append(Respond(answer))

    def finish(
        self,
        answer_for: Callable[[ScatterMember], Answer],
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Cancels what is still open and hands over the final answers."""
        self.finished = True
        self.cancel_open(tier, now, out)
        for member in self.members.values():
            self.respond(answer_for(member), out)

    def respond(self, answer: Answer, out: list[Action]) -> None:
        """Hands over one member's final answer."""
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
        """Cancels every attempt still on its way."""
        if self.open_shards == self.unassigned_shards:
            return
        for task in self.tasks:
            task.waiting = False
            if task.open_attempts:
                tier.cancel_attempts(task, now, out)

    def decision(self, what: str, **detail: object) -> Decision:
        """Builds a log line of this query."""
        version = self.serving.version if self.serving else None
        named = {"service": self.request.service, "version": version}
        return Decision(self.request.request_id, what, {**named, **detail})
