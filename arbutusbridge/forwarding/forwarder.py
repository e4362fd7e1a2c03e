"""Core of forwarding: requests, replies and announcements in, actions out."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    attempts,
    conclusion,
    division,
    regional,
)
from arbutusbridge.forwarding.budget import ExtraBounds, ServiceBudget
from arbutusbridge.forwarding.exchange import Exchange, Part
from arbutusbridge.forwarding.gather import (
    GatherAsk,
    GatherCancel,
    GatherReply,
    GatherState,
    GatherTaken,
)
from arbutusbridge.forwarding.messages import (
    AttemptEnd,
    Refusal,
    Refused,
    UpstreamReply,
    WakeAt,
)
from arbutusbridge.forwarding.routes import RouteTable
from arbutusbridge.forwarding.upstreams import Directory, ReplyTimes

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from arbutusbridge.forwarding.choice import Place
    from arbutusbridge.forwarding.gather import GatherMessage, Peer
    from arbutusbridge.forwarding.model import (
        Announcement,
        CallerRequest,
        RoutingConfiguration,
    )
    from arbutusbridge.forwarding.upstreams import OpenAttempt

LAG_WEIGHT = 0.1
"""Part of a new timer's lateness in the smoothed one."""

MOST_LAG_S = 0.1
"""Largest lateness that counts; a longer one is a pause of the process."""

MOST_FAR_LINKS = 8
"""Peers of other regions that connections are opened to before they are
needed; a first message over a new one takes a few ways longer."""

LAGS_A_REQUEST = 2.0
"""Times that a request waits for the instance: when read, when answered."""

NOT_READY_RETRY_S = 0.5
"""When to come back to an instance that knows no configuration yet."""


class Forwarder:
    """What all requests of one instance share, and its event entry.

    Attributes:
      place: Where this instance runs.
      table: Routes in force, None before the first configuration.
      directory: Upstreams as announced.
      times: Usual reply times.
      budgets: Extra arrivals by service.
      attempts: Attempts without an end by id.
      exchanges: Requests without a final answer.
      gather: What instances ask of each other.
      instances: Instances that the extra arrivals are shared with.
      counts: Decisions by name, for the metrics.
      lag_s: Smoothed time by which timers come late, a measure of how busy
        this instance is.
      confirmed: Returns when the store last confirmed what is known.
    """

    def __init__(
        self,
        place: Place,
        bounds: ExtraBounds,
        rng: random.Random,
        started: float = 0.0,
    ) -> None:
        self.place = place
        self.bounds = bounds
        self.rng = rng
        self.started = started
        self.table: RouteTable | None = None
        self.directory = Directory()
        self.times = ReplyTimes()
        self.budgets: dict[str, ServiceBudget] = {}
        self.attempts: dict[int, OpenAttempt] = {}
        self.exchanges: dict[CallerRequest, Exchange] = {}
        self.gather = GatherState()
        self.instances = 1
        self.counts: Counter[str] = Counter()
        self.confirmed: Callable[[], float] = lambda: started
        self.lag_s = 0.0
        self.last_attempt = 0

    def count(self, what: str) -> None:
        """Counts a decision that has no log line of its own."""
        self.counts[what] += 1

    def store_age_ms(self, now: float) -> int:
        """Returns the age of what the store last confirmed."""
        return round((now - self.confirmed()) * 1000)

    def budget(self, service: str, now: float) -> ServiceBudget:
        """Returns the extra arrivals of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = ServiceBudget(self.bounds, self.started)
            self.budgets[service] = budget
        return budget

    def rebound(self, bounds: ExtraBounds) -> None:
        """Takes another bound on extra arrivals."""
        self.bounds = bounds
        for budget in self.budgets.values():
            budget.bounds = bounds

    def configure(self, configuration: RoutingConfiguration) -> bool:
        """Puts a configuration in force unless it is no newer.

        Requests on their way keep the route that they came with.
        """
        table = self.table
        if table and configuration.version <= table.configuration.version:
            return False
        self.table = RouteTable(configuration)
        return True

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Takes what an upstream says of itself."""
        return self.directory.announce(announcement, now)

    def withdraw(self, upstream: str) -> None:
        """Takes the end of an upstream's announcement."""
        self.directory.remove(upstream)

    def likely_peers(self, now: float) -> list[Peer]:
        """Returns the peers that requests are about to need."""
        gather = self.gather
        peers = list(gather.book.peers.values())
        likely = [
            one for one in peers if not self.place.is_near(one.data_centre)
        ][:MOST_FAR_LINKS]
        if gather.own is not None:
            for data_centre in self.place.near:
                shards = self.held_shards(data_centre)
                members = gather.book.members(data_centre)
                name = gather.own.name
                likely += division.helpers(members, name, shards, now)
        return likely

    def askers(self) -> int:
        """Returns how many instances ask each shard of a wide request.

        It is 0 if this instance does not, or if no request is wide.
        """
        own = self.gather.own
        if own is None:
            return 0
        shards = self.held_shards(own.data_centre)
        members = [*self.gather.book.members(own.data_centre), own]
        return division.helper_count(members, own.name, shards)

    def held_shards(self, data_centre: str) -> int:
        """Returns how many shards a data centre holds of the widest route.

        It is 0 if no route is wide.
        """
        own = self.gather.own
        shards = self.table.widest_shards if self.table else ()
        if own is None or not division.is_wide(len(shards), own.capacity):
            return 0
        services = self.directory.services
        return sum(
            any(
                one.announcement.data_centre == data_centre
                for one in services.get(service, {}).values()
            )
            for service in shards
        )

    def arrive(self, request: CallerRequest, now: float) -> list[object]:
        """Takes a caller's request; returns its first actions."""
        out: list[object] = []
        table = self.table
        if table is None:
            self.refuse(request, Refusal.NOT_READY, NOT_READY_RETRY_S, out)
            return out
        route = table.find(request.host, request.target)
        if route is None:
            self.refuse(request, Refusal.NO_ROUTE, None, out)
            return out
        services = route.shards or (table.next_service(route),)
        version = table.configuration.version
        exchange = Exchange.begin(
            request, route, version, services, LAGS_A_REQUEST * self.lag_s
        )
        self.start(exchange, now, out)
        return out

    def start(self, exchange: Exchange, now: float, out: list[object]) -> None:
        """Sends the first attempts of a request, if enough can be served."""
        self.exchanges[exchange.request] = exchange
        if self.servable(exchange, now):
            if exchange.route.shards:
                regional.hand_out(exchange, self, now, out)
            for part in exchange.parts:
                if part.group is None:
                    attempts.begin_part(exchange, part, self, now, out)
        self.follow_up(exchange, now, out)

    def servable(self, exchange: Exchange, now: float) -> bool:
        """Gives up parts without upstreams; tells whether enough are left.

        Upstreams that have just refused connections count as none if too few
        parts are left without them.
        """
        unreachable = []
        for part in exchange.parts:
            usable = self.directory.usable(part.service, now)
            if not usable:
                part.given_up = True
            elif all(one.unreachable_until > now for one in usable):
                unreachable.append(part)
        if exchange.covers(exchange.attainable - len(unreachable)):
            return True
        for part in unreachable:
            part.given_up = True
        return False

    def refuse(
        self,
        request: CallerRequest,
        refusal: Refusal,
        retry_after_s: float | None,
        out: list[object],
    ) -> None:
        """Answers a request that goes nowhere."""
        version = self.table.configuration.version if self.table else 0
        detail = {
            "outcome": refusal.value,
            "host": request.host,
            "target": request.target[:80],
            "version": version,
        }
        out.append(Decision(request.request_id, "answer", detail))
        out.append(Refused(request, refusal, retry_after_s))

    def replies(self, batch: list[UpstreamReply], now: float) -> list[object]:
        """Takes the ends of attempts; returns the actions that follow."""
        out: list[object] = []
        touched: dict[Exchange, None] = {}
        for reply in batch:
            attempt = self.attempts.pop(reply.attempt_id, None)
            if attempt is None:
                continue
            self.observe(attempt, reply, now, out)
            if attempt.dropped:
                continue
            exchange, part = attempt.owner, attempt.part
            assert isinstance(exchange, Exchange) and isinstance(part, Part)
            part.open.remove(attempt)
            attempts.on_end(exchange, part, reply, self, now, out)
            touched[exchange] = None
        for exchange in touched:
            self.follow_up(exchange, now, out)
        return out

    def observe(
        self,
        attempt: OpenAttempt,
        reply: UpstreamReply,
        now: float,
        out: list[object],
    ) -> None:
        """Takes what the end of an attempt says of its upstream."""
        upstream = attempt.upstream
        del upstream.open[attempt.attempt_id]
        upstream.observe(attempt, reply.end, now)
        if reply.load is not None:
            upstream.load = reply.load
            upstream.load_at = now
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        if reply.end is AttemptEnd.RESULT:
            data_centre = upstream.announcement.data_centre
            self.times.add(exchange.route, data_centre, now - attempt.sent_at)
        elif reply.end is AttemptEnd.MISDIRECTED:
            upstream.gone = True
        elif reply.end is AttemptEnd.NOT_SENT and attempt.extra:
            part = attempt.part
            assert isinstance(part, Part)
            self.budget(part.service, now).note_extra(now, -1)

    def wake(self, request: CallerRequest, now: float) -> list[object]:
        """Takes a due timer of a request."""
        out: list[object] = []
        exchange = self.exchanges.get(request)
        if exchange is None or now < exchange.wake_at:
            return out
        late = min(now - exchange.wake_at, MOST_LAG_S)
        self.lag_s += (late - self.lag_s) * LAG_WEIGHT
        regional.look(exchange, self, now, out)
        attempts.look(exchange, self, now, out)
        exchange.wake_at = float("inf")
        self.follow_up(exchange, now, out)
        return out

    def abandon(self, request: CallerRequest, now: float) -> list[object]:
        """Takes the end of a caller's connection.

        Work that may be repeated is stopped at once; what runs once is let
        run, since it can't be undone.
        """
        out: list[object] = []
        exchange = self.exchanges.pop(request, None)
        if exchange is None:
            return out
        exchange.finished = True
        self.let_go(exchange, out)
        for part in exchange.parts:
            attempts.drop_open(part, exchange.route.idempotent, self, out)
        age_ms = round((now - request.arrived) * 1000)
        detail = {"route": exchange.route.name, "age_ms": age_ms}
        out.append(Decision(request.request_id, "caller_left", detail))
        return out

    def follow_up(
        self, exchange: Exchange, now: float, out: list[object]
    ) -> None:
        """Answers a request if it is time, or sets its next timer."""
        conclusion.conclude(exchange, self, now, out)
        if exchange.finished:
            return
        times = [part.look_at for part in exchange.parts if part.pending]
        times += [
            group.look_at
            for group in exchange.groups
            if not group.given_up and group.gather_id in self.gather.groups
        ]
        times.append(exchange.give_up_at)
        if exchange.answer_by > now:
            times.append(exchange.answer_by)
        earliest = min(times)
        if earliest < exchange.wake_at:
            exchange.wake_at = earliest
            out.append(WakeAt(earliest, exchange.request))

    def let_go(self, exchange: Exchange, out: list[object]) -> None:
        """Takes a finished request out of what peers do for each other."""
        regional.cancel(exchange, self, out)
        ask = exchange.gather
        if ask is not None:
            self.gather.taken.pop((ask.reply_to, ask.gather_id), None)

    def hear(self, message: GatherMessage, now: float) -> list[object]:
        """Takes a message of another instance."""
        out: list[object] = []
        match message:
            case GatherAsk():
                regional.on_ask(message, self, now, out)
            case GatherTaken():
                regional.on_taken(message, self, now, out)
            case GatherReply():
                regional.on_reply(message, self, now, out)
            case GatherCancel():
                regional.on_cancel(message, self, now, out)
        return out

    def finish_all(self, now: float) -> list[object]:
        """Gives every open request its final answer, for a planned stop."""
        out: list[object] = []
        for exchange in list(self.exchanges.values()):
            exchange.answer_by = exchange.give_up_at = now
            conclusion.conclude(exchange, self, now, out)
        return out
