"""Core of forwarding: requests, replies and announcements in, actions out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    attempts,
    conclusion,
    division,
    helping,
    opening,
    regional,
)
from arbutusbridge.forwarding.exchange import Exchange, Part
from arbutusbridge.forwarding.gather import (
    GatherAck,
    GatherCancel,
    GatherReply,
    GatherRequest,
)
from arbutusbridge.forwarding.messages import (
    AttemptEnd,
    Refusal,
    RefusedAnswer,
    UpstreamReply,
)
from arbutusbridge.forwarding.routes import RouteTable
from arbutusbridge.forwarding.shared import SharedState

if TYPE_CHECKING:
    from arbutusbridge.forwarding.gather import GatherMessage, Peer
    from arbutusbridge.forwarding.model import (
        Announcement,
        CallerRequest,
        RoutingConfiguration,
    )
    from arbutusbridge.forwarding.upstreams import OpenAttempt

LAG_WEIGHT = 0.1
"""Part of a new timer's lateness in the smoothed one."""

BUSY_LAG_THRESHOLD_S = 0.02
"""Lateness of a timer from which an instance asks nothing more for a peer until
it has read what the peer says meanwhile; it may have turned to another."""

MAX_LAG_S = 0.1
"""Largest lateness that counts; a longer one is a pause of the process."""

MAX_REMOTE_CONNECTIONS = 8
"""Peers of other regions that connections are opened to before they are
needed; a first message over a new one takes a few ways longer."""

LAGS_PER_REQUEST = 2.0
"""Times that a request waits for the instance: when read, when answered."""

NOT_READY_RETRY_AFTER_S = 0.5
"""When to come back to an instance that knows no configuration yet."""


class Forwarder(SharedState):
    """Event entry of one instance."""

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

    def arrive(self, request: CallerRequest, now: float) -> list[object]:
        """Takes a caller's request; returns its first actions."""
        out: list[object] = []
        table = self.table
        if table is None:
            self.refuse(
                request, Refusal.NOT_READY, NOT_READY_RETRY_AFTER_S, out
            )
            return out
        route = table.find(request.host, request.target)
        if route is None:
            self.refuse(request, Refusal.NO_ROUTE, None, out)
            return out
        services = route.shards or (table.next_service(route),)
        version = table.configuration.version
        exchange = Exchange.begin(
            request, route, version, services, LAGS_PER_REQUEST * self.lag_s
        )
        opening.start(exchange, self, now, out)
        return out

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
        out.append(RefusedAnswer(request, refusal, retry_after_s))

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
            conclusion.follow_up(exchange, self, now, out)
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
        late = min(now - exchange.wake_at, MAX_LAG_S)
        if exchange.gather is not None and late > BUSY_LAG_THRESHOLD_S:
            attempts.look_later(exchange, now)
        self.lag_s += (late - self.lag_s) * LAG_WEIGHT
        regional.look(exchange, self, now, out)
        attempts.look(exchange, self, now, out)
        exchange.wake_at = float("inf")
        conclusion.follow_up(exchange, self, now, out)
        return out

    def abandon(self, request: CallerRequest, now: float) -> list[object]:
        """Takes the end of a caller's connection."""
        return conclusion.abandon(request, self, now)

    def likely_peers(self, now: float) -> list[Peer]:
        """Returns the peers that requests are about to need."""
        gather = self.gather
        peers = list(gather.book.peers.values())
        likely = [
            one for one in peers if not self.place.is_near(one.data_centre)
        ][:MAX_REMOTE_CONNECTIONS]
        if gather.own is not None:
            for data_centre in self.place.near:
                shards = self.held_shards(data_centre)
                members = gather.book.members(data_centre)
                name = gather.own.name
                likely += division.helpers(members, name, shards, now)
        return likely

    def recount(self, instances: int) -> None:
        """Takes the number of instances; finds who asks wide requests."""
        self.instances = instances
        self.wide = self.find_wide()
        self.askers = 0
        own = self.gather.own
        if own is not None and self.wide:
            held = self.held_shards(own.data_centre)
            members = [*self.gather.book.members(own.data_centre), own]
            self.askers = division.helper_count(members, own.name, held)

    def find_wide(self) -> frozenset[str]:
        """Returns the shards of the widest route if any instance divides it."""
        own = self.gather.own
        if own is None or self.table is None:
            return frozenset()
        known = [own, *self.gather.book.peers.values()]
        weakest = min(one.capacity for one in known)
        shards = self.table.widest_shards
        wide = division.is_wide(len(shards), weakest)
        return frozenset(shards) if wide else frozenset()

    def held_shards(self, data_centre: str) -> int:
        """Returns how many of the wide shards a data centre holds."""
        services = self.directory.services
        return sum(
            any(
                one.announcement.data_centre == data_centre
                for one in services.get(service, {}).values()
            )
            for service in self.wide
        )

    def hear(self, message: GatherMessage, now: float) -> list[object]:
        """Takes a message of another instance."""
        out: list[object] = []
        match message:
            case GatherRequest():
                helping.on_ask(message, self, now, out)
            case GatherAck():
                helping.on_taken(message, self, now, out)
            case GatherReply():
                helping.on_reply(message, self, now, out)
            case GatherCancel():
                helping.on_cancel(message, self, now, out)
        return out

    def finish_all(self, now: float) -> list[object]:
        """Gives every open request its final answer, for a planned stop."""
        out: list[object] = []
        for exchange in list(self.exchanges.values()):
            exchange.answer_by = exchange.give_up_at = now
            conclusion.conclude(exchange, self, now, out)
        return out
