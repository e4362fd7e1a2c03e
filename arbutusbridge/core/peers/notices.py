"""Recent notices, kept and forwarded to peers."""

from __future__ import annotations

from arbutusbridge.core.messages import Notice, NoticeKind
from arbutusbridge.core.peers.gossipqueue import GossipQueue

NOTICE_TRANSMISSIONS = 8
"""Number of messages in which each instance forwards a notice."""

MAX_NOTICES = 2_000

NOTICE_TTL_S = 600.0
"""Age above which a notice is removed and no longer sent."""

Key = tuple[NoticeKind, str]


class Notices:
    """Recent notices by kind and subject.

    Attributes:
      found_at: Time at which each notice was found.
      queue: Keys of the notices that are to be forwarded.
    """

    def __init__(self) -> None:
        self.found_at: dict[Key, float] = {}
        self.queue: GossipQueue[Key] = GossipQueue(MAX_NOTICES)

    def add_notice(self, notice: Notice, now: float) -> bool:
        """Adds a notice and queues it; returns whether it is new."""
        key = (notice.kind, notice.subject)
        if key in self.found_at or notice.age > NOTICE_TTL_S:
            return False
        if len(self.found_at) >= MAX_NOTICES:
            del self.found_at[next(iter(self.found_at))]
        self.found_at[key] = now - notice.age
        self.queue.add(key, key, NOTICE_TRANSMISSIONS)
        return True

    def take(self, count: int, now: float) -> list[Notice]:
        """Returns the notices for one message, with their current ages."""
        keys = self.queue.take(count)
        return [
            self.with_current_age(key, now)
            for key in keys
            if key in self.found_at
        ]

    def all(self, now: float) -> list[Notice]:
        """Returns all notices, for a newcomer."""
        return [self.with_current_age(key, now) for key in self.found_at]

    def with_current_age(self, key: Key, now: float) -> Notice:
        """Returns a notice with its current age."""
        return Notice(*key, max(0.0, now - self.found_at[key]))

    def drop_expired(self, now: float) -> None:
        """Removes notices that are too old to be sent."""
        for key, at in list(self.found_at.items()):
            if now - at > NOTICE_TTL_S:
                del self.found_at[key]
