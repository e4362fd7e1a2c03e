"""Actions that result from gossip between instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.core.configuration import Head
    from arbutusbridge.core.messages import Notice
    from arbutusbridge.core.peers.peerwire import Finding, PeerMessage, Piece


@dataclass(slots=True)
class SendPeerMessage:
    """Action: send a message to the address of a peer."""

    address: tuple[str, int]
    message: PeerMessage


@dataclass(slots=True)
class DeliverNotice:
    """Action: deliver a new notice of a peer to the request tier."""

    notice: Notice


@dataclass(slots=True)
class DeliverFinding:
    """Action: deliver a newer finding of a peer to the request tier."""

    finding: Finding


@dataclass(slots=True)
class DeliverHead:
    """Action: deliver the version in force at a peer to the version sync.

    Attributes:
      peer: Name of the peer.
      head: Version in force there.
      age: Seconds since the peer knew the head to be the newest, or None.
    """

    peer: str
    head: Head
    age: float | None


@dataclass(slots=True)
class DeliverPieceRequest:
    """Action: deliver a peer's request for pieces to the version sync.

    Attributes:
      peer: Name of the peer.
      version: Number of the requested version.
      first: Number of the first requested piece.
    """

    peer: str
    version: int
    first: int = 0


@dataclass(slots=True)
class DeliverPiece:
    """Action: deliver a piece that a peer sent to the version sync."""

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
