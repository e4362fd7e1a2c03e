"""Tests that each check reports a breach of its guarantee."""

from __future__ import annotations

import dataclasses

import testtools

from arbutusbridge.forwarding.merge import merge_greatest
from arbutusbridge.forwarding.model import (
    Account,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from arbutusbridge.soak import SoakRecord, check
from arbutusbridge.soak.record import (
    Disturbance,
    Evacuation,
    NamedLimit,
    Pause,
    SentRequest,
    UpstreamCrash,
)
from arbutusbridge.standins.observations import CallerAnswer, UpstreamRun

SHARDS = ("s0", "s1", "s2", "s3")
BODIES = {shard: bytes([n] * 16) for n, shard in enumerate(SHARDS)}
COMMON_FIELDS = {
    "host": "soak.example",
    "timeout_s": 1.5,
    "target_s": 0.3,
    "most_upstreams": 2,
}
SEARCH = Route(
    "search",
    prefix="/search/",
    idempotent=True,
    shards=SHARDS,
    max_records=3,
    least_coverage=0.75,
    **COMMON_FIELDS,
)
DESK = Route(
    "desk",
    prefix="/desk/",
    idempotent=True,
    services=(WeightedService("desk-0"),),
    **COMMON_FIELDS,
)
ONCE = Route(
    "once",
    prefix="/once/",
    idempotent=False,
    services=(WeightedService("once"),),
    **COMMON_FIELDS,
)
MOVED_DESK = dataclasses.replace(DESK, services=(WeightedService("desk-1"),))


class GuaranteeTest(testtools.TestCase):
    """Each test adds one fault to a record without a breach."""

    def setUp(self) -> None:
        super().setUp()
        self.record = SoakRecord(soak_ended_at=60.0)
        first = RoutingConfiguration(1, (SEARCH, DESK, ONCE))
        second = RoutingConfiguration(2, (SEARCH, MOVED_DESK, ONCE))
        self.record.configurations = [(0.0, first), (20.0, second)]
        for number in range(20):
            self.add_request(f"early-{number}", "desk", 7.0, "desk-0")
        self.add_request("desk-1", "desk", 10.0, "desk-0")
        self.add_request("once-1", "once", 11.0, "once")
        self.add_request("desk-2", "desk", 30.0, "desk-1")
        self.search("search-1", 12.0, SHARDS)
        self.search("search-2", 40.0, SHARDS[:3])

    def add_request(self, request_id: str, route: str, at: float, service: str):
        """Adds a plain request that one upstream served; returns its run."""
        target = f"/{route}/1"
        run = UpstreamRun(
            request_id, "i-1", service, at + 0.01, target, "sig", b"x"
        )
        answer = CallerAnswer(200, request_id, "sig", [], 0, b"x")
        self.record.asked[request_id] = SentRequest(
            request_id, "n-0", route, target, at, 1.0, answer, at + 0.1
        )
        self.record.runs.append(run)
        return run

    def search(self, request_id: str, at: float, shards) -> None:
        """Adds a search that the given shards answered."""
        for shard in shards:
            stamp = f"{shard}.{request_id}"
            self.record.runs.append(
                UpstreamRun(
                    request_id,
                    f"i-{shard}",
                    shard,
                    at,
                    "/search/1",
                    stamp,
                    BODIES[shard],
                )
            )
        stamps = [f"{shard}.{request_id}" for shard in shards]
        body = merge_greatest([BODIES[shard] for shard in shards], 3)
        missing = len(SHARDS) - len(shards)
        answer = CallerAnswer(200, request_id, "", stamps, missing, body)
        self.record.asked[request_id] = SentRequest(
            request_id, "n-0", "search", "/search/1", at, 1.0, answer, at + 0.1
        )

    def broken_guarantees(self) -> set[str]:
        """Returns the names of the guarantees that the record breaks."""
        return {breach.guarantee for breach in check(self.record)}

    def answer(self, request_id: str) -> CallerAnswer:
        """Returns the answer to a request."""
        answer = self.record.asked[request_id].answer
        assert answer is not None
        return answer

    def repeat_run(self, request_id: str, **fields) -> None:
        """Adds another run of a request, with some fields changed."""
        run = next(
            one for one in self.record.runs if one.request_id == request_id
        )
        self.record.runs.append(dataclasses.replace(run, **fields))

    def record_disturbance(self, kind: str, target: str, at: float) -> None:
        """Adds a disturbance that lasts a second."""
        done = Disturbance(kind, target, at, at + 1.0)
        self.record.disturbances.append(done)

    def test_valid_record_has_no_breach(self) -> None:
        self.assertEqual(set(), self.broken_guarantees())

    def test_second_run_of_non_idempotent_request(self) -> None:
        self.repeat_run("desk-1")
        self.assertEqual(set(), self.broken_guarantees())
        self.repeat_run("once-1")
        self.assertEqual({"runs_once"}, self.broken_guarantees())

    def test_shed_request_counts_as_not_run(self) -> None:
        self.repeat_run("once-1", shed=True)
        self.assertEqual(set(), self.broken_guarantees())

    def test_refusal_of_request_that_ran(self) -> None:
        self.answer("once-1").status = 503
        self.assertEqual({"refusal_is_true"}, self.broken_guarantees())

    # Guards against a check that misses a status which a caller cannot handle.
    def test_answer_with_an_invalid_status(self) -> None:
        for status in (0, 99, 600, 999):
            self.answer("desk-1").status = status
            self.assertEqual({"status_is_valid"}, self.broken_guarantees())
        for status in (100, 599):
            self.answer("desk-1").status = status
            self.assertEqual(set(), self.broken_guarantees())

    def test_answer_not_from_any_upstream(self) -> None:
        self.answer("desk-1").body = b"other"
        self.assertEqual({"answer_is_the_upstream_s"}, self.broken_guarantees())

    def test_answer_without_a_signature(self) -> None:
        self.answer("desk-1").stamp = ""
        self.assertEqual({"answer_is_the_upstream_s"}, self.broken_guarantees())

    def test_merged_answers_with_wrong_contents(self) -> None:
        changes = [
            {"stamps": ["s0.search-1", "s0.search-1"], "missing": 2},
            {"stamps": ["unknown"], "missing": 3},
            {"missing": 1},
            {"body": BODIES["s0"] * 3},
        ]
        whole = self.answer("search-1")
        for change in changes:
            wrong = dataclasses.replace(whole, **change)
            self.record.asked["search-1"].answer = wrong
            self.assertEqual(
                {"merged_answer_is_whole"}, self.broken_guarantees(), change
            )

    def test_merged_answer_of_too_few_shards(self) -> None:
        self.search("search-3", 41.0, SHARDS[:2])
        self.assertEqual({"merged_answer_is_whole"}, self.broken_guarantees())

    def test_run_of_another_target(self) -> None:
        self.repeat_run("desk-1", target="/desk/2")
        self.assertEqual({"nothing_unasked"}, self.broken_guarantees())

    def test_request_without_an_answer(self) -> None:
        self.record.asked["desk-1"].answer = None
        self.assertEqual({"answered_in_time"}, self.broken_guarantees())
        self.record_disturbance("kill", "n-0", 10.5)
        self.assertEqual(set(), self.broken_guarantees())

    def test_forwarded_request_unanswered_at_stop(self) -> None:
        self.record.asked["desk-1"].answer = None
        self.record_disturbance("stop", "n-0", 10.0)
        self.assertEqual({"stop_answers"}, self.broken_guarantees())

    def test_valid_request_denied(self) -> None:
        answer = self.answer("desk-1")
        answer.status, answer.stamp = 404, ""
        self.assertEqual({"not_denied"}, self.broken_guarantees())

    def name_accounts(self, revoked_at: float) -> None:
        """Adds versions with a key, and later without it."""
        first = self.record.configurations[1][1]
        named = dataclasses.replace(
            first, version=3, accounts=(Account("acme", ("k",)),)
        )
        revoked = dataclasses.replace(
            first, version=4, accounts=(Account("acme", ()),)
        )
        self.record.configurations += [(42.0, named), (revoked_at, revoked)]

    def add_account_request(self, request_id: str, at: float, key: str = "k"):
        """Adds a request of an account, at an upstream; returns its run."""
        run = self.add_request(request_id, "desk", at, "desk-1")
        run.accounts = ("acme",)
        self.record.asked[request_id].key = key
        return run

    def test_request_with_an_invalid_key_that_ran(self) -> None:
        self.name_accounts(50.0)
        self.add_account_request("a1", 47.0)
        self.add_account_request("a2", 52.0)
        self.assertEqual(set(), self.broken_guarantees())
        for at, key in ((53.5, "k"), (47.0, ""), (47.0, "other")):
            self.add_account_request("a3", at, key)
            self.assertEqual({"invalid_key_refused"}, self.broken_guarantees())
        self.record_disturbance("pause", "n-0", 45.0)
        self.assertEqual(set(), self.broken_guarantees())

    def test_upstream_got_a_key_or_another_account(self) -> None:
        self.name_accounts(55.0)
        run = self.add_account_request("a1", 47.0)
        early = self.add_account_request("a2", 43.0)
        early.has_key, early.accounts = True, ("claimed", "claimed")
        self.assertEqual(set(), self.broken_guarantees())
        for accounts, has_key in (
            (("acme",), True),
            ((), False),
            (("claimed",), False),
            (("acme", "claimed"), False),
        ):
            run.accounts, run.has_key = accounts, has_key
            self.assertEqual({"account_of_the_key"}, self.broken_guarantees())

    # Guards against a check that counts requests of other accounts or windows,
    # or none.
    def test_account_exceeds_its_quota(self) -> None:
        first = self.record.configurations[1][1]
        account = Account("acme", ("k",), rate=2.0, burst=1.0)
        named = dataclasses.replace(first, version=3, accounts=(account,))
        self.record.configurations.append((42.0, named))
        # (2 x 5 + 1) x 1.1 + 20 = 32.1
        for number in range(32):
            self.add_account_request(f"a{number}", 47.0 + number / 10)
        other = self.add_account_request("b1", 47.5)
        other.accounts = ("other",)
        self.add_account_request("a50", 52.5)
        names = {one.guarantee for one in check(self.record)}
        self.assertNotIn("quotas_hold", names)
        self.add_account_request("a51", 48.0)
        names = {one.guarantee for one in check(self.record)}
        self.assertIn("quotas_hold", names)

    def test_valid_key_denied(self) -> None:
        self.name_accounts(50.0)
        for at, key, expected in (
            (51.0, "k", set()),
            (47.0, "", set()),
            (47.0, "k", {"not_denied"}),
        ):
            self.add_account_request("a1", at, key)
            self.record.runs.pop()
            answer = self.answer("a1")
            answer.status, answer.stamp = 401, ""
            self.assertEqual(expected, self.broken_guarantees())

    def test_version_no_longer_in_force(self) -> None:
        self.add_request("desk-3", "desk", 22.0, "desk-0")
        self.assertEqual(set(), self.broken_guarantees())
        self.add_request("desk-4", "desk", 24.0, "desk-0")
        self.assertEqual({"version_in_force"}, self.broken_guarantees())
        self.record_disturbance("store", "store", 21.0)
        self.assertEqual(set(), self.broken_guarantees())

    def test_request_to_upstream_that_left(self) -> None:
        self.record.leaving["i-1"] = 28.0
        self.assertEqual(set(), self.broken_guarantees())
        self.record.leaving["i-1"] = 26.0
        self.assertEqual({"leaving_is_left"}, self.broken_guarantees())

    def test_request_to_evacuated_data_centre(self) -> None:
        self.record.places["i-1"] = "north"
        evacuation = Evacuation("north", 25.5, 60.0)
        self.record.evacuations.append(evacuation)
        self.assertEqual(set(), self.broken_guarantees())
        evacuation.since = 24.0
        self.assertEqual({"evacuated_is_left"}, self.broken_guarantees())
        evacuation.until = 29.0
        self.assertEqual(set(), self.broken_guarantees())
        evacuation.until, evacuation.data_centre = 60.0, "south"
        self.assertEqual(set(), self.broken_guarantees())
        # A restart of the instance excuses it.
        evacuation.data_centre = "north"
        self.record_disturbance("kill", "n-0", 28.0)
        self.assertEqual(set(), self.broken_guarantees())

    def test_request_to_upstream_that_said_that_it_leaves(self) -> None:
        def run(request_id: str, at: float) -> UpstreamRun:
            found = self.add_request(request_id, "once", at, "once")
            found.upstream = "i-9"
            return found

        run("once-2", 15.0).said_leaving_at = 15.2
        run("once-3", 18.0)
        self.assertEqual(set(), self.broken_guarantees())
        run("once-4", 18.5)
        self.assertIn("said_leaving_is_left", self.broken_guarantees())
        # A restart of the instance excuses it.
        self.record_disturbance("kill", "n-0", 17.0)
        self.assertEqual(set(), self.broken_guarantees())

    def test_requests_in_a_pause(self) -> None:
        self.record.pauses.append(Pause("i-1", "once-1", 11.0, 14.0))
        for number, at in enumerate((11.2, 11.4, 12.0, 13.9, 14.2)):
            self.add_request(f"once-p{number}", "once", at, "once")
        self.assertEqual(set(), self.broken_guarantees())
        self.add_request("once-p9", "once", 12.5, "once")
        self.assertIn("pauses_are_kept", self.broken_guarantees())

    def test_extra_arrivals_beyond_the_budget(self) -> None:
        # The budget is a fifth of the 20 earlier requests, plus 50.
        for number in range(54):
            self.repeat_run("desk-1", at=10.1 + number / 100)
        self.assertEqual(set(), self.broken_guarantees())
        self.repeat_run("desk-1", at=11.0)
        self.assertEqual({"extra_arrivals"}, self.broken_guarantees())

    def test_third_upstream_of_more_than_three_requests(self) -> None:
        for number in range(4):
            self.repeat_run(f"early-{number}", upstream="i-2")
            self.repeat_run(f"early-{number}", upstream="i-2")
        self.assertEqual(set(), self.broken_guarantees())
        for number in range(3):
            self.repeat_run(f"early-{number}", upstream="i-3")
        self.assertEqual(set(), self.broken_guarantees())
        self.repeat_run("early-3", upstream="i-3")
        self.assertEqual({"upstreams_bounded"}, self.broken_guarantees())

    def crash(self, number: int, at: float, request_id: str = "") -> None:
        """Adds a request that crashes an upstream, with its run."""
        name = request_id or f"crash-{number}"
        run = self.add_request(name, "desk", at, "desk-0")
        run.target = "/desk/crash-1"
        asked = self.record.asked[name]
        asked.target, asked.crashing, asked.answer = run.target, True, None
        asked.abandoned = True
        self.record.crashes.append(
            UpstreamCrash(run.at, f"i-{number}", name, run.target)
        )

    def test_crashing_request_is_sent_on(self) -> None:
        for number, at in enumerate((21.0, 21.1, 21.2, 26.0, 27.0, 28.0)):
            self.crash(number, at - 11.0)
        self.assertEqual(set(), self.broken_guarantees())
        self.crash(7, 18.5)
        self.assertEqual(
            {"crashing_request_is_stopped"}, self.broken_guarantees()
        )

    def test_one_request_crashes_many_upstreams(self) -> None:
        for number in range(9):
            self.crash(number, 10.0, "crash-1")
        self.assertEqual(set(), self.broken_guarantees())
        self.crash(9, 10.0, "crash-1")
        self.assertEqual({"request_crashes_few"}, self.broken_guarantees())

    def test_other_request_is_refused_as_crashing(self) -> None:
        self.crash(1, 10.0)
        self.record.quarantine_refusals.append("crash-1")
        self.assertEqual(set(), self.broken_guarantees())
        self.record.quarantine_refusals.append("desk-2")
        self.assertEqual(
            {"only_crashing_quarantined"}, self.broken_guarantees()
        )

    def test_limited_upstream_gets_too_many_requests(self) -> None:
        self.record.limits.append(NamedLimit("i-9", 1.0, 10.0, 30.0))

        def run(number: int) -> None:
            at = 15.0 + number / 10
            name = f"more-{number}"
            self.record.runs.append(
                UpstreamRun(name, "i-9", "once", at, "/once/1")
            )
            self.record.asked[name] = SentRequest(
                name, "n-1", "once", "/once/1", at, 1.5, abandoned=True
            )

        for number in range(11):
            run(number)
        self.assertEqual(set(), self.broken_guarantees())
        run(11)
        self.assertEqual({"limits_hold"}, self.broken_guarantees())

    def test_cut_off_instance_serves_too_little(self) -> None:
        self.record.link_cuts.append(Disturbance("links", "n-0", 9.0, 30.0))
        for number in range(60):
            name = f"desk-more-{number}"
            run = self.add_request(name, "desk", 14.0 + number / 10, "desk-1")
            run.upstream = f"i-more-{number}"
            if number % 2:
                self.record.asked[name].instance = "n-1"
            elif number < 24:
                self.answer(name).status = 503
                self.record.runs.remove(run)
        self.assertEqual({"cut_off_instances_serve"}, self.broken_guarantees())
        # Only a few fail.
        for number in range(0, 8, 2):
            del self.record.asked[f"desk-more-{number}"]
        self.assertEqual(set(), self.broken_guarantees())

    def test_no_recovery(self) -> None:
        self.record_disturbance("kill", "n-1", 22.0)
        self.answer("desk-2").status = 502
        self.assertEqual({"recovers"}, self.broken_guarantees())

    def test_unexpected_process_exit(self) -> None:
        self.record.process_failures.append("n-0 exited unexpectedly with 1")
        self.assertEqual({"processes_live"}, self.broken_guarantees())
