"""Base of the platform's documents, and what their fields share."""

from __future__ import annotations

from typing import Annotated, TypeGuard

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
)

from arbutusbridge.settings.loader import format_path


class Document(BaseModel):
    """Base class of the platform's documents; unknown fields are ignored."""

    model_config = ConfigDict(
        extra="ignore", frozen=True, strict=True, allow_inf_nan=False
    )


def to_whole(value: object) -> object:
    """Returns a whole number that is written with a fraction as an integer.

    JSON has one type of numbers, and some encoders write 2 as 2.0.
    """
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


WholeNumber = Annotated[int, BeforeValidator(to_whole)]

Text = Annotated[str, Field(min_length=0)]
"""Text that can be encoded; without a constraint, surrogates are accepted."""

Name = Annotated[str, Field(min_length=1)]
"""Text that is not empty."""


def is_text(value: object) -> TypeGuard[str]:
    """Returns whether a value is text that can be encoded."""
    try:
        return isinstance(value, str) and value.encode() is not None
    except UnicodeEncodeError:
        return False


def describe_first_error(err: ValidationError) -> str:
    """Returns the field and the message of the first validation error.

    The invalid value is left out, as it may be a key.
    """
    detail = err.errors(include_input=False)[0]
    path = format_path(detail["loc"])
    return f"{path}: {detail['msg']}" if path else detail["msg"]
