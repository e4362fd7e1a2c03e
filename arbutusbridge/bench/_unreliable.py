"""Fake upstream whose replies are late, doubled or misplaced."""

from __future__ import annotations

import copy
import random
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import ReplyKind
from arbutusbridge.replay.upstream import FakeUpstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.messages import Attempt, Reply, Version

LATE_FRACTION = 0.01
LATE_DELAY_RANGE_S = (0.05, 0.6)
DUPLICATE_FRACTION = 0.02
MAX_DUPLICATE_DELAY_S = 0.1
WRONG_SHARD_FRACTION = 0.002
WRONG_VERSION_FRACTION = 0.002


class UnreliableUpstream(FakeUpstream):
    """Alters some replies, and says honestly in their hits what they hold.

    A result whose version was dropped while it was computed is one of the
    version held instead, as from an upstream that opens its index late.
    """

    def take(self, attempt: Attempt, reply: Callable[[Reply], None]) -> None:
        """Takes an attempt off the wire."""
        rng = random.Random(f"{self.name} {attempt.attempt_id}")

        def alter(message: Reply) -> None:
            if message.kind is ReplyKind.RESULT:
                self.recompute_on_newest(attempt, message)
                if rng.random() < WRONG_SHARD_FRACTION:
                    set_wrong_shard(message)
                if rng.random() < WRONG_VERSION_FRACTION:
                    advance_snapshot(message)
            delay = 0.0
            if rng.random() < LATE_FRACTION:
                delay = rng.uniform(*LATE_DELAY_RANGE_S)
            self.schedule.after(delay, reply, message)
            if rng.random() < DUPLICATE_FRACTION:
                duplicate = copy.deepcopy(message)
                delay += rng.uniform(0.0, MAX_DUPLICATE_DELAY_S)
                self.schedule.after(delay, reply, duplicate)

        super().take(attempt, alter)

    def recompute_on_newest(self, attempt: Attempt, reply: Reply) -> None:
        """Computes a result on the newest version held by now."""
        held = self.held.get(attempt.service, ())
        if held and attempt.version not in held:
            relabel(reply, max(held))


def relabel(reply: Reply, version: Version) -> None:
    """Makes a result one of another version."""
    reply.version = version
    for hit in reply.hits:
        hit["version"] = version


def advance_snapshot(reply: Reply) -> None:
    """Makes a result one of the snapshot after."""
    epoch, snapshot = reply.version
    relabel(reply, (epoch, snapshot + 1))


def set_wrong_shard(reply: Reply) -> None:
    """Makes a result one of a shard that was not asked for."""
    reply.shard = f"other-{reply.shard}"
    for hit in reply.hits:
        hit["id"] = reply.shard
