"""Publish and adoption of configuration versions."""

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
"""Largest value that the key-value store takes, in bytes."""

MAX_UNPACKED_BYTES = 64_000_000
"""Largest version taken when unpacked, in bytes."""

VERSIONS_PREFIX = "config/versions/"
"""Start of the keys of all versions' values."""

MAX_CALL_ATTEMPTS = 5
"""Calls before a publish whose replies are lost is given up."""

RETAINED_VERSIONS = 20
"""Newest versions whose values stay in the store."""

MAX_DELETED_VERSIONS = 20
"""Values that one publish deletes at most."""


@dataclass(frozen=True, slots=True)
class Head:
    """Names a version.

    Attributes:
      version: Position in the chain, from 1; 0 before the first publish.
      publish_id: Names the publish that made it.
      digest: SHA-256 of its packed value, in hexadecimal.
    """

    version: int
    publish_id: str
    digest: str = ""

    @property
    def key(self) -> str:
        """Key of the version's value in the store."""
        return f"{VERSIONS_PREFIX}{self.version}-{self.publish_id}"


NO_HEAD = Head(0, "")


@dataclass(frozen=True, slots=True)
class HeadRecord:
    """Value of the head key.

    Attributes:
      head: The version in force.
      earlier: Publish ids of the versions before it, the latest first.
    """

    head: Head = NO_HEAD
    earlier: tuple[str, ...] = ()

    def followed_by(self, head: Head) -> HeadRecord:
        """Returns the value after the next publish."""
        if not self.head.version:
            return HeadRecord(head)
        earlier = (self.head.publish_id, *self.earlier)
        return HeadRecord(head, earlier[:RETAINED_VERSIONS])

    def includes(self, head: Head) -> bool:
        """Tells whether a publish took effect, now or some versions ago."""
        return head == self.head or head.publish_id in self.earlier


@dataclass(slots=True)
class StoreListKeys:
    """List the keys that begin with a prefix; the value is a JSON list."""

    token: tuple[str, str]
    prefix: str


@dataclass(slots=True)
class StoreDelete:
    """Delete a key, whatever it holds."""

    token: tuple[str, str]
    key: str


PublishSteps = Generator[
    StoreGet | StoreCas | StoreListKeys | StoreDelete, StoreResult, Head
]


def digest_of(packed: bytes) -> str:
    """Returns the digest that a version's value must have."""
    return hashlib.sha256(packed).hexdigest()


def encode_head_record(standing: HeadRecord) -> bytes:
    """Writes the value of the head key."""
    head = standing.head
    return orjson.dumps(
        {
            "version": head.version,
            "publish_id": head.publish_id,
            "digest": head.digest,
            "earlier": standing.earlier,
        }
    )


def decode_head_record(value: bytes | None) -> HeadRecord:
    """Reads the value of the head key.

    Raises:
      ValueError: It is no such value.
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
        raise ValueError(f"the head is damaged: {err}") from err


def decode_head(value: bytes | None) -> Head:
    """Reads the version in force off the value of the head key."""
    return decode_head_record(value).head


def pack(register: bytes, rules: bytes) -> bytes:
    """Packs the two files of a version into one value."""
    text = orjson.dumps(
        {"register": register.decode(), "rules": rules.decode()}
    )
    return zlib.compress(text, 6)


def unpack(value: bytes) -> tuple[bytes, bytes]:
    """Returns the register and rules of a packed version.

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
    """Publishes a version on top of the base that the operator edited.

    Yields store calls and is sent their results.

    Returns:
      The head that this publish made.

    Raises:
      PublishConflictError: Another publish won.
      PlatformUnavailableError: The store gave no usable reply.
      SettingsError: The version is too large for the store.
    """
    if len(packed) > MAX_VALUE_BYTES:
        raise SettingsError(
            f"The version has {len(packed)} bytes packed.",
            f"Shorten the register to {MAX_VALUE_BYTES} bytes packed.",
        )
    token = ("publish", publish_id)
    read = yield from read_steps(token, "no version was published")
    standing = decode_head_record(read.value)
    if standing.head.version != base:
        raise conflict(base, standing.head)
    head = Head(base + 1, publish_id, digest_of(packed))
    yield from write_value_steps(head, packed, token)
    value = encode_head_record(standing.followed_by(head))
    yield from move_head_steps(head, value, read.index, token)
    yield from clean_up_steps(head, token)
    return head


def read_steps(
    token: tuple[str, str], state: str
) -> Generator[StoreGet, StoreResult, StoreResult]:
    """Reads the head, more than once if need be."""
    for _ in range(MAX_CALL_ATTEMPTS):
        read = yield StoreGet(token, HEAD_KEY)
        if read.status is StoreStatus.DONE:
            return read
    raise unavailable(state)


def write_value_steps(
    head: Head, packed: bytes, token: tuple[str, str]
) -> Generator[StoreCas, StoreResult, None]:
    """Writes a version's value under its own key.

    Nobody else writes that key, so a conflict after a lost reply means that
    the earlier write took effect.
    """
    for _ in range(MAX_CALL_ATTEMPTS):
        written = yield StoreCas(token, head.key, packed, 0)
        if written.status is not StoreStatus.UNAVAILABLE:
            return
    raise unavailable("no version was published")


def move_head_steps(
    head: Head, value: bytes, index: int, token: tuple[str, str]
) -> Generator[StoreGet | StoreCas, StoreResult, None]:
    """Moves the head; a lost reply is settled before anything is said.

    The same compare-and-swap is sent again after a lost reply: it takes
    effect once at most, and while it fails, the first may have won.
    """
    for _ in range(MAX_CALL_ATTEMPTS):
        moved = yield StoreCas(token, HEAD_KEY, value, index)
        if moved.status is StoreStatus.DONE:
            return
        if moved.status is StoreStatus.UNAVAILABLE:
            continue
        state = "whether the version was published is unknown"
        read = yield from read_steps(token, state)
        standing = decode_head_record(read.value)
        if standing.includes(head):
            return
        raise conflict(head.version - 1, standing.head)
    raise unavailable("whether the version was published is unknown")


def clean_up_steps(
    head: Head, token: tuple[str, str]
) -> Generator[StoreListKeys | StoreDelete, StoreResult, None]:
    """Deletes values of old versions; what fails is left to the next."""
    listed = yield StoreListKeys(token, VERSIONS_PREFIX)
    if listed.status is not StoreStatus.DONE or listed.value is None:
        return
    for key in old_keys(orjson.loads(listed.value), head.version):
        deleted = yield StoreDelete(token, key)
        if deleted.status is not StoreStatus.DONE:
            return


def old_keys(keys: list[str], version: int) -> list[str]:
    """Returns keys of versions that are no longer kept, those lost as well."""
    found = []
    for key in keys:
        number = key.removeprefix(VERSIONS_PREFIX).split("-")[0]
        if number.isdigit() and int(number) <= version - RETAINED_VERSIONS:
            found.append(key)
    return found[:MAX_DELETED_VERSIONS]


def conflict(base: int, standing: Head) -> PublishConflictError:
    """Builds the error of a publish that lost."""
    return PublishConflictError(
        f"The edit began at version {base}, but version {standing.version} "
        f"({standing.publish_id}) stands.",
        "Show the standing version, repeat the edit on it, publish again.",
    )


def unavailable(state: str) -> PlatformUnavailableError:
    """Builds the error of a publish without usable replies."""
    return PlatformUnavailableError(
        f"The key-value store did not answer; {state}.",
        "Run config show once the store is back, then publish again.",
    )
