"""Tests of the quarantine of requests that crash upstreams."""

from __future__ import annotations

import testtools

from arbutusbridge.core.keys import make_key
from arbutusbridge.core.messages import (
    BroadcastNotice,
    ExecutionStatus,
    Notice,
    NoticeKind,
    Outcome,
    RecordRequest,
    Reply,
    ReplyKind,
)
from arbutusbridge.core.requests.quarantine import (
    AMBIGUOUS_QUARANTINE_DURATION_S,
    MAX_ENTRIES,
    QUARANTINE_DURATION_S,
    ChargeResult,
    Quarantine,
    canary_for_unfamiliar,
)
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
from tests.test_replay.test_world import make_world


def lose(quarantine: Quarantine, upstream: str, now: float) -> ChargeResult:
    """Charges the loss of an upstream to request ``f``."""
    quarantine.record_loss(upstream, "f", now)
    return quarantine.charge("f", upstream, upstream, False, now)


class EvidenceTest(testtools.TestCase):
    """Evidence against a request from lost connections."""

    def test_second_loss_alone_quarantines_for_a_time(self) -> None:
        quarantine = Quarantine()
        self.assertEqual(ChargeResult.SUSPECT, lose(quarantine, "u1", 0.0))
        self.assertEqual(ChargeResult.QUARANTINE, lose(quarantine, "u2", 1.0))
        self.assertTrue(quarantine.quarantined("f", QUARANTINE_DURATION_S))
        self.assertFalse(quarantine.quarantined("f", QUARANTINE_DURATION_S + 2))

    def test_bystander_of_a_crash_is_not_quarantined(self) -> None:
        quarantine = Quarantine()
        for upstream in ("u1", "u2"):
            quarantine.record_loss(upstream, "culprit", 0.0)
            self.assertNotEqual(
                ChargeResult.QUARANTINE, lose(quarantine, upstream, 0.0)
            )
        quarantine.record_loss("u3", "culprit", 0.1)
        result = ChargeResult.NOTHING
        for upstream in ("u1", "u2", "u3"):
            result = quarantine.charge("culprit", upstream, "s", False, 0.1)
        self.assertEqual(ChargeResult.QUARANTINE, result)
        self.assertFalse(quarantine.quarantined("f", 0.1))

    def test_outage_is_not_charged(self) -> None:
        quarantine = Quarantine()
        for number in range(40):
            quarantine.record_loss(f"v{number}", f"other{number}", 0.0)
        for number in range(3):
            self.assertEqual(
                ChargeResult.NOTHING, lose(quarantine, f"u{number}", 0.0)
            )
        # After enough losses without any result a request is quarantined even
        # in an outage, but only for a short time.
        self.assertEqual(ChargeResult.QUARANTINE, lose(quarantine, "u9", 0.1))
        self.assertFalse(
            quarantine.quarantined("f", AMBIGUOUS_QUARANTINE_DURATION_S + 1)
        )

    def test_close_of_idle_connections_indicates_an_outage(self) -> None:
        quarantine = Quarantine()
        for number in range(10):
            quarantine.record_idle_close(f"v{number}", 0.0)
        for number in range(5):
            result = lose(quarantine, f"u{number}", 0.01)
            self.assertEqual(ChargeResult.NOTHING, result)
        self.assertFalse(quarantine.quarantined("f", 0.01))

    def test_idle_close_at_lost_upstreams_excuses_no_request(self) -> None:
        quarantine = Quarantine()
        results = []
        for number, at in enumerate((0.0, 0.1)):
            quarantine.record_idle_close(f"u{number}", at)
            results.append(lose(quarantine, f"u{number}", at))
        self.assertEqual(
            [ChargeResult.SUSPECT, ChargeResult.QUARANTINE], results
        )

    def test_same_shard_twice_counts_in_spite_of_results(self) -> None:
        quarantine = Quarantine()
        for upstream in ("u1", "u2"):
            quarantine.record_loss(upstream, "f", 0.0)
        first = quarantine.charge("f", "u1", "s", True, 0.0)
        second = quarantine.charge("f", "u2", "s", True, 0.0)
        self.assertEqual(ChargeResult.NOTHING, first)
        self.assertEqual(ChargeResult.QUARANTINE, second)

    def test_memory_is_bounded(self) -> None:
        quarantine = Quarantine()
        for number in range(MAX_ENTRIES + 10):
            quarantine.on_peer_quarantine(f"f{number}", 0.0, 0.0)
        self.assertEqual(MAX_ENTRIES, len(quarantine.entries))


class CanaryTest(testtools.TestCase):
    """Canaries of searches that crash upstreams."""

    def make_tier(self):
        return make_tier(
            make_configuration(make_layout(8, 3)), canary=canary_for_unfamiliar
        )

    def lost(self, attempt):
        return Reply(attempt.attempt_id, attempt.upstream, ReplyKind.LOST)

    def test_first_crashing_search_costs_two_upstreams_and_no_retry(
        self,
    ) -> None:
        tier = self.make_tier()
        sent = attempts_of(tier.search(make_search("a"), 0.0))
        self.assertEqual(2, len(sent))
        self.assertEqual(
            [], attempts_of(tier.replies([self.lost(sent[0])], 0.01))
        )
        out = tier.replies([self.lost(sent[1])], 0.01)
        (answer,) = answers_of(out)
        self.assertEqual(Outcome.QUARANTINED, answer.outcome)
        self.assertEqual(ExecutionStatus.UNKNOWN, answer.ran)
        (broadcast,) = [a for a in out if isinstance(a, BroadcastNotice)]
        self.assertEqual(NoticeKind.QUARANTINE, broadcast.notice.kind)
        out = tier.search(make_search("b"), 0.02)
        self.assertEqual([], attempts_of(out))
        (answer,) = answers_of(out)
        self.assertEqual(Outcome.QUARANTINED, answer.outcome)
        self.assertEqual(ExecutionStatus.NO, answer.ran)

    def test_canary_result_releases_the_other_shards(self) -> None:
        tier = self.make_tier()
        sent = attempts_of(tier.search(make_search("a"), 0.0))
        rest = attempts_of(tier.replies([result_of(sent[0])], 0.01))
        self.assertEqual(6, len(rest))
        replies = [result_of(attempt) for attempt in [sent[1], *rest]]
        (answer,) = answers_of(tier.replies(replies, 0.02))
        self.assertEqual(1.0, answer.coverage)
        again = attempts_of(tier.search(make_search("b"), 0.03))
        self.assertEqual(8, len(again))

    def test_slow_canaries_are_followed_by_others(self) -> None:
        tier = self.make_tier()
        tier.search(make_search("a"), 0.0)
        query = tier.queries["a"]
        out = tier.on_timer(("straggler_check", "a"), query.next_check_at)
        self.assertTrue(attempts_of(out))

    def test_peer_quarantine_ends_running_searches(self) -> None:
        tier = self.make_tier()
        tier.search(make_search("a"), 0.0)
        digest = tier.queries["a"].fingerprint
        notice = Notice(NoticeKind.QUARANTINE, digest)
        (answer,) = answers_of(tier.on_notice(notice, 0.01))
        self.assertEqual(Outcome.QUARANTINED, answer.outcome)
        self.assertEqual({}, tier.pending_attempts)
        self.assertEqual(0, tier.intake.admission.in_flight)

    def test_peer_suspect_gets_one_canary(self) -> None:
        tier = self.make_tier()
        digest = self.fingerprint(tier)
        tier.on_notice(Notice(NoticeKind.SUSPECT, digest), 0.0)
        (canary,) = attempts_of(tier.search(make_search("a"), 0.0))
        (answer,) = answers_of(tier.replies([self.lost(canary)], 0.01))
        self.assertEqual(Outcome.QUARANTINED, answer.outcome)

    def fingerprint(self, tier) -> str:
        tier.search(make_search("probe"), 0.0)
        digest = tier.queries["probe"].fingerprint
        tier.abandon("probe", 0.0)
        return digest

    def test_first_stale_connection_is_excused(self) -> None:
        tier = self.make_tier()
        sent = attempts_of(tier.search(make_search("a"), 0.0))
        for attempt in sent:
            stale = Reply(attempt.attempt_id, attempt.upstream, ReplyKind.STALE)
            out = tier.replies([stale], 0.01)
        self.assertEqual([], answers_of(out))
        (last,) = attempts_of(out)
        (answer,) = answers_of(tier.replies([self.lost(last)], 0.02))
        self.assertEqual(Outcome.QUARANTINED, answer.outcome)


class RecordTest(testtools.TestCase):
    """Records that crash the upstreams that run them."""

    def test_record_is_unknown_then_refused_before_it_is_sent(self) -> None:
        world = make_world()
        for upstream in world.upstreams.values():
            upstream.poison = "bad"
        for number, name in enumerate(("a", "b", "a")):
            key = make_key(world.wall_ms, number)
            request = RecordRequest(f"r{number}", "crew", SERVICE, key, "bad")
            world.instances[name].record(request)
            world.run_until(world.now + 5.0)
        answers = [ended.answer for ended in world.finished_requests]
        expected = [Outcome.UNKNOWN, Outcome.UNKNOWN, Outcome.NOT_RUN]
        self.assertEqual(expected, [answer.outcome for answer in answers])
        self.assertEqual("quarantined", answers[2].reason)
        crashes = sum(len(u.crash_times) for u in world.upstreams.values())
        self.assertEqual(2, crashes)
