"""Loading of JSON files, with the path of each invalid field."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

from pydantic import BaseModel, ValidationError

from arbutusbridge.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

ModelT = TypeVar("ModelT", bound=BaseModel)

MAX_ERRORS_LISTED = 20
"""Invalid fields listed in one error message."""

MAX_INPUT_LENGTH = 80
"""Characters of an invalid value shown in an error message."""


def load_model(path: Path, model: type[ModelT]) -> ModelT:
    """Reads and validates one JSON file.

    Raises:
      SettingsError: The file can't be read or is not valid.
    """
    try:
        text = path.read_bytes()
    except OSError as err:
        raise SettingsError(
            f"{path}: {err.strerror}.",
            "Give the path of a file that can be read.",
        ) from err
    return parse_model(text, model, str(path))


def parse_model(text: bytes | str, model: type[ModelT], source: str) -> ModelT:
    """Validates JSON text.

    Args:
      text: The JSON text.
      model: Model to validate against.
      source: Name of the text in error messages.

    Raises:
      SettingsError: The text is not JSON or not valid.
    """
    try:
        return model.model_validate_json(text)
    except ValidationError as err:
        raise validation_error(source, err) from err
    except (ValueError, RecursionError) as err:
        raise SettingsError(
            f"{source}: {err}.", "Write the file as JSON."
        ) from err


def validation_error(source: str, err: ValidationError) -> SettingsError:
    """Returns an error that lists the path and value of invalid fields."""
    lines = []
    for detail in err.errors()[:MAX_ERRORS_LISTED]:
        place = format_path(detail["loc"]) or "top level"
        found = format_value(detail.get("input"))
        lines.append(f"{source}: {place}: {detail['msg']} (found {found}).")
    return SettingsError(
        "\n".join(lines), "Correct these fields and check the file again."
    )


def format_path(loc: tuple[int | str, ...]) -> str:
    """Formats a path like ``services[2].layouts[0].epoch``."""
    path = ""
    for part in loc:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else part
    return path


def format_value(value: Any) -> str:
    """Formats an invalid value as JSON, truncated to MAX_INPUT_LENGTH."""
    try:
        text = json.dumps(value)
    except (TypeError, ValueError):
        text = type(value).__name__
    if len(text) > MAX_INPUT_LENGTH:
        return text[:MAX_INPUT_LENGTH] + "..."
    return text
