"""What an adapter gives the daemon to speak with callers and upstreams."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from arbutusbridge.forwarding.messages import (
        Headers,
        SendAttempt,
        UpstreamReply,
    )
    from arbutusbridge.forwarding.model import (
        Announcement,
        CallerRequest,
        RoutingConfiguration,
    )


@dataclass(frozen=True, slots=True)
class WireFormat:
    """Functions that read and write what others send and expect.

    Attributes:
      decode_request: Takes method, target, headers, body and time of
        arrival; the error tells the caller what is wrong.
      encode_answer: Takes a final answer and whether the connection stays.
      encode_attempt: Takes an attempt and the time.
      decode_reply: Takes an attempt's id, status, headers and body.
      is_for: Takes a request's id and a response's headers by lower name.
      decode_configuration: Takes the value of the configuration's key.
      decode_announcement: Takes an upstream's key and its value.
      configuration_key: Key of the operators' configuration.
      upstreams_prefix: Start of the keys of announcements.
    """

    decode_request: Callable[
        [str, str, Headers, bytes, float], Result[CallerRequest, str]
    ]
    encode_answer: Callable[[object, bool], bytes]
    encode_attempt: Callable[[SendAttempt, float], bytes]
    decode_reply: Callable[[int, int, Headers, bytes], UpstreamReply]
    is_for: Callable[[str, dict[bytes, bytes]], bool]
    decode_configuration: Callable[[bytes], Result[RoutingConfiguration, str]]
    decode_announcement: Callable[[str, bytes], Result[Announcement, str]]
    configuration_key: str
    upstreams_prefix: str
