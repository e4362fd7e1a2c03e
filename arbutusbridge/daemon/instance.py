"""Assembles the components of one entry instance."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from arbutusbridge.core.membership.members import MemberState
from arbutusbridge.core.stop import StopPlan
from arbutusbridge.daemon.adoption import ConfigAdoption
from arbutusbridge.daemon.entry import EntryServer
from arbutusbridge.daemon.expiry import ClaimExpiry
from arbutusbridge.daemon.hub import SocketHub
from arbutusbridge.daemon.lifecycle import DrainHooks, Lifecycle
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.metrics import Metrics
from arbutusbridge.daemon.operators import OperatorServer
from arbutusbridge.daemon.peers import Peers
from arbutusbridge.daemon.platform import PlatformClient
from arbutusbridge.daemon.queries import QueryDriver
from arbutusbridge.daemon.timers import TimerService
from arbutusbridge.daemon.upstreams import UpstreamPools

if TYPE_CHECKING:
    from arbutusbridge.settings import EntrySettings

logger = get_logger(__name__)

READY_GRACE_S = 5.0
"""Time after the first configuration at which an instance reports ready even if
shards are missing."""


class EntryInstance(BaseComponent):
    """One entry instance.

    Attributes:
      settings: Settings in force.
      metrics: Metrics of this instance.
      was_ready: Whether the instance has been ready; it then stays so until a
        planned stop.
    """

    channel = "instance"

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__()
        self.settings = settings
        self.metrics = Metrics()
        self.was_ready = False
        # The default poller of circuits fails above descriptor 1,023.
        self.poller = EPoll().register(self)
        self.timers = TimerService().register(self)
        self.hub = SocketHub().register(self)
        addresses = [(a.ip, a.port) for a in settings.platform]
        self.platform = PlatformClient(
            self.hub, self.timers, addresses, settings.namespace
        ).register(self)
        self.peers = Peers.from_config(
            settings,
            self.hub,
            self.timers,
            self.metrics,
            random.Random(),
        ).register(self)
        self.adoption = ConfigAdoption(
            self.platform,
            self.timers,
            self.peers,
            self.metrics,
            random.Random(),
        ).register(self)
        self.claim_expiry = ClaimExpiry(
            self.platform, self.timers, self.is_sweeper
        ).register(self)
        self.pools = UpstreamPools(
            self.hub, self.timers, QueryDriver.channel
        ).register(self)
        self.pools.probe_due = self.peers.probe_due
        self.queries = QueryDriver(
            settings.data_centre,
            self.timers,
            self.platform,
            self.metrics,
            self.peers,
        ).register(self)
        self.entry = EntryServer.from_config(
            settings, self.timers, QueryDriver.channel
        ).register(self)
        self.lifecycle = Lifecycle(
            StopPlan(settings.balancer_lag_seconds),
            self.hub,
            self.timers,
            self.make_drain_hooks(),
        ).register(self)
        self.operators = OperatorServer(
            settings.operators,
            self.timers,
            self.metrics,
            self.status,
            self.collect_metrics,
        ).register(self)

    @classmethod
    def from_config(cls, settings: EntrySettings) -> EntryInstance:
        """Creates an instance from its settings."""
        return cls(settings)

    def make_drain_hooks(self) -> DrainHooks:
        """Returns the callbacks with which a planned stop drains callers."""
        tier = self.queries.tier
        guard = self.entry.guard

        def count_open() -> int:
            requests = len(tier.queries) + len(tier.records)
            return requests + len(guard.connections)

        def latest_deadline() -> float:
            deadlines = [query.deadline for query in tier.queries.values()]
            deadlines += [record.deadline for record in tier.records.values()]
            return max(deadlines, default=0.0)

        def close_after_answers() -> None:
            guard.draining = True

        return DrainHooks(
            count_open,
            latest_deadline,
            close_after_answers,
            self.entry.stop_listening,
            guard.close_idle_longer_than,
            # This stop has no time limit; open requests end at their deadlines.
            lambda: None,
        )

    def _signal_handler(self, _number: int, _frame: Any) -> None:
        """Replaces the handler of circuits, which would stop without draining.

        Every signal starts a planned stop.
        """
        self.lifecycle.request_stop()

    def status(self) -> dict[str, Any]:
        """Returns the status for operators."""
        tier = self.queries.tier
        known_upstreams = sum(1 for view in tier.views.values() if view.held)
        self.was_ready = self.was_ready or self.can_become_ready()
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "config_version": self.adoption.version,
            "ready": self.was_ready and not self.lifecycle.plan.stopping,
            "phase": self.lifecycle.plan.phase.value,
            "configuration": self.adoption.status(),
            "instances": self.peers.status(self.adoption.version),
            "instances_counted": self.peers.counted,
            "upstreams": len(tier.views),
            "upstreams_known": known_upstreams,
            "queries_open": len(tier.queries),
            "records_open": len(tier.records),
        }

    def collect_metrics(self) -> None:
        """Copies counts that components keep into the metrics."""
        metrics = self.metrics
        metrics.sync_total(metrics.store_calls, self.platform.calls_made)
        protocol = self.pools.protocol
        metrics.sync_total(metrics.connects, protocol.connects)
        metrics.sync_total(metrics.unsolicited, protocol.unsolicited)
        metrics.sync_total(metrics.invalid_statuses, protocol.invalid_statuses)
        for reason, count in self.entry.guard.refused.items():
            metrics.sync_total(metrics.callers_refused.labels(reason), count)

    def is_sweeper(self) -> bool:
        """Returns whether this instance is one of the few that sweep claims."""
        return self.peers.membership.is_watcher(self.timers.clock())

    def can_become_ready(self) -> bool:
        """Returns whether the instance may report that it is ready.

        It may once its configuration is settled and every shard can be served,
        or READY_GRACE_S after the first configuration.
        """
        if not self.adoption.version_sync.is_settled(self.timers.clock()):
            return False
        if self.queries.tier.is_fully_served():
            return True
        adopted_at = self.adoption.first_adopted_at
        now = self.timers.clock()
        return adopted_at is not None and now - adopted_at > READY_GRACE_S

    @handler("stopping", channel="*")
    def on_stopping(self) -> None:
        """Announces to peers that this instance is leaving."""
        self.peers.announce_state(MemberState.LEAVING)

    @handler("drained", channel="*")
    def on_drained(self) -> None:
        """Announces to peers that this instance has stopped."""
        self.peers.announce_state(MemberState.STOPPED)

    @handler("exception", channel="*")
    def on_exception(
        self, kind: Any, value: Any, _traceback: Any, **_context: Any
    ) -> None:
        """Logs an exception in an event handler, which circuits only prints."""
        logger.error(
            "event handler failed",
            extra={"kind": kind.__name__, "error": str(value)},
        )
