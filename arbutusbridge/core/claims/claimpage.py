"""One page of claims: what it holds and which changes it allows."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgpack

if TYPE_CHECKING:
    from arbutusbridge.core.keys import ClaimKey
    from arbutusbridge.core.messages import Action

MAX_CLAIMED_PAGE_BYTES = 400_000
"""Size of a page that takes no further claims."""

MAX_PAGE_BYTES = 900_000
"""Size of a page that takes no further results."""

MAX_RESULT_BYTES = 2_048
"""Largest result kept for resends; of a larger one only the fact is kept."""


class ClaimState(enum.IntEnum):
    """How far a claimed key has come; all but CLAIMED are final."""

    CLAIMED = 0
    RAN = 1
    VOID = 2


@dataclass(frozen=True, slots=True)
class Claim:
    """What a page holds for one key.

    Attributes:
      owner: Request id of the one arrival that may send.
      state: How far it has come.
      result: What the upstream returned, None when it is not kept.
    """

    owner: str
    state: ClaimState
    result: Any = None


class ChangeOutcome(enum.Enum):
    """What became of a change.

    STANDS: The page holds it. TAKEN: The page holds something else for good.
    UNAVAILABLE: Not known; it may take effect. FULL: The page has no room.
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
    """A claim, an outcome or a void on its way into a page.

    Attributes:
      key: Where it goes.
      claim: What the page shall hold.
      deadline: When it is given up.
      on_outcome: Called once with the verdict and what the page holds.
      failures: Store calls that failed while it waited.
      after: Store calls for its page that began before it came.
    """

    key: ClaimKey
    claim: Claim
    deadline: float
    on_outcome: OutcomeCallback
    failures: int = 0
    after: int = 0


def apply_change(entries: Entries, change: ClaimChange) -> ChangeOutcome | None:
    """Puts a change into a page's entries if what they hold allows it.

    Returns:
      None when the entries were changed, else the verdict at once.
    """
    standing = entries.get(change.key.entry)
    claim = change.claim
    is_claim = claim.state is ClaimState.CLAIMED
    if standing is None:
        if not is_claim:
            return ChangeOutcome.TAKEN
    elif standing.owner != claim.owner:
        return ChangeOutcome.TAKEN
    elif standing.state is claim.state:
        return ChangeOutcome.APPLIED
    elif standing.state is not ClaimState.CLAIMED:
        return ChangeOutcome.TAKEN
    entries[change.key.entry] = claim
    return None


def encoded_size(claim: Claim) -> int:
    """Returns the bytes that a claim takes in a page."""
    fields = (claim.owner, int(claim.state), claim.result)
    return len(msgpack.packb(fields)) + 18


def fit_result(claim: Claim, page_bytes: int) -> Claim:
    """Leaves out a result that is too large to be kept."""
    if claim.result is None:
        return claim
    size = encoded_size(claim)
    if size > MAX_RESULT_BYTES or page_bytes + size > MAX_PAGE_BYTES:
        return Claim(claim.owner, claim.state)
    return claim


def encode_page(entries: Entries) -> bytes:
    """Writes a page's value."""
    packed: bytes = msgpack.packb(
        {
            entry: (claim.owner, int(claim.state), claim.result)
            for entry, claim in entries.items()
        }
    )
    return packed


def decode_page(value: bytes | None) -> Entries | None:
    """Reads a page's value; None if it is damaged."""
    if value is None:
        return {}
    try:
        return {
            entry: Claim(owner, ClaimState(state), result)
            for entry, (owner, state, result) in msgpack.unpackb(value).items()
        }
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException):
        return None
