"""Query parameters of ``/explain``."""

from __future__ import annotations

import re
from typing import Any
from urllib.parse import parse_qsl

from arbutusbridge.forwarding.explain import DescribedRequest
from arbutusbridge.forwarding.routes import normalise_host

PATTERNS = {
    "host": re.compile(r"[!-~]{1,255}"),
    "target": re.compile(r"/[!-~]{0,4095}"),
    "account": re.compile(r"[^\x00-\x1f\x7f]{0,255}"),
    "method": re.compile(r"[A-Z]{1,16}"),
}
"""Form of each parameter. The lengths bound the work of an explanation."""

MAX_PARAMETERS = 8
"""Maximum number of parameters that are parsed."""


class QueryError(ValueError):
    """A parameter is missing or not valid; the message says which."""


def parse_query(query: str) -> DescribedRequest:
    """Returns the request that a query string describes.

    No message repeats a value, which may be a key that was given by mistake.

    Raises:
      QueryError: A parameter is missing, unknown, repeated or not valid.
    """
    try:
        pairs = parse_qsl(
            query,
            keep_blank_values=True,
            strict_parsing=bool(query),
            errors="strict",
            max_num_fields=MAX_PARAMETERS,
        )
    except ValueError:
        raise QueryError(
            "The query is not a list of encoded parameters."
        ) from None
    values: dict[str, Any] = {}
    for name, value in pairs:
        pattern = PATTERNS.get(name)
        if pattern is None:
            raise QueryError(
                f"A parameter is unknown; known are {', '.join(PATTERNS)}."
            )
        if name in values:
            raise QueryError(f"The parameter {name} is repeated.")
        if not pattern.fullmatch(value):
            raise QueryError(f"The parameter {name} is not valid or too long.")
        values[name] = value
    for name in ("host", "target"):
        if name not in values:
            raise QueryError(f"The parameter {name} is missing.")
    values["host"] = normalise_host(values["host"])
    return DescribedRequest(**values)
