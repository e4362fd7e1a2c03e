"""Base of all border models."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class StrictModel(BaseModel):
    """A model in which an unknown field is a mistake."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


def check_ip(value: str) -> str:
    """Returns an IP number unchanged; raises ValueError for anything else."""
    ipaddress.ip_address(value)
    return value


def check_name(value: str) -> str:
    """Returns a name unchanged if it is safe in paths and log lines."""
    if NAME_PATTERN.fullmatch(value) is None:
        raise ValueError(
            "a name has 1 to 64 letters, digits, dots, dashes and underscores"
        )
    return value


Name = Annotated[str, AfterValidator(check_name)]
IpAddress = Annotated[str, AfterValidator(check_ip)]
Port = Annotated[int, Field(ge=1, le=65535)]
