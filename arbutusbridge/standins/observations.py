"""What callers get and what upstreams run, as stand-ins see it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class UpstreamRun:
    """One run of a request at an upstream.

    Attributes:
      request_id: The caller's request.
      upstream: Who ran it.
      service: Its service.
      at: When it began, seconds.
      target: Path and query.
      stamp: Signature of a good response, empty if it gave none.
      body: Body of it.
      shed: Whether the upstream refused to run it.
    """

    request_id: str
    upstream: str
    service: str
    at: float
    target: str
    stamp: str = ""
    body: bytes = b""
    shed: bool = False


@dataclass(slots=True)
class CallerAnswer:
    """What a caller gets.

    Attributes:
      status: HTTP status.
      request_id: Id that it names.
      stamp: Signature of one upstream's response.
      stamps: Signatures of the shards in a merged answer.
      missing: Shards left out of it.
      body: The whole body.
    """

    status: int
    request_id: str
    stamp: str
    stamps: list[str]
    missing: int
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether it is a success."""
        return 200 <= self.status < 300
