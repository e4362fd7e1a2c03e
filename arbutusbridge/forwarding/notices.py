"""Notices between instances about requests that crash upstreams.

Each new piece of evidence goes to all peers at once, in a small number of
messages a second. Besides, an instance with evidence sends it to two random
peers at an interval and gets theirs in return, and so does one that has just
started: evidence reaches all instances also if messages are lost, and those
that the others do not know yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Decision
from arbutusbridge.core.requests.quarantine import (
    ChargeResult,
    FingerprintState,
)
from arbutusbridge.forwarding.gather import SendGatherMessage
from arbutusbridge.forwarding.quarantinemessages import (
    QuarantineNotice,
    QuarantineReport,
)

if TYPE_CHECKING:
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

LEARNING_PERIOD_S = 10.0
"""Time after its start in which an instance asks peers for their evidence."""

MAX_NOTICE_FINGERPRINTS = 32
"""Maximum number of fingerprints in one notice, latest evidence first. It keeps
a notice below 10 KB, the bytes per second that control may use."""

MAX_BROADCAST_PEERS = 100
"""Maximum number of peers that get a broadcast; the exchanges reach the rest of
a larger fleet."""


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
                    entry.until - entry.quarantined_at,
                    entry.quarantined_by or own.name,
                )
            )
    return notice


def broadcast(
    fingerprint: str, shared: SharedState, now: float, out: list[object]
) -> None:
    """Sends new evidence against a fingerprint to all peers."""
    gather = shared.gather
    if gather.own_peer is None:
        return
    if not shared.notices.take_token(now):
        shared.count("notice_delayed")
        return
    peers = list(gather.peer_table.peers.values())
    if len(peers) > MAX_BROADCAST_PEERS:
        peers = shared.rng.sample(peers, MAX_BROADCAST_PEERS)
    notice = build_notice([fingerprint], False, shared, now)
    out += [SendGatherMessage(peer.address, notice) for peer in peers]


def exchange(shared: SharedState, now: float, out: list[object]) -> None:
    """Exchanges evidence with random peers, if there is any or may be some."""
    gather, quarantine = shared.gather, shared.quarantine
    quarantine.expire(now)
    learning = now - shared.started_at < LEARNING_PERIOD_S
    if gather.own_peer is None or not (quarantine.entries or learning):
        return
    latest = max(
        (entry.changed_at for entry in quarantine.entries.values()),
        default=now,
    )
    settled = not learning and now - latest > SETTLED_AGE_S
    interval_s = SETTLED_INTERVAL_S if settled else EXCHANGE_INTERVAL_S
    # The timer that calls this may be a little early.
    if now - shared.notices.exchanged_at < 0.9 * interval_s:
        return
    shared.notices.exchanged_at = now
    notice = build_notice(latest_fingerprints(shared), True, shared, now)
    addresses = [peer.address for peer in gather.peer_table.peers.values()]
    addresses = addresses or shared.seed_addresses
    count = min(EXCHANGE_PEERS, len(addresses))
    out += [
        SendGatherMessage(address, notice)
        for address in shared.rng.sample(addresses, count)
    ]


def latest_fingerprints(shared: SharedState) -> list[str]:
    """Returns the fingerprints for a notice, quarantined ones first."""
    entries = shared.quarantine.entries
    return sorted(
        entries,
        key=lambda one: (
            entries[one].state is not FingerprintState.QUARANTINED,
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
    for report in notice.crashes:
        result = quarantine.on_crash_report(report, now)
        if result is ChargeResult.NOTHING:
            continue
        detail = {
            "fingerprint": report.fingerprint,
            "upstream": report.upstream,
            "reporter": report.reporter,
            "age_ms": round(report.age_s * 1000),
            "result": result.value,
        }
        out.append(Decision("", "crash_reported", detail))
        if result is ChargeResult.QUARANTINE:
            shared.newly_quarantined.append(report.fingerprint)
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
    }
    out.append(Decision("", "quarantine_adopted", detail))
    shared.newly_quarantined.append(report.fingerprint)
