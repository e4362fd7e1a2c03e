"""Search for a response among bytes that belong to no request."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from itertools import pairwise

STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.[01] ([^ /\r\n]*)(?=[ \r]|\Z)")
"""Beginning of a status line with a status that may be invalid."""

VERSION_PATTERN = re.compile(rb"HTTP/1\.[01] ")
VALID_STATUS_PATTERN = re.compile(rb"[1-5]\d\d")

VIA = b"via"
"""Header whose values contain a version and a word, like a status line."""

STATUS_LINE_START_BYTES = len(b"HTTP/1.1 200 ")
"""Size of a part of a status line that is kept until its end arrives."""

HEAD_END = b"\r\n\r\n"


def contains_status_line(text: bytes, header: bytes = b"") -> bool:
    """Returns whether a reason phrase or header value has a status line in it.

    It then begins in one response, which breaks off, and ends in the next one.

    Args:
      text: The reason phrase or value.
      header: Name of the header, empty for a reason phrase.
    """
    return any(
        found[1].isdigit() or header.lower() != VIA
        for found in STATUS_LINE_PATTERN.finditer(text)
    )


def find_status_lines(data: bytes) -> list[re.Match[bytes]]:
    """Returns the beginnings of status lines, valid or not."""
    return [
        found
        for found in STATUS_LINE_PATTERN.finditer(data)
        if found[1].isdigit()
        or not data[data.rfind(b"\n", 0, found.start()) + 1 : found.start()]
        .lower()
        .startswith(VIA + b":")
    ]


def find_response(
    data: bytes, is_expected: Callable[[dict[bytes, bytes]], bool]
) -> int | None:
    """Returns where the first expected response begins, None if nowhere.

    Args:
      data: Received bytes; the response may begin inside of another one.
      is_expected: Whether a response is the expected one, given its header
        values by lower-case name.
    """
    for begin, head in split_heads(data):
        if is_expected(head):
            return begin
    return None


def find_invalid_heads(data: bytes) -> list[dict[bytes, bytes]]:
    """Returns the headers of all complete heads with an invalid status.

    Args:
      data: Received bytes; a head may begin inside of another response.

    Returns:
      Header values by lower-case name, for each such head.
    """
    return [head for _begin, head in split_heads(data, are_valid=False)]


def split_heads(
    data: bytes, are_valid: bool = True
) -> Iterator[tuple[int, dict[bytes, bytes]]]:
    """Yields where complete heads begin, with their headers.

    A head that is interrupted by another status line is incomplete.

    Args:
      data: Received bytes.
      are_valid: Whether heads with a valid status are wanted, or the others.
    """
    lines = find_status_lines(data)
    begins = [found.start() for found in lines]
    for found, (begin, next_begin) in zip(
        lines, pairwise([*begins, len(data)]), strict=True
    ):
        is_valid = VALID_STATUS_PATTERN.fullmatch(found[1]) is not None
        head_end = data.find(HEAD_END, begin, next_begin)
        if is_valid is are_valid and head_end >= 0:
            yield begin, parse_headers(data[begin:head_end])


def incomplete_head_start(data: bytes) -> int:
    """Returns where a head begins whose end may still follow."""
    begin = max(0, len(data) - STATUS_LINE_START_BYTES)
    for found in VERSION_PATTERN.finditer(data):
        if data.find(HEAD_END, found.start()) < 0:
            return min(begin, found.start())
    return begin


def parse_headers(head: bytes) -> dict[bytes, bytes]:
    """Returns the header values of a head by lower-case name."""
    headers = {}
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    return headers
