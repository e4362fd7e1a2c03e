"""Notices that are kept and told on."""

from __future__ import annotations

from arbutusbridge.core.messages import Notice, NoticeKind
from arbutusbridge.core.peers.gossipqueue import GossipQueue

NOTICE_TRANSMISSIONS = 8
"""Messages that carry a notice on from each instance."""

MAX_NOTICES = 2_000

NOTICE_TTL_S = 600.0
"""Age from which a notice is no longer told."""

Key = tuple[NoticeKind, str]


class Notices:
    """The notices of the last minutes, by kind and subject.

    Attributes:
      found_at: When each was found.
    """

    def __init__(self) -> None:
        self.found_at: dict[Key, float] = {}
        self.rumours: GossipQueue[Key] = GossipQueue(MAX_NOTICES)

    def note(self, notice: Notice, now: float) -> bool:
        """Keeps a notice to tell on; returns whether it is new."""
        key = (notice.kind, notice.subject)
        if key in self.found_at or notice.age > NOTICE_TTL_S:
            return False
        if len(self.found_at) >= MAX_NOTICES:
            del self.found_at[next(iter(self.found_at))]
        self.found_at[key] = now - notice.age
        self.rumours.add(key, key, NOTICE_TRANSMISSIONS)
        return True

    def take(self, count: int, now: float) -> list[Notice]:
        """Returns the notices of one message, with their ages of now."""
        keys = self.rumours.take(count)
        return [self.aged(key, now) for key in keys if key in self.found_at]

    def all(self, now: float) -> list[Notice]:
        """Returns every notice, for a newcomer."""
        return [self.aged(key, now) for key in self.found_at]

    def aged(self, key: Key, now: float) -> Notice:
        """Returns a notice with its age of now."""
        return Notice(*key, max(0.0, now - self.found_at[key]))

    def drop_old(self, now: float) -> None:
        """Forgets notices that are no longer told."""
        for key, at in list(self.found_at.items()):
            if now - at > NOTICE_TTL_S:
                del self.found_at[key]
