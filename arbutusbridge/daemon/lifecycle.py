"""Carry out a planned stop of the instance."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.stop import StopPlan, StopStep
from arbutusbridge.daemon.events import drained, stopping
from arbutusbridge.daemon.hub import READABLE
from arbutusbridge.daemon.logs import get_logger

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)

TICK_INTERVAL_S = 0.05
"""Time between two looks at what is still open."""

IDLE_THRESHOLD_S = 0.25
"""Time without a byte after which a connection counts as idle."""


@dataclass(frozen=True, slots=True)
class DrainHooks:
    """What a stop needs to know and do at the callers' side.

    Attributes:
      count_open: Returns connections and requests that are not finished.
      latest_deadline: Returns the latest deadline of an open request, or 0.
      close_after_answers: Lets every answer close its connection.
      stop_listening: Closes the listener and none of its connections.
      close_idle: Closes connections that carried nothing for some seconds.
      answer_open_requests: Gives open requests their final answers.
    """

    count_open: Callable[[], int]
    latest_deadline: Callable[[], float]
    close_after_answers: Callable[[], None]
    stop_listening: Callable[[], None]
    close_idle: Callable[[float], None]
    answer_open_requests: Callable[[], None]


class Lifecycle(BaseComponent):
    """Takes the instance from a signal to the end of its process.

    Attributes:
      plan: The phases of the stop.
      drain_hooks: The callers' side.
    """

    channel = "lifecycle"

    def __init__(
        self,
        plan: StopPlan,
        hub: SocketHub,
        timers: TimerService,
        drain_hooks: DrainHooks,
    ) -> None:
        super().__init__()
        self.plan = plan
        self.timers = timers
        self.drain_hooks = drain_hooks
        self.asked, self.stop_sender = socket.socketpair()
        self.asked.setblocking(False)
        self.stop_sender.setblocking(False)
        hub.add(self.asked.fileno(), READABLE, self.on_stop_requested)

    def request_stop(self) -> None:
        """Asks for a stop; safe in a signal handler and in any thread."""
        with contextlib.suppress(BlockingIOError):
            self.stop_sender.send(b"\0")

    def on_stop_requested(self, _mask: int) -> None:
        """Begins the stop."""
        with contextlib.suppress(BlockingIOError):
            self.asked.recv(64)
        if self.plan.stopping:
            return
        logger.notice(
            "stop begins", extra={"lag_seconds": self.plan.balancer_lag_s}
        )
        self.carry_out(self.plan.begin(self.timers.clock()))
        self.timers.after(TICK_INTERVAL_S, self.channel, "tick")

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Looks at what is still open."""
        steps = self.plan.tick(
            self.timers.clock(),
            self.drain_hooks.count_open(),
            self.drain_hooks.latest_deadline(),
        )
        self.carry_out(steps)
        if StopStep.EXIT not in steps:
            self.timers.after(TICK_INTERVAL_S, self.channel, "tick")

    def carry_out(self, steps: list[StopStep]) -> None:
        """Carries out steps of the plan."""
        for step in steps:
            match step:
                case StopStep.ANNOUNCE_LEAVING:
                    self.fire(stopping(), "*")
                case StopStep.CLOSE_AFTER_ANSWERS:
                    self.drain_hooks.close_after_answers()
                case StopStep.STOP_LISTENING:
                    logger.notice("listener closes")
                    self.drain_hooks.stop_listening()
                case StopStep.CLOSE_IDLE:
                    self.drain_hooks.close_idle(IDLE_THRESHOLD_S)
                case StopStep.ANSWER_ALL:
                    logger.notice("open requests get their last answers")
                    self.drain_hooks.answer_open_requests()
                case StopStep.EXIT:
                    self.exit()

    def exit(self) -> None:
        """Ends the loop, with which the process ends."""
        logger.notice(
            "stopped", extra={"left_open": self.drain_hooks.count_open()}
        )
        self.fire(drained(), "*")
        self.root.stop()
