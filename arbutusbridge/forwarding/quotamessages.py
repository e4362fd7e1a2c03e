"""Messages between instances about the quotas of client accounts.

They are sent only to peers that know accounts.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class QuotaBatch:
    """Message: how many requests an instance has admitted by itself.

    Attributes:
      sender: Name of the sender.
      reply_to: Address at which the sender accepts messages.
      epoch: Random number of this start of the sender.
      number: Number of the batch, greater than that of the one before.
      accounts: Names of the accounts.
      counts: Requests of each; negative if more tokens were returned.
    """

    sender: str
    reply_to: tuple[str, int]
    epoch: int
    number: int
    accounts: list[str] = field(default_factory=list)
    counts: list[int] = field(default_factory=list)


@dataclass(slots=True)
class QuotaAck:
    """Message: a batch has been counted.

    Attributes:
      sender: Name of the ledger.
      number: Number of the batch.
      metered: Those of its accounts that are metered.
      declined: Those that were not counted, as the sender is not their ledger:
        it is stopping or does not know them.
    """

    sender: str
    number: int
    metered: list[str] = field(default_factory=list)
    declined: list[str] = field(default_factory=list)


@dataclass(slots=True)
class QuotaAsk:
    """Message: an instance asks for tokens of a metered account.

    Attributes:
      sender: Name of the sender.
      reply_to: Address at which the sender accepts messages.
      epoch: Random number of this start of the sender.
      ask_id: Number of the request, greater than that of the one before.
      account: Name of the account.
      tokens: Number of tokens.
      declined: Names of the instances that have declined to be the ledger.
    """

    sender: str
    reply_to: tuple[str, int]
    epoch: int
    ask_id: int
    account: str
    tokens: int = 1
    declined: list[str] = field(default_factory=list)


@dataclass(slots=True)
class QuotaGrant:
    """Message: the reply to a token request.

    Attributes:
      sender: Name of the ledger.
      ask_id: Number of the request.
      account: Name of the account.
      granted: Number of tokens granted.
      retry_s: Time after which the first of the others should come back, in
        seconds.
      declined: Whether the sender is not the ledger: it is stopping or does not
        know the account.
    """

    sender: str
    ask_id: int
    account: str
    granted: int = 0
    retry_s: float = 0.0
    declined: bool = False


@dataclass(slots=True)
class MeteredNotice:
    """Message: accounts that are metered, or no longer.

    Attributes:
      sender: Name of the ledger.
      metered: Accounts whose requests need a token each.
      opened: Accounts whose requests need none any more.
      reply_to: Address at which the sender accepts messages, None if the store
        names it.
      data_centre: Data centre in which the sender runs, if it tells that.
    """

    sender: str
    metered: list[str] = field(default_factory=list)
    opened: list[str] = field(default_factory=list)
    reply_to: tuple[str, int] | None = None
    data_centre: str = ""


@dataclass(slots=True)
class QuotaClaim:
    """Message: an instance is about to become the ledger of accounts.

    Attributes:
      sender: Name of the instance.
      reply_to: Address at which it accepts messages.
      data_centre: Data centre in which it runs.
      accounts: Names of the accounts.
    """

    sender: str
    reply_to: tuple[str, int]
    data_centre: str
    accounts: list[str] = field(default_factory=list)


@dataclass(slots=True)
class QuotaYield:
    """Message: the reply to a claim.

    Attributes:
      sender: Name of the sender.
      reply_to: Address at which the sender accepts messages.
      data_centre: Data centre in which the sender runs.
      accounts: Names of the accounts of the claim.
      held: Those of which the sender has kept the bucket until now.
      tokens: Tokens left of each of these.
      metered: Those of these that are metered.
      ledgers: Names of the instances that may grant tokens of any of the
        accounts, as far as the sender knows.
    """

    sender: str
    reply_to: tuple[str, int]
    data_centre: str
    accounts: list[str] = field(default_factory=list)
    held: list[str] = field(default_factory=list)
    tokens: list[float] = field(default_factory=list)
    metered: list[str] = field(default_factory=list)
    ledgers: list[str] = field(default_factory=list)


QuotaMessage = (
    QuotaBatch
    | QuotaAck
    | QuotaAsk
    | QuotaGrant
    | MeteredNotice
    | QuotaClaim
    | QuotaYield
)
