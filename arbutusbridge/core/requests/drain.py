"""Upstreams that leave: the first sign wins, spreads and is not undone.

A sign is a refusal or status of the upstream, the register, or a notice of
another instance. It is for one incarnation, that is one start, of the
upstream. Only a greater incarnation, another address, or a register that
takes its own word back brings the name into use again; a report of the same
or an older incarnation changes nothing, whatever it says.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Notice, NoticeKind

if TYPE_CHECKING:
    from arbutusbridge.core.model import Upstream

SEPARATOR = "\0"
"""Parts name and incarnation in the subject of a notice."""


def leaving_subject(name: str, incarnation: int) -> str:
    """Returns the subject of the notice that an upstream leaves."""
    return f"{name}{SEPARATOR}{incarnation}" if incarnation else name


def parse_subject(subject: str) -> tuple[str, int] | None:
    """Reads the subject of such a notice, None if it is none."""
    name, parted, number = subject.partition(SEPARATOR)
    if not parted:
        return name, 0
    if not (number.isascii() and number.isdigit()):
        return None
    return name, int(number)


class Departures:
    """Which upstreams leave, by the signs that this instance has.

    Attributes:
      incarnations: Greatest incarnation seen of each upstream, 0 when it
        tells none.
      left: Incarnation of each upstream that leaves or has left.
      listed: What the register last said of each upstream.
      untold: Notices for the other instances.
    """

    def __init__(self) -> None:
        self.incarnations: dict[str, int] = {}
        self.left: dict[str, int] = {}
        self.listed: dict[str, Upstream] = {}
        self.untold: list[Notice] = []

    def sign(self, name: str, incarnation: int = 0) -> bool:
        """Takes an upstream's own sign; returns whether it is news.

        Without an incarnation it is taken to be of the latest one seen.
        """
        latest = self.incarnations.get(name, 0)
        incarnation = incarnation or latest
        if not self.take(name, incarnation):
            return False
        subject = leaving_subject(name, incarnation)
        self.untold.append(Notice(NoticeKind.LEAVING, subject))
        return True

    def take(self, name: str, incarnation: int) -> bool:
        """Takes a sign from anywhere; returns whether it is news."""
        if incarnation < self.incarnations.get(name, 0):
            return False
        if incarnation <= self.left.get(name, -1):
            return False
        self.incarnations[name] = incarnation
        self.left[name] = incarnation
        return True

    def hear(self, notice: Notice) -> str | None:
        """Takes a peer's notice; returns the upstream if it is news."""
        parsed = parse_subject(notice.subject)
        if parsed is None or not self.take(*parsed):
            return None
        return parsed[0]

    def see(self, name: str, incarnation: int) -> bool:
        """Takes that an incarnation runs; returns whether the name is back."""
        if incarnation <= self.incarnations.get(name, 0):
            return False
        self.incarnations[name] = incarnation
        return self.left.pop(name, None) is not None

    def configure(self, upstreams: dict[str, Upstream]) -> list[str]:
        """Takes the register's word; returns the names that are back.

        A register that never said leaving does not bring an upstream back:
        its export may be older than the sign.
        """
        back = []
        for name, upstream in upstreams.items():
            before = self.listed.get(name)
            self.listed[name] = upstream
            if upstream.leaving:
                self.left.setdefault(name, self.incarnations.get(name, 0))
            elif name in self.left and is_renewed(before, upstream):
                del self.left[name]
                back.append(name)
        return back


def is_renewed(before: Upstream | None, upstream: Upstream) -> bool:
    """Tells whether the register lists another process under the name."""
    if before is None:
        return False
    moved = (before.address, before.port) != (upstream.address, upstream.port)
    return moved or before.leaving
