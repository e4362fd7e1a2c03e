"""Keeps the quarantines of an instance in the store."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.messages import StoreStatus
from arbutusbridge.core.requests.quarantine import FingerprintState
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.forwarding.quarantinemessages import QuarantineReport
from arbutusbridge.forwarding.quarantinerecord import (
    MAX_EVIDENCE_LINES,
    QUARANTINE_PREFIX,
    QuarantineRecord,
    decode_record,
    encode_record,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.messages import StoreItem, StoreResult
    from arbutusbridge.daemon.dialect import Dialect
    from arbutusbridge.daemon.forwarding import ForwardingDriver
    from arbutusbridge.daemon.platform import PlatformClient
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)

CHECK_INTERVAL_S = 1.0
"""Interval of the checks for quarantines that the store does not hold."""

ADOPTED_WRITE_DELAY_S = (1.5, 6.0)
"""Range of the delay after which an instance writes a quarantine of another one
that is missing in the store. The delays are spread, so that one writes it and
the others see it."""

RETRY_DELAY_S = 2.0
"""Delay of the next write after a failed call."""

MIN_WRITTEN_S = 5.0
"""Minimum remaining length of a quarantine that is written."""

CALL_TIMEOUT_S = 1.5
"""Timeout of a store call."""


class QuarantineStore(BaseComponent):
    """Writes quarantines to the store and adopts those of other instances.

    The store is called for a quarantine, never for a single loss. Each key has
    a lease of the remaining length, so that the store removes it in time.

    Attributes:
      reporter: Name of this instance.
      keys: Fingerprints that the store holds.
      write_at: When to write each missing fingerprint.
      writing: Fingerprint that is being written, empty if there is none.
      wall_clock: Returns the wall-clock time, in seconds since 1970.
    """

    channel = "quarantinestore"

    def __init__(
        self,
        reporter: str,
        driver: ForwardingDriver,
        store: PlatformClient,
        dialect: Dialect,
        timers: TimerService,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self.reporter = reporter
        self.driver = driver
        self.store = store
        self.dialect = dialect
        self.timers = timers
        self.wall_clock = wall_clock
        self.keys: set[str] = set()
        self.write_at: dict[str, float] = {}
        self.writing = ""
        timers.after(CHECK_INTERVAL_S, self.channel, None)

    @handler("quarantine_changed", channel="*")
    def on_quarantine_changed(self, items: list[StoreItem]) -> None:
        """Adopts the quarantines that other instances have written."""
        for item in items:
            fingerprint = item.key.removeprefix(QUARANTINE_PREFIX)
            if item.value is None:
                self.keys.discard(fingerprint)
                continue
            record = decode_record(item.value)
            if record is None:
                logger.warning(
                    "invalid quarantine record ignored",
                    extra={"key": item.key, "revision": item.revision},
                )
                continue
            self.keys.add(fingerprint)
            report = QuarantineReport(
                fingerprint,
                record.age_s(self.wall_clock()),
                record.duration_s,
                record.reporter,
                record.evidence,
            )
            now = self.timers.clock()
            self.driver.carry_out(
                self.driver.forwarder.adopt_quarantine(report, now)
            )

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Writes one missing quarantine that is due."""
        self.timers.after(CHECK_INTERVAL_S, self.channel, None)
        now = self.timers.clock()
        missing = self.find_missing(now)
        self.write_at = {
            fingerprint: self.write_at.get(fingerprint, due)
            for fingerprint, due in missing.items()
        }
        due = [one for one, at in self.write_at.items() if at <= now]
        if due and not self.writing:
            self.create_lease(due[0], now)

    def find_missing(self, now: float) -> dict[str, float]:
        """Returns the missing fingerprints, with the time to write each."""
        entries = self.driver.forwarder.quarantine.entries
        return {
            fingerprint: now
            if not entry.quarantined_by
            else now + random.uniform(*ADOPTED_WRITE_DELAY_S)
            for fingerprint, entry in entries.items()
            if entry.state is FingerprintState.QUARANTINED
            and entry.until - now > MIN_WRITTEN_S
            and fingerprint not in self.keys
        }

    def create_lease(self, fingerprint: str, now: float) -> None:
        """Creates the lease under which a quarantine is written."""
        entry = self.driver.forwarder.quarantine.entries[fingerprint]
        self.writing = fingerprint
        request = self.dialect.lease(entry.until - now)
        token = (self.channel, "lease")
        self.store.send_call(request, token, self.on_lease, CALL_TIMEOUT_S)

    def on_lease(self, result: StoreResult) -> None:
        """Writes the quarantine under its new lease."""
        fingerprint = self.writing
        now = self.timers.clock()
        entry = self.driver.forwarder.quarantine.entries.get(fingerprint)
        if result.status is not StoreStatus.DONE or entry is None:
            self.end_write(fingerprint, result.status)
            return
        started_s = self.wall_clock() - (now - entry.quarantined_at)
        record = QuarantineRecord(
            round(started_s * 1000),
            entry.duration_s,
            entry.quarantined_by or self.reporter,
            entry.describe(now)[:MAX_EVIDENCE_LINES],
        )
        request = self.dialect.write(
            QUARANTINE_PREFIX + fingerprint, encode_record(record), result.index
        )
        token = (self.channel, "write")
        self.store.send_call(request, token, self.on_written, CALL_TIMEOUT_S)

    def on_written(self, result: StoreResult) -> None:
        """Ends the write of a quarantine."""
        self.end_write(self.writing, result.status)

    def end_write(self, fingerprint: str, status: StoreStatus) -> None:
        """Logs the result of a write; a failed one is repeated later."""
        self.writing = ""
        self.write_at[fingerprint] = self.timers.clock() + RETRY_DELAY_S
        if status is StoreStatus.DONE:
            self.keys.add(fingerprint)
            logger.notice(
                "quarantine written", extra={"fingerprint": fingerprint}
            )
            return
        logger.warning(
            "quarantine not written",
            extra={
                "fingerprint": fingerprint,
                "status": status.value,
                "remedy": "Check the store; peers know the quarantine.",
            },
        )
