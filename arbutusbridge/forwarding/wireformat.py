"""Interface between the daemon and a platform adapter."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from arbutusbridge.forwarding.feed import KeyRules
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
class ResponseIdentity:
    """What a response says of the request that it belongs to.

    Attributes:
      request_id: Id of the request, None if it names none.
      signature: Signature of the response, empty without one.
    """

    request_id: str | None
    signature: str


@dataclass(frozen=True, slots=True)
class WireFormat:
    """Functions that encode and decode the data of a platform.

    Attributes:
      decode_request: Takes method, target, headers, body and time of arrival;
        an error tells the caller what is wrong.
      encode_answer: Takes a final answer, whether to keep the connection open,
        and for how long it may be idle, in whole seconds; 0 if not stated.
      encode_attempt: Takes an attempt and the current time.
      decode_reply: Takes the id of an attempt, status, headers and body.
      read_identity: Takes the headers of a response, by name in lower case.
      decode_configuration: Takes the value of the configuration key.
      decode_announcement: Takes the key and the value of an announcement.
      configuration_key: Key of the operators' configuration.
      upstreams_prefix: Prefix of the keys of announcements.
      evacuations_prefix: Prefix of the keys of evacuated data centres, each
        followed by the name of one.
      key_rules: What the values of these keys say of their age.
    """

    decode_request: Callable[
        [str, str, Headers, bytes, float], Result[CallerRequest, str]
    ]
    encode_answer: Callable[[object, bool, int], bytes]
    encode_attempt: Callable[[SendAttempt, float], bytes]
    decode_reply: Callable[[int, int, Headers, bytes], UpstreamReply]
    read_identity: Callable[[dict[bytes, bytes]], ResponseIdentity]
    decode_configuration: Callable[[bytes], Result[RoutingConfiguration, str]]
    decode_announcement: Callable[[str, bytes], Result[Announcement, str]]
    configuration_key: str
    upstreams_prefix: str
    evacuations_prefix: str
    key_rules: KeyRules
