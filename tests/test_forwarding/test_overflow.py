"""Tests of the overflow of work to other data centres.

Guards against a full data centre beside an empty one, against instances that
swing together, and against work that stays away although there is room.
"""

from __future__ import annotations

import random

import testtools

from arbutusbridge.core.messages import Decision
from arbutusbridge.core.requests.quarantine import canary_for_suspects
from arbutusbridge.forwarding import (
    Announcement,
    AttemptEnd,
    Load,
    overflow,
    overflowrouting,
)
from arbutusbridge.forwarding.exchange import DelegatedGroup, Exchange
from arbutusbridge.forwarding.gather import (
    DeclineReason,
    GatherAck,
    GatherRequest,
    Peer,
    SendGatherMessage,
)
from arbutusbridge.forwarding.overflow import DECREASE_STEP, INCREASE_STEP
from arbutusbridge.forwarding.overflowstate import (
    MAX_AGE_S,
    NORMAL_LAG_S,
    UPDATE_INTERVAL_S,
    Source,
)
from tests.test_forwarding.fixtures import (
    ended,
    make_forwarder,
    plain,
    request,
    result,
    sends_of,
    shard_upstreams,
    sharded,
    upstream,
)
from tests.test_forwarding.fleet import Fleet

NOW = 100.0
MAX_FRACTION = 0.5
TARGET_S = 0.12
MARGIN_S = overflow.MARGIN_RATIO * TARGET_S
PLACES = ("north", "central", "south")
ROUTE = sharded(12, target_s=TARGET_S)


class Model:
    """Instances that share three data centres, without messages.

    The delay at a data centre grows while it gets more than it can serve, and
    all instances are told the same delays and occupancies at the same time.
    """

    def __init__(self, instances: int) -> None:
        self.now = NOW
        self.backlog_s = dict.fromkeys(PLACES, 0.0)
        self.instances = []
        for number in range(instances):
            place = PLACES[number % len(PLACES)]
            forwarder = make_forwarder([ROUTE], [], place, number)
            forwarder.overflow.configure(MAX_FRACTION)
            self.instances.append(forwarder)

    def sent_from(self, place: str) -> dict[str, float]:
        """Returns the part of the work of a data centre that each one gets."""
        counts = dict.fromkeys(PLACES, 0)
        for one in self.instances:
            if one.place.data_centre != place:
                continue
            for _ in range(8):
                exchange = Exchange.begin(request(), ROUTE, 1, ("s0",))
                others = set(PLACES) - {place}
                counts[
                    overflow.choose(exchange, place, others, one, self.now)
                ] += 1
        total = sum(counts.values())
        return {name: count / total for name, count in counts.items()}

    def step(self, demand: dict[str, float]) -> dict[str, dict[str, float]]:
        """Lets an interval pass.

        Args:
          demand: Work that begins in each data centre, as a multiple of what
            one can serve.

        Returns:
          Where the work of each data centre went.
        """
        sent = {place: self.sent_from(place) for place in PLACES}
        for place in PLACES:
            load = sum(demand[one] * sent[one][place] for one in PLACES)
            backlog_s = self.backlog_s[place]
            backlog_s += (load - 1.0) * UPDATE_INTERVAL_S
            # Callers do not wait for longer than twice the target time.
            self.backlog_s[place] = min(max(backlog_s, 0.0), 2 * TARGET_S)
            for one in self.instances:
                state = one.overflow
                for _ in range(4):
                    state.observe(place, self.backlog_s[place], 0.0, self.now)
                    state.record_occupancy(place, min(load, 1.5), self.now)
        self.now += UPDATE_INTERVAL_S
        for one in self.instances:
            overflow.update(one, self.now, [])
        return sent

    def run(self, seconds: float, north: float, central: float = 0.2):
        """Lets time pass; returns where the work of north went each time."""
        demand = {"north": north, "central": central, "south": 0.2}
        return [
            self.step(demand)["north"]
            for _ in range(round(seconds / UPDATE_INTERVAL_S))
        ]


class ManyInstancesTest(testtools.TestCase):
    """95 instances that all know the same at the same time."""

    def setUp(self) -> None:
        super().setUp()
        self.model = Model(95)
        self.model.run(1.0, 0.5)

    # Load: north gets 1.4 times what it can serve, the others a fifth. Guards
    # against callers that wait in a full data centre beside an empty one.
    def test_full_data_centre_sends_its_excess_away(self) -> None:
        self.model.run(4.0, 1.4)
        sent = self.model.run(4.0, 1.4)
        away = sum(1 - one["north"] for one in sent) / len(sent)
        self.assertGreater(away, 0.22)
        self.assertLess(away, 0.5)
        self.assertLess(self.model.backlog_s["north"], TARGET_S)

    # Load: the same, for longer. Guards against instances that all leave and
    # return together.
    def test_instances_do_not_swing_together(self) -> None:
        self.model.run(4.0, 1.4)
        away = [1 - one["north"] for one in self.model.run(20.0, 1.4)]
        mean = sum(away) / len(away)
        deviation = (sum((one - mean) ** 2 for one in away) / len(away)) ** 0.5
        self.assertLess(deviation, 0.05)
        self.assertLess(max(away), 0.5)
        self.assertGreater(min(away), 0.2)

    # Load: north is full for 5 s and then at 0.5. Guards against traffic
    # between data centres that lasts longer than its reason.
    def test_work_returns_within_two_seconds_of_room(self) -> None:
        self.model.run(5.0, 1.4)
        self.model.run(2.0, 0.5)
        (sent,) = self.model.run(UPDATE_INTERVAL_S, 0.5)
        self.assertGreater(sent["north"], 0.95)

    # Load: 1.4 times what one can serve, first at north, then at central.
    # Guards against work that is still sent to where the wave now is.
    def test_wave_moves_to_the_next_data_centre(self) -> None:
        self.model.run(6.0, 1.4)
        self.model.run(2.0, 0.5, 1.4)
        sent = self.model.run(4.0, 0.5, 1.4)
        self.assertLess(max(one["central"] for one in sent), 0.05)
        central = self.model.sent_from("central")
        self.assertGreater(central["north"] + central["south"], 0.1)

    # Load: every data centre gets 1.3 times what it can serve. Guards against
    # work that is exchanged at a cost while no one gains.
    def test_nothing_is_exchanged_if_all_are_full(self) -> None:
        demand = dict.fromkeys(PLACES, 1.3)
        for _ in range(20):
            sent = self.model.step(demand)
        for place in PLACES:
            self.assertGreater(sent[place][place], 0.95)


class FractionTest(testtools.TestCase):
    """Changes of the fraction of one instance."""

    def setUp(self) -> None:
        super().setUp()
        self.forwarder = make_forwarder([ROUTE], [])
        self.state = self.forwarder.overflow
        self.state.configure(MAX_FRACTION)
        self.now = NOW

    def choose(self, others=("central",)) -> str:
        exchange = Exchange.begin(request(), ROUTE, 1, ("s0",))
        return overflow.choose(
            exchange, "north", others, self.forwarder, self.now
        )

    def step(self, here_s: float | None, there_s: float = 0.0) -> list[object]:
        """Lets an interval pass with these delays; returns the actions."""
        out: list[object] = []
        for _ in range(10 if here_s is not None else 0):
            self.state.observe("north", here_s, 0.0, self.now)
            self.state.observe("central", there_s, 0.0, self.now)
        self.now += UPDATE_INTERVAL_S
        overflow.update(self.forwarder, self.now, out)
        return out

    @property
    def fraction(self) -> float:
        return self.state.fractions().get("north", 0.0)

    def fill(self) -> None:
        """Raises the fraction to its maximum."""
        self.choose()
        for _ in range(10):
            self.step(0.2)
        self.assertAlmostEqual(MAX_FRACTION, self.fraction)

    def test_fraction_moves_by_the_steps(self) -> None:
        self.choose()
        self.step(0.2)
        self.assertAlmostEqual(INCREASE_STEP, self.fraction)
        self.fill()
        self.step(0.0)
        self.assertAlmostEqual(MAX_FRACTION - DECREASE_STEP, self.fraction)

    # Guards against traffic that costs more than it gains: a delay that is
    # just below the network time and the margin.
    def test_small_gain_sends_nothing_away(self) -> None:
        self.choose()
        limit_s = overflow.OTHER_REGION_ROUND_TRIP_S + MARGIN_S
        for _ in range(8):
            self.step(limit_s - 0.002)
        self.assertEqual(0.0, self.fraction)
        for _ in range(8):
            self.step(limit_s + 0.01)
        self.assertGreater(self.fraction, 0.0)

    # Guards against decisions by a delay that nobody has seen for 2 s.
    def test_old_observation_is_ignored(self) -> None:
        self.fill()
        for _ in range(round(MAX_AGE_S / UPDATE_INTERVAL_S) + 6):
            self.step(None)
        self.assertEqual(0.0, self.fraction)

    # Guards against a delay of the last overload that counts in the next one.
    def test_old_value_has_no_part_in_a_new_one(self) -> None:
        self.step(0.2)
        self.now += MAX_AGE_S + 1
        self.state.observe("north", 0.0, 0.0, self.now)
        self.assertEqual(0.0, self.state.delay("north", self.now))

    # Guards against work for a data centre that has become the slower one.
    def test_slow_data_centre_is_left_out(self) -> None:
        self.fill()
        for _ in range(20):
            self.state.observe("central", 0.4, 0.0, self.now)
        found = {self.choose(("central", "south")) for _ in range(50)}
        self.assertEqual({"north", "south"}, found)

    # Load: a few upstreams that pause or are slow while the others are idle.
    # Guards against work that leaves a data centre with room: on a quiet day
    # with 15 % slow upstreams, at 0.2 requests per slot, it only cost time.
    def test_slow_replies_in_a_data_centre_with_room_send_nothing(self) -> None:
        self.choose()
        for occupancy, fraction in ((0.2, 0.0), (0.95, MAX_FRACTION)):
            for _ in range(12):
                for _ in range(20):
                    self.state.record_occupancy("north", occupancy, self.now)
                self.step(0.2)
            self.assertAlmostEqual(fraction, self.fraction)

    # Load: helpers that are just fast enough because work is sent away. Guards
    # against work that returns to them and makes them too slow again.
    def test_lag_of_helpers_holds_the_fraction(self) -> None:
        self.fill()
        for lag_s, fraction in ((0.015, MAX_FRACTION), (0.001, 0.0)):
            for _ in range(round(2.0 / UPDATE_INTERVAL_S)):
                for _ in range(10):
                    self.state.observe(
                        "north", 2 * lag_s, 0.0, self.now, Source.LAG
                    )
                self.step(0.0)
            self.assertAlmostEqual(fraction, self.fraction)

    # Guards against a data centre that fails and still gets half of the work.
    def test_failure_elsewhere_halves_the_fraction_once(self) -> None:
        self.fill()
        for _ in range(20):
            self.state.record_failure("central", self.now)
        self.assertAlmostEqual(MAX_FRACTION / 2, self.fraction)
        self.state.record_failure("south", self.now)
        self.assertAlmostEqual(MAX_FRACTION / 2, self.fraction)

    # Guards against work for a data centre that the request must not reach.
    def test_no_other_data_centre_is_permitted(self) -> None:
        self.fill()
        found = {self.choose(()) for _ in range(50)}
        self.assertEqual({"north"}, found)
        self.assertIn("central", {self.choose() for _ in range(50)})

    def test_share_that_leaves_matches_the_fraction(self) -> None:
        self.fill()
        count = sum(self.choose() == "central" for _ in range(2000))
        self.assertAlmostEqual(MAX_FRACTION, count / 2000, delta=0.05)

    # Guards against a single slow reply at an instance with few requests.
    def test_one_slow_reply_sends_little_away(self) -> None:
        self.choose()
        self.state.observe("north", TARGET_S / 2, 0.0, self.now)
        self.step(None)
        self.assertEqual(0.0, self.fraction)

    # Guards against a log that grows with the intervals.
    def test_changes_are_logged_with_their_inputs(self) -> None:
        self.choose()
        out: list[object] = []
        for number in range(40):
            out += self.step(0.2 if number // 5 % 2 == 0 else 0.0)
        # At most one in each of the ten seconds.
        self.assertGreater(len(out), 2)
        self.assertLessEqual(len(out), 10)
        (first, *_) = out
        assert isinstance(first, Decision)
        self.assertEqual("overflow", first.what)
        self.assertEqual("central", first.detail["to"])
        self.assertEqual(250, first.detail["here_age_ms"])

    # Guards against overload that becomes the expected reply time.
    def test_baseline_rises_slowly_and_falls_at_once(self) -> None:
        for number in range(400):
            at = NOW + number / 20
            seconds = 0.03 if number < 100 else 0.2
            self.state.learn_baseline(
                Source.ATTEMPT, ROUTE, "north", seconds, at
            )
        low_s = self.state.baseline(Source.ATTEMPT, ROUTE, "north")
        self.assertLess(low_s, 0.04)


class RoutingTest(testtools.TestCase):
    """Requests, shards and helpers of an instance that sends work away."""

    def fill(self, forwarder, others=("central",)) -> None:
        """Makes an instance send away all that it may."""
        state = forwarder.overflow
        state.configure(1.0)
        for route in forwarder.table.configuration.routes:
            exchange = Exchange.begin(request(), route, 1, ("s0",))
            overflow.choose(exchange, "north", others, forwarder, NOW)
        for number in range(30):
            at = NOW - 30 * UPDATE_INTERVAL_S + number * UPDATE_INTERVAL_S
            for _ in range(10):
                state.observe("north", 0.5, 0.0, at)
            overflow.update(forwarder, at, [])
        self.assertEqual(1.0, state.fractions()["north"])

    def first_places(self, upstreams: list[Announcement]) -> set[str]:
        """Returns the data centres that requests without shards go to."""
        forwarder = make_forwarder([plain()], upstreams)
        self.fill(forwarder)
        found = set()
        for number in range(10):
            out = forwarder.handle_request(request(number, "/fetch/x"), NOW)
            (send,) = sends_of(out)
            found.add(send.upstream.data_centre)
            forwarder.replies([result(send)], NOW)
        return found

    def test_whole_request_is_sent_away(self) -> None:
        here, there = (upstream(p, "records", p) for p in PLACES[:2])
        self.assertEqual({"central"}, self.first_places([here, there]))

    # Guards against requests for an upstream that has just started.
    def test_cold_upstream_gets_nothing_more(self) -> None:
        here = upstream("north", "records")
        cold = upstream("central", "records", "central", warm_up_s=NOW + 5)
        self.assertEqual({"north"}, self.first_places([here, cold]))

    # Load: shards of this data centre, which is full. Guards against shards
    # that are sent one by one over the long link, or twice.
    def test_shards_are_delegated_to_a_peer_elsewhere(self) -> None:
        forwarder = make_forwarder([ROUTE], shard_upstreams(12))
        own = Peer("north-0", "north", ("10.0.0.1", 1))
        peer = Peer("central-0", "central", ("10.0.0.2", 1))
        forwarder.gather.own_peer = own
        forwarder.gather.peer_table.update([peer])
        forwarder.update_instance_count(2)
        self.fill(forwarder)
        out = forwarder.handle_request(request(), NOW)
        (sent,) = [one for one in out if isinstance(one, SendGatherMessage)]
        assert isinstance(sent.message, GatherRequest)
        self.assertEqual(peer.address, sent.address)
        self.assertEqual(set(ROUTE.shards), set(sent.message.services))
        self.assertEqual([], sends_of(out))
        # The peer declines: the shards go to the upstreams here, and less is
        # sent away from now on.
        ack = GatherAck(sent.message.gather_id, DeclineReason.BUSY)
        out = forwarder.handle_peer_message(ack, NOW + 0.02)
        self.assertEqual(12, len(sends_of(out)))
        self.assertEqual(0.5, forwarder.overflow.fractions()["north"])
        self.assertEqual(1, forwarder.decision_counts["overflow_shards"])

    # Guards against a new connection for each message to another region.
    def test_connections_to_helpers_elsewhere_are_opened(self) -> None:
        forwarder = make_forwarder([sharded(45)], shard_upstreams(45))
        forwarder.gather.own_peer = Peer(
            "north-0", "north", ("10.0.0.1", 1), 0.5
        )
        there = Peer("central-0", "central", ("10.0.0.2", 1), 0.5)
        forwarder.gather.peer_table.update([there])
        forwarder.update_instance_count(2)
        self.assertNotIn(there, forwarder.find_likely_peers(NOW))
        self.fill(forwarder)
        self.assertIn(there, forwarder.find_likely_peers(NOW))

    # Guards against a helper that gets the same share however busy it is.
    def test_helper_with_lag_gets_less(self) -> None:
        forwarder = make_forwarder([ROUTE], [])
        helpers = [Peer(f"north-{n}", "north", ("10.0.0.1", n)) for n in (1, 2)]
        state = forwarder.overflow
        state.configure(MAX_FRACTION)
        forwarder.gather.peer_table.update(helpers)
        exchange = Exchange.begin(request(), ROUTE, 1, ROUTE.shards)
        for lag_s, peer in zip((0.0, 0.08), helpers, strict=True):
            for _ in range(20):
                group = delegate(exchange, peer, forwarder)
                ack = GatherAck(group, lag_ms=round(lag_s * 1000))
                forwarder.handle_peer_message(ack, NOW)
        weights = overflowrouting.weigh_helpers(helpers, forwarder, NOW)
        self.assertAlmostEqual(1.0, weights[0])
        self.assertAlmostEqual(NORMAL_LAG_S / 0.08, weights[1], delta=0.1)
        self.assertGreater(state.delay("north", NOW), 0.05)
        later = NOW + MAX_AGE_S + 1
        weights = overflowrouting.weigh_helpers(helpers, forwarder, later)
        self.assertEqual([1.0, 1.0], weights)

    # Guards against a busy instance that blames the helpers for being late.
    def test_lag_of_this_instance_is_not_that_of_others(self) -> None:
        forwarder = make_forwarder([plain()], [upstream("a", "records")])
        state = forwarder.overflow
        state.configure(MAX_FRACTION)
        for number in range(20):
            at = NOW + number
            lag_s = 0.08 if number >= 10 else 0.0
            for _ in range(10):
                state.own_lag.add(lag_s, at)
            (send,) = sends_of(
                forwarder.handle_request(request(number, "/fetch/x", at), at)
            )
            forwarder.replies([result(send)], at + 0.03 + lag_s)
        self.assertLess(state.delay("north", at + 0.1), 0.01)

    # Guards against an upstream with a queue that still replies in time.
    def test_reported_queue_counts_before_replies_are_late(self) -> None:
        forwarder = make_forwarder([plain()], [upstream("a", "records")])
        forwarder.overflow.configure(MAX_FRACTION)
        for number in range(4):
            at = NOW + number
            (send,) = sends_of(
                forwarder.handle_request(request(number, "/fetch/x", at), at)
            )
            reply = result(send)
            reply.load = Load(2, 8, 2)
            forwarder.replies([reply], at + 0.03)
        self.assertGreater(forwarder.overflow.delay("north", at + 0.1), 0.05)


def delegate(exchange: Exchange, peer: Peer, forwarder) -> int:
    """Adds a delegated group and returns its id."""
    gather = forwarder.gather
    gather.last_gather_id += 1
    group = DelegatedGroup(
        gather.last_gather_id, exchange, peer, [], NOW, NOW + 1
    )
    gather.groups[group.gather_id] = group
    return group.gather_id


class OffTest(testtools.TestCase):
    """Decisions while overflow is off."""

    # Guards against deployments that are served otherwise without the setting.
    def test_no_state_is_kept_and_no_random_number_drawn(self) -> None:
        forwarder = make_forwarder(
            [sharded(4), plain()],
            [*shard_upstreams(4), upstream("a", "records", "north")],
        )
        for number in range(20):
            at = NOW + number
            target = "/search/x" if number % 2 else "/fetch/x"
            sends = sends_of(
                forwarder.handle_request(request(number, target, at), at)
            )
            replies = [result(one) for one in sends]
            replies[0] = ended(sends[0], AttemptEnd.SHED)
            forwarder.replies(replies, at + 0.5)
            forwarder.maintain(at + 0.6)
        state = forwarder.overflow
        self.assertEqual({}, state.signals)
        self.assertEqual({}, state.baselines)
        self.assertEqual({}, state.outflows)
        before = forwarder.rng.getstate()
        exchange = Exchange.begin(request(), ROUTE, 1, ("s0",))
        self.assertEqual(
            "north",
            overflow.choose(exchange, "north", ("south",), forwarder, NOW),
        )
        near: overflowrouting.HeldShards = [
            (part, {"north"}) for part in exchange.parts
        ]
        kept, far = overflowrouting.move_shards(
            exchange, near, [], forwarder, NOW
        )
        self.assertIs(near, kept)
        self.assertEqual([], far)
        self.assertIsNone(overflowrouting.weigh_helpers([], forwarder, NOW))
        self.assertEqual(before, forwarder.rng.getstate())


class FleetTest(testtools.TestCase):
    """Whole instances with messages, queues and processors."""

    def play(self, max_fraction: float, seed: int = 1) -> tuple[Fleet, float]:
        """Lets north have too few processors for 7 s of 14.

        Returns:
          The fleet, and the part of the requests to north in these seconds
          that got an answer in time.
        """
        fleet = Fleet(
            [ROUTE],
            shard_upstreams(12, PLACES),
            dict.fromkeys(PLACES, 8),
            seed,
            capacity=0.3,
        )
        fleet.has_queues = fleet.has_processors = True
        fleet.work_range_s = (0.008, 0.016)
        for forwarder in fleet.instances.values():
            forwarder.quarantine.canary = canary_for_suspects
            forwarder.overflow.configure(max_fraction)
        north = [name for name, at in fleet.places.items() if at == "north"]
        rest = [name for name in fleet.places if name not in north]
        start = fleet.now
        rng = random.Random(seed)
        for names, rate, begin, end in (
            (rest, 30, 0.0, 14.0),
            (north, 30, 0.0, 14.0),
            (north, 60, 2.0, 9.0),
        ):
            fleet.at(
                start + begin,
                lambda names=names, rate=rate, end=end: fleet.send_series(
                    lambda number: f"/search/{number}",
                    1 / rate,
                    start + end,
                    lambda: rng.choice(names),
                ),
            )
        fleet.run_until(start + 15.0)
        wanted = [
            one
            for number, one in fleet.sent.items()
            if fleet.entered[number] in north
            and start + 3 <= one.arrived < start + 9
        ]
        answered = [
            fleet.answers[one.request_id][0] - one.arrived <= TARGET_S
            for one in wanted
            if one.request_id in fleet.answers
        ]
        return fleet, sum(answered) / len(wanted)

    # Load: three times the usual requests at north, whose helpers are then too
    # slow. Guards against late and lost searches beside idle instances.
    def test_busy_helpers_are_relieved_by_another_data_centre(self) -> None:
        _, before = self.play(0.0)
        fleet, in_time = self.play(MAX_FRACTION)
        self.assertGreater(in_time, before + 0.2)
        for forwarder in fleet.instances.values():
            fractions = forwarder.overflow.fractions().values()
            self.assertLess(max(fractions, default=0.0), 0.1)
