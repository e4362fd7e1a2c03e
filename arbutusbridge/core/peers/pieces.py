"""Packed configuration versions, cut into pieces that fit a message."""

from __future__ import annotations

from dataclasses import dataclass, field

from arbutusbridge.core.configuration import MAX_VALUE_BYTES, Head
from arbutusbridge.core.peers.peerwire import PIECES_PER_WINDOW, Piece

PIECE_BYTES = 48_000
"""Bytes of a packed version in one message."""

MAX_PIECES = MAX_VALUE_BYTES // PIECE_BYTES + 1


def window_of(head: Head, packed: bytes, first: int) -> list[Piece]:
    """Returns a window of a version's pieces, from one on."""
    count = -(-len(packed) // PIECE_BYTES)
    return [
        Piece(
            head.version,
            head.publish_id,
            number,
            count,
            packed[number * PIECE_BYTES : (number + 1) * PIECE_BYTES],
        )
        for number in range(first, min(count, first + PIECES_PER_WINDOW))
    ]


@dataclass(slots=True)
class VersionFetch:
    """A version that is being fetched from a peer.

    Attributes:
      peer: Who was asked.
      head: The version.
      deadline: When the peer is given up, put off by each piece.
      parts: The pieces that came, in order.
      count: Pieces in all, 0 before the first.
    """

    peer: str
    head: Head
    deadline: float
    parts: list[bytes] = field(default_factory=list)
    count: int = 0

    def take(self, piece: Piece) -> bool:
        """Takes the next piece; returns False for any other."""
        named = (piece.version, piece.publish_id)
        if named != (self.head.version, self.head.publish_id):
            return False
        if piece.number != len(self.parts) or piece.count > MAX_PIECES:
            return False
        if self.count not in (0, piece.count):
            return False
        self.count = piece.count
        self.parts.append(piece.data)
        return True

    @property
    def whole(self) -> bool:
        """Whether every piece came."""
        return len(self.parts) == self.count

    @property
    def window_ended(self) -> bool:
        """Whether the next window has to be asked for."""
        return len(self.parts) % PIECES_PER_WINDOW == 0
