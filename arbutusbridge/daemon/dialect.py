"""Calls to a store as requests that a client can send."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from arbutusbridge.core.messages import StoreResult

ResponseDecoder = Callable[[tuple[str, str], int, bytes], StoreResult]
"""Takes a call's token, the response's status and its body."""


@dataclass(frozen=True, slots=True)
class StoreRequest:
    """One call as an HTTP request.

    Attributes:
      method: HTTP method.
      path: Path and query.
      body: JSON body, empty for none.
      decode: Reads the response.
    """

    method: str
    path: str
    body: bytes
    decode: ResponseDecoder


@dataclass(frozen=True, slots=True)
class Dialect:
    """How a store with prefixes, watches and leases is asked.

    Attributes:
      page: Takes a prefix and the key to start behind.
      watch: Takes a prefix, the revision to start behind and a wait in
        seconds.
      write: Takes a key, its value and the lease that it ends with.
      lease: Takes seconds.
      renew: Takes a lease.
      end: Takes a lease.
    """

    page: Callable[[str, str], StoreRequest]
    watch: Callable[[str, int, float], StoreRequest]
    write: Callable[[str, bytes, int], StoreRequest]
    lease: Callable[[float], StoreRequest]
    renew: Callable[[int], StoreRequest]
    end: Callable[[int], StoreRequest]
