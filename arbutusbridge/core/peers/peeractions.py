"""Actions that follow from the messages between instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.core.configuration import Head
    from arbutusbridge.core.messages import Notice
    from arbutusbridge.core.peers.peerwire import Finding, PeerMessage, Piece


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to an address, an action."""

    address: tuple[str, int]
    message: PeerMessage


@dataclass(slots=True)
class DeliverNotice:
    """Hand a peer's new notice to the core, an action."""

    notice: Notice


@dataclass(slots=True)
class DeliverFinding:
    """Hand a peer's newer finding to the core, an action."""

    finding: Finding


@dataclass(slots=True)
class DeliverHead:
    """A peer has a version in force, an action."""

    peer: str
    head: Head
    age: float | None


@dataclass(slots=True)
class DeliverPieceRequest:
    """A peer asks for the pieces of a version, an action."""

    peer: str
    version: int
    first: int = 0


@dataclass(slots=True)
class DeliverPiece:
    """A peer sent a piece, an action."""

    peer: str
    piece: Piece


GossipAction = (
    SendPeerMessage
    | DeliverNotice
    | DeliverFinding
    | DeliverHead
    | DeliverPieceRequest
    | DeliverPiece
)
