"""Messages between instances about the rate limits of upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class TermsReport:
    """What an upstream asks of the instances, as one of them knows it.

    Attributes:
      upstream: Id of the upstream.
      started_ms: Its start, as announced.
      age_s: Time since the request was sent whose response said so.
      max_rate: Requests per second from all instances together, None if the
        upstream names no limit.
    """

    upstream: str
    started_ms: int
    age_s: float
    max_rate: float | None


@dataclass(slots=True)
class DemandNotice:
    """Message: how many requests an instance has for limited upstreams.

    Attributes:
      sender: Name of the sender.
      reply_to: Address at which the sender accepts messages.
      terms: Terms of the upstreams.
      demand: Requests per second that the sender has for each of them.
    """

    sender: str
    reply_to: tuple[str, int]
    terms: list[TermsReport] = field(default_factory=list)
    demand: list[float] = field(default_factory=list)


@dataclass(slots=True)
class ShareNotice:
    """Message: the receiver's shares of the limits of upstreams.

    Attributes:
      sender: Name of the allocator.
      terms: Terms of the upstreams.
      shares: Share of each limit, 0 to 1; negative for none that is granted,
        if the message only spreads the terms.
    """

    sender: str
    terms: list[TermsReport] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)
