"""The platform on virtual time, with the faults of the moment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from arbutusbridge.core.configuration import HEAD_KEY, StoreListKeys
from arbutusbridge.core.messages import (
    WATCH_TIMEOUT_S,
    StoreCas,
    StoreGet,
    StoreResult,
    StoreStatus,
)
from arbutusbridge.daemon.instancelist import decode_instance_list
from arbutusbridge.standins.platform import InstanceList, KeyValueStore

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from arbutusbridge.core.membership.members import ListedInstance
    from arbutusbridge.daemon.storeclient import StoreStep
    from arbutusbridge.replay.schedule import Schedule

    OnResult = Callable[[StoreResult], None]

ONE_WAY_S = 0.002
HEAD_TOKEN = ("head", "")


@dataclass(slots=True)
class PlatformFaults:
    """What goes wrong at the platform.

    Attributes:
      down: Whether it answers nothing.
      extra_seconds: Time that each call takes longer.
      lose_replies: Share of writes that take effect without a reply.
      lose_watches: Share of watches that never return.
    """

    down: bool = False
    extra_seconds: float = 0.0
    lose_replies: float = 0.0
    lose_watches: float = 0.0


@dataclass(slots=True, eq=False)
class Watch:
    """A blocking read of the head."""

    place: str
    on_result: OnResult
    done: bool = False


class VirtualPlatform:
    """Key-value store and instance list.

    Attributes:
      store: The values.
      instances: The instance list.
      faults: What goes wrong.
      cut_off: Data centres that do not reach it.
      calls: Calls so far, watches among them.
      watches: Blocking reads that wait.
      heads: Every value of the head key, with its time.
    """

    def __init__(
        self, schedule: Schedule, rng: random.Random, list_lag_seconds: float
    ) -> None:
        self.schedule = schedule
        self.rng = rng
        self.store = KeyValueStore()
        self.instances = InstanceList(list_lag_seconds)
        self.faults = PlatformFaults()
        self.cut_off: set[str] = set()
        self.calls = 0
        self.watches: list[Watch] = []
        self.heads: list[tuple[float, bytes]] = []

    def reached_from(self, place: str) -> bool:
        """Tells whether it answers a data centre; operators are at none."""
        return not self.faults.down and place not in self.cut_off

    def call(
        self, place: str, step: StoreStep, seconds: float, on_result: OnResult
    ) -> None:
        """Makes a store call; the result comes in time or is unavailable."""
        self.calls += 1
        result = StoreResult(step.token, StoreStatus.UNAVAILABLE)
        delay = seconds
        if self.reached_from(place):
            delay = min(seconds, 2 * ONE_WAY_S + self.faults.extra_seconds)
            done = self.apply(step)
            lost = isinstance(step, StoreCas) and self.happens(
                self.faults.lose_replies
            )
            if not lost and delay < seconds:
                result = done
        self.schedule.after(delay, on_result, result)

    def happens(self, share: float) -> bool:
        """Draws whether something of a given share happens."""
        return self.rng.random() < share

    def apply(self, step: StoreStep) -> StoreResult:
        """Applies a call to the store."""
        done = StoreResult(step.token, StoreStatus.DONE)
        if isinstance(step, StoreCas):
            index = self.store.cas(step.key, step.value, step.index)
            if index is None:
                return StoreResult(step.token, StoreStatus.CONFLICT)
            if step.key == HEAD_KEY:
                self.heads.append((self.schedule.now, step.value))
                self.wake_watches()
            done.index = index
        elif isinstance(step, StoreGet):
            entry = self.store.entries.get(step.key)
            if entry is not None:
                done.value, done.index = entry.value, entry.index
        elif isinstance(step, StoreListKeys):
            keys = [k for k in self.store.entries if k.startswith(step.prefix)]
            done.value = orjson.dumps(keys)
        else:
            self.store.entries.pop(step.key, None)
        return done

    def read_head(
        self, place: str, index: int, seconds: float, on_result: OnResult
    ) -> None:
        """Reads the head, or keeps the read until it passes an index."""
        entry = self.store.entries.get(HEAD_KEY)
        unchanged = entry is not None and entry.index <= index
        if not index or not unchanged or not self.reached_from(place):
            step = StoreGet(HEAD_TOKEN, HEAD_KEY)
            self.call(place, step, seconds, on_result)
            return
        self.calls += 1
        watch = Watch(place, on_result)
        if self.happens(self.faults.lose_watches):
            wait = WATCH_TIMEOUT_S + seconds
            self.schedule.after(wait, self.end_watch, watch, False)
            return
        self.watches.append(watch)
        self.schedule.after(WATCH_TIMEOUT_S, self.end_watch, watch, True)

    def wake_watches(self) -> None:
        """Answers every watch of the head."""
        for watch in self.watches:
            self.schedule.after(ONE_WAY_S, self.end_watch, watch, True)

    def end_watch(self, watch: Watch, answered: bool) -> None:
        """Ends a watch with what stands now, or as lost."""
        if watch.done:
            return
        watch.done = True
        if watch in self.watches:
            self.watches.remove(watch)
        result = StoreResult(HEAD_TOKEN, StoreStatus.UNAVAILABLE)
        if answered and self.reached_from(watch.place):
            result = self.apply(StoreGet(HEAD_TOKEN, HEAD_KEY))
        watch.on_result(result)

    def read_list(self, place: str) -> list[ListedInstance] | None:
        """Reads the instance list, None if it can't be reached."""
        self.calls += 1
        if not self.reached_from(place):
            return None
        seen = self.instances.read(self.schedule.now)
        return decode_instance_list(orjson.dumps(seen))
