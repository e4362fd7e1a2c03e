"""Connects the core to the event loop.

Events become calls of the core, and the actions that it returns go to the
components that perform them.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.messages import (
    Action,
    Attempt,
    BroadcastNotice,
    Cancel,
    Decision,
    RecordRequest,
    Reply,
    Respond,
    SearchRequest,
    SetTimer,
    StoreCas,
    StoreGet,
    StoreResult,
)
from arbutusbridge.core.requests.tier import Tier
from arbutusbridge.daemon.events import answered, cancel, dispatch
from arbutusbridge.daemon.logs import get_logger, log_decision
from arbutusbridge.daemon.platform import FIRST_ERA

if TYPE_CHECKING:
    from arbutusbridge.core.membership.shares import Allocation
    from arbutusbridge.core.messages import Notice
    from arbutusbridge.core.model import Configuration
    from arbutusbridge.core.peers.peerwire import Finding
    from arbutusbridge.daemon.metrics import Metrics
    from arbutusbridge.daemon.peers import Peers
    from arbutusbridge.daemon.platform import PlatformClient
    from arbutusbridge.daemon.subrequests import StatusReport
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)


class QueryDriver(BaseComponent):
    """Drives the core of one instance.

    Attributes:
      tier: Decides on searches and records; does no I/O itself.
      arrival_times: Time of arrival of each open request, by its id.
      era: Era of the store that the claims were last judged in.
    """

    channel = "queries"

    def __init__(
        self,
        data_centre: str,
        timers: TimerService,
        platform: PlatformClient,
        metrics: Metrics,
        peers: Peers,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.timers = timers
        self.platform = platform
        self.metrics = metrics
        self.tier = Tier(data_centre, random.Random())
        self.arrival_times: dict[str, float] = {}
        self.era: int | None = None

    @handler("configured", channel="*")
    def on_configured(self, configuration: Configuration) -> None:
        """Applies a new configuration version."""
        self.tier.configure(configuration)
        self.metrics.config_version.set(configuration.version)

    @handler("search")
    def on_search(self, request: SearchRequest) -> None:
        """Starts a caller's search."""
        now = self.timers.clock()
        self.arrival_times[request.request_id] = now
        self.carry_out(self.tier.search(request, now))

    @handler("record")
    def on_record(self, request: RecordRequest) -> None:
        """Starts a caller's record."""
        now = self.timers.clock()
        self.arrival_times[request.request_id] = now
        self.carry_out(self.tier.record(request, now))

    @handler("replies_received")
    def on_replies_received(self, replies: list[Reply]) -> None:
        """Handles the replies of one turn of the event loop."""
        late_before = self.tier.late_replies
        for kind, count in Counter(reply.kind for reply in replies).items():
            self.metrics.replies.labels(kind.name.lower()).inc(count)
        self.carry_out(self.tier.replies(replies, self.timers.clock()))
        self.metrics.late_replies.inc(self.tier.late_replies - late_before)

    @handler("closed_idle")
    def on_closed_idle(self, names: list[str]) -> None:
        """Handles upstreams that closed their idle connections."""
        self.tier.on_idle_closed(names, self.timers.clock())

    @handler("status_reports")
    def on_status_reports(self, reports: list[StatusReport]) -> None:
        """Applies status reports of upstreams and shares them with peers."""
        now = self.timers.clock()
        for report in reports:
            self.tier.report(
                report.upstream,
                report.held,
                report.load,
                report.leaving,
                now,
                report.incarnation,
            )
        self.carry_out(self.tier.announce_leaving())
        self.peers.share(reports)

    @handler("notice_received")
    def on_notice_received(self, notice: Notice) -> None:
        """Handles a notice from another instance."""
        self.carry_out(self.tier.on_notice(notice, self.timers.clock()))

    @handler("found_by_peers")
    def on_found_by_peers(self, findings: list[Finding]) -> None:
        """Applies status reports of upstreams that peers have received."""
        now = self.timers.clock()
        for finding in findings:
            held = {name: tuple(v) for name, v in finding.held.items()}
            self.tier.report(
                finding.upstream,
                held,
                finding.load,
                finding.leaving,
                now - finding.age,
                finding.incarnation,
            )
        self.carry_out(self.tier.announce_leaving())

    @handler("counted")
    def on_counted(self, instances: int) -> None:
        """Sets the number of instances that share connections."""
        self.tier.set_instance_count(instances)

    @handler("allotted")
    def on_allotted(self, allocation: Allocation, _digest: bytes) -> None:
        """Applies this instance's shares of the connections."""
        self.carry_out(
            self.tier.set_allocation(allocation, self.timers.clock())
        )

    @handler("due")
    def on_due(self, tokens: list[Any]) -> None:
        """Handles due timers."""
        now = self.timers.clock()
        for token in tokens:
            self.carry_out(self.tier.on_timer(token, now))

    @handler("abandon")
    def on_abandon(self, request_id: str) -> None:
        """Abandons a request whose caller closed its connection."""
        self.arrival_times.pop(request_id, None)
        now = self.timers.clock()
        self.carry_out(self.tier.abandon(request_id, now))

    @handler("store_restored", channel="*")
    def on_store_restored(self, _era: int) -> None:
        """Voids what is known of the claims."""
        self.note_era()

    def note_era(self) -> None:
        """Voids what is known of the claims when the era of the store changes.

        If the first one that is known is a later one, the store may have come
        back from an older copy just before the start.
        """
        era = self.platform.era
        if era is None or era == self.era:
            return
        self.era = era
        if era > FIRST_ERA:
            self.tier.on_store_restored(int(time.time() * 1000))

    def on_store_result(self, result: StoreResult) -> None:
        """Handles the result of a store call."""
        self.note_era()
        self.carry_out(self.tier.store_result(result, self.timers.clock()))

    def carry_out(self, actions: list[Action]) -> None:
        """Passes the core's actions to the components that perform them.

        All attempts are fired in one event, and all cancellations in another.
        """
        attempts: list[Attempt] = []
        cancels: list[Cancel] = []
        for action in actions:
            kind = type(action)
            if kind is Attempt:
                attempts.append(action)  # type: ignore[arg-type]
            elif kind is Cancel:
                cancels.append(action)  # type: ignore[arg-type]
            else:
                self.carry_out_one(action)
        if attempts:
            self.metrics.attempts.inc(len(attempts))
            self.fire(dispatch(attempts), "upstreams")
        if cancels:
            self.metrics.cancels.inc(len(cancels))
            self.fire(cancel(cancels), "upstreams")

    def carry_out_one(self, action: Action) -> None:
        """Performs an action that is not batched."""
        match action:
            case SetTimer():
                self.timers.at(action.at, self.channel, action.token)
            case Respond():
                self.answer(action)
            case Decision():
                self.record_decision(action)
            case BroadcastNotice():
                self.peers.broadcast(action.notice)
            case StoreGet():
                self.platform.get(
                    action.token, action.key, self.on_store_result
                )
            case StoreCas():
                self.platform.cas(
                    action.token,
                    action.key,
                    action.value,
                    action.index,
                    self.on_store_result,
                )

    def record_decision(self, decision: Decision) -> None:
        """Counts and logs a decision."""
        self.metrics.decisions.labels(decision.what).inc()
        if decision.what == "hedge":
            self.metrics.hedges.inc(len(decision.detail["shards"]))
        log_decision(logger, decision)

    def answer(self, action: Respond) -> None:
        """Counts a final answer and passes it to the entry server."""
        answer = action.answer
        arrived = self.arrival_times.pop(answer.request_id, None)
        if arrived is not None:
            self.metrics.latency.observe(self.timers.clock() - arrived)
        self.metrics.answers.labels(answer.outcome.value).inc()
        self.metrics.coverage.observe(answer.coverage)
        if answer.reason:
            self.metrics.refusals.labels(answer.outcome, answer.reason).inc()
        self.fire(answered(answer), "entry")
