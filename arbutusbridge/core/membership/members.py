"""Identity and known state of an instance."""

from __future__ import annotations

import enum
import functools
import hashlib
import ipaddress
from dataclasses import dataclass

MAX_MEMBERS = 4096
"""Maximum number of tracked instances."""


class MemberState(enum.IntEnum):
    """State that an instance reports; it never decreases while it runs."""

    SERVING = 0
    LEAVING = 1
    STOPPED = 2


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of an instance and the address that its peers connect to.

    Attributes:
      name: Name, unique within a deployment.
      data_centre: Data centre that it runs in.
      ip: IP address of its socket for peers.
      port: TCP port of its socket for peers.
      incarnation: Number that grows with each start of the name, 0 if not
        known.
    """

    name: str
    data_centre: str
    ip: str
    port: int
    incarnation: int = 0

    @property
    def address(self) -> tuple[str, int]:
        """Address that the instance listens on for peers."""
        return self.ip, self.port


@dataclass(slots=True)
class Member:
    """Known state of another instance.

    Attributes:
      identity: Identity of the instance.
      first_seen_at: Time at which it was first heard of.
      heard_at: Latest time at which it is known to have run, or None.
      listed_at: Time of the latest reading of the instance list that
        contained it, or None.
      listed_leaving: Whether the list marked it as leaving.
      state: State that it reports of itself.
      version: Configuration version that it reports as in force.
      gone_at: Time at which it was found to be gone, None otherwise.
    """

    identity: Identity
    first_seen_at: float
    heard_at: float | None = None
    listed_at: float | None = None
    listed_leaving: bool = False
    state: MemberState = MemberState.SERVING
    version: int = 0
    gone_at: float | None = None

    @property
    def running(self) -> bool:
        """Whether the instance may still be running."""
        return self.gone_at is None and self.state is not MemberState.STOPPED


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's instance list."""

    identity: Identity
    leaving: bool = False


def is_ip(text: str) -> bool:
    """Returns whether a text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


@functools.lru_cache(MAX_MEMBERS)
def member_key(name: str) -> bytes:
    """Returns the short key of a name in heartbeat tables."""
    return hashlib.blake2b(name.encode(), digest_size=5).digest()
