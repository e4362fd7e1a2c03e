"""State shared by all requests of one instance, and its event handlers."""

from __future__ import annotations

import weakref
from typing import TYPE_CHECKING

from arbutusbridge.core import keys
from arbutusbridge.core.claims.claims import PAGE_TIMER, ClaimWriter
from arbutusbridge.core.messages import (
    CRASH_KINDS,
    BroadcastNotice,
    Cancel,
    Decision,
    NoticeKind,
    ReplyKind,
)
from arbutusbridge.core.requests import (
    charging,
    limits,
    routing,
    upstream_updates,
)
from arbutusbridge.core.requests.drain import SUBJECT_SEPARATOR, DrainTracker
from arbutusbridge.core.requests.hedging import HedgingState
from arbutusbridge.core.requests.index_versions import VersionCatalogue
from arbutusbridge.core.requests.intake import GIVE_UP_TOKEN, Intake
from arbutusbridge.core.requests.observations import UpstreamView
from arbutusbridge.core.requests.pending_attempts import (
    PendingAttempt,
    ShardTask,
)
from arbutusbridge.core.requests.query import (
    DEADLINE_TOKEN,
    STRAGGLER_CHECK_TOKEN,
    Query,
)
from arbutusbridge.core.requests.records import Record
from arbutusbridge.core.requests.refusals import RecentKeys

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
    from arbutusbridge.core.requests.index_versions import ServedVersion
    from arbutusbridge.core.requests.routing import Picker


class Tier:
    """Core of one instance, which turns events into actions.

    Attributes:
      data_centre: Data centre of the instance.
      configuration: Configuration for new requests, None at first.
      pick_replica: Function that picks the replica for an attempt.
      views: Own observations of each upstream, by name.
      catalogue: Index versions served under the current configuration, None
        before the first one.
      catalogues: Catalogues of all configurations still in use.
      hedging_states: Reply times and retry budgets by service.
      queries: Running scatters by the request id of their first member.
      records: Started records by request id.
      claims: Pages of claims in the store.
      claims_lost_before_ms: Creation time before which a key may have had a
        claim that the store has lost, in milliseconds since 1970.
      recent_keys: Keys of records that arrived at this instance.
      drain_tracker: Upstreams known to be leaving.
      pending_attempts: Attempts without a reply by attempt id.
      intake: Entry point that refuses, coalesces, queues or starts requests.
      instances: Number of instances that share the upstreams, None while it
        is unknown and no limit applies.
      shares: This instance's share of each upstream.
      allocation: Connections that the instances agreed on, None when the
        shares follow the number of instances alone.
      freed_views: Upstreams with a backlog that may be below their limit.
      last_backlog_number: Sequence number of the last queued shard.
      late_replies: Number of replies without an open attempt.
      last_attempt_id: Id of the last attempt.
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
        self.pick_replica: Picker = routing.pick_by_cost
        self.views: dict[str, UpstreamView] = {}
        self.catalogue: VersionCatalogue | None = None
        self.catalogues: weakref.WeakSet[VersionCatalogue] = weakref.WeakSet()
        self.hedging_states: dict[str, HedgingState] = {}
        self.queries: dict[str, Query] = {}
        self.records: dict[str, Record] = {}
        self.claims = ClaimWriter()
        self.claims_lost_before_ms = 0
        self.recent_keys = RecentKeys()
        self.drain_tracker = DrainTracker()
        self.pending_attempts: dict[int, PendingAttempt] = {}
        self.intake = intake or Intake()
        self.instances: int | None = None
        self.shares: dict[str, limits.Share] = {}
        self.allocation: Allocation | None = None
        self.freed_views: list[UpstreamView] = []
        self.last_backlog_number = 0
        self.late_replies = 0
        self.last_attempt_id = 0

    def configure(self, configuration: Configuration) -> None:
        """Applies a configuration to new requests; running ones keep theirs."""
        self.configuration = configuration
        for name, upstream in configuration.upstreams.items():
            local = upstream.data_centre == self.data_centre
            self.views.setdefault(name, UpstreamView(name, local))
        for name in self.drain_tracker.configure(configuration.upstreams):
            upstream_updates.restore_upstream(self, self.views[name])
        for name in self.drain_tracker.leaving_incarnations:
            if name in self.views:
                upstream_updates.withdraw_upstream(self, self.views[name])
        self.withdraw_removed(configuration)
        self.catalogue = VersionCatalogue.build(configuration, self.views)
        self.catalogues.add(self.catalogue)
        for service, layouts in configuration.layouts.items():
            if service not in self.hedging_states:
                self.hedging_states[service] = HedgingState.for_layouts(layouts)
        if self.instances is not None:
            self.set_instance_count(self.instances)

    def withdraw_removed(self, configuration: Configuration) -> None:
        """Removes upstreams that the register no longer lists.

        Running queries keep their open attempts there but send no more.
        """
        listed = configuration.upstreams
        for name in [name for name in self.views if name not in listed]:
            upstream_updates.withdraw_upstream(self, self.views.pop(name))

    def set_instance_count(self, instances: int) -> None:
        """Divides the upstreams among a new number of live instances."""
        self.instances = instances
        self.claims.set_instance_count(instances)
        if self.configuration is not None:
            self.shares = limits.apply_shares(
                self.configuration, self.views, instances, self.allocation
            )

    def set_allocation(
        self, allocation: Allocation, now: float
    ) -> list[Action]:
        """Bounds the limits by the connections allocated to this instance."""
        out: list[Action] = []
        if allocation == self.allocation:
            return out
        self.allocation = allocation
        if self.instances is not None:
            self.set_instance_count(self.instances)
        self.freed_views += [
            view for view in self.views.values() if view.backlog
        ]
        self.use_freed_capacity(now, out)
        return out

    def search(self, request: SearchRequest, now: float) -> list[Action]:
        """Handles a caller's search."""
        out: list[Action] = []
        self.intake.search(request, self, now, out)
        self.use_freed_capacity(now, out)
        return out

    def record(self, request: RecordRequest, now: float) -> list[Action]:
        """Handles a caller's non-idempotent request."""
        out: list[Action] = []
        self.intake.record(request, self, now, out)
        self.use_freed_capacity(now, out)
        return out

    def use_freed_capacity(self, now: float, out: list[Action]) -> None:
        """Sends and starts what waited for the capacity that an event freed.

        These are pending notices, then queued shards, then queued requests.
        """
        if self.drain_tracker.pending_notices:
            out += self.announce_leaving()
        if self.freed_views:
            limits.send_queued(self, now, out)
        if self.intake.admission.heap:
            self.intake.start_waiting(self, now, out)

    def announce_leaving(self) -> list[Action]:
        """Notifies the other instances of upstreams that reported to leave."""
        out: list[Action] = []
        for notice in self.drain_tracker.pending_notices:
            name = notice.subject.partition(SUBJECT_SEPARATOR)[0]
            out.append(Decision("", "leaving", {"upstream": name}))
            out.append(BroadcastNotice(notice))
        self.drain_tracker.pending_notices.clear()
        return out

    def on_store_restored(self, wall_ms: int) -> None:
        """Handles that the store has come back from an older copy before now.

        Claims of its last seconds may be lost.

        Args:
          wall_ms: Wall-clock time, in milliseconds since 1970.
        """
        self.claims.void_indexes()
        self.claims_lost_before_ms = wall_ms + keys.MAX_CLOCK_SKEW_MS

    def store_result(self, result: StoreResult, now: float) -> list[Action]:
        """Handles the result of a store call for a page of claims."""
        out: list[Action] = []
        self.claims.on_store(result, now, out)
        self.use_freed_capacity(now, out)
        return out

    def replies(self, batch: list[Reply], now: float) -> list[Action]:
        """Handles a batch of replies from upstreams."""
        out: list[Action] = []
        pending_attempts = self.pending_attempts
        self.record_losses(batch, now)
        for reply in batch:
            pending_attempt = pending_attempts.get(reply.attempt_id)
            if (
                pending_attempt is None
                or pending_attempt.view.name != reply.upstream
            ):
                self.late_replies += 1
                upstream_updates.observe_late_reply(self, reply, now)
                continue
            del pending_attempts[reply.attempt_id]
            owner = pending_attempt.owner
            task = pending_attempt.task
            task.open_attempts.remove(pending_attempt)
            upstream_updates.observe_reply(self, reply, pending_attempt, now)
            owner.on_reply(reply, task, self, now, out)
            if reply.kind is ReplyKind.LOST and isinstance(owner, Record):
                charging.charge_record(owner, task, reply, self, now, out)
            if owner.finished:
                self.discard_if_finished(owner, now)
        self.use_freed_capacity(now, out)
        return out

    def record_losses(self, batch: list[Reply], now: float) -> None:
        """Records all losses of a batch before any of them is charged."""
        for reply in batch:
            if reply.kind in CRASH_KINDS:
                pending_attempt = self.pending_attempts.get(reply.attempt_id)
                if pending_attempt is not None:
                    self.intake.quarantine.record_loss(
                        reply.upstream, pending_attempt.owner.fingerprint, now
                    )

    def on_idle_closed(self, upstreams: list[str], now: float) -> None:
        """Handles upstreams that closed their idle connections."""
        for name in upstreams:
            self.intake.quarantine.record_idle_close(name, now)

    def on_timer(self, token: tuple[str, str], now: float) -> list[Action]:
        """Handles a due timer."""
        out: list[Action] = []
        kind, request_id = token
        record = self.records.get(request_id)
        if kind == PAGE_TIMER:
            self.claims.on_timer(request_id, now, out)
        elif kind == GIVE_UP_TOKEN:
            self.intake.on_give_up(request_id, out)
        elif record is not None:
            record.on_deadline(out)
            self.discard_if_finished(record)
        elif kind == DEADLINE_TOKEN:
            self.intake.on_deadline(request_id, self, now, out)
        elif kind == STRAGGLER_CHECK_TOKEN:
            self.check_stragglers(request_id, now, out)
        self.use_freed_capacity(now, out)
        return out

    def check_stragglers(
        self, request_id: str, now: float, out: list[Action]
    ) -> None:
        """Runs the straggler check of a running search."""
        query = self.queries.get(request_id)
        if query is not None and not query.finished:
            query.on_straggler_check(self, now, out)
            self.discard_if_finished(query, now)

    def abandon(self, request_id: str, now: float) -> list[Action]:
        """Drops a request whose caller has disconnected."""
        out: list[Action] = []
        self.intake.abandon(request_id, self, now, out)
        self.use_freed_capacity(now, out)
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
        """Handles an upstream's status report.

        An upstream that first reports its versions after this instance has
        sent attempts ramps up to its share of them.
        """
        view = self.views.get(upstream)
        if view is None:
            view = self.views[upstream] = UpstreamView(upstream)
        if not view.held and self.last_attempt_id:
            view.start_ramp(now)
        if self.drain_tracker.observe_incarnation(upstream, incarnation):
            upstream_updates.restore_upstream(self, view)
        for service, versions in held.items():
            if versions != view.held.get(service):
                upstream_updates.update_held_versions(
                    self, view, service, versions
                )
        view.versions_reported_at = now
        view.on_status_report(now)
        view.reported_load = load
        view.decay_latency()
        if leaving and self.drain_tracker.report_leaving(upstream, incarnation):
            upstream_updates.withdraw_upstream(self, view)

    def on_notice(self, notice: Notice, now: float) -> list[Action]:
        """Handles a notice of another instance."""
        out: list[Action] = []
        if notice.kind is NoticeKind.LEAVING:
            name = self.drain_tracker.on_notice(notice)
            if name in self.views:
                upstream_updates.withdraw_upstream(self, self.views[name])
        else:
            charging.on_notice(notice, self, now, out)
        self.use_freed_capacity(now, out)
        return out

    def best_version(self, service: str) -> ServedVersion | None:
        """Returns the index version that a new request uses."""
        return self.catalogue.best(service) if self.catalogue else None

    def is_fully_served(self) -> bool:
        """Returns whether all shards of all services are known to be served."""
        if self.configuration is None:
            return False
        for service in self.configuration.layouts:
            serving = self.best_version(service)
            if serving is None or serving.weight < serving.layout.total_weight:
                return False
        return True

    def track_record_attempt(
        self,
        attempt: Attempt,
        record: Record,
        view: UpstreamView,
        shard: Shard,
        now: float,
    ) -> None:
        """Adds a record's single attempt to the pending ones."""
        task = ShardTask(shard)
        pending_attempt = PendingAttempt(
            attempt.attempt_id, record, task, view, now
        )
        task.open_attempts.append(pending_attempt)
        self.pending_attempts[attempt.attempt_id] = pending_attempt

    def cancel_attempts(
        self, task: ShardTask, now: float, out: list[Action]
    ) -> None:
        """Cancels the open attempts of a shard.

        An attempt older than its upstream's smoothed latency adds its age as
        a sample there, as slow upstreams would otherwise go unnoticed. The
        service's latency window takes results only, because the ages depend
        on the times of straggler checks, which depend on the window.
        """
        for pending_attempt in task.open_attempts:
            view = pending_attempt.view
            del self.pending_attempts[pending_attempt.attempt_id]
            view.in_flight -= 1
            if view.backlog:
                self.freed_views.append(view)
            age = now - pending_attempt.sent_at
            if age > view.latency:
                view.observe_lower_bound(age)
            out.append(Cancel(pending_attempt.attempt_id, view.name))
        task.open_attempts.clear()

    def next_attempt_id(self) -> int:
        """Returns a new attempt id, unique at this instance."""
        self.last_attempt_id += 1
        return self.last_attempt_id

    def discard_if_finished(
        self, owner: Query | Record, now: float | None = None
    ) -> None:
        """Drops the state of a finished request.

        Args:
          owner: The scatter or record.
          now: The time, None to leave its latency out of the estimates.
        """
        if owner.finished:
            self.queries.pop(owner.request.request_id, None)
            self.records.pop(owner.request.request_id, None)
            self.intake.on_request_finished(owner, now)
