"""Idempotency keys: UUIDs of version 7, which carry when they were made."""

from __future__ import annotations

import hashlib
import uuid
from dataclasses import dataclass

from arbutusbridge.core.model import KEY_SPACE

ACCEPTANCE_WINDOW_MS = 6 * 3_600_000
"""Age up to which a key is accepted, in milliseconds."""

MAX_CLOCK_SKEW_MS = 300_000
"""Difference allowed between any two clocks, in milliseconds."""

MAX_DEADLINE_MS = 600_000
"""Longest deadline that a request may have, in milliseconds."""

CLAIM_RETENTION_MS = (
    ACCEPTANCE_WINDOW_MS + 2 * MAX_CLOCK_SKEW_MS + MAX_DEADLINE_MS
)
"""Age after which no instance can still act on a key, in milliseconds."""

BUCKET_MS = 1_000
"""Span of key times whose claims share pages, in milliseconds."""

GROUP_MS = 600_000
"""Span of key times whose pages are deleted together, in milliseconds."""

PARTITIONS_PER_BUCKET = 4
"""Pages that the claims of one bucket are spread over."""

UUID_VERSION = 7

RANDOM_BITS = 74
"""Random bits of a key."""


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Where the claim of an idempotency key is kept.

    Attributes:
      page: Store key of the page that holds it.
      entry: Its place in the page, a digest of service and key.
    """

    page: str
    entry: bytes

    @classmethod
    def of(cls, service: str, key: str, made_ms: int) -> ClaimKey:
        """Places a key by its own time and its digest alone."""
        digest = hashlib.blake2b(
            f"{service}\0{canonical(key)}".encode(), digest_size=16
        ).digest()
        group = made_ms // GROUP_MS
        bucket = made_ms // BUCKET_MS
        partition = digest[0] % PARTITIONS_PER_BUCKET
        return cls(f"claims/{group}/{bucket}-{partition}", digest)


def make_key(wall_ms: int, random_bits: int) -> str:
    """Makes a key of a wall time and 74 random bits."""
    value = (wall_ms & 0xFFFF_FFFF_FFFF) << 80
    value |= UUID_VERSION << 76
    value |= (random_bits >> 62 & 0xFFF) << 64
    value |= 0b10 << 62
    value |= random_bits & 0x3FFF_FFFF_FFFF_FFFF
    return str(uuid.UUID(int=value))


def made_at_ms(key: str) -> int | None:
    """Returns when a key was made, None if it is no UUID of version 7."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return parsed.int >> 80


def canonical(key: str) -> str:
    """Returns the one spelling of a key that stands for all of them."""
    return str(uuid.UUID(key))


def key_point(key: str) -> int:
    """Returns the point of the key space that an idempotency key falls on."""
    digest = hashlib.blake2b(canonical(key).encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % KEY_SPACE
