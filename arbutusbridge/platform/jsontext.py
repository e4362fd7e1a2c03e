"""JSON text of other writers, of which as much as possible is read.

Numbers beyond every bound, values nested too deeply and bytes that are no UTF-8
cost the field that they are in, and not the whole text.
"""

from __future__ import annotations

import json
import re
from typing import Any

from result import Err, Ok, Result

MAX_NUMBER = 1e100
"""Greater numbers are decoded as this one. Sums and products of it are finite,
and no rate, weight or time is greater."""

MAX_EXACT_DIGITS = 100
"""Maximum number of digits of a whole number that is decoded exactly."""

MAX_DEPTH = 32
"""Depth below which the parts of a deeply nested value are dropped. No valid
field is nested as deeply."""

JSON_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
"""Strings and brackets of JSON text."""


def parse_object(value: bytes) -> Result[dict[str, Any], str]:
    """Parses a JSON object.

    Bytes that are not UTF-8 become surrogates, which no valid field contains.
    """
    text = value.decode("utf-8-sig", errors="surrogateescape")
    try:
        try:
            row = parse(text)
        except RecursionError:
            row = parse(drop_deep_parts(text))
    except (ValueError, RecursionError) as err:
        return Err(f"not JSON: {err}")
    if not isinstance(row, dict):
        return Err("not an object")
    return Ok(row)


def parse(text: str) -> Any:
    """Parses JSON text.

    Raises:
      ValueError: It is not JSON.
      RecursionError: It is too deeply nested.
    """
    return json.loads(
        text, strict=False, parse_int=parse_whole, parse_float=parse_number
    )


def parse_whole(text: str) -> int | float:
    """Returns a whole number; one of very many digits is capped."""
    if len(text) <= MAX_EXACT_DIGITS:
        return int(text)
    return parse_number(text)


def parse_number(text: str) -> int | float:
    """Returns a number, at most MAX_NUMBER in either direction.

    JSON has one type of numbers, and some encoders write 2 as 2.0.
    """
    number = max(-MAX_NUMBER, min(float(text), MAX_NUMBER))
    return int(number) if number.is_integer() else number


def drop_deep_parts(text: str) -> str:
    """Returns JSON text with 0 for what is nested below MAX_DEPTH."""
    kept: list[str] = []
    depth = begin = 0
    for token in JSON_TOKEN.finditer(text):
        if token[0] in "[{":
            depth += 1
            if depth == MAX_DEPTH:
                kept.append(text[begin : token.start()])
        elif token[0] in "]}":
            if depth == MAX_DEPTH:
                kept.append("0")
                begin = token.end()
            depth -= 1
    kept.append(text[begin:])
    return "".join(kept)
