"""State of one instance concerning the quotas of client accounts."""

from __future__ import annotations

import math
import secrets
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.forwarding.ranking import PeerSilence
from arbutusbridge.forwarding.ratelimit import ROUNDING_ERROR, RateMeter

if TYPE_CHECKING:
    from arbutusbridge.forwarding.exchange import Exchange
    from arbutusbridge.forwarding.gather import Peer
    from arbutusbridge.forwarding.model import (
        CallerRequest,
        RoutingConfiguration,
    )
    from arbutusbridge.forwarding.quotamessages import (
        QuotaAsk,
        QuotaBatch,
        QuotaGrant,
    )

EPOCH_BITS = 62
"""Bits of the random number of a start, below the greatest one on the wire."""

BUCKET_METER_S = 0.5
"""Time over which the rate of an account is averaged at its ledger. A longer
one notices a surge too late."""

MAX_COUNTED_ACCOUNTS = 100
"""Number of accounts whose refused requests are counted one by one; those of
the others are counted together."""

OTHER_ACCOUNTS = "(others)"


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """Bound that the requests of an account stay within.

    Attributes:
      window_s: Length of the sliding window, in seconds.
      overage: Fraction above rate and burst that may run in a window.
      slack: Requests that may run in addition.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


@dataclass(slots=True)
class Claim:
    """Claim of an instance to be the ledger of an account.

    Attributes:
      since: When it was made.
      tokens: Tokens in the bucket at that time.
      sent: Whether the other instances have been told.
      replied: Names of those that have replied.
      awaited: Names of those that may still be the ledger, each with the last
        time at which that was known.
      yielded: Tokens left at the ledger before, None without one.
    """

    since: float
    tokens: float
    sent: bool = False
    replied: set[str] = field(default_factory=set)
    awaited: dict[str, float] = field(default_factory=dict)
    yielded: float | None = None


@dataclass(slots=True)
class Bucket:
    """Token bucket of an account at its ledger.

    Attributes:
      rate: Tokens per second.
      depth: Maximum number of tokens.
      tokens: Tokens left, negative if more requests were admitted.
      refilled_at: Time at which the tokens were counted.
      meter: Average rate of admitted requests.
      metered: Whether the requests of the account need a token each.
      return_at: Latest time at which a refused request was told to come back.
      answers: Latest reply to each instance, with the epoch of the instance.
      is_whole: Whether this instance is the ledger and grants the whole rate.
      kept: Tokens that were left when it ceased to be, None if it never was.
      kept_at: When it ceased to be.
      yielded_to: Name of the instance that these were yielded to, which may
        claim them again; empty for none.
      claim: Claim to be the ledger, None without one.
    """

    rate: float
    depth: float
    tokens: float
    refilled_at: float
    meter: RateMeter = field(
        default_factory=lambda: RateMeter(time_s=BUCKET_METER_S)
    )
    metered: bool = False
    return_at: float = -math.inf
    answers: dict[str, tuple[int, QuotaGrant]] = field(default_factory=dict)
    is_whole: bool = False
    kept: float | None = None
    kept_at: float = -math.inf
    yielded_to: str = ""
    claim: Claim | None = None

    def refill(self, rate: float, depth: float, now: float) -> None:
        """Adds the tokens of the time that has passed; adopts new limits."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.tokens = min(depth, self.tokens + elapsed_s * self.rate)
        self.refilled_at = now
        self.rate = rate
        self.depth = depth

    def count(self, requests: int, now: float) -> None:
        """Takes the tokens of admitted requests, also if there are too few.

        A negative number returns tokens.
        """
        self.tokens = min(self.depth, self.tokens - requests)
        if requests > 0:
            self.meter.add(now, requests)

    def take(self, requests: int, now: float) -> int:
        """Takes tokens as far as there are any, and returns their number."""
        taken = max(0, min(requests, int(self.tokens + ROUNDING_ERROR)))
        self.count(taken, now)
        return taken

    def awaits_claim(self, requests: int) -> bool:
        """Returns whether a claim decides on tokens for some requests."""
        return self.claim is not None and self.tokens < requests


@dataclass(slots=True)
class TokenRequest:
    """Token request without a reply.

    Attributes:
      ask_id: Number of the request.
      ledger: Name of the instance that was asked.
      tokens: Number of tokens.
      sent_at: When it was sent.
      is_second: Whether another ledger has not replied before.
    """

    ask_id: int
    ledger: str
    tokens: int
    sent_at: float
    is_second: bool = False


@dataclass(slots=True)
class AccountUse:
    """State of an account at an instance that its callers use.

    Attributes:
      unreported: Requests admitted since the last batch, less the returned
        tokens.
      metered_until: Time until which a notice holds that it is metered.
      queue: Requests that wait for a token, oldest first.
      ask: Token request without a reply, None if there is none.
      refused_until: Time until which requests are rejected without asking.
      return_at: Latest time at which a rejected request was told to come back.
      spares: Times until which returned tokens may serve another request.
    """

    unreported: int = 0
    metered_until: float = -math.inf
    queue: deque[CallerRequest] = field(default_factory=deque)
    ask: TokenRequest | None = None
    refused_until: float = -math.inf
    return_at: float = -math.inf
    spares: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class SentBatch:
    """Batch that its ledger has not acknowledged."""

    batch: QuotaBatch
    address: tuple[str, int]
    sent_at: float


@dataclass(slots=True)
class WaitingRequest:
    """Request that waits for a token.

    Attributes:
      account: Name of its account.
      since: When it began to wait.
      exchange: Its state, to continue with.
    """

    account: str
    since: float
    exchange: Exchange


@dataclass(slots=True)
class QuotaBook:
    """State of this instance concerning the quotas of accounts.

    Attributes:
      limits: Bound that the requests of an account stay within.
      epoch: Random number of this start of the instance.
      last_number: Number of the last batch or token request.
      configuration: Configuration whose accounts are known.
      invalid_names: Accounts whose entry in it is invalid. What has been
        granted of them is kept until their entry is valid again.
      names: Names of these accounts.
      added_at: When an account was first named, unless the first version names
        it.
      has_rates: Whether any account of that version has a rate.
      ranked_for: Peers for which the orders below hold, and whether this
        instance accepted requests then; None if they have to be found again.
      ranked_at: Time at which they were ranked.
      ledgers: Names of the instances that are the first of a group.
      has_majority: Whether this instance hears of more than half of them.
      is_minority: Whether it hears of less than half of them.
      orders: Instances in order, by group.
      led_since: Since when this instance is the first of a group, by group.
      firsts: Name of the first instance of each group.
      former: The instance that was the first of a group before, by group.
      declined: Time until which an instance is not the ledger of an account, as
        it has said so, by the names of both.
      claimed_at: Time of the last claim of an instance to an account, by the
        names of both.
      uses: Accounts whose requests were received here, by name.
      unreported: Names of those with requests that are in no batch yet.
      with_spares: Names of those with returned tokens.
      batches: Batches that are not acknowledged, by name of the ledger.
      batched_at: Time of the last regular batches.
      silence: Ledgers that do not answer.
      waiting: Requests that wait for a token.
      granted: Requests that have got a token and are to continue.
      rejected: Requests that got none, each with its retry time and ledger.
      buckets: Buckets of the accounts that this instance is asked about.
      deferred: Latest token request of each other instance for an account that
        waits for a claim, and when it arrived, by the names of both.
      own_deferred: Accounts with requests here that wait for a claim.
      claiming: Names of the accounts that this instance claims.
      maintained_at: Time of the last regular work, infinite before the first.
      taken_over: Decisions on claims that are not logged yet.
      seen: Epoch and number of the last batch of each instance.
      changed: Accounts that became metered or open since the last notice.
      noticed_at: Time of the last notice of changes.
      repeated_at: Time of the last notice of all metered accounts.
      refused: Rejected requests by account, for the metrics.
    """

    limits: QuotaLimits = field(default_factory=QuotaLimits)
    epoch: int = field(default_factory=lambda: secrets.randbits(EPOCH_BITS))
    last_number: int = 0
    configuration: RoutingConfiguration | None = None
    invalid_names: frozenset[str] = frozenset()
    names: frozenset[str] = frozenset()
    added_at: dict[str, float] = field(default_factory=dict)
    has_rates: bool = False
    ranked_for: tuple[dict[str, Peer], bool] | None = None
    ranked_at: float = -math.inf
    ledgers: set[str] = field(default_factory=set)
    has_majority: bool = False
    is_minority: bool = False
    orders: dict[int, list[Peer]] = field(default_factory=dict)
    led_since: dict[int, float] = field(default_factory=dict)
    firsts: dict[int, str] = field(default_factory=dict)
    former: dict[int, str] = field(default_factory=dict)
    declined: dict[tuple[str, str], float] = field(default_factory=dict)
    claimed_at: dict[tuple[str, str], float] = field(default_factory=dict)
    uses: dict[str, AccountUse] = field(default_factory=dict)
    unreported: set[str] = field(default_factory=set)
    with_spares: set[str] = field(default_factory=set)
    batches: dict[str, SentBatch] = field(default_factory=dict)
    batched_at: float = -math.inf
    silence: PeerSilence = field(default_factory=PeerSilence)
    waiting: dict[CallerRequest, WaitingRequest] = field(default_factory=dict)
    granted: list[Exchange] = field(default_factory=list)
    rejected: list[tuple[Exchange, float, str]] = field(default_factory=list)
    buckets: dict[str, Bucket] = field(default_factory=dict)
    deferred: dict[tuple[str, str], tuple[float, QuotaAsk]] = field(
        default_factory=dict
    )
    own_deferred: set[str] = field(default_factory=set)
    claiming: set[str] = field(default_factory=set)
    maintained_at: float = math.inf
    taken_over: list[object] = field(default_factory=list)
    seen: dict[str, tuple[int, int]] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    noticed_at: float = -math.inf
    repeated_at: float = -math.inf
    refused: Counter[str] = field(default_factory=Counter)

    def next_number(self) -> int:
        """Returns the number of a new batch or token request."""
        self.last_number += 1
        return self.last_number

    def record_refused(self, account: str) -> None:
        """Counts a rejected request; few accounts have counts of their own."""
        counted = account in self.refused
        if not counted and len(self.refused) >= MAX_COUNTED_ACCOUNTS:
            account = OTHER_ACCOUNTS
        self.refused[account] += 1
