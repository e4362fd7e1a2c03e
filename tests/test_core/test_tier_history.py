"""Stateful tests of the core of one instance under random histories.

The histories mix replies, losses, timers and callers that disconnect.
``make fuzz`` runs many more with fresh seeds.
"""

from __future__ import annotations

import random
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    multiple,
    rule,
)

from arbutusbridge.core.messages import (
    Action,
    Answer,
    Attempt,
    Cancel,
    Notice,
    NoticeKind,
    Outcome,
    Reply,
    ReplyKind,
    Respond,
    SearchRequest,
    SetTimer,
)
from arbutusbridge.core.model import Policy, Preference
from tests.test_core.fixtures import (
    SERVICE,
    make_configuration,
    make_layout,
    make_tier,
)

SHARDS = 4
REPLICAS = 2
UPSTREAMS = [f"u{i}-{j}" for i in range(SHARDS) for j in range(REPLICAS)]
FAILURE_KINDS = [
    ReplyKind.NOT_HELD,
    ReplyKind.SHED,
    ReplyKind.EXPIRED,
    ReplyKind.NOT_SENT,
    ReplyKind.LOST,
    ReplyKind.INVALID,
]
SETTLE_TIME_S = 1000.0


class TierHistory(RuleBasedStateMachine):
    """Drives a core at random and checks the answers to its callers."""

    attempts = Bundle("attempts")

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.asked: dict[str, Any] = {}
        self.disconnected: set[str] = set()
        self.answers: dict[str, Answer] = {}
        self.timers: list[tuple[float, tuple[str, str]]] = []
        self.open: dict[int, Attempt] = {}

    @initialize(
        prefer=st.sampled_from(list(Preference)),
        least=st.sampled_from([0.2, 0.9, 1.0]),
    )
    def start(self, prefer: Preference, least: float) -> None:
        policy = Policy(deadline_ms=200.0, least_coverage=least, prefer=prefer)
        self.layouts = {
            1: make_layout(SHARDS, REPLICAS),
            2: make_layout(SHARDS - 1, REPLICAS, epoch=2),
        }
        configuration = make_configuration(
            *self.layouts.values(), policy=policy
        )
        self.tier = make_tier(configuration)
        self.tier.rng = random.Random(7)

    def carry_out(self, actions: list[Action]) -> list[Attempt]:
        sent = []
        for action in actions:
            match action:
                case Attempt():
                    self.open[action.attempt_id] = action
                    sent.append(action)
                case Cancel():
                    self.open.pop(action.attempt_id, None)
                case SetTimer():
                    self.timers.append((action.at, action.token))
                case Respond():
                    self.check_answer(action.answer)
        return sent

    def check_answer(self, answer: Answer) -> None:
        request_id = answer.request_id
        assert request_id in self.asked
        assert request_id not in self.answers, "answered twice"
        assert request_id not in self.disconnected, (
            "answered after its caller disconnected"
        )
        self.answers[request_id] = answer
        if answer.outcome in (Outcome.COMPLETE, Outcome.PARTIAL):
            self.check_merged_answer(answer)
        else:
            assert answer.hits == []

    def check_merged_answer(self, answer: Answer) -> None:
        assert answer.epoch is not None
        layout = self.layouts[answer.epoch]
        versions = {tuple(hit["version"]) for hit in answer.hits}
        assert versions == {(answer.epoch, answer.snapshot)}
        shards = [hit["id"] for hit in answer.hits]
        assert len(set(shards)) == len(shards)
        weight = sum(s.weight for s in layout.shards if s.name in shards)
        assert abs(weight / layout.total_weight - answer.coverage) < 1e-9
        query = self.asked[answer.request_id]
        assert {str(hit["query"]) for hit in answer.hits} == {str(query)}

    @rule(target=attempts, query=st.integers(0, 3))
    def search(self, query: int) -> Any:
        request_id = f"q{len(self.asked)}"
        self.asked[request_id] = query
        request = SearchRequest(request_id, "crew", SERVICE, query)
        return multiple(*self.carry_out(self.tier.search(request, self.now)))

    def result(self, attempt: Attempt) -> Reply:
        hit = {
            "id": attempt.shard,
            "score": 1.0,
            "version": attempt.version,
            "query": attempt.body,
        }
        return Reply(
            attempt.attempt_id,
            attempt.upstream,
            ReplyKind.RESULT,
            attempt.version,
            attempt.shard,
            [hit],
        )

    def reply(self, reply: Reply) -> Any:
        self.open.pop(reply.attempt_id, None)
        actions = self.tier.replies([reply], self.now)
        return multiple(*self.carry_out(actions))

    @rule(target=attempts, attempt=attempts)
    def answer_or_repeat(self, attempt: Attempt) -> Any:
        return self.reply(self.result(attempt))

    @rule(target=attempts, attempt=consumes(attempts))
    def answer_from_another_version(self, attempt: Attempt) -> Any:
        reply = self.result(attempt)
        reply.version = (attempt.version[0], attempt.version[1] + 1)
        reply.hits[0]["version"] = reply.version
        return self.reply(reply)

    @rule(target=attempts, attempt=consumes(attempts))
    def answer_for_another_shard(self, attempt: Attempt) -> Any:
        reply = self.result(attempt)
        reply.shard = reply.hits[0]["id"] = "other"
        return self.reply(reply)

    @rule(
        target=attempts,
        attempt=consumes(attempts),
        kind=st.sampled_from(FAILURE_KINDS),
    )
    def refuse(self, attempt: Attempt, kind: ReplyKind) -> Any:
        return self.reply(Reply(attempt.attempt_id, attempt.upstream, kind))

    @rule(
        name=st.sampled_from(UPSTREAMS),
        versions=st.lists(
            st.tuples(st.integers(1, 2), st.integers(1, 3)), max_size=3
        ),
    )
    def serve(self, name: str, versions: list[tuple[int, int]]) -> None:
        self.tier.report(name, {SERVICE: tuple(versions)}, 0.1, False, self.now)

    @rule(name=st.sampled_from(UPSTREAMS))
    def leave(self, name: str) -> None:
        notice = Notice(NoticeKind.LEAVING, name)
        self.carry_out(self.tier.on_notice(notice, self.now))

    @rule(target=attempts, data=st.data())
    def caller_disconnects(self, data: Any) -> Any:
        waiting = [
            request_id
            for request_id in self.asked
            if request_id not in self.answers
            and request_id not in self.disconnected
        ]
        if not waiting:
            return multiple()
        request_id = data.draw(st.sampled_from(waiting))
        self.disconnected.add(request_id)
        actions = self.tier.abandon(request_id, self.now)
        return multiple(*self.carry_out(actions))

    @rule(target=attempts, seconds=st.floats(0.001, 0.15))
    def pass_time(self, seconds: float) -> Any:
        return multiple(*self.run_until(self.now + seconds))

    def run_until(self, end: float) -> list[Attempt]:
        sent = []
        while True:
            due = [timer for timer in self.timers if timer[0] <= end]
            if not due:
                break
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            sent += self.carry_out(self.tier.on_timer(first[1], self.now))
        self.now = end
        return sent

    @invariant()
    def attempts_are_accounted_for(self) -> None:
        if not hasattr(self, "tier"):
            return
        assert set(self.tier.pending_attempts) == set(self.open)
        in_flight = sum(v.in_flight for v in self.tier.views.values())
        assert in_flight == len(self.open)

    def teardown(self) -> None:
        if not hasattr(self, "tier"):
            return
        self.run_until(self.now + SETTLE_TIME_S)
        assert set(self.answers) | self.disconnected == set(self.asked)
        assert not self.tier.pending_attempts
        assert not self.tier.queries
        assert not self.tier.intake.tickets
        assert self.tier.intake.admission.in_flight == 0
        assert self.tier.intake.admission.waiting == 0


TestTierHistory = TierHistory.TestCase
