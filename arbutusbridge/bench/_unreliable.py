"""Fake upstream whose replies are late, duplicated or mislabelled."""

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
    """Delays, duplicates or alters some replies.

    The hits of an altered reply state the shard and version that they belong
    to, so that answers can be checked. If the version of a result is
    dropped during its computation, the result is labelled with the newest held
    version instead, like that of an upstream that opens its index late.
    """

    def receive(
        self, attempt: Attempt, on_reply: Callable[[Reply], None]
    ) -> None:
        """Takes an attempt and alters its reply with some probability."""
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
            self.schedule.after(delay, on_reply, message)
            if rng.random() < DUPLICATE_FRACTION:
                duplicate = copy.deepcopy(message)
                delay += rng.uniform(0.0, MAX_DUPLICATE_DELAY_S)
                self.schedule.after(delay, on_reply, duplicate)

        super().receive(attempt, alter)

    def recompute_on_newest(self, attempt: Attempt, reply: Reply) -> None:
        """Relabels a result with the newest version if its own was dropped."""
        held = self.held.get(attempt.service, ())
        if held and attempt.version not in held:
            set_result_version(reply, max(held))


def set_result_version(reply: Reply, version: Version) -> None:
    """Sets the version of a result and of its hits."""
    reply.version = version
    for hit in reply.hits:
        hit["version"] = version


def advance_snapshot(reply: Reply) -> None:
    """Relabels a result with the next snapshot."""
    epoch, snapshot = reply.version
    set_result_version(reply, (epoch, snapshot + 1))


def set_wrong_shard(reply: Reply) -> None:
    """Relabels a result with a shard that was not requested."""
    reply.shard = f"other-{reply.shard}"
    for hit in reply.hits:
        hit["id"] = reply.shard
