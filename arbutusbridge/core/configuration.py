"""Records of configuration versions in the store, and their publication."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Generator
from dataclasses import dataclass

import orjson

from arbutusbridge.core.messages import (
    StoreCas,
    StoreGet,
    StoreResult,
    StoreStatus,
)
from arbutusbridge.errors import (
    PlatformUnavailableError,
    PublishConflictError,
    SettingsError,
)

HEAD_KEY = "config/head"
MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value in the key-value store, in bytes."""

MAX_UNPACKED_BYTES = 64_000_000
"""Maximum size of an unpacked version, in bytes."""

VERSIONS_PREFIX = "config/versions/"
"""Prefix of the store keys of all versions."""

MAX_CALL_ATTEMPTS = 5
"""Maximum number of tries of one store call of a publish."""

RETAINED_VERSIONS = 20
"""Number of newest versions that stay in the store."""

MAX_DELETED_VERSIONS = 20
"""Maximum number of old versions that one publish deletes."""


@dataclass(frozen=True, slots=True)
class Head:
    """Identifies a configuration version.

    Attributes:
      version: Position in the chain, from 1; 0 before the first publish.
      publish_id: Identifier of the publish that created it.
      digest: SHA-256 of the packed value, in hexadecimal.
    """

    version: int
    publish_id: str
    digest: str = ""

    @property
    def key(self) -> str:
        """Store key of the version's value."""
        return f"{VERSIONS_PREFIX}{self.version}-{self.publish_id}"


NO_HEAD = Head(0, "")


@dataclass(frozen=True, slots=True)
class HeadRecord:
    """Value of the head key.

    Attributes:
      head: The version in force.
      earlier: Publish ids of the preceding versions, the latest first.
    """

    head: Head = NO_HEAD
    earlier: tuple[str, ...] = ()

    def with_next(self, head: Head) -> HeadRecord:
        """Returns the record after the publish of another version."""
        if not self.head.version:
            return HeadRecord(head)
        earlier = (self.head.publish_id, *self.earlier)
        return HeadRecord(head, earlier[:RETAINED_VERSIONS])

    def includes(self, head: Head) -> bool:
        """Returns whether a version is in force or a recorded earlier one."""
        return head == self.head or head.publish_id in self.earlier


@dataclass(slots=True)
class StoreListKeys:
    """Action: list the keys with a prefix; the value is a JSON list."""

    token: tuple[str, str]
    prefix: str


@dataclass(slots=True)
class StoreDelete:
    """Action: delete a key, regardless of its value."""

    token: tuple[str, str]
    key: str


PublishSteps = Generator[
    StoreGet | StoreCas | StoreListKeys | StoreDelete, StoreResult, Head
]


def compute_digest(packed: bytes) -> str:
    """Returns the SHA-256 of a packed version, in hexadecimal."""
    return hashlib.sha256(packed).hexdigest()


def encode_head_record(record: HeadRecord) -> bytes:
    """Encodes the value of the head key."""
    head = record.head
    return orjson.dumps(
        {
            "version": head.version,
            "publish_id": head.publish_id,
            "digest": head.digest,
            "earlier": record.earlier,
        }
    )


def decode_head_record(value: bytes | None) -> HeadRecord:
    """Decodes the value of the head key.

    Raises:
      ValueError: The value is not a valid head record.
    """
    if value is None:
        return HeadRecord()
    try:
        data = orjson.loads(value)
        head = Head(
            int(data["version"]),
            str(data["publish_id"]),
            str(data.get("digest", "")),
        )
        return HeadRecord(head, tuple(map(str, data.get("earlier", ()))))
    except (LookupError, TypeError, AttributeError) as err:
        raise ValueError(f"the head key is damaged: {err}") from err


def decode_head(value: bytes | None) -> Head:
    """Decodes the version in force from the value of the head key."""
    return decode_head_record(value).head


def pack(register: bytes, rules: bytes) -> bytes:
    """Packs the register and the rules of a version into one value."""
    text = orjson.dumps(
        {"register": register.decode(), "rules": rules.decode()}
    )
    return zlib.compress(text, 6)


def unpack(value: bytes) -> tuple[bytes, bytes]:
    """Returns the register and the rules of a packed version.

    Raises:
      ValueError: The value is damaged or too large.
    """
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(value, MAX_UNPACKED_BYTES)
    except zlib.error as err:
        raise ValueError(str(err)) from err
    if unpacker.unconsumed_tail:
        raise ValueError("the version is too large")
    data = orjson.loads(text)
    return data["register"].encode(), data["rules"].encode()


def publish_steps(packed: bytes, base: int, publish_id: str) -> PublishSteps:
    """Publishes a version on top of the base version that was edited.

    The generator yields store calls and is sent their results.

    Args:
      packed: Packed version.
      base: Number of the version that the operator edited.
      publish_id: Unique identifier of this publish.

    Returns:
      The head of the published version.

    Raises:
      PublishConflictError: Another version was published on the same base.
      PlatformUnavailableError: The store gave no usable reply.
      SettingsError: The version is too large for the store.
    """
    if len(packed) > MAX_VALUE_BYTES:
        raise SettingsError(
            f"The packed version has {len(packed)} bytes, which is too large.",
            f"Shorten the register to at most {MAX_VALUE_BYTES} packed bytes.",
        )
    token = ("publish", publish_id)
    read = yield from read_head_steps(token, "no version was published")
    record = decode_head_record(read.value)
    if record.head.version != base:
        raise conflict(base, record.head)
    head = Head(base + 1, publish_id, compute_digest(packed))
    yield from write_value_steps(head, packed, token)
    value = encode_head_record(record.with_next(head))
    yield from move_head_steps(head, value, read.index, token)
    yield from delete_old_versions_steps(head, token)
    return head


def read_head_steps(
    token: tuple[str, str], state: str
) -> Generator[StoreGet, StoreResult, StoreResult]:
    """Reads the head key, with retries."""
    for _ in range(MAX_CALL_ATTEMPTS):
        read = yield StoreGet(token, HEAD_KEY)
        if read.status is StoreStatus.DONE:
            return read
    raise unavailable(state)


def write_value_steps(
    head: Head, packed: bytes, token: tuple[str, str]
) -> Generator[StoreCas, StoreResult, None]:
    """Writes a version's value under its own key, with retries.

    No other publish writes that key, so a conflict after a lost reply means
    that the earlier write took effect.
    """
    for _ in range(MAX_CALL_ATTEMPTS):
        written = yield StoreCas(token, head.key, packed, 0)
        if written.status is not StoreStatus.UNAVAILABLE:
            return
    raise unavailable("no version was published")


def move_head_steps(
    head: Head, value: bytes, index: int, token: tuple[str, str]
) -> Generator[StoreGet | StoreCas, StoreResult, None]:
    """Moves the head key to a version, and resolves lost replies.

    After a lost reply the same compare-and-swap is sent again. It takes
    effect at most once. If it fails, the first one may have succeeded, so
    the head is read to find out.
    """
    for _ in range(MAX_CALL_ATTEMPTS):
        moved = yield StoreCas(token, HEAD_KEY, value, index)
        if moved.status is StoreStatus.DONE:
            return
        if moved.status is StoreStatus.UNAVAILABLE:
            continue
        state = "whether the version was published is unknown"
        read = yield from read_head_steps(token, state)
        record = decode_head_record(read.value)
        if record.includes(head):
            return
        raise conflict(head.version - 1, record.head)
    raise unavailable("whether the version was published is unknown")


def delete_old_versions_steps(
    head: Head, token: tuple[str, str]
) -> Generator[StoreListKeys | StoreDelete, StoreResult, None]:
    """Deletes old versions.

    After a failed store call the rest is left to the next publish.
    """
    listed = yield StoreListKeys(token, VERSIONS_PREFIX)
    if listed.status is not StoreStatus.DONE or listed.value is None:
        return
    for key in expired_version_keys(orjson.loads(listed.value), head.version):
        deleted = yield StoreDelete(token, key)
        if deleted.status is not StoreStatus.DONE:
            return


def expired_version_keys(keys: list[str], version: int) -> list[str]:
    """Returns the store keys of versions that are no longer retained.

    These include versions of publishes that lost a conflict.
    """
    found = []
    for key in keys:
        number = key.removeprefix(VERSIONS_PREFIX).split("-")[0]
        if number.isdigit() and int(number) <= version - RETAINED_VERSIONS:
            found.append(key)
    return found[:MAX_DELETED_VERSIONS]


def conflict(base: int, winner: Head) -> PublishConflictError:
    """Returns the error of a publish that lost against another one."""
    return PublishConflictError(
        f"The edit is based on version {base}, but version {winner.version} "
        f"({winner.publish_id}) now stands.",
        "Show that version, repeat the edit on it and publish again.",
    )


def unavailable(state: str) -> PlatformUnavailableError:
    """Returns the error of a publish without usable replies."""
    return PlatformUnavailableError(
        f"The key-value store did not answer; {state}.",
        "Run config show once the store is back, then publish again.",
    )
