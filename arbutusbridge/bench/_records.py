"""Callers that send and resend records, and what they were told."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.keys import RANDOM_BITS, make_key
from arbutusbridge.core.messages import Answer, Outcome, RecordRequest

if TYPE_CHECKING:
    import random

    from arbutusbridge.replay import World

PATIENCE_S = 2.5
"""Time without an answer after which a caller resends."""

MOST_SENDS = 5
"""Sends of one key, the first among them."""

BACKOFF_S = 0.5
"""Wait before a resend that follows an answer."""

TWIN_SHARE = 0.2
"""Share of records that are sent to two instances at the same moment."""

TWIN_GAP_S = 0.005
"""Longest time between such two sends."""

REPEAT_SHARE = 0.1
"""Share of records that are resent although they were answered."""


@dataclass(slots=True)
class Told:
    """One answer that the caller of a key got.

    Attributes:
      answer: The answer.
      superseded: Whether it answers a first send that came before a resend
        which the caller has made since.
    """

    answer: Answer
    superseded: bool


@dataclass(slots=True)
class Sender:
    """The caller of one record and all that it sends of it.

    Attributes:
      key: Its idempotency key.
      service: Service that takes the record.
      record: What to record.
      sends: Sends so far.
      told: Answers so far.
      open: Request ids without an answer.
      resends: Whether it resends what needs no resend.
    """

    world: World
    rng: random.Random
    key: str
    service: str
    record: str
    sends: int = 0
    told: list[Told] = field(default_factory=list)
    open: set[str] = field(default_factory=set)
    resends: bool = True

    @classmethod
    def at(cls, world: World, rng: random.Random, service: str) -> Sender:
        """Builds a caller that makes its key now."""
        key = make_key(world.wall_ms, rng.getrandbits(RANDOM_BITS))
        return cls(world, rng, key, service, f"record of {key}")

    @property
    def refused(self) -> bool:
        """Whether it was told that the key was not run; it is then done."""
        return any(
            told.answer.outcome is Outcome.NOT_RUN and not told.superseded
            for told in self.told
        )

    def start(self) -> None:
        """Sends for the first time, and to a second instance for some."""
        self.send()
        if self.resends and self.rng.random() < TWIN_SHARE:
            gap = self.rng.uniform(0, TWIN_GAP_S)
            self.world.schedule.after(gap, self.resend)

    def send(self) -> None:
        """Sends the key to some instance."""
        self.sends += 1
        request_id = f"{self.key}/{self.sends}"
        request = RecordRequest(
            request_id,
            "crew",
            self.service,
            self.key,
            self.record,
            resend=self.sends > 1,
        )
        name = self.rng.choice(sorted(self.world.instances))
        self.open.add(request_id)
        self.world.instances[name].record(request)
        self.world.schedule.after(PATIENCE_S, self.on_patience, request_id)

    def on_patience(self, request_id: str) -> None:
        """Resends when a send has no answer; its instance may be gone."""
        if request_id in self.open:
            self.open.discard(request_id)
            self.resend()

    def on_answer(self, answer: Answer) -> None:
        """Takes an answer; what is not final is resent."""
        is_first = answer.request_id.endswith("/1")
        self.told.append(Told(answer, is_first and self.sends > 1))
        self.open.discard(answer.request_id)
        if answer.outcome is Outcome.UNKNOWN or (
            self.resends and self.rng.random() < REPEAT_SHARE
        ):
            self.world.schedule.after(BACKOFF_S, self.resend)

    def resend(self) -> None:
        """Sends again unless the key was sent often or refused for good."""
        if self.sends < MOST_SENDS and not self.refused:
            self.send()


@dataclass(slots=True)
class Fleet:
    """All callers of a run, by key.

    Attributes:
      senders: The callers.
      taken: Answers of the world already handed over.
    """

    world: World
    senders: dict[str, Sender] = field(default_factory=dict)
    taken: int = 0

    def add(self, sender: Sender) -> None:
        """Adds a caller and lets it send."""
        self.senders[sender.key] = sender
        sender.start()

    def hand_over(self) -> None:
        """Hands the answers since the last call to their callers."""
        fresh = self.world.finished_requests[self.taken :]
        self.taken += len(fresh)
        for ended in fresh:
            request = ended.request
            assert isinstance(request, RecordRequest)
            self.senders[request.key].on_answer(ended.answer)
