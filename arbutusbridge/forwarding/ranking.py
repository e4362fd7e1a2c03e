"""Choice of the one instance that decides something for all others."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from arbutusbridge.forwarding.gather import Peer


def rank_of(key: str, peer: Peer) -> int:
    """Returns a pseudo-random number of an instance, equal everywhere."""
    return zlib.crc32(f"{key} {peer.name}".encode())


def rank_peers(key: str, peers: Iterable[Peer]) -> list[Peer]:
    """Returns instances in a fixed pseudo-random order that depends on a key.

    The order of two instances is the same everywhere, also where others are not
    known.
    """
    return sorted(peers, key=lambda peer: rank_of(key, peer))


@dataclass(slots=True)
class PeerSilence:
    """Peers that do not answer.

    Attributes:
      since: Time of the first message that a peer has not answered.
      excluded_until: Time until which a silent peer is not asked.
      heard_at: Time of the latest message of a peer that is not excluded.
      last_at: Time of the latest message of a peer.
    """

    since: dict[str, float] = field(default_factory=dict)
    excluded_until: dict[str, float] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    last_at: dict[str, float] = field(default_factory=dict)

    def is_excluded(self, name: str, now: float) -> bool:
        """Returns whether a peer is not asked at present."""
        return self.excluded_until.get(name, -math.inf) > now

    def silent_s(self, name: str, now: float) -> float:
        """Returns for how long a peer has not answered, 0 if it has."""
        return now - self.since.get(name, now)

    def sent(self, name: str, now: float) -> float:
        """Records a message and returns for how long the peer has been silent.

        The result is 0 for the first message since its last answer.
        """
        return now - self.since.setdefault(name, now)

    def exclude(self, name: str, until: float) -> None:
        """Excludes a silent peer."""
        self.excluded_until[name] = until
        self.since.pop(name, None)
        self.heard_at.pop(name, None)

    def heard(self, name: str, now: float) -> None:
        """Records an answer of a peer, after which other messages count too."""
        self.since.pop(name, None)
        self.last_at[name] = now
        if not self.is_excluded(name, now):
            self.excluded_until.pop(name, None)
            self.heard_at[name] = now

    def noticed(self, name: str, now: float) -> None:
        """Records a message that answers nothing.

        A peer that was excluded has to answer first: one that is slow sends
        notices, too.
        """
        self.last_at[name] = now
        if name not in self.excluded_until:
            self.heard_at[name] = now

    def was_heard(self, name: str, since: float) -> bool:
        """Returns whether a peer has sent a message lately."""
        return self.heard_at.get(name, -math.inf) >= since
