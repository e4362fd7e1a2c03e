"""Notices between instances about requests that crash upstreams.

Each new piece of evidence goes to all peers of a small fleet at once, and to
some of a larger one, in a small number of messages a second. Besides, an
instance with evidence sends it to two random peers at an interval and gets
theirs in return, and so does one that has just started: evidence reaches all
instances also if messages are lost, and those that the others do not know yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.core.requests.quarantine import (
    SUSPECT_TTL_S,
    ChargeResult,
    FingerprintState,
)
from arbutusbridge.forwarding.evidence import RESERVED_FOR_VERDICTS
from arbutusbridge.forwarding.gather import SendGatherMessage
from arbutusbridge.forwarding.quarantinemessages import (
    QuarantineNotice,
    QuarantineReport,
    ResultReport,
)
from arbutusbridge.forwarding.ranking import rank_peers

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.shared import SharedState

EXCHANGE_INTERVAL_S = 1.0
"""Interval at which instances with evidence exchange it with random peers."""

EXCHANGE_PEERS = 2
"""Number of peers per exchange; after four exchanges, the shortest time that
the users allow, practically all of the instances have been reached."""

SETTLED_AGE_S = 15.0
"""Age from which evidence is exchanged less often; all know it by then."""

SETTLED_INTERVAL_S = 6.0
"""Interval of the exchanges of settled evidence."""

LEARNING_INTERVAL_S = 3.0
"""Interval of the exchanges of an instance that starts without evidence."""

LEARNING_PERIOD_S = 10.0
"""Time after its start in which an instance asks peers for their evidence."""

MAX_NOTICE_FINGERPRINTS = 32
"""Maximum number of fingerprints in one notice, most crashes first. It keeps a
notice below 10 KB, the bytes per second that control may use."""

MAX_CONTACTS = 24
"""Maximum number of peers that an instance sends notices to by itself, so that
it keeps few connections; the exchanges reach the rest of a larger fleet."""


def build_notice(
    fingerprints: list[str],
    wants_reply: bool,
    shared: SharedState,
    now: float,
) -> QuarantineNotice:
    """Builds the notice of the evidence against some fingerprints."""
    own = shared.gather.own_peer
    assert own is not None
    notice = QuarantineNotice(own.address, wants_reply)
    notice.results = [
        ResultReport(fingerprint, now - at)
        for fingerprint, at in shared.notices.results.items()
    ][-MAX_NOTICE_FINGERPRINTS:]
    for fingerprint in fingerprints:
        notice.crashes += shared.quarantine.crash_reports(
            fingerprint, own.name, now
        )
        entry = shared.quarantine.entries[fingerprint]
        if entry.state is FingerprintState.QUARANTINED:
            notice.quarantines.append(
                QuarantineReport(
                    fingerprint,
                    now - entry.quarantined_at,
                    entry.duration_s,
                    entry.quarantined_by or own.name,
                )
            )
    return notice


def broadcast(
    fingerprints: list[str],
    shared: SharedState,
    now: float,
    out: list[object],
    is_verdict: bool = False,
) -> None:
    """Sends new evidence against some fingerprints to all peers."""
    if shared.gather.own_peer is not None and fingerprints:
        first = fingerprints[:MAX_NOTICE_FINGERPRINTS]
        notice = build_notice(first, False, shared, now)
        send_to_all(notice, shared, now, out, is_verdict)


def tell_delegating_peer(
    exchange: Exchange, shared: SharedState, now: float, out: list[object]
) -> None:
    """Tells the peer that delegated a request of the evidence against it.

    It sends further canaries otherwise, and is not always among the contacts.
    """
    if exchange.peer_request is None or exchange.finished:
        return
    fingerprint = exchange.request.fingerprint
    notice = build_notice([fingerprint], False, shared, now)
    out.append(SendGatherMessage(exchange.peer_request.reply_to, notice))


def broadcast_result(
    fingerprint: str, shared: SharedState, now: float, out: list[object]
) -> None:
    """Tells all peers that a suspect had a result.

    One that is delayed goes with the next exchanges.
    """
    own = shared.gather.own_peer
    if own is not None:
        shared.notices.results[fingerprint] = now
        notice = QuarantineNotice(own.address)
        notice.results.append(ResultReport(fingerprint, 0.0))
        send_to_all(notice, shared, now, out)


def send_to_all(
    notice: QuarantineNotice,
    shared: SharedState,
    now: float,
    out: list[object],
    is_verdict: bool = False,
) -> None:
    """Sends a notice to all contacts, unless there were too many lately."""
    reserved = 0.0 if is_verdict else RESERVED_FOR_VERDICTS
    if not shared.notices.take_token(now, reserved):
        shared.count("notice_delayed")
        return
    out += [
        SendGatherMessage(peer.address, notice) for peer in contacts(shared)
    ]


def contacts(shared: SharedState) -> list[Peer]:
    """Returns the peers that this instance sends notices to by itself.

    In a large fleet these are always the same ones, different at each instance.
    """
    own = shared.gather.own_peer
    peers = list(shared.gather.peer_table.peers.values())
    if own is None or len(peers) <= MAX_CONTACTS:
        return peers
    return rank_peers(own.name, peers)[:MAX_CONTACTS]


def exchange(shared: SharedState, now: float, out: list[object]) -> None:
    """Exchanges evidence with random peers, if there is any or may be some."""
    gather, quarantine = shared.gather, shared.quarantine
    quarantine.expire(now)
    learning = now - shared.started_at < LEARNING_PERIOD_S
    results = shared.notices.results
    for fingerprint, at in list(results.items()):
        if now - at > SUSPECT_TTL_S:
            del results[fingerprint]
    has_news = bool(quarantine.entries or results)
    if gather.own_peer is None or not (has_news or learning):
        return
    changes = [entry.changed_at for entry in quarantine.entries.values()]
    latest = max([shared.started_at, *changes, *results.values()])
    if not has_news:
        interval_s = LEARNING_INTERVAL_S
    elif now - latest > SETTLED_AGE_S:
        interval_s = SETTLED_INTERVAL_S
    else:
        interval_s = EXCHANGE_INTERVAL_S
    # The timer that calls this may be a little early.
    if now - shared.notices.exchanged_at < 0.9 * interval_s:
        return
    shared.notices.exchanged_at = now
    notice = build_notice(latest_fingerprints(shared), True, shared, now)
    addresses = [peer.address for peer in contacts(shared)]
    addresses = addresses or shared.seed_addresses
    count = min(EXCHANGE_PEERS, len(addresses))
    out += [
        SendGatherMessage(address, notice)
        for address in shared.rng.sample(addresses, count)
    ]


def latest_fingerprints(shared: SharedState) -> list[str]:
    """Returns the fingerprints for a notice, the most suspicious ones first.

    An outage makes many suspects, each with few crashes.
    """
    entries = shared.quarantine.entries
    return sorted(
        entries,
        key=lambda one: (
            entries[one].state is not FingerprintState.QUARANTINED,
            -entries[one].crash_count,
            -entries[one].changed_at,
        ),
    )[:MAX_NOTICE_FINGERPRINTS]


def on_notice(
    notice: QuarantineNotice,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Adds the evidence of another instance, and replies with the own."""
    quarantine = shared.quarantine
    for result in notice.results:
        if quarantine.on_result_report(result.fingerprint, now - result.age_s):
            detail: dict[str, object] = {
                "fingerprint": result.fingerprint,
                "source": "peer",
                "peer": "{}:{}".format(*notice.reply_to),
            }
            out.append(Decision("", "suspicion_ended", detail))
    for report in notice.crashes:
        charged = quarantine.on_crash_report(report, now)
        if charged is ChargeResult.NOTHING:
            continue
        detail = {
            "fingerprint": report.fingerprint,
            "upstream": report.upstream,
            "reporter": report.reporter,
            "age_ms": round(report.age_s * 1000),
            "result": charged.value,
        }
        out.append(Decision("", "crash_reported", detail))
    for one in notice.quarantines:
        adopt_quarantine(one, "peer", shared, now, out)
    if notice.wants_reply and quarantine.entries:
        reply = build_notice(latest_fingerprints(shared), False, shared, now)
        out.append(SendGatherMessage(notice.reply_to, reply))


def adopt_quarantine(
    report: QuarantineReport,
    source: str,
    shared: SharedState,
    now: float,
    out: list[object],
) -> None:
    """Adopts a quarantine that a peer or the store reports."""
    is_new = shared.quarantine.on_peer_quarantine(
        report.fingerprint,
        report.age_s,
        now,
        report.duration_s,
        report.reporter,
    )
    if not is_new:
        return
    detail = {
        "fingerprint": report.fingerprint,
        "reporter": report.reporter,
        "age_ms": round(report.age_s * 1000),
        "source": source,
        "evidence": report.evidence,
    }
    out.append(Decision("", "quarantine_adopted", detail))
    shared.newly_quarantined.append(report.fingerprint)
