"""Messages between forwarding instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.daemon.events import peer_message
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.peerlinks import PeerLinks, SendResult
from arbutusbridge.errors import ProtocolError
from arbutusbridge.forwarding.gatherwire import (
    MAX_MESSAGE_BYTES,
    decode_message,
    encode_message,
)

if TYPE_CHECKING:
    import pynng

    from arbutusbridge.daemon.forwardmetrics import ForwardMetrics
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.gatherwire import PeerMessage

logger = get_logger(__name__)


class PeerMessenger(BaseComponent):
    """Exchanges messages with other instances.

    Messages are not authenticated. A request from a peer can do no more than
    one from a caller, because it must fit the configuration in force here. A
    forged notice can make instances refuse requests, so that the port must be
    reachable by instances only.

    Attributes:
      channels: Channel of the component that handles each type of message.
    """

    channel = "peermessenger"

    def __init__(
        self,
        address: tuple[str, int],
        hub: SocketHub,
        metrics: ForwardMetrics,
        channels: dict[type, str],
    ) -> None:
        super().__init__()
        self.metrics = metrics
        self.channels = channels
        self.links = PeerLinks(address, MAX_MESSAGE_BYTES, hub, self.on_message)

    def send(self, address: tuple[str, int], message: PeerMessage) -> None:
        """Sends a message; the sender's timeout covers a lost one."""
        data = encode_message(message)
        outcome, error = self.links.send(address, data)
        self.metrics.peer_bytes.labels("sent").inc(len(data))
        if outcome is not SendResult.ACCEPTED:
            logger.warning(
                "message to peer not sent",
                extra={
                    "address": address,
                    "outcome": outcome.value,
                    "error": error,
                },
            )

    def connect(self, peers: list[Peer]) -> None:
        """Connects to peers before the first message to them."""
        for peer in peers:
            if peer.address not in self.links.links:
                self.links.open_link(peer.address)

    def on_message(self, raw: pynng.Message) -> None:
        """Decodes a received message and fires it to its channel."""
        data = raw.bytes
        self.metrics.peer_bytes.labels("received").inc(len(data))
        try:
            message = decode_message(data)
        except ProtocolError as err:
            logger.warning(
                "invalid peer message refused", extra={"error": str(err)}
            )
            raw.pipe.close()
            return
        self.fire(peer_message(message), self.channels[type(message)])

    @handler("stopped", channel="*")
    def on_stopped(self, _manager: Any) -> None:
        """Closes the sockets when the event loop ends."""
        self.links.close()
