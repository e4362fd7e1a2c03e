"""Connections to announced upstreams and the attempts they carry."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.messages import ReplyKind
from arbutusbridge.daemon.events import attempts_ended
from arbutusbridge.daemon.pool import Job, JobProtocol, Pool
from arbutusbridge.daemon.relayconnection import RelayConnection
from arbutusbridge.forwarding.messages import AttemptEnd, UpstreamReply

if TYPE_CHECKING:
    from arbutusbridge.daemon.connection import Connection
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.forwarding.messages import DropAttempt, SendAttempt
    from arbutusbridge.forwarding.model import Announcement
    from arbutusbridge.forwarding.wireformat import WireFormat

SWEEP_INTERVAL_S = 0.2
"""Time between two looks for overdue connections."""

RELAY_REPLY_GRACE_S = 0.2
"""Time past an attempt's deadline after which its connection is closed."""

SHARED_CONNECTIONS_FRACTION = 0.9
"""Part of an upstream's connections that the instances share out; the rest is
left to instances that are not counted yet."""

PRIMARY_SENDERS_FRACTION = 0.4
"""Part of them that goes to the few instances that ask an upstream most of the
time; the others open one when they must."""

FALLBACK_MAX_CONNECTIONS = 2
"""Connections to one upstream while its service's bound is not known."""

MIN_PREPARED_OPEN_S = 2.0
"""Time for which a connection that is made ready must still be open."""

SWEEP = "sweep"


class RelayPools(BaseComponent):
    """Sends attempts to upstreams and reports how they end, by turn.

    Attributes:
      pools: Connections by upstream id.
      retired: Pools of upstreams that are gone, while they carry something.
      jobs: Open attempts by id, with their pool.
      replies: Ends not yet reported.
      bounds: Connections that one upstream accepts, by service.
      instances: Instances that share them.
      primary_senders: Instances that ask the upstreams here most of the time,
        0 if this is none of them.
    """

    channel = "links"

    def __init__(
        self,
        hub: SocketHub,
        timers: TimerService,
        wire: WireFormat,
        target: str,
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
        self.bounds: dict[str, int] = {}
        self.instances = 1
        self.primary_senders = 0
        connect = functools.partial(RelayConnection, is_for=wire.is_for)
        self.protocol = JobProtocol(
            self.encode,
            self.handle_response,
            self.handle_failure,
            connect=connect,
        )
        hub.after_turn.append(self.flush)
        timers.after(SWEEP_INTERVAL_S, self.channel, SWEEP)

    def share(
        self, bounds: dict[str, int], instances: int, primary_senders: int
    ) -> None:
        """Takes the bounds that all instances keep to together.

        Args:
          bounds: Connections that one upstream accepts, by service.
          instances: Instances that share them.
          primary_senders: Instances that ask the upstreams of this data centre
            most of the time, 0 if this is none of them.
        """
        shared = (bounds, instances, primary_senders)
        if shared == (self.bounds, self.instances, self.primary_senders):
            return
        self.bounds, self.instances, self.primary_senders = shared
        for pool in self.pools.values():
            pool.set_max_connections(self.max_connections_for(pool.upstream))

    def max_connections_for(self, upstream: Announcement) -> int:
        """Returns the connections that this instance may hold."""
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
        """Returns the connections to an upstream, new ones if it moved."""
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
        """Lets go of an upstream that is gone; what was sent may finish."""
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.retire()
            self.retired.append(pool)

    def send(self, send: SendAttempt) -> None:
        """Hands one attempt to its upstream's connections."""
        job = Job(
            send,
            b"",
            send.deadline,
            send.deadline + RELAY_REPLY_GRACE_S,
            once=not send.repeatable,
        )
        pool = self.pool_for(send.upstream)
        self.jobs[send.attempt_id] = (pool, job)
        pool.submit(job)

    def ensure_connected(self, upstream: Announcement) -> None:
        """Sees to it that a connection to an upstream is ready."""
        self.pool_for(upstream).ensure_connected(MIN_PREPARED_OPEN_S)

    def drop(self, drop: DropAttempt) -> None:
        """Stops waiting for an attempt."""
        found = self.jobs.get(drop.attempt_id)
        if found is None:
            return
        pool, job = found
        if not job.sent:
            pool.abandon(job)
            self.report(job, AttemptEnd.NOT_SENT, "dropped before it was sent")
        elif drop.at_once:
            pool.close_connection_of(job)
        else:
            pool.abandon(job)

    def encode(self, job: Job, connection: Connection, now: float) -> bytes:
        """Writes an attempt."""
        send = job.context
        assert isinstance(connection, RelayConnection)
        request = send.request
        connection.expect(request.request_id, request.method != "HEAD")
        return self.wire.encode_attempt(send, now)

    def handle_response(
        self, job: Job, connection: Connection, status: int, body: bytes
    ) -> bool:
        """Reads the response to an attempt."""
        assert isinstance(connection, RelayConnection)
        send = job.context
        reply = self.wire.decode_reply(
            send.attempt_id, status, connection.headers, body
        )
        self.jobs.pop(send.attempt_id, None)
        self.replies.append(reply)
        return True

    def handle_failure(self, job: Job, kind: ReplyKind) -> None:
        """Reports an attempt without a response."""
        end = AttemptEnd.LOST
        if kind is ReplyKind.NOT_SENT:
            end = AttemptEnd.NOT_SENT
        self.report(job, end, kind.name.lower())

    def report(self, job: Job, end: AttemptEnd, detail: str) -> None:
        """Reports how an attempt ended, once."""
        attempt_id = job.context.attempt_id
        if self.jobs.pop(attempt_id, None) is not None:
            reply = UpstreamReply(attempt_id, end, detail=detail)
            self.replies.append(reply)

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Closes connections that are overdue."""
        now = self.timers.clock()
        for pool in (*self.pools.values(), *self.retired):
            if pool.busy or pool.connecting or pool.waiting:
                pool.sweep(now)
        self.retired = [pool for pool in self.retired if pool.size]
        self.timers.after(SWEEP_INTERVAL_S, self.channel, SWEEP)
        self.flush()

    def flush(self) -> None:
        """Reports what ended, in one event."""
        if self.replies:
            replies, self.replies = self.replies, []
            self.fire(attempts_ended(replies), self.target)
