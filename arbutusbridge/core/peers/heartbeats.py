"""Encoding of heartbeat tables, a few bytes per instance."""

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
"""Layout of a row of a heartbeat table.

Key of the name, low bits of the incarnation, age of the last heartbeat, age of
the last listing, and a byte with the state and the version lag.
"""

HEARD_AGE_UNIT_S = 0.25
LISTED_AGE_UNIT_S = 2.0
UNKNOWN_AGE = 255
"""Encoded age if there is none, or if it exceeds the encodable range."""

MAX_VERSION_LAG = 63
"""Maximum encoded version lag.

It stands for any greater lag and for an unknown version.
"""

INCARNATION_MASK = 0xFFFF


def encode_age(now: float, at: float | None, unit: float) -> int:
    """Encodes an age, rounded up so that relays never decrease it.

    Args:
      now: Current time.
      at: Time whose age is encoded, None if there is none.
      unit: Unit of the encoded age, in seconds.
    """
    if at is None:
        return UNKNOWN_AGE
    return min(UNKNOWN_AGE, max(0, math.ceil((now - at) / unit)))


def encode_table(members: Iterable[Member], version: int, now: float) -> bytes:
    """Encodes the state of some members.

    Args:
      members: Members to encode.
      version: Configuration version in force here; the table contains how
        far each member lags behind it.
      now: Current time.
    """
    return b"".join(encode_row(member, version, now) for member in members)


def encode_row(member: Member, version: int, now: float) -> bytes:
    """Encodes the state of one member."""
    version_lag = MAX_VERSION_LAG
    if member.version:
        version_lag = min(MAX_VERSION_LAG, max(0, version - member.version))
    return HEARTBEAT_ROW.pack(
        member_key(member.identity.name),
        member.identity.incarnation & INCARNATION_MASK,
        encode_age(now, member.heard_at, HEARD_AGE_UNIT_S),
        encode_age(now, member.listed_at, LISTED_AGE_UNIT_S),
        int(member.state) << 6 | version_lag,
    )


def apply_table(
    membership: Membership, table: bytes, version: int, now: float
) -> list[bytes]:
    """Applies a peer's heartbeat table to the membership.

    Returns:
      Keys of the instances that are not known here.

    Raises:
      ProtocolError: The table is damaged.
    """
    if len(table) % HEARTBEAT_ROW.size:
        raise ProtocolError(
            "A heartbeat table has an invalid length.",
            "Run instances of the same or neighbouring releases.",
        )
    unknown = []
    for row in HEARTBEAT_ROW.iter_unpack(table):
        name = membership.names_by_key.get(row[0])
        if name is not None:
            apply_row(membership, name, row, version, now)
        elif row[0] != member_key(membership.me.name):
            unknown.append(row[0])
    return unknown


def apply_row(
    membership: Membership,
    name: str,
    row: tuple[bytes, int, int, int, int],
    version: int,
    now: float,
) -> None:
    """Applies one row; heartbeats of another incarnation are ignored."""
    _, check, heard_age, listed_age, flags = row
    if listed_age != UNKNOWN_AGE:
        membership.record_listing(name, now - listed_age * LISTED_AGE_UNIT_S)
    incarnation = membership.members[name].identity.incarnation
    if check != incarnation & INCARNATION_MASK:
        return
    state = MemberState(min(flags >> 6, MemberState.STOPPED))
    if heard_age == UNKNOWN_AGE:
        silent_since = now - UNKNOWN_AGE * HEARD_AGE_UNIT_S
        membership.record_silence(name, silent_since, state)
        return
    version_lag = flags & MAX_VERSION_LAG
    known_version = (
        0 if version_lag == MAX_VERSION_LAG else max(0, version - version_lag)
    )
    membership.record_heartbeat(
        name, now - heard_age * HEARD_AGE_UNIT_S, known_version, state
    )
