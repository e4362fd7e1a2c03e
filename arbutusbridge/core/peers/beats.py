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

ROW = struct.Struct(">5sHBBB")
"""Name key, incarnation check, age heard, age listed, state and version."""

HEARD_UNIT_SECONDS = 0.25
LISTED_UNIT_SECONDS = 2.0
TOO_OLD = 255
"""Age of what was never seen or too long ago to tell."""

FAR_BEHIND = 63
"""Versions behind the sender from which the number is not told."""

CHECK_MASK = 0xFFFF


def encode_age(now: float, at: float | None, unit: float) -> int:
    """Writes an age rounded up, so that relays never make it younger."""
    if at is None:
        return TOO_OLD
    return min(TOO_OLD, max(0, math.ceil((now - at) / unit)))


def encode_table(members: Iterable[Member], version: int, now: float) -> bytes:
    """Writes what is known of some instances, relative to a version."""
    return b"".join(encode_row(member, version, now) for member in members)


def encode_row(member: Member, version: int, now: float) -> bytes:
    """Writes what is known of one instance."""
    behind = FAR_BEHIND
    if member.version:
        behind = min(FAR_BEHIND, max(0, version - member.version))
    return ROW.pack(
        member_key(member.identity.name),
        member.identity.incarnation & CHECK_MASK,
        encode_age(now, member.heard_at, HEARD_UNIT_SECONDS),
        encode_age(now, member.listed_at, LISTED_UNIT_SECONDS),
        int(member.state) << 6 | behind,
    )


def take_table(
    membership: Membership, table: bytes, version: int, now: float
) -> list[bytes]:
    """Takes a peer's table; returns the keys of unknown instances.

    Raises:
      ProtocolError: The table is damaged.
    """
    if len(table) % ROW.size:
        raise ProtocolError(
            "A heartbeat table of a wrong length.",
            "Run instances of the same or neighbouring releases.",
        )
    unknown = []
    for row in ROW.iter_unpack(table):
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
    if listed != TOO_OLD:
        membership.hear_listed(name, now - listed * LISTED_UNIT_SECONDS)
    incarnation = membership.members[name].identity.incarnation
    if check != incarnation & CHECK_MASK:
        return
    state = MemberState(min(flags >> 6, MemberState.STOPPED))
    if heard == TOO_OLD:
        silent_since = now - TOO_OLD * HEARD_UNIT_SECONDS
        membership.hear_silence(name, silent_since, state)
        return
    behind = flags & FAR_BEHIND
    known = 0 if behind == FAR_BEHIND else max(0, version - behind)
    membership.hear(name, now - heard * HEARD_UNIT_SECONDS, known, state)
