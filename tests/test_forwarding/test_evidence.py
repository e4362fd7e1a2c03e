"""Tests of evidence against crashing requests: its spread and its limits."""

from __future__ import annotations

import math

import testtools

from arbutusbridge.core.requests.crashlosses import (
    MAX_CRASHES,
    MAX_LOST,
    CrashLosses,
)
from arbutusbridge.core.requests.quarantine import (
    MAX_ENTRIES,
    QUARANTINE_DURATION_S,
    ChargeResult,
    CrashReport,
    FingerprintState,
    Quarantine,
)
from arbutusbridge.forwarding import CallerRequest, notices
from arbutusbridge.forwarding.gather import SendGatherMessage
from arbutusbridge.forwarding.losses import MAX_LOSSES
from arbutusbridge.forwarding.model import FINGERPRINT_SAMPLE_BYTES
from arbutusbridge.forwarding.notices import MAX_NOTICE_FINGERPRINTS
from arbutusbridge.forwarding.quarantinerecord import (
    QuarantineRecord,
    decode_record,
    encode_record,
)
from tests.test_forwarding.fixtures import HOST
from tests.test_forwarding.fleet import CRASHING, Fleet
from tests.test_forwarding.test_crashing_requests import (
    CONTACT_S,
    FETCH,
    MAX_LATE_SENDS,
    ONCE,
    PLACES,
    RESEND_INTERVAL_S,
    ROUTES,
    SEARCH,
    make_fleet,
    make_upstreams,
)

INNOCENT_INTERVAL_S = 0.01
OTHER_PREFIXES = (SEARCH, FETCH, ONCE)


def send_others(fleet: Fleet, until: float) -> None:
    """Sends requests that crash nothing, each with a target of its own."""
    fleet.send_series(
        lambda n: f"{OTHER_PREFIXES[n % 3]}other-{n}",
        INNOCENT_INTERVAL_S,
        until,
    )


def count_others(fleet: Fleet) -> dict[str, int]:
    """Counts the answers to the requests that crash nothing."""
    found: dict[str, int] = {}
    for prefix in OTHER_PREFIXES:
        for outcome, count in fleet.outcomes(f"{prefix}other").items():
            found[outcome] = found.get(outcome, 0) + count
    return found


def fingerprint_at(fleet: Fleet, request_id: str) -> str:
    """Returns the fingerprint of a request that was sent."""
    return fleet.sent[request_id].fingerprint


class SpreadTest(testtools.TestCase):
    """Evidence reaches the instances that have not seen the crashes."""

    def crash_at(
        self, fleet: Fleet, *names: str, gap_s: float = RESEND_INTERVAL_S
    ) -> str:
        """Sends a crashing request at one instance after the other.

        Returns:
          Its fingerprint.
        """
        ids = []
        for name in names:
            ids.append(fleet.send(name, f"{ONCE}{CRASHING}", "POST"))
            fleet.run_until(fleet.now + gap_s)
        return fingerprint_at(fleet, ids[0])

    # Guards against instances that each see one crash of a request and never
    # learn the sum.
    def test_single_crashes_at_two_instances_add_up_everywhere(self) -> None:
        fleet = make_fleet()
        fingerprint = self.crash_at(fleet, "north-0", "south-1")
        fleet.run_until(fleet.now + CONTACT_S)
        self.assertEqual(list(fleet.instances), fleet.knowing(fingerprint))
        self.assertEqual(2, len(fleet.crashes))

    # Guards against one more crash per instance when the same request arrives
    # at several of them at once. Crashes at the same moment could also be an
    # outage, so that a third one decides.
    def test_simultaneous_crashes_are_decided_by_a_third(self) -> None:
        fleet = make_fleet()
        target = f"{ONCE}{CRASHING}"
        ids = [
            fleet.send(name, target, "POST") for name in ("north-0", "south-1")
        ]
        fleet.run_until(fleet.now + 0.5)
        fleet.send("central-0", target, "POST")
        fleet.run_until(fleet.now + CONTACT_S)
        fingerprint = fingerprint_at(fleet, ids[0])
        self.assertEqual(list(fleet.instances), fleet.knowing(fingerprint))
        self.assertEqual(3, len(fleet.crashes))

    # Guards against a quarantine that only the instances know that ran at the
    # time of the crashes.
    def test_started_instance_learns_the_quarantine_from_peers(self) -> None:
        fleet = make_fleet()
        fingerprint = self.crash_at(fleet, "north-0", "south-1")
        fleet.run_until(fleet.now + 30.0)
        fleet.start("central-0")
        fleet.run_until(fleet.now + CONTACT_S)
        self.assertIn("central-0", fleet.knowing(fingerprint))

    # Guards against a quarantine that is prolonged by each exchange of notices,
    # so that no instance accepts its record in the store any more.
    def test_exchanged_quarantine_keeps_its_length(self) -> None:
        fleet = make_fleet()
        fingerprint = self.crash_at(fleet, "north-0", "south-1")
        fleet.run_until(fleet.now + 60.0)
        for forwarder in fleet.instances.values():
            entry = forwarder.quarantine.entries[fingerprint]
            record = QuarantineRecord(0, entry.duration_s, "north-0")
            self.assertIsNotNone(decode_record(encode_record(record)))
            self.assertEqual(
                entry.quarantined_at + QUARANTINE_DURATION_S, entry.until
            )

    # Guards against a verdict that waits for the next exchange, because an
    # outage has used up the broadcasts of its evidence.
    def test_verdict_is_sent_at_once_after_much_evidence(self) -> None:
        fleet = make_fleet()
        forwarder = fleet.instances["north-0"]
        now = fleet.now
        for number in range(30):
            report = CrashReport(f"f{number}", "u9@1", 0.1, 0.0, "a", 0.1)
            forwarder.quarantine.on_crash_report(report, now)
            notices.broadcast([f"f{number}"], forwarder, now, [])
        for upstream, alive_age_s in (("u1@1", 2.0), ("u2@1", 0.5)):
            report = CrashReport(
                "crashing", upstream, 1.0, alive_age_s - 0.1, "a", alive_age_s
            )
            forwarder.quarantine.on_crash_report(report, now)
        out: list[object] = []
        forwarder.settle_verdicts(now + 0.2, out)
        sent = [one for one in out if isinstance(one, SendGatherMessage)]
        self.assertEqual(len(PLACES) * 2 - 1, len(sent))

    # Guards against evidence that is told once and lost with the message.
    def test_lost_broadcasts_are_made_up_for(self) -> None:
        fleet = make_fleet()
        end = fleet.now + 2.0
        fleet.is_cut = lambda _name, _peer: fleet.now < end
        # Neither instance knows of the other's crash, so that both could be of
        # one outage; a third one decides.
        fingerprint = self.crash_at(fleet, "north-0", "south-1")
        fleet.run_until(end + CONTACT_S)
        self.crash_at(fleet, "central-0")
        fleet.run_until(fleet.now + CONTACT_S)
        self.assertEqual(3, len(fleet.crashes))
        self.assertEqual(list(fleet.instances), fleet.knowing(fingerprint))

    # Guards against one more crash per resend while data centres are cut off
    # from each other: each side has to stop by itself.
    def test_separated_data_centres_stop_by_themselves(self) -> None:
        fleet = make_fleet()
        places = fleet.places
        fleet.is_cut = lambda name, peer: places[name] != places[peer]
        target = f"{ONCE}{CRASHING}"
        until = fleet.now + 20.0
        fleet.send_series(lambda _n: target, 0.1, until)
        fleet.run_until(until)
        self.assertTrue(fleet.late_sends(target, CONTACT_S) <= MAX_LATE_SENDS)
        self.assertTrue(fleet.crash_count(target) <= 2 * len(PLACES))

    # Guards against a spread that takes a time that grows with the fleet.
    def test_evidence_reaches_81_instances_in_time(self) -> None:
        places = {"north": 27, "central": 27, "south": 27}
        fleet = Fleet(ROUTES, make_upstreams(), places)
        fingerprint = self.crash_at(fleet, "north-0", "south-9")
        fleet.run_until(fleet.now + CONTACT_S)
        self.assertEqual(81, len(fleet.knowing(fingerprint)))

    # Guards against a limit on broadcasts that keeps several crashing requests
    # at the same time from being known.
    def test_many_crashing_requests_are_all_quarantined(self) -> None:
        fleet = make_fleet()
        targets = [f"{FETCH}{CRASHING}-{number}" for number in range(12)]
        until = fleet.now + 40.0
        for target in targets:
            fleet.send_series(lambda _n, one=target: one, 0.5, until)
        fleet.run_until(until)
        for target in targets:
            late = fleet.late_sends(target, CONTACT_S)
            self.assertTrue(late <= MAX_LATE_SENDS, f"{target}: {late}")


class InnocentTest(testtools.TestCase):
    """Requests that crash nothing are not refused for the crashes of others."""

    def check_none_refused(self, fleet: Fleet) -> dict[str, int]:
        found = count_others(fleet)
        refused = found.get("quarantined", 0) + found.get("suspect", 0)
        self.assertEqual(0, refused + found.get("crashed", 0), found)
        return found

    # Guards against an outage of upstreams that is charged to the requests
    # that ran there.
    def test_simultaneous_crash_of_12_upstreams_refuses_no_request(self):
        fleet = make_fleet()
        send_others(fleet, fleet.now + 10.0)
        fleet.run_until(fleet.now + 3.0)
        for upstream in list(fleet.upstreams.values())[::4][:12]:
            fleet.crash(upstream)
        fleet.run_until(fleet.now + 9.0)
        self.check_none_refused(fleet)

    # Guards against an outage whose upstreams end within some milliseconds, in
    # which a search is lost, and its retry at the other upstream of the shard.
    def test_outage_that_spreads_is_no_second_crash(self) -> None:
        quarantine = Quarantine(settle_s=0.1)
        for upstream, at, alive_at in (
            ("u1@1", 0.0, -math.inf),
            ("u2@1", 0.013, 0.0045),
        ):
            quarantine.record_loss(upstream, "f", at)
            quarantine.charge("f", upstream, "s", True, at, alive_at)
        self.assertEqual([], quarantine.settle(0.2))

    # Guards against an outage that hits a request with the same content at
    # several instances, each of which reports the crash that it has seen.
    def test_outage_under_equal_requests_refuses_no_request(self) -> None:
        fleet = make_fleet()
        for name in fleet.instances:
            for prefix in OTHER_PREFIXES:
                fleet.send(name, f"{prefix}other-same")
        fleet.run_until(fleet.now + 0.003)
        for upstream in list(fleet.upstreams.values())[::2]:
            fleet.crash(upstream)
        fleet.run_until(fleet.now + 1.0)
        for name in fleet.instances:
            for prefix in OTHER_PREFIXES:
                fleet.send(name, f"{prefix}other-same")
        fleet.run_until(fleet.now + 3.0)
        self.check_none_refused(fleet)

    # Guards against a retry on an idle connection that has died in the same
    # outage, which looks like a second crash.
    def test_retry_on_a_dead_idle_connection_is_no_second_crash(self) -> None:
        quarantine = Quarantine()
        for upstream, at, alive_at in (("u1@1", 1.0, -0.1), ("u2@1", 1.1, 0.1)):
            quarantine.record_loss(upstream, "f", at)
            result = quarantine.charge("f", upstream, "s", False, at, alive_at)
            self.assertIs(ChargeResult.SUSPECT, result)
        quarantine.record_loss("u3@1", "f", 1.3)
        result = quarantine.charge("f", "u3@1", "s", False, 1.3, 1.2)
        self.assertIs(ChargeResult.QUARANTINE, result)

    # Guards against a report that is delayed on its way, so that a crash of the
    # same outage seems to be a later one.
    def test_delayed_report_of_a_crash_is_no_later_crash(self) -> None:
        fleet = make_fleet()
        names = ("north-0", "south-0")
        target = f"{ONCE}other-same"
        fleet.is_cut = lambda _name, _peer: True
        ids = [fleet.send(name, target, "POST") for name in names]
        fleet.run_until(fleet.now + 0.0025)
        for upstream in fleet.upstreams.values():
            if upstream.running:
                fleet.crash(upstream)
        fleet.run_until(fleet.now + 0.5)
        fingerprint = fingerprint_at(fleet, ids[0])
        receiver = fleet.instances["central-0"].quarantine
        for number, name in enumerate(names):
            sender = fleet.instances[name].quarantine
            (report,) = sender.crash_reports(fingerprint, name, fleet.now)
            arrived_at = fleet.now + 3.0 * number
            result = receiver.on_crash_report(report, arrived_at)
            self.assertIs(ChargeResult.SUSPECT, result)

    # Guards against requests that are charged with each of several crashes
    # that follow each other.
    def test_crashes_one_after_another_refuse_no_request(self) -> None:
        fleet = make_fleet()
        send_others(fleet, fleet.now + 12.0)
        for number, upstream in enumerate(fleet.upstreams.values()):
            fleet.at(
                fleet.now + 1.0 + 0.2 * number,
                lambda one=upstream: one.down or fleet.crash(one),
            )
        fleet.run_until(fleet.now + 14.0)
        self.check_none_refused(fleet)

    # Guards against reset connections that are taken for crashes.
    def test_reset_connections_make_no_suspects(self) -> None:
        fleet = make_fleet()
        send_others(fleet, fleet.now + 6.0)
        for number in range(20):
            fleet.at(fleet.now + 1.0 + 0.2 * number, fleet.reset_connections)
        fleet.run_until(fleet.now + 8.0)
        self.check_none_refused(fleet)
        for forwarder in fleet.instances.values():
            self.assertEqual(0, forwarder.quarantine.count_states()["suspect"])

    # Guards against a crash that is charged to requests whose connections were
    # reset at that upstream long before, and that are kept without end.
    def test_later_crash_is_not_charged_to_earlier_resets(self) -> None:
        fleet = make_fleet()
        send_others(fleet, fleet.now + 20.0)
        for number in range(150):
            fleet.at(fleet.now + 0.1 * number, fleet.reset_connections)
        fleet.run_until(fleet.now + 15.5)
        for forwarder in fleet.instances.values():
            for check in forwarder.crash_checks.values():
                self.assertTrue(len(check.losses) <= MAX_LOSSES)
        for upstream in list(fleet.upstreams.values()):
            fleet.crash(upstream)
        fleet.run_until(fleet.now + 1.0)
        for forwarder in fleet.instances.values():
            for entry in forwarder.quarantine.entries.values():
                for crash in entry.crashes:
                    self.assertTrue(crash.at > fleet.now - 2.0)

    # Guards against a quarantine that costs the other callers more than the
    # time in which the first upstreams are away.
    def test_others_are_served_beside_a_crashing_request(self) -> None:
        fleet = make_fleet()
        until = fleet.now + 20.0
        send_others(fleet, until)
        fleet.send_series(lambda _n: f"{FETCH}{CRASHING}", 0.1, until)
        fleet.run_until(until + 2.0)
        found = self.check_none_refused(fleet)
        self.assertTrue(found["served"] >= 0.99 * sum(found.values()), found)

    # Guards against a suspicion that a result has ended where it arose, and
    # that lives on at other instances until the next crash.
    def test_result_ends_the_suspicion_at_all_instances(self) -> None:
        fleet = make_fleet()
        target = f"{FETCH}other-same"
        for victim in range(2):
            request_id = fleet.send("north-0", target)
            fleet.run_until(fleet.now + 0.0025)
            for upstream in fleet.upstreams.values():
                if upstream.running:
                    fleet.crash(upstream)
            fleet.run_until(fleet.now + 6.0 + victim)
        fingerprint = fingerprint_at(fleet, request_id)
        for forwarder in fleet.instances.values():
            self.assertIsNone(
                forwarder.quarantine.state_of(fingerprint, fleet.now)
            )
        self.check_none_refused(fleet)

    # Guards against reports of a crash that was not charged, as the request
    # had results of other shards. Others would count it in full.
    def test_crash_beside_results_is_not_reported(self) -> None:
        quarantine = Quarantine()
        quarantine.record_loss("u1@1", "f", 1.0)
        quarantine.charge("f", "u1@1", "s", True, 1.0, 0.9)
        self.assertEqual([], quarantine.crash_reports("f", "a", 1.0))
        report = CrashReport("f", "u9@1", 1.0, 0.0, "b", 0.1)
        result = quarantine.on_crash_report(report, 5.0)
        self.assertIs(ChargeResult.SUSPECT, result)

    # Guards against a search that stays a suspect although other shards had
    # results, because no upstream was left for the shard of the crash.
    def test_partial_answer_ends_the_suspicion(self) -> None:
        fleet = make_fleet()
        request_id = fleet.send("north-0", f"{SEARCH}other-same")
        fleet.run_until(fleet.now + 0.0025)
        (victim,) = [one for one in fleet.upstreams.values() if one.running][:1]
        service = victim.announcement.service
        for upstream in fleet.upstreams.values():
            if upstream.announcement.service == service:
                fleet.crash(upstream)
        fleet.run_until(fleet.now + 3.0)
        fingerprint = fingerprint_at(fleet, request_id)
        self.assertEqual({"served": 1}, count_others(fleet))
        for forwarder in fleet.instances.values():
            self.assertIsNone(
                forwarder.quarantine.state_of(fingerprint, fleet.now)
            )

    # Guards against a crash that is charged in full to the only request that an
    # instance has lost in it, although others report another one.
    def test_crash_is_shared_with_requests_of_other_instances(self) -> None:
        fleet = make_fleet()
        forwarder = fleet.instances["central-0"]
        quarantine = forwarder.quarantine
        for number in range(2):
            name, at = f"u{number}@1", fleet.now + 0.1 * number
            quarantine.record_loss(name, "other", at)
            quarantine.charge("other", name, "s", False, at, at - 0.05)
            report = CrashReport("crashing", name, 1.0, 0.0, "north-0", 0.05)
            quarantine.on_crash_report(report, at + 0.02)
        later = fleet.now + 1.0
        forwarder.exchange_notices(later)
        state = quarantine.state_of("other", later)
        self.assertIs(FingerprintState.SUSPECT, state)
        report = CrashReport("crashing", "u2@1", 1.0, 0.0, "north-0", 0.05)
        quarantine.on_crash_report(report, later)
        forwarder.exchange_notices(later + 1.0)
        self.assertTrue(quarantine.quarantined("crashing", later + 1.0))

    # Guards against a request that is refused because of a verdict that was to
    # come, although it has had a result meanwhile.
    def test_result_ends_a_verdict_that_is_due(self) -> None:
        fleet = make_fleet()
        forwarder = fleet.instances["central-0"]
        request_id = fleet.send("central-0", f"{FETCH}other")
        fingerprint = fingerprint_at(fleet, request_id)
        for upstream, alive_age_s in (("u1@1", 2.0), ("u2@1", 0.5)):
            age_s = alive_age_s - 0.1
            report = CrashReport(
                fingerprint, upstream, 1.0, age_s, "north-0", alive_age_s
            )
            forwarder.quarantine.on_crash_report(report, fleet.now)
        self.assertTrue(forwarder.quarantine.pending)
        forwarder.quarantine.on_success(fingerprint, HOST, fleet.now)
        self.assertFalse(forwarder.quarantine.pending)

    # Guards against a suspicion that outlives a result of the request.
    def test_result_ends_the_suspicion_of_a_bystander(self) -> None:
        quarantine = Quarantine()
        for upstream in ("u1@1", "u2@1"):
            for fingerprint in ("culprit", "bystander"):
                quarantine.record_loss(upstream, fingerprint, 0.0)
        quarantine.charge("bystander", "u1@1", "s", False, 0.0)
        quarantine.on_success("bystander", "", 0.1)
        self.assertIsNone(quarantine.state_of("bystander", 0.2))
        quarantine.charge("culprit", "u1@1", "s", False, 0.2)
        self.assertTrue(quarantine.entries["culprit"].is_sole_suspect)


class MemoryTest(testtools.TestCase):
    """Evidence is bounded, and counts each crash once."""

    # Guards against a crash that counts as often as it is reported.
    def test_crash_reported_again_counts_once(self) -> None:
        quarantine = Quarantine()
        for reporter in ("a", "b", "a"):
            report = CrashReport("f", "u1@1", 1.0, 0.5, reporter, 0.6)
            quarantine.on_crash_report(report, 10.0)
        state = quarantine.state_of("f", 10.0)
        self.assertEqual(FingerprintState.SUSPECT, state)

    # Guards against an outage that ends quarantines by its many suspects.
    def test_suspects_are_dropped_before_quarantines(self) -> None:
        quarantine = Quarantine()
        quarantine.on_peer_quarantine("kept", 0.0, 0.0)
        for number in range(MAX_ENTRIES + 10):
            report = CrashReport(f"f{number}", "u1@1", 0.5, 0.0, "a", 0.1)
            quarantine.on_crash_report(report, 0.0)
        self.assertEqual(MAX_ENTRIES, len(quarantine.entries))
        self.assertTrue(quarantine.quarantined("kept", 0.0))

    # Guards against memory that grows with the requests that large outages
    # take along at many instances.
    def test_losses_of_crashes_are_bounded(self) -> None:
        losses = CrashLosses()
        for number in range(2 * MAX_LOST):
            losses.add("u1@1", f"f{number}")
        self.assertTrue(len(losses.by_fingerprint) <= MAX_LOST)
        for number in range(2 * MAX_CRASHES):
            losses.add(f"u2@{number}", "f0")
        self.assertTrue(len(losses.by_crash) <= MAX_CRASHES)

    # Guards against notices that grow with the number of suspects.
    def test_notices_are_bounded(self) -> None:
        fleet = make_fleet()
        forwarder = fleet.instances["north-0"]
        for number in range(500):
            report = CrashReport(f"f{number}", "u1@1", 0.5, 0.0, "a", 0.1)
            forwarder.quarantine.on_crash_report(report, fleet.now)
        sent = forwarder.exchange_notices(fleet.now + 5.0)
        self.assertTrue(sent)
        for action in sent:
            crashes = action.message.crashes
            self.assertEqual(MAX_NOTICE_FINGERPRINTS, len(crashes))

    # Guards against a fingerprint whose cost grows with the body, and against
    # one that ignores how long it is.
    def test_fingerprint_covers_both_ends_and_the_length_of_a_body(self):
        middle = b"m" * FINGERPRINT_SAMPLE_BYTES

        def digest(body: bytes) -> str:
            request = CallerRequest("r", "POST", "/a/", HOST, [], body, 9, 0)
            return request.fingerprint

        bodies = [b"", b"a", b"a" + 2 * middle, b"a" + 3 * middle]
        bodies += [b"b" + 3 * middle, b"a" + 3 * middle + b"z"]
        self.assertEqual(len(bodies), len({digest(body) for body in bodies}))
        self.assertEqual(digest(bodies[3]), digest(bytes(bodies[3])))
