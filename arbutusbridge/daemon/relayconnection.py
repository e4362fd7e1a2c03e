"""Connection to an upstream that keeps all response headers."""

from __future__ import annotations

import math
import re
import socket
from collections import deque
from typing import TYPE_CHECKING, Any

import httptools

from arbutusbridge.core.httpstatus import is_valid_status
from arbutusbridge.daemon.connection import (
    MAX_HEAD_BYTES,
    MIN_FINAL_STATUS,
    Connection,
)
from arbutusbridge.daemon.responsesearch import (
    contains_status_line,
    find_invalid_heads,
    find_response,
    incomplete_head_start,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.forwarding.messages import Headers
    from arbutusbridge.forwarding.wireformat import ResponseIdentity

IP_BIND_ADDRESS_NO_PORT = 24
"""Socket option of Linux, which the socket module does not name."""

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=(\d+)")

IDLE_MARGIN_S = 0.5
"""Margin before the idle timeout that an upstream announced. Within it the
connection is not used, so that a request does not race with the close."""

MAX_SIGNATURES = 8
"""Number of responses whose signatures a connection remembers."""

MAX_CARRIED_REQUESTS = 32
"""Number of requests that a connection remembers to have carried. A late copy
of a response comes where the next one is expected, or a few later."""

MIN_SUCCESS_STATUS = 200
MIN_REDIRECT_STATUS = 300
"""Bounds of the statuses of successes, the upper one excluded."""

MAX_MISMATCHED_RESPONSES = 8
"""Maximum number of responses to other requests that are skipped before the
connection is closed."""

BODILESS_STATUSES = frozenset({204, 304})
"""Statuses of responses that never have a body."""


class RelayConnection(Connection):
    """Keeps the headers of a response and discards responses to other requests.

    A response to another request may be incomplete, so that the response in
    flight begins where the rest of it was due. What was received is therefore
    searched for that response, too.

    A response with a status that HTTP does not have is no response. It ends the
    attempt as lost, unless it belongs to another request or the response in
    flight follows it in the same read. What its headers say is not used: an
    upstream that sends such a status is in trouble, so its statement that the
    request has not run may be false, and the request would run twice.

    Attributes:
      source_ip: Address that the connection comes from, selected by the system
        if None.
      read_identity: Returns what the headers of a response say of its request.
      names_requests: Whether a response has named its request, so that others
        do so as well.
      signatures: Signatures of the last responses, each with the id of its
        request; a response to another request has another one.
      carried: Ids of the last requests, of which no further attempt may be sent
        here: it has the same id, and so has a late copy of the response to the
        earlier one.
      request_id: Id of the request in flight.
      expects_body: Whether the response to that request has a body.
      headers: Headers of the response, as received.
      header_values: Header values by lower-case name.
      reason: Reason phrase of the response.
      matched: Whether the response to the request in flight has begun.
      unmatched: Bytes received since the request was sent that may contain the
        beginning of its response.
      parser_failed: Whether the parser has lost its place in these bytes.
      mismatched: Whether the current response belongs to another request.
      mismatches: Number of responses that belonged to other requests.
      idle_timeout_s: Time after which the upstream may close the connection
        when it is idle, in seconds.
    """

    # No TCP keep-alive: every attempt has a timeout of its own, and there are
    # many connections.
    options = ()

    def __init__(
        self,
        *args: Any,
        read_identity: Callable[[dict[bytes, bytes]], ResponseIdentity],
        source_ip: str | None = None,
    ) -> None:
        self.source_ip = source_ip
        self.read_identity = read_identity
        self.names_requests = False
        self.signatures: deque[tuple[str, str]] = deque(maxlen=MAX_SIGNATURES)
        self.carried: deque[str] = deque(maxlen=MAX_CARRIED_REQUESTS)
        self.request_id = ""
        self.expects_body = True
        self.headers: Headers = []
        self.header_values: dict[bytes, bytes] = {}
        self.reason = b""
        self.headers_complete = False
        self.matched = False
        self.unmatched = b""
        self.parser_failed = False
        self.mismatched = False
        self.mismatches = 0
        self.idle_timeout_s = math.inf
        super().__init__(*args)

    def prepare_socket(self, sock: socket.socket) -> None:
        """Sets the address that the connection comes from."""
        if self.source_ip is not None:
            # The port is chosen when the connection is established.
            sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            sock.bind((self.source_ip, 0))

    def expect(self, request_id: str, expects_body: bool) -> None:
        """Sets the request whose response is expected next."""
        self.request_id = request_id
        self.carried.append(request_id)
        self.expects_body = expects_body
        self.matched = False
        self.unmatched = b""

    def is_usable(self, now: float) -> bool:
        """Returns whether the upstream still keeps the idle connection open."""
        return self.alive and now - self.idle_since < self.idle_timeout_s

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may be used again after its response.

        False after a response to another request, and after a response to
        HEAD.
        """
        return super().is_reusable and not self.mismatches and self.expects_body

    def feed(self, data: bytes) -> None:
        """Parses data; looks for the response in flight among other bytes."""
        if self.matched:
            super().feed(data)
            return
        self.unmatched += data
        parsed = not self.parser_failed and self.parse(data)
        if self.matched:
            self.unmatched = b""
            self.invalid_status = False
            self.out_of_sync = self.out_of_sync or not parsed
        elif self.mismatches or not parsed:
            self.find_own_response(parsed)

    def find_own_response(self, parsed: bool) -> None:
        """Continues with the response in flight if its head was received.

        Args:
          parsed: Whether the parser could handle all bytes so far.
        """
        begin = find_response(self.unmatched, self.names_own_request)
        if begin is not None:
            data = self.unmatched[begin:]
            self.unmatched = b""
            self.clear_body()
            self.record_mismatch()
            self.parser_failed = self.invalid_status = False
            self.parser = httptools.HttpResponseParser(self)
            super().feed(data)
            return
        invalid_heads = find_invalid_heads(self.unmatched)
        if (parsed and self.invalid_status) or any(
            self.may_be_own(head) for head in invalid_heads
        ):
            self.out_of_sync = self.invalid_status = True
            return
        if not parsed and not self.mismatches:
            if not invalid_heads:
                self.out_of_sync = True
                return
            self.record_mismatch()
        self.invalid_status = False
        self.parser_failed = not parsed
        self.unmatched = self.unmatched[incomplete_head_start(self.unmatched) :]
        if len(self.unmatched) > MAX_HEAD_BYTES:
            # No head is as long; the rest of the body would be kept with it.
            self.out_of_sync = True

    def on_message_begin(self) -> None:
        """Starts a response; called by the parser."""
        super().on_message_begin()
        if self.response is not None:
            return
        self.reason = b""
        self.headers = []
        self.header_values = {}
        self.headers_complete = False
        self.mismatched = False

    def on_status(self, text: bytes) -> None:
        """Collects the reason phrase; called by the parser."""
        if self.response is None:
            self.reason += text

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; called by the parser."""
        if self.response is None and not self.headers_complete:
            self.headers.append((name, value))
            self.header_values[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Matches the response to the request; called by the parser."""
        if self.response is not None:
            return
        self.headers_complete = True
        status = self.parser.get_status_code()
        if self.is_merged or not self.is_expected(status):
            self.mismatched = True
            self.record_mismatch()
        elif not is_valid_status(status):
            # Skipped like a response to another request, until the bytes after
            # it have been searched for the response in flight.
            self.mismatched = self.invalid_status = True
            self.record_mismatch()
        elif status >= MIN_FINAL_STATUS:
            self.matched = True
            if not self.expects_body:
                self.response = status, b""
        found = KEEP_ALIVE_TIMEOUT_PATTERN.search(
            self.header_values.get(b"keep-alive", b"")
        )
        if found is not None:
            self.idle_timeout_s = float(found[1]) - IDLE_MARGIN_S

    def record_mismatch(self) -> None:
        """Counts bytes that do not belong to the request in flight."""
        self.unsolicited = True
        self.mismatches += 1
        if self.mismatches > MAX_MISMATCHED_RESPONSES:
            self.out_of_sync = True

    @property
    def is_merged(self) -> bool:
        """Whether the head consists of an incomplete one and the next one."""
        return contains_status_line(self.reason) or any(
            contains_status_line(value, name) for name, value in self.headers
        )

    def is_copy(self, signature: str) -> bool:
        """Returns whether a response to another request had this signature."""
        return bool(signature) and any(
            one == signature and request_id != self.request_id
            for one, request_id in self.signatures
        )

    def names_own_request(self, header_values: dict[bytes, bytes]) -> bool:
        """Returns whether a response surely belongs to the request in flight.

        Args:
          header_values: Its header values by lower-case name.
        """
        identity = self.read_identity(header_values)
        if identity.request_id is not None:
            names_it = identity.request_id == self.request_id
        else:
            names_it = bool(identity.signature) and not self.names_requests
        return names_it and not self.is_copy(identity.signature)

    def may_be_own(self, header_values: dict[bytes, bytes]) -> bool:
        """Returns whether a response may belong to the request in flight.

        Args:
          header_values: Its header values by lower-case name.
        """
        identity = self.read_identity(header_values)
        return identity.request_id in (
            None,
            self.request_id,
        ) and not self.is_copy(identity.signature)

    def is_expected(self, status: int) -> bool:
        """Returns whether the response may belong to the request in flight.

        An upstream may send a response a second time, late, when the connection
        carries another request. An error may lack what a success has.
        """
        identity = self.read_identity(self.header_values)
        is_copy = self.is_copy(identity.signature)
        self.signatures.append((identity.signature, self.request_id))
        if identity.request_id is not None:
            self.names_requests = True
            return identity.request_id == self.request_id and not is_copy
        is_success = MIN_SUCCESS_STATUS <= status < MIN_REDIRECT_STATUS
        return not is_copy and not (self.names_requests and is_success)

    def on_message_complete(self) -> None:
        """Stores the complete response; called by the parser."""
        if self.mismatched:
            # The response to the request in flight may still follow.
            self.clear_body()
            return
        if self.response is None:
            super().on_message_complete()

    def on_eof(self) -> None:
        """Completes a response whose body ends with the connection."""
        has_length = (
            b"content-length" in self.header_values
            or b"transfer-encoding" in self.header_values
        )
        status = self.parser.get_status_code() if self.matched else 0
        whole = (
            self.matched
            and not has_length
            and not self.out_of_sync
            and status >= MIN_FINAL_STATUS
            and status not in BODILESS_STATUSES
        )
        if whole and self.in_flight:
            self.keep_alive = False
            self.in_flight = False
            body = b"".join(self.body)
            self.on_response(self, status, body)
        self.close()
