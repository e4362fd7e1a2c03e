"""Actions that follow from the messages between instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusbridge.core.configuration import Head
    from arbutusbridge.core.messages import Notice
    from arbutusbridge.core.peers.peerwire import Finding, PeerMessage, Piece


@dataclass(slots=True)
class SendPeer:
    """Send a message to an address, an action."""

    address: tuple[str, int]
    message: PeerMessage


@dataclass(slots=True)
class HearNotice:
    """Hand a peer's new notice to the core, an action."""

    notice: Notice


@dataclass(slots=True)
class HearFinding:
    """Hand a peer's newer finding to the core, an action."""

    finding: Finding


@dataclass(slots=True)
class SeeHead:
    """A peer has a version in force, an action."""

    peer: str
    head: Head
    age: float | None


@dataclass(slots=True)
class SeeWanted:
    """A peer asks for the pieces of a version, an action."""

    peer: str
    version: int
    first: int = 0


@dataclass(slots=True)
class SeePiece:
    """A peer sent a piece, an action."""

    peer: str
    piece: Piece


GossipAction = (
    SendPeer | HearNotice | HearFinding | SeeHead | SeeWanted | SeePiece
)
