"""Pools of keep-alive connections to the upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
from circuits import BaseComponent, handler

from arbutusbridge.core.messages import Reply, ReplyKind
from arbutusbridge.daemon.events import (
    closed_idle,
    replies_received,
    status_reports,
    within,
)
from arbutusbridge.daemon.pool import (
    DEFAULT_MAX_CONNECTIONS,
    REPLY_GRACE_S,
    Job,
    Pool,
)
from arbutusbridge.daemon.searchjobs import Inbox, Probe, make_search_protocol
from arbutusbridge.daemon.subrequests import STATUS_REQUEST, encode_cancel

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.membership.shares import Allocation
    from arbutusbridge.core.messages import Attempt, Cancel
    from arbutusbridge.core.model import Configuration, Upstream
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService

PROBE_INTERVAL_S = 2.0
"""Interval of the status probes of one upstream."""

PROBE_REPLY_TIMEOUT_S = 2.0
"""Timeout of the reply to a probe or a cancellation."""

SWEEP_INTERVAL_S = 0.25
"""Interval of the checks for overdue connections."""

PROBE = "probe"
SWEEP = "sweep"


class UpstreamPools(BaseComponent):
    """Sends attempts to upstreams and reports the replies in batches.

    Attributes:
      target: Channel of the component that handles replies and reports.
      pools: Connection pools by upstream name.
      retired: Pools of removed upstreams with connections left.
      jobs: Open attempts by id, with their pool.
      inbox: Replies and status reports that are not reported yet.
      probe_due: Returns whether an upstream is due for a status probe.
    """

    channel = "upstreams"

    def __init__(
        self, hub: SocketHub, timers: TimerService, target: str
    ) -> None:
        super().__init__()
        self.hub = hub
        self.timers = timers
        self.target = target
        self.pools: dict[str, Pool] = {}
        self.retired: list[Pool] = []
        self.jobs: dict[int, tuple[Pool, Job]] = {}
        self.inbox = Inbox()
        self.protocol = make_search_protocol(self.inbox)
        self.allocation: Allocation | None = None
        self.probing_started = False
        self.probe_due: Callable[[Upstream], bool] = lambda _upstream: True
        hub.after_turn.append(self.flush)

    @handler("configured", channel="*")
    def on_configured(self, configuration: Configuration) -> None:
        """Creates, updates and retires pools to match the configuration."""
        upstreams = configuration.upstreams
        for name, pool in list(self.pools.items()):
            upstream = upstreams.get(name)
            if upstream is None or pool.address != (
                upstream.address,
                upstream.port,
            ):
                self.retire(name)
            else:
                pool.upstream = upstream
        for name, upstream in upstreams.items():
            if name not in self.pools:
                self.pools[name] = Pool(
                    upstream,
                    (upstream.address, upstream.port),
                    min(DEFAULT_MAX_CONNECTIONS, upstream.connections),
                    self.hub,
                    self.timers.clock,
                    self.protocol,
                )
            self.set_share(self.pools[name])
        if not self.probing_started:
            self.probing_started = True
            self.probe_all()
            self.timers.after(SWEEP_INTERVAL_S, self.channel, SWEEP)
        self.flush()

    def retire(self, name: str) -> None:
        """Retires the pool of an upstream; sent requests may still finish."""
        pool = self.pools.pop(name)
        pool.retire()
        self.retired.append(pool)

    @handler("allotted")
    def on_allotted(self, allocation: Allocation, digest: bytes) -> None:
        """Applies this instance's share of the connections to each upstream.

        Fires ``within`` once every pool is within its share. An allocation
        arrives in every gossip round and rarely differs from the last one.

        Args:
          allocation: Shares of the connections to upstreams.
          digest: Digest of the instances for which the shares were computed.
        """
        is_new = allocation != self.allocation
        self.allocation = allocation
        for pool in self.pools.values():
            if is_new:
                self.set_share(pool)
            else:
                # Connections beyond the share that were busy may be idle now.
                pool.set_max_connections(pool.max_connections)
        if all(
            pool.size <= pool.max_connections for pool in self.pools.values()
        ):
            self.fire(within(digest), "peers")
        self.flush()

    def set_share(self, pool: Pool) -> None:
        """Sets the maximum number of connections of a pool from its share."""
        if self.allocation is not None:
            upstream = pool.upstream
            pool.set_max_connections(
                self.allocation.connections(upstream.name, upstream.connections)
            )

    @handler("dispatch")
    def on_dispatch(self, attempts: list[Attempt]) -> None:
        """Sends a batch of attempts."""
        # Attempts of one request share a body object, which is encoded once.
        body: Any = None
        data = b"null"
        for attempt in attempts:
            if attempt.body is not body:
                body = attempt.body
                data = orjson.dumps(body)
            self.send(attempt, data)
        self.flush()

    def send(self, attempt: Attempt, body: bytes) -> None:
        """Submits one attempt to the pool of its upstream."""
        pool = self.pools.get(attempt.upstream)
        if pool is None:
            # A running query keeps the configuration that it started with,
            # which may name an upstream that has been removed.
            reply = Reply(
                attempt.attempt_id, attempt.upstream, ReplyKind.NOT_SENT
            )
            self.inbox.replies.append(reply)
            return
        job = Job(
            attempt,
            body,
            attempt.deadline,
            attempt.deadline + REPLY_GRACE_S,
            once=attempt.key is not None,
        )
        self.jobs[attempt.attempt_id] = (pool, job)
        pool.submit(job)

    @handler("cancel")
    def on_cancel(self, cancels: list[Cancel]) -> None:
        """Abandons attempts; cancels sent ones if a connection is idle."""
        reply_deadline = self.timers.clock() + PROBE_REPLY_TIMEOUT_S
        for item in cancels:
            found = self.jobs.pop(item.attempt_id, None)
            if found is None:
                continue
            pool, job = found
            pool.abandon(job)
            if pool.idle and job.sent:
                data = encode_cancel(item.attempt_id)
                pool.submit(Job(None, data, reply_deadline, reply_deadline))

    @handler("due")
    def on_due(self, tokens: list[Any]) -> None:
        """Probes the upstreams or closes overdue connections."""
        if PROBE in tokens:
            self.probe_all()
        if SWEEP in tokens:
            self.sweep()
        self.flush()

    def probe_all(self) -> None:
        """Sends a status probe to each upstream that is due for one."""
        reply_deadline = self.timers.clock() + PROBE_REPLY_TIMEOUT_S
        for pool in self.pools.values():
            if self.probe_due(pool.upstream):
                probe = Probe(pool.upstream.name)
                pool.submit(
                    Job(probe, STATUS_REQUEST, reply_deadline, reply_deadline)
                )
        self.timers.after(PROBE_INTERVAL_S, self.channel, PROBE)

    def sweep(self) -> None:
        """Closes overdue connections and removes empty retired pools."""
        now = self.timers.clock()
        for pool in (*self.pools.values(), *self.retired):
            if pool.busy or pool.connecting or pool.waiting:
                pool.sweep(now)
        self.retired = [pool for pool in self.retired if pool.size]
        self.timers.after(SWEEP_INTERVAL_S, self.channel, SWEEP)

    def flush(self) -> None:
        """Reports replies and status reports, in one event of each kind."""
        inbox = self.inbox
        if inbox.idle_closed:
            # Reported before the replies, whose evaluation depends on it.
            names, inbox.idle_closed = inbox.idle_closed, []
            self.fire(closed_idle(names), self.target)
        if inbox.replies:
            replies, inbox.replies = inbox.replies, []
            for reply in replies:
                self.jobs.pop(reply.attempt_id, None)
            self.fire(replies_received(replies), self.target)
        if inbox.reports:
            reports, inbox.reports = inbox.reports, []
            self.fire(status_reports(reports), self.target)
