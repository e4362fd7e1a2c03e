"""Sealed messages between instances, in msgpack."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgpack
from pydantic import (
    AfterValidator,
    BeforeValidator,
    Field,
    TypeAdapter,
    ValidationError,
)

from arbutusbridge.core.configuration import Head
from arbutusbridge.core.membership.members import Identity, MemberState
from arbutusbridge.core.membership.shares import ShareStatus
from arbutusbridge.core.messages import Notice
from arbutusbridge.errors import ProtocolError

PROTOCOL = b"\x01"
"""First byte of every message; another number is another protocol."""

MAC_BYTES = 16
MAX_MESSAGE_BYTES = 65_536
"""Largest message taken, in bytes."""

MAX_ITEMS = 2_000
"""Items of one kind in a message at most."""

MAX_INTEGER = 2**63 - 1
MAX_TEXT_LENGTH = 128

PIECES_PER_WINDOW = 8
"""Pieces sent for one question; fewer than a link's queue holds."""


class ProtocolMismatchError(ProtocolError):
    """A message of another protocol version."""

    kind = "protocol_mismatch"


def field_names(kind: type) -> tuple[str, ...]:
    """Returns the names of a data class's fields."""
    return tuple(item.name for item in dataclasses.fields(kind))


def from_list(kind: type) -> BeforeValidator:
    """Returns a validator that reads a data class off a list of its fields."""
    names = field_names(kind)

    def convert(value: Any) -> Any:
        if not isinstance(value, list):
            return value
        if len(value) != len(names):
            raise ValueError(f"{kind.__name__} has {len(names)} fields")
        return dict(zip(names, value, strict=True))

    return BeforeValidator(convert)


Text = Annotated[str, Field(max_length=MAX_TEXT_LENGTH)]
Number = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
Seconds = Annotated[float, Field(ge=0, le=1e9, allow_inf_nan=False)]


def check_head(head: Head) -> Head:
    """Returns a head unchanged; raises ValueError if it can't be one."""
    too_long = max(len(head.publish_id), len(head.digest)) > MAX_TEXT_LENGTH
    if not 0 <= head.version <= MAX_INTEGER or too_long:
        raise ValueError("the head is out of range")
    return head


@dataclass(frozen=True, slots=True)
class Piece:
    """One part of a packed configuration version.

    Attributes:
      version: The version.
      publish_id: Names the publish that made it.
      number: Place of the part, from 0.
      count: Parts in all.
      data: The part's bytes.
    """

    version: Number
    publish_id: Text
    number: Annotated[int, Field(ge=0, le=1_000)]
    count: Annotated[int, Field(ge=1, le=1_000)]
    data: Annotated[bytes, Field(max_length=MAX_MESSAGE_BYTES)]


@dataclass(frozen=True, slots=True)
class Finding:
    """What a probe of an upstream found.

    Attributes:
      upstream: Its name.
      held: Versions it serves, by service.
      load: Busy slots over slots, None when not reported.
      leaving: Whether it is being taken away.
      age: Seconds since the probe, at the time of telling.
      incarnation: Start of the upstream that reported, 0 when not told.
    """

    upstream: Text
    held: Annotated[
        dict[Text, list[tuple[Number, Number]]], Field(max_length=64)
    ]
    load: Annotated[float, Field(allow_inf_nan=False)] | None
    leaving: bool
    age: Seconds = 0.0
    incarnation: Number = 0


@dataclass(slots=True)
class PeerMessage:
    """What one instance sends to another.

    Attributes:
      sender: Who sends it.
      receiver: Incarnation that it is meant for, 0 for a first contact.
      sequence: Greater than in all earlier messages of the incarnation.
      state: What the sender says of itself.
      head: Configuration version in force at the sender.
      head_age: Seconds since the head was known to stand, or None.
      list_age: Seconds since the instance list was read, or None.
      counted: Instances that the sender knows, itself among them.
      beats: Heartbeat tables, see ``gossip``.
      members: Instances that the receiver may not know.
      unknown: Keys in the receiver's tables that the sender does not know.
      notices: Findings about requests and upstreams.
      findings: Findings of probes.
      wanted: Version whose pieces the sender asks for, 0 for none.
      wanted_from: First piece of the window asked for.
      pieces: Pieces that the receiver asked for.
      share: What the sender says of its shares of connections.
    """

    sender: Annotated[Identity, from_list(Identity)]
    receiver: Number
    sequence: Number
    state: MemberState
    head: Annotated[Head, from_list(Head), AfterValidator(check_head)]
    head_age: Seconds | None = None
    list_age: Seconds | None = None
    counted: Annotated[int, Field(ge=0, le=100_000)] = 0
    beats: Annotated[
        list[Annotated[bytes, Field(max_length=MAX_MESSAGE_BYTES)]],
        Field(max_length=16),
    ] = field(default_factory=list)
    members: Annotated[
        list[Annotated[Identity, from_list(Identity)]],
        Field(max_length=MAX_ITEMS),
    ] = field(default_factory=list)
    unknown: Annotated[
        list[Annotated[bytes, Field(max_length=16)]], Field(max_length=64)
    ] = field(default_factory=list)
    notices: Annotated[
        list[Annotated[Notice, from_list(Notice)]],
        Field(max_length=MAX_ITEMS),
    ] = field(default_factory=list)
    findings: Annotated[
        list[Annotated[Finding, from_list(Finding)]],
        Field(max_length=MAX_ITEMS),
    ] = field(default_factory=list)
    wanted: Number = 0
    wanted_from: Annotated[int, Field(ge=0, le=1_000)] = 0
    pieces: Annotated[
        list[Annotated[Piece, from_list(Piece)]], Field(max_length=4)
    ] = field(default_factory=list)
    share: Annotated[ShareStatus, from_list(ShareStatus)] = field(
        default_factory=ShareStatus
    )


FIELD_NAMES = {
    kind: field_names(kind)
    for kind in (
        PeerMessage,
        Identity,
        Head,
        Notice,
        Finding,
        Piece,
        ShareStatus,
    )
}
ADAPTER = TypeAdapter(Annotated[PeerMessage, from_list(PeerMessage)])


def derive_key(secret: str, namespace: str) -> bytes:
    """Returns the key that the instances of one deployment share."""
    text = f"arbutusbridge peers\0{namespace}\0{secret}"
    return hashlib.sha256(text.encode()).digest()


def seal(message: PeerMessage, key: bytes) -> bytes:
    """Writes a message with its authentication code."""
    payload = msgpack.packb(message, default=fields_of)
    return PROTOCOL + code_of(payload, key) + payload


def code_of(payload: bytes, key: bytes) -> bytes:
    """Returns the authentication code of a payload."""
    whole = hmac.digest(key, PROTOCOL + payload, "sha256")
    return whole[:MAC_BYTES]


def fields_of(value: Any) -> list[Any]:
    """Returns the fields of a data class, for the encoder."""
    return [getattr(value, name) for name in FIELD_NAMES[type(value)]]


def unseal(data: bytes, key: bytes) -> PeerMessage:
    """Reads a message.

    Raises:
      ProtocolMismatchError: It is of another protocol version.
      ProtocolError: It is forged, damaged or off the protocol.
    """
    if data[:1] != PROTOCOL:
        raise ProtocolMismatchError(
            f"A peer message of protocol {data[:1].hex() or 'none'}.",
            "Run instances of the same or neighbouring releases.",
        )
    payload = data[1 + MAC_BYTES :]
    if not hmac.compare_digest(code_of(payload, key), data[1 : 1 + MAC_BYTES]):
        raise ProtocolError(
            "A peer message with a wrong authentication code.",
            "Give all instances the same peer_secret and namespace.",
        )
    try:
        return ADAPTER.validate_python(msgpack.unpackb(payload))
    except ValidationError as err:
        raise off_protocol(err.errors()[0]["msg"]) from err
    except (ValueError, msgpack.UnpackException, RecursionError) as err:
        raise off_protocol(str(err)) from err


def off_protocol(detail: str) -> ProtocolError:
    """Builds the error of a message that can't be read."""
    return ProtocolError(
        f"A peer message is off the protocol: {detail}.",
        "Report it with the releases of the instances.",
    )
