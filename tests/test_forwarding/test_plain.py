"""Tests of requests to one service.

Guards against wrong routes and weights, and against repeating a request that
must run only once.
"""

from __future__ import annotations

from collections import Counter

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    AttemptEnd,
    DropAttempt,
    Refusal,
    RefusedAnswer,
    RelayedAnswer,
    RoutingConfiguration,
    WeightedService,
)
from arbutusbridge.forwarding.upstreams import LEAVING_GRACE_S
from tests.test_forwarding.fixtures import (
    HOST,
    ended,
    make_forwarder,
    only,
    plain,
    request,
    result,
    sends_of,
    upstream,
)

NOW = 100.0
TWO = [upstream("u1", "records"), upstream("u2", "records")]


def arrive(forwarder, number: int = 1, target: str = "/fetch/x"):
    """Starts a request and returns its first actions."""
    return forwarder.handle_request(request(number, target, NOW), NOW)


class ExpiredRequestTest(testtools.TestCase):
    """Requests whose deadline has passed when they are read."""

    # Guards against a request that is sent although nobody waits for it, as by
    # an instance that was paused.
    def test_nothing_is_sent_and_the_refusal_says_so(self) -> None:
        for route in (plain(), plain(idempotent=False)):
            forwarder = make_forwarder([route], TWO)
            late = request(target="/fetch/x", at=NOW - 6.0)
            out = forwarder.handle_request(late, NOW)
            self.assertEqual([], sends_of(out))
            answer = only(out, RefusedAnswer)
            self.assertIs(Refusal.UNSERVABLE, answer.refusal)


class RouteTest(testtools.TestCase):
    """Lookup of the route of a request."""

    def find(self, target: str, host: str = HOST):
        routes = [
            plain(name="short", prefix="/a/"),
            plain(name="long", prefix="/a/b/"),
            plain(name="root", prefix="/", host="other.example"),
        ]
        table = make_forwarder(routes, []).table
        route = table.find(host, target)
        return route.name if route else None

    def test_longest_prefix_wins(self) -> None:
        self.assertEqual("short", self.find("/a/x"))
        self.assertEqual("long", self.find("/a/b/"))
        self.assertEqual("long", self.find("/a/b/c?d=/e/"))
        self.assertEqual("root", self.find("/x?/a/", "other.example"))

    def test_path_without_matching_prefix_has_no_route(self) -> None:
        for target in ("/a", "/ab/", "/b/", "/?/a/"):
            self.assertIsNone(self.find(target))
        self.assertIsNone(self.find("/a/", "unknown.example"))

    def test_unknown_route_differs_from_missing_configuration(self):
        forwarder = make_forwarder([plain()], TWO)
        out = arrive(forwarder, target="/none/")
        self.assertIs(Refusal.NO_ROUTE, only(out, RefusedAnswer).refusal)
        forwarder.table = None
        out = arrive(forwarder, target="/none/")
        self.assertIs(Refusal.NOT_READY, only(out, RefusedAnswer).refusal)

    def test_older_configuration_is_rejected(self) -> None:
        forwarder = make_forwarder([plain()], TWO)
        self.assertFalse(forwarder.configure(RoutingConfiguration(1, ())))
        self.assertTrue(forwarder.configure(RoutingConfiguration(5, ())))
        self.assertFalse(forwarder.configure(RoutingConfiguration(4, ())))

    def test_weights_hold_over_a_few_requests(self) -> None:
        services = (WeightedService("records", 3), WeightedService("other", 1))
        forwarder = make_forwarder(
            [plain(services=services)], [*TWO, upstream("o", "other")]
        )
        taken = Counter(
            sends_of(arrive(forwarder, number))[0].upstream.service
            for number in range(40)
        )
        self.assertEqual({"records": 30, "other": 10}, taken)

    # Guards against a request for a part that is to get none.
    def test_part_of_weight_0_gets_no_requests(self) -> None:
        services = (WeightedService("other", 0), WeightedService("records", 7))
        forwarder = make_forwarder(
            [plain(services=services)], [*TWO, upstream("o", "other")]
        )
        for number in range(20):
            (send,) = sends_of(arrive(forwarder, number))
            self.assertEqual("records", send.upstream.service)

    def test_route_without_any_part_is_refused_at_once(self) -> None:
        for services in ((), (WeightedService("records", 0),)):
            forwarder = make_forwarder([plain(services=services)], TWO)
            answer = only(arrive(forwarder), RefusedAnswer)
            self.assertIs(Refusal.UNSERVABLE, answer.refusal)
            self.assertIsNotNone(answer.retry_after_s)


class FailureTest(testtools.TestCase):
    """Answers to callers when an upstream fails."""

    def end_first_attempt(self, end: AttemptEnd, idempotent: bool, **fields):
        """Ends the first attempt of a request in a given way."""
        forwarder = make_forwarder([plain(idempotent=idempotent)], TWO)
        (send,) = sends_of(arrive(forwarder))
        reply = ended(send, end, **fields)
        return forwarder, forwarder.replies([reply], NOW + 0.01)

    def test_request_that_may_have_run_once_is_not_repeated(self):
        for end in (AttemptEnd.LOST, AttemptEnd.FAILED):
            _, out = self.end_first_attempt(end, idempotent=False)
            self.assertEqual([], sends_of(out))
            self.assertIs(Refusal.LOST, only(out, RefusedAnswer).refusal)

    def test_request_that_did_not_run_is_retried(self) -> None:
        for end in (
            AttemptEnd.SHED,
            AttemptEnd.MISDIRECTED,
            AttemptEnd.NOT_SENT,
        ):
            _, out = self.end_first_attempt(end, idempotent=False)
            self.assertEqual(1, len(sends_of(out)))

    def test_refusal_admits_that_the_request_may_have_run(self) -> None:
        forwarder, out = self.end_first_attempt(
            AttemptEnd.SHED, idempotent=False
        )
        (again,) = sends_of(out)
        forwarder.budget("records", NOW).record_extra(NOW, 1000)
        out = forwarder.replies([ended(again, AttemptEnd.LOST)], NOW + 0.02)
        self.assertIs(Refusal.LOST, only(out, RefusedAnswer).refusal)

    def test_failure_response_is_relayed_unchanged(self) -> None:
        forwarder, out = self.end_first_attempt(
            AttemptEnd.FAILED, True, status=500, stamp="s1", body=b"no"
        )
        (again,) = sends_of(out)
        reply = ended(
            again, AttemptEnd.FAILED, status=500, stamp="s2", body=b"no"
        )
        forwarder.budget("records", NOW).record_extra(NOW, 1000)
        request_ = next(iter(forwarder.exchanges))
        out = forwarder.replies([reply], NOW + 0.02)
        end = NOW + 5.0
        while not any(isinstance(action, RelayedAnswer) for action in out):
            exchange = forwarder.exchanges[request_]
            self.assertLess(exchange.timer_at, end)
            out = forwarder.handle_timer(request_, exchange.timer_at)
        self.assertEqual("s2", only(out, RelayedAnswer).reply.stamp)

    def test_client_error_is_not_retried(self) -> None:
        _, out = self.end_first_attempt(
            AttemptEnd.FAILED, True, status=400, stamp="s"
        )
        self.assertEqual([], sends_of(out))
        self.assertEqual(400, only(out, RelayedAnswer).reply.status)

    def test_closed_caller_connection_cancels_idempotent_requests_only(
        self,
    ) -> None:
        for idempotent in (True, False):
            forwarder = make_forwarder([plain(idempotent=idempotent)], TWO)
            arrive(forwarder)
            (gone,) = forwarder.exchanges
            out = forwarder.abandon(gone, NOW + 0.01)
            self.assertEqual(
                idempotent, only(out, DropAttempt).close_connection
            )


class LeavingTest(testtools.TestCase):
    """Draining and restarted upstreams."""

    def test_draining_upstream_is_unused_while_another_stays(self) -> None:
        forwarder = make_forwarder([plain()], TWO)
        leaving = upstream("u1", "records", leaving=True)
        forwarder.announce(leaving, NOW)
        names = {
            sends_of(arrive(forwarder, number))[0].upstream.upstream
            for number in range(10)
        }
        self.assertEqual({"u2"}, names)

    def test_last_draining_upstream_is_used_briefly(self) -> None:
        forwarder = make_forwarder([plain()], TWO[:1])
        forwarder.announce(upstream("u1", "records", leaving=True), NOW)
        self.assertEqual(1, len(sends_of(arrive(forwarder))))
        late = NOW + LEAVING_GRACE_S + 0.01
        out = forwarder.handle_request(request(2, "/fetch/x", late), late)
        self.assertIs(Refusal.UNSERVABLE, only(out, RefusedAnswer).refusal)

    # Guards against a restarted instance that takes an upstream to have just
    # begun to leave.
    def test_upstream_that_was_leaving_before_the_start_is_not_used(self):
        forwarder = make_forwarder([plain()], [])
        forwarder.announce(upstream("u1", "records", leaving=True), NOW)
        out = arrive(forwarder)
        self.assertEqual([], sends_of(out))
        self.assertIs(Refusal.UNSERVABLE, only(out, RefusedAnswer).refusal)

    def test_restart_under_the_same_id_resets_the_upstream(self) -> None:
        forwarder = make_forwarder([plain()], TWO[:1])
        before = forwarder.directory.by_name["u1"]
        again = upstream("u1", "records", started_ms=5)
        self.assertTrue(forwarder.announce(again, NOW))
        after = forwarder.directory.by_name["u1"]
        self.assertIsNot(before, after)
        self.assertTrue(before.removed)

    def test_response_is_relayed_unchanged(self) -> None:
        forwarder = make_forwarder([plain()], TWO)
        (send,) = sends_of(arrive(forwarder))
        reply = result(send, 1)
        out = forwarder.replies([reply], NOW + 0.01)
        self.assertIs(reply, only(out, RelayedAnswer).reply)


class LossRecordTest(testtools.TestCase):
    """Log lines of attempts that end without a reply."""

    # Guards against losses that cannot be connected: resends of one request
    # have different ids, and a single send is followed by no retry line.
    def test_loss_is_logged_with_the_content_of_its_request(self) -> None:
        forwarder = make_forwarder([plain(idempotent=False)], TWO)
        fingerprints = []
        for number in (1, 2):
            (sent,) = sends_of(arrive(forwarder, number))
            lost = ended(sent, AttemptEnd.LOST, detail="lost")
            (line,) = [
                one
                for one in forwarder.replies([lost], NOW + 0.1)
                if isinstance(one, Decision) and one.what == "connection_lost"
            ]
            self.assertEqual(f"r{number}", line.request_id)
            self.assertEqual(sent.upstream.upstream, line.detail["upstream"])
            fingerprints.append(line.detail["fingerprint"])
        self.assertEqual(fingerprints[0], fingerprints[1])
