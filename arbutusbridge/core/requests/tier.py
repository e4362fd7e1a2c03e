"""State that all requests of one instance share, and its event entry."""

from __future__ import annotations

import weakref
from typing import TYPE_CHECKING

from arbutusbridge.core.claims.claims import PAGE_TIMER, ClaimWriter
from arbutusbridge.core.messages import (
    CRASH_KINDS,
    BroadcastNotice,
    Cancel,
    Decision,
    NoticeKind,
    ReplyKind,
)
from arbutusbridge.core.requests import charging, limits, routing, standing
from arbutusbridge.core.requests.drain import SEPARATOR, Departures
from arbutusbridge.core.requests.flights import Flight, ShardTask
from arbutusbridge.core.requests.hedging import Pace
from arbutusbridge.core.requests.intake import GIVE_UP_TOKEN, Intake
from arbutusbridge.core.requests.observations import UpstreamView
from arbutusbridge.core.requests.once import Record
from arbutusbridge.core.requests.query import DEADLINE_TOKEN, LOOK_TOKEN, Query
from arbutusbridge.core.requests.refusals import KnownKeys
from arbutusbridge.core.requests.snapshots import Catalogue

if TYPE_CHECKING:
    import random

    from arbutusbridge.core.membership.shares import Allocation
    from arbutusbridge.core.messages import (
        Action,
        Attempt,
        Notice,
        RecordRequest,
        Reply,
        SearchRequest,
        StoreResult,
    )
    from arbutusbridge.core.model import Configuration, Shard
    from arbutusbridge.core.requests.routing import Picker
    from arbutusbridge.core.requests.snapshots import Serving


class Tier:
    """Core of one instance: requests and replies in, actions out.

    Attributes:
      configuration: The version in force for new requests, None at first.
      pick: Choice of the replica that an attempt goes to.
      views: Own observations of each upstream.
      catalogue: Index versions served, None before a configuration.
      catalogues: Those of every configuration that is still in use.
      paces: Reply times and budgets by service.
      intake: Where callers' requests are admitted, shared or refused.
      instances: Instances that the upstreams are shared with, None when
        no count is known and no limit applies.
      shares: This instance's share of each upstream.
      allocation: Connections that the instances agreed on, None when the
        shares follow the count alone.
      freed: Upstreams with a backlog that have room again.
      queries: Running scatters by the request id of their first member.
      flights: Attempts without a reply by attempt id.
      late_replies: Replies dropped because nobody waits for them.
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        intake: Intake | None = None,
    ) -> None:
        self.data_centre = data_centre
        self.rng = rng
        self.configuration: Configuration | None = None
        self.pick: Picker = routing.pick_by_cost
        self.views: dict[str, UpstreamView] = {}
        self.catalogue: Catalogue | None = None
        self.catalogues: weakref.WeakSet[Catalogue] = weakref.WeakSet()
        self.paces: dict[str, Pace] = {}
        self.queries: dict[str, Query] = {}
        self.records: dict[str, Record] = {}
        self.claims = ClaimWriter()
        self.known_keys = KnownKeys()
        self.departures = Departures()
        self.flights: dict[int, Flight] = {}
        self.intake = intake or Intake()
        self.instances: int | None = None
        self.shares: dict[str, limits.Share] = {}
        self.allocation: Allocation | None = None
        self.freed: list[UpstreamView] = []
        self.last_waiting = 0
        self.late_replies = 0
        self.last_attempt = 0

    def configure(self, configuration: Configuration) -> None:
        """Puts a configuration in force; running queries keep their own."""
        self.configuration = configuration
        for name, upstream in configuration.upstreams.items():
            local = upstream.data_centre == self.data_centre
            self.views.setdefault(name, UpstreamView(name, local))
        for name in self.departures.configure(configuration.upstreams):
            standing.note_back(self, self.views[name])
        for name in self.departures.left:
            if name in self.views:
                standing.note_leaving(self, self.views[name])
        self.forget_removed(configuration)
        self.catalogue = Catalogue.build(configuration, self.views)
        self.catalogues.add(self.catalogue)
        for service, layouts in configuration.layouts.items():
            if service not in self.paces:
                self.paces[service] = Pace.for_layouts(layouts)
        if self.instances is not None:
            self.recount(self.instances)

    def forget_removed(self, configuration: Configuration) -> None:
        """Forgets upstreams that the register no longer lists.

        A running query keeps what it knows of them, but for sending more.
        """
        listed = configuration.upstreams
        for name in [name for name in self.views if name not in listed]:
            standing.note_leaving(self, self.views.pop(name))

    def recount(self, instances: int) -> None:
        """Shares the upstreams out over a new count of live instances."""
        self.instances = instances
        self.claims.set_instance_count(instances)
        if self.configuration is not None:
            self.shares = limits.share_out(
                self.configuration, self.views, instances, self.allocation
            )

    def allot(self, allocation: Allocation, now: float) -> list[Action]:
        """Bounds the limits by the connections that may be held."""
        out: list[Action] = []
        if allocation == self.allocation:
            return out
        self.allocation = allocation
        if self.instances is not None:
            self.recount(self.instances)
        self.freed += [view for view in self.views.values() if view.backlog]
        self.follow_up(now, out)
        return out

    def search(self, request: SearchRequest, now: float) -> list[Action]:
        """Takes a caller's search; returns its first actions."""
        out: list[Action] = []
        self.intake.search(request, self, now, out)
        self.follow_up(now, out)
        return out

    def record(self, request: RecordRequest, now: float) -> list[Action]:
        """Takes a caller's non-idempotent request."""
        out: list[Action] = []
        self.intake.record(request, self, now, out)
        self.follow_up(now, out)
        return out

    def follow_up(self, now: float, out: list[Action]) -> None:
        """Uses the room that the event before has left."""
        if self.departures.untold:
            out += self.spread()
        if self.freed:
            limits.fill_room(self, now, out)
        if self.intake.admission.heap:
            self.intake.pump(self, now, out)

    def spread(self) -> list[Action]:
        """Tells the others of the upstreams that began to leave."""
        out: list[Action] = []
        for notice in self.departures.untold:
            name = notice.subject.partition(SEPARATOR)[0]
            out.append(Decision("", "leaving", {"upstream": name}))
            out.append(BroadcastNotice(notice))
        self.departures.untold.clear()
        return out

    def store_result(self, result: StoreResult, now: float) -> list[Action]:
        """Takes the result of a store call for a page of claims."""
        out: list[Action] = []
        self.claims.on_store(result, now, out)
        self.follow_up(now, out)
        return out

    def replies(self, batch: list[Reply], now: float) -> list[Action]:
        """Takes what upstreams said; returns the actions that follow."""
        out: list[Action] = []
        flights = self.flights
        self.note_losses(batch, now)
        for reply in batch:
            flight = flights.get(reply.attempt_id)
            if flight is None or flight.view.name != reply.upstream:
                self.late_replies += 1
                standing.observe_late(self, reply, now)
                continue
            del flights[reply.attempt_id]
            owner = flight.owner
            task = flight.task
            task.open.remove(flight)
            standing.observe(self, reply, flight, now)
            owner.on_reply(reply, task, self, now, out)
            if reply.kind is ReplyKind.LOST and isinstance(owner, Record):
                charging.charge_record(owner, task, reply, self, now, out)
            if owner.finished:
                self.forget_if_finished(owner, now)
        self.follow_up(now, out)
        return out

    def note_losses(self, batch: list[Reply], now: float) -> None:
        """Notes which requests were lost where, before any is weighed."""
        for reply in batch:
            if reply.kind in CRASH_KINDS:
                flight = self.flights.get(reply.attempt_id)
                if flight is not None:
                    self.intake.quarantine.note_loss(
                        reply.upstream, flight.owner.fingerprint, now
                    )

    def closed(self, upstreams: list[str], now: float) -> None:
        """Takes that upstreams closed the connections they kept idle."""
        for name in upstreams:
            self.intake.quarantine.note_closed(name, now)

    def wake(self, token: tuple[str, str], now: float) -> list[Action]:
        """Takes a due timer; returns the actions that follow."""
        out: list[Action] = []
        kind, request_id = token
        record = self.records.get(request_id)
        if kind == PAGE_TIMER:
            self.claims.on_timer(request_id, now, out)
        elif kind == GIVE_UP_TOKEN:
            self.intake.on_give_up(request_id, out)
        elif record is not None:
            record.on_deadline(out)
            self.forget_if_finished(record)
        elif kind == DEADLINE_TOKEN:
            self.intake.on_deadline(request_id, self, now, out)
        elif kind == LOOK_TOKEN:
            self.look(request_id, now, out)
        self.follow_up(now, out)
        return out

    def look(self, request_id: str, now: float, out: list[Action]) -> None:
        """Lets a running search look for stragglers."""
        query = self.queries.get(request_id)
        if query is not None and not query.finished:
            query.on_look(self, now, out)
            self.forget_if_finished(query, now)

    def abandon(self, request_id: str, now: float) -> list[Action]:
        """Drops a search whose caller has gone."""
        out: list[Action] = []
        self.intake.abandon(request_id, self, now, out)
        self.follow_up(now, out)
        return out

    def report(
        self,
        upstream: str,
        held: dict[str, tuple[tuple[int, int], ...]],
        load: float | None,
        leaving: bool,
        now: float = 0.0,
        incarnation: int = 0,
    ) -> None:
        """Takes an upstream's status report.

        An upstream that is first heard of while others serve is given its
        share of the attempts by and by.
        """
        view = self.views.get(upstream)
        if view is None:
            view = self.views[upstream] = UpstreamView(upstream)
        if not view.held and self.last_attempt:
            view.ramp(now)
        if self.departures.see(upstream, incarnation):
            standing.note_back(self, view)
        for service, versions in held.items():
            if versions != view.held.get(service):
                standing.note_held(self, view, service, versions)
        view.heard_at = now
        view.reported(now)
        view.reported_load = load
        view.relax()
        if leaving and self.departures.sign(upstream, incarnation):
            standing.note_leaving(self, view)

    def hear(self, notice: Notice, now: float) -> list[Action]:
        """Takes a finding of another instance."""
        out: list[Action] = []
        if notice.kind is NoticeKind.LEAVING:
            name = self.departures.hear(notice)
            if name in self.views:
                standing.note_leaving(self, self.views[name])
        else:
            charging.hear(notice, self, now, out)
        self.follow_up(now, out)
        return out

    def best_serving(self, service: str) -> Serving | None:
        """Returns the index version that a request begun now is sent to."""
        return self.catalogue.best(service) if self.catalogue else None

    def servable(self) -> bool:
        """Tells whether every service is known to be served whole."""
        if self.configuration is None:
            return False
        for service in self.configuration.layouts:
            serving = self.best_serving(service)
            if serving is None or serving.weight < serving.layout.total_weight:
                return False
        return True

    def fly_record(
        self,
        attempt: Attempt,
        record: Record,
        view: UpstreamView,
        shard: Shard,
        now: float,
    ) -> None:
        """Notes a record's single attempt as sent."""
        task = ShardTask(shard)
        flight = Flight(attempt.attempt_id, record, task, view, now)
        task.open.append(flight)
        self.flights[attempt.attempt_id] = flight

    def cancel_all(
        self, task: ShardTask, now: float, out: list[Action]
    ) -> None:
        """Cancels the open attempts of a shard.

        An attempt older than its upstream's usual reply time counts as a
        sample of its age there, or slow upstreams would never be seen. The
        service's window takes results alone: ages depend on when a query
        looks for stragglers, which follows from the window.
        """
        for flight in task.open:
            view = flight.view
            del self.flights[flight.attempt_id]
            view.in_flight -= 1
            if view.backlog:
                self.freed.append(view)
            age = now - flight.sent_at
            if age > view.latency:
                view.observe_at_least(age)
            out.append(Cancel(flight.attempt_id, view.name))
        task.open.clear()

    def next_attempt(self) -> int:
        """Returns an attempt id never used before at this instance."""
        self.last_attempt += 1
        return self.last_attempt

    def forget_if_finished(
        self, owner: Query | Record, now: float | None = None
    ) -> None:
        """Drops the state of a finished request.

        Args:
          owner: The request.
          now: The time, where its latency is to be learnt from.
        """
        if owner.finished:
            self.queries.pop(owner.request.request_id, None)
            self.records.pop(owner.request.request_id, None)
            self.intake.ended(owner, now)
