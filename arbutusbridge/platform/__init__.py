"""Adapter to the users' platform: its names, decoded once.

Nothing outside this folder knows the platform's headers, paths or fields.
"""

from __future__ import annotations

from arbutusbridge.forwarding.wireformat import WireFormat
from arbutusbridge.platform import documents, http
from arbutusbridge.platform.store import DIALECT

WIRE = WireFormat(
    http.decode_request,
    http.encode_answer,
    http.encode_attempt,
    http.decode_reply,
    http.belongs_to_request,
    documents.decode_configuration,
    documents.decode_announcement,
    documents.CONFIGURATION_KEY,
    documents.UPSTREAMS_PREFIX,
)
"""What the daemon speaks with callers, upstreams and operators."""

__all__ = ["DIALECT", "WIRE"]
