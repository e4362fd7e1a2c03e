"""Tests of the scatter of one search and the merge of its replies."""

from __future__ import annotations

import testtools

from arbutusbridge.core.messages import (
    Notice,
    NoticeKind,
    Outcome,
    Reply,
    ReplyKind,
)
from arbutusbridge.core.model import KEY_SPACE_SIZE, Layout, Policy, Shard
from tests.test_core.fixtures import (
    SERVICE,
    answers_of,
    attempts_of,
    make_configuration,
    make_layout,
    make_search,
    make_tier,
    result_of,
)


class QueryTest(testtools.TestCase):
    """Answers of single searches."""

    def test_reordered_replies_make_a_complete_answer(self) -> None:
        tier = make_tier(make_configuration(make_layout(5, 2)))
        sent = attempts_of(tier.search(make_search(), 0.0))
        replies = [result_of(attempt) for attempt in reversed(sent)]
        (answer,) = answers_of(tier.replies(replies, 0.01))
        self.assertEqual(Outcome.COMPLETE, answer.outcome)
        self.assertEqual(1.0, answer.coverage)
        self.assertEqual(5, len(answer.hits))

    def test_reply_on_another_snapshot_is_never_merged(self) -> None:
        policy = Policy(least_coverage=0.5)
        tier = make_tier(make_configuration(make_layout(3, 1), policy=policy))
        sent = attempts_of(tier.search(make_search(), 0.0))
        replies = [result_of(sent[0], (1, 2))]
        replies += [result_of(attempt) for attempt in sent[1:]]
        self.assertEqual([], answers_of(tier.replies(replies, 0.01)))
        (answer,) = answers_of(tier.on_timer(("deadline", "q1"), 1.0))
        self.assertEqual(("s0",), answer.missing)
        self.assertEqual({"s1@1", "s2@1"}, {h["id"] for h in answer.hits})

    def test_coverage_counts_merged_weight_only(self) -> None:
        policy = Policy(least_coverage=0.1)
        configuration = make_configuration(make_layout(4, 1), policy=policy)
        tier = make_tier(configuration)
        sent = attempts_of(tier.search(make_search(), 0.0))
        tier.replies([result_of(sent[3]), result_of(sent[3])], 0.01)
        (answer,) = answers_of(tier.on_timer(("deadline", "q1"), 1.0))
        self.assertEqual(Outcome.PARTIAL, answer.outcome)
        self.assertEqual(4 / 10, answer.coverage)
        self.assertEqual(("s0", "s1", "s2"), answer.missing)

    def test_lost_replica_is_retried_elsewhere(self) -> None:
        tier = make_tier(make_configuration(make_layout(1, 2)))
        (first,) = attempts_of(tier.search(make_search(), 0.0))
        lost = Reply(first.attempt_id, first.upstream, ReplyKind.LOST)
        (second,) = attempts_of(tier.replies([lost], 0.01))
        self.assertNotEqual(first.upstream, second.upstream)
        (answer,) = answers_of(tier.replies([result_of(second)], 0.02))
        self.assertEqual(Outcome.COMPLETE, answer.outcome)

    def test_late_reply_is_dropped_and_counted(self) -> None:
        tier = make_tier(make_configuration(make_layout(1, 1)))
        (sent,) = attempts_of(tier.search(make_search(), 0.0))
        tier.on_timer(("deadline", "q1"), 1.0)
        self.assertEqual([], tier.replies([result_of(sent)], 1.1))
        self.assertEqual(1, tier.late_replies)

    def test_version_reported_twice_is_removed_once(self) -> None:
        tier = make_tier(make_configuration(make_layout(1, 2)))
        tier.report("u0-0", {SERVICE: ((1, 1), (1, 1))}, 0.0, False)
        tier.on_notice(Notice(NoticeKind.LEAVING, "u0-0"), 0.0)
        (sent,) = attempts_of(tier.search(make_search(), 0.0))
        self.assertEqual("u0-1", sent.upstream)

    def test_removed_upstream_gets_no_more_attempts(self) -> None:
        tier = make_tier(make_configuration(make_layout(1, 2)))
        (first,) = attempts_of(tier.search(make_search(), 0.0))
        (other,) = {"u0-0", "u0-1"} - {first.upstream}
        shard = Shard("s0", 0, KEY_SPACE_SIZE, 1, (first.upstream,))
        layout = Layout.of(SERVICE, 1, (shard,))
        tier.configure(make_configuration(layout, version=2))
        self.assertNotIn(other, tier.views)
        lost = Reply(first.attempt_id, first.upstream, ReplyKind.NOT_SENT)
        self.assertEqual([], attempts_of(tier.replies([lost], 0.01)))
