"""Connects the forwarder to the event loop.

Events become calls of the forwarder, and the actions that it returns go to the
components that perform them.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler
from result import Err

from arbutusbridge.core.messages import Decision
from arbutusbridge.daemon.logs import get_logger, log_decision
from arbutusbridge.forwarding import (
    CheckUpstream,
    DropAttempt,
    Forwarder,
    Locality,
    PrepareConnection,
    ProbeUpstream,
    Refusal,
    RefusedAnswer,
    RequestLimits,
    RetryBudgetLimits,
    RoutingConfiguration,
    SendAttempt,
    SetRequestTimer,
    WithdrawAttempt,
)
from arbutusbridge.forwarding.allocation import CHECK_INTERVAL_S
from arbutusbridge.forwarding.conclusion import FAILED_RETRY_AFTER_S
from arbutusbridge.forwarding.gather import SendGatherMessage
from arbutusbridge.forwarding.notices import EXCHANGE_INTERVAL_S

if TYPE_CHECKING:
    from arbutusbridge.core.messages import StoreItem
    from arbutusbridge.daemon.forwardmetrics import ForwardMetrics
    from arbutusbridge.daemon.ingress import Ingress
    from arbutusbridge.daemon.peermessenger import PeerMessenger
    from arbutusbridge.daemon.relaypools import RelayPools
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.forwarding import (
        Announcement,
        CallerRequest,
        UpstreamReply,
    )
    from arbutusbridge.forwarding.gather import GatherMessage
    from arbutusbridge.forwarding.limitmessages import DemandNotice, ShareNotice
    from arbutusbridge.forwarding.quarantinemessages import QuarantineNotice
    from arbutusbridge.forwarding.quotamessages import QuotaMessage
    from arbutusbridge.forwarding.wireformat import WireFormat

logger = get_logger(__name__)

EXCHANGE_NOTICES = "exchange_notices"
MAINTAIN = "maintain"
RECOVER = "recover"

RECOVERY_DELAY_S = 0.1
"""Time after the failure of a handler at which the requests are looked at that
it may have left behind."""

MAX_ENTRIES_LOGGED = 20
"""Maximum number of invalid entries of one configuration that are logged."""


def log_invalid_entries(
    configuration: RoutingConfiguration, revision: int
) -> None:
    """Logs the entries of a configuration that could not be decoded."""
    entries = configuration.invalid.entries
    for number, one in enumerate(entries[:MAX_ENTRIES_LOGGED], 1):
        logger.error(
            "invalid entry of the routing configuration",
            extra={
                "entry": one.entry,
                "mistake": one.mistake,
                "number": number,
                "of": len(entries),
                "version": configuration.version,
                "revision": revision,
                "remedy": "Correct the entry in a new version. "
                "Its requests are refused until then.",
            },
        )


class ForwardingDriver(BaseComponent):
    """Drives the forwarder of one instance.

    Attributes:
      forwarder: Decides on requests; does no I/O itself.
      upstreams_loaded: Whether the upstreams have been read from the store.
      evacuations_loaded: Whether the evacuated data centres have been.
      recovers: Whether a handler has failed just now.
      bounds: Limits on callers' requests.
    """

    channel = "forwarding"

    def __init__(
        self,
        place: Locality,
        bounds: RetryBudgetLimits,
        timers: TimerService,
        wire: WireFormat,
        metrics: ForwardMetrics,
    ) -> None:
        super().__init__()
        self.timers = timers
        self.wire = wire
        self.metrics = metrics
        self.forwarder = Forwarder(
            place, bounds, random.Random(), timers.clock()
        )
        self.upstreams_loaded = False
        self.evacuations_loaded = False
        self.recovers = False
        self.bounds = RequestLimits()
        self.ingress: Ingress
        self.pools: RelayPools
        self.peers: PeerMessenger | None = None
        timers.after(EXCHANGE_INTERVAL_S, self.channel, EXCHANGE_NOTICES)
        timers.after(CHECK_INTERVAL_S, self.channel, MAINTAIN)

    def attach(
        self, ingress: Ingress, pools: RelayPools, peers: PeerMessenger | None
    ) -> None:
        """Sets the components that perform the forwarder's actions."""
        self.ingress = ingress
        self.pools = pools
        self.peers = peers

    @property
    def ready(self) -> bool:
        """Whether requests can be routed to upstreams."""
        table = self.forwarder.table
        return (
            table is not None
            and bool(table.routes_by_host or not table.invalid.any_host)
            and self.upstreams_loaded
            and self.evacuations_loaded
        )

    @handler("request_arrived")
    def on_request_arrived(self, request: CallerRequest) -> None:
        """Starts a caller's request."""
        actions = self.forwarder.handle_request(request, self.timers.clock())
        if request.account:
            self.metrics.record_account(request.account)
        self.carry_out(actions)

    @handler("caller_left")
    def on_caller_left(self, request: CallerRequest) -> None:
        """Abandons the request of a caller that closed its connection."""
        self.carry_out(self.forwarder.abandon(request, self.timers.clock()))

    @handler("attempts_ended")
    def on_attempts_ended(self, replies: list[UpstreamReply]) -> None:
        """Handles the attempts that ended in one turn of the event loop."""
        for reply in replies:
            self.metrics.ends.labels(reply.end.value).inc()
        self.carry_out(self.forwarder.replies(replies, self.timers.clock()))

    @handler("upstream_checked")
    def on_upstream_checked(
        self, upstream: Announcement, accepted: bool
    ) -> None:
        """Handles whether an upstream that lost a request still accepts."""
        now = self.timers.clock()
        self.carry_out(self.forwarder.handle_check(upstream, accepted, now))

    @handler("upstream_connected")
    def on_upstream_connected(self, upstream: Announcement) -> None:
        """Handles a new connection to an upstream that has stayed open."""
        now = self.timers.clock()
        self.carry_out(self.forwarder.handle_probe(upstream, now))

    @handler("closed_idle")
    def on_closed_idle(self, upstreams: list[Announcement]) -> None:
        """Handles upstreams that closed connections in recent use."""
        self.forwarder.handle_idle_closes(upstreams, self.timers.clock())

    @handler("peer_message")
    def on_peer_message(
        self,
        message: GatherMessage
        | QuarantineNotice
        | DemandNotice
        | ShareNotice
        | QuotaMessage,
    ) -> None:
        """Handles a message from another instance."""
        self.carry_out(
            self.forwarder.handle_peer_message(message, self.timers.clock())
        )

    @handler("due")
    def on_due(self, requests: list[Any]) -> None:
        """Handles due timers of requests and of the messages to peers."""
        for request in requests:
            try:
                self.handle_due(request)
            except Exception:
                logger.exception("timer of a request failed")
                self.on_exception()

    def handle_due(self, request: Any) -> None:
        """Handles one due timer."""
        now = self.timers.clock()
        if request == EXCHANGE_NOTICES:
            self.timers.after(
                EXCHANGE_INTERVAL_S, self.channel, EXCHANGE_NOTICES
            )
            self.carry_out(self.forwarder.exchange_notices(now))
        elif request == MAINTAIN:
            self.timers.after(CHECK_INTERVAL_S, self.channel, MAINTAIN)
            self.carry_out(self.forwarder.maintain(now))
        elif request == RECOVER:
            self.recover(now)
        else:
            self.carry_out(self.forwarder.handle_timer(request, now))

    @handler("exception", channel="*")
    def on_exception(self, *_args: Any, **_context: Any) -> None:
        """Plans to look after the requests of a handler that has failed.

        It may be any: what it was about to do for them is not known.
        """
        if not self.recovers:
            self.recovers = True
            self.timers.after(RECOVERY_DELAY_S, self.channel, RECOVER)

    def recover(self, now: float) -> None:
        """Answers or continues the requests that failed handlers have left.

        Whether one without any state has run is not known. The others get their
        timers again, which end them at the latest.
        """
        self.recovers = False
        for request in self.ingress.find_unanswered(now - RECOVERY_DELAY_S):
            if not self.forwarder.is_open(request):
                answer = RefusedAnswer(
                    request, Refusal.LOST, FAILED_RETRY_AFTER_S
                )
                self.perform(answer)
        for action in self.forwarder.rearm(now):
            self.timers.at(action.at, self.channel, action.request)

    @handler("routing_changed", channel="*")
    def on_routing_changed(self, items: list[StoreItem]) -> None:
        """Applies the routing configuration read from the store."""
        for item in items:
            if item.value is None or item.key != self.wire.configuration_key:
                continue
            decoded = self.wire.decode_configuration(item.value)
            configuration = (
                RoutingConfiguration.from_mistake(decoded.err_value)
                if isinstance(decoded, Err)
                else decoded.ok_value
            )
            taken = self.forwarder.configure(configuration)
            if taken:
                assert self.forwarder.table is not None
                configuration = self.forwarder.table.configuration
                self.apply(configuration)
            extra: dict[str, object] = {
                "version": configuration.version,
                "revision": item.revision,
                "routes": len(configuration.routes),
            }
            accounts = configuration.accounts
            if accounts is not None:
                extra["accounts"] = len(accounts)
                extra["keys"] = sum(len(one.keys) for one in accounts)
            logger.info(
                "routing configuration applied"
                if taken
                else "routing configuration not newer, ignored",
                extra=extra,
            )
            if taken:
                log_invalid_entries(configuration, item.revision)

    def apply(self, configuration: RoutingConfiguration) -> None:
        """Applies what the new configuration says beyond its routes.

        A limit on callers that is not known is at most the one before.
        """
        self.bounds = configuration.bounds.tighten(
            self.bounds, configuration.invalid.limits
        )
        self.ingress.set_limits(self.bounds)
        self.share(self.forwarder.instances)
        now = self.timers.clock()
        self.carry_out(self.forwarder.update_cold(now))
        self.metrics.version.set(configuration.version)
        self.metrics.set_invalid_entries(configuration.invalid.entries)

    @handler("evacuations_changed", channel="*")
    def on_evacuations_changed(self, items: list[StoreItem]) -> None:
        """Applies new and withdrawn evacuations of data centres."""
        now = self.timers.clock()
        for item in items:
            data_centre = item.key.removeprefix(self.wire.evacuations_prefix)
            if item.value is None:
                actions = self.forwarder.end_evacuation(data_centre, now)
            else:
                actions = self.forwarder.evacuate(data_centre, now)
            self.carry_out(actions)
        self.evacuations_loaded = True

    @handler("upstreams_changed", channel="*")
    def on_upstreams_changed(self, items: list[StoreItem]) -> None:
        """Applies changed, new and removed announcements of upstreams."""
        now = self.timers.clock()
        for item in items:
            name = item.key.removeprefix(self.wire.upstreams_prefix)
            if item.value is None:
                self.withdraw(name, item.revision)
                continue
            decoded = self.wire.decode_announcement(item.key, item.value)
            if isinstance(decoded, Err):
                logger.warning(
                    "invalid upstream announcement ignored",
                    extra={
                        "upstream": name,
                        "revision": item.revision,
                        "mistake": decoded.err_value,
                    },
                )
                self.withdraw(name, item.revision)
                continue
            announcement = decoded.ok_value
            self.carry_out(
                self.forwarder.handle_upstream_end(name, announcement, now)
            )
            is_new = self.forwarder.announce(announcement, now)
            if is_new:
                self.pools.retire(name)
            elif announcement.leaving:
                self.carry_out(self.forwarder.withdraw_unsent(name))
            if announcement.warm_up_s > 0.0:
                self.carry_out(self.forwarder.update_cold(now))
            logger.info(
                "upstream announced" if is_new else "upstream updated",
                extra={
                    "upstream": name,
                    "service": announcement.service,
                    "data_centre": announcement.data_centre,
                    "leaving": announcement.leaving,
                    "revision": item.revision,
                },
            )
        self.upstreams_loaded = True

    def withdraw(self, name: str, revision: int) -> None:
        """Removes an upstream whose announcement is gone or invalid."""
        if name not in self.forwarder.directory.by_name:
            return
        now = self.timers.clock()
        self.carry_out(self.forwarder.handle_upstream_end(name, None, now))
        self.forwarder.withdraw(name)
        self.pools.retire(name)
        logger.info(
            "upstream withdrawn", extra={"upstream": name, "revision": revision}
        )

    def share(self, instances: int) -> None:
        """Divides connections and extra attempts among the instances.

        Connections to the peers that this instance will probably exchange
        messages with are opened before the first of them.
        """
        self.forwarder.update_instance_count(instances)
        table = self.forwarder.table
        if table is not None:
            self.pools.share(
                table.configuration.connections,
                self.forwarder.instances,
                self.forwarder.primary_senders,
            )
        if self.peers is not None:
            now = self.timers.clock()
            self.peers.connect(self.forwarder.find_likely_peers(now))

    def finish_all(self) -> None:
        """Answers every open request with the replies received so far."""
        self.carry_out(self.forwarder.finish_all(self.timers.clock()))

    def carry_out(self, actions: list[Any]) -> None:
        """Performs the forwarder's actions; one that fails costs no other."""
        for action in actions:
            try:
                self.perform(action)
            except Exception:
                logger.exception("action failed")
                self.on_exception()
        self.pools.flush()

    def perform(self, action: Any) -> None:
        """Performs one action."""
        match action:
            case SendAttempt():
                self.metrics.attempts.inc()
                self.pools.send(action)
            case DropAttempt():
                self.pools.drop(action)
            case CheckUpstream():
                self.pools.check(action.upstream)
            case ProbeUpstream():
                self.pools.probe(action.upstream)
            case WithdrawAttempt():
                self.pools.withdraw(action.attempt_id)
            case PrepareConnection():
                self.pools.ensure_connected(action.upstream)
            case SendGatherMessage():
                assert self.peers is not None
                self.peers.send(action.address, action.message)
            case SetRequestTimer():
                self.timers.at(action.at, self.channel, action.request)
            case Decision():
                self.record_decision(action)
            case _:
                if isinstance(action, RefusedAnswer):
                    reason = action.refusal.value
                    self.metrics.refusals.labels(reason).inc()
                self.ingress.answer(action)

    def record_decision(self, decision: Decision) -> None:
        """Counts and logs a decision."""
        self.metrics.record_decision(decision)
        log_decision(logger, decision)
