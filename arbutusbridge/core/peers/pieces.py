"""Transfer of packed configuration versions in pieces that fit a message."""

from __future__ import annotations

from dataclasses import dataclass, field

from arbutusbridge.core.configuration import MAX_VALUE_BYTES, Head
from arbutusbridge.core.peers.peerwire import PIECES_PER_WINDOW, Piece

MAX_PIECE_BYTES = 48_000
"""Maximum number of bytes of a packed version in one message."""

MAX_PIECES = MAX_VALUE_BYTES // MAX_PIECE_BYTES + 1


def cut_window(head: Head, packed: bytes, first: int) -> list[Piece]:
    """Returns a window of a version's pieces.

    Args:
      head: The version.
      packed: Its packed value.
      first: Number of the first piece.
    """
    count = -(-len(packed) // MAX_PIECE_BYTES)
    return [
        Piece(
            head.version,
            head.publish_id,
            number,
            count,
            packed[number * MAX_PIECE_BYTES : (number + 1) * MAX_PIECE_BYTES],
        )
        for number in range(first, min(count, first + PIECES_PER_WINDOW))
    ]


@dataclass(slots=True)
class VersionFetch:
    """A version that is being fetched from a peer.

    Attributes:
      peer: Name of the peer.
      head: The version.
      deadline: Time at which the fetch times out, extended by each piece.
      parts: Data of the received pieces, in order.
      count: Total number of pieces, 0 before the first one.
    """

    peer: str
    head: Head
    deadline: float
    parts: list[bytes] = field(default_factory=list)
    count: int = 0

    def accept_piece(self, piece: Piece) -> bool:
        """Appends a piece; returns whether it was the expected one."""
        identifier = (piece.version, piece.publish_id)
        if identifier != (self.head.version, self.head.publish_id):
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
        """Whether all pieces were received."""
        return len(self.parts) == self.count

    @property
    def window_complete(self) -> bool:
        """Whether the current window is complete and the next one is due."""
        return len(self.parts) % PIECES_PER_WINDOW == 0
