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
    """

    sender: str
    number: int
    metered: list[str] = field(default_factory=list)


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
    """

    sender: str
    reply_to: tuple[str, int]
    epoch: int
    ask_id: int
    account: str
    tokens: int = 1


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
    """

    sender: str
    ask_id: int
    account: str
    granted: int = 0
    retry_s: float = 0.0


@dataclass(slots=True)
class MeteredNotice:
    """Message: accounts that are metered, or no longer.

    Attributes:
      sender: Name of the ledger.
      metered: Accounts whose requests need a token each.
      opened: Accounts whose requests need none any more.
    """

    sender: str
    metered: list[str] = field(default_factory=list)
    opened: list[str] = field(default_factory=list)


QuotaMessage = QuotaBatch | QuotaAck | QuotaAsk | QuotaGrant | MeteredNotice
