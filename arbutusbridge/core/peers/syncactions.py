"""Actions of the sync of configuration versions."""

from __future__ import annotations

from dataclasses import dataclass

from arbutusbridge.core.configuration import Head
from arbutusbridge.core.peers.peeractions import SendPeerMessage


@dataclass(slots=True)
class ReadHead:
    """Action: read the head key, or watch it for its next change.

    Attributes:
      number: Number of the read, passed back to ``on_head``.
      index: Index that the head key must exceed, 0 to read at once.
    """

    number: int
    index: int = 0


@dataclass(slots=True)
class ReadVersion:
    """Action: read a version's value from the store.

    Attributes:
      number: Number of the read, passed back to ``on_version``.
      head: The version.
    """

    number: int
    head: Head


@dataclass(slots=True)
class ReadInstanceList:
    """Action: read the platform's instance list."""


@dataclass(slots=True)
class AdoptVersion:
    """Action: compile a version and put it in force if it is valid.

    The driver then calls ``confirm_adoption`` or ``refuse`` with the head.

    Attributes:
      head: The version.
      packed: Its packed value.
      source: Name of the peer that it came from, or ``store``.
    """

    head: Head
    packed: bytes
    source: str


SyncAction = (
    ReadHead | ReadVersion | ReadInstanceList | AdoptVersion | SendPeerMessage
)
