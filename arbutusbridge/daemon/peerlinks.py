"""Sockets between instances: one receives messages, one sends to each peer."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import pynng

from arbutusbridge.daemon.hub import READABLE

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.daemon.hub import SocketHub

MAX_LINKS = 256
"""Maximum number of connections to peers; the least recently used one is closed
first. An instance that watches the store for its data centre needs one to each
of the 95 others there."""

LINK_QUEUE_LENGTH = 16
"""Maximum number of messages queued for a peer."""

MIN_RECONNECT_DELAY_MS = 200
MAX_RECONNECT_DELAY_MS = 5_000
"""Bounds of the delay before pynng reconnects to a peer."""

MAX_MESSAGES_PER_TURN = 64
"""Maximum number of messages received before other sockets are handled."""


class SendResult(enum.Enum):
    """Result of sending a message on a link."""

    ACCEPTED = "taken"
    LINK_FULL = "link_full"
    FAILED = "failed"


class PeerLinks:
    """Owns the sockets to and from the other instances.

    Attributes:
      links: Sockets to peers by address, the most recently used last.
      listener: Socket that receives the messages of peers.
    """

    def __init__(
        self,
        address: tuple[str, int],
        max_message_bytes: int,
        hub: SocketHub,
        on_message: Callable[[pynng.Message], None],
    ) -> None:
        self.hub = hub
        self.on_message = on_message
        self.links: dict[tuple[str, int], pynng.Push0] = {}
        self.listener = pynng.Pull0(recv_max_size=max_message_bytes)
        self.listener.listen(link_url(address))
        self.descriptor = self.listener.recv_fd
        hub.add(self.descriptor, READABLE, self.on_readable)

    def send(
        self, address: tuple[str, int], data: bytes
    ) -> tuple[SendResult, str]:
        """Queues a message for a peer; it is dropped if the queue is full.

        Returns:
          The result, and the error text if sending failed.
        """
        try:
            self.open_link(address).send(data, block=False)
        except pynng.TryAgain:
            return SendResult.LINK_FULL, ""
        except pynng.NNGException as err:
            return SendResult.FAILED, str(err)
        return SendResult.ACCEPTED, ""

    def open_link(self, address: tuple[str, int]) -> pynng.Push0:
        """Returns the link to an address, opening it if there is none.

        Raises:
          pynng.NNGException: The address is not valid.
        """
        found = self.links.pop(address, None)
        if found is None:
            found = pynng.Push0(
                send_buffer_size=LINK_QUEUE_LENGTH,
                reconnect_time_min=MIN_RECONNECT_DELAY_MS,
                reconnect_time_max=MAX_RECONNECT_DELAY_MS,
            )
            try:
                found.dial(link_url(address), block=False)
            except pynng.NNGException:
                found.close()
                raise
        self.links[address] = found
        if len(self.links) > MAX_LINKS:
            oldest = next(iter(self.links))
            self.links.pop(oldest).close()
        return found

    def on_readable(self, _mask: int) -> None:
        """Receives waiting messages, up to the limit of one turn."""
        for _ in range(MAX_MESSAGES_PER_TURN):
            try:
                message = self.listener.recv_msg(block=False)
            except pynng.TryAgain:
                return
            self.on_message(message)

    def close(self) -> None:
        """Closes every socket."""
        self.hub.remove(self.descriptor)
        self.listener.close()
        for link in self.links.values():
            link.close()
        self.links.clear()


def link_url(address: tuple[str, int]) -> str:
    """Returns the URL of an address for pynng."""
    ip, port = address
    host = f"[{ip}]" if ":" in ip else ip
    return f"tcp://{host}:{port}"
