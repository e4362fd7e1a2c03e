"""Readiness of many sockets behind one descriptor of the circuits poller.

An epoll descriptor is itself readable when one of its sockets is ready, so a
whole turn's sockets cost one circuits event instead of one event each.
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
"""Sockets handled in one turn at most."""


class SocketHub(BaseComponent):
    """Calls the owner of each ready socket, then the end-of-turn functions.

    Attributes:
      callbacks: Functions called with the readiness mask, by descriptor.
      after_turn: Functions called after each turn's sockets.
      removed: Descriptors removed in this turn.
    """

    def __init__(self, channel: str = "hub") -> None:
        super().__init__(channel=channel)
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callable[[int], None]] = {}
        self.after_turn: list[Callable[[], None]] = []
        self.removed: set[int] = set()

    @handler("registered", channel="*")
    def on_registered(self, component: Any, manager: Any) -> None:
        """Puts the hub's descriptor into the poller of its manager."""
        if component is self:
            findcmp(self.root, BasePoller).addReader(self, self.epoll)

    @handler("_read")
    def on_ready(self, _descriptor: Any) -> None:
        """Serves every socket that is ready now."""
        callbacks = self.callbacks
        removed = self.removed
        removed.clear()
        for descriptor, mask in self.epoll.poll(0, MAX_READY_SOCKETS):
            callback = callbacks.get(descriptor)
            # A descriptor closed in this turn may already be another socket.
            if callback is None or descriptor in removed:
                continue
            try:
                callback(mask)
            except Exception:
                logger.exception("socket owner failed")
                self.remove(descriptor)
        for function in self.after_turn:
            function()

    def add(
        self, descriptor: int, mask: int, callback: Callable[[int], None]
    ) -> None:
        """Starts to watch a socket."""
        self.callbacks[descriptor] = callback
        self.epoll.register(descriptor, mask)

    def change(self, descriptor: int, mask: int) -> None:
        """Watches a socket for something else."""
        self.epoll.modify(descriptor, mask)

    def remove(self, descriptor: int) -> None:
        """Stops watching a socket; call it before closing."""
        if self.callbacks.pop(descriptor, None) is not None:
            self.epoll.unregister(descriptor)
            self.removed.add(descriptor)
