"""Encoding of authenticated messages between instances, in msgpack."""

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

PROTOCOL_VERSION = b"\x01"
"""Protocol version, the first byte of every message."""

MAC_BYTES = 16
MAX_MESSAGE_BYTES = 65_536
"""Maximum size of a message, in bytes."""

MAX_ITEMS = 2_000
"""Maximum number of items of one kind in a message."""

MAX_INTEGER = 2**63 - 1
MAX_TEXT_LENGTH = 128

PIECES_PER_WINDOW = 8
"""Number of pieces sent per request; must be below a link's queue size."""


class ProtocolMismatchError(ProtocolError):
    """A message has another protocol version."""

    kind = "protocol_mismatch"


def field_names(kind: type) -> tuple[str, ...]:
    """Returns the names of the fields of a data class."""
    return tuple(item.name for item in dataclasses.fields(kind))


def from_list(kind: type) -> BeforeValidator:
    """Returns a validator that reads a data class from a list of its fields."""
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
    """Returns a head unchanged.

    Raises:
      ValueError: Its version is out of range or a text is too long.
    """
    too_long = max(len(head.publish_id), len(head.digest)) > MAX_TEXT_LENGTH
    if not 0 <= head.version <= MAX_INTEGER or too_long:
        raise ValueError("the head is out of range")
    return head


@dataclass(frozen=True, slots=True)
class Piece:
    """One part of a packed configuration version.

    Attributes:
      version: Number of the version.
      publish_id: Identifier of the publish that created it.
      number: Number of the piece, from 0.
      count: Total number of pieces.
      data: Bytes of the piece.
    """

    version: Number
    publish_id: Text
    number: Annotated[int, Field(ge=0, le=1_000)]
    count: Annotated[int, Field(ge=1, le=1_000)]
    data: Annotated[bytes, Field(max_length=MAX_MESSAGE_BYTES)]


@dataclass(frozen=True, slots=True)
class Finding:
    """Result of a probe of an upstream.

    Attributes:
      upstream: Name of the upstream.
      held: Versions that it serves, by service.
      load: Busy slots over all slots, None if not reported.
      leaving: Whether the upstream is being removed.
      age: Seconds between the probe and the sending of the finding.
      incarnation: Number that grows with each start of the upstream, 0 if it
        was not reported.
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
    """A message from one instance to another.

    Attributes:
      sender: Identity of the sender.
      receiver: Incarnation of the receiver, 0 in a first message.
      sequence: Sequence number, increasing within the sender's incarnation.
      state: State that the sender reports of itself.
      head: Configuration version in force at the sender.
      head_age: Seconds since the head was known to be the newest, or None.
      list_age: Seconds since the instance list was read, or None.
      counted: Number of instances that the sender knows, including itself.
      beats: Heartbeat tables, see ``heartbeats``.
      members: Identities that the receiver may not know.
      unknown: Keys in the receiver's tables that the sender does not know.
      notices: Notices about requests and upstreams.
      findings: Findings of probes.
      wanted: Version whose pieces the sender requests, 0 for none.
      wanted_from: Number of the first requested piece.
      pieces: Pieces that the receiver requested.
      share: Status of the sender's shares of connections.
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
MESSAGE_ADAPTER = TypeAdapter(Annotated[PeerMessage, from_list(PeerMessage)])


def derive_key(secret: str, namespace: str) -> bytes:
    """Derives the authentication key shared by a deployment's instances."""
    text = f"arbutusbridge peers\0{namespace}\0{secret}"
    return hashlib.sha256(text.encode()).digest()


def seal(message: PeerMessage, key: bytes) -> bytes:
    """Encodes a message and prepends its authentication code."""
    payload = msgpack.packb(message, default=field_values)
    return PROTOCOL_VERSION + compute_mac(payload, key) + payload


def compute_mac(payload: bytes, key: bytes) -> bytes:
    """Returns the authentication code of a payload."""
    whole = hmac.digest(key, PROTOCOL_VERSION + payload, "sha256")
    return whole[:MAC_BYTES]


def field_values(value: Any) -> list[Any]:
    """Returns the field values of a data class, for the encoder."""
    return [getattr(value, name) for name in FIELD_NAMES[type(value)]]


def unseal(data: bytes, key: bytes) -> PeerMessage:
    """Verifies and decodes a message.

    Raises:
      ProtocolMismatchError: The message has another protocol version.
      ProtocolError: The message is forged, damaged or malformed.
    """
    if data[:1] != PROTOCOL_VERSION:
        raise ProtocolMismatchError(
            f"A peer message has protocol {data[:1].hex() or 'none'}.",
            "Run instances of the same or neighbouring releases.",
        )
    payload = data[1 + MAC_BYTES :]
    if not hmac.compare_digest(
        compute_mac(payload, key), data[1 : 1 + MAC_BYTES]
    ):
        raise ProtocolError(
            "A peer message came with a wrong authentication code.",
            "Give all instances the same peer_secret and namespace.",
        )
    try:
        return MESSAGE_ADAPTER.validate_python(msgpack.unpackb(payload))
    except ValidationError as err:
        raise make_malformed_message_error(err.errors()[0]["msg"]) from err
    except (ValueError, msgpack.UnpackException, RecursionError) as err:
        raise make_malformed_message_error(str(err)) from err


def make_malformed_message_error(detail: str) -> ProtocolError:
    """Returns the error of a message that can't be decoded."""
    return ProtocolError(
        f"A peer message violates the protocol: {detail}.",
        "Report it with the releases of both instances.",
    )
