"""Queue of items that are each sent a few times, then dropped."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")


@dataclass(slots=True)
class QueuedItem(Generic[ItemT]):
    """A queued item.

    Attributes:
      item: The item.
      remaining: Number of messages that it is still to be sent in.
    """

    item: ItemT
    remaining: int


class GossipQueue(Generic[ItemT]):
    """Bounded queue of items by key; items not sent yet come first.

    Attributes:
      max_items: Maximum number of items. If there are more, the least
        recently sent item is dropped, or the oldest if none has been sent.
      unsent: Items that have not been sent yet.
      told: Items that have been sent, the least recently sent first.
    """

    def __init__(self, max_items: int) -> None:
        self.max_items = max_items
        self.unsent: dict[object, QueuedItem[ItemT]] = {}
        self.told: dict[object, QueuedItem[ItemT]] = {}

    def add(self, key: object, item: ItemT, sends: int) -> None:
        """Queues an item, in place of the one with the same key.

        Args:
          key: Key of the item.
          item: The item.
          sends: Number of messages to send it in.
        """
        self.told.pop(key, None)
        self.unsent[key] = QueuedItem(item, sends)
        if len(self.unsent) + len(self.told) > self.max_items:
            overfull = self.told or self.unsent
            del overfull[next(iter(overfull))]

    def take(self, count: int) -> list[ItemT]:
        """Returns the items for one message, at most a given number."""
        taken: list[tuple[object, QueuedItem[ItemT]]] = []
        for queue in (self.unsent, self.told):
            for key in list(itertools.islice(queue, count - len(taken))):
                taken.append((key, queue.pop(key)))
        for key, queued in taken:
            queued.remaining -= 1
            if queued.remaining > 0:
                self.told[key] = queued
        return [queued.item for _, queued in taken]
