"""Idempotency keys: UUIDs of version 7, which contain a creation time."""

from __future__ import annotations

import hashlib
import uuid
from dataclasses import dataclass

from arbutusbridge.core.model import KEY_SPACE_SIZE

ACCEPTANCE_WINDOW_MS = 6 * 3_600_000
"""Maximum age of an accepted key, in milliseconds."""

MAX_CLOCK_SKEW_MS = 300_000
"""Maximum difference between any two clocks, in milliseconds."""

MAX_DEADLINE_MS = 600_000
"""Maximum deadline of a request, in milliseconds."""

CLAIM_RETENTION_MS = (
    ACCEPTANCE_WINDOW_MS + 2 * MAX_CLOCK_SKEW_MS + MAX_DEADLINE_MS
)
"""Age after which no instance can act on a key any more, in milliseconds."""

BUCKET_MS = 1_000
"""Range of creation times whose claims share pages, in milliseconds."""

GROUP_MS = 600_000
"""Range of creation times, in milliseconds, of pages deleted together."""

PARTITIONS_PER_BUCKET = 4
"""Number of pages that the claims of one bucket are distributed over."""

UUID_VERSION = 7

RANDOM_BIT_COUNT = 74
"""Number of random bits in a key."""


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Location of the claim of an idempotency key in the store.

    Attributes:
      page: Store key of the page that holds the claim.
      entry: Key of the claim within the page, a digest of service and key.
    """

    page: str
    entry: bytes

    @classmethod
    def of(cls, service: str, key: str, created_ms: int) -> ClaimKey:
        """Computes the location from the creation time and digest alone."""
        digest = hashlib.blake2b(
            f"{service}\0{canonical_key(key)}".encode(), digest_size=16
        ).digest()
        group = created_ms // GROUP_MS
        bucket = created_ms // BUCKET_MS
        partition = digest[0] % PARTITIONS_PER_BUCKET
        return cls(f"claims/{group}/{bucket}-{partition}", digest)


def make_key(wall_ms: int, random_bits: int) -> str:
    """Returns a key with the given wall-clock time and 74 random bits."""
    value = (wall_ms & 0xFFFF_FFFF_FFFF) << 80
    value |= UUID_VERSION << 76
    value |= (random_bits >> 62 & 0xFFF) << 64
    value |= 0b10 << 62
    value |= random_bits & 0x3FFF_FFFF_FFFF_FFFF
    return str(uuid.UUID(int=value))


def created_at_ms(key: str) -> int | None:
    """Returns the creation time of a key in milliseconds since 1970.

    Returns None if the key is not a UUID of version 7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return parsed.int >> 80


def canonical_key(key: str) -> str:
    """Returns the canonical spelling of a key."""
    return str(uuid.UUID(key))


def key_point(key: str) -> int:
    """Returns the point of the key space that an idempotency key maps to."""
    digest = hashlib.blake2b(
        canonical_key(key).encode(), digest_size=4
    ).digest()
    return int.from_bytes(digest, "big") % KEY_SPACE_SIZE
