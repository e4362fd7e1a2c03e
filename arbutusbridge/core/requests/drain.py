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

SUBJECT_SEPARATOR = "\0"
"""Parts name and incarnation in the subject of a notice."""


def leaving_subject(name: str, incarnation: int) -> str:
    """Returns the subject of the notice that an upstream leaves."""
    return f"{name}{SUBJECT_SEPARATOR}{incarnation}" if incarnation else name


def parse_subject(subject: str) -> tuple[str, int] | None:
    """Reads the subject of such a notice, None if it is none."""
    name, parted, number = subject.partition(SUBJECT_SEPARATOR)
    if not parted:
        return name, 0
    if not (number.isascii() and number.isdigit()):
        return None
    return name, int(number)


class DrainTracker:
    """Which upstreams leave, by the signs that this instance has.

    Attributes:
      incarnations: Greatest incarnation seen of each upstream, 0 when it
        tells none.
      leaving_incarnations: Incarnation of each upstream that leaves or has
        left.
      registered: What the register last said of each upstream.
      pending_notices: Notices for the other instances.
    """

    def __init__(self) -> None:
        self.incarnations: dict[str, int] = {}
        self.leaving_incarnations: dict[str, int] = {}
        self.registered: dict[str, Upstream] = {}
        self.pending_notices: list[Notice] = []

    def report_leaving(self, name: str, incarnation: int = 0) -> bool:
        """Takes an upstream's own sign; returns whether it is news.

        Without an incarnation it is taken to be of the latest one seen.
        """
        latest = self.incarnations.get(name, 0)
        incarnation = incarnation or latest
        if not self.mark_leaving(name, incarnation):
            return False
        subject = leaving_subject(name, incarnation)
        self.pending_notices.append(Notice(NoticeKind.LEAVING, subject))
        return True

    def mark_leaving(self, name: str, incarnation: int) -> bool:
        """Takes a sign from anywhere; returns whether it is news."""
        if incarnation < self.incarnations.get(name, 0):
            return False
        if incarnation <= self.leaving_incarnations.get(name, -1):
            return False
        self.incarnations[name] = incarnation
        self.leaving_incarnations[name] = incarnation
        return True

    def on_notice(self, notice: Notice) -> str | None:
        """Takes a peer's notice; returns the upstream if it is news."""
        parsed = parse_subject(notice.subject)
        if parsed is None or not self.mark_leaving(*parsed):
            return None
        return parsed[0]

    def observe_incarnation(self, name: str, incarnation: int) -> bool:
        """Takes that an incarnation runs; returns whether the name is back."""
        if incarnation <= self.incarnations.get(name, 0):
            return False
        self.incarnations[name] = incarnation
        return self.leaving_incarnations.pop(name, None) is not None

    def configure(self, upstreams: dict[str, Upstream]) -> list[str]:
        """Takes the register's word; returns the names that are back.

        A register that never said leaving does not bring an upstream back:
        its export may be older than the sign.
        """
        back = []
        for name, upstream in upstreams.items():
            before = self.registered.get(name)
            self.registered[name] = upstream
            if upstream.leaving:
                self.leaving_incarnations.setdefault(
                    name, self.incarnations.get(name, 0)
                )
            elif name in self.leaving_incarnations and is_renewed(
                before, upstream
            ):
                del self.leaving_incarnations[name]
                back.append(name)
        return back


def is_renewed(before: Upstream | None, upstream: Upstream) -> bool:
    """Tells whether the register lists another process under the name."""
    if before is None:
        return False
    moved = (before.address, before.port) != (upstream.address, upstream.port)
    return moved or before.leaving
