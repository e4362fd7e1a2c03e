"""Tests of searches that crash their upstreams some time into the run.

Eight instances in three data centres, other searches beside. The crash comes
later than a typical reply, so that a wait shorter than a reply shows nothing.
"""

from __future__ import annotations

import testtools

from arbutusbridge.core.requests.quarantine import FingerprintState
from arbutusbridge.forwarding import AttemptEnd, CheckUpstream, RefusedAnswer
from arbutusbridge.forwarding.gather import GatherRequest
from tests.test_forwarding.fixtures import (
    HOST,
    TIMEOUT_S,
    ended,
    make_forwarder,
    only,
    plain,
    request,
    sends_of,
    sharded,
    upstream,
)
from tests.test_forwarding.fleet import CRASHING, Fleet
from tests.test_forwarding.test_crashing_requests import (
    CONTACT_S,
    MAX_FIRST_CRASHES,
    MAX_LATE_SENDS,
    ROUTES,
    SEARCH,
    make_upstreams,
)

PLACES = {"north": 3, "central": 3, "south": 2}
OTHERS_INTERVAL_S = 0.022
BUSY_INTERVAL_S = 0.005
BUSY_WORK_RANGE_S = (0.02, 0.05)
CALLER_POLL_S = 0.005
RESENT_FOR_S = 25.0
BUSY_RESENT_FOR_S = 7.0


def make_fleet(crash_after_s: float, seed: int, busy: bool = False) -> Fleet:
    """Returns instances that have served other searches for two seconds.

    Busy upstreams are few and run many of them at any moment.
    """
    routes = [sharded(2), *ROUTES[1:]] if busy else ROUTES
    fleet = Fleet(routes, make_upstreams(), PLACES, seed)
    fleet.crash_after_s = crash_after_s
    if busy:
        fleet.work_range_s = BUSY_WORK_RANGE_S
    fleet.send_series(
        lambda number: f"{SEARCH}other-{number}",
        BUSY_INTERVAL_S if busy else OTHERS_INTERVAL_S,
        fleet.now + 2.0 + RESENT_FOR_S,
    )
    fleet.run_until(fleet.now + 2.0)
    return fleet


def send_with_one_retry(fleet: Fleet, target: str) -> None:
    """Sends a request, and once more as soon as it fails, as callers do."""

    def send(retries: int) -> None:
        name = fleet.rng.choice(list(fleet.instances))
        poll(fleet.send(name, target), retries)

    def poll(request_id: str, retries: int) -> None:
        answered = fleet.answers.get(request_id)
        if answered is None:
            fleet.after(CALLER_POLL_S, lambda: poll(request_id, retries))
        elif isinstance(answered[1], RefusedAnswer) and retries:
            send(retries - 1)

    send(1)


class LateCrashTest(testtools.TestCase):
    """A search that crashes its upstreams 30 or 60 ms into the run."""

    def check_resent(
        self, fleet: Fleet, resent_for_s: float = RESENT_FOR_S
    ) -> None:
        target = f"{SEARCH}{CRASHING}"
        until = fleet.now + resent_for_s

        def send_again() -> None:
            send_with_one_retry(fleet, target)
            if fleet.now < until:
                fleet.after(fleet.rng.expovariate(1 / 0.7), send_again)

        send_again()
        fleet.run_until(until + 2.0)
        late = fleet.late_sends(target, CONTACT_S)
        crashes = fleet.crash_count(target)
        self.assertTrue(
            late <= MAX_LATE_SENDS,
            f"{late} sends after the third crash was known; {crashes} crashes",
        )

    # Guards against a search that ends the whole service each time that it is
    # back, as the evidence of its crashes is dropped.
    def test_search_is_not_sent_again_after_a_whole_service_ended(self):
        for crash_after_s in (0.03, 0.06):
            for seed in (1, 2, 3):
                self.check_resent(make_fleet(crash_after_s, seed))

    # Guards against a scatter whose other shards are sent before the canary
    # has shown anything, so that one search ends a whole service.
    def test_first_sighting_of_a_late_crash_crashes_few_upstreams(self):
        for crash_after_s in (0.005, 0.03, 0.06):
            for seed in (1, 2, 3):
                fleet = make_fleet(crash_after_s, seed)
                fleet.send("north-0", f"{SEARCH}{CRASHING}")
                fleet.run_until(fleet.now + CONTACT_S)
                crashes = len(fleet.crashes)
                self.assertTrue(
                    crashes <= MAX_FIRST_CRASHES,
                    f"{crashes} crashes, {crash_after_s} s, seed {seed}",
                )

    # Guards against upstreams that fall silent under a search, which nobody
    # charges, as no connection is closed or refused.
    def test_search_that_silences_its_upstreams_is_not_sent_again(self):
        for seed in (1, 2, 3):
            fleet = make_fleet(0.0, seed)
            fleet.crashes_are_silent = True
            self.check_resent(fleet)

    # Guards against searches that are refused because they were lost at the
    # same upstreams as the one that crashes them, at other instances, and
    # against a crashing one that is not named because of them.
    def test_search_is_told_from_those_that_it_takes_along(self) -> None:
        for crash_after_s in (0.0, 0.03):
            for seed in (1, 2, 3):
                fleet = make_fleet(crash_after_s, seed, busy=True)
                self.check_resent(fleet, BUSY_RESENT_FOR_S)
                found = fleet.outcomes(f"{SEARCH}other")
                refused = found["quarantined"] + found["crashed"]
                self.assertEqual(0, refused, f"{found}, seed {seed}")

    # Guards against a reply to a peer that covers no shard and is taken for a
    # result, which ends the suspicion and makes the search familiar.
    def test_empty_reply_to_a_peer_keeps_the_suspicion(self) -> None:
        fleet = Fleet(ROUTES, make_upstreams(), PLACES)
        fleet.crash_after_s = 0.03
        forwarder = fleet.instances["central-0"]
        message = GatherRequest(
            gather_id=1,
            reply_to=fleet.address_of("north-0"),
            request_id="r1",
            method="GET",
            target=f"{SEARCH}{CRASHING}",
            host=HOST,
            headers=[],
            body=b"",
            services=["s0", "s1", "s2"],
            answer_in_s=0.15,
            give_up_in_s=1.9,
        )
        actions = forwarder.handle_peer_message(message, fleet.now)
        (request,) = forwarder.exchanges
        fleet.carry_out("central-0", actions)
        fleet.run_until(fleet.now + 1.0)
        quarantine = forwarder.quarantine
        self.assertTrue(fleet.crashes)
        self.assertIsNotNone(
            quarantine.state_of(request.fingerprint, fleet.now)
        )
        self.assertFalse(
            quarantine.fingerprints.is_recent(request.fingerprint, fleet.now)
        )


class AnsweredRequestTest(testtools.TestCase):
    """A crash after the final answer of the request that caused it."""

    # Guards against the crash of an attempt that is no longer awaited, which
    # was charged to nobody.
    def test_crash_after_the_final_answer_is_charged(self) -> None:
        forwarder = make_forwarder([plain()], [upstream("u1", "records")])
        late_request = request(target="/fetch/x")
        sent_at = late_request.arrived
        (send,) = sends_of(forwarder.handle_request(late_request, sent_at))
        out = forwarder.handle_timer(late_request, sent_at + TIMEOUT_S)
        only(out, RefusedAnswer)
        end = ended(send, AttemptEnd.LOST, connection_closed=True)
        lost_at = sent_at + TIMEOUT_S + 0.1
        check = only(forwarder.replies([end], lost_at), CheckUpstream)
        forwarder.handle_check(check.upstream, False, lost_at + 0.01)
        state = forwarder.suspicion(late_request, lost_at + 0.01)
        self.assertIs(FingerprintState.SUSPECT, state)
