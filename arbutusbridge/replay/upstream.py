"""Fake upstream on virtual time that records which attempts it ran."""

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
"""Maximum number of attempts queued for a slot; further ones are shed."""

SHED_RETRY_DELAY_MS = 100.0
"""Retry delay stated in the reply to an attempt that is shed."""


class UpstreamMode(enum.Enum):
    """How an upstream treats arriving attempts."""

    SERVE = "serve"
    SHED = "shed"
    HANG = "hang"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(slots=True)
class PendingAttempt:
    """An attempt at an upstream that is queued or running.

    Attributes:
      attempt: The attempt.
      on_reply: Function called with its reply.
      replied: Whether the reply was sent.
    """

    attempt: Attempt
    on_reply: Callable[[Reply], None]
    replied: bool = False


class FakeUpstream:
    """Upstream with a fixed number of slots and sampled service times.

    Attributes:
      name: Name in the register.
      schedule: Virtual clock.
      slots: Maximum number of attempts that run at a time.
      service_time: Returns the service time of one attempt, in seconds.
      mode: How arriving attempts are treated.
      held: Versions that it serves, by service.
      poison: Body that crashes the upstream when it is run, None for none.
      restart_delay_s: Seconds from a crash to the restart, None if the
        upstream stays down.
      false_load: Load reported in place of the real one, None for the real
        one.
      incarnation: Number that grows with each start.
      reports_leaving: Whether its status reports that it is leaving.
      running: Attempts that occupy a slot, by request id and attempt id.
      waiting: Attempts queued for a slot.
      runs: Attempts that were run, with their start times.
      arrivals: Times at which attempts arrived, run or not.
      crash_times: Times at which it crashed.
      on_crash: Function called at each crash, before the attempts are lost.
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
        """The reported load: running and queued attempts over slots."""
        if self.false_load is not None:
            return self.false_load
        return (len(self.running) + len(self.waiting)) / self.slots

    def receive(
        self, attempt: Attempt, on_reply: Callable[[Reply], None]
    ) -> None:
        """Runs, queues or refuses an arriving attempt."""
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
        """Runs an attempt in a free slot, unless its deadline has passed."""
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
        """Replies to an attempt at the end of its service time."""
        key = (pending.attempt.request_id, pending.attempt.attempt_id)
        if self.running.pop(key, None) is None:
            return
        self.send_reply(pending, ReplyKind.RESULT)
        self.start_queued()

    def start_queued(self) -> None:
        """Starts queued attempts while slots are free."""
        while self.waiting and len(self.running) < self.slots:
            self.start_attempt(self.waiting.popleft())

    def cancel(self, attempt: Attempt) -> None:
        """Removes a cancelled attempt from its slot or from the queue.

        A record that is running already is not stopped.
        """
        key = (attempt.request_id, attempt.attempt_id)
        if attempt.key is None and self.running.pop(key, None) is not None:
            self.start_queued()
            return
        for pending in self.waiting:
            if pending.attempt is attempt:
                self.waiting.remove(pending)
                return

    def crash(self) -> None:
        """Loses all attempts and schedules the restart, if there is one."""
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
        """Serves again with a new incarnation."""
        self.incarnation += 1
        self.mode = UpstreamMode.SERVE

    def send_reply(self, pending: PendingAttempt, kind: ReplyKind) -> None:
        """Replies to an attempt; does nothing after the first reply."""
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
    """Returns a hit that names its shard, version and query.

    The checks of the guarantees compare these with the answer.
    """
    return {
        "id": attempt.shard,
        "score": 1.0,
        "version": attempt.version,
        "query": attempt.body,
    }
