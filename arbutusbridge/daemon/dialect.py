"""Mapping of store operations to HTTP requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from arbutusbridge.core.messages import StoreResult

EraReader = Callable[[dict[bytes, bytes]], int | None]
"""Returns the era that the headers of a reply name, by name in lower case; None
if they name none. It rises when the store comes back from an older copy."""

ResponseDecoder = Callable[[tuple[str, str], int, bytes], StoreResult]
"""Decodes a response from the token of its call, its status and its body."""


@dataclass(frozen=True, slots=True)
class StoreRequest:
    """HTTP request of a store operation.

    Attributes:
      method: HTTP method.
      path: Path and query.
      body: JSON body, empty if there is none.
      decode: Decodes the response.
    """

    method: str
    path: str
    body: bytes
    decode: ResponseDecoder


@dataclass(frozen=True, slots=True)
class Dialect:
    """Builds the requests to a store that has prefixes, watches and leases.

    Attributes:
      page: Reads a page of keys, given their prefix and the key after which
        the page starts.
      watch: Waits for changes of keys, given their prefix, the revision after
        which the changes start and a timeout in seconds.
      write: Writes a key, given the key, its value and the lease that it is
        attached to.
      lease: Grants a lease, given its time to live in seconds.
      renew: Renews a lease.
      end: Revokes a lease.
      read_era: Reads the era of a reply.
    """

    page: Callable[[str, str], StoreRequest]
    watch: Callable[[str, int, float], StoreRequest]
    write: Callable[[str, bytes, int], StoreRequest]
    lease: Callable[[float], StoreRequest]
    renew: Callable[[int], StoreRequest]
    end: Callable[[int], StoreRequest]
    read_era: EraReader


def make_era_reader(header: bytes) -> EraReader:
    """Returns a function that reads the era from a header.

    Args:
      header: Name of the header in lower case.
    """

    def read_era(headers: dict[bytes, bytes]) -> int | None:
        value = headers.get(header, b"")
        return int(value) if value.isdigit() else None

    return read_era
