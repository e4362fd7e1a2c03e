"""Assembles the components of a forwarding instance."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any, get_args

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from arbutusbridge.core.stop import StopPlan
from arbutusbridge.daemon.events import (
    evacuations_changed,
    instances_changed,
    quarantine_changed,
    routing_changed,
    upstreams_changed,
)
from arbutusbridge.daemon.following import StoreFollower
from arbutusbridge.daemon.forwarding import ForwardingDriver
from arbutusbridge.daemon.forwardmetrics import ForwardMetrics
from arbutusbridge.daemon.hub import SocketHub
from arbutusbridge.daemon.ingress import Ingress
from arbutusbridge.daemon.lifecycle import DrainHooks, Lifecycle
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.operators import OperatorServer
from arbutusbridge.daemon.peermessenger import PeerMessenger
from arbutusbridge.daemon.platform import PlatformClient
from arbutusbridge.daemon.presence import InstancePresence
from arbutusbridge.daemon.quarantinestore import QuarantineStore
from arbutusbridge.daemon.relaypools import RelayPools
from arbutusbridge.daemon.storefeed import StoreFeed
from arbutusbridge.daemon.timers import TimerService
from arbutusbridge.forwarding import Locality, RetryBudgetLimits, quotaledger
from arbutusbridge.forwarding.explain import DescribedRequest, explain
from arbutusbridge.forwarding.following import (
    MIN_CHANGE_DELAY_LIMIT_S,
    FollowRequest,
    StoreUpdate,
)
from arbutusbridge.forwarding.gather import GatherMessage, Peer
from arbutusbridge.forwarding.gatherwire import (
    CURRENT_PROTOCOL,
    InstanceRecord,
)
from arbutusbridge.forwarding.limitmessages import DemandNotice, ShareNotice
from arbutusbridge.forwarding.limits import count_limited
from arbutusbridge.forwarding.presence import (
    FOLLOWER_LEASE_DURATION_S,
    FOLLOWER_RENEW_INTERVAL_S,
    INSTANCES_PREFIX,
    LEASE_DURATION_S,
    RENEW_INTERVAL_S,
)
from arbutusbridge.forwarding.quarantinemessages import QuarantineNotice
from arbutusbridge.forwarding.quarantinerecord import QUARANTINE_PREFIX
from arbutusbridge.forwarding.quotabook import QuotaLimits
from arbutusbridge.forwarding.quotamessages import QuotaMessage
from arbutusbridge.forwarding.removals import RemovalTiming

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.daemon.dialect import Dialect
    from arbutusbridge.forwarding.wireformat import WireFormat
    from arbutusbridge.settings.forwarding import ForwardSettings

logger = get_logger(__name__)

RELOAD = "reload"
CHECK_SETTINGS = "look"

SETTINGS_CHECK_INTERVAL_S = 5.0
"""Interval at which the settings file is checked for changes, so that they also
apply without a signal."""

KEEP_ALIVE_STOP_FRACTION = 0.5
"""Fraction of the time limit of a planned stop for which idle connections of
callers are kept open, so that they can be closed in time without a request on
its way."""

PEER_CHANNELS: dict[type, str] = {
    **dict.fromkeys(get_args(GatherMessage), ForwardingDriver.channel),
    QuarantineNotice: ForwardingDriver.channel,
    DemandNotice: ForwardingDriver.channel,
    ShareNotice: ForwardingDriver.channel,
    **dict.fromkeys(get_args(QuotaMessage), ForwardingDriver.channel),
    FollowRequest: StoreFollower.channel,
    StoreUpdate: StoreFollower.channel,
}
"""Channel of the component that handles each type of peer message."""


class ForwardInstance(BaseComponent):
    """One instance that forwards requests by route.

    Attributes:
      settings: Settings in force.
      metrics: Metrics of this instance.
      store_follower: Component that follows peers, None without peers.
      reload_settings: Reads the settings file again; returns None if it is not
        valid.
      settings_mtime: Returns the modification time of the settings file.
      loaded_mtime: Modification time at the last read of that file.
    """

    channel = "instance"

    def __init__(
        self,
        settings: ForwardSettings,
        wire: WireFormat,
        dialect: Dialect,
        reload_settings: Callable[[], ForwardSettings | None],
        settings_mtime: Callable[[], int],
    ) -> None:
        super().__init__()
        self.settings = settings
        self.reload_settings = reload_settings
        self.settings_mtime = settings_mtime
        self.loaded_mtime = settings_mtime()
        self.metrics = ForwardMetrics()
        # The default poller of circuits fails above descriptor 1,023.
        self.poller = EPoll().register(self)
        self.timers = TimerService().register(self)
        self.timers.after(
            SETTINGS_CHECK_INTERVAL_S, self.channel, CHECK_SETTINGS
        )
        self.hub = SocketHub().register(self)
        self.forwarding = ForwardingDriver(
            Locality(settings.data_centre, settings.regions),
            build_retry_budget_limits(settings),
            self.timers,
            wire,
            self.metrics,
        ).register(self)
        self.forwarding.forwarder.overflow.configure(
            settings.overflow.max_fraction
        )
        self.ingress = Ingress(
            (settings.callers.ip, settings.callers.port),
            self.hub,
            self.timers,
            wire,
            ForwardingDriver.channel,
            int(settings.stop_seconds * KEEP_ALIVE_STOP_FRACTION),
        ).register(self)
        self.pools = RelayPools(
            self.hub,
            self.timers,
            wire,
            ForwardingDriver.channel,
            settings.upstream_source_ip,
        ).register(self)
        self.peers: PeerMessenger | None = None
        if settings.peers is not None:
            own = (settings.peers.ip, settings.peers.port)
            self.peers = PeerMessenger(
                own,
                self.hub,
                self.metrics,
                PEER_CHANNELS,
                self.forwarding.forwarder.gather.peer_table.protocol_of,
            ).register(self)
            self.forwarding.forwarder.gather.own_peer = Peer(
                settings.name,
                settings.data_centre,
                own,
                settings.capacity,
                protocol=CURRENT_PROTOCOL,
            )
        self.forwarding.forwarder.quotas.limits = build_quota_limits(settings)
        self.forwarding.attach(self.ingress, self.pools, self.peers)
        self.store = PlatformClient(
            self.hub,
            self.timers,
            [(settings.store.ip, settings.store.port)],
            read_era=dialect.read_era,
        ).register(self)
        self.feed = StoreFeed(
            [
                (wire.configuration_key, routing_changed),
                # Before the upstreams, so that none of an evacuated data
                # centre is used at the start.
                (wire.evacuations_prefix, evacuations_changed),
                (wire.upstreams_prefix, upstreams_changed),
                (INSTANCES_PREFIX, instances_changed),
                (QUARANTINE_PREFIX, quarantine_changed),
            ],
            self.store,
            dialect,
            self.timers,
            wire.key_rules,
            RemovalTiming.from_drain_period(settings.drain_s),
        ).register(self)
        self.forwarding.forwarder.get_confirmed_at = lambda: (
            self.feed.last_confirmed_at
        )
        self.store_follower = self.start_feed(dialect)
        self.presence = InstancePresence(
            settings.name,
            build_instance_record(settings),
            self.store,
            dialect,
            self.timers,
            self.on_instances,
            self.lease_s,
            lambda: (
                RENEW_INTERVAL_S
                if self.feed.reading
                else FOLLOWER_RENEW_INTERVAL_S
            ),
        ).register(self)
        self.quarantine_store = QuarantineStore(
            settings.name, self.forwarding, self.store, dialect, self.timers
        ).register(self)
        self.lifecycle = Lifecycle(
            StopPlan(settings.balancer_lag_seconds, settings.stop_seconds),
            self.hub,
            self.timers,
            self.make_drain_hooks(),
        ).register(self)
        addresses = {"operators": settings.operators}
        if settings.metrics is not None:
            addresses["metrics"] = settings.metrics
        for channel, address in addresses.items():
            OperatorServer(
                address,
                self.timers,
                self.metrics,
                self.status,
                self.collect_metrics,
                channel,
                self.explain,
            ).register(self)
        logger.notice(
            "started",
            extra={
                "instance": settings.name,
                "data_centre": settings.data_centre,
            },
        )

    @classmethod
    def from_config(
        cls,
        settings: ForwardSettings,
        wire: WireFormat,
        dialect: Dialect,
        reload_settings: Callable[[], ForwardSettings | None],
        settings_mtime: Callable[[], int],
    ) -> ForwardInstance:
        """Creates an instance from its settings."""
        return cls(settings, wire, dialect, reload_settings, settings_mtime)

    def start_feed(self, dialect: Dialect) -> StoreFollower | None:
        """Starts the store feed, from a peer if peers are configured.

        Returns:
          The component that follows peers, or None without peers.
        """
        own = self.forwarding.forwarder.gather.own_peer
        if own is None or self.peers is None:
            self.feed.begin()
            return None
        port = own.address[1]
        seeds = [(seed.ip, port) for seed in self.settings.seeds]
        self.forwarding.forwarder.seed_addresses = [
            seed for seed in seeds if seed != own.address
        ]
        return StoreFollower(
            own,
            self.forwarding.forwarder.gather.peer_table,
            seeds,
            self.settings.max_change_delay_s,
            self.feed,
            self.peers,
            self.store,
            dialect,
            self.timers,
        ).register(self)

    @property
    def lease_s(self) -> float:
        """Length of the lease of this instance in the store, in seconds."""
        follows = self.settings.max_change_delay_s >= MIN_CHANGE_DELAY_LIMIT_S
        return FOLLOWER_LEASE_DURATION_S if follows else LEASE_DURATION_S

    def on_instances(self, count: int, peers: list[Peer]) -> None:
        """Applies a new count and list of the running instances."""
        forwarder = self.forwarding.forwarder
        forwarder.gather.peer_table.update(peers)
        self.forwarding.share(count)

    def _signal_handler(self, number: int, _frame: Any) -> None:
        """Replaces the handler of circuits, which would stop without draining.

        SIGHUP reloads the settings; any other signal starts a planned stop.
        """
        if number == signal.SIGHUP:
            self.timers.after(0.0, self.channel, RELOAD)
        else:
            self.lifecycle.request_stop()

    def make_drain_hooks(self) -> DrainHooks:
        """Returns the callbacks with which a planned stop drains callers."""
        ingress = self.ingress
        forwarder = self.forwarding.forwarder
        exchanges, gather = forwarder.exchanges, forwarder.gather

        def close_after_answers() -> None:
            ingress.draining = True
            gather.accepts_requests = False
            forwarder.final_answers_at = self.lifecycle.plan.final_answers_at

        return DrainHooks(
            lambda: len(ingress.connections) + len(gather.taken),
            lambda: max((e.give_up_at for e in exchanges.values()), default=0),
            close_after_answers,
            ingress.stop_listening,
            ingress.close_idle_longer_than,
            self.forwarding.finish_all,
        )

    @handler("due")
    def on_due(self, tokens: list[Any]) -> None:
        """Reloads the settings after a signal or a change of their file."""
        if CHECK_SETTINGS in tokens:
            self.timers.after(
                SETTINGS_CHECK_INTERVAL_S, self.channel, CHECK_SETTINGS
            )
        mtime = self.settings_mtime()
        if RELOAD not in tokens and mtime == self.loaded_mtime:
            return
        self.loaded_mtime = mtime
        settings = self.reload_settings()
        if settings is None:
            return
        self.settings = settings
        self.forwarding.forwarder.set_budget_limits(
            build_retry_budget_limits(settings)
        )
        self.forwarding.forwarder.overflow.configure(
            settings.overflow.max_fraction
        )
        self.forwarding.forwarder.quotas.limits = build_quota_limits(settings)
        logger.notice("settings reloaded", extra={"instance": settings.name})

    def status(self) -> dict[str, Any]:
        """Returns the status for operators."""
        forwarder = self.forwarding.forwarder
        table = forwarder.table
        key_feed = self.feed.key_feed
        store_follower = self.store_follower
        source = store_follower.source_state.source if store_follower else None
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "config_version": table.configuration.version if table else 0,
            "ready": self.forwarding.ready and not self.lifecycle.plan.stopping,
            "phase": self.lifecycle.plan.phase.value,
            "instances_counted": forwarder.instances,
            "upstreams": len(forwarder.directory.by_name),
            "evacuated": sorted(forwarder.evacuated),
            "requests_open": len(forwarder.exchanges),
            "attempts_open": len(forwarder.attempts),
            "quarantine": forwarder.quarantine.count_states(),
            "store": {
                "revision": key_feed.revision,
                "era": key_feed.era,
                "asked_from_here": self.feed.reading,
                "failures": key_feed.failures,
                "reloads": key_feed.reloads,
                "keys": len(key_feed.items),
                "age_s": round(
                    self.timers.clock() - self.feed.last_confirmed_at, 1
                ),
                "source": "{}:{}".format(*source) if source else None,
                "followers": len(store_follower.followers.seen)
                if store_follower
                else 0,
                "ends_in_doubt": len(key_feed.held),
                "own_key": self.presence.key,
                "own_lease": self.presence.instance_count.lease,
            },
        }

    def explain(self, described: DescribedRequest) -> dict[str, Any]:
        """Returns where a described request would go now, for operators."""
        now = self.timers.clock()
        found = explain(self.forwarding.forwarder, described, now)
        found["instance"] |= {
            "name": self.settings.name,
            "ready": self.forwarding.ready and not self.lifecycle.plan.stopping,
            "phase": self.lifecycle.plan.phase.value,
        }
        return found

    def collect_metrics(self) -> None:
        """Copies counts that components keep into the metrics."""
        metrics = self.metrics
        forwarder = self.forwarding.forwarder
        metrics.sync_total(metrics.store_calls, self.store.calls_made)
        metrics.sync_total(metrics.store_restores, self.store.restores)
        protocol = self.pools.protocol
        metrics.sync_total(metrics.connects, protocol.connects)
        metrics.sync_total(metrics.unsolicited, protocol.unsolicited)
        metrics.sync_total(metrics.invalid_statuses, protocol.invalid_statuses)
        for reason, count in self.ingress.refused.items():
            metrics.sync_total(metrics.callers_refused.labels(reason), count)
        for what, count in forwarder.decision_counts.items():
            metrics.sync_decision_count(what, count)
        for account, count in forwarder.quotas.refused.items():
            metrics.sync_total(metrics.over_quota.labels(account), count)
        metrics.metered.set(quotaledger.count_metered(forwarder))
        for state, number in forwarder.quarantine.count_states().items():
            metrics.fingerprints.labels(state).set(number)
        metrics.upstreams.set(len(forwarder.directory.by_name))
        metrics.evacuated.set(len(forwarder.evacuated))
        now = self.timers.clock()
        metrics.response_age.set(now - forwarder.isolation.responded_at)
        metrics.limited.set(count_limited(forwarder))
        metrics.set_overflow(forwarder.overflow.fractions())
        metrics.store_age.set(now - self.feed.last_confirmed_at)

    @handler("exception", channel="*")
    def on_exception(
        self, kind: Any, value: Any, traceback: Any, **_context: Any
    ) -> None:
        """Logs an exception in an event handler, which circuits only prints."""
        logger.error(
            "event handler failed",
            extra={
                "kind": kind.__name__,
                "error": str(value),
                "place": str(traceback)[-600:],
            },
        )


def build_retry_budget_limits(settings: ForwardSettings) -> RetryBudgetLimits:
    """Returns the limits on retries and hedges from the settings."""
    extras = settings.extras
    return RetryBudgetLimits(extras.ratio, extras.slack, extras.window_s)


def build_quota_limits(settings: ForwardSettings) -> QuotaLimits:
    """Returns the bound on the requests of an account from the settings."""
    quotas = settings.quotas
    return QuotaLimits(quotas.window_s, quotas.overage, quotas.slack)


def build_instance_record(settings: ForwardSettings) -> InstanceRecord | None:
    """Returns the record that other instances read, with address and capacity.

    Returns None for an instance that accepts no messages from peers.
    """
    if settings.peers is None:
        return None
    return InstanceRecord(
        settings.data_centre,
        settings.peers.ip,
        settings.peers.port,
        settings.capacity,
        CURRENT_PROTOCOL,
    )
