"""Incremental parser of the HTTP requests of one caller, with size limits."""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httptools
import orjson

from arbutusbridge.daemon.httpmessages import encode_response

if TYPE_CHECKING:
    from arbutusbridge.settings.instance import CallerLimits

MAX_QUEUED_REQUESTS = 8
"""Maximum number of pipelined requests queued on a connection."""

MAX_CHUNK_OVERHEAD_FACTOR = 8
"""Maximum number of received bytes, including chunk framing, per byte of the
body limit. The header limit is added to the product."""

FORWARDED_HEADERS = ("idempotency-key", "idempotency-resend")
"""Headers passed on to the entry server, which ignores all others."""

PLAIN_PATH_PATTERN = re.compile(r"/[A-Za-z0-9/_.-]*")
"""Paths that circuits.web neither redirects nor decodes."""

PLAIN_QUERY_PATTERN = re.compile(r"[!-\"$-~]*")
"""Queries that circuits.web does not cut: visible ASCII without a fragment."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class HttpRefusal:
    """HTTP error with which a request is refused and its connection closed."""

    status: int
    reason: str
    remedy: str

    def encode(self) -> bytes:
        """Encodes the refusal as a response that closes the connection."""
        body = orjson.dumps(
            {
                "outcome": "not_run",
                "ran": "no",
                "reason": self.reason,
                "remedy": self.remedy,
            }
        )
        return encode_response(self.status, body, "Connection: close\r\n")


BODY_TOO_LARGE = HttpRefusal(413, "body_too_large", "Send a smaller body.")
HEADERS_TOO_LARGE = HttpRefusal(
    431, "headers_too_large", "Send fewer or shorter headers."
)
MALFORMED = HttpRefusal(400, "malformed_http", "Send a valid HTTP/1.1 request.")
NO_SUCH_PATH = HttpRefusal(
    404, "no_such_path", "Use a path that the documentation names."
)
NO_UPGRADE = HttpRefusal(400, "no_upgrade", "Send a plain HTTP/1.1 request.")
REQUEST_TOO_SLOW = HttpRefusal(
    408, "request_too_slow", "Send the request faster."
)
TOO_MANY_PIPELINED = HttpRefusal(
    429, "too_many_pipelined", "Wait for answers before sending more."
)
TOO_MANY_CONNECTIONS = HttpRefusal(
    503, "too_many_connections", "Use fewer connections or come back later."
)
TOO_MANY_BYTES = HttpRefusal(503, "too_many_bytes", "Come back later.")


@dataclass(slots=True)
class ParsedRequest:
    """Complete request of a caller.

    Attributes:
      path: Path, followed by the query if the parser keeps it.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool

    def encode(self) -> bytes:
        """Encodes the request in the normalised form for circuits.web."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            "Host: arbutusbridge",
            f"Content-Length: {len(self.body)}",
        ]
        if not self.keep_alive:
            lines.append("Connection: close")
        for name in FORWARDED_HEADERS:
            if name in self.headers:
                lines.append(f"{name}: {self.headers[name]}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + self.body


class RequestParser:
    """Parses the bytes of one caller into complete requests.

    Attributes:
      queue: Complete requests that are not dispatched yet.
      unfinished: Whether a request was started and is not complete.
      refusal: Reason to close the connection, None if there is none.
      wants_continue: Whether the caller waits for ``100 Continue`` before it
        sends the body.
      keeps_query: Whether requests keep their query; otherwise it is dropped.
    """

    def __init__(self, limits: CallerLimits, keeps_query: bool = False) -> None:
        self.limits = limits
        self.keeps_query = keeps_query
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[ParsedRequest] = deque()
        self.unfinished = False
        self.wants_continue = False
        self.refusal: HttpRefusal | None = None
        self.reset()

    def reset(self) -> None:
        """Clears the state of the last request."""
        self.url = b""
        self.headers: dict[str, str] = {}
        self.header_bytes = 0
        self.headers_complete = False
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.received_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Body bytes of the unfinished and the queued requests."""
        return self.body_bytes + sum(len(item.body) for item in self.queue)

    def feed(self, data: bytes) -> None:
        """Parses received data; sets ``refusal`` if it is not acceptable."""
        if self.refusal is not None:
            return
        self.unfinished = True
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.refuse(MALFORMED)
        if self.unfinished:
            self.check_received_bytes(len(data))

    def check_received_bytes(self, length: int) -> None:
        """Limits received bytes, including those that are not reported.

        Args:
          length: Length of the last segment, which is not counted.
        """
        before = self.received_bytes - length
        max_bytes = self.limits.header_bytes
        if not self.headers_complete and before > max_bytes:
            self.refuse(HEADERS_TOO_LARGE)
        elif (
            before
            > max_bytes + MAX_CHUNK_OVERHEAD_FACTOR * self.limits.body_bytes
        ):
            self.refuse(BODY_TOO_LARGE)

    def refuse(self, refusal: HttpRefusal) -> None:
        """Records a reason to close the connection; the first one is kept."""
        if self.refusal is None:
            self.refusal = refusal

    def on_message_begin(self) -> None:
        """Starts a request; called by the parser."""
        total = self.received_bytes
        self.reset()
        self.received_bytes = total
        self.unfinished = True

    def on_url(self, url: bytes) -> None:
        """Collects a part of the URL; called by the parser."""
        self.url += url
        self.count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; called by the parser."""
        self.count_header_bytes(len(name) + len(value))
        if len(self.headers) >= self.limits.header_count:
            self.refuse(HEADERS_TOO_LARGE)
        if self.refusal is not None or self.headers_complete:
            # Trailers count towards the limits and are otherwise ignored.
            return
        text = name.decode("latin-1").lower()
        if text in self.headers and text in (
            *FORWARDED_HEADERS,
            "content-length",
        ):
            self.refuse(MALFORMED)
        self.headers[text] = value.decode("latin-1")

    def count_header_bytes(self, count: int) -> None:
        """Limits the total size of the URL and the headers."""
        self.header_bytes += count
        if self.header_bytes > self.limits.header_bytes:
            self.refuse(HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Checks the path and the content length; called by the parser."""
        self.headers_complete = True
        if self.parser.should_upgrade():
            self.refuse(NO_UPGRADE)
        self.check_path()
        self.check_length()
        expects_continue = (
            self.headers.get("expect", "").lower() == "100-continue"
        )
        self.wants_continue = expects_continue and self.refusal is None

    def check_path(self) -> None:
        """Refuses paths that circuits.web would redirect or decode."""
        path, _, query = self.url.decode("latin-1").partition("?")
        if PLAIN_PATH_PATTERN.fullmatch(path) is None:
            self.refuse(NO_SUCH_PATH)
        elif self.keeps_query and PLAIN_QUERY_PATTERN.fullmatch(query) is None:
            self.refuse(MALFORMED)

    def check_length(self) -> None:
        """Checks the headers that determine the body length."""
        max_body_bytes = self.limits.body_bytes
        content_length = self.headers.get("content-length", "0")
        if not (content_length.isascii() and content_length.isdigit()):
            self.refuse(MALFORMED)
        elif (
            len(content_length) > len(str(max_body_bytes))
            or int(content_length) > max_body_bytes
        ):
            self.refuse(BODY_TOO_LARGE)
        if {"transfer-encoding", "content-length"} <= self.headers.keys():
            self.refuse(MALFORMED)

    def on_body(self, data: bytes) -> None:
        """Collects a part of the body; called by the parser."""
        self.body_bytes += len(data)
        self.wants_continue = False
        if self.body_bytes > self.limits.body_bytes:
            self.refuse(BODY_TOO_LARGE)
        if self.refusal is None:
            self.body.append(data)

    def on_message_complete(self) -> None:
        """Queues a complete request; called by the parser."""
        if self.refusal is not None:
            return
        if len(self.queue) >= MAX_QUEUED_REQUESTS:
            self.refuse(TOO_MANY_PIPELINED)
            return
        method = self.parser.get_method().decode("latin-1")
        persistent = (
            self.parser.get_http_version() != "1.0"
            and self.parser.should_keep_alive()
            # circuits.web keeps stale state after a HEAD request.
            and method != "HEAD"
        )
        self.queue.append(self.build_request(method, persistent))
        self.reset()
        self.unfinished = False
        self.wants_continue = False

    def build_request(self, method: str, persistent: bool) -> ParsedRequest:
        """Builds the request that was just completed."""
        url = self.url.decode("latin-1")
        return ParsedRequest(
            method,
            url if self.keeps_query else url.partition("?")[0],
            self.headers,
            b"".join(self.body),
            persistent,
        )
