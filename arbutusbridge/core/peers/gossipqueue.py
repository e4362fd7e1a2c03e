"""Items that are told to a few peers each, then dropped."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")


@dataclass(slots=True)
class QueuedItem(Generic[ItemT]):
    """An item and the messages that it still goes into."""

    item: ItemT
    left: int


class GossipQueue(Generic[ItemT]):
    """A bounded queue of items by key; those not told yet come first.

    Attributes:
      most: Items kept at most; of those told, the first is dropped first.
      fresh: Items that went into no message yet.
      told: Items that went into some, the one told longest ago first.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.fresh: dict[object, QueuedItem[ItemT]] = {}
        self.told: dict[object, QueuedItem[ItemT]] = {}

    def add(self, key: object, item: ItemT, sends: int) -> None:
        """Queues an item for some messages, in place of its older form."""
        self.told.pop(key, None)
        self.fresh[key] = QueuedItem(item, sends)
        if len(self.fresh) + len(self.told) > self.most:
            crowded = self.told or self.fresh
            del crowded[next(iter(crowded))]

    def take(self, count: int) -> list[ItemT]:
        """Returns the items of one message."""
        taken: list[tuple[object, QueuedItem[ItemT]]] = []
        for queue in (self.fresh, self.told):
            for key in list(itertools.islice(queue, count - len(taken))):
                taken.append((key, queue.pop(key)))
        for key, rumour in taken:
            rumour.left -= 1
            if rumour.left > 0:
                self.told[key] = rumour
        return [rumour.item for _, rumour in taken]
