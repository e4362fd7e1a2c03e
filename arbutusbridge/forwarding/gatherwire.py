"""Encoding of messages between instances in msgpack.

Instances of two builds run side by side during an update. A message of protocol
0x16 is a type number and a map of numbered fields: a field with its default is
left out, and one with an unknown number is skipped. Fields are only added at
the end of a message, with a default. The production build speaks protocol 0x15,
whose fields are positional and fixed; peers that do not announce a later one
get it, without the fields that were added since. docs/design/updates.md lists
what each message means between two builds.

The record of each instance in the store is JSON.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import ipaddress
from typing import Annotated, Any

import msgpack
from pydantic import AfterValidator, Field, TypeAdapter, ValidationError

from arbutusbridge.errors import ProtocolError, UnknownMessageError
from arbutusbridge.forwarding.following import FollowRequest, StoreUpdate
from arbutusbridge.forwarding.gather import (
    GatherAck,
    GatherCancel,
    GatherConfirm,
    GatherMessage,
    GatherRelease,
    GatherReply,
    GatherRequest,
    IsolationNotice,
)
from arbutusbridge.forwarding.limitmessages import DemandNotice, ShareNotice
from arbutusbridge.forwarding.quarantinemessages import QuarantineNotice
from arbutusbridge.forwarding.quotamessages import (
    MeteredNotice,
    QuotaAck,
    QuotaAsk,
    QuotaBatch,
    QuotaClaim,
    QuotaGrant,
    QuotaMessage,
    QuotaYield,
)

OLDEST_PROTOCOL = 0x15
"""Protocol of the oldest build that is understood, the one in production."""

NUMBERED_PROTOCOL = 0x16
"""First protocol with numbered fields. Its number begins the messages of all
later ones, since peers skip the fields and types that they do not know."""

CURRENT_PROTOCOL = 0x18
"""Protocol of this build, announced in the record of the instance."""

MAX_MESSAGE_BYTES = 4_194_304
"""Maximum size of an accepted message: all items of the store, packed, at the
planned size. A complete body of a caller with its headers is smaller."""

PeerMessage = (
    GatherMessage
    | FollowRequest
    | StoreUpdate
    | QuarantineNotice
    | DemandNotice
    | ShareNotice
    | QuotaMessage
)

MESSAGE_TYPES: tuple[type, ...] = (
    GatherRequest,
    GatherAck,
    GatherReply,
    GatherCancel,
    FollowRequest,
    StoreUpdate,
    QuarantineNotice,
    DemandNotice,
    ShareNotice,
    IsolationNotice,
    GatherRelease,
    QuotaBatch,
    QuotaAck,
    QuotaAsk,
    QuotaGrant,
    MeteredNotice,
    GatherConfirm,
    QuotaClaim,
    QuotaYield,
)
"""Message types; the index of a type is its number on the wire. Those without
an entry in OLDEST_FIELD_COUNTS are not sent to peers of the oldest protocol."""

OLDEST_FIELD_COUNTS: dict[type, int] = {
    GatherRequest: 15,
    GatherAck: 2,
    GatherReply: 9,
    GatherCancel: 2,
    FollowRequest: 2,
    StoreUpdate: 7,
    QuarantineNotice: 5,
    DemandNotice: 4,
    ShareNotice: 3,
    IsolationNotice: 2,
}
"""Number of fields of each message of the oldest protocol."""

FIELDS: dict[type, tuple[dataclasses.Field[Any], ...]] = {
    kind: dataclasses.fields(kind) for kind in MESSAGE_TYPES
}
"""Fields of each message type; the index of a field is its number."""


def default_of(field: dataclasses.Field[Any]) -> object:
    """Returns the default of a field, or a value that equals no other."""
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default


DEFAULTS: dict[type, tuple[object, ...]] = {
    kind: tuple(default_of(field) for field in fields)
    for kind, fields in FIELDS.items()
}
"""Defaults of the fields of each message type."""


@functools.cache
def message_adapter(kind: type) -> TypeAdapter[Any]:
    """Returns the validator of a message type.

    Validators are built when they are first needed. All of them take a tenth of
    the start of an instance, for which callers wait.
    """
    return TypeAdapter(kind)


def encode_message(
    message: PeerMessage, protocol: int = CURRENT_PROTOCOL
) -> bytes:
    """Encodes a message as the number of its type and its fields.

    Args:
      message: The message.
      protocol: Protocol that the receiver speaks. A later one than that of this
        build is replaced by it.

    Raises:
      UnknownMessageError: The receiver does not understand this type.
    """
    kind = type(message)
    number = MESSAGE_TYPES.index(kind)
    fields: Any
    is_later_reply = isinstance(message, GatherReply) and (
        not message.is_final or message.max_records is not None
    )
    if is_later_reply or isinstance(
        message, QuotaAck | QuotaGrant | QuotaYield
    ):
        # Its request could only be sent by a build that understands it, also
        # if the key of that instance is not known yet.
        protocol = NUMBERED_PROTOCOL
    if protocol < NUMBERED_PROTOCOL:
        protocol = OLDEST_PROTOCOL
        if kind not in OLDEST_FIELD_COUNTS:
            raise UnknownMessageError(
                f"The peer does not understand {kind.__name__}.",
                "Update the peer; its requests are served without it.",
            )
        known = FIELDS[kind][: OLDEST_FIELD_COUNTS[kind]]
        fields = [getattr(message, field.name) for field in known]
    else:
        protocol = NUMBERED_PROTOCOL
        values = [getattr(message, field.name) for field in FIELDS[kind]]
        fields = {
            index: value
            for index, value in enumerate(values)
            if value != DEFAULTS[kind][index]
        }
    payload = msgpack.packb([number, fields], default=encode_value)
    return bytes([protocol]) + payload


def encode_value(value: Any) -> Any:
    """Encodes a value that is not a plain type."""
    if isinstance(value, enum.Enum):
        return value.value
    return dataclasses.asdict(value)


def decode_message(data: bytes) -> PeerMessage:
    """Decodes a message.

    Raises:
      UnknownMessageError: The message is of a later build.
      ProtocolError: The message is damaged, or of an earlier protocol than the
        oldest that is understood.
    """
    protocol = data[0] if data else 0
    if protocol > CURRENT_PROTOCOL:
        raise UnknownMessageError(
            f"Cannot decode a peer message of protocol 0x{protocol:02x}.",
            "Update this instance; the peer must send it protocol "
            f"0x{CURRENT_PROTOCOL:02x} until then.",
        )
    if protocol < OLDEST_PROTOCOL:
        raise ProtocolError(
            f"Cannot decode a peer message of protocol 0x{protocol:02x}.",
            "Update the peer to the release in production or a later one.",
        )
    try:
        number, values = msgpack.unpackb(
            data[1:], use_list=True, strict_map_key=False
        )
        if protocol > OLDEST_PROTOCOL and number >= len(MESSAGE_TYPES):
            raise UnknownMessageError(
                f"Cannot decode a peer message of type {number}.",
                "Update this instance; the peer must not send it this type "
                "until then.",
            )
        kind = MESSAGE_TYPES[number]
        names = [field.name for field in FIELDS[kind]]
        if protocol == OLDEST_PROTOCOL:
            known = names[: OLDEST_FIELD_COUNTS[kind]]
            fields = dict(zip(known, values, strict=True))
        else:
            fields = {
                names[index]: value
                for index, value in values.items()
                if index < len(names)
            }
        return message_adapter(kind).validate_python(fields)
    except (
        AttributeError,
        IndexError,
        KeyError,
        OverflowError,
        TypeError,
        ValidationError,
        ValueError,
    ) as err:
        raise ProtocolError(
            f"Cannot decode a peer message: {describe_damage(err)}.",
            "Make sure that no data is corrupted on its way between instances.",
        ) from err


def describe_damage(err: Exception) -> str:
    """Returns what is wrong with a message, without its contents.

    The headers of a sender whose configuration names no accounts may have a
    key, and the text of a validation error quotes the invalid value.
    """
    if isinstance(err, ValidationError):
        detail = err.errors(include_input=False)[0]
        place = ".".join(str(part) for part in detail["loc"])
        return f"{place}: {detail['msg']}"
    return str(err)


PeerName = Annotated[str, Field(min_length=1, max_length=200)]


def check_address(text: str) -> str:
    """Returns an IP address as it is.

    Raises:
      ValueError: It is none.
    """
    ipaddress.ip_address(text)
    return text


PeerAddress = Annotated[PeerName, AfterValidator(check_address)]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRecord:
    """Record of an instance in the store.

    Attributes:
      data_centre: Data centre in which it runs.
      ip: IP address at which it accepts messages of other instances.
      port: Port at that address.
      capacity: Its CPU capacity, in cores.
      protocol: Latest protocol of messages that it understands. The build in
        production announces none.
    """

    data_centre: PeerName
    ip: PeerAddress
    port: Annotated[int, Field(ge=1, le=65535)]
    capacity: Annotated[float, Field(gt=0, le=1024)] = 1.0
    protocol: Annotated[int, Field(ge=0, le=255)] = OLDEST_PROTOCOL


INSTANCE_RECORD_ADAPTER = TypeAdapter(InstanceRecord)


def encode_instance_record(instance_record: InstanceRecord) -> bytes:
    """Encodes a record as JSON."""
    return INSTANCE_RECORD_ADAPTER.dump_json(instance_record)


def decode_instance_record(value: bytes) -> InstanceRecord | None:
    """Decodes a record, or returns None if the value is not a valid one."""
    try:
        return INSTANCE_RECORD_ADAPTER.validate_json(value)
    except ValidationError:
        return None
