"""Tracking of upstreams that drain before they leave.

An instance learns that an upstream leaves from the upstream's own refusal or
status report, from the register, or from a notice of another instance. It acts
on whichever arrives first, and passes on the upstream's own report to the other
instances. The mark applies to one incarnation of the upstream, that is, to one
start of its process. An upstream of the same name is used again only with a
greater incarnation, with another address, or once the register has removed a
mark that it had set. A report of the same or an older incarnation changes
nothing, whatever it says.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.messages import Notice, NoticeKind

if TYPE_CHECKING:
    from arbutusbridge.core.model import Upstream

SUBJECT_SEPARATOR = "\0"
"""Separator of name and incarnation in the subject of a notice."""


def leaving_subject(name: str, incarnation: int) -> str:
    """Returns the subject of the notice that an upstream is leaving."""
    return f"{name}{SUBJECT_SEPARATOR}{incarnation}" if incarnation else name


def parse_subject(subject: str) -> tuple[str, int] | None:
    """Parses the subject of a notice that an upstream is leaving.

    Returns:
      The name and the incarnation, 0 if the subject has none, or None if
      the subject is malformed.
    """
    name, separator, number = subject.partition(SUBJECT_SEPARATOR)
    if not separator:
        return name, 0
    if not (number.isascii() and number.isdigit()):
        return None
    return name, int(number)


class DrainTracker:
    """Tracks the upstreams that this instance knows to be leaving.

    Attributes:
      incarnations: Greatest incarnation seen of each upstream, 0 when it
        reports none.
      leaving_incarnations: Incarnation of each upstream that is leaving or
        has left.
      registered: Latest register entry of each upstream.
      pending_notices: Notices to send to the other instances.
    """

    def __init__(self) -> None:
        self.incarnations: dict[str, int] = {}
        self.leaving_incarnations: dict[str, int] = {}
        self.registered: dict[str, Upstream] = {}
        self.pending_notices: list[Notice] = []

    def report_leaving(self, name: str, incarnation: int = 0) -> bool:
        """Marks an upstream that reported itself as leaving.

        Args:
          name: The upstream.
          incarnation: Its incarnation, 0 for the latest one seen.

        Returns:
          Whether this was not known before.
        """
        latest = self.incarnations.get(name, 0)
        incarnation = incarnation or latest
        if not self.mark_leaving(name, incarnation):
            return False
        subject = leaving_subject(name, incarnation)
        self.pending_notices.append(Notice(NoticeKind.LEAVING, subject))
        return True

    def mark_leaving(self, name: str, incarnation: int) -> bool:
        """Marks an incarnation of an upstream as leaving.

        Returns:
          False if it was marked before or is older than the latest one seen.
        """
        if incarnation < self.incarnations.get(name, 0):
            return False
        if incarnation <= self.leaving_incarnations.get(name, -1):
            return False
        self.incarnations[name] = incarnation
        self.leaving_incarnations[name] = incarnation
        return True

    def on_notice(self, notice: Notice) -> str | None:
        """Applies a peer's notice that an upstream is leaving.

        Returns:
          The name of the upstream, None if the notice changes nothing.
        """
        parsed = parse_subject(notice.subject)
        if parsed is None or not self.mark_leaving(*parsed):
            return None
        return parsed[0]

    def observe_incarnation(self, name: str, incarnation: int) -> bool:
        """Records the incarnation that an upstream reports.

        Returns:
          Whether it is a restart of an upstream that was marked as leaving.
        """
        if incarnation <= self.incarnations.get(name, 0):
            return False
        self.incarnations[name] = incarnation
        return self.leaving_incarnations.pop(name, None) is not None

    def configure(self, upstreams: dict[str, Upstream]) -> list[str]:
        """Applies a register export.

        An entry that was never marked as leaving does not revert an
        upstream's own report, as the export may be older than the report.

        Returns:
          Names of the upstreams that are no longer marked as leaving.
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
    """Returns whether an entry lists a new process under the same name."""
    if before is None:
        return False
    moved = (before.address, before.port) != (upstream.address, upstream.port)
    return moved or before.leaving
