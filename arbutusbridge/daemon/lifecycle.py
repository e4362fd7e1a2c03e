"""Planned stop of an instance."""

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
"""Interval at which open requests and connections are counted during a stop."""

IDLE_THRESHOLD_S = 0.25
"""Time without a byte after which a connection counts as idle."""


@dataclass(frozen=True, slots=True)
class DrainHooks:
    """Callbacks with which a planned stop drains callers.

    Attributes:
      count_open: Returns the number of open connections and requests.
      latest_deadline: Returns the latest deadline of an open request, or 0.
      close_after_answers: Makes every answer close its connection.
      stop_listening: Closes the listener and keeps accepted connections.
      close_idle: Closes connections idle for longer than the given seconds.
      answer_open_requests: Answers every open request with the replies received
        so far.
    """

    count_open: Callable[[], int]
    latest_deadline: Callable[[], float]
    close_after_answers: Callable[[], None]
    stop_listening: Callable[[], None]
    close_idle: Callable[[float], None]
    answer_open_requests: Callable[[], None]


class Lifecycle(BaseComponent):
    """Performs a planned stop, from the signal to the end of the process.

    Attributes:
      plan: The phases of the stop.
      drain_hooks: Callbacks that drain callers.
      asked: Socket that becomes readable when a stop is requested.
      stop_sender: Socket that a stop is requested through.
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
        """Requests a stop; safe in a signal handler and from any thread."""
        with contextlib.suppress(BlockingIOError):
            self.stop_sender.send(b"\0")

    def on_stop_requested(self, _mask: int) -> None:
        """Starts the stop; ignored if one is under way."""
        with contextlib.suppress(BlockingIOError):
            self.asked.recv(64)
        if self.plan.stopping:
            return
        logger.notice(
            "stop requested", extra={"lag_seconds": self.plan.balancer_lag_s}
        )
        self.carry_out(self.plan.begin(self.timers.clock()))
        self.timers.after(TICK_INTERVAL_S, self.channel, "tick")

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Advances the stop according to the open requests and connections."""
        steps = self.plan.tick(
            self.timers.clock(),
            self.drain_hooks.count_open(),
            self.drain_hooks.latest_deadline(),
        )
        self.carry_out(steps)
        if StopStep.EXIT not in steps:
            self.timers.after(TICK_INTERVAL_S, self.channel, "tick")

    def carry_out(self, steps: list[StopStep]) -> None:
        """Performs steps of the stop plan."""
        for step in steps:
            match step:
                case StopStep.ANNOUNCE_LEAVING:
                    self.fire(stopping(), "*")
                case StopStep.CLOSE_AFTER_ANSWERS:
                    self.drain_hooks.close_after_answers()
                case StopStep.STOP_LISTENING:
                    logger.notice("closing the listener")
                    self.drain_hooks.stop_listening()
                case StopStep.CLOSE_IDLE:
                    self.drain_hooks.close_idle(IDLE_THRESHOLD_S)
                case StopStep.ANSWER_ALL:
                    logger.notice("sending final answers to open requests")
                    self.drain_hooks.answer_open_requests()
                case StopStep.EXIT:
                    self.exit()

    def exit(self) -> None:
        """Ends the event loop, and the process with it."""
        logger.notice(
            "stopped", extra={"left_open": self.drain_hooks.count_open()}
        )
        self.fire(drained(), "*")
        self.root.stop()
