"""Adapter to the users' platform.

Only this package knows the headers, paths and field names of the platform.
"""

from __future__ import annotations

from arbutusbridge.forwarding.wireformat import WireFormat
from arbutusbridge.platform import configuration, documents, http
from arbutusbridge.platform.store import DIALECT

WIRE = WireFormat(
    http.decode_request,
    http.encode_answer,
    http.encode_attempt,
    http.decode_reply,
    http.read_identity,
    configuration.decode_configuration,
    documents.decode_announcement,
    configuration.CONFIGURATION_KEY,
    documents.UPSTREAMS_PREFIX,
    documents.EVACUATIONS_PREFIX,
    documents.KEY_RULES,
)
"""Encoding of the daemon's traffic with callers, upstreams and operators."""

__all__ = ["DIALECT", "WIRE"]
