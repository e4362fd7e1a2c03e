"""What upstreams ask of the instances in their responses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamTerms:
    """What a response says of the requests that its upstream takes.

    Attributes:
      max_rate: Requests per second from all instances together, None if the
        upstream names no limit.
    """

    max_rate: float | None = None


NO_TERMS = UpstreamTerms()
"""Terms of an upstream that takes whatever its slots allow."""
