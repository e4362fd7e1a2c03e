"""Announcements of upstreams, and what the values of keys say of their age."""

from __future__ import annotations

from typing import Literal

import orjson
from pydantic import Field, ValidationError
from result import Err, Ok, Result

from arbutusbridge.forwarding.feed import KeyRules
from arbutusbridge.forwarding.model import Announcement
from arbutusbridge.platform.configuration import (
    CONFIGURATION_KEY,
    read_version,
)
from arbutusbridge.platform.fields import decode_address, is_upstream_id
from arbutusbridge.platform.schema import (
    Document,
    WholeNumber,
    describe_first_error,
)

UPSTREAMS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"

MAX_SLOTS = 1_000_000
MAX_WARM_UP_MS = 86_400_000.0
MAX_UNIX_MS = 2**53
"""Bounds of the numbers in an announcement. Greater ones are mistakes, and some
fit into no message to other instances."""

MAX_QUOTED_CHARACTERS = 100
"""Maximum length of an invalid value in a description."""


class AnnouncementDocument(Document):
    """Value of a key under ``servers/``.

    Every upstream writes all fields but ``born``. An entry without one of them
    is of another writer and names no upstream.

    Attributes:
      addr: IP address and port.
      zone: Data centre.
      version: Version of its software.
      warmup_left_ms: Remaining time for which the upstream is slow after its
        start.
      seq: Number of the entry among those of one start.
      born: Wall-clock time of its start in ms since 1970; 0 from older writers.
    """

    service: str = Field(min_length=1)
    addr: str
    zone: str = Field(min_length=1)
    version: str
    slots: WholeNumber = Field(ge=1, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    warmup_left_ms: float = Field(ge=0, le=MAX_WARM_UP_MS)
    seq: WholeNumber = Field(ge=0, le=MAX_UNIX_MS)
    born: WholeNumber = Field(default=0, ge=0, le=MAX_UNIX_MS)


def decode_announcement(key: str, value: bytes) -> Result[Announcement, str]:
    """Decodes an announcement; the id of the upstream is only in the key.

    Anything can write under the keys of the announcements, so that a value may
    be wrong in any way.
    """
    upstream = key.removeprefix(UPSTREAMS_PREFIX)
    if not is_upstream_id(upstream):
        return Err("key: the id is not visible ASCII")
    try:
        document = AnnouncementDocument.model_validate_json(value)
    except ValidationError as err:
        return Err(describe_first_error(err))
    address = decode_address(document.addr)
    if address is None:
        quoted = repr(document.addr[:MAX_QUOTED_CHARACTERS])
        return Err(f"addr: {quoted} is not an IPv4 address and port")
    return Ok(
        Announcement(
            upstream=upstream,
            service=document.service,
            address=address,
            data_centre=document.zone,
            slots=document.slots,
            leaving=document.state == "draining",
            warm_up_s=document.warmup_left_ms / 1000,
            started_ms=document.born,
        )
    )


def is_older(key: str, value: bytes, other: bytes) -> bool:
    """Returns whether a value of a key was written before another one.

    Versions of the configuration are numbered, and so are the announcements of
    one start of an upstream.
    """
    if key == CONFIGURATION_KEY:
        version, other_version = read_version(value), read_version(other)
        if version is None or other_version is None:
            return False
        return version < other_version
    if not key.startswith(UPSTREAMS_PREFIX):
        return False
    try:
        row, other_row = orjson.loads(value), orjson.loads(other)
        if row.get("born") != other_row.get("born"):
            return False
        return bool(row["seq"] < other_row["seq"])
    except (ValueError, AttributeError, KeyError, TypeError):
        return False


KEY_RULES = KeyRules(
    is_older, frozenset({CONFIGURATION_KEY}), (EVACUATIONS_PREFIX,)
)
"""What the values of keys say of their age."""
