"""One page of claims: its encoding and the changes that it allows."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgpack

if TYPE_CHECKING:
    from arbutusbridge.core.keys import ClaimKey
    from arbutusbridge.core.messages import Action

MAX_PAGE_BYTES_FOR_CLAIMS = 400_000
"""Page size above which no further claims are added."""

MAX_PAGE_BYTES_FOR_RESULTS = 900_000
"""Page size above which no further results are added."""

MAX_RESULT_BYTES = 2_048
"""Maximum size of a claim whose result is stored for resends.

A larger claim is stored without its result.
"""


class ClaimState(enum.IntEnum):
    """State of a claimed key; all but CLAIMED are final.

    CLAIMED: The owner may send the record. RAN: An upstream ran it. VOID:
    The key can never run.
    """

    CLAIMED = 0
    RAN = 1
    VOID = 2


@dataclass(frozen=True, slots=True)
class Claim:
    """Entry of a page for one key.

    Attributes:
      owner: Id of the one request that may send the record.
      state: State of the key.
      result: What the upstream returned, None if it is not stored.
    """

    owner: str
    state: ClaimState
    result: Any = None


class ChangeOutcome(enum.Enum):
    """Outcome of a change.

    APPLIED: The page holds the change. TAKEN: The page holds a conflicting
    entry permanently. UNAVAILABLE: Unknown; the change may still take effect.
    FULL: The page has no room.
    """

    APPLIED = "stands"
    TAKEN = "taken"
    UNAVAILABLE = "unavailable"
    FULL = "full"


OutcomeCallback = Callable[
    [ChangeOutcome, Claim | None, float, "list[Action]"], None
]
Entries = dict[bytes, Claim]


@dataclass(slots=True, eq=False)
class ClaimChange:
    """A claim, an outcome or a void that is to be written to a page.

    Attributes:
      key: Location of the entry.
      claim: Entry to write.
      deadline: Time at which the change is abandoned.
      on_outcome: Called once, with the outcome and the entry of the page.
      failures: Number of store calls that failed while the change waited.
      after: Number of store calls for the page that began before the change
        was submitted.
    """

    key: ClaimKey
    claim: Claim
    deadline: float
    on_outcome: OutcomeCallback
    failures: int = 0
    after: int = 0


def apply_change(entries: Entries, change: ClaimChange) -> ChangeOutcome | None:
    """Applies a change to a page's entries if the existing entry allows it.

    Returns:
      None if the entries were changed, otherwise the outcome.
    """
    existing = entries.get(change.key.entry)
    claim = change.claim
    is_claim = claim.state is ClaimState.CLAIMED
    if existing is None:
        if not is_claim:
            return ChangeOutcome.TAKEN
    elif existing.owner != claim.owner:
        return ChangeOutcome.TAKEN
    elif existing.state is claim.state:
        return ChangeOutcome.APPLIED
    elif existing.state is not ClaimState.CLAIMED:
        return ChangeOutcome.TAKEN
    entries[change.key.entry] = claim
    return None


def encoded_size(claim: Claim) -> int:
    """Returns the number of bytes that a claim occupies in a page.

    The constant is the size of the entry's 16-byte key with its header.
    """
    fields = (claim.owner, int(claim.state), claim.result)
    return len(msgpack.packb(fields)) + 18


def drop_oversized_result(claim: Claim, page_bytes: int) -> Claim:
    """Returns the claim without its result if that is too large to store."""
    if claim.result is None:
        return claim
    size = encoded_size(claim)
    if (
        size > MAX_RESULT_BYTES
        or page_bytes + size > MAX_PAGE_BYTES_FOR_RESULTS
    ):
        return Claim(claim.owner, claim.state)
    return claim


def encode_page(entries: Entries) -> bytes:
    """Encodes the entries of a page."""
    packed: bytes = msgpack.packb(
        {
            entry: (claim.owner, int(claim.state), claim.result)
            for entry, claim in entries.items()
        }
    )
    return packed


def decode_page(value: bytes | None) -> Entries | None:
    """Decodes the value of a page; returns None if it is damaged."""
    if value is None:
        return {}
    try:
        return {
            entry: Claim(owner, ClaimState(state), result)
            for entry, (owner, state, result) in msgpack.unpackb(value).items()
        }
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException):
        return None
