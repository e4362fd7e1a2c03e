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

LATE_SHARE = 0.01
LATE_S = (0.05, 0.6)
DOUBLED_SHARE = 0.02
DOUBLED_AFTER_S = 0.1
WRONG_SHARD_SHARE = 0.002
WRONG_VERSION_SHARE = 0.002


class UnreliableUpstream(FakeUpstream):
    """Alters some replies, and says honestly in their hits what they hold.

    A result whose version was dropped while it was computed is one of the
    version held instead, as from an upstream that opens its index late.
    """

    def receive(self, attempt: Attempt, reply: Callable[[Reply], None]) -> None:
        """Takes an attempt off the wire."""
        rng = random.Random(f"{self.name} {attempt.attempt_id}")

        def altered(message: Reply) -> None:
            if message.kind is ReplyKind.RESULT:
                self.reopen(attempt, message)
                if rng.random() < WRONG_SHARD_SHARE:
                    misplace(message)
                if rng.random() < WRONG_VERSION_SHARE:
                    move_on(message)
            delay = 0.0
            if rng.random() < LATE_SHARE:
                delay = rng.uniform(*LATE_S)
            self.schedule.after(delay, reply, message)
            if rng.random() < DOUBLED_SHARE:
                again = copy.deepcopy(message)
                delay += rng.uniform(0.0, DOUBLED_AFTER_S)
                self.schedule.after(delay, reply, again)

        super().receive(attempt, altered)

    def reopen(self, attempt: Attempt, reply: Reply) -> None:
        """Computes a result on the newest version held by now."""
        held = self.held.get(attempt.service, ())
        if held and attempt.version not in held:
            relabel(reply, max(held))


def relabel(reply: Reply, version: Version) -> None:
    """Makes a result one of another version."""
    reply.version = version
    for hit in reply.hits:
        hit["version"] = version


def move_on(reply: Reply) -> None:
    """Makes a result one of the snapshot after."""
    epoch, snapshot = reply.version
    relabel(reply, (epoch, snapshot + 1))


def misplace(reply: Reply) -> None:
    """Makes a result one of a shard that was not asked for."""
    reply.shard = f"other-{reply.shard}"
    for hit in reply.hits:
        hit["id"] = reply.shard
