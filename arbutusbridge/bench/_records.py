"""Callers that send and resend records, and what they were told."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.keys import RANDOM_BITS, make_key
from arbutusbridge.core.messages import Answer, Outcome, RecordRequest

if TYPE_CHECKING:
    import random

    from arbutusbridge.replay import World

ANSWER_TIMEOUT_S = 2.5
"""Time without an answer after which a caller resends."""

MAX_SENDS = 5
"""Sends of one key, the first among them."""

RESEND_DELAY_S = 0.5
"""Wait before a resend that follows an answer."""

DUPLICATE_SEND_FRACTION = 0.2
"""Share of records that are sent to two instances at the same moment."""

MAX_DUPLICATE_SEND_DELAY_S = 0.005
"""Longest time between such two sends."""

NEEDLESS_RESEND_FRACTION = 0.1
"""Share of records that are resent although they were answered."""


@dataclass(slots=True)
class ReceivedAnswer:
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
      open_request_ids: Request ids without an answer.
      resends_needlessly: Whether it resends what needs no resend.
    """

    world: World
    rng: random.Random
    key: str
    service: str
    record: str
    sends: int = 0
    told: list[ReceivedAnswer] = field(default_factory=list)
    open_request_ids: set[str] = field(default_factory=set)
    resends_needlessly: bool = True

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
        if (
            self.resends_needlessly
            and self.rng.random() < DUPLICATE_SEND_FRACTION
        ):
            delay_s = self.rng.uniform(0, MAX_DUPLICATE_SEND_DELAY_S)
            self.world.schedule.after(delay_s, self.resend)

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
        self.open_request_ids.add(request_id)
        self.world.instances[name].record(request)
        self.world.schedule.after(
            ANSWER_TIMEOUT_S, self.on_answer_timeout, request_id
        )

    def on_answer_timeout(self, request_id: str) -> None:
        """Resends when a send has no answer; its instance may be gone."""
        if request_id in self.open_request_ids:
            self.open_request_ids.discard(request_id)
            self.resend()

    def on_answer(self, answer: Answer) -> None:
        """Takes an answer; what is not final is resent."""
        is_first = answer.request_id.endswith("/1")
        self.told.append(ReceivedAnswer(answer, is_first and self.sends > 1))
        self.open_request_ids.discard(answer.request_id)
        if answer.outcome is Outcome.UNKNOWN or (
            self.resends_needlessly
            and self.rng.random() < NEEDLESS_RESEND_FRACTION
        ):
            self.world.schedule.after(RESEND_DELAY_S, self.resend)

    def resend(self) -> None:
        """Sends again unless the key was sent often or refused for good."""
        if self.sends < MAX_SENDS and not self.refused:
            self.send()


@dataclass(slots=True)
class SenderPool:
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

    def deliver_answers(self) -> None:
        """Hands the answers since the last call to their callers."""
        new_ended = self.world.ended[self.taken :]
        self.taken += len(new_ended)
        for ended in new_ended:
            request = ended.request
            assert isinstance(request, RecordRequest)
            self.senders[request.key].on_answer(ended.answer)
