"""Messages between instances about requests that crash upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field

# Needed at run time, since messages are validated by these annotations.
from arbutusbridge.core.requests.quarantine import CrashReport


@dataclass(frozen=True, slots=True)
class QuarantineReport:
    """Quarantine of a fingerprint.

    Attributes:
      fingerprint: The fingerprint.
      age_s: Time since it was quarantined, in seconds.
      duration_s: Length of the quarantine, in seconds.
      reporter: Instance that quarantined it.
      evidence: Description of the crashes, if they are not reported besides.
    """

    fingerprint: str
    age_s: float
    duration_s: float
    reporter: str
    evidence: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ResultReport:
    """Result of a suspect, which ends the suspicion.

    Attributes:
      fingerprint: The fingerprint.
      age_s: Time since the result, in seconds.
    """

    fingerprint: str
    age_s: float


@dataclass(slots=True)
class QuarantineNotice:
    """Message: evidence against requests, and quarantines.

    Attributes:
      reply_to: Address at which the sender accepts messages.
      wants_reply: Whether the sender asks for the evidence of the receiver.
      crashes: Crashes charged to requests.
      quarantines: Quarantined requests.
      results: Results of requests that were suspected.
    """

    reply_to: tuple[str, int]
    wants_reply: bool = False
    crashes: list[CrashReport] = field(default_factory=list)
    quarantines: list[QuarantineReport] = field(default_factory=list)
    results: list[ResultReport] = field(default_factory=list)
