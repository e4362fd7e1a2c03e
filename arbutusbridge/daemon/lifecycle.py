"""Carry out a planned stop of the instance."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.stop import StopPlan, StopStep
from arbutusbridge.daemon.events import ended, stopping
from arbutusbridge.daemon.hub import READABLE
from arbutusbridge.daemon.logs import get_logger

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)

TICK_SECONDS = 0.05
"""Time between two looks at what is still open."""

IDLE_SECONDS = 0.25
"""Time without a byte after which a connection counts as idle."""


@dataclass(frozen=True, slots=True)
class Door:
    """What a stop needs to know and do at the callers' side.

    Attributes:
      open_work: Returns connections and requests that are not finished.
      last_deadline: Returns the latest deadline of an open request, or 0.
      close_after_answers: Lets every answer close its connection.
      stop_listening: Closes the listener and none of its connections.
      close_idle: Closes connections that carried nothing for some seconds.
      answer_all: Gives open requests their final answers.
    """

    open_work: Callable[[], int]
    last_deadline: Callable[[], float]
    close_after_answers: Callable[[], None]
    stop_listening: Callable[[], None]
    close_idle: Callable[[float], None]
    answer_all: Callable[[], None]


class Lifecycle(BaseComponent):
    """Takes the instance from a signal to the end of its process.

    Attributes:
      plan: The phases of the stop.
      door: The callers' side.
    """

    channel = "lifecycle"

    def __init__(
        self,
        plan: StopPlan,
        hub: SocketHub,
        timers: TimerService,
        door: Door,
    ) -> None:
        super().__init__()
        self.plan = plan
        self.timers = timers
        self.door = door
        self.asked, self.ask = socket.socketpair()
        self.asked.setblocking(False)
        self.ask.setblocking(False)
        hub.add(self.asked.fileno(), READABLE, self.on_asked)

    def request_stop(self) -> None:
        """Asks for a stop; safe in a signal handler and in any thread."""
        with contextlib.suppress(BlockingIOError):
            self.ask.send(b"\0")

    def on_asked(self, _mask: int) -> None:
        """Begins the stop."""
        with contextlib.suppress(BlockingIOError):
            self.asked.recv(64)
        if self.plan.stopping:
            return
        logger.notice(
            "stop begins", extra={"lag_seconds": self.plan.balancer_lag_s}
        )
        self.carry_out(self.plan.begin(self.timers.clock()))
        self.timers.after(TICK_SECONDS, self.channel, "tick")

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Looks at what is still open."""
        steps = self.plan.tick(
            self.timers.clock(),
            self.door.open_work(),
            self.door.last_deadline(),
        )
        self.carry_out(steps)
        if StopStep.EXIT not in steps:
            self.timers.after(TICK_SECONDS, self.channel, "tick")

    def carry_out(self, steps: list[StopStep]) -> None:
        """Carries out steps of the plan."""
        for step in steps:
            match step:
                case StopStep.ANNOUNCE_LEAVING:
                    self.fire(stopping(), "*")
                case StopStep.CLOSE_AFTER_ANSWERS:
                    self.door.close_after_answers()
                case StopStep.STOP_LISTENING:
                    logger.notice("listener closes")
                    self.door.stop_listening()
                case StopStep.CLOSE_IDLE:
                    self.door.close_idle(IDLE_SECONDS)
                case StopStep.ANSWER_ALL:
                    logger.notice("open requests get their last answers")
                    self.door.answer_all()
                case StopStep.EXIT:
                    self.exit()

    def exit(self) -> None:
        """Ends the loop, with which the process ends."""
        logger.notice("stopped", extra={"left_open": self.door.open_work()})
        self.fire(ended(), "*")
        self.root.stop()
