"""Client accounts of one configuration, and the keys of their callers."""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from typing import TYPE_CHECKING

from arbutusbridge.forwarding.messages import Refusal

if TYPE_CHECKING:
    from collections.abc import Sequence

    from arbutusbridge.forwarding.model import (
        Account,
        Route,
        RoutingConfiguration,
    )

MAX_CREDENTIAL_BYTES = 512
"""Maximum size of a header with a key. Hashing takes longer for a longer one,
and no operator issues such keys."""

CREDENTIAL = re.compile(rb"[ \t]*token[ \t]+([!-~]+)[ \t]*", re.IGNORECASE)
"""Scheme and key, a run of visible ASCII characters."""

DIGEST_BYTES = 16

DIGEST_SECRET = secrets.token_bytes(32)
"""Secret of this process, so that nobody can choose keys whose digests begin
alike and learn from the time of a lookup which of them exist."""


def digest_key(key: bytes) -> bytes:
    """Returns the digest that a key is looked up by."""
    return hashlib.blake2b(
        key, key=DIGEST_SECRET, digest_size=DIGEST_BYTES
    ).digest()


def find_homes(route: Route, account: Account | None) -> frozenset[str] | None:
    """Returns the regions that may run a request, None for all."""
    homes = [one.homes for one in (route, account) if one and one.homes]
    return frozenset.intersection(*homes) if homes else None


def find_urgency(route: Route, account: Account | None) -> int:
    """Returns the rank of a request; that of its account precedes."""
    if account is not None and account.urgency is not None:
        return account.urgency
    return route.urgency


def explain_refusal(credentials: Sequence[bytes]) -> str:
    """Returns why a request is unauthorized, without any part of its key."""
    if not credentials:
        return "missing"
    return "malformed" if read_key(credentials) is None else "unknown"


def read_key(credentials: Sequence[bytes]) -> bytes | None:
    """Returns the key of a request, None if it has not one valid header."""
    if len(credentials) != 1 or len(credentials[0]) > MAX_CREDENTIAL_BYTES:
        return None
    match = CREDENTIAL.fullmatch(credentials[0])
    return None if match is None else match[1]


class AccountTable:
    """Client accounts of one configuration.

    Attributes:
      by_name: Accounts by name.
      by_digest: Account of each key, by the digest of the key; None for a key
        of an account whose entry is invalid.
      invalid: What could not be decoded of the configuration.
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.by_name: dict[str, Account] = {}
        self.by_digest: dict[bytes, tuple[bytes, Account | None]] = {}
        self.invalid = configuration.invalid
        for account in configuration.accounts or ():
            self.by_name[account.name] = account
            for key in account.keys:
                digest = digest_key(key.encode())
                self.by_digest[digest] = (digest, account)
        for key in self.invalid.keys:
            digest = digest_key(key.encode())
            self.by_digest[digest] = (digest, None)

    @classmethod
    def from_config(
        cls, configuration: RoutingConfiguration
    ) -> AccountTable | None:
        """Creates the table of a configuration, None if it has no accounts."""
        return None if configuration.accounts is None else cls(configuration)

    def authenticate(
        self, route: Route, credentials: Sequence[bytes]
    ) -> Account | Refusal | None:
        """Returns the account of a request.

        Args:
          route: Route of the request.
          credentials: Values of its headers with a key.

        Returns:
          The account, None if the route accepts the request without one, or the
          refusal of a request whose key is missing or not valid. A key that
          may be of an account whose entry is invalid is not called unknown.
        """
        if not credentials and route.allows_anonymous:
            return None
        if self.invalid.accounts:
            return Refusal.INVALID_ENTRY
        key = read_key(credentials)
        if key is None:
            return Refusal.UNAUTHORIZED
        digest = digest_key(key)
        # The dictionary finds a digest by comparing it with equal hashes only;
        # these depend on the secret, so that its time says nothing of a key.
        known, account = self.by_digest.get(digest, (b"", None))
        if account is not None and hmac.compare_digest(known, digest):
            return account
        if known or self.invalid.any_key:
            return Refusal.INVALID_ENTRY
        return Refusal.UNAUTHORIZED
