"""A connection to an upstream whose responses are handed on whole."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Any

from arbutusbridge.daemon.connection import MIN_FINAL_STATUS, Connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.forwarding.messages import Headers

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=(\d+)")

IDLE_MARGIN_S = 0.5
"""Time before an announced idle timeout at which a connection is not used any
more, so that a request doesn't cross its close."""

BODILESS_STATUSES = frozenset({204, 304})


class RelayConnection(Connection):
    """Keeps a response's headers and skips responses to other requests.

    Attributes:
      is_for: Tells whether a response's headers fit a request's id.
      request_id: The request that a response is awaited for.
      expects_body: Whether the response to it has a body.
      headers: Headers of the response, as sent.
      header_values: The same by name in lower case.
      idle_timeout_s: Time after which the upstream may close it for idleness.
    """

    # Every attempt has a time-out of its own, and connections are many.
    options = ()

    def __init__(
        self, *args: Any, is_for: Callable[[str, dict[bytes, bytes]], bool]
    ) -> None:
        self.is_for = is_for
        self.request_id = ""
        self.expects_body = True
        self.headers: Headers = []
        self.header_values: dict[bytes, bytes] = {}
        self.headers_complete = False
        self.mismatched = False
        self.saw_mismatch = False
        self.idle_timeout_s = math.inf
        super().__init__(*args)

    def expect(self, request_id: str, expects_body: bool) -> None:
        """Names the request whose response comes next."""
        self.request_id = request_id
        self.expects_body = expects_body

    def is_usable(self, now: float) -> bool:
        """Tells whether the upstream still keeps the idle connection."""
        return self.alive and now - self.idle_since < self.idle_timeout_s

    @property
    def is_reusable(self) -> bool:
        """Whether the response ended in step and nothing else came."""
        return (
            super().is_reusable and not self.saw_mismatch and self.expects_body
        )

    def on_message_begin(self) -> None:
        """Starts a response, called by the parser."""
        super().on_message_begin()
        if self.response is not None:
            return
        self.headers = []
        self.header_values = {}
        self.headers_complete = False
        self.mismatched = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header, called by the parser."""
        if self.response is None and not self.headers_complete:
            self.headers.append((name, value))
            self.header_values[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Tells whose response it is, called by the parser."""
        if self.response is not None:
            return
        self.headers_complete = True
        status = self.parser.get_status_code()
        if not self.is_for(self.request_id, self.header_values):
            self.mismatched = self.saw_mismatch = True
        elif not self.expects_body and status >= MIN_FINAL_STATUS:
            self.response = status, b""
        found = KEEP_ALIVE_TIMEOUT_PATTERN.search(
            self.header_values.get(b"keep-alive", b"")
        )
        if found is not None:
            self.idle_timeout_s = float(found[1]) - IDLE_MARGIN_S

    def on_message_complete(self) -> None:
        """Keeps the whole response, called by the parser."""
        if self.mismatched:
            # The response that was asked for may still follow.
            self.body.clear()
            self.body_bytes = 0
            return
        if self.response is None:
            super().on_message_complete()

    def on_eof(self) -> None:
        """Completes a response whose body lasts to the connection's end."""
        framed = (
            b"content-length" in self.header_values
            or b"transfer-encoding" in self.header_values
        )
        status = self.parser.get_status_code() if self.headers_complete else 0
        whole = (
            self.headers_complete
            and not framed
            and not self.mismatched
            and not self.out_of_sync
            and status >= MIN_FINAL_STATUS
            and status not in BODILESS_STATUSES
        )
        if whole and self.response_started and self.response is None:
            self.keep_alive = False
            body = b"".join(self.body)
            self.headers_complete = False
            self.on_response(self, status, body)
        self.close()
