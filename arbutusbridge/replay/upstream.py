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

QUEUE_LENGTH = 200
"""Attempts that wait for a slot; more are shed."""

SHED_RETRY_MS = 100.0


class Mode(enum.Enum):
    """How an upstream treats what arrives."""

    SERVE = "serve"
    SHED = "shed"
    HANG = "hang"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(slots=True)
class Work:
    """An attempt at an upstream and the function that takes its reply."""

    attempt: Attempt
    reply: Callable[[Reply], None]
    settled: bool = False


class FakeUpstream:
    """Serves attempts in slots with sampled service times.

    Attributes:
      name: Its name in the register.
      mode: How it treats what arrives.
      held: Versions that it serves, by service.
      service_time: Returns the seconds that one attempt takes.
      poison: Body that crashes the process that runs it.
      restart_seconds: Time that a crashed process takes to come back, None
        when it stays away.
      incarnation: Greater for each start of the process.
      tells_leaving: Whether its status says that it leaves when it does.
      runs: What really ran: time, attempt, for searches and records.
      arrivals: Times at which an attempt of any kind arrived.
      crashes: Times at which it crashed.
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
        self.mode = Mode.SERVE
        self.held: dict[str, tuple[Version, ...]] = {}
        self.poison: Any = None
        self.restart_seconds: float | None = 1.0
        self.misreport: float | None = None
        self.incarnation = 1
        self.tells_leaving = True
        self.running: dict[tuple[str, int], Work] = {}
        self.waiting: deque[Work] = deque()
        self.runs: list[tuple[float, Attempt]] = []
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        self.on_crash: Callable[[], None] = lambda: None

    @property
    def load(self) -> float:
        """Its own report: attempts running and waiting over slots."""
        if self.misreport is not None:
            return self.misreport
        return (len(self.running) + len(self.waiting)) / self.slots

    def take(self, attempt: Attempt, reply: Callable[[Reply], None]) -> None:
        """Takes an attempt off the wire."""
        work = Work(attempt, reply)
        if self.mode is Mode.DEAD:
            self.settle(work, ReplyKind.NOT_SENT)
            return
        self.arrivals.append(self.schedule.now)
        if self.mode is Mode.HANG:
            return
        held = self.held.get(attempt.service, ())
        if self.mode is Mode.LEAVING:
            self.settle(work, ReplyKind.LEAVING)
        elif self.mode is Mode.SHED or len(self.waiting) >= QUEUE_LENGTH:
            self.settle(work, ReplyKind.SHED)
        elif attempt.version not in held:
            self.settle(work, ReplyKind.NOT_HELD)
        elif len(self.running) < self.slots:
            self.start(work)
        else:
            self.waiting.append(work)

    def start(self, work: Work) -> None:
        """Puts an attempt into a slot."""
        attempt = work.attempt
        if self.schedule.now > attempt.deadline:
            self.settle(work, ReplyKind.EXPIRED)
            return
        self.runs.append((self.schedule.now, attempt))
        self.running[(attempt.request_id, attempt.attempt_id)] = work
        if self.poison is not None and attempt.body == self.poison:
            self.crash()
            return
        self.schedule.after(self.service_time(), self.finish, work)

    def finish(self, work: Work) -> None:
        """Answers an attempt whose service time is over."""
        key = (work.attempt.request_id, work.attempt.attempt_id)
        if self.running.pop(key, None) is None:
            return
        self.settle(work, ReplyKind.RESULT)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Fills free slots from the queue."""
        while self.waiting and len(self.running) < self.slots:
            self.start(self.waiting.popleft())

    def cancel(self, attempt: Attempt) -> None:
        """Frees the slot or the place in the queue of an attempt."""
        key = (attempt.request_id, attempt.attempt_id)
        if attempt.key is None and self.running.pop(key, None) is not None:
            self.start_waiting()
            return
        for work in self.waiting:
            if work.attempt is attempt:
                self.waiting.remove(work)
                return

    def crash(self) -> None:
        """Loses every connection and comes back after a while."""
        self.crashes.append(self.schedule.now)
        self.mode = Mode.DEAD
        self.on_crash()
        lost = [*self.running.values(), *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for work in lost:
            self.settle(work, ReplyKind.LOST)
        if self.restart_seconds is not None:
            self.schedule.after(self.restart_seconds, self.restart)

    def restart(self) -> None:
        """Serves again after a crash or a leave."""
        self.incarnation += 1
        self.mode = Mode.SERVE

    def settle(self, work: Work, kind: ReplyKind) -> None:
        """Gives an attempt its one reply."""
        if work.settled:
            return
        work.settled = True
        attempt = work.attempt
        reply = Reply(attempt.attempt_id, self.name, kind)
        reply.incarnation = self.incarnation
        if kind is ReplyKind.SHED:
            reply.retry_after_ms = SHED_RETRY_MS
        if kind in (ReplyKind.RESULT, ReplyKind.NOT_HELD):
            reply.held = self.held.get(attempt.service, ())
            reply.load = self.load
        if kind is ReplyKind.RESULT:
            reply.version = attempt.version
            reply.shard = attempt.shard
            reply.hits = [made_up_hit(attempt)]
            reply.result = {"recorded": attempt.key}
        work.reply(reply)


def made_up_hit(attempt: Attempt) -> dict[str, Any]:
    """Returns a hit that tells what it was computed on and for."""
    return {
        "id": attempt.shard,
        "score": 1.0,
        "version": attempt.version,
        "query": attempt.body,
    }
