"""Polls many sockets through one descriptor of the circuits poller.

An epoll descriptor is readable when one of its sockets is ready. All sockets
that are ready in a turn of the event loop therefore cost one circuits event
instead of one each.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from arbutusbridge.daemon.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

logger = get_logger(__name__)

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
HANGUP_OR_ERROR = select.EPOLLHUP | select.EPOLLERR
MAX_READY_SOCKETS = 1024
"""Maximum number of sockets handled per turn of the event loop."""


class SocketHub(BaseComponent):
    """Calls the callback of each ready socket, then the end-of-turn functions.

    Attributes:
      callbacks: Functions called with the event mask, by file descriptor.
      closers: Functions that close the socket of a callback which has failed,
        by file descriptor.
      after_turn: Functions called once the sockets of a turn are handled.
      removed: File descriptors removed in this turn.
      buffered_bytes: Size of the incomplete response bodies that connections
        hold.
    """

    def __init__(self, channel: str = "hub") -> None:
        super().__init__(channel=channel)
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callable[[int], None]] = {}
        self.closers: dict[int, Callable[[], None]] = {}
        self.after_turn: list[Callable[[], None]] = []
        self.removed: set[int] = set()
        self.buffered_bytes = 0

    @handler("registered", channel="*")
    def on_registered(self, component: Any, manager: Any) -> None:
        """Adds the epoll descriptor to the circuits poller."""
        if component is self:
            findcmp(self.root, BasePoller).addReader(self, self.epoll)

    @handler("_read")
    def on_ready(self, _descriptor: Any) -> None:
        """Calls the callback of every ready socket."""
        callbacks = self.callbacks
        removed = self.removed
        removed.clear()
        for descriptor, mask in self.epoll.poll(0, MAX_READY_SOCKETS):
            callback = callbacks.get(descriptor)
            # The number of a descriptor closed in this turn may already belong
            # to another socket.
            if callback is None or descriptor in removed:
                continue
            try:
                callback(mask)
            except Exception:
                logger.exception("socket callback failed")
                self.close_failed(descriptor)
        for function in self.after_turn:
            function()

    def close_failed(self, descriptor: int) -> None:
        """Closes the socket of a callback that has failed.

        Whoever waits for it is told so by its closer. A socket without one is
        polled on: others still come to it.
        """
        closer = self.closers.get(descriptor)
        if closer is None:
            return
        try:
            closer()
        except Exception:
            logger.exception("socket could not be closed")
            self.remove(descriptor)

    def add(
        self,
        descriptor: int,
        mask: int,
        callback: Callable[[int], None],
        closer: Callable[[], None] | None = None,
    ) -> None:
        """Starts polling a socket for the events in a mask.

        Args:
          descriptor: File descriptor of the socket.
          mask: The events.
          callback: Function called with those that have occurred.
          closer: Function that closes the socket if the callback fails; None
            for a listener, which is polled on.
        """
        self.callbacks[descriptor] = callback
        if closer is not None:
            self.closers[descriptor] = closer
        self.epoll.register(descriptor, mask)

    def change(self, descriptor: int, mask: int) -> None:
        """Changes the events for which a socket is polled."""
        self.epoll.modify(descriptor, mask)

    def remove(self, descriptor: int) -> None:
        """Stops polling a socket; must be called before it is closed."""
        self.closers.pop(descriptor, None)
        if self.callbacks.pop(descriptor, None) is not None:
            self.epoll.unregister(descriptor)
            self.removed.add(descriptor)
