"""Single values that callers, upstreams and other writers send.

Each is taken only with the type and within the range that it may have; any
other one counts as missing, so that it costs nothing but itself.
"""

from __future__ import annotations

import ipaddress
import re

COUNT = re.compile(rb"\d{1,7}")
"""Whole numbers in headers; no load is greater."""

DECIMAL_NUMBER = re.compile(rb"[+-]?(?:\d+\.?\d*|\.\d+)")

UPSTREAM_ID_PATTERN = re.compile(r"[\x21-\x7e]+")
"""Ids of upstreams, which are sent to them in a header."""

ADDRESS_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):([1-9]\d{0,4})")
MAX_PORT = 65_535


def decode_count(value: bytes) -> int | None:
    """Decodes a whole number that is not negative; None if it is invalid."""
    value = value.strip()
    return int(value) if COUNT.fullmatch(value) else None


def decode_decimal(value: bytes) -> float | None:
    """Decodes a decimal number without an exponent; None if it is none.

    One beyond the range of floating-point numbers is infinite.
    """
    value = value.strip()
    return float(value) if DECIMAL_NUMBER.fullmatch(value) else None


def is_upstream_id(text: str) -> bool:
    """Returns whether a text may be the id of an upstream."""
    return UPSTREAM_ID_PATTERN.fullmatch(text) is not None


def decode_address(text: str) -> tuple[str, int] | None:
    """Decodes an IPv4 address and port; returns None if it is not valid."""
    found = ADDRESS_PATTERN.fullmatch(text)
    if found is None or int(found[2]) > MAX_PORT:
        return None
    try:
        return str(ipaddress.IPv4Address(found[1])), int(found[2])
    except ipaddress.AddressValueError:
        return None
