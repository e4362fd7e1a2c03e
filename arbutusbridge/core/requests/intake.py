"""Entry point of callers' requests: refuses, joins, queues or starts them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import (
    Answer,
    Decision,
    ExecutionStatus,
    Outcome,
    Respond,
    SetTimer,
)
from arbutusbridge.core.requests import limits
from arbutusbridge.core.requests.admission import (
    MAX_QUEUED_REQUESTS,
    Admission,
    Ticket,
)
from arbutusbridge.core.requests.coalescing import Coalescer
from arbutusbridge.core.requests.quarantine import Quarantine, fingerprint_of
from arbutusbridge.core.requests.query import DEADLINE_TOKEN, Query
from arbutusbridge.core.requests.records import Record
from arbutusbridge.core.requests.refusals import (
    build_record_refusal,
    key_refusal_reason,
    qualified_key,
)

if TYPE_CHECKING:
    from arbutusbridge.core.messages import (
        Action,
        RecordRequest,
        SearchRequest,
    )
    from arbutusbridge.core.model import Configuration, Policy
    from arbutusbridge.core.requests.coalescing import ScatterMember
    from arbutusbridge.core.requests.tier import Tier

GIVE_UP_TOKEN = "give_up"

SEARCH_REMEDIES = {
    "no_configuration": "Ask another instance; this one has none yet.",
    "unknown_service": "Name a service of the register export.",
    "quarantined": "Change the query; upstreams that ran it were lost.",
    "queue_full": "Ask again after the time given in retry_after_ms.",
    "deadline_too_near": "Ask again after the time given in retry_after_ms.",
    "displaced": "Ask again after the time given in retry_after_ms.",
}
"""Remedy for the caller by reason for refusing a search."""


class Intake:
    """Refuses, coalesces, queues or starts the requests of one instance.

    Attributes:
      admission: Admission control of scatters and records.
      coalescer: Scatters that identical searches may join.
      quarantine: Suspects, quarantined requests and the evidence for it.
      owners: Scatter or record that answers an open request, by request id.
      tickets: Admission ticket of each unfinished scatter and record.
    """

    def __init__(
        self,
        admission: Admission | None = None,
        coalescer: Coalescer | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self.admission = admission or Admission.adaptive()
        self.coalescer = coalescer or Coalescer()
        self.quarantine = quarantine or Quarantine()
        self.owners: dict[str, Query | Record] = {}
        self.tickets: dict[Query | Record, Ticket] = {}

    def search(
        self,
        request: SearchRequest,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Handles a caller's search."""
        configuration = tier.configuration
        reason = unservable_reason(request, configuration)
        if reason or configuration is None:
            out.append(
                Respond(build_search_refusal(request, configuration, reason))
            )
            return
        fingerprint = fingerprint_of(request.service, request.query)
        if self.quarantine.quarantined(fingerprint, now):
            answer = build_search_refusal(request, configuration, "quarantined")
            answer.outcome = Outcome.QUARANTINED
            self.refuse(request, answer, out)
            return
        policy = configuration.rules.policy(request.caller, request.service)
        deadline = now + time_limit_ms(request, policy) / 1000
        assert tier.catalogue is not None
        query = Query(
            request,
            policy,
            configuration,
            tier.catalogue,
            deadline,
            fingerprint,
        )
        shared = self.find_joinable(query, tier, now)
        if shared is not None:
            self.join(shared, query.members[request.request_id], tier, out)
            return
        self.owners[request.request_id] = query
        if self.admit_or_queue(query, query.urgency, tier, now, out):
            self.coalescer.make_joinable(query, now)

    def find_joinable(
        self, query: Query, tier: Tier, now: float
    ) -> Query | None:
        """Returns a scatter that a search may join, if any.

        It never uses an older index version than a new scatter would.
        """
        if query.coalescing_key not in self.coalescer.joinable:
            return None
        best = tier.best_version(query.request.service)
        newest = best.version if best else None
        return self.coalescer.find_scatter(query.coalescing_key, newest, now)

    def join(
        self,
        query: Query,
        member: ScatterMember,
        tier: Tier,
        out: list[Action],
    ) -> None:
        """Joins a search to a queued or running scatter."""
        request_id = member.request.request_id
        self.owners[request_id] = query
        ticket = self.tickets[query]
        more_urgent = self.coalescer.join(query, member)
        ticket.deadline = query.deadline
        if ticket.queued:
            self.admission.raise_urgency(ticket, query.urgency)
            self.schedule_give_up(request_id, ticket, member.deadline, out)
        else:
            out.append(SetTimer(member.deadline, (DEADLINE_TOKEN, request_id)))
            if more_urgent:
                limits.requeue_shards(query, tier)
        detail = {"with": query.request.request_id}
        out.append(Decision(request_id, "share", detail))

    def record(
        self,
        request: RecordRequest,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Handles a caller's non-idempotent request."""
        configuration = tier.configuration
        reason = key_refusal_reason(request) or unservable_reason(
            request, configuration
        )
        recent = tier.recent_keys
        if reason or configuration is None:
            version = configuration.version if configuration else 0
            answer = build_record_refusal(request, reason, recent, version)
            out.append(Respond(answer))
            return
        policy = configuration.rules.policy(request.caller, request.service)
        deadline = now + time_limit_ms(request, policy) / 1000
        repeated = request.resend or recent.holds(request)
        if repeated:
            self.mark_repeated(request)
        recent.add(request)
        record = Record(request, configuration, deadline, repeated)
        self.owners[request.request_id] = record
        self.admit_or_queue(record, int(policy.urgency), tier, now, out)

    def mark_repeated(self, request: RecordRequest) -> None:
        """Marks the open records with a request's key as repeated.

        One of them may still run after another was refused, so none of
        their callers may be told that the key did not run.
        """
        key = qualified_key(request)
        for owner in self.tickets:
            if (
                isinstance(owner, Record)
                and qualified_key(owner.request) == key
            ):
                owner.repeated = True

    def admit_or_queue(
        self,
        owner: Query | Record,
        urgency: int,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> bool:
        """Starts, queues or refuses a request; returns False if refused."""
        admission = self.admission
        ticket = Ticket(
            owner,
            owner.request.service,
            urgency,
            admission.next_arrival_number(),
            owner.deadline,
        )
        self.tickets[owner] = ticket
        if admission.admit(ticket, now):
            self.start(ticket, tier, now, out)
            return True
        wait = admission.expected_wait(ticket)
        if not admission.can_meet_deadline(ticket, now, wait):
            admission.limiter.on_early_refusal(ticket.service, urgency)
            self.give_up(ticket, "deadline_too_near", out)
            return False
        if admission.waiting >= MAX_QUEUED_REQUESTS:
            displaced = admission.find_displaceable(ticket)
            if displaced is None:
                self.give_up(ticket, "queue_full", out)
                return False
            self.give_up(displaced, "displaced", out)
        admission.enqueue(ticket)
        request_id = owner.request.request_id
        self.schedule_give_up(request_id, ticket, ticket.deadline, out)
        detail = {"urgency": urgency, "ahead": admission.waiting - 1}
        out.append(Decision(request_id, "queue", detail))
        return True

    def schedule_give_up(
        self,
        request_id: str,
        ticket: Ticket,
        deadline: float,
        out: list[Action],
    ) -> None:
        """Sets a timer for the time after which a deadline cannot be met."""
        seconds = self.admission.expected_latency(ticket)
        out.append(SetTimer(deadline - seconds, (GIVE_UP_TOKEN, request_id)))

    def start(
        self, ticket: Ticket, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Starts an admitted request."""
        owner = ticket.owner
        if isinstance(owner, Record):
            tier.records[owner.request.request_id] = owner
            owner.start(tier, now, out)
            return
        # The scatter's first request may have been refused in the queue. Its
        # caller was told that nothing ran, so attempts must not carry its id.
        first = next(iter(owner.members.values()))
        owner.request = first.request
        request = first.request
        tier.queries[request.request_id] = owner
        owner.canary_count = self.quarantine.canary_count(
            owner.fingerprint, request.caller, now
        )
        for member in owner.members.values():
            token = (DEADLINE_TOKEN, member.request.request_id)
            out.append(SetTimer(member.deadline, token))
        owner.start(tier, now, out)
        tier.discard_if_finished(owner, now)

    def start_waiting(self, tier: Tier, now: float, out: list[Action]) -> None:
        """Starts queued requests while the limit allows."""
        admission = self.admission
        while admission.heap:
            ticket = admission.dequeue(now)
            if ticket is None:
                return
            if self.refuse_late(ticket, now, out):
                admission.mark_in_flight(ticket, now)
                self.start(ticket, tier, now, out)

    def refuse_late(
        self, ticket: Ticket, now: float, out: list[Action]
    ) -> bool:
        """Refuses those requests of a ticket that cannot be answered in time.

        Returns:
          Whether any request of the ticket remains.
        """
        owner = ticket.owner
        if isinstance(owner, Record):
            if self.admission.can_meet_deadline(ticket, now):
                return True
            self.give_up(ticket, "deadline_too_near", out)
            return False
        seconds = self.admission.expected_latency(ticket)
        for member in list(owner.members.values()):
            if now + seconds > member.deadline:
                self.refuse_queued(member.request.request_id, out)
        return not owner.finished

    def on_give_up(self, request_id: str, out: list[Action]) -> None:
        """Refuses a queued request that can no longer meet its deadline."""
        owner = self.owners.get(request_id)
        if owner is not None and self.tickets[owner].queued:
            self.refuse_queued(request_id, out)

    def refuse_queued(self, request_id: str, out: list[Action]) -> None:
        """Refuses one request of a queued ticket for its near deadline."""
        owner = self.owners[request_id]
        ticket = self.tickets[owner]
        if isinstance(owner, Record) or len(owner.members) == 1:
            self.give_up(ticket, "deadline_too_near", out)
            return
        member = owner.members.pop(request_id)
        del self.owners[request_id]
        self.refuse_member(owner, member, ticket, "deadline_too_near", out)

    def give_up(self, ticket: Ticket, reason: str, out: list[Action]) -> None:
        """Refuses every request of a ticket that never started."""
        owner = ticket.owner
        self.admission.remove(ticket)
        owner.finished = True
        if isinstance(owner, Record):
            owner.refuse_unclaimed(reason, out)
        else:
            for member in owner.members.values():
                self.refuse_member(owner, member, ticket, reason, out)
        self.discard(owner)

    def refuse_member(
        self,
        query: Query,
        member: ScatterMember,
        ticket: Ticket,
        reason: str,
        out: list[Action],
    ) -> None:
        """Refuses a member of a scatter that never started."""
        answer = build_search_refusal(
            member.request, query.configuration, reason
        )
        if reason == "quarantined":
            answer.outcome = Outcome.QUARANTINED
        else:
            answer.retry_after_ms = self.admission.retry_after_ms(ticket)
        self.refuse(member.request, answer, out)

    def refuse(
        self,
        request: SearchRequest,
        answer: Answer,
        out: list[Action],
    ) -> None:
        """Sends a refusal and logs it."""
        detail = {"reason": answer.reason, "service": request.service}
        out.append(Decision(request.request_id, "refuse", detail))
        out.append(Respond(answer))

    def on_deadline(
        self, request_id: str, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Answers a search at its deadline with the replies merged so far."""
        query = self.owners.get(request_id)
        if not isinstance(query, Query) or query.finished:
            return
        if self.tickets[query].queued:
            self.refuse_queued(request_id, out)
            return
        if len(query.members) == 1:
            query.on_deadline(tier, now, out)
        else:
            member = query.members.pop(request_id)
            del self.owners[request_id]
            answer = query.build_answer(member)
            if answer.ran is ExecutionStatus.NO:
                # The scatter goes on for its other members and may still run.
                answer.outcome = Outcome.UNKNOWN
                answer.ran = ExecutionStatus.UNKNOWN
            query.respond(answer, out)
        tier.discard_if_finished(query, now)

    def abandon(
        self, request_id: str, tier: Tier, now: float, out: list[Action]
    ) -> None:
        """Drops a request whose caller has disconnected.

        A record that has started is not dropped, as it may already run.
        """
        owner = self.owners.get(request_id)
        if owner is None:
            return
        ticket = self.tickets[owner]
        if isinstance(owner, Query):
            del owner.members[request_id]
            del self.owners[request_id]
            if owner.members:
                return
            owner.cancel_open(tier, now, out)
        elif not ticket.queued:
            return
        self.admission.remove(ticket)
        owner.finished = True
        tier.discard_if_finished(owner, now)

    def on_request_finished(
        self, owner: Query | Record, now: float | None
    ) -> None:
        """Ends the admission of a finished request.

        Args:
          owner: The scatter or record.
          now: The time, None to leave its latency out of the estimates.
        """
        ticket = self.tickets.get(owner)
        if ticket is None:
            return
        if isinstance(owner, Query) and owner.merged and now is not None:
            if owner.merged.weight:
                caller = owner.request.caller
                self.quarantine.on_success(owner.fingerprint, caller, now)
            if owner.members:
                self.admission.observe_latency(ticket, now)
        self.admission.end(ticket)
        self.discard(owner)

    def discard(self, owner: Query | Record) -> None:
        """Drops the state of a scatter or record."""
        self.tickets.pop(owner, None)
        if isinstance(owner, Record):
            self.owners.pop(owner.request.request_id, None)
            return
        for request_id in owner.members:
            self.owners.pop(request_id, None)
        self.coalescer.discard(owner)

    def end_quarantined(
        self,
        fingerprint: str,
        exempt: Query | None,
        tier: Tier,
        now: float,
        out: list[Action],
    ) -> None:
        """Ends every scatter of a quarantined fingerprint.

        Args:
          fingerprint: The fingerprint.
          exempt: Scatter to leave out, None for none.
          tier: State of this instance.
          now: The time.
          out: Actions to carry out, appended to.
        """
        for owner, ticket in list(self.tickets.items()):
            if not isinstance(owner, Query) or owner is exempt:
                continue
            if owner.fingerprint != fingerprint or owner.finished:
                continue
            if ticket.queued:
                self.give_up(ticket, "quarantined", out)
            else:
                owner.quarantine(tier, now, out)
                tier.discard_if_finished(owner, now)


def unservable_reason(
    request: SearchRequest | RecordRequest,
    configuration: Configuration | None,
) -> str:
    """Returns the reason why a request cannot be served, empty if it can."""
    if configuration is None:
        return "no_configuration"
    if request.service not in configuration.layouts:
        return "unknown_service"
    return ""


def build_search_refusal(
    request: SearchRequest,
    configuration: Configuration | None,
    reason: str,
) -> Answer:
    """Builds the answer to a search that was not run."""
    return Answer(
        request.request_id,
        Outcome.NOT_RUN,
        ExecutionStatus.NO,
        config_version=configuration.version if configuration else 0,
        reason=reason,
        remedy=SEARCH_REMEDIES[reason],
    )


def time_limit_ms(
    request: SearchRequest | RecordRequest, policy: Policy
) -> float:
    """Returns the lower of the policy's and the caller's time limit, in ms."""
    if request.deadline_ms is None:
        return policy.deadline_ms
    return min(policy.deadline_ms, request.deadline_ms)
