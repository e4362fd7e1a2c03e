"""Fake upstream on virtual time that notes what it really ran."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from arbutusbridge.core.messages import Reply, ReplyKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.messages import Attempt, Version
    from arbutusbridge.replay.schedule import Schedule

MAX_QUEUED_ATTEMPTS = 200
"""Attempts that wait for a slot; more are shed."""

SHED_RETRY_DELAY_MS = 100.0


class UpstreamMode(enum.Enum):
    """How an upstream treats what arrives."""

    SERVE = "serve"
    SHED = "shed"
    HANG = "hang"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(slots=True)
class PendingAttempt:
    """An attempt at an upstream and the function that takes its reply."""

    attempt: Attempt
    on_reply: Callable[[Reply], None]
    replied: bool = False


class FakeUpstream:
    """Serves attempts in slots with sampled service times.

    Attributes:
      name: Its name in the register.
      mode: How it treats what arrives.
      held: Versions that it serves, by service.
      service_time: Returns the seconds that one attempt takes.
      poison: Body that crashes the process that runs it.
      restart_delay_s: Time that a crashed process takes to come back, None
        when it stays away.
      incarnation: Greater for each start of the process.
      reports_leaving: Whether its status says that it leaves when it does.
      runs: What really ran: time, attempt, for searches and records.
      arrivals: Times at which an attempt of any kind arrived.
      crash_times: Times at which it crashed.
      on_crash: Called at each crash, before the attempts are lost.
    """

    def __init__(
        self,
        name: str,
        schedule: Schedule,
        slots: int,
        service_time: Callable[[], float],
    ) -> None:
        self.name = name
        self.schedule = schedule
        self.slots = slots
        self.service_time = service_time
        self.mode = UpstreamMode.SERVE
        self.held: dict[str, tuple[Version, ...]] = {}
        self.poison: Any = None
        self.restart_delay_s: float | None = 1.0
        self.false_load: float | None = None
        self.incarnation = 1
        self.reports_leaving = True
        self.running: dict[tuple[str, int], PendingAttempt] = {}
        self.waiting: deque[PendingAttempt] = deque()
        self.runs: list[tuple[float, Attempt]] = []
        self.arrivals: list[float] = []
        self.crash_times: list[float] = []
        self.on_crash: Callable[[], None] = lambda: None

    @property
    def load(self) -> float:
        """Its own report: attempts running and waiting over slots."""
        if self.false_load is not None:
            return self.false_load
        return (len(self.running) + len(self.waiting)) / self.slots

    def receive(
        self, attempt: Attempt, on_reply: Callable[[Reply], None]
    ) -> None:
        """Takes an attempt off the wire."""
        pending = PendingAttempt(attempt, on_reply)
        if self.mode is UpstreamMode.DEAD:
            self.send_reply(pending, ReplyKind.NOT_SENT)
            return
        self.arrivals.append(self.schedule.now)
        if self.mode is UpstreamMode.HANG:
            return
        held = self.held.get(attempt.service, ())
        if self.mode is UpstreamMode.LEAVING:
            self.send_reply(pending, ReplyKind.LEAVING)
        elif (
            self.mode is UpstreamMode.SHED
            or len(self.waiting) >= MAX_QUEUED_ATTEMPTS
        ):
            self.send_reply(pending, ReplyKind.SHED)
        elif attempt.version not in held:
            self.send_reply(pending, ReplyKind.NOT_HELD)
        elif len(self.running) < self.slots:
            self.start_attempt(pending)
        else:
            self.waiting.append(pending)

    def start_attempt(self, pending: PendingAttempt) -> None:
        """Puts an attempt into a slot."""
        attempt = pending.attempt
        if self.schedule.now > attempt.deadline:
            self.send_reply(pending, ReplyKind.EXPIRED)
            return
        self.runs.append((self.schedule.now, attempt))
        self.running[(attempt.request_id, attempt.attempt_id)] = pending
        if self.poison is not None and attempt.body == self.poison:
            self.crash()
            return
        self.schedule.after(self.service_time(), self.finish_attempt, pending)

    def finish_attempt(self, pending: PendingAttempt) -> None:
        """Answers an attempt whose service time is over."""
        key = (pending.attempt.request_id, pending.attempt.attempt_id)
        if self.running.pop(key, None) is None:
            return
        self.send_reply(pending, ReplyKind.RESULT)
        self.start_queued()

    def start_queued(self) -> None:
        """Fills free slots from the queue."""
        while self.waiting and len(self.running) < self.slots:
            self.start_attempt(self.waiting.popleft())

    def cancel(self, attempt: Attempt) -> None:
        """Frees the slot or the place in the queue of an attempt."""
        key = (attempt.request_id, attempt.attempt_id)
        if attempt.key is None and self.running.pop(key, None) is not None:
            self.start_queued()
            return
        for pending in self.waiting:
            if pending.attempt is attempt:
                self.waiting.remove(pending)
                return

    def crash(self) -> None:
        """Loses every connection and comes back after a while."""
        self.crash_times.append(self.schedule.now)
        self.mode = UpstreamMode.DEAD
        self.on_crash()
        lost = [*self.running.values(), *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for pending in lost:
            self.send_reply(pending, ReplyKind.LOST)
        if self.restart_delay_s is not None:
            self.schedule.after(self.restart_delay_s, self.restart)

    def restart(self) -> None:
        """Serves again after a crash or a leave."""
        self.incarnation += 1
        self.mode = UpstreamMode.SERVE

    def send_reply(self, pending: PendingAttempt, kind: ReplyKind) -> None:
        """Gives an attempt its one reply."""
        if pending.replied:
            return
        pending.replied = True
        attempt = pending.attempt
        reply = Reply(attempt.attempt_id, self.name, kind)
        reply.incarnation = self.incarnation
        if kind is ReplyKind.SHED:
            reply.retry_after_ms = SHED_RETRY_DELAY_MS
        if kind in (ReplyKind.RESULT, ReplyKind.NOT_HELD):
            reply.held = self.held.get(attempt.service, ())
            reply.load = self.load
        if kind is ReplyKind.RESULT:
            reply.version = attempt.version
            reply.shard = attempt.shard
            reply.hits = [make_hit(attempt)]
            reply.result = {"recorded": attempt.key}
        pending.on_reply(reply)


def make_hit(attempt: Attempt) -> dict[str, Any]:
    """Returns a hit that tells what it was computed on and for."""
    return {
        "id": attempt.shard,
        "score": 1.0,
        "version": attempt.version,
        "query": attempt.body,
    }
