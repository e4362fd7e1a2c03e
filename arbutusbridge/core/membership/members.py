"""Who an instance is and what is known of it."""

from __future__ import annotations

import enum
import functools
import hashlib
import ipaddress
from dataclasses import dataclass

MAX_MEMBERS = 4096
"""Instances kept track of at most."""


class MemberState(enum.IntEnum):
    """What an instance says of itself; a greater state is final."""

    SERVING = 0
    LEAVING = 1
    STOPPED = 2


@dataclass(frozen=True, slots=True)
class Identity:
    """Who an instance is and where its peers reach it.

    Attributes:
      name: Unique over the instances of a deployment.
      data_centre: Where it runs.
      ip: IP number of its peers' socket.
      port: TCP port of its peers' socket.
      incarnation: Greater for each start of the name, 0 when not known.
    """

    name: str
    data_centre: str
    ip: str
    port: int
    incarnation: int = 0

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens to its peers."""
        return self.ip, self.port


@dataclass(slots=True)
class Member:
    """What is known of an instance.

    Attributes:
      identity: Who it is.
      since: When it was first heard of.
      heard_at: Latest time at which it is known to have run, or None.
      listed_at: Latest reading of the list that had it, or None.
      list_leaving: Whether the list said that it leaves.
      state: What it says of itself.
      version: Configuration version that it says is in force there.
      gone_at: When it was found to be gone, None while it is not.
    """

    identity: Identity
    since: float
    heard_at: float | None = None
    listed_at: float | None = None
    list_leaving: bool = False
    state: MemberState = MemberState.SERVING
    version: int = 0
    gone_at: float | None = None

    @property
    def running(self) -> bool:
        """Whether it may still run."""
        return self.gone_at is None and self.state is not MemberState.STOPPED


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's instance list."""

    identity: Identity
    leaving: bool = False


def is_ip(text: str) -> bool:
    """Tells whether a text is an IP number."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


@functools.lru_cache(MAX_MEMBERS)
def member_key(name: str) -> bytes:
    """Returns the short key of a name in tables between instances."""
    return hashlib.blake2b(name.encode(), digest_size=5).digest()
