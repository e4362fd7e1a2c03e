"""Base model and field types of all input files."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class StrictModel(BaseModel):
    """Base of models that are frozen and reject unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


def check_ip(value: str) -> str:
    """Returns an IP address unchanged.

    Raises:
      ValueError: It is not an IP address, for example a host name.
    """
    ipaddress.ip_address(value)
    return value


def check_name(value: str) -> str:
    """Returns a name unchanged if it is safe in paths and log lines.

    Raises:
      ValueError: It does not match NAME_PATTERN.
    """
    if NAME_PATTERN.fullmatch(value) is None:
        raise ValueError(
            "a name has 1 to 64 letters, digits, dots, dashes and underscores"
        )
    return value


Name = Annotated[str, AfterValidator(check_name)]
IpAddress = Annotated[str, AfterValidator(check_ip)]
Port = Annotated[int, Field(ge=1, le=65535)]
