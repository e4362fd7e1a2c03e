"""Tests of requests to many shards.

Guards against late or incomplete answers caused by stragglers, lost replies and
shards without upstreams.
"""

from __future__ import annotations

import testtools

from arbutusbridge.forwarding import (
    AttemptEnd,
    DropAttempt,
    Load,
    MergedAnswer,
    PrepareConnection,
    Refusal,
    RefusedAnswer,
)
from arbutusbridge.forwarding.attempts import (
    BACKUP_CONNECTION_INTERVAL_S,
    MAX_ATTEMPTS_PER_PART,
)
from arbutusbridge.forwarding.exchange import (
    ANSWER_MARGIN_S,
    MERGE_TIME_PER_PART_S,
)
from tests.test_forwarding.fixtures import (
    TARGET_S,
    ended,
    make_forwarder,
    only,
    records,
    request,
    result,
    sends_of,
    shard_upstreams,
    sharded,
)

SHARDS = 4
MARGIN_S = ANSWER_MARGIN_S + MERGE_TIME_PER_PART_S * (SHARDS - 1)
NOW = 100.0


class ScatterTest(testtools.TestCase):
    """Request to four shards, each with two upstreams."""

    def setUp(self) -> None:
        super().setUp()
        self.forwarder = make_forwarder(
            [sharded(SHARDS)], shard_upstreams(SHARDS)
        )
        self.request = request(at=NOW)
        self.first = self.forwarder.handle_request(self.request, NOW)
        self.sends = sends_of(self.first)

    def exchange(self):
        return self.forwarder.exchanges[self.request]

    def run_next_timer(self):
        """Advances to the next timer of the request."""
        at = self.exchange().timer_at
        return at, self.forwarder.handle_timer(self.request, at)

    def test_complete_answer_has_the_greatest_records(self) -> None:
        replies = [
            result(send, number, 10 * number)
            for number, send in enumerate(self.sends)
        ]
        answer = only(self.forwarder.replies(replies, NOW + 0.03), MergedAnswer)
        self.assertEqual([30, 20, 10], records(answer.body))
        self.assertEqual(0, answer.missing)
        self.assertEqual({}, self.forwarder.exchanges)

    def test_straggler_is_hedged_and_the_first_reply_counts(self):
        replies = [result(send, 1) for send in self.sends[:3]]
        self.forwarder.replies(replies, NOW + 0.03)
        at, out = self.run_next_timer()
        (hedge,) = sends_of(out)
        slow = self.sends[3]
        self.assertEqual(slow.upstream.service, hedge.upstream.service)
        self.assertNotEqual(slow.upstream, hedge.upstream)
        out = self.forwarder.replies([result(hedge, 2)], at + 0.01)
        self.assertEqual(0, only(out, MergedAnswer).missing)
        dropped = only(out, DropAttempt)
        self.assertEqual(slow.attempt_id, dropped.attempt_id)
        # The late reply only updates the slowness of its upstream.
        self.assertEqual(
            [], self.forwarder.replies([result(slow, 9)], at + 0.3)
        )

    def test_overdue_upstream_is_avoided_by_the_next_request(self) -> None:
        at, _ = self.run_next_timer()
        at += 0.005
        sends = sends_of(self.forwarder.handle_request(request(2, at=at), at))
        first = {send.upstream.upstream for send in self.sends}
        self.assertTrue(
            first.isdisjoint(send.upstream.upstream for send in sends)
        )

    def test_upstream_that_reports_slow_work_is_avoided(self) -> None:
        forwarder = make_forwarder([sharded(SHARDS)], shard_upstreams(SHARDS))
        for one in forwarder.directory.by_name.values():
            near = one.name.endswith("north")
            one.load = Load(1, 0, 2, 4.0 if near else 1.0)
            one.load_reported_at = NOW
        slow = {n for n in forwarder.directory.by_name if "north" in n}
        sends = sends_of(forwarder.handle_request(request(9), NOW))
        asked = {one.upstream.upstream for one in sends}
        self.assertEqual(set(), asked & slow)

    def test_connection_to_the_backup_upstream_is_prepared(self) -> None:
        sent = {one.upstream.service: one.upstream for one in self.sends}
        prepared = [
            one.upstream
            for one in self.first
            if isinstance(one, PrepareConnection)
        ]
        self.assertEqual(set(sent), {one.service for one in prepared})
        for one in prepared:
            self.assertNotEqual(sent[one.service].upstream, one.upstream)

    def test_connection_is_prepared_again_after_the_interval(self) -> None:
        replies = [result(one, 1) for one in self.sends]
        self.forwarder.replies(replies, NOW + 0.01)
        for at, expected in (
            (NOW + 0.1, 0),
            (NOW + BACKUP_CONNECTION_INTERVAL_S + 1, 4),
        ):
            out = self.forwarder.handle_request(request(int(at), at=at), at)
            made = [one for one in out if isinstance(one, PrepareConnection)]
            self.assertEqual(expected, len(made))
            replies = [result(one, 1) for one in sends_of(out)]
            self.forwarder.replies(replies, at + 0.01)

    def test_no_attempt_is_sent_that_would_be_too_late(self) -> None:
        exchange = self.exchange()
        replies = [result(send, 1) for send in self.sends[:-1]]
        self.forwarder.replies(replies, NOW + 0.03)
        exchange.parts[-1].check_at = exchange.partial_answer_at - 0.005
        out = self.forwarder.handle_timer(
            exchange.request, exchange.partial_answer_at - 0.005
        )
        self.assertEqual([], sends_of(out))
        out = self.forwarder.handle_timer(
            exchange.request, exchange.partial_answer_at
        )
        self.assertEqual(1, only(out, MergedAnswer).missing)

    def test_partial_answer_is_sent_at_the_target(self) -> None:
        replies = [result(send, 1) for send in self.sends[:3]]
        self.forwarder.replies(replies, NOW + 0.03)
        at, out = NOW, []
        while not any(isinstance(action, MergedAnswer) for action in out):
            at, out = self.run_next_timer()
        self.assertEqual(1, only(out, MergedAnswer).missing)
        self.assertAlmostEqual(NOW + TARGET_S - MARGIN_S, at)

    def test_answer_to_a_remote_caller_is_sent_sooner(self) -> None:
        far = request(2, at=NOW)
        far.network_delay_s = 0.06
        sends = sends_of(self.forwarder.handle_request(far, NOW))
        self.forwarder.replies([result(send, 1) for send in sends[:3]], NOW)
        at, out = NOW, []
        while not any(isinstance(action, MergedAnswer) for action in out):
            at = self.forwarder.exchanges[far].timer_at
            out = self.forwarder.handle_timer(far, at)
        self.assertAlmostEqual(NOW + TARGET_S - 0.06 - MARGIN_S, at)

    def test_insufficient_answer_waits_beyond_the_target(self) -> None:
        replies = [result(send, 1) for send in self.sends[:2]]
        self.forwarder.replies(replies, NOW + 0.03)
        late = NOW + 2 * TARGET_S
        self.forwarder.handle_timer(self.request, late)
        out = self.forwarder.replies([result(self.sends[2], 5)], late)
        self.assertEqual(1, only(out, MergedAnswer).missing)

    def test_request_times_out_at_its_deadline(self) -> None:
        end = self.exchange().give_up_at
        out = self.forwarder.handle_timer(self.request, end)
        refused = only(out, RefusedAnswer)
        self.assertIs(Refusal.TIMED_OUT, refused.refusal)
        self.assertLess(end, NOW + 2.0)

    def test_lost_reply_is_retried_up_to_the_attempt_limit(self) -> None:
        send = self.sends[0]
        now = NOW
        for _ in range(MAX_ATTEMPTS_PER_PART - 1):
            now += 0.03
            out = self.forwarder.replies([ended(send, AttemptEnd.LOST)], now)
            while not sends_of(out):
                now, out = self.run_next_timer()
            (send,) = sends_of(out)[:1]
        part = self.exchange().parts[0]
        self.assertEqual(MAX_ATTEMPTS_PER_PART, part.sends)
        self.assertEqual(2, len(part.asked))

    def test_misdirected_upstream_gets_no_further_attempts(self) -> None:
        send = self.sends[0]
        out = self.forwarder.replies(
            [ended(send, AttemptEnd.MISDIRECTED)], NOW + 0.01
        )
        (again,) = sends_of(out)
        self.assertNotEqual(send.upstream, again.upstream)
        known = self.forwarder.directory.by_name[send.upstream.upstream]
        self.assertTrue(known.removed)

    def test_exhausted_budget_prevents_retries(self) -> None:
        for number in range(SHARDS):
            budget = self.forwarder.budget(f"s{number}", NOW)
            budget.record_extra(NOW, 1000)
        out = self.forwarder.replies(
            [ended(self.sends[0], AttemptEnd.LOST)], NOW + 0.03
        )
        self.assertEqual([], sends_of(out))
        _, out = self.run_next_timer()
        self.assertEqual([], sends_of(out))


class UnservableTest(testtools.TestCase):
    """Shards without an available upstream."""

    def test_unservable_request_is_refused_without_an_attempt(self) -> None:
        upstreams = shard_upstreams(2)
        forwarder = make_forwarder([sharded(SHARDS)], upstreams)
        out = forwarder.handle_request(request(at=NOW), NOW)
        self.assertEqual([], sends_of(out))
        refused = only(out, RefusedAnswer)
        self.assertIs(Refusal.UNSERVABLE, refused.refusal)
        self.assertIsNotNone(refused.retry_after_s)

    def test_unreachable_upstreams_make_a_request_unservable(self) -> None:
        forwarder = make_forwarder([sharded(SHARDS)], shard_upstreams(SHARDS))
        for service in ("s0", "s1"):
            for one in forwarder.directory.services[service].values():
                one.unreachable_until = NOW + 1.0
        out = forwarder.handle_request(request(at=NOW), NOW)
        self.assertEqual([], sends_of(out))
        self.assertIs(Refusal.UNSERVABLE, only(out, RefusedAnswer).refusal)
        later = NOW + 1.1
        sends = sends_of(forwarder.handle_request(request(2, at=later), later))
        self.assertEqual(SHARDS, len(sends))

    def test_request_without_budget_is_refused_at_the_target(self) -> None:
        forwarder = make_forwarder([sharded(SHARDS)], shard_upstreams(SHARDS))
        asked = request(at=NOW)
        sends = sends_of(forwarder.handle_request(asked, NOW))
        for number in range(SHARDS):
            forwarder.budget(f"s{number}", NOW).record_extra(NOW, 1000)
        replies = [result(send, 1) for send in sends[:2]]
        replies += [ended(send, AttemptEnd.LOST) for send in sends[2:]]
        at, out = NOW + 0.03, forwarder.replies(replies, NOW + 0.03)
        while not any(isinstance(action, RefusedAnswer) for action in out):
            at = forwarder.exchanges[asked].timer_at
            out = forwarder.handle_timer(asked, at)
        self.assertIs(Refusal.LOST, only(out, RefusedAnswer).refusal)
        self.assertLess(at, NOW + TARGET_S + 0.05)

    def test_missing_shard_does_not_delay_the_answer(self) -> None:
        upstreams = shard_upstreams(SHARDS - 1)
        forwarder = make_forwarder([sharded(SHARDS)], upstreams)
        sends = sends_of(forwarder.handle_request(request(at=NOW), NOW))
        replies = [result(send, 1) for send in sends]
        out = forwarder.replies(replies, NOW + 0.02)
        self.assertEqual(1, only(out, MergedAnswer).missing)


class BusyInstanceTest(testtools.TestCase):
    """Instance that is too slow to read replies in time."""

    def test_no_hedges_while_most_replies_are_overdue(self) -> None:
        shards = 20
        forwarder = make_forwarder([sharded(shards)], shard_upstreams(shards))
        asked = request(at=NOW)
        sends = sends_of(forwarder.handle_request(asked, NOW))
        at = forwarder.exchanges[asked].timer_at
        self.assertEqual([], sends_of(forwarder.handle_timer(asked, at)))
        replies = [result(send, 1) for send in sends[:17]]
        forwarder.replies(replies, at + 0.01)
        at = forwarder.exchanges[asked].timer_at
        self.assertEqual(3, len(sends_of(forwarder.handle_timer(asked, at))))

    def test_answers_are_sent_sooner_if_timers_lag(self) -> None:
        forwarder = make_forwarder([sharded(4)], shard_upstreams(4))
        for number in range(50):
            asked = request(number, at=NOW + number)
            forwarder.handle_request(asked, NOW + number)
            at = forwarder.exchanges[asked].timer_at
            forwarder.handle_timer(asked, at + 0.02)
        last = forwarder.handle_request(request(99, at=NOW + 99), NOW + 99)
        self.assertTrue(last)
        (exchange,) = [
            one
            for one in forwarder.exchanges.values()
            if one.request.request_id == "r99"
        ]
        max_time = NOW + 99 + TARGET_S - ANSWER_MARGIN_S - 0.03
        self.assertLess(exchange.partial_answer_at, max_time)
