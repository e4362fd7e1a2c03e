"""Write HTTP messages whose form is always the same, and send them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
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
"""Reason phrases of the statuses that are written here."""


def encode_request(method: str, path: str, body: bytes, host: str) -> bytes:
    """Writes a request; a body is JSON."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def encode_post(path: str, body: bytes) -> bytes:
    """Writes a request to an upstream with a JSON body."""
    return encode_request("POST", path, body, "upstream")


def encode_response(status: int, body: bytes, headers: str = "") -> bytes:
    """Writes a response with a JSON body; headers end in a line break."""
    phrase = REASON_PHRASES.get(status, "Status")
    head = (
        f"HTTP/1.1 {status} {phrase}\r\n{headers}"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def send_nonblocking(sock: socket.socket, data: bytes) -> int | None:
    """Hands bytes to the kernel.

    Returns:
      The bytes that it took, None when the connection is gone.
    """
    try:
        return sock.send(data)
    except BlockingIOError:
        return 0
    except OSError:
        return None
