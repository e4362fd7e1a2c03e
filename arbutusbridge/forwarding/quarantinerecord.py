"""Records of quarantines in the store, as JSON.

A quarantine has to outlast the instances that know it, all of which may end at
the same moment.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import Annotated

from pydantic import Field, TypeAdapter, ValidationError

from arbutusbridge.core.requests.quarantine import QUARANTINE_DURATION_S

QUARANTINE_PREFIX = "arbutusbridge/quarantine/"
"""Prefix of the keys of quarantined fingerprints."""

MAX_EVIDENCE_LINES = 8
"""Maximum number of crashes that a record describes."""

EvidenceLine = Annotated[str, Field(max_length=300)]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """Quarantine of a fingerprint.

    Attributes:
      quarantined_ms: Wall-clock time of its start, in ms since 1970. Clocks
        that differ by seconds change little of a quarantine of minutes.
      duration_s: Length, in seconds.
      reporter: Instance that quarantined it.
      evidence: Crashes that it is held responsible for.
    """

    quarantined_ms: int
    duration_s: Annotated[float, Field(gt=0, le=QUARANTINE_DURATION_S)]
    reporter: Annotated[str, Field(max_length=200)]
    evidence: Annotated[
        list[EvidenceLine], Field(max_length=MAX_EVIDENCE_LINES)
    ] = dataclasses.field(default_factory=list)

    def age_s(self, wall_s: float) -> float:
        """Returns the age at a wall-clock time, 0 for one in the future."""
        return max(0.0, wall_s - self.quarantined_ms / 1000)


@functools.cache
def record_adapter() -> TypeAdapter[QuarantineRecord]:
    """Returns the validator of a record, built when it is first needed."""
    return TypeAdapter(QuarantineRecord)


def encode_record(record: QuarantineRecord) -> bytes:
    """Encodes a record as JSON."""
    return record_adapter().dump_json(record)


def decode_record(value: bytes) -> QuarantineRecord | None:
    """Decodes a record, or returns None if the value is not a valid one."""
    try:
        return record_adapter().validate_json(value)
    except ValidationError:
        return None
