"""Callers that send and resend records, and the answers they received."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.core.keys import RANDOM_BIT_COUNT, make_key
from arbutusbridge.core.messages import Answer, Outcome, RecordRequest

if TYPE_CHECKING:
    import random

    from arbutusbridge.replay import World

ANSWER_TIMEOUT_S = 2.5
"""Time that a caller waits for an answer before it resends."""

MAX_SENDS = 5
"""Maximum number of sends of one key, including the first."""

RESEND_DELAY_S = 0.5
"""Delay before a resend that follows an answer."""

DUPLICATE_SEND_FRACTION = 0.2
"""Fraction of records that are sent to two instances almost at once."""

MAX_DUPLICATE_SEND_DELAY_S = 0.005
"""Maximum time between the two sends of such a record."""

NEEDLESS_RESEND_FRACTION = 0.1
"""Fraction of answered records that are resent needlessly."""


@dataclass(slots=True)
class ReceivedAnswer:
    """One answer that the caller of a key received.

    Attributes:
      answer: The answer.
      superseded: Whether it answers the first send although the caller has
        resent the key since.
    """

    answer: Answer
    superseded: bool


@dataclass(slots=True)
class Sender:
    """The caller of one record, which sends and resends it.

    Attributes:
      world: The simulated world.
      rng: Source of random choices.
      key: Idempotency key of the record.
      service: Service that the record is sent to.
      record: Body of the record.
      sends: Number of sends so far.
      told: Answers received so far.
      open_request_ids: Ids of the requests without an answer.
      resends_needlessly: Whether it also resends without need.
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
        """Builds a caller whose key carries the current wall time."""
        key = make_key(world.wall_ms, rng.getrandbits(RANDOM_BIT_COUNT))
        return cls(world, rng, key, service, f"record of {key}")

    @property
    def refused(self) -> bool:
        """Whether an answer stated that the key was not run.

        The caller then stops. An answer to a superseded send does not count.
        """
        return any(
            told.answer.outcome is Outcome.NOT_RUN and not told.superseded
            for told in self.told
        )

    def start(self) -> None:
        """Sends the key for the first time, for some callers twice."""
        self.send()
        if (
            self.resends_needlessly
            and self.rng.random() < DUPLICATE_SEND_FRACTION
        ):
            delay_s = self.rng.uniform(0, MAX_DUPLICATE_SEND_DELAY_S)
            self.world.schedule.after(delay_s, self.resend)

    def send(self) -> None:
        """Sends the key to a random instance."""
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
        """Resends when a send has no answer, as its instance may be gone."""
        if request_id in self.open_request_ids:
            self.open_request_ids.discard(request_id)
            self.resend()

    def on_answer(self, answer: Answer) -> None:
        """Records an answer and schedules a resend when it is not final."""
        is_first = answer.request_id.endswith("/1")
        self.told.append(ReceivedAnswer(answer, is_first and self.sends > 1))
        self.open_request_ids.discard(answer.request_id)
        if answer.outcome is Outcome.UNKNOWN or (
            self.resends_needlessly
            and self.rng.random() < NEEDLESS_RESEND_FRACTION
        ):
            self.world.schedule.after(RESEND_DELAY_S, self.resend)

    def resend(self) -> None:
        """Sends again unless the key was refused or reached MAX_SENDS."""
        if self.sends < MAX_SENDS and not self.refused:
            self.send()


@dataclass(slots=True)
class SenderPool:
    """All callers of a run.

    Attributes:
      world: The simulated world.
      senders: The callers by key.
      taken: Number of the world's answers that were delivered.
    """

    world: World
    senders: dict[str, Sender] = field(default_factory=dict)
    taken: int = 0

    def add(self, sender: Sender) -> None:
        """Adds a caller and starts its first send."""
        self.senders[sender.key] = sender
        sender.start()

    def deliver_answers(self) -> None:
        """Delivers the answers since the last call to their callers."""
        newly_finished = self.world.finished_requests[self.taken :]
        self.taken += len(newly_finished)
        for finished in newly_finished:
            request = finished.request
            assert isinstance(request, RecordRequest)
            self.senders[request.key].on_answer(finished.answer)
