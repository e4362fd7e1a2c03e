"""Fleet of forwarders and upstreams on virtual time, without a network.

Upstreams run a request for some milliseconds, except for a request that crashes
every upstream that runs it, at once or some time into the run: the upstream
loses all of its requests and refuses connections until it is back under a new
incarnation.
"""

from __future__ import annotations

import bisect
import dataclasses
import functools
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arbutusbridge.daemon.pool import CONNECT_TIMEOUT_S
from arbutusbridge.daemon.relaypools import PROBE_HOLD_S, RELAY_REPLY_GRACE_S
from arbutusbridge.forwarding import (
    Announcement,
    AttemptEnd,
    CallerRequest,
    CheckUpstream,
    DropAttempt,
    Forwarder,
    Load,
    Locality,
    MergedAnswer,
    ProbeUpstream,
    RefusedAnswer,
    RelayedAnswer,
    Route,
    RoutingConfiguration,
    SendAttempt,
    SetRequestTimer,
    UpstreamReply,
    WithdrawAttempt,
)
from arbutusbridge.forwarding.allocation import CHECK_INTERVAL_S
from arbutusbridge.forwarding.gather import Peer, SendGatherMessage
from arbutusbridge.forwarding.gatherwire import (
    CURRENT_PROTOCOL,
    decode_message,
    encode_message,
)
from arbutusbridge.forwarding.notices import EXCHANGE_INTERVAL_S
from arbutusbridge.forwarding.terms import NO_TERMS, UpstreamTerms
from tests.test_forwarding.fixtures import BOUNDS, HOST, REGIONS

ONE_WAY_S = 0.001
"""Network delay within a region, one way."""

REGION_ONE_WAY_S = 0.012
"""Network delay between regions, one way."""

WORK_RANGE_S = (0.003, 0.012)
"""Processing time of a request that crashes nothing."""

DOWN_S = 4.0
"""Time after which a crashed upstream is back."""

ANNOUNCE_DELAY_S = 0.8
"""Delay until the announcement of an upstream reaches the instances."""

MAX_EVENTS = 1_000_000
"""Number of events above which a timer must be firing without end."""

EVENT_CPU_TIME_S = 0.0006
"""Processor time of one event on a full core, if processors are simulated."""

HANGING, REFUSED, KEPT = "hang", "refused", "kept"

CRASHING = "crash"
"""Part of the target of requests that crash the upstreams that run them."""


@dataclass
class SimulatedUpstream:
    """Upstream that crashes on some requests.

    Attributes:
      announcement: Its current announcement.
      running: Attempts that it runs, as instance and attempt id.
      down: Whether it has crashed and is not back yet.
      terms: What it says of the requests that it takes.
      free_at: When each of its slots is free, if it has a queue.
    """

    announcement: Announcement
    running: set[tuple[str, int]] = field(default_factory=set)
    down: bool = False
    terms: UpstreamTerms = NO_TERMS
    free_at: list[float] = field(default_factory=list)

    def run(self, now: float, work_s: float) -> float:
        """Takes the next free slot and returns when the request ends."""
        if not self.free_at:
            self.free_at = [now] * self.announcement.slots
        end = max(now, heapq.heappop(self.free_at)) + work_s
        heapq.heappush(self.free_at, end)
        return end

    def load(self) -> Load:
        """Returns its load, including a request that is about to end."""
        slots = self.announcement.slots
        running = min(len(self.running), slots)
        return Load(running, len(self.running) - running, slots)


@dataclass
class Arrival:
    """Arrival of an attempt at an upstream that was up."""

    at: float
    request: CallerRequest
    upstream: str
    instance: str


class Fleet:
    """Instances, upstreams and callers.

    Attributes:
      capacity: CPU capacity of each instance, in cores.
      protocols: Protocol that the peers of an instance know of it, if it is
        not that of this build.
      instances: Forwarders by name.
      upstreams: Upstreams by name.
      arrivals: Attempts that reached an upstream.
      crashes: Times at which a request crashed an upstream, with its target.
      answers: Answers by request id, each with its time.
      sent: Requests by id.
      is_cut: Returns whether messages between two instances are lost.
      copies: Returns the further delay of each copy of a message between two
        instances that arrives, in seconds; empty if it is lost.
      credentials: Headers with a key that requests carry.
      maintenance_phase: Returns the time from the start of an instance to its
        first regular work, in seconds.
      entered: Instance that each request was sent to, by request id.
      cut_off: Instances that have lost their links to all upstreams, each with
        what becomes of its attempts: they ``hang``, or connections are reset
        and then ``refused``, or those that exist are ``kept`` and new ones are
        refused.
      connected: Pairs of an instance and a service with connections that
        outlive a cut.
      unreachable: Pairs of an instance and a service whose upstreams refuse its
        connections.
      unsent: Function that ends each attempt that waits for a connection, by
        instance and attempt id.
      told: When an instance first got a response with a limit of an upstream,
        by instance and upstream.
      lost_reports: Function that ends each running attempt, by instance and
        attempt id.
      work_range_s: Shortest and longest processing time of a request that
        crashes nothing, in seconds.
      has_queues: Whether an upstream runs only as many requests at once as it
        has slots, and reports its load.
      has_processors: Whether an instance handles its events one after the
        other, each of which takes processor time.
      free_at: When the processor of each instance is free.
      crash_after_s: Time into a run at which a crashing request crashes its
        upstream, in seconds.
      crashes_are_silent: Whether crashed upstreams close and refuse nothing.
      silenced: Attempts that ended in a silent crash.
    """

    def __init__(
        self,
        routes: list[Route],
        upstreams: list[Announcement],
        places: dict[str, int],
        seed: int = 1,
        capacity: float = 1.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.capacity = capacity
        self.protocols: dict[str, int] = {}
        self.now = 100.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.ids = itertools.count(1)
        self.configuration = RoutingConfiguration(1, tuple(routes))
        self.places: dict[str, str] = {}
        self.instances: dict[str, Forwarder] = {}
        self.upstreams = {
            one.upstream: SimulatedUpstream(one) for one in upstreams
        }
        self.arrivals: list[Arrival] = []
        self.crashes: list[tuple[float, str]] = []
        self.answers: dict[str, tuple[float, Any]] = {}
        self.sent: dict[str, CallerRequest] = {}
        self.is_cut: Callable[[str, str], bool] = lambda _name, _peer: False
        self.copies: Callable[[str, str], list[float]] = lambda *_: [0.0]
        self.credentials: list[bytes] = []
        self.maintenance_phase: Callable[[], float] = lambda: 0.0
        self.entered: dict[str, str] = {}
        self.cut_off: dict[str, str] = {}
        self.connected: set[tuple[str, str]] = set()
        self.unreachable: set[tuple[str, str]] = set()
        self.unsent: dict[tuple[str, int], Callable[..., None]] = {}
        self.told: dict[tuple[str, str], float] = {}
        self.lost_reports: dict[tuple[str, int], Callable[..., None]] = {}
        self.work_range_s = WORK_RANGE_S
        self.has_queues = False
        self.has_processors = False
        self.free_at: dict[str, float] = {}
        self.crash_after_s = 0.0
        self.crashes_are_silent = False
        self.silenced: set[tuple[str, int]] = set()
        names = [
            (f"{place}-{number}", place)
            for place, count in places.items()
            for number in range(count)
        ]
        for name, place in names:
            self.places[name] = place
        self.addresses = {
            name: ("10.8.0.1", 1000 + number)
            for number, name in enumerate(self.places)
        }
        self.names_by_address = {
            address: name for name, address in self.addresses.items()
        }
        for name in self.places:
            self.start(name)

    def address_of(self, name: str) -> tuple[str, int]:
        """Returns the address at which an instance accepts messages."""
        return self.addresses[name]

    def peer(self, name: str) -> Peer:
        """Returns the record of an instance as it is when it starts."""
        return Peer(
            name,
            self.places[name],
            self.address_of(name),
            self.capacity,
            protocol=self.protocols.get(name, CURRENT_PROTOCOL),
        )

    def start(self, name: str) -> None:
        """Starts an instance with an empty memory."""
        place = self.places[name]
        forwarder = Forwarder(
            Locality(place, REGIONS), BOUNDS, random.Random(name), self.now
        )
        forwarder.configure(self.configuration)
        for upstream in self.upstreams.values():
            forwarder.announce(upstream.announcement, self.now)
        peers = [self.peer(other) for other in self.places]
        forwarder.gather.own_peer = next(p for p in peers if p.name == name)
        forwarder.gather.peer_table.update(
            [peer for peer in peers if peer.name != name]
        )
        forwarder.update_instance_count(len(self.places))
        self.instances[name] = forwarder
        self.exchange_notices(name, forwarder)
        phase_s = self.maintenance_phase()
        if phase_s:
            self.after(phase_s, lambda: self.maintain(name, forwarder))
        else:
            self.maintain(name, forwarder)

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Applies a configuration at all instances at once."""
        self.configuration = configuration
        for forwarder in self.instances.values():
            forwarder.configure(configuration)

    def update_peers(self, name: str) -> None:
        """Tells an instance which others run."""
        forwarder = self.instances[name]
        forwarder.gather.peer_table.update(
            [self.peer(other) for other in self.instances if other != name]
        )
        forwarder.update_instance_count(len(self.instances))

    def stop(self, name: str) -> None:
        """Ends an instance without notice; callers reach the others."""
        del self.instances[name]

    def maintain(self, name: str, forwarder: Forwarder) -> None:
        """Lets an instance do its regular work."""
        if self.instances.get(name) is forwarder:
            self.carry_out(name, forwarder.maintain(self.now))
            self.after(
                CHECK_INTERVAL_S,
                lambda: self.process(
                    name, lambda: self.maintain(name, forwarder)
                ),
            )

    def exchange_notices(self, name: str, forwarder: Forwarder) -> None:
        """Lets an instance exchange evidence with its peers regularly."""
        if self.instances.get(name) is forwarder:
            self.carry_out(name, forwarder.exchange_notices(self.now))
            self.after(
                EXCHANGE_INTERVAL_S,
                lambda: self.exchange_notices(name, forwarder),
            )

    def at(self, when: float, function: Callable[[], None]) -> None:
        """Schedules a function."""
        heapq.heappush(self.events, (when, next(self.numbers), function))

    def after(self, seconds: float, function: Callable[[], None]) -> None:
        """Schedules a function after a delay."""
        self.at(self.now + seconds, function)

    def process(self, name: str, function: Callable[[], None]) -> None:
        """Lets an instance handle an event once its processor is free."""
        if not self.has_processors:
            function()
            return
        begin = max(self.now, self.free_at.get(name, 0.0))
        self.free_at[name] = begin + EVENT_CPU_TIME_S / self.capacity
        self.at(self.free_at[name], function)

    def run_until(self, end: float) -> None:
        """Runs all events up to a time."""
        count = 0
        while self.events and self.events[0][0] <= end:
            self.now, _, function = heapq.heappop(self.events)
            function()
            count += 1
            if count > MAX_EVENTS:
                raise AssertionError(f"timers without end at {self.now}")
        self.now = end

    def send(
        self,
        name: str,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        credentials: tuple[bytes, ...] = (),
    ) -> str:
        """Sends a caller's request to an instance and returns its id.

        Requests for an instance that has ended go to any other.
        """
        if name not in self.instances:
            name = self.rng.choice(list(self.instances))
        request_id = f"r{next(self.ids)}"
        request = CallerRequest(
            request_id,
            method,
            target,
            HOST,
            [],
            body,
            self.now + 2.0,
            self.now,
            identity_headers=[
                (b"identity", one) for one in credentials or self.credentials
            ],
            credentials=list(credentials or self.credentials),
        )
        self.sent[request_id] = request
        self.entered[request_id] = name
        forwarder = self.instances[name]

        def accept() -> None:
            self.carry_out(name, forwarder.handle_request(request, self.now))

        self.process(name, accept)
        return request_id

    def send_series(
        self,
        target: Callable[[int], str],
        interval_s: float,
        until: float,
        pick: Callable[[], str] | None = None,
    ) -> None:
        """Sends requests at an interval, by default to random instances."""
        count = itertools.count()

        def pick_any() -> str:
            return self.rng.choice(list(self.instances))

        def send_one() -> None:
            self.send((pick or pick_any)(), target(next(count)))
            if self.now + interval_s <= until:
                self.after(interval_s, send_one)

        self.after(interval_s, send_one)

    def carry_out(self, name: str, actions: list[Any]) -> None:
        """Performs the actions of an instance."""
        forwarder = self.instances[name]
        for action in actions:
            match action:
                case SendAttempt():
                    self.send_attempt(name, forwarder, action)
                case SendGatherMessage():
                    self.send_message(name, action)
                case SetRequestTimer():
                    self.set_timer(name, forwarder, action)
                case RelayedAnswer() | MergedAnswer() | RefusedAnswer():
                    self.answers.setdefault(
                        action.request.request_id, (self.now, action)
                    )
                case CheckUpstream():
                    self.check_upstream(name, forwarder, action)
                case ProbeUpstream():
                    self.probe_upstream(name, forwarder, action)
                case WithdrawAttempt():
                    end = self.unsent.pop((name, action.attempt_id), None)
                    if end is not None:
                        end(AttemptEnd.WITHDRAWN)
                case DropAttempt():
                    pass

    def check_upstream(
        self, name: str, forwarder: Forwarder, action: CheckUpstream
    ) -> None:
        """Connects to an upstream and reports whether it accepts."""
        upstream = self.upstreams[action.upstream.upstream]
        way_s = self.delay(self.places[name], action.upstream.data_centre)

        def arrive() -> None:
            silent = upstream.down and self.crashes_are_silent
            if silent or self.cut_off.get(name) == HANGING:
                return
            reachable = not upstream.down and name not in self.cut_off
            self.after(way_s, lambda: report(reachable))

        def report(reachable: bool) -> None:
            if self.instances.get(name) is forwarder:
                self.carry_out(
                    name,
                    forwarder.handle_check(
                        action.upstream, reachable, self.now
                    ),
                )

        self.after(way_s, arrive)

    def probe_upstream(
        self, name: str, forwarder: Forwarder, action: ProbeUpstream
    ) -> None:
        """Connects to an upstream and reports a connection that stays open."""
        upstream = self.upstreams[action.upstream.upstream]
        way_s = self.delay(self.places[name], action.upstream.data_centre)

        def report() -> None:
            if self.instances.get(name) is forwarder:
                if upstream.down or name in self.cut_off:
                    return
                actions = forwarder.handle_probe(action.upstream, self.now)
                self.carry_out(name, actions)

        self.after(2 * way_s + PROBE_HOLD_S, report)

    def set_timer(
        self, name: str, forwarder: Forwarder, action: SetRequestTimer
    ) -> None:
        """Sets the timer of a request, which ends with its instance."""

        def due() -> None:
            if self.instances.get(name) is forwarder:
                self.carry_out(
                    name, forwarder.handle_timer(action.request, self.now)
                )

        self.at(action.at, lambda: self.process(name, due))

    def delay(self, place: str, other: str) -> float:
        """Returns the network delay between two data centres, one way."""
        return ONE_WAY_S if place == other else REGION_ONE_WAY_S

    def send_message(self, name: str, action: SendGatherMessage) -> None:
        """Delivers a message to a peer through its encoding."""
        peer = self.names_by_address[action.address]
        protocol = self.instances[name].gather.peer_table.protocol_of(
            action.address
        )
        data = encode_message(action.message, protocol)

        def arrive() -> None:
            if self.is_cut(name, peer):
                return
            forwarder = self.instances.get(peer)
            if forwarder is None:
                return
            message = decode_message(data)
            self.carry_out(
                peer, forwarder.handle_peer_message(message, self.now)
            )

        way_s = self.delay(self.places[name], self.places[peer])
        for further_s in self.copies(name, peer):
            self.after(way_s + further_s, lambda: self.process(peer, arrive))

    def send_attempt(
        self, name: str, forwarder: Forwarder, action: SendAttempt
    ) -> None:
        """Delivers an attempt to its upstream, which runs it."""
        upstream = self.upstreams[action.upstream.upstream]
        way_s = self.delay(self.places[name], action.upstream.data_centre)
        key = (name, action.attempt_id)

        def report(end: AttemptEnd, **fields: Any) -> None:
            reply = UpstreamReply(action.attempt_id, end, **fields)

            def deliver() -> None:
                if self.instances.get(name) is forwarder:
                    if reply.terms is not None and reply.terms.max_rate:
                        source = (name, action.upstream.upstream)
                        self.told.setdefault(source, self.now)
                    self.carry_out(name, forwarder.replies([reply], self.now))

            self.after(way_s, lambda: self.process(name, deliver))

        def is_lost() -> bool:
            how = self.cut_off.get(name)
            link = (name, action.upstream.service)
            return how is not None and (
                how != KEPT or link not in self.connected
            )

        def arrive() -> None:
            silent = upstream.down and self.crashes_are_silent
            if silent or self.cut_off.get(name) == HANGING:
                hang()
                return
            link = (name, action.upstream.service)
            is_refused = is_lost() or link in self.unreachable
            if upstream.down or is_refused:
                report(AttemptEnd.NOT_SENT, detail="not_sent")
                return
            self.arrivals.append(
                Arrival(
                    self.now,
                    action.request,
                    action.upstream.upstream,
                    name,
                )
            )
            upstream.running.add(key)
            self.lost_reports[key] = report
            if self.crashes_are_silent:
                expired_at = action.deadline + RELAY_REPLY_GRACE_S
                self.at(max(self.now, expired_at), expire)
            if CRASHING in action.request.target:
                self.after(self.crash_after_s, crash)
                return
            work_s = self.rng.uniform(*self.work_range_s)
            end = self.now + work_s
            if self.has_queues:
                end = upstream.run(self.now, work_s)
            self.at(end, finish)

        def expire() -> None:
            if key in self.silenced:
                report(AttemptEnd.LOST, timed_out=True)

        def crash() -> None:
            if key in upstream.running:
                self.crash(upstream, action.request.target)

        def hang() -> None:
            # Half of the attempts wait for a new connection, which hangs.
            if self.rng.random() < 0.5:
                self.unsent[key] = report
                self.after(CONNECT_TIMEOUT_S, connect_failed)
                return
            expired_at = action.deadline + RELAY_REPLY_GRACE_S
            self.at(
                max(self.now, expired_at),
                lambda: report(AttemptEnd.LOST, timed_out=True),
            )

        def connect_failed() -> None:
            if self.unsent.pop(key, None) is not None:
                report(AttemptEnd.NOT_SENT, detail="not_sent")

        def finish() -> None:
            if key not in upstream.running or is_lost():
                return
            load = upstream.load() if self.has_queues else None
            upstream.running.discard(key)
            self.lost_reports.pop(key, None)
            stamp = f"{action.upstream.upstream}.{key[1]}"
            report(
                AttemptEnd.RESULT,
                status=200,
                body=b"",
                stamp=stamp,
                terms=upstream.terms,
                load=load,
            )

        self.after(way_s, arrive)

    def crash(self, upstream: SimulatedUpstream, target: str = "") -> None:
        """Crashes an upstream and restarts it after a time."""
        if target:
            self.crashes.append((self.now, target))
        upstream.down = True
        running, upstream.running = upstream.running, set()
        if self.crashes_are_silent:
            self.silenced |= running
            running = set()
        for key in sorted(running):
            self.lost_reports.pop(key)(
                AttemptEnd.LOST, detail="lost", connection_closed=True
            )
        self.after(DOWN_S, lambda: self.restart(upstream))

    def reset_connections(self) -> None:
        """Resets all connections to upstreams, which go on running."""
        for upstream in self.upstreams.values():
            running, upstream.running = upstream.running, set()
            for key in sorted(running):
                self.lost_reports.pop(key)(
                    AttemptEnd.LOST, detail="lost", connection_closed=True
                )

    def cut(self, names: list[str], how: str) -> None:
        """Cuts instances off from all upstreams."""
        self.cut_off.update(dict.fromkeys(names, how))
        if how == KEPT:
            return
        for upstream in self.upstreams.values():
            for key in sorted(upstream.running):
                if key[0] not in names:
                    continue
                upstream.running.discard(key)
                report = self.lost_reports.pop(key)
                if how == REFUSED:
                    report(AttemptEnd.LOST, connection_closed=True)
                else:
                    self.after(
                        1.0,
                        functools.partial(
                            report, AttemptEnd.LOST, timed_out=True
                        ),
                    )

    def served_share(
        self, names: list[str], since: float, until: float
    ) -> float:
        """Returns the served share of the requests to some instances."""
        requests = [
            request
            for number, request in self.sent.items()
            if self.entered[number] in names
            and since <= request.arrived < until
        ]
        served = 0
        for request in requests:
            at, answer = self.answers.get(request.request_id, (0.0, None))
            in_time = at < request.deadline
            served += in_time and isinstance(
                answer, MergedAnswer | RelayedAnswer
            )
        return served / len(requests)

    def knowing(self, fingerprint: str) -> list[str]:
        """Returns the instances at which a fingerprint is quarantined."""
        return [
            name
            for name, forwarder in self.instances.items()
            if forwarder.quarantine.quarantined(fingerprint, self.now)
        ]

    def restart(self, upstream: SimulatedUpstream) -> None:
        """Starts a crashed upstream again as a new incarnation."""
        upstream.down = False
        upstream.announcement = dataclasses.replace(
            upstream.announcement,
            started_ms=upstream.announcement.started_ms + 1,
        )
        announcement = upstream.announcement

        def announce() -> None:
            for name, forwarder in self.instances.items():
                self.carry_out(
                    name,
                    forwarder.handle_upstream_end(
                        announcement.upstream, announcement, self.now
                    ),
                )
                forwarder.announce(announcement, self.now)

        self.after(ANNOUNCE_DELAY_S, announce)

    def late_sends(self, target: str, contact_s: float) -> int:
        """Returns the sends of a target after its third crash is known.

        Args:
          target: Target of the request that crashes upstreams.
          contact_s: Time after the third crash in which sends do not count.
        """
        times = sorted(at for at, of in self.crashes if of == target)
        if len(times) < 3:
            return 0
        return sum(
            arrival.request.target == target
            and arrival.at > times[2] + contact_s
            for arrival in self.arrivals
        )

    def times_of_arrivals(self, upstream: str) -> list[float]:
        """Returns when attempts arrived at an upstream."""
        return [one.at for one in self.arrivals if one.upstream == upstream]

    def most_told_arrivals(self, upstream: str, window_s: float) -> int:
        """Returns the most arrivals within a time at a limited upstream.

        Only those from instances that had been told of the limit half a second
        before count.
        """
        times = [
            arrival.at
            for arrival in self.arrivals
            if arrival.upstream == upstream
            and arrival.at
            > self.told.get((arrival.instance, upstream), math.inf) + 0.5
        ]
        return max(
            (
                bisect.bisect_left(times, at + window_s) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    def crash_count(self, target: str) -> int:
        """Returns how many upstreams a target has crashed."""
        return sum(of == target for _, of in self.crashes)

    def outcomes(self, prefix: str) -> Counter[str]:
        """Counts the answers to the requests under a prefix by their kind."""
        found: Counter[str] = Counter()
        for request_id, request in self.sent.items():
            if not request.target.startswith(prefix):
                continue
            _, answer = self.answers.get(request_id, (0.0, None))
            if isinstance(answer, RefusedAnswer):
                found[answer.refusal.value] += 1
            else:
                found["served" if answer is not None else "none"] += 1
        return found
