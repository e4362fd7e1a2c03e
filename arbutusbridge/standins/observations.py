"""Answers that callers get and runs at upstreams, as stand-ins observe them."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class UpstreamRun:
    """One run of a request at an upstream.

    Attributes:
      request_id: Id of the caller's request.
      upstream: Id of the upstream.
      service: Service of the upstream.
      at: Time at which the run began, in seconds.
      target: Path and query.
      stamp: Signature of a successful response, empty without one.
      body: Body of that response.
      shed: Whether the upstream shed the request instead of running it.
      said_leaving_at: Time at which it answered that it is leaving, infinite
        if it did not.
      accounts: Account names that came with the request.
      has_key: Whether a key of an account came with it.
    """

    request_id: str
    upstream: str
    service: str
    at: float
    target: str
    stamp: str = ""
    body: bytes = b""
    shed: bool = False
    said_leaving_at: float = math.inf
    accounts: tuple[str, ...] = ()
    has_key: bool = False


@dataclass(slots=True)
class CallerAnswer:
    """Answer to a caller's request.

    Attributes:
      status: HTTP status.
      request_id: Request id in the answer.
      stamp: Signature of the upstream's response, for a single upstream.
      stamps: Signatures of the shards in a merged answer.
      missing: Number of shards missing from a merged answer.
      body: Complete body.
    """

    status: int
    request_id: str
    stamp: str
    stamps: list[str]
    missing: int
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300
