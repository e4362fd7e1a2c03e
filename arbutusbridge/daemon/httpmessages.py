"""Encodes simple HTTP messages and sends bytes on non-blocking sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    499: "Cancelled",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
"""Reason phrases by HTTP status."""


def encode_request(method: str, path: str, body: bytes, host: str) -> bytes:
    """Encodes a request with a JSON body."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def encode_post(path: str, body: bytes) -> bytes:
    """Encodes a POST request to an upstream with a JSON body."""
    return encode_request("POST", path, body, "upstream")


def encode_response(status: int, body: bytes, headers: str = "") -> bytes:
    """Encodes a response with a JSON body.

    Args:
      status: HTTP status.
      body: JSON body.
      headers: Further header lines, each ending with CRLF.
    """
    phrase = REASON_PHRASES.get(status, "Status")
    head = (
        f"HTTP/1.1 {status} {phrase}\r\n{headers}"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def send_nonblocking(sock: socket.socket, data: bytes) -> int | None:
    """Sends data on a non-blocking socket.

    Returns:
      The number of bytes that the kernel accepted, None if the connection is
      closed.
    """
    try:
        return sock.send(data)
    except BlockingIOError:
        return 0
    except OSError:
        return None
