"""Entry point of forwarding: turns events into actions.

Events are requests, replies, announcements, timers and peer messages.
"""

from __future__ import annotations

import dataclasses
import math
from collections import Counter
from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.forwarding import (
    allocation,
    attempts,
    conclusion,
    delegation,
    division,
    intake,
    isolation,
    leaving,
    limits,
    losses,
    notices,
    overflow,
    overflowevidence,
    pauses,
    peermessages,
    placement,
    preconnect,
    quotas,
    quotatokens,
    relay,
    warmup,
)
from arbutusbridge.forwarding.exchange import Exchange, Part
from arbutusbridge.forwarding.gather import (
    GatherAck,
    GatherCancel,
    GatherConfirm,
    GatherRelease,
    GatherReply,
    GatherRequest,
    IsolationNotice,
)
from arbutusbridge.forwarding.limitmessages import DemandNotice, ShareNotice
from arbutusbridge.forwarding.messages import (
    UNSENT_ENDS,
    AttemptEnd,
    Refusal,
    SetRequestTimer,
    UpstreamReply,
)
from arbutusbridge.forwarding.quarantinemessages import QuarantineNotice
from arbutusbridge.forwarding.quotamessages import (
    MeteredNotice,
    QuotaAck,
    QuotaAsk,
    QuotaBatch,
    QuotaClaim,
    QuotaGrant,
    QuotaYield,
)
from arbutusbridge.forwarding.routes import RouteTable
from arbutusbridge.forwarding.shared import SharedState
from arbutusbridge.forwarding.upstreams import is_restart

if TYPE_CHECKING:
    import random

    from arbutusbridge.forwarding.budget import RetryBudgetLimits
    from arbutusbridge.forwarding.choice import Locality
    from arbutusbridge.forwarding.gather import GatherMessage, Peer
    from arbutusbridge.forwarding.model import (
        Announcement,
        CallerRequest,
        RoutingConfiguration,
    )
    from arbutusbridge.forwarding.quarantinemessages import QuarantineReport
    from arbutusbridge.forwarding.quotamessages import QuotaMessage
    from arbutusbridge.forwarding.upstreams import OpenAttempt

LAG_WEIGHT = 0.1
"""Weight of a new timer's lag in the smoothed lag."""

BUSY_LAG_THRESHOLD_S = 0.02
"""Timer lag above which an instance sends no further attempts for a peer until
it has read pending messages; the peer may have turned to another instance."""

MAX_LAG_S = 0.1
"""Maximum lag that is counted; a longer one is a pause of the process."""


class Forwarder(SharedState):
    """Handles the events of one instance and returns the actions.

    Attributes:
      cold_actions: Actions that announcements of cold upstreams have caused.
    """

    def __init__(
        self,
        place: Locality,
        bounds: RetryBudgetLimits,
        rng: random.Random,
        started_at: float = 0.0,
    ) -> None:
        super().__init__(place, bounds, rng, started_at)
        self.cold_actions: list[object] = []

    def configure(self, configuration: RoutingConfiguration) -> bool:
        """Applies a configuration and returns whether it is a newer one.

        Open requests keep the route that they arrived with. One whose number
        is not known was written later than the one before, as the store says.
        """
        table = self.table
        if not configuration.is_numbered:
            known = table.configuration.version if table else 0
            configuration = dataclasses.replace(configuration, version=known)
        elif table and configuration.version <= table.configuration.version:
            return False
        self.table = RouteTable(configuration)
        return True

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Applies the announcement of an upstream.

        Returns:
          Whether it is a new upstream.
        """
        is_new = self.directory.announce(announcement, now)
        if announcement.warm_up_s > 0.0:
            upstream = self.directory.by_name[announcement.upstream]
            self.limits.cold[upstream.name] = upstream
            warmup.update_one(upstream, self, now, self.cold_actions)
        return is_new

    def update_cold(self, now: float) -> list[object]:
        """Limits the requests to upstreams that are cold, as long as they are.

        It is called after announcements and configurations, and regularly.
        """
        out, self.cold_actions = self.cold_actions, []
        if self.limits.cold:
            warmup.update(self, now, out)
        return out

    def withdraw_unsent(self, upstream: str) -> list[object]:
        """Returns actions that send waiting requests elsewhere."""
        out: list[object] = []
        leaving.withdraw_unsent(self.directory.by_name[upstream], out)
        return out

    def evacuate(self, data_centre: str, now: float) -> list[object]:
        """Sends nothing more to the upstreams of a data centre.

        Requests that wait for a connection to one are sent elsewhere; those
        that run there are completed.
        """
        out: list[object] = []
        placement.evacuate(data_centre, self, now, out)
        return out

    def end_evacuation(self, data_centre: str, now: float) -> list[object]:
        """Uses the upstreams of a data centre again."""
        out: list[object] = []
        placement.end_evacuation(data_centre, self, now, out)
        return out

    def withdraw(self, upstream: str) -> None:
        """Removes an upstream whose announcement was removed."""
        self.directory.remove(upstream)

    def handle_request(
        self, request: CallerRequest, now: float
    ) -> list[object]:
        """Starts a caller's request and returns the first actions."""
        out: list[object] = []
        self.settle_verdicts(now, out)
        intake.start_request(request, self, now, out)
        return out

    def replies(self, batch: list[UpstreamReply], now: float) -> list[object]:
        """Processes the outcomes of attempts and returns the next actions."""
        out: list[object] = []
        self.settle_verdicts(now, out)
        updated_exchanges: dict[Exchange, None] = {}
        for reply in batch:
            attempt = self.attempts.pop(reply.attempt_id, None)
            if attempt is None:
                continue
            self.update_upstream(attempt, reply, now, out)
            exchange, part = attempt.owner, attempt.part
            assert isinstance(exchange, Exchange) and isinstance(part, Part)
            if attempt.dropped:
                # The request may be answered, but its upstream has closed.
                if reply.connection_closed and not attempt.cancelled:
                    losses.on_loss(attempt, exchange, part, self, now, out)
                elif reply.timed_out and not attempt.cancelled:
                    losses.on_silence(attempt, exchange, part, self, now)
                continue
            part.open_attempts.remove(attempt)
            if reply.connection_closed:
                part.losses += 1
                losses.on_loss(attempt, exchange, part, self, now, out)
            elif reply.timed_out:
                losses.on_silence(attempt, exchange, part, self, now)
            attempts.on_attempt_end(exchange, part, reply, self, now, out)
            updated_exchanges[exchange] = None
        for exchange in updated_exchanges:
            conclusion.conclude_or_set_timer(exchange, self, now, out)
        self.check_links(now, out)
        self.end_quarantined(now, out)
        intake.settle_quotas(self, now, out)
        return out

    def check_links(self, now: float, out: list[object]) -> None:
        """Relays the open requests if this instance has been cut off.

        If its links work, upstreams that refused connections have crashed.
        """
        if isolation.update(self, now, out):
            relay.take_over(self, now, out)
        for refusing in isolation.take_refusals(self):
            self.end_check(refusing, False, now, out)

    def handle_check(
        self, announcement: Announcement, reachable: bool, now: float
    ) -> list[object]:
        """Processes whether a lost upstream accepts a new connection."""
        out: list[object] = []
        self.settle_verdicts(now, out)
        self.end_check(announcement, reachable, now, out)
        self.check_links(now, out)
        self.end_quarantined(now, out)
        return out

    def handle_probe(
        self, announcement: Announcement, now: float
    ) -> list[object]:
        """Processes that a new connection to an upstream has stayed open."""
        out: list[object] = []
        isolation.on_connected(announcement, self, now, out)
        self.check_links(now, out)
        return out

    def end_check(
        self,
        announcement: Announcement,
        reachable: bool,
        now: float,
        out: list[object],
    ) -> None:
        """Ends the check of a lost upstream; its requests go on."""
        found = losses.on_checked(announcement, reachable, self, now, out)
        for loss in found:
            exchange, part = loss.exchange, loss.part
            if exchange.finished:
                continue
            if part.pending and not (part.open_attempts or part.group):
                attempts.retry(exchange, part, self, now, out)
            conclusion.conclude_or_set_timer(exchange, self, now, out)

    def handle_upstream_end(
        self, name: str, successor: Announcement | None, now: float
    ) -> list[object]:
        """Charges losses at an upstream that is gone or has started again.

        Args:
          name: Id of the upstream.
          successor: Its new announcement, None if there is none any more.
          now: The time.
        """
        out: list[object] = []
        current = self.directory.by_name.get(name)
        if current is None:
            return out
        restarted = successor is not None
        if successor is None or is_restart(current.announcement, successor):
            losses.on_upstream_ended(current, restarted, self, now, out)
            self.end_quarantined(now, out)
        return out

    def handle_idle_closes(
        self, announcements: list[Announcement], now: float
    ) -> None:
        """Records upstreams that closed connections in recent use."""
        for one in announcements:
            self.quarantine.record_idle_close(losses.start_name(one), now)

    def exchange_notices(self, now: float) -> list[object]:
        """Exchanges evidence against requests with peers, if it is due."""
        out: list[object] = []
        self.settle_verdicts(now, out)
        notices.exchange(self, now, out)
        return out

    def maintain(self, now: float) -> list[object]:
        """Exchanges what limits and quotas need, and probes lost links.

        The fractions that are sent to other data centres are updated as well.
        """
        out = self.update_cold(now)
        warmup.note_members(self, now)
        allocation.exchange(self, now, out)
        quotas.exchange(self, now, out)
        isolation.probe(self, now, out)
        overflow.update(self, now, out)
        self.check_links(now, out)
        intake.settle_quotas(self, now, out)
        return out

    def adopt_quarantine(
        self, report: QuarantineReport, now: float
    ) -> list[object]:
        """Adopts a quarantine that the store holds."""
        out: list[object] = []
        notices.adopt_quarantine(report, "store", self, now, out)
        self.end_quarantined(now, out)
        return out

    def settle_verdicts(self, now: float, out: list[object]) -> None:
        """Quarantines the fingerprints whose evidence is complete."""
        if not self.quarantine.pending:
            return
        for fingerprint in self.quarantine.settle(now):
            entry = self.quarantine.entries[fingerprint]
            detail: dict[str, object] = {
                "fingerprint": fingerprint,
                "duration_s": entry.duration_s,
                "evidence": entry.describe(now),
            }
            out.append(Decision("", "quarantine", detail))
            notices.broadcast([fingerprint], self, now, out, is_verdict=True)
            self.newly_quarantined.append(fingerprint)
        self.end_quarantined(now, out)

    def end_quarantined(self, now: float, out: list[object]) -> None:
        """Ends the open requests that have just been quarantined."""
        while self.newly_quarantined:
            fingerprint = self.newly_quarantined.pop()
            conclusion.end_quarantined(fingerprint, self, now, out)

    def update_upstream(
        self,
        attempt: OpenAttempt,
        reply: UpstreamReply,
        now: float,
        out: list[object],
    ) -> None:
        """Updates an upstream with the outcome of an attempt."""
        upstream = attempt.upstream
        del upstream.open_attempts[attempt.attempt_id]
        if reply.status:
            self.isolation.record_response(now)
        elif reply.end is not AttemptEnd.WITHDRAWN and not attempt.dropped:
            self.isolation.record_failure(attempt)
        if reply.load is not None:
            upstream.load = reply.load
            upstream.load_reported_at = now
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        if reply.terms is not None:
            request_id = exchange.request.request_id
            limits.learn_terms(
                upstream,
                reply.terms,
                attempt.sent_at,
                "response",
                request_id,
                self,
                now,
                out,
            )
        if reply.leaving:
            leaving.learn_leaving(
                upstream, exchange.request.request_id, now, out
            )
        if reply.pause_s:
            request_id = exchange.request.request_id
            pauses.learn_pause(upstream, reply.pause_s, request_id, now, out)
        upstream.record_outcome(attempt, reply.end, now)
        overflowevidence.observe_attempt(exchange, attempt, reply, self, now)
        if reply.end is AttemptEnd.LOST and not attempt.dropped:
            out.append(build_loss_decision(attempt, exchange, reply, now))
        if reply.end is AttemptEnd.RESULT:
            data_centre = upstream.announcement.data_centre
            self.reply_times.add(
                exchange.route, data_centre, now - attempt.sent_at
            )
        elif reply.end is AttemptEnd.MISDIRECTED:
            upstream.removed = True
        elif reply.end in UNSENT_ENDS:
            if attempt.counted:
                for limit in (upstream.limit, upstream.cold_limit):
                    if limit is not None:
                        limit.give_back()
            if attempt.extra:
                part = attempt.part
                assert isinstance(part, Part)
                self.budget(part.service, now).record_extra(now, -1)

    def handle_timer(self, request: CallerRequest, now: float) -> list[object]:
        """Processes a due timer of a request and returns the next actions."""
        out: list[object] = []
        self.settle_verdicts(now, out)
        exchange = self.exchanges.get(request)
        if exchange is None and request in self.quotas.waiting:
            quotatokens.on_timer(request, self, now, out)
            intake.settle_quotas(self, now, out)
        if exchange is None or now < exchange.timer_at:
            return out
        lag = min(now - exchange.timer_at, MAX_LAG_S)
        if exchange.peer_request is not None and lag > BUSY_LAG_THRESHOLD_S:
            attempts.postpone_checks(exchange, now)
        self.lag_s += (lag - self.lag_s) * LAG_WEIGHT
        overflowevidence.observe_lag(lag, self, now)
        delegation.check_groups(exchange, self, now, out)
        relay.relay_due_parts(exchange, self, now, out)
        attempts.check_parts(exchange, self, now, out)
        exchange.timer_at = float("inf")
        conclusion.conclude_or_set_timer(exchange, self, now, out)
        self.check_links(now, out)
        intake.settle_quotas(self, now, out)
        return out

    def is_open(self, request: CallerRequest) -> bool:
        """Returns whether a request is being processed."""
        return request in self.exchanges or request in self.quotas.waiting

    def rearm(self, now: float) -> list[SetRequestTimer]:
        """Returns the timers of all open requests, some of which may be lost.

        A request without a next timer is looked at now.
        """
        for exchange in self.exchanges.values():
            if exchange.timer_at == math.inf:
                exchange.timer_at = now
        timers = [
            SetRequestTimer(max(now, exchange.timer_at), exchange.request)
            for exchange in self.exchanges.values()
        ]
        timers += [
            SetRequestTimer(now + quotatokens.ASK_TIMEOUT_S, request)
            for request in self.quotas.waiting
        ]
        return timers

    def abandon(self, request: CallerRequest, now: float) -> list[object]:
        """Drops the request of a caller that closed its connection."""
        waiting = quotatokens.drop(request, self)
        if waiting is not None:
            detail = {"account": waiting.account, "waited": True}
            return [Decision(request.request_id, "caller_left", detail)]
        return conclusion.abandon(request, self, now)

    def find_likely_peers(self, now: float) -> list[Peer]:
        """Returns the peers with which messages will probably be exchanged."""
        return preconnect.select_peers(self, now)

    def update_instance_count(self, instances: int) -> None:
        """Updates the number of instances and of primary senders."""
        self.instances = instances
        self.wide_shards = self.find_wide_shards()
        self.held_counts = self.count_held_shards()
        self.primary_senders = 0
        own = self.gather.own_peer
        if own is not None and self.wide_shards:
            held = self.held_counts[own.data_centre]
            members = [*self.gather.peer_table.members(own.data_centre), own]
            self.primary_senders = division.count_primary_senders(
                members, own.name, held
            )

    def find_wide_shards(self) -> frozenset[str]:
        """Returns the shards of the widest route if any instance divides it.

        The result is empty if even the weakest instance can query all of them.
        """
        own = self.gather.own_peer
        if own is None or self.table is None:
            return frozenset()
        all_instances = [own, *self.gather.peer_table.peers.values()]
        weakest = min(one.capacity for one in all_instances)
        shards = self.table.widest_shards
        wide = division.is_wide(len(shards), weakest)
        return frozenset(shards) if wide else frozenset()

    def count_held_shards(self) -> Counter[str]:
        """Counts the wide shards that each data centre holds."""
        return Counter(
            data_centre
            for service in self.wide_shards
            for data_centre in self.directory.data_centres(service)
        )

    def handle_peer_message(
        self,
        message: GatherMessage
        | QuarantineNotice
        | DemandNotice
        | ShareNotice
        | QuotaMessage,
        now: float,
    ) -> list[object]:
        """Processes a message of a peer and returns the next actions."""
        out: list[object] = []
        self.settle_verdicts(now, out)
        match message:
            case GatherRequest():
                peermessages.on_gather_request(message, self, now, out)
            case GatherAck():
                peermessages.on_ack(message, self, now, out)
            case GatherReply():
                peermessages.on_reply(message, self, now, out)
            case GatherRelease():
                peermessages.on_release(message, self, now, out)
            case GatherConfirm():
                peermessages.on_confirm(message, self, now, out)
            case GatherCancel():
                peermessages.on_cancel(message, self, now, out)
            case QuarantineNotice():
                notices.on_notice(message, self, now, out)
            case IsolationNotice():
                isolation.on_notice(message, self, now, out)
            case DemandNotice():
                allocation.on_demand(message, self, now, out)
            case ShareNotice():
                allocation.on_shares(message, self, now, out)
            case (
                QuotaBatch()
                | QuotaAck()
                | QuotaAsk()
                | QuotaGrant()
                | QuotaClaim()
                | QuotaYield()
                | MeteredNotice()
            ):
                quotas.on_message(message, self, now, out)
        self.end_quarantined(now, out)
        intake.settle_quotas(self, now, out)
        return out

    def finish_all(self, now: float) -> list[object]:
        """Sends the final answer of all open requests before a planned stop."""
        out: list[object] = []
        for request in list(self.quotas.waiting):
            quotatokens.drop(request, self)
            intake.refuse(
                request,
                Refusal.STOPPING,
                intake.STOPPING_RETRY_AFTER_S,
                self,
                now,
                out,
            )
        for exchange in list(self.exchanges.values()):
            exchange.partial_answer_at = exchange.give_up_at = now
            conclusion.conclude(exchange, self, now, out)
        return out


def build_loss_decision(
    attempt: OpenAttempt, exchange: Exchange, reply: UpstreamReply, now: float
) -> Decision:
    """Returns the log entry of an attempt that ended without a valid reply."""
    announcement = attempt.upstream.announcement
    return Decision(
        exchange.request.request_id,
        "connection_lost",
        {
            "fingerprint": exchange.request.fingerprint,
            "service": announcement.service,
            "upstream": announcement.upstream,
            "started_ms": announcement.started_ms,
            "detail": reply.detail,
            "after_ms": round((now - attempt.sent_at) * 1000, 1),
            "others_open": len(attempt.upstream.open_attempts),
        },
    )
