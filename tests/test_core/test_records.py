"""Tests of single records under failures: executions and answers."""

from __future__ import annotations

import testtools
from testtools.matchers import LessThan

from arbutusbridge.core import keys
from arbutusbridge.core.claims.claimpage import ClaimState, decode_page
from arbutusbridge.core.messages import (
    Answer,
    ExecutionStatus,
    Outcome,
    RecordRequest,
)
from arbutusbridge.replay import UpstreamMode, World
from tests.test_core.fixtures import SERVICE, make_configuration, make_layout

HOUR_MS = 3_600_000


class RecordTest(testtools.TestCase):
    """Records over two instances, one upstream and a store."""

    def setUp(self) -> None:
        super().setUp()
        self.world = World(make_configuration(make_layout(1, 1)), 1)
        self.world.add_upstreams(lambda _name, _rng: 0.01)
        for name in ("a", "b"):
            self.world.add_instance(name, "dc")
        (self.upstream,) = self.world.upstreams.values()
        self.sends = 0
        self.key = keys.make_key(self.world.wall_ms, 1)

    def send(self, name: str, resend: bool = False, key: str = "") -> None:
        self.sends += 1
        request_id = f"r{self.sends}"
        self.world.instances[name].record(
            RecordRequest(
                request_id, "crew", SERVICE, key or self.key, {}, resend
            )
        )

    def answer_to(
        self, name: str, resend: bool = False, key: str = ""
    ) -> Answer:
        before = len(self.world.finished_requests)
        self.send(name, resend, key)
        self.world.run_until(self.world.now + 2.0)
        return self.world.finished_requests[before].answer

    def told(self, name: str, resend: bool = False, key: str = ""):
        answer = self.answer_to(name, resend, key)
        return answer.outcome, answer.ran, answer.reason

    def at(self, seconds: float, name: str, value: object) -> None:
        self.world.schedule.after(seconds, setattr, self.world, name, value)

    def test_lost_store_replies_are_settled_by_reading_back(self) -> None:
        self.world.store_loses_replies = True
        answer = self.answer_to("a")
        self.assertEqual(Outcome.COMPLETE, answer.outcome)
        self.assertEqual(1, len(self.upstream.runs))
        again = self.answer_to("b", resend=True)
        self.assertEqual(Outcome.REFUSED_DUPLICATE, again.outcome)
        self.assertEqual(answer.result, again.result)

    def test_store_down_is_not_run_for_a_first_send_alone(self) -> None:
        self.world.store_down = True
        first = (Outcome.NOT_RUN, ExecutionStatus.NO, "store_down")
        later = (Outcome.UNKNOWN, ExecutionStatus.UNKNOWN, "store_down")
        self.assertEqual(first, self.told("a"))
        self.assertEqual(later, self.told("b", resend=True))
        self.assertEqual(later, self.told("a"))
        self.assertEqual([], self.upstream.runs)

    def test_void_is_final_at_every_instance(self) -> None:
        self.upstream.mode = UpstreamMode.SHED
        refused = (Outcome.NOT_RUN, ExecutionStatus.NO, "upstream_refused")
        self.assertEqual(refused, self.told("a"))
        self.upstream.mode = UpstreamMode.SERVE
        void = (Outcome.NOT_RUN, ExecutionStatus.NO, "key_void")
        self.assertEqual(void, self.told("b", resend=True))
        self.assertEqual([], self.upstream.runs)

    def test_unconfirmed_void_is_unknown(self) -> None:
        self.upstream.mode = UpstreamMode.SHED
        self.at(0.0045, "store_down", True)
        self.assertEqual(ExecutionStatus.UNKNOWN, self.answer_to("a").ran)

    def test_result_without_stored_outcome_is_labelled(self) -> None:
        self.at(0.0045, "store_down", True)
        self.at(4.0, "store_down", False)
        answer = self.answer_to("a")
        self.assertEqual("outcome_not_kept", answer.reason)
        self.assertEqual(
            (Outcome.UNKNOWN, ExecutionStatus.YES), (answer.outcome, answer.ran)
        )
        self.world.run_until(5.0)
        again = self.answer_to("b", resend=True)
        self.assertEqual(Outcome.REFUSED_DUPLICATE, again.outcome)
        self.assertEqual(answer.result, again.result)

    def test_sender_paused_beyond_its_deadline_does_not_send(self) -> None:
        self.world.schedule.after(
            0.001, setattr, self.world.instances["a"], "paused_until", 1.5
        )
        self.assertEqual("deadline", self.answer_to("a").reason)
        self.assertEqual([], self.upstream.runs)
        self.assertEqual("key_void", self.answer_to("b", resend=True).reason)

    def test_result_after_the_deadline_is_kept_for_resends(self) -> None:
        self.upstream.service_time = lambda: 1.5
        self.assertEqual("deadline", self.answer_to("a").reason)
        again = self.answer_to("b", resend=True)
        self.assertEqual(Outcome.REFUSED_DUPLICATE, again.outcome)

    def test_simultaneous_sends_at_two_instances_run_once(self) -> None:
        self.send("a")
        self.send("b", resend=True)
        self.world.run_until(2.0)
        outcomes = {
            ended.answer.outcome for ended in self.world.finished_requests
        }
        self.assertEqual({Outcome.COMPLETE, Outcome.UNKNOWN}, outcomes)
        self.assertEqual(1, len(self.upstream.runs))

    def test_key_outside_the_window_is_never_claimed(self) -> None:
        now_ms = self.world.wall_ms
        old = keys.make_key(now_ms - keys.ACCEPTANCE_WINDOW_MS - 1, 1)
        early = keys.make_key(now_ms + HOUR_MS, 1)
        self.assertEqual(
            (Outcome.UNKNOWN, ExecutionStatus.UNKNOWN, "key_expired"),
            self.told("a", key=old),
        )
        self.assertEqual(
            (Outcome.NOT_RUN, ExecutionStatus.NO, "key_from_future"),
            self.told("a", key=early),
        )
        self.assertEqual(
            ExecutionStatus.UNKNOWN,
            self.answer_to("a", resend=True, key=early).ran,
        )
        self.assertEqual("malformed_key", self.answer_to("a", key="k").reason)
        self.assertEqual({}, self.world.store.entries)

    def restore(self, copy: dict, *names: str) -> None:
        """Brings the store back from a copy; some instances have noticed."""
        self.world.store.entries = copy
        for name in names:
            tier = self.world.instances[name].tier
            tier.on_store_restored(self.world.wall_ms)

    # Guards against a record that runs twice because the store has lost its
    # claim.
    def test_resend_after_a_lost_claim_is_unknown(self) -> None:
        copy = dict(self.world.store.entries)
        self.assertEqual(Outcome.COMPLETE, self.answer_to("a").outcome)
        self.restore(copy, "a", "b")
        lost = (Outcome.UNKNOWN, ExecutionStatus.UNKNOWN, "claim_lost")
        self.assertEqual(lost, self.told("b", resend=True))
        self.assertEqual(1, len(self.upstream.runs))
        # No later send runs either, or is told that it has not run.
        for name in ("b", "a"):
            answer = self.answer_to(name, resend=True)
            self.assertEqual(Outcome.UNKNOWN, answer.outcome)
        self.assertEqual(1, len(self.upstream.runs))

    def test_claim_that_was_kept_is_found_after_a_restore(self) -> None:
        self.assertEqual(Outcome.COMPLETE, self.answer_to("a").outcome)
        self.restore(dict(self.world.store.entries), "a", "b")
        again = self.answer_to("b", resend=True)
        self.assertEqual(Outcome.REFUSED_DUPLICATE, again.outcome)

    def test_other_records_run_after_a_restore(self) -> None:
        self.restore({}, "a", "b")
        self.assertEqual(Outcome.COMPLETE, self.answer_to("a").outcome)
        self.world.run_until(self.world.now + 301.0)
        new = keys.make_key(self.world.wall_ms, 7)
        self.assertEqual(
            Outcome.COMPLETE, self.answer_to("b", resend=True, key=new).outcome
        )

    # Guards against a page that is written over with claims known before, as
    # its index is given out again.
    def test_cached_pages_are_read_again_after_a_restore(self) -> None:
        self.assertEqual(Outcome.COMPLETE, self.answer_to("a").outcome)
        claims = self.world.instances["a"].tier.claims
        (page,) = claims.pages.values()
        self.assertTrue(page.index)
        self.restore({}, "a")
        self.assertEqual((None, 0), (page.entries, page.index))

    def test_simultaneous_claims_share_a_write(self) -> None:
        self.patch(keys, "PARTITIONS_PER_BUCKET", 1)
        self.upstream.service_time = lambda: 0.0
        for number in range(40):
            key = keys.make_key(self.world.wall_ms, number)
            self.send("a" if number % 2 else "b", key=key)
        self.world.run_until(3.0)
        (entry,) = self.world.store.entries.values()
        page = decode_page(entry.value) or {}
        states = {claim.state for claim in page.values()}
        self.assertEqual((40, {ClaimState.RAN}), (len(page), states))
        self.assertThat(self.world.store_writes, LessThan(40))
