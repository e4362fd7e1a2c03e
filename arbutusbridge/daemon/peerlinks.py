"""Sockets between instances: one that takes messages, one to each peer."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import pynng

from arbutusbridge.daemon.hub import READABLE

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.daemon.hub import SocketHub

MAX_LINKS = 256
"""Connections to peers kept; the one used longest ago is closed first. One that
watches the store for its data centre has one to each of 95 others there."""

LINK_QUEUE_LENGTH = 16
"""Messages queued for a peer that does not take them at once."""

MIN_RECONNECT_DELAY_MS = 200
MAX_RECONNECT_DELAY_MS = 5_000

MAX_MESSAGES_PER_TURN = 64
"""Messages read before other sockets have their turn."""


class SendResult(enum.Enum):
    """What became of a message that was handed to a link."""

    ACCEPTED = "taken"
    LINK_FULL = "link_full"
    FAILED = "failed"


class PeerLinks:
    """Owns the sockets to and from the other instances.

    Attributes:
      links: Sending sockets by address, the last used last.
      listener: Socket that messages of others come to.
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
        """Hands a message to a link; a link that is full drops it."""
        try:
            self.open_link(address).send(data, block=False)
        except pynng.TryAgain:
            return SendResult.LINK_FULL, ""
        except pynng.NNGException as err:
            return SendResult.FAILED, str(err)
        return SendResult.ACCEPTED, ""

    def open_link(self, address: tuple[str, int]) -> pynng.Push0:
        """Returns the link to an address, a new one if there is none."""
        found = self.links.pop(address, None)
        if found is None:
            found = pynng.Push0(
                send_buffer_size=LINK_QUEUE_LENGTH,
                reconnect_time_min=MIN_RECONNECT_DELAY_MS,
                reconnect_time_max=MAX_RECONNECT_DELAY_MS,
            )
            found.dial(link_url(address), block=False)
        self.links[address] = found
        if len(self.links) > MAX_LINKS:
            oldest = next(iter(self.links))
            self.links.pop(oldest).close()
        return found

    def on_readable(self, _mask: int) -> None:
        """Reads the messages that wait, within the bound of a turn."""
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
    """Returns the address in pynng's form."""
    ip, port = address
    host = f"[{ip}]" if ":" in ip else ip
    return f"tcp://{host}:{port}"
