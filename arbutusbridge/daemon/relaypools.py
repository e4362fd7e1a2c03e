"""Connection pools to announced upstreams, for forwarded requests."""

from __future__ import annotations

import functools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.messages import ReplyKind
from arbutusbridge.daemon.events import (
    attempts_ended,
    closed_idle,
    upstream_checked,
    upstream_connected,
)
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.pool import (
    CONNECT_TIMEOUT_S,
    Job,
    JobProtocol,
    Pool,
)
from arbutusbridge.daemon.relayconnection import RelayConnection
from arbutusbridge.forwarding.messages import AttemptEnd, UpstreamReply

if TYPE_CHECKING:
    from arbutusbridge.daemon.connection import Connection
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.forwarding.messages import DropAttempt, SendAttempt
    from arbutusbridge.forwarding.model import Announcement
    from arbutusbridge.forwarding.wireformat import WireFormat

logger = get_logger(__name__)

SWEEP_INTERVAL_S = 0.2
"""Interval of the checks for overdue connections."""

RELAY_REPLY_GRACE_S = 0.2
"""Time past the deadline of a forwarded attempt after which its connection is
closed."""

SHARED_CONNECTIONS_FRACTION = 0.9
"""Fraction of an upstream's connections that the known instances share; the
rest is reserved for instances that are not counted yet."""

PRIMARY_SENDERS_FRACTION = 0.4
"""Fraction of an upstream's connections shared by the few instances that send
it most of its requests; the others open a connection when they need one."""

FALLBACK_MAX_CONNECTIONS = 2
"""Maximum number of connections to one upstream while the limit of its service
is unknown."""

MIN_PREPARED_OPEN_S = 2.0
"""Minimum time for which a prepared connection must stay open."""

PROBE_HOLD_S = 0.05
"""Time for which the connection of a probe must stay open. What stands before
an upstream may accept a connection and close it at once."""

SWEEP = "sweep"


@dataclass(slots=True, eq=False)
class Probe:
    """Connection that is opened to find out whether an upstream is reached.

    Attributes:
      upstream: The upstream.
      connection: The connection.
      started_at: When it was begun.
    """

    upstream: Announcement
    connection: Connection
    started_at: float


class RelayPools(BaseComponent):
    """Sends attempts to upstreams and reports in batches how they ended.

    Attributes:
      target: Channel of the component that handles the ends of attempts.
      pools: Connection pools by upstream id.
      retired: Pools of removed upstreams with connections left.
      jobs: Open attempts by id, with their pool.
      replies: Ends of attempts that are not reported yet.
      probes: Connections that are opened as probes.
      checks: Upstreams that are to be checked for a crash.
      idle_closes: Upstreams that closed connections in recent use and are not
        reported yet.
      bounds: Maximum connections that one upstream accepts, by service.
      instances: Number of instances that share these connections.
      primary_senders: Number of instances that send most requests to the
        upstreams of this data centre, 0 if this instance is not one of them.
    """

    channel = "links"

    def __init__(
        self,
        hub: SocketHub,
        timers: TimerService,
        wire: WireFormat,
        target: str,
        source_ip: str | None = None,
    ) -> None:
        super().__init__()
        self.hub = hub
        self.timers = timers
        self.wire = wire
        self.target = target
        self.pools: dict[str, Pool] = {}
        self.retired: list[Pool] = []
        self.jobs: dict[int, tuple[Pool, Job]] = {}
        self.replies: list[UpstreamReply] = []
        self.probes: list[Probe] = []
        self.checks: set[str] = set()
        self.idle_closes: list[Announcement] = []
        self.bounds: dict[str, int] = {}
        self.instances = 1
        self.primary_senders = 0
        connect = functools.partial(
            RelayConnection,
            read_identity=wire.read_identity,
            source_ip=source_ip,
        )
        self.protocol = JobProtocol(
            self.encode,
            self.handle_response,
            self.handle_failure,
            handle_idle_close=self.handle_idle_close,
            handle_connect=self.handle_connect,
            connect=connect,
            may_carry=self.may_carry,
        )
        hub.after_turn.append(self.flush)
        timers.after(SWEEP_INTERVAL_S, self.channel, SWEEP)

    def share(
        self, bounds: dict[str, int], instances: int, primary_senders: int
    ) -> None:
        """Sets the connection limits that the instances share.

        Args:
          bounds: Maximum connections that one upstream accepts, by service.
          instances: Number of instances that share these connections.
          primary_senders: Number of instances that send most requests to the
            upstreams of this data centre, 0 if this instance is not one of
            them.
        """
        shared = (bounds, instances, primary_senders)
        if shared == (self.bounds, self.instances, self.primary_senders):
            return
        self.bounds, self.instances, self.primary_senders = shared
        for pool in self.pools.values():
            pool.set_max_connections(self.max_connections_for(pool.upstream))

    def max_connections_for(self, upstream: Announcement) -> int:
        """Returns the maximum connections of this instance to an upstream."""
        bound = self.bounds.get(upstream.service)
        if bound is None:
            return FALLBACK_MAX_CONNECTIONS
        share = bound * SHARED_CONNECTIONS_FRACTION / self.instances
        if self.primary_senders:
            share = max(
                share, bound * PRIMARY_SENDERS_FRACTION / self.primary_senders
            )
        return max(1, int(share))

    def pool_for(self, upstream: Announcement) -> Pool:
        """Returns the pool of an upstream; opens one for a new address."""
        pool = self.pools.get(upstream.upstream)
        if pool is not None and pool.address != upstream.address:
            self.retire(upstream.upstream)
            pool = None
        if pool is None:
            pool = self.pools[upstream.upstream] = Pool(
                upstream,
                upstream.address,
                self.max_connections_for(upstream),
                self.hub,
                self.timers.clock,
                self.protocol,
            )
        return pool

    def retire(self, name: str) -> None:
        """Retires the pool of an upstream; sent attempts may still complete."""
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.retire()
            self.retired.append(pool)

    def send(self, attempt: SendAttempt) -> None:
        """Submits one attempt to the pool of its upstream."""
        job = Job(
            attempt,
            b"",
            min(attempt.deadline, attempt.send_by),
            attempt.deadline + RELAY_REPLY_GRACE_S,
            once=not attempt.idempotent,
            fresh=attempt.fresh,
        )
        pool = self.pool_for(attempt.upstream)
        self.jobs[attempt.attempt_id] = (pool, job)
        pool.submit(job)

    def ensure_connected(self, upstream: Announcement) -> None:
        """Opens a connection to an upstream unless there is one."""
        self.pool_for(upstream).ensure_connected(MIN_PREPARED_OPEN_S)

    def check(self, upstream: Announcement) -> None:
        """Opens a connection to an upstream, and reports whether it accepts."""
        self.checks.add(upstream.upstream)
        self.pool_for(upstream).connect()

    def probe(self, upstream: Announcement) -> None:
        """Opens a connection of its own and reports it if it stays open."""
        try:
            connection = self.protocol.connect(
                self.hub,
                upstream.address,
                lambda _connection, _status, _body: None,
                lambda _connection: None,
            )
        except OSError as err:
            detail = {"upstream": upstream.upstream, "error": str(err)}
            logger.debug("probe of an upstream failed", extra=detail)
            return
        self.protocol.connects += 1
        probe = Probe(upstream, connection, self.timers.clock())
        self.probes.append(probe)
        connection.on_established = lambda _connection: self.timers.after(
            PROBE_HOLD_S, self.channel, probe
        )

    def end_probe(self, probe: Probe) -> None:
        """Reports a probe whose connection has stayed open, and closes it."""
        if probe.connection.alive:
            self.fire(upstream_connected(probe.upstream), self.target)
            probe.connection.close()

    def handle_connect(self, upstream: Announcement, accepted: bool) -> None:
        """Reports the result of a check."""
        if upstream.upstream in self.checks:
            self.checks.discard(upstream.upstream)
            self.fire(upstream_checked(upstream, accepted), self.target)

    def handle_idle_close(self, upstream: Announcement) -> None:
        """Queues an upstream that closed connections for reporting."""
        self.idle_closes.append(upstream)

    def withdraw(self, attempt_id: int) -> None:
        """Ends an attempt unless it has been sent."""
        pool, job = self.jobs.get(attempt_id, (None, None))
        if pool is not None and job is not None and not job.sent:
            pool.abandon(job)
            self.report(job, AttemptEnd.WITHDRAWN, "withdrawn unsent")

    def drop(self, dropped: DropAttempt) -> None:
        """Drops an attempt; closes its connection if it must end at once."""
        found = self.jobs.get(dropped.attempt_id)
        if found is None:
            return
        pool, job = found
        if not job.sent:
            pool.abandon(job)
            self.report(job, AttemptEnd.NOT_SENT, "dropped before it was sent")
        elif dropped.close_connection:
            pool.close_connection_of(job)
        else:
            pool.abandon(job)

    def may_carry(self, connection: Connection, job: Job) -> bool:
        """Returns whether a connection has not carried the same request yet.

        A late copy of the response to an earlier attempt could not be told from
        the response to this one.
        """
        assert isinstance(connection, RelayConnection)
        return job.context.request.request_id not in connection.carried

    def encode(self, job: Job, connection: Connection, now: float) -> bytes:
        """Encodes an attempt as an HTTP request."""
        attempt = job.context
        assert isinstance(connection, RelayConnection)
        request = attempt.request
        connection.expect(request.request_id, request.method != "HEAD")
        return self.wire.encode_attempt(attempt, now)

    def handle_response(
        self, job: Job, connection: Connection, status: int, body: bytes
    ) -> bool:
        """Decodes the response to an attempt and queues it for reporting."""
        assert isinstance(connection, RelayConnection)
        attempt = job.context
        try:
            reply = self.wire.decode_reply(
                attempt.attempt_id, status, connection.headers, body
            )
        except Exception:
            logger.exception("response could not be decoded")
            reply = UpstreamReply(
                attempt.attempt_id, AttemptEnd.LOST, detail="not decoded"
            )
        self.jobs.pop(attempt.attempt_id, None)
        self.replies.append(reply)
        return True

    def handle_failure(self, job: Job, kind: ReplyKind) -> None:
        """Queues the end of an attempt that has no response."""
        end = AttemptEnd.LOST
        if kind is ReplyKind.NOT_SENT:
            end = AttemptEnd.NOT_SENT
        self.report(job, end, kind.name.lower(), kind)

    def report(
        self,
        job: Job,
        end: AttemptEnd,
        detail: str,
        kind: ReplyKind | None = None,
    ) -> None:
        """Queues the end of an attempt for reporting, once."""
        attempt_id = job.context.attempt_id
        if self.jobs.pop(attempt_id, None) is not None:
            reply = UpstreamReply(
                attempt_id,
                end,
                detail=detail,
                connection_closed=kind in (ReplyKind.LOST, ReplyKind.STALE),
                timed_out=kind is ReplyKind.EXPIRED,
            )
            self.replies.append(reply)

    @handler("due")
    def on_due(self, tokens: list[Any]) -> None:
        """Ends probes, and sweeps the pools at their interval."""
        for token in tokens:
            if token is SWEEP:
                self.sweep()
            else:
                self.end_probe(token)

    def sweep(self) -> None:
        """Closes overdue connections and removes empty retired pools."""
        now = self.timers.clock()
        for probe in self.probes:
            if now - probe.started_at > CONNECT_TIMEOUT_S:
                probe.connection.close()
        self.probes = [one for one in self.probes if one.connection.alive]
        for pool in (*self.pools.values(), *self.retired):
            if pool.busy or pool.connecting or pool.waiting:
                pool.sweep(now)
        self.retired = [pool for pool in self.retired if pool.size]
        self.timers.after(SWEEP_INTERVAL_S, self.channel, SWEEP)
        self.flush()

    def flush(self) -> None:
        """Reports the ended attempts in one event.

        Idle closes are reported first: they show that a loss is an outage.
        """
        if self.idle_closes:
            closes, self.idle_closes = self.idle_closes, []
            self.fire(closed_idle(closes), self.target)
        if self.replies:
            replies, self.replies = self.replies, []
            self.fire(attempts_ended(replies), self.target)
