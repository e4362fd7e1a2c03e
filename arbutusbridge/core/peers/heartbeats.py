"""Tables of heartbeats, a few bytes an instance."""

from __future__ import annotations

import math
import struct
from typing import TYPE_CHECKING

from arbutusbridge.core.membership.members import MemberState, member_key
from arbutusbridge.errors import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from arbutusbridge.core.membership.members import Member
    from arbutusbridge.core.membership.membership import Membership

HEARTBEAT_ROW = struct.Struct(">5sHBBB")
"""Name key, incarnation check, age heard, age listed, state and version."""

HEARD_AGE_UNIT_S = 0.25
LISTED_AGE_UNIT_S = 2.0
UNKNOWN_AGE = 255
"""Age of what was never seen or too long ago to tell."""

MAX_VERSION_LAG = 63
"""Versions behind the sender from which the number is not told."""

INCARNATION_MASK = 0xFFFF


def encode_age(now: float, at: float | None, unit: float) -> int:
    """Writes an age rounded up, so that relays never make it younger."""
    if at is None:
        return UNKNOWN_AGE
    return min(UNKNOWN_AGE, max(0, math.ceil((now - at) / unit)))


def encode_table(members: Iterable[Member], version: int, now: float) -> bytes:
    """Writes what is known of some instances, relative to a version."""
    return b"".join(encode_row(member, version, now) for member in members)


def encode_row(member: Member, version: int, now: float) -> bytes:
    """Writes what is known of one instance."""
    behind = MAX_VERSION_LAG
    if member.version:
        behind = min(MAX_VERSION_LAG, max(0, version - member.version))
    return HEARTBEAT_ROW.pack(
        member_key(member.identity.name),
        member.identity.incarnation & INCARNATION_MASK,
        encode_age(now, member.heard_at, HEARD_AGE_UNIT_S),
        encode_age(now, member.listed_at, LISTED_AGE_UNIT_S),
        int(member.state) << 6 | behind,
    )


def take_table(
    membership: Membership, table: bytes, version: int, now: float
) -> list[bytes]:
    """Takes a peer's table; returns the keys of unknown instances.

    Raises:
      ProtocolError: The table is damaged.
    """
    if len(table) % HEARTBEAT_ROW.size:
        raise ProtocolError(
            "A heartbeat table of a wrong length.",
            "Run instances of the same or neighbouring releases.",
        )
    unknown = []
    for row in HEARTBEAT_ROW.iter_unpack(table):
        name = membership.names.get(row[0])
        if name is not None:
            take_row(membership, name, row, version, now)
        elif row[0] != member_key(membership.me.name):
            unknown.append(row[0])
    return unknown


def take_row(
    membership: Membership,
    name: str,
    row: tuple[bytes, int, int, int, int],
    version: int,
    now: float,
) -> None:
    """Takes one row; what it says of another incarnation is left out."""
    _, check, heard, listed, flags = row
    if listed != UNKNOWN_AGE:
        membership.hear_listed(name, now - listed * LISTED_AGE_UNIT_S)
    incarnation = membership.members[name].identity.incarnation
    if check != incarnation & INCARNATION_MASK:
        return
    state = MemberState(min(flags >> 6, MemberState.STOPPED))
    if heard == UNKNOWN_AGE:
        silent_since = now - UNKNOWN_AGE * HEARD_AGE_UNIT_S
        membership.hear_silence(name, silent_since, state)
        return
    behind = flags & MAX_VERSION_LAG
    known = 0 if behind == MAX_VERSION_LAG else max(0, version - behind)
    membership.hear(name, now - heard * HEARD_AGE_UNIT_S, known, state)
