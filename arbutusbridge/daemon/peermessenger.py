"""Messages between forwarding instances."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import pynng
from circuits import BaseComponent, handler

from arbutusbridge.daemon.events import peer_message
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.daemon.peerlinks import PeerLinks, SendResult
from arbutusbridge.errors import (
    ArbutusbridgeError,
    ProtocolError,
    UnknownMessageError,
)
from arbutusbridge.forwarding.gatherwire import (
    MAX_MESSAGE_BYTES,
    decode_message,
    encode_message,
)

if TYPE_CHECKING:
    from collections.abc import Callable

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
      protocol_of: Returns the latest protocol that the peer at an address
        understands.
      unhandled: Number of messages that were not handled, by reason; those that
        are a power of two are logged.
    """

    channel = "peermessenger"

    def __init__(
        self,
        address: tuple[str, int],
        hub: SocketHub,
        metrics: ForwardMetrics,
        channels: dict[type, str],
        protocol_of: Callable[[tuple[str, int]], int],
    ) -> None:
        super().__init__()
        self.metrics = metrics
        self.channels = channels
        self.protocol_of = protocol_of
        self.unhandled: Counter[str] = Counter()
        self.links = PeerLinks(address, MAX_MESSAGE_BYTES, hub, self.on_message)

    def send(self, address: tuple[str, int], message: PeerMessage) -> None:
        """Sends a message; the sender's timeout covers a lost one."""
        try:
            data = encode_message(message, self.protocol_of(address))
        except UnknownMessageError as err:
            logger.warning(
                "message to peer not sent",
                extra={
                    "address": address,
                    "outcome": err.kind,
                    "error": str(err),
                },
            )
            return
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
                try:
                    self.links.open_link(peer.address)
                except pynng.NNGException as err:
                    logger.warning(
                        "peer not connected",
                        extra={"address": peer.address, "error": str(err)},
                    )

    def on_message(self, raw: pynng.Message) -> None:
        """Decodes a received message and fires it to its channel."""
        data = raw.bytes
        self.metrics.peer_bytes.labels("received").inc(len(data))
        try:
            message = decode_message(data)
        except UnknownMessageError as err:
            # The peer runs a later build; its other messages are understood.
            self.report_unhandled("unknown peer message skipped", err, raw)
            return
        except ProtocolError as err:
            self.report_unhandled("invalid peer message refused", err, raw)
            raw.pipe.close()
            return
        self.fire(peer_message(message), self.channels[type(message)])

    def report_unhandled(
        self, text: str, err: ArbutusbridgeError, raw: pynng.Message
    ) -> None:
        """Counts a message that is not handled, and logs ever fewer of them."""
        self.metrics.peer_skipped.labels(err.kind).inc()
        self.unhandled[err.kind] += 1
        count = self.unhandled[err.kind]
        if count & (count - 1):
            return
        logger.warning(
            text,
            extra={
                "count": count,
                "peer": str(raw.pipe.remote_address),
                "first_byte": raw.bytes[:1].hex(),
                "error": str(err),
            },
        )

    @handler("stopped", channel="*")
    def on_stopped(self, _manager: Any) -> None:
        """Closes the sockets when the event loop ends."""
        self.links.close()
