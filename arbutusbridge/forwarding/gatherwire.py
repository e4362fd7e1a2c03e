"""Messages between forwarding instances, in msgpack."""

from __future__ import annotations

import dataclasses
from typing import Annotated, Any

import msgpack
from pydantic import Field, TypeAdapter, ValidationError

from arbutusbridge.errors import ProtocolError
from arbutusbridge.forwarding.following import FollowRequest, StoreUpdate
from arbutusbridge.forwarding.gather import (
    GatherAck,
    GatherCancel,
    GatherMessage,
    GatherReply,
    GatherRequest,
)

PROTOCOL = b"\x13"
"""First byte of every message; another number is another protocol."""

MAX_MESSAGE_BYTES = 4_194_304
"""Largest message taken: all that the store holds, packed, at the planned
size; a whole body of a caller and its headers is smaller."""

PeerMessage = GatherMessage | FollowRequest | StoreUpdate

MESSAGE_TYPES: tuple[type, ...] = (
    GatherRequest,
    GatherAck,
    GatherReply,
    GatherCancel,
    FollowRequest,
    StoreUpdate,
)
"""Kinds of messages; the place of a kind is its number on the wire."""

ADAPTERS: list[TypeAdapter[Any]] = [TypeAdapter(kind) for kind in MESSAGE_TYPES]


def encode_message(message: PeerMessage) -> bytes:
    """Writes a message as its kind's number and its fields."""
    fields = [
        getattr(message, field.name) for field in dataclasses.fields(message)
    ]
    payload = msgpack.packb([MESSAGE_TYPES.index(type(message)), fields])
    return PROTOCOL + payload


def decode_message(data: bytes) -> PeerMessage:
    """Reads a message.

    Raises:
      ProtocolError: It is damaged, or of another protocol.
    """
    if data[:1] != PROTOCOL:
        raise ProtocolError(
            f"A peer message of protocol {data[:1].hex() or 'none'}.",
            "Run instances of the same release.",
        )
    try:
        number, values = msgpack.unpackb(data[1:], use_list=True)
        names = [
            field.name for field in dataclasses.fields(MESSAGE_TYPES[number])
        ]
        fields: dict[str, Any] = dict(zip(names, values, strict=True))
        return ADAPTERS[number].validate_python(fields)
    except (ValidationError, ValueError, TypeError, IndexError) as err:
        raise ProtocolError(
            f"A peer message that can't be read: {err}.",
            "Look for damage on the way between the instances.",
        ) from err


PeerName = Annotated[str, Field(min_length=1, max_length=200)]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRecord:
    """What an instance says of itself in the store.

    Attributes:
      data_centre: Where it runs.
      ip: Where it takes messages of other instances.
      port: The port there.
      capacity: Its processor, in cores.
    """

    data_centre: PeerName
    ip: PeerName
    port: Annotated[int, Field(ge=1, le=65535)]
    capacity: Annotated[float, Field(gt=0, le=1024)] = 1.0


CARD = TypeAdapter(InstanceRecord)


def encode_card(card: InstanceRecord) -> bytes:
    """Writes a card as JSON."""
    return CARD.dump_json(card)


def decode_card(value: bytes) -> InstanceRecord | None:
    """Reads a card, None if it is none."""
    try:
        return CARD.validate_json(value)
    except ValidationError:
        return None
