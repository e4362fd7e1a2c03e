"""Actions that bring an instance to the newest configuration version."""

from __future__ import annotations

from dataclasses import dataclass

from arbutusbridge.core.configuration import Head
from arbutusbridge.core.peers.peeractions import SendPeerMessage


@dataclass(slots=True)
class ReadHead:
    """Read the head key, or wait there for its next change, an action.

    Attributes:
      number: Tells the read from others; ``on_head`` gets it back.
      index: Index that the head must pass, 0 to read at once.
    """

    number: int
    index: int = 0


@dataclass(slots=True)
class ReadVersion:
    """Read a version's value from the store, an action."""

    number: int
    head: Head


@dataclass(slots=True)
class ReadInstanceList:
    """Read the platform's instance list, an action."""


@dataclass(slots=True)
class Adopt:
    """Compile a version and put it in force if it validates, an action.

    The driver calls ``adopted`` or ``refuse`` with the head.
    """

    head: Head
    packed: bytes
    source: str


SyncAction = ReadHead | ReadVersion | ReadInstanceList | Adopt | SendPeerMessage
