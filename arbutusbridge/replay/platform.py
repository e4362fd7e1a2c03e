"""Simulated platform on virtual time, with injected faults."""

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

ONE_WAY_DELAY_S = 0.002
"""One-way network delay between an instance and the platform."""

HEAD_TOKEN = ("head", "")
"""Token of the reads of the head."""


@dataclass(slots=True)
class PlatformFaults:
    """Faults of the platform.

    Attributes:
      down: Whether no call is answered.
      extra_delay_s: Seconds added to the delay of each call.
      reply_loss_ratio: Fraction of writes that take effect but whose replies
        are lost.
      watch_loss_ratio: Fraction of watches that are never answered.
    """

    down: bool = False
    extra_delay_s: float = 0.0
    reply_loss_ratio: float = 0.0
    watch_loss_ratio: float = 0.0


@dataclass(slots=True, eq=False)
class HeadWatch:
    """A blocking read of the head.

    Attributes:
      place: Data centre of the caller.
      on_result: Function called with the result.
      done: Whether the watch has ended.
    """

    place: str
    on_result: OnResult
    done: bool = False


class VirtualPlatform:
    """Simulated key-value store and instance list.

    Attributes:
      schedule: Virtual clock.
      rng: Source of all random choices.
      store: Key-value store.
      instances: Instance list.
      faults: Faults in force.
      cut_off: Data centres that cannot reach the platform.
      call_count: Number of calls made, watches included.
      watches: Watches that are waiting for a change.
      heads: Every value written to the head key, with its time.
    """

    def __init__(
        self, schedule: Schedule, rng: random.Random, list_lag_s: float
    ) -> None:
        self.schedule = schedule
        self.rng = rng
        self.store = KeyValueStore()
        self.instances = InstanceList(list_lag_s)
        self.faults = PlatformFaults()
        self.cut_off: set[str] = set()
        self.call_count = 0
        self.watches: list[HeadWatch] = []
        self.heads: list[tuple[float, bytes]] = []

    def is_reachable_from(self, place: str) -> bool:
        """Returns whether a data centre can reach the platform.

        Operators belong to no data centre, so that only ``down`` affects them.
        """
        return not self.faults.down and place not in self.cut_off

    def call(
        self, place: str, step: StoreStep, seconds: float, on_result: OnResult
    ) -> None:
        """Makes a store call.

        Args:
          place: Data centre of the caller.
          step: Call to make.
          seconds: Timeout of the call, in seconds.
          on_result: Function called with the result, which is unavailable if
            the call fails, times out or loses its reply.
        """
        self.call_count += 1
        result = StoreResult(step.token, StoreStatus.UNAVAILABLE)
        delay = seconds
        if self.is_reachable_from(place):
            delay = min(
                seconds, 2 * ONE_WAY_DELAY_S + self.faults.extra_delay_s
            )
            done = self.apply(step)
            lost = isinstance(step, StoreCas) and self.draw_fault(
                self.faults.reply_loss_ratio
            )
            if not lost and delay < seconds:
                result = done
        self.schedule.after(delay, on_result, result)

    def draw_fault(self, share: float) -> bool:
        """Draws at random whether a fault occurs.

        Args:
          share: Probability of the fault.
        """
        return self.rng.random() < share

    def apply(self, step: StoreStep) -> StoreResult:
        """Applies a call to the store and returns its result."""
        done = StoreResult(step.token, StoreStatus.DONE)
        if isinstance(step, StoreCas):
            index = self.store.cas(step.key, step.value, step.index)
            if index is None:
                return StoreResult(step.token, StoreStatus.CONFLICT)
            if step.key == HEAD_KEY:
                self.heads.append((self.schedule.now, step.value))
                self.answer_watches()
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
        """Reads the head, at once or after its index exceeds the given one.

        Args:
          place: Data centre of the caller.
          index: Index that the caller knows, 0 to read at once.
          seconds: Timeout of the call, in seconds.
          on_result: Function called with the result.
        """
        entry = self.store.entries.get(HEAD_KEY)
        unchanged = entry is not None and entry.index <= index
        if not index or not unchanged or not self.is_reachable_from(place):
            step = StoreGet(HEAD_TOKEN, HEAD_KEY)
            self.call(place, step, seconds, on_result)
            return
        self.call_count += 1
        watch = HeadWatch(place, on_result)
        if self.draw_fault(self.faults.watch_loss_ratio):
            wait = WATCH_TIMEOUT_S + seconds
            self.schedule.after(wait, self.end_watch, watch, False)
            return
        self.watches.append(watch)
        self.schedule.after(WATCH_TIMEOUT_S, self.end_watch, watch, True)

    def answer_watches(self) -> None:
        """Answers all waiting watches of the head."""
        for watch in self.watches:
            self.schedule.after(ONE_WAY_DELAY_S, self.end_watch, watch, True)

    def end_watch(self, watch: HeadWatch, answered: bool) -> None:
        """Ends a watch with the current head, or as unavailable if lost."""
        if watch.done:
            return
        watch.done = True
        if watch in self.watches:
            self.watches.remove(watch)
        result = StoreResult(HEAD_TOKEN, StoreStatus.UNAVAILABLE)
        if answered and self.is_reachable_from(watch.place):
            result = self.apply(StoreGet(HEAD_TOKEN, HEAD_KEY))
        watch.on_result(result)

    def read_instance_list(self, place: str) -> list[ListedInstance] | None:
        """Returns the instance list, None if the platform is unreachable."""
        self.call_count += 1
        if not self.is_reachable_from(place):
            return None
        seen = self.instances.read(self.schedule.now)
        return decode_instance_list(orjson.dumps(seen))
